"""Reports of this VM to the leader, and requests for tokens of limited accounts."""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Any, Protocol, TypeVar
from urllib.parse import urlsplit

from citronwood.deadline import deadline_in, timeout_at
from citronwood.decisions import log_state
from citronwood.errors import (
    CallFailedError,
    DeadlineExceededError,
    PeerUnavailableError,
)
from citronwood.inner.rpc import Caller, Rpc
from citronwood.relay.clock import now
from citronwood.relay.grantors import GrantorChoice
from citronwood.relay.leadership import Leadership
from citronwood.relay.limiter import AccountBuckets, Grants
from citronwood.relay.messages import (
    AskDeputy,
    DeputyAnswer,
    LeaderAnswer,
    ReportToLeader,
    StoreReads,
)
from citronwood.relay.view import FleetState, PrimaryView
from citronwood.tasks import cancel_tasks

log = logging.getLogger(__name__)

REPORT_INTERVAL_S = 0.5
# Limit for the reports of all VMs together, which a leader can answer with a third of a
# core beside its own traffic. It lengthens the interval in fleets of over 100 VMs.
MAX_REPORTS_PER_S = 200.0
# Time in which all VMs report to a new leader. It grants from the shares of the VMs
# that have reported, so that until then it refuses operations below the rates.
MAX_REPORT_DELAY_S = 0.3
CALL_TIMEOUT_S = 0.25
ENDED_CHECK_TIMEOUT_S = 0.3

_Answer = TypeVar("_Answer")


