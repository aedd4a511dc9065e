"""List of the VMs that may use primaries, kept in the platform's store.

Before a primary is replaced, each listed VM must have confirmed that it stopped using
the primary, or its process or its lease must have ended. A lost VM would delay each
change, so its entry is removed once it cannot use a primary any more.
"""

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, NamedTuple

from citronwood.deadline import deadline_in
from citronwood.decisions import log_state
from citronwood.errors import (
    ObjectNotFoundError,
    PlatformError,
    StoreRestoredError,
    VersionConflictError,
)
from citronwood.platform.api import Listing, ObjectStore
from citronwood.relay.clock import now
from citronwood.relay.leadership import Leadership
from citronwood.relay.view import LEASE_S, MAX_LAPSE_S, PrimaryView
from citronwood.versions import generation_of

log = logging.getLogger(__name__)

VM_KIND = "citronwood-vms"
STORE_CALL_TIMEOUT_S = 0.8
RETRY_INTERVAL_S = 0.3
VM_LIST_INTERVAL_S = 4.0
# Interval while a VM is marked as absent.
ABSENT_LIST_INTERVAL_S = 0.6
# The leader marks a VM as absent when it has not reported for this time.
ABSENT_AFTER_S = 6.0
# Time from marking a VM as absent to removing its entry: its lease and a margin.
ABSENT_REMOVAL_DELAY_S = LEASE_S + 0.5
# Time from marking a VM as absent to dropping the mark of a removed entry. A VM that
# returns earlier reads the mark, and one that returns later registers again by itself.
ABSENT_MARK_RETENTION_S = 2 * MAX_LAPSE_S


class RegisteredVm(NamedTuple):
    """VM that may use primaries; each registration has its own ``process`` id.

    ``url`` is empty if the entry is malformed; the VM can only be waited for then.
    """

    name: str
    url: str
    process: int


class VmListing(NamedTuple):
    """Entries of all VMs, and the generation of the store that had them."""

    vms: list[RegisteredVm]
    generation: int


class _Unlisted(NamedTuple):
    """Why a VM registers again, and whether it may use its lease meanwhile."""

    reason: str
    keeps_lease: bool


class Peer(NamedTuple):
    """Address, failure domain and processor time (in cores) of a VM.

    They are equal for all processes of the VM.
    """

    name: str
    url: str
    failure_domain: str
    processors: float = 1.0


def decode_peers(listing: Listing) -> tuple[Peer, ...]:
    """Return the VMs of the list in the order of their names."""
    return tuple(
        Peer(
            name,
            str(value.get("url", "")),
            str(value.get("failure_domain", "")),
            _to_processors(value.get("processors")),
        )
        for name, (value, _) in sorted(listing.objects.items())
    )


def _decode_vm(name: str, value: dict[str, Any]) -> RegisteredVm:
    url, process = value.get("url"), value.get("process")
    if isinstance(url, str) and isinstance(process, int):
        return RegisteredVm(name, url, process)
    log_state(log, "vms", "malformed", f"fleet: the entry of {name} is malformed")
    return RegisteredVm(name, "", 0)


def _to_processors(value: Any) -> float:
    is_usable = isinstance(value, int | float) and value > 0
    return float(value) if is_usable else 1.0


def share_of_stronger(peers: Sequence[Peer], name: str) -> float:
    """Return the share of the VMs that have more processor time than a VM."""
    own = next((peer.processors for peer in peers if peer.name == name), None)
    if own is None:
        return 0.0
    return sum(peer.processors > own for peer in peers) / len(peers)


