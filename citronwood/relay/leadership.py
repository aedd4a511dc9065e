"""Which VM leads, and the fleet's state in the platform's store.

The leader renews the state every second. Another VM takes over when it saw no renewal
for ``TAKEOVER_S`` while the store answered it, or at once when the leader's process has
certainly ended. A leader acts for ``LEAD_S`` after it asked for its last renewal, which
is shorter, so that two leaders never act at once.
"""

import asyncio
import logging
import random
import secrets
from collections.abc import Callable
from typing import Any, TypedDict

import msgspec

from citronwood.deadline import deadline_in
from citronwood.decisions import log_state
from citronwood.errors import (
    MessageError,
    NotLeaderError,
    ObjectNotFoundError,
    PlatformError,
    PlatformUnavailableError,
    VersionConflictError,
)
from citronwood.platform.api import ObjectStore
from citronwood.relay.clock import now
from citronwood.relay.view import FleetState, GroupState, PrimaryView

log = logging.getLogger(__name__)

STATE_KIND = "citronwood-fleet"
STATE_NAME = "state"
# A fifth of the lease of the VMs' view, so that some reads may fail.
READ_INTERVAL_S = 1.0
RETRY_INTERVAL_S = 0.3
CALL_S = 0.8
LEAD_S = 2.5
TAKEOVER_S = 3.5
# Spreads the attempts of several VMs to lead.
TAKEOVER_JITTER_S = 0.3
# An answer of the leader replaces a read of the store for so long; two reports fit in,
# or a read of a deputy and a report to it.
HEARD_S = 2.0


class _GroupRecord(TypedDict):
    primary: str
    term: int
    changing: bool
    change: int


class _StateRecord(TypedDict):
    edition: int
    leader: str
    leader_url: str
    leader_process: int
    fence: int
    renewal: str
    secret: str
    groups: dict[str, _GroupRecord]
    absent: dict[str, int]


def encode_state(state: FleetState) -> bytes:
    """Encode the state for other VMs."""
    return msgspec.json.encode(_to_record(state))


def decode_state(data: bytes) -> FleetState:
    """Decode a state sent by another VM or raise ``MessageError``."""
    try:
        return _from_record(msgspec.json.decode(data, type=_StateRecord))
    except msgspec.DecodeError as error:
        raise MessageError("malformed", str(error)) from None


def _to_record(state: FleetState) -> dict[str, Any]:
    groups = {name: group._asdict() for name, group in state.groups.items()}
    return {**state._asdict(), "groups": groups}


def _from_record(record: _StateRecord) -> FleetState:
    groups = {name: GroupState(**group) for name, group in record["groups"].items()}
    return FleetState(
        edition=record["edition"],
        leader=record["leader"],
        leader_url=record["leader_url"],
        leader_process=record["leader_process"],
        fence=record["fence"],
        renewal=record["renewal"],
        secret=record["secret"],
        groups=groups,
        absent=record["absent"],
    )


def _edited(state: FleetState) -> FleetState:
    return state._replace(edition=state.edition + 1)