async def has_ended(url: str) -> bool:
    """Return whether no process listens at the address of another VM."""
    parts = urlsplit(url)
    try:
        async with timeout_at(deadline_in(ENDED_CHECK_TIMEOUT_S)):
            _, writer = await asyncio.open_connection(parts.hostname, parts.port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False


class ReportingVm(Protocol):
    """Interface of the VM for which ``Reports`` sends and answers messages."""

    @property
    def vm_count(self) -> int:
        """Number of VMs that report to the leader."""
        ...

    def answer_report(self, vm: str, message: ReportToLeader) -> LeaderAnswer:
        """Answer a report that was sent to this VM as leader."""
        ...

    def apply_leader_answer(self, asked_at: float, answer: LeaderAnswer) -> None:
        """Apply the leader's answer to a report sent at ``asked_at``."""
        ...

    def store_reads(self) -> StoreReads:
        """Return which versions of the store this VM knows, and their age."""
        ...

    def apply_store_reads(self, url: str, asked_at: float, reads: StoreReads) -> None:
        """Apply the versions of the store that another VM knows."""
        ...

    def are_reads_stale(self) -> bool:
        """Return whether no VM in contact with this one has read the store lately."""
        ...


class Reports:
    """Sends this VM's reports to the leader, or to a deputy if the leader is silent.

    Parameters
    ----------
    name, process, url : str, int, str
        Name of this VM, id of its process, and its address for other VMs.
    buckets : AccountBuckets
        Token buckets from which this VM grants as leader or deputy.
    vm : ReportingVm
        This VM; it answers the reports of other VMs while it is the leader.
    """

    def __init__(
        self,
        name: str,
        process: int,
        url: str,
        view: PrimaryView,
        leadership: Leadership,
        buckets: AccountBuckets,
        vm: ReportingVm,
    ) -> None:
        self._name = name
        self._process = process
        self._url = url
        self._view = view
        self._leadership = leadership
        self._buckets = buckets
        self._vm = vm
        self._grantors = GrantorChoice()
        self._rpc: Rpc | None = None
        self._report_now = asyncio.Event()
        self._ended_check: asyncio.Task[None] | None = None

    @property
    def is_deputy(self) -> bool:
        """Whether the leader has named this VM as one of its deputies."""
        return self._url in self._grantors.deputies

    def start(self, rpc: Rpc) -> None:
        """Start to serve and make calls between VMs."""
        rpc.on_call(AskDeputy, self._on_ask_deputy)
        self._rpc = rpc

    async def close(self) -> None:
        """Cancel the background check for an ended process."""
        await cancel_tasks([self._ended_check])

    def is_named_leader(self, state: FleetState) -> bool:
        """Return whether the state names this process of this VM as leader."""
        return (state.leader, state.leader_process) == (self._name, self._process)

    def report_soon(self) -> None:
        """Report within ``MAX_REPORT_DELAY_S``, spread over the VMs."""
        delay_s = random.uniform(0.0, MAX_REPORT_DELAY_S)
        asyncio.get_running_loop().call_later(delay_s, self._report_now.set)

    async def run(self, pop_unused: Callable[[], dict[str, int]]) -> None:
        """Report periodically, without end; ``pop_unused`` returns expired grants."""
        while True:
            interval_s = max(REPORT_INTERVAL_S, self._vm.vm_count / MAX_REPORTS_PER_S)
            try:
                async with timeout_at(
                    deadline_in(interval_s * random.uniform(0.9, 1.1))
                ):
                    await self._report_now.wait()
            except TimeoutError:
                pass
            self._report_now.clear()
            await self.report(pop_unused())

    async def report(self, unused: dict[str, int]) -> None:
        """Report to the leader and lend the shares to it, or else to a deputy."""
        state = self._view.state
        if state is None:
            return
        leader = state.leader_url if state.leader else ""
        lends = bool(leader) and self._grantors.may_lend_to(leader)
        answer = None
        if leader:
            answer = await self._ask_leader(state, {}, unused if lends else {}, lends)
        if answer is None:
            deputy = self._grantors.choose("")
            if deputy:
                await self._ask_deputy(deputy, {}, {} if lends else unused)
            return
        if not lends and self._grantors.lent_to:
            # The next request lends the shares to the leader again.
            await self._reclaim_from_deputy(self._grantors.lent_to)
        if self._vm.are_reads_stale():
            await self._ask_deputy_for_reads()

    async def request_grants(
        self, wanted: dict[str, int], unused: dict[str, int]
    ) -> Grants | None:
        """Request tokens; None when there is no grantor now."""
        state = self._view.state
        if state is None:
            return None
        leader = state.leader_url if state.leader else ""
        grantor = self._grantors.choose(leader)
        if not grantor:
            return None
        if grantor == leader:
            return await self._ask_leader(state, wanted, unused, True)
        return await self._ask_deputy(grantor, wanted, unused)

    async def _ask_leader(
        self,
        state: FleetState,
        wanted: dict[str, int],
        unused: dict[str, int],
        lends: bool,
    ) -> Grants | None:
        url = state.leader_url
        message = ReportToLeader(self._process, wanted, unused, lends)
        if lends:
            self._grantors.lend(url)
        asked_at = now()
        answer: LeaderAnswer | None
        if self.is_named_leader(state):
            answer = self._vm.answer_report(self._name, message)
        else:
            answer = await self._call(url, message, LeaderAnswer)
            if answer is None:
                self._grantors.note_leader_timeout(url)
                self._start_ended_check(url, state)
                return None
            self._vm.apply_store_reads(url, asked_at, answer.reads)
            if answer.is_leader:
                self._vm.apply_leader_answer(asked_at, answer)
        self._grantors.note_answer(url)
        if not lends or not answer.grants:
            self._grantors.reclaim(url)
        if not answer.grants:
            return None
        self._grantors.set_deputies(answer.deputies)
        return Grants(answer.granted, answer.retry_ms)

    async def _ask_deputy(
        self, url: str, wanted: dict[str, int], unused: dict[str, int]
    ) -> Grants | None:
        self._grantors.lend(url)
        if url == self._url:
            return self._buckets.grant(self._name, wanted, unused)
        answer = await self._call_deputy(url, AskDeputy(wanted, unused, True))
        return None if answer is None else Grants(answer.granted, answer.retry_ms)

    async def _ask_deputy_for_reads(self) -> None:
        """Ask a deputy which versions of the store it knows."""
        for url in self._grantors.deputies:
            if url == self._url:
                return
            if not self._grantors.is_unresponsive(url):
                await self._call_deputy(url, AskDeputy({}, {}, False))
                return

    async def _reclaim_from_deputy(self, url: str) -> None:
        if url == self._url:
            self._buckets.remove_lender(self._name)
        elif await self._call_deputy(url, AskDeputy({}, {}, False)) is None:
            return
        self._grantors.reclaim(url)

    async def _call_deputy(self, url: str, message: AskDeputy) -> DeputyAnswer | None:
        asked_at = now()
        answer = await self._call(url, message, DeputyAnswer)
        if answer is None:
            self._grantors.note_deputy_timeout(url)
            self._start_ended_check(url, None)
            return None
        self._grantors.note_answer(url)
        self._vm.apply_store_reads(url, asked_at, answer.reads)
        return answer

    async def _on_ask_deputy(self, message: AskDeputy, caller: Caller) -> DeputyAnswer:
        grants = Grants({}, {})
        if message.lends:
            grants = self._buckets.grant(caller.name, message.wanted, message.unused)
        else:
            self._buckets.remove_lender(caller.name)
        return DeputyAnswer(grants.granted, grants.retry_ms, self._vm.store_reads())

    async def _call(
        self, url: str, message: Any, answer_type: type[_Answer]
    ) -> _Answer | None:
        """Call another VM; None when it did not answer."""
        if self._rpc is None:
            return None
        try:
            return await self._rpc.call(
                url, message, answer_type, deadline_in(CALL_TIMEOUT_S)
            )
        except (PeerUnavailableError, DeadlineExceededError, CallFailedError) as error:
            kind = type(message).__name__
            log_state(log, "report", "failed", f"fleet: no answer to {kind}: {error}")
            return None

    def _start_ended_check(self, url: str, state: FleetState | None) -> None:
        """Check in the background whether a VM's process has ended.

        No request waits for the check. With a state, the VM is the leader that the
        state names.
        """
        if self._ended_check is None or self._ended_check.done():
            self._ended_check = asyncio.create_task(self._run_ended_check(url, state))

    async def _run_ended_check(self, url: str, state: FleetState | None) -> None:
        if await has_ended(url):
            self._grantors.reclaim(url)
            if state is not None:
                self._leadership.note_leader_ended(state.leader, state.leader_process)
        # Send the next report at once, because the VM may only have answered late.
        self._report_now.set()
