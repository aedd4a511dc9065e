"""Blocks a group on all VMs, and collects the newest commit that they acknowledged.

Load pattern: during a change of primary some VMs answer at once, some have just ended,
and some are paused or cut off, so that only the end of their lease is certain.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping
from typing import NamedTuple

from citronwood.deadline import deadline_in
from citronwood.decisions import log_state
from citronwood.errors import (
    CallFailedError,
    DeadlineExceededError,
    MessageError,
    PeerUnavailableError,
)
from citronwood.inner.rpc import Rpc
from citronwood.relay.clock import now
from citronwood.relay.messages import (
    AskCommits,
    CommitsAnswer,
    FenceGroup,
    GroupFenced,
)
from citronwood.relay.model import Position
from citronwood.relay.registry import RegisteredVm, VmListing
from citronwood.relay.state_records import decode_group
from citronwood.relay.view import LEASE_MARGIN_S, LEASE_S, GroupState
from citronwood.versions import generation_of

log = logging.getLogger(__name__)

FENCE_CALL_TIMEOUT_S = 0.8
FENCE_RETRY_INTERVAL_S = 0.1
# A VM that has just confirmed the fence is asked for its newest commit so many times.
MAX_COMMIT_CALLS = 3


class FencedVm(NamedTuple):
    """VM that does not use a group's primary any more.

    ``has_confirmed`` is False if that is known only because its process or its lease
    has ended. ``newest`` is the group's state in the newest term that the VM has known,
    if it has confirmed.
    """

    vm: RegisteredVm
    has_confirmed: bool
    newest: GroupState | None = None


class Blocked(NamedTuple):
    """VMs that have blocked a group, and whether their list is of the change's time.

    A store that was restored since may lack some of them.
    """

    fenced: list[FencedVm]
    is_list_current: bool


class Fencing:
    """Makes all VMs stop using the primary of a group.

    Parameters
    ----------
    name : str
        Name of this VM.
    list_vms : callable
        Reads the list of VMs that may use primaries.
    has_ended : callable
        Whether no process listens at a VM's address.
    fence_locally : callable
        Blocks a group on this VM.
    newest_commit : callable
        Returns the newest commit of a group that this VM knows to be acknowledged.
    """

    def __init__(
        self,
        name: str,
        rpc: Rpc,
        list_vms: Callable[[], Awaitable[VmListing]],
        has_ended: Callable[[str], Awaitable[bool]],
        fence_locally: Callable[[FenceGroup], Awaitable[None]],
        newest_commit: Callable[[str], Position | None],
    ) -> None:
        self._name = name
        self._rpc = rpc
        self._list_vms = list_vms
        self._has_ended = has_ended
        self._fence_locally = fence_locally
        self._newest_commit = newest_commit

    async def block(self, group: str, change: int, written_at: float) -> Blocked:
        """Have all listed VMs block the group; return when none uses the old primary.

        For each VM, this takes until it has confirmed the fence, its process has ended,
        or its lease has expired. ``written_at`` is the time at which the change was
        written to the store, after which no lease on an earlier state has begun. The
        result has the other VMs.
        """
        message = FenceGroup(group, change)
        await self._fence_locally(message)
        listing = await self._list_vms()
        vms = [vm for vm in listing.vms if vm.name != self._name]
        lease_end = written_at + LEASE_S + LEASE_MARGIN_S
        fenced = await asyncio.gather(
            *(self._fence_vm(vm, message, lease_end) for vm in vms)
        )
        return Blocked(fenced, listing.generation == generation_of(change))

    async def wait_for_leases(self, group: str, written_at: float) -> None:
        """Wait until no VM uses the old primary, also one that is not listed.

        The list of a store that was restored from a copy may lack VMs.
        """
        left_s = max(0.0, written_at + LEASE_S + LEASE_MARGIN_S - now())
        log_state(
            log,
            "fence",
            "list_incomplete",
            f"group: {group}: waiting for all leases, because the store was restored "
            "from a copy",
            group=group,
            left_ms=round(left_s * 1000),
        )
        await asyncio.sleep(left_s)

    async def collect_newest_commit(
        self,
        group: str,
        fenced: list[FencedVm],
        processes: Mapping[str, int | None],
    ) -> Position | None:
        """Return the newest commit that any VM knows to be acknowledged.

        ``processes`` are the processes of the other VMs at the time from which on the
        commits are asked for. None if a process has ended since, whose commits are not
        known any more.
        """
        newest = self._newest_commit(group)
        names = {entry.vm.name for entry in fenced}
        is_complete = names.issuperset(processes) and all(
            entry.has_confirmed for entry in fenced
        )
        if newest is None or not is_complete:
            return None
        answers = await asyncio.gather(
            *(self._ask_commits(entry.vm, group) for entry in fenced)
        )
        for entry, answer in zip(fenced, answers, strict=True):
            if answer is None or answer.position is None:
                return None
            name = entry.vm.name
            if name in processes and answer.process != processes[name]:
                return None
            if name not in processes and answer.has_predecessor:
                return None
            newest = max(newest, answer.position)
        return newest

    async def _fence_vm(
        self, vm: RegisteredVm, message: FenceGroup, lease_end: float
    ) -> FencedVm:
        while now() < lease_end:
            if vm.url:
                answer = await self._ask_to_fence(vm, message)
                if answer is not None:
                    return FencedVm(vm, True, _decode_newest(vm, answer))
                if await self._has_ended(vm.url):
                    return FencedVm(vm, has_confirmed=False)
            await asyncio.sleep(FENCE_RETRY_INTERVAL_S)
        log_state(
            log,
            "fence",
            "expired",
            f"group: {vm.name} did not confirm the fence; its lease has expired",
            group=message.group,
        )
        return FencedVm(vm, has_confirmed=False)

    async def _ask_to_fence(
        self, vm: RegisteredVm, message: FenceGroup
    ) -> GroupFenced | None:
        """Return the confirmation of a process at the VM's address, if it confirms.

        An answer from a newer process at this address counts as well, because the
        registered process has then ended.
        """
        try:
            return await self._rpc.call(
                vm.url, message, GroupFenced, deadline_in(FENCE_CALL_TIMEOUT_S)
            )
        except (PeerUnavailableError, DeadlineExceededError, CallFailedError):
            return None

    async def _ask_commits(self, vm: RegisteredVm, group: str) -> CommitsAnswer | None:
        """Return a VM's newest commit; None if it cannot be learned.

        The VM stays blocked, so its answer is as good later.
        """
        reason = ""
        for _ in range(MAX_COMMIT_CALLS):
            try:
                return await self._rpc.call(
                    vm.url,
                    AskCommits(group),
                    CommitsAnswer,
                    deadline_in(FENCE_CALL_TIMEOUT_S),
                )
            except (
                PeerUnavailableError,
                DeadlineExceededError,
                CallFailedError,
            ) as error:
                reason = str(error)
            if await self._has_ended(vm.url):
                break
        log_state(
            log,
            "commits",
            "unknown",
            f"group: {vm.name} did not name its newest commit: {reason}",
            group=group,
        )
        return None


def _decode_newest(vm: RegisteredVm, answer: GroupFenced) -> GroupState | None:
    if not answer.newest:
        return None
    try:
        return decode_group(answer.newest)
    except MessageError as error:
        log_state(log, "fence", "malformed", f"group: {vm.name}: {error}")
        return None
