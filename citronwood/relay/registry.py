"""Entries of the VMs that may use primaries, in the platform's store.

Every VM of the list is asked when a primary is replaced, or its lease is waited for. A
VM that is silent for long is therefore removed, once it cannot use a primary any more.
"""

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from citronwood.deadline import deadline_in
from citronwood.decisions import log_state
from citronwood.errors import (
    ObjectNotFoundError,
    PlatformError,
    VersionConflictError,
)
from citronwood.platform.api import ObjectStore
from citronwood.relay.clock import now
from citronwood.relay.leadership import Leadership
from citronwood.relay.view import LEASE_S, PrimaryView

log = logging.getLogger(__name__)

VM_KIND = "citronwood-vms"
CALL_S = 0.8
RETRY_S = 0.3
LIST_INTERVAL_S = 4.0
# While a VM is named as absent.
SHORT_INTERVAL_S = 0.6
# A VM that did not report for so long is named as absent by the leader.
ABSENT_AFTER_S = 6.0
# From naming a VM as absent to removing its entry: its lease, and some margin.
ABSENT_S = LEASE_S + 0.5


class RegisteredVm(NamedTuple):
    """VM that may use primaries; ``process`` differs after it registered anew."""

    name: str
    url: str
    process: int


class VmRegistry:
    """The entry of this VM, and the list of all.

    Parameters
    ----------
    name, url : str
        This VM and its address for others.
    on_count : callable
        Called with the number of VMs whenever the list was read.
    on_registered : callable
        Called when the store has acknowledged an entry; reads the fleet's state.
    keeps_list : callable
        Tells whether this VM may have to lead soon, and then tell all others so.
    """

    def __init__(
        self,
        store: ObjectStore,
        view: PrimaryView,
        leadership: Leadership,
        name: str,
        url: str,
        on_count: Callable[[int], None],
        on_registered: Callable[[], Awaitable[None]],
        keeps_list: Callable[[], bool] = lambda: False,
    ) -> None:
        self._store = store
        self._view = view
        self._leadership = leadership
        self._name = name
        self._url = url
        self._on_count = on_count
        self._on_registered = on_registered
        self._keeps_list = keeps_list
        self._vms: list[RegisteredVm] = []
        self._heard: dict[str, float] = {}
        self._absent_since: dict[str, float] = {}
        self._registration = 0
        self._registered = False

    @property
    def vms(self) -> list[RegisteredVm]:
        """The VMs of the last list that was read."""
        return self._vms

    @property
    def is_registered(self) -> bool:
        """Whether the store has acknowledged an entry of this process."""
        return self._registered

    def heard(self, vm: str) -> None:
        """Note that a VM has reported to this one."""
        self._heard[vm] = now()

    async def unregister(self) -> None:
        """Remove the entry of this VM, which must not use primaries any more."""
        self._registered = False
        try:
            await self._store.delete(VM_KIND, self._name, 0, deadline_in(CALL_S))
        except PlatformError as error:
            log_state(log, "unregister", "failed", f"fleet: {error}")

    async def follow(self) -> None:
        """Keep up with the list of VMs for ever.

        A VM that hears the leader is told the number of VMs, and needs no list.
        """
        while True:
            try:
                leads = self._leadership.is_leader
                if not leads:
                    # Silence is counted from the start of this VM's time as leader.
                    self._heard.clear()
                    self._absent_since.clear()
                hears = not leads and self._leadership.hears_leader
                if hears and not self._keeps_list():
                    await asyncio.sleep(LIST_INTERVAL_S)
                    continue
                self._vms = await self.list_vms(stale_ok=not leads)
                if not hears:
                    self._on_count(max(1, len(self._vms)))
                if leads:
                    await self._drop_absent()
            except PlatformError as error:
                log_state(log, "vms", "failed", f"fleet: {error}")
            interval_s = SHORT_INTERVAL_S if self._absent_since else LIST_INTERVAL_S
            await asyncio.sleep(interval_s * random.uniform(0.8, 1.0))

    async def list_vms(self, stale_ok: bool = False) -> list[RegisteredVm]:
        """Return the entries of all VMs."""
        listing = await self._store.list_objects(
            VM_KIND, deadline_in(CALL_S), stale_ok=stale_ok
        )
        vms = []
        for name, found in listing.objects.items():
            value = found.value
            vms.append(RegisteredVm(name, str(value["url"]), int(value["process"])))
        if not stale_ok:
            self._vms = vms
        return vms

    async def register(self) -> None:
        """Enter this VM into the list of those that may use primaries.

        A primary is used only once the store has acknowledged the entry, so that every
        later change of primary asks this VM.
        """
        while True:
            # Differs from earlier entries of this process as well.
            self._registration = time.time_ns() // 1_000_000
            value = {"url": self._url, "process": self._registration}
            try:
                await self._write_entry(value)
            except PlatformError as error:
                log_state(log, "register", "failed", f"fleet: {error}")
                await asyncio.sleep(RETRY_S)
                continue
            self._registered = True
            self._view.registered(now())
            await self._on_registered()
            log_state(log, "register", "done", "fleet: this VM is registered")
            await self._wait_until_absent()
            self._view.suspend()
            log_state(log, "register", "lost", "fleet: this VM was taken for absent")

    async def _wait_until_absent(self) -> None:
        """Wait until the leader has taken this VM's entry for that of a lost VM."""
        while True:
            state = self._view.state
            if state is not None and (
                state.absent.get(self._name) == self._registration
            ):
                return
            await self._view.wait_for_change()

    async def _write_entry(self, value: dict[str, Any]) -> None:
        """Create the entry, or replace that of an earlier process."""
        try:
            await self._store.put(VM_KIND, self._name, value, 0, deadline_in(CALL_S))
        except VersionConflictError as conflict:
            version = conflict.actual
            await self._store.put(
                VM_KIND, self._name, value, version, deadline_in(CALL_S)
            )

    async def _drop_absent(self) -> None:
        """Remove the entries of VMs that were silent for long.

        Such a VM may still read the store and use primaries. It is named as absent
        first, and removed when its lease has ended unless it has registered anew.
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
            and self._heard.setdefault(vm.name, time_now) < time_now - ABSENT_AFTER_S
        }
        wanted = {
            name: process
            for name, process in {**state.absent, **silent}.items()
            if entries.get(name) == process
        }
        for name in list(wanted):
            if (
                state.absent.get(name) == wanted[name]
                and self._absent_since.get(name, time_now) < time_now - ABSENT_S
            ):
                await self._remove_entry(name, wanted.pop(name))
        if wanted != state.absent:
            await self._leadership.change_absent(lambda _: wanted)
            time_now = now()
        self._absent_since = {
            name: self._absent_since.get(name, time_now) for name in wanted
        }

    async def _remove_entry(self, name: str, process: int) -> None:
        try:
            found = await self._store.get(VM_KIND, name, deadline_in(CALL_S))
        except ObjectNotFoundError:
            return
        if found.value.get("process") == process:
            await self._store.delete(VM_KIND, name, found.version, deadline_in(CALL_S))
            log_state(log, "vms", "removed", f"fleet: {name} is gone")
