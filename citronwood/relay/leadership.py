"""Leader election among the VMs, and the fleet's state in the platform's store.

The leader renews the state every second. Another VM takes over when it reads the state
and has seen no renewal for ``TAKEOVER_TIMEOUT_S``, or at once when the leader's process
is known to have ended. The leader's lease lasts for ``LEADER_LEASE_S`` from the moment
it sent its last renewal. The lease is shorter than the takeover timeout, so two leaders
never act at the same time.

After the store was restored from a copy, the leader writes the state that it knows, if
its lease has not ended; nobody else has changed the state then. Otherwise another VM
takes over from the newest state that it finds, once every lease of an earlier leader
has ended, and all groups are checked before their primaries are used.
"""

import asyncio
import logging
import random
import secrets
from collections.abc import Callable

from citronwood.deadline import deadline_in
from citronwood.decisions import log_state
from citronwood.errors import (
    MessageError,
    NotLeaderError,
    ObjectNotFoundError,
    PlatformError,
    PlatformUnavailableError,
    StoreRestoredError,
    VersionConflictError,
)
from citronwood.platform.api import ObjectStore
from citronwood.relay.clock import now
from citronwood.relay.state_records import from_value, to_record
from citronwood.relay.view import (
    LEASE_MARGIN_S,
    LEASE_S,
    FleetState,
    GroupState,
    PrimaryView,
)
from citronwood.versions import generation_of, number_after

log = logging.getLogger(__name__)

STATE_KIND = "citronwood-fleet"
STATE_NAME = "state"
# A fifth of the lease ``view.LEASE_S``, so that a few failed reads do not end it.
READ_INTERVAL_S = 1.0
RETRY_INTERVAL_S = 0.3
STORE_CALL_TIMEOUT_S = 0.8
LEADER_LEASE_S = 2.5
TAKEOVER_TIMEOUT_S = 3.5
# The same in a store that was restored from a copy, where only the lease of a leader
# from before is waited for.
RESTORED_TAKEOVER_TIMEOUT_S = LEADER_LEASE_S + LEASE_MARGIN_S
# Upper bound of the random delay that spreads the takeover attempts of several VMs.
MAX_TAKEOVER_JITTER_S = 0.3
# The same when the leader's process has ended; its end is noticed at different times.
ENDED_JITTER_S = 0.05
# Further delay of the VM with the least processor time, because a leader answers the
# reports of all VMs.
MAX_WEAKNESS_DELAY_S = 0.4
# How long an answer of the leader or of a deputy replaces a read of the store. Long
# enough for two reports, or for a deputy's read of the store and a report to it.
LEADER_CONTACT_S = 2.0


def _to_uncertain(group: GroupState, change: int) -> GroupState:
    """Return a group whose primary has to be found again, as a change with a number."""
    return group._replace(
        changing=True, change=change, newest_commit=None, uncertain=True
    )