class Leadership:
    """Reads of the fleet's state by a VM, and its part as leader.

    Parameters
    ----------
    name, process : str, int
        The VM and its process, which differs after a restart.
    url : str
        Address for other VMs.
    on_write : callable
        Called with each changed state that this VM has written, and its version.
    pace : callable
        Returns the interval for reads of one of many VMs, from that of a few.
    """

    def __init__(
        self,
        store: ObjectStore,
        view: PrimaryView,
        name: str,
        process: int,
        url: str,
        on_write: Callable[[FleetState, int], None],
        pace: Callable[[float], float] = lambda interval_s: interval_s,
    ) -> None:
        self._store = store
        self._view = view
        self._name = name
        self._process = process
        self._url = url
        self._on_write = on_write
        self._pace = pace
        self._leads_until = 0.0
        self._renewed_at = now()
        self._renewed_version = 0
        self._leader_ended: tuple[str, int] | None = None
        self._lock = asyncio.Lock()
        self._wake = asyncio.Event()
        self._stopping = False
        self._leader_heard_at = -1e9

    @property
    def hears_leader(self) -> bool:
        """Whether the state is known from another VM, so that no reads are needed."""
        return now() < self._leader_heard_at + HEARD_S

    @property
    def is_leader(self) -> bool:
        """Whether this VM may act as leader now."""
        return now() < self._leads_until

    @property
    def leads_until(self) -> float:
        """End of the time for which this VM may act as leader."""
        return self._leads_until

    async def run(self) -> None:
        """Read or renew the state for ever."""
        interval_s = READ_INTERVAL_S
        stepped_at = -1e9
        while True:
            woken = self._wake.is_set()
            self._wake.clear()
            if woken or self._is_named or self._is_due(stepped_at, interval_s):
                stepped_at = now()
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

    def _is_due(self, stepped_at: float, interval_s: float) -> bool:
        """Whether to step after an interval; asked anew as this VM's part changes."""
        paced_s = self._pace(interval_s)
        return paced_s <= interval_s or now() >= stepped_at + paced_s

    def leader_ended(self, leader: str, process: int) -> None:
        """Note the proof that a leader's process has ended."""
        if self._leader_ended != (leader, process):
            self._leader_ended = (leader, process)
            self._wake.set()

    def read_soon(self) -> None:
        """Read the state at once instead of after the usual time."""
        self._leader_heard_at = -1e9
        self._wake.set()

    def heard(self, asked_at: float, version: int, edition: int) -> None:
        """Note that another VM knows the state to have been so at this time.

        Only the leader changes the state, so its answer is as good as a read.
        """
        self._see(version)
        state = self._view.state
        if state is None or state.edition != edition:
            self.read_soon()
            return
        self._leader_heard_at = max(asked_at, self._leader_heard_at)
        self._view.renew(asked_at)

    async def change_groups(
        self, change: Callable[[dict[str, GroupState]], dict[str, GroupState]]
    ) -> FleetState:
        """Write changed groups as leader; raises ``NotLeaderError``."""
        async with self._lock:
            state = self._view.state
            if not self.is_leader or state is None:
                raise NotLeaderError("this VM does not lead")
            groups = change(dict(state.groups))
            return await self._write(_edited(state._replace(groups=groups)))

    async def change_absent(
        self, change: Callable[[dict[str, int]], dict[str, int]]
    ) -> FleetState:
        """Write changed absent VMs as leader; raises ``NotLeaderError``."""
        async with self._lock:
            state = self._view.state
            if not self.is_leader or state is None:
                raise NotLeaderError("this VM does not lead")
            absent = change(dict(state.absent))
            return await self._write(_edited(state._replace(absent=absent)))

    async def resign(self) -> None:
        """Let another VM lead at once."""
        self._stopping = True
        async with self._lock:
            state = self._view.state
            if state is None or not self.is_leader:
                return
            try:
                await self._write(_edited(state._replace(leader="", leader_url="")))
            except PlatformError as error:
                log_state(log, "resign", "failed", f"fleet: not resigned: {error}")
            self._leads_until = 0.0

    @property
    def _is_named(self) -> bool:
        """Whether the state names this process as leader."""
        state = self._view.state
        return state is not None and (
            (state.leader, state.leader_process) == (self._name, self._process)
        )

    async def _step(self) -> None:
        async with self._lock:
            state = self._view.state
            if state is not None and self._is_named and not self._stopping:
                await self._write(state)
                return
            if self.hears_leader:
                return
            await self._read()
            await self._take_over_if_needed()

    async def _read(self) -> None:
        asked_at = now()
        deadline = deadline_in(CALL_S)
        try:
            found = await self._store.get(STATE_KIND, STATE_NAME, deadline)
        except ObjectNotFoundError:
            if self._stopping:
                return
            first = FleetState(0, "", "", 0, 0, "", secrets.token_hex(16), {}, {})
            await self._lead(first, 0)
            return
        self._see(found.version)
        try:
            state = _from_record(msgspec.convert(found.value, _StateRecord))
        except msgspec.ValidationError as error:
            raise PlatformError(f"the fleet's state cannot be read: {error}") from None
        self._view.learn(state, found.version)
        self._view.renew(asked_at)

    def _see(self, version: int) -> None:
        if version > self._renewed_version:
            self._renewed_version = version
            self._renewed_at = now()

    async def _take_over_if_needed(self) -> None:
        # Both from one moment: the view may learn a newer state during the wait below.
        state, version = self._view.state, self._view.version
        if state is None or self._stopping or self.is_leader:
            return
        silent_s = now() - self._renewed_at
        ended = self._leader_ended == (state.leader, state.leader_process)
        # An earlier process of this VM has ended as well.
        ended = ended or state.leader in ("", self._name)
        if not ended and silent_s < TAKEOVER_S:
            return
        await asyncio.sleep(random.uniform(0, TAKEOVER_JITTER_S if not ended else 0.05))
        try:
            await self._lead(state, version)
        except VersionConflictError:
            await self._read()

    async def _lead(self, state: FleetState, version: int) -> None:
        new = _edited(
            state._replace(
                leader=self._name,
                leader_url=self._url,
                leader_process=self._process,
                fence=state.fence + 1,
            )
        )
        await self._write(new, version)
        log_state(
            log,
            "leader",
            "taken",
            "fleet: this VM leads",
            fence=new.fence,
            version=version,
        )

    async def _write(self, state: FleetState, version: int | None = None) -> FleetState:
        expected = self._view.version if version is None else version
        new = state._replace(renewal=secrets.token_hex(8))
        asked_at = now()
        try:
            written = await self._store.put(
                STATE_KIND,
                STATE_NAME,
                _to_record(new),
                expected,
                deadline_in(CALL_S),
            )
        except VersionConflictError:
            if version is None:
                self._leads_until = 0.0
                log_state(log, "leader", "lost", "fleet: another VM leads")
                await self._read()
                raise NotLeaderError("another VM leads") from None
            raise
        except PlatformUnavailableError:
            # The write may still take effect; a read shows it.
            if version is None:
                await self._read()
            raise
        self._see(written)
        changed = self._view.state is None or new.edition != self._view.state.edition
        self._view.learn(new, written)
        self._view.renew(asked_at)
        self._leads_until = asked_at + LEAD_S
        if changed:
            self._on_write(new, written)
        return new
