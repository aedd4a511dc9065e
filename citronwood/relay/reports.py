"""Reports of this VM to the leader, and questions for the operations of accounts."""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Any, Protocol, TypeVar
from urllib.parse import urlsplit

from citronwood.deadline import deadline_in, until
from citronwood.decisions import log_state
from citronwood.errors import (
    CallFailedError,
    DeadlineExceededError,
    PeerUnavailableError,
)
from citronwood.inner.rpc import Caller, Rpc
from citronwood.relay.allowance import AccountBuckets, Grants
from citronwood.relay.clock import now
from citronwood.relay.grantors import GrantorChoice
from citronwood.relay.leadership import Leadership
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
# What a leader on a third of a core can answer beside its part of the traffic.
REPORTS_PER_S = 200.0
CALL_S = 0.25
ENDED_CHECK_S = 0.3

_Answer = TypeVar("_Answer")


async def has_ended(url: str) -> bool:
    """Whether no process listens at an address of another VM."""
    parts = urlsplit(url)
    try:
        async with until(deadline_in(ENDED_CHECK_S)):
            _, writer = await asyncio.open_connection(parts.hostname, parts.port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False


class ReportingVm(Protocol):
    """What reports need of the VM that sends and answers them."""

    @property
    def vm_count(self) -> int:
        """Number of VMs, which share the leader's time."""
        ...

    def lead_answer(self, vm: str, message: ReportToLeader) -> LeaderAnswer:
        """Answer a report to this VM as leader."""
        ...

    def hear_leader(self, asked_at: float, answer: LeaderAnswer) -> None:
        """Take the answer of the leader to a report sent at this time."""
        ...

    def store_reads(self) -> StoreReads:
        """Return what this VM knows of the store."""
        ...

    def hear_reads(self, url: str, asked_at: float, reads: StoreReads) -> None:
        """Take what the VM at an address knows of the store."""
        ...

    def reads_are_old(self) -> bool:
        """Whether no VM that this one hears has read the store lately."""
        ...


class Reports:
    """Reports to the leader, and to its deputies while it does not answer.

    Parameters
    ----------
    name, process, url : str, int, str
        This VM, its process and its address for others.
    buckets : AccountBuckets
        From which this VM grants operations as leader or deputy.
    vm : ReportingVm
        This VM's knowledge and its part as leader.
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
        self._failed = asyncio.Event()
        self._check: asyncio.Task[None] | None = None

    @property
    def is_deputy(self) -> bool:
        """Whether this VM is to stand in for a leader that does not answer."""
        return self._url in self._grantors.deputies

    def start(self, rpc: Rpc) -> None:
        """Use and serve calls between VMs."""
        rpc.serve(AskDeputy, self._on_ask_deputy)
        self._rpc = rpc

    async def close(self) -> None:
        """End what runs in the background."""
        await cancel_tasks([self._check])

    def is_named_leader(self, state: FleetState) -> bool:
        """Whether the state names this process, and not an earlier one of this VM."""
        return (state.leader, state.leader_process) == (self._name, self._process)

    async def run(self, take_unused: Callable[[], dict[str, int]]) -> None:
        """Report for ever; ``take_unused`` returns grants that were not used."""
        while True:
            interval_s = max(REPORT_INTERVAL_S, self._vm.vm_count / REPORTS_PER_S)
            try:
                async with until(deadline_in(interval_s * random.uniform(0.9, 1.1))):
                    await self._failed.wait()
            except TimeoutError:
                pass
            self._failed.clear()
            await self.report(take_unused())

    async def report(self, unused: dict[str, int]) -> None:
        """Report to the leader, and lend the shares to it or else to a deputy."""
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
            # The shares go back to the leader with the next question.
            await self._leave_deputy(self._grantors.lent_to)
        if self._vm.reads_are_old():
            await self._ask_for_reads()

    async def ask(
        self, wanted: dict[str, int], unused: dict[str, int]
    ) -> Grants | None:
        """Ask for operations; None when no VM grants any now."""
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
            answer = self._vm.lead_answer(self._name, message)
        else:
            answer = await self._call(url, message, LeaderAnswer)
            if answer is None:
                self._grantors.leader_silent(url)
                self._check_ended(url, state)
                return None
            self._vm.hear_reads(url, asked_at, answer.reads)
            if answer.is_leader:
                self._vm.hear_leader(asked_at, answer)
        self._grantors.answered(url)
        if not lends or not answer.grants:
            self._grantors.returned(url)
        if not answer.grants:
            return None
        self._grantors.name_deputies(answer.deputies)
        return Grants(answer.granted, answer.retry_ms)

    async def _ask_deputy(
        self, url: str, wanted: dict[str, int], unused: dict[str, int]
    ) -> Grants | None:
        self._grantors.lend(url)
        if url == self._url:
            return self._buckets.grant(self._name, wanted, unused)
        answer = await self._call_deputy(url, AskDeputy(wanted, unused, True))
        return None if answer is None else Grants(answer.granted, answer.retry_ms)

    async def _ask_for_reads(self) -> None:
        """Ask a deputy what it knows of the store."""
        for url in self._grantors.deputies:
            if url == self._url:
                return
            if not self._grantors.is_silent(url):
                await self._call_deputy(url, AskDeputy({}, {}, False))
                return

    async def _leave_deputy(self, url: str) -> None:
        if url == self._url:
            self._buckets.leave(self._name)
        elif await self._call_deputy(url, AskDeputy({}, {}, False)) is None:
            return
        self._grantors.returned(url)

    async def _call_deputy(self, url: str, message: AskDeputy) -> DeputyAnswer | None:
        asked_at = now()
        answer = await self._call(url, message, DeputyAnswer)
        if answer is None:
            self._grantors.deputy_silent(url)
            self._check_ended(url, None)
            return None
        self._grantors.answered(url)
        self._vm.hear_reads(url, asked_at, answer.reads)
        return answer

    async def _on_ask_deputy(self, message: AskDeputy, caller: Caller) -> DeputyAnswer:
        grants = Grants({}, {})
        if message.lends:
            grants = self._buckets.grant(caller.name, message.wanted, message.unused)
        else:
            self._buckets.leave(caller.name)
        return DeputyAnswer(grants.granted, grants.retry_ms, self._vm.store_reads())

    async def _call(
        self, url: str, message: Any, answer_type: type[_Answer]
    ) -> _Answer | None:
        """Call another VM; None when it gave no answer."""
        if self._rpc is None:
            return None
        try:
            return await self._rpc.call(url, message, answer_type, deadline_in(CALL_S))
        except (PeerUnavailableError, DeadlineExceededError, CallFailedError) as error:
            kind = type(message).__name__
            log_state(log, "report", "failed", f"fleet: no answer to {kind}: {error}")
            return None

    def _check_ended(self, url: str, state: FleetState | None) -> None:
        """Find out whether a VM's process has ended; no request waits for it.

        With a state, the VM is the leader that it names.
        """
        if self._check is None or self._check.done():
            self._check = asyncio.create_task(self._note_ended(url, state))

    async def _note_ended(self, url: str, state: FleetState | None) -> None:
        if await has_ended(url):
            self._grantors.returned(url)
            if state is not None:
                self._leadership.leader_ended(state.leader, state.leader_process)
        # The next report is sent at once: the VM may only have been late.
        self._failed.set()