class Leadership:
    """Reads the fleet's state, and renews and changes it while this VM is the leader.

    Parameters
    ----------
    name, process : str, int
        Name of this VM, and an id of its process that changes with each restart.
    url : str
        Address at which other VMs reach this one.
    on_write : callable
        Called with each changed state that this VM has written, and its version.
    scale_interval : callable
        Lengthens a read interval in a large fleet, to limit the reads of all VMs.
    share_of_stronger : callable
        Returns the share of the VMs that have more processor time than this one. The
        more there are, the longer this VM waits before it takes over.
    is_first_start : bool
        Whether the fleet starts for the first time, so that a missing state was not
        lost with a restore.
    """

    def __init__(
        self,
        store: ObjectStore,
        view: PrimaryView,
        name: str,
        process: int,
        url: str,
        on_write: Callable[[FleetState, int], None],
        scale_interval: Callable[[float], float] = lambda interval_s: interval_s,
        share_of_stronger: Callable[[], float] = lambda: 0.0,
        is_first_start: bool = True,
    ) -> None:
        self._store = store
        self._view = view
        self._name = name
        self._process = process
        self._url = url
        self._on_write = on_write
        self._scale_interval = scale_interval
        self._share_of_stronger = share_of_stronger
        self._is_first_start = is_first_start
        self._lease_until = 0.0
        self._fence = 0
        self._renewal_seen_at = now()
        self._newest_version = 0
        self._ended_leader: tuple[str, int] | None = None
        self._lock = asyncio.Lock()
        self._wake = asyncio.Event()
        self._stopping = False
        self._leader_contact_at = -1e9

    @property
    def has_leader_contact(self) -> bool:
        """Whether another VM has just confirmed the state; no read is needed then."""
        return now() < self._leader_contact_at + LEADER_CONTACT_S

    @property
    def is_leader(self) -> bool:
        """Whether this VM may act as leader now."""
        return now() < self._lease_until and self._is_named_leader

    @property
    def fence(self) -> int:
        """Fencing token of this VM's lease as leader, whoever leads by now."""
        return self._fence

    @property
    def lease_until(self) -> float:
        """End of this VM's lease as leader."""
        return self._lease_until

    async def run(self) -> None:
        """Read or renew the state periodically, without end."""
        interval_s = READ_INTERVAL_S
        last_step_at = -1e9
        while True:
            woken = self._wake.is_set()
            self._wake.clear()
            if woken or self._is_named_leader or self._is_due(last_step_at, interval_s):
                last_step_at = now()
                interval_s = READ_INTERVAL_S
                try:
                    await self._step()
                except PlatformError as error:
                    log_state(log, "fleet_state", "failed", f"fleet: {error}")
                    interval_s = RETRY_INTERVAL_S
            try:
                async with asyncio.timeout(interval_s * random.uniform(0.9, 1.0)):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def _is_due(self, last_step_at: float, interval_s: float) -> bool:
        """Whether the next read is due.

        Evaluated in each round, because the scaled interval changes when this VM
        becomes a deputy or the number of VMs changes.
        """
        scaled_s = self._scale_interval(interval_s)
        return scaled_s <= interval_s or now() >= last_step_at + scaled_s

    def note_leader_ended(self, leader: str, process: int) -> None:
        """Record that a leader's process is known to have ended."""
        if self._ended_leader != (leader, process):
            self._ended_leader = (leader, process)
            self._wake.set()

    def read_soon(self) -> None:
        """Read the state at once instead of after the usual interval."""
        self._leader_contact_at = -1e9
        self._wake.set()

    def confirm_state(self, asked_at: float, version: int, edition: int) -> None:
        """Record that another VM knew this version to be current at ``asked_at``.

        If the known state has this edition, the lease is renewed; else the store is
        read. The other VM is the leader, which alone changes the state, or a deputy
        that has contact to the leader or has read the store.
        """
        self._note_version(version)
        state = self._view.state
        if state is None or state.edition != edition:
            self.read_soon()
            return
        self._leader_contact_at = max(asked_at, self._leader_contact_at)
        self._view.renew_lease(asked_at)

    async def change_groups(
        self, change: Callable[[dict[str, GroupState]], dict[str, GroupState]]
    ) -> FleetState:
        """Change the groups as leader; raises ``NotLeaderError``."""
        async with self._lock:
            state = self._state_to_change()
            groups = change(dict(state.groups))
            return await self._write_content(state._replace(groups=groups))

    async def change_absent_vms(
        self, change: Callable[[dict[str, int]], dict[str, int]]
    ) -> FleetState:
        """Change the list of absent VMs as leader; raises ``NotLeaderError``."""
        async with self._lock:
            state = self._state_to_change()
            absent = change(dict(state.absent))
            return await self._write_content(state._replace(absent=absent))

    async def resign(self) -> None:
        """Give up the leadership, so that another VM can take over at once."""
        self._stopping = True
        async with self._lock:
            if not self.is_leader:
                return
            try:
                state = self._state_to_change()
                # A successor may act as soon as the store has executed the write.
                self._lease_until = 0.0
                await self._write_content(state._replace(leader="", leader_url=""))
            except PlatformError as error:
                log_state(log, "resign", "failed", f"fleet: cannot resign: {error}")

    @property
    def _is_named_leader(self) -> bool:
        """Whether the state names this process of this VM as leader."""
        state = self._view.state
        return state is not None and (
            (state.leader, state.leader_process) == (self._name, self._process)
        )

    def _state_to_change(self) -> FleetState:
        """Return the state that the leader may change; raises ``NotLeaderError``."""
        state = self._view.state
        if not self.is_leader or state is None:
            raise NotLeaderError("this VM is not the leader")
        if not self._view.is_current:
            raise NotLeaderError("the store was restored and has no state of this VM")
        return state

    async def _step(self) -> None:
        async with self._lock:
            if self._is_named_leader and not self._stopping:
                if await self._renew():
                    return
            elif self.has_leader_contact:
                return
            else:
                await self._read()
            await self._take_over_if_needed()

    async def _renew(self) -> bool:
        """Renew the lease as leader; False if this VM must take over like any other.

        In the latter case the state was just read. In a store that was restored from a
        copy, the leader writes its state again while its lease lasts: until then no
        other VM can have changed the state.
        """
        if not self.is_leader:
            # Another VM may have taken over.
            await self._read()
        state = self._view.state
        if state is None or not self._is_named_leader:
            return False
        if self._view.is_current:
            try:
                await self._write(self._without_restored_mark(state))
            except VersionConflictError as error:
                if self._view.is_current:
                    raise
                log_state(log, "leader", "store_restored", f"fleet: {error}")
            else:
                return True
        if not self.is_leader:
            return False
        await self._continue_leading()
        return True

    async def _continue_leading(self) -> None:
        """Write the state as leader to a store that was restored from a copy.

        The fencing token stays, because no other VM can have taken one since.
        """
        content, version = self._view.newest_knowledge, self._view.version
        if content is None:
            return
        new = content._replace(
            edition=number_after(version),
            leader=self._name,
            leader_url=self._url,
            leader_process=self._process,
            fence=self._fence,
            restored=True,
        )
        try:
            await self._write(new, version)
        except VersionConflictError:
            await self._read()
            raise
        log_state(
            log,
            "leader",
            "continued",
            "fleet: this VM goes on as leader after a restore of the store",
            fence=new.fence,
            version=version,
        )

    def _without_restored_mark(self, state: FleetState) -> FleetState:
        """Drop the mark of a restore once no lease from before can last."""
        lease_end = self._view.current_since + LEASE_S + LEASE_MARGIN_S
        if not state.restored or now() < lease_end:
            return state
        return state._replace(restored=False, edition=number_after(self._view.version))

    async def _read(self) -> None:
        asked_at = now()
        deadline = deadline_in(STORE_CALL_TIMEOUT_S)
        try:
            stored = await self._store.get(STATE_KIND, STATE_NAME, deadline)
        except ObjectNotFoundError as error:
            self._note_version(error.version)
            self._view.note_missing(error.version)
            return
        self._note_version(stored.version)
        try:
            state = from_value(stored.value)
        except MessageError as error:
            raise PlatformError(
                f"the fleet's state cannot be decoded: {error}"
            ) from None
        self._view.update_state(state, stored.version)
        self._view.renew_lease(asked_at)

    def _note_version(self, version: int) -> None:
        if version > self._newest_version:
            self._newest_version = version
            self._renewal_seen_at = now()

    async def _take_over_if_needed(self) -> None:
        # All are taken now, because the view may get a newer state during the sleep.
        state, version = self._view.newest_knowledge, self._view.version
        is_current = self._view.is_current
        if self._stopping or self.is_leader:
            return
        since_renewal_s = now() - self._renewal_seen_at
        is_first = state is None and self._is_first_start
        ended = is_first or (is_current and self._has_leader_ended(state))
        timeout_s = TAKEOVER_TIMEOUT_S
        # VMs that know of a state take over before those that don't.
        if state is not None and not is_current:
            timeout_s = RESTORED_TAKEOVER_TIMEOUT_S
        if not ended and since_renewal_s < timeout_s:
            return
        if state is None:
            secret = secrets.token_hex(16)
            state = FleetState(0, "", "", 0, 0, "", secret, {}, {})
            state = state._replace(restored=not self._is_first_start)
        elif not is_current:
            change = number_after(version)
            groups = {
                name: _to_uncertain(group, change)
                for name, group in state.groups.items()
            }
            state = state._replace(groups=groups, restored=True)
        if not is_first:
            await asyncio.sleep(
                random.uniform(
                    0.0, MAX_TAKEOVER_JITTER_S if not ended else ENDED_JITTER_S
                )
                + MAX_WEAKNESS_DELAY_S * self._share_of_stronger()
            )
        if self._view.version > version:
            return
        try:
            await self._become_leader(state, version)
        except VersionConflictError:
            await self._read()

    def _has_leader_ended(self, state: FleetState | None) -> bool:
        """Whether the process of the leader that a state names is known to have ended.

        That tells nothing for a state of a copy, which may name an earlier leader.
        """
        if state is None:
            return False
        # This VM is not the leader. If the state names it, for example after a restart,
        # there is no live leader either.
        return state.leader in ("", self._name) or (
            self._ended_leader == (state.leader, state.leader_process)
        )

    async def _become_leader(self, state: FleetState, version: int) -> None:
        newest_version = self._newest_version
        since_renewal_s = now() - self._renewal_seen_at
        number = number_after(version)
        new = state._replace(
            edition=number,
            leader=self._name,
            leader_url=self._url,
            leader_process=self._process,
            fence=number,
        )
        await self._write(new, version)
        log_state(
            log,
            "leader",
            "taken",
            "fleet: this VM is the leader now",
            fence=new.fence,
            version=version,
            newest_version=newest_version,
            previous_leader=state.leader,
            previous_fence=state.fence,
            since_renewal_ms=round(since_renewal_s * 1000),
            restored=new.restored,
        )

    async def _write_content(self, state: FleetState) -> FleetState:
        """Write a state whose content has changed."""
        edition = number_after(self._view.version)
        return await self._write(state._replace(edition=edition))

    async def _write(self, state: FleetState, version: int | None = None) -> FleetState:
        """Write the state; a takeover passes the object version that it replaces."""
        expected = self._view.version if version is None else version
        new = state._replace(renewal=secrets.token_hex(8))
        asked_at = now()
        try:
            written = await self._store.put(
                STATE_KIND,
                STATE_NAME,
                to_record(new),
                expected,
                deadline_in(STORE_CALL_TIMEOUT_S),
            )
        except StoreRestoredError:
            await self._read()
            raise
        except VersionConflictError:
            if version is not None:
                raise
            lease_until, self._lease_until = self._lease_until, 0.0
            await self._read()
            if not self._view.is_current:
                # The store executed an update of an earlier generation.
                self._lease_until = lease_until
                raise
            log_state(log, "leader", "lost", "fleet: another VM is the leader now")
            raise NotLeaderError("another VM is the leader now") from None
        except PlatformUnavailableError:
            # The write may have been applied or may still be; read the store to see.
            if version is None:
                await self._read()
            raise
        if generation_of(written) < generation_of(self._view.version):
            # The store was restored after it had acknowledged the write.
            raise StoreRestoredError(
                STATE_KIND, STATE_NAME, expected, self._view.version
            )
        self._note_version(written)
        changed = self._view.state is None or new.edition != self._view.state.edition
        self._view.update_state(new, written)
        self._view.renew_lease(asked_at)
        if new.leader == self._name:
            self._lease_until = asked_at + LEADER_LEASE_S
            self._fence = new.fence
        if changed:
            self._on_write(new, written)
        return new