class VmRegistry:
    """Maintains the entry of this VM and the list of all VMs.

    Parameters
    ----------
    vm : Peer
        This VM.
    on_vm_count : callable
        Called with the number of VMs after the list was read, unless this VM gets the
        number from the leader.
    on_registered : callable
        Called when the store has acknowledged an entry; reads the fleet's state.
    needs_list : callable
        Returns whether this VM is a deputy. A deputy may become leader, and then has to
        notify all other VMs.
    registration_spread_s : callable
        Returns the time over which all VMs register again after a restore of the store.
    """

    def __init__(
        self,
        store: ObjectStore,
        view: PrimaryView,
        leadership: Leadership,
        vm: Peer,
        on_vm_count: Callable[[int], None],
        on_registered: Callable[[], Awaitable[None]],
        needs_list: Callable[[], bool] = lambda: False,
        registration_spread_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._store = store
        self._view = view
        self._leadership = leadership
        self._vm = vm
        self._name = vm.name
        self._on_vm_count = on_vm_count
        self._on_registered = on_registered
        self._needs_list = needs_list
        self._registration_spread_s = registration_spread_s
        self._vms: list[RegisteredVm] = []
        self._last_report_at: dict[str, float] = {}
        self._processes: dict[str, int] = {}
        self._absent_since: dict[str, float] = {}
        self._has_removals_due = False
        self._registration_id = 0
        # Version of the entry that the store has acknowledged; 0 without one.
        self._entry_version = 0
        self._registered = False
        self._has_predecessor: bool | None = None

    @property
    def vms(self) -> list[RegisteredVm]:
        """VMs of the list as it was last read."""
        return self._vms

    @property
    def is_registered(self) -> bool:
        """Whether the store has acknowledged an entry of this process."""
        return self._registered

    @property
    def has_predecessor(self) -> bool:
        """Whether this process found an entry of an earlier one when it registered."""
        return self._has_predecessor is not False

    @property
    def known_processes(self) -> dict[str, int | None]:
        """Processes of the other VMs that are listed or have lately reported.

        None for a VM that has not reported to this one.
        """
        recent = now() - VM_LIST_INTERVAL_S
        names = {vm.name for vm in self._vms}
        names.update(vm for vm, at in self._last_report_at.items() if at >= recent)
        return {name: self._processes.get(name) for name in names - {self._name}}

    def note_report(self, vm: str, process: int) -> None:
        """Record that a process of a VM has reported to this one."""
        self._last_report_at[vm] = now()
        self._processes[vm] = process

    async def unregister(self) -> None:
        """Remove the entry of this VM; it must have stopped using primaries.

        The store may execute the removal seconds later, when the next process of this
        VM has registered. The entry of that process has another version and is kept.
        """
        self._registered = False
        try:
            await self._remove_own_entry()
        except PlatformError as error:
            log_state(log, "unregister", "failed", f"fleet: {error}")

    async def _remove_own_entry(self) -> None:
        if self._entry_version and not self._view.is_registration_lost:
            try:
                await self._delete_entry(self._name, self._entry_version)
            except StoreRestoredError:
                log_state(
                    log, "unregister", "repeated", "fleet: the store was restored"
                )
            else:
                return
        # A registration whose answer was lost may have taken effect, and a restored
        # store may have an entry with another version.
        await self._remove_entry(self._name, self._registration_id)

    async def follow(self) -> None:
        """Read the list of VMs periodically, without end.

        A VM in contact with the leader gets the number of VMs from it and does not need
        the list.
        """
        while True:
            try:
                is_leader_now = self._leadership.is_leader
                if not is_leader_now:
                    # Missing reports count only from the time this VM became leader.
                    self._last_report_at.clear()
                    self._processes.clear()
                    self._absent_since.clear()
                    self._has_removals_due = False
                has_contact = not is_leader_now and self._leadership.has_leader_contact
                if has_contact and not self._needs_list():
                    await asyncio.sleep(VM_LIST_INTERVAL_S)
                    continue
                listing = await self.list_vms(stale_ok=not is_leader_now)
                self._vms = listing.vms
                is_known = listing.generation == generation_of(self._view.version)
                # The list of a store that was just restored may lack some VMs.
                if not has_contact and is_known:
                    self._on_vm_count(max(1, len(self._vms)))
                if is_leader_now:
                    await self._remove_absent()
            except PlatformError as error:
                log_state(log, "vms", "failed", f"fleet: {error}")
            interval_s = (
                ABSENT_LIST_INTERVAL_S if self._has_removals_due else VM_LIST_INTERVAL_S
            )
            await asyncio.sleep(interval_s * random.uniform(0.8, 1.0))

    async def list_vms(self, stale_ok: bool = False) -> VmListing:
        """Return the entries of all VMs; ``stale_ok`` permits data seconds old."""
        listing = await self._store.list_objects(
            VM_KIND, deadline_in(STORE_CALL_TIMEOUT_S), stale_ok=stale_ok
        )
        vms = [
            _decode_vm(name, stored.value) for name, stored in listing.objects.items()
        ]
        if not stale_ok:
            self._vms = vms
        return VmListing(vms, generation_of(listing.version))

    async def register(self) -> None:
        """Keep this VM in the list of those that may use primaries, without end.

        The VM uses a primary only after the store has acknowledged the entry, so that
        every later change of primary waits for this VM.
        """
        while True:
            # Also differs from earlier registrations of this process.
            self._registration_id = time.time_ns() // 1_000_000
            value = {
                "url": self._vm.url,
                "failure_domain": self._vm.failure_domain,
                "processors": self._vm.processors,
                "process": self._registration_id,
            }
            self._entry_version = 0
            try:
                self._entry_version = await self._write_entry(value)
            except PlatformError as error:
                log_state(log, "register", "failed", f"fleet: {error}")
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            self._registered = True
            self._view.note_registered(now(), generation_of(self._entry_version))
            await self._on_registered()
            log_state(log, "register", "done", "fleet: this VM is registered")
            unlisted = await self._wait_until_unlisted()
            log_state(log, "register", "lost", f"fleet: {unlisted.reason}")
            if unlisted.keeps_lease:
                await asyncio.sleep(random.uniform(0.0, self._registration_spread_s()))
            else:
                self._view.suspend()

    async def _wait_until_unlisted(self) -> _Unlisted:
        """Wait until this VM's entry may be missing; return why it may."""
        while True:
            state = self._view.state
            if state is not None and (
                state.absent.get(self._name) == self._registration_id
            ):
                return _Unlisted("this VM was marked as absent", False)
            if not self._view.is_registered:
                return _Unlisted(
                    "this VM had no lease for so long that it may have been removed",
                    False,
                )
            if self._view.is_registration_lost:
                # Changes of primary wait for the leases from before the restore.
                return _Unlisted("the store was restored from a copy", True)
            await self._view.wait_for_change()

    async def _write_entry(self, value: dict[str, Any]) -> int:
        """Replace an earlier entry of this VM, or create it; return its version.

        The update names the version that it replaces. An update of an earlier process
        that the store executes late then does not replace the entry of a later one.
        """
        try:
            stored = await self._store.get(
                VM_KIND, self._name, deadline_in(STORE_CALL_TIMEOUT_S)
            )
        except ObjectNotFoundError as error:
            expected = error.version
            has_entry = False
        else:
            has_entry = True
            expected = stored.version
        if self._has_predecessor is None:
            self._has_predecessor = has_entry
        return await self._store.put(
            VM_KIND, self._name, value, expected, deadline_in(STORE_CALL_TIMEOUT_S)
        )

    async def _remove_absent(self) -> None:
        """Remove the entries of VMs that have not reported for a long time.

        Such a VM may still read the store and use primaries. It is marked as absent
        first. Its entry is removed after its lease has ended, unless the VM has
        registered again. The mark outlasts the entry, so that the VM learns of the
        removal when it returns.
        """
        state = self._view.state
        if state is None:
            return
        time_now = now()
        entries = {vm.name: vm.process for vm in self._vms}
        silent = {
            vm.name: vm.process
            for vm in self._vms
            if vm.name != self._name
            and self._last_report_at.setdefault(vm.name, time_now)
            < time_now - ABSENT_AFTER_S
        }
        new_absent = {
            name: process
            for name, process in {**state.absent, **silent}.items()
            if entries.get(name, process) == process
            and (name in entries or not self._is_mark_expired(name, time_now))
        }
        for name, process in new_absent.items():
            if (
                name in entries
                and state.absent.get(name) == process
                and self._absent_since.get(name, time_now)
                < time_now - ABSENT_REMOVAL_DELAY_S
            ):
                await self._remove_entry(name, process)
        if new_absent != state.absent:
            await self._leadership.change_absent_vms(lambda _: new_absent)
            time_now = now()
        self._absent_since = {
            name: self._absent_since.get(name, time_now) for name in new_absent
        }
        self._has_removals_due = any(name in entries for name in new_absent)

    def _is_mark_expired(self, name: str, time: float) -> bool:
        return self._absent_since.get(name, time) < time - ABSENT_MARK_RETENTION_S

    async def _remove_entry(self, name: str, process: int) -> None:
        try:
            stored = await self._store.get(
                VM_KIND, name, deadline_in(STORE_CALL_TIMEOUT_S)
            )
        except ObjectNotFoundError:
            return
        if _decode_vm(name, stored.value).process == process:
            await self._delete_entry(name, stored.version)
            log_state(
                log,
                "vms",
                "removed",
                f"fleet: removed the entry of {name}, process {process}",
            )

    async def _delete_entry(self, name: str, version: int) -> None:
        try:
            await self._store.delete(
                VM_KIND, name, version, deadline_in(STORE_CALL_TIMEOUT_S)
            )
        except StoreRestoredError:
            raise
        except VersionConflictError:
            log_state(
                log,
                "vms",
                "kept",
                f"fleet: kept the entry of {name}, which has changed meanwhile",
            )
