"""Track which VMs are live, from heartbeats and the platform's list.

Each VM increments a counter every 200 ms and sends its table of counters to two random
peers. A VM whose counter has not increased for ``SUSPECT_AFTER_S`` is suspect and
holds no roles; after ``DEAD_AFTER_S`` it is dead. Before a VM becomes suspect, it is
sent probes, which are heartbeats that ask for an answer, because gossip alone
occasionally leaves gaps of more than a second.
A suspect or dead VM becomes live again only after ``RECOVERY_S`` of steady heartbeats,
so that a slow peer does not cause roles to flap.

Fleets of more than ``MAX_TABLE_VMS`` VMs send heartbeats less often, and a heartbeat
carries only the entries that were sent least often. Updates then take longer to reach
every VM, so the timeouts grow with the square root of the fleet size. To detect a dead
VM as fast as in a small fleet, each VM chooses two watchers in other failure domains.
Watchers receive all of its heartbeats and report to the others when the heartbeats
stop. A VM that receives such a report probes the silent VM before it suspects that VM.

An entry is sent as the short id of a process and the low bits of its counter. A
receiver that does not know the id requests the full entry from the sender.
"""

import asyncio
import logging
import random
from collections.abc import Callable
from heapq import nsmallest
from math import sqrt
from time import monotonic

from citronwood.deadline import deadline_in
from citronwood.decisions import log_state
from citronwood.errors import PlatformError
from citronwood.fleet.entries import (
    COUNTER_MASK,
    LEAVING,
    LEFT,
    MAX_WANTED_IDS,
    Entry,
    Liveness,
    ProcessIndex,
    VmChange,
    process_id,
)
from citronwood.fleet.peers import Peers
from citronwood.inner.messages import Heartbeat, VmState
from citronwood.inner.rpc import Caller, Rpc
from citronwood.platform.api import PlatformClient, Vm
from citronwood.tasks import cancel_tasks

log = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_S = 0.2
SUSPECT_AFTER_S = 1.5
DEAD_AFTER_S = 5.0
# Fraction of the suspicion timeout after which a VM is probed. At 0.5, each of 150 VMs
# sent 9.8 probes a second, mostly over new connections; at 0.7 it sends 1.6.
PROBE_AFTER_FRACTION = 0.7
# Further VMs are probed with a later heartbeat.
MAX_PROBES_PER_HEARTBEAT = 4
PEER_RECONNECT_INTERVAL_S = 2.0
RECOVERY_S = 1.0
MAX_TABLE_VMS = 48
# One of this many heartbeats also goes to a dead VM, so that a partition heals.
DEAD_VM_RETRY_HEARTBEATS = 8
# A new process is sent as a full entry for this long; a VM that missed it requests it.
FULL_ENTRY_S = 2.0
# A heartbeat that is delayed by more than this shows that this process paused. The
# pause must not count as silence of the other VMs.
PAUSE_THRESHOLD_S = 0.4
LIST_INTERVAL_S = 3.0
LIST_TIMEOUT_S = 2.0
# All VMs together make about 60 list reads/s of the platform's store at most, at any
# fleet size.
MAX_FLEET_LIST_READS_PER_S = 60
# The entry of a VM that is not on the list is deleted after this long a silence.
FORGET_AFTER_S = 60.0
# Longer than HEARTBEAT_INTERVAL_S, because in large fleets each heartbeat also goes to
# the VM's watchers.
LARGE_FLEET_HEARTBEAT_INTERVAL_S = 0.4
# Replaces MAX_PROBES_PER_HEARTBEAT in large fleets. When a failure domain fails, all of
# its VMs are probed at about the same time. With 4, at 300 VMs, 0.4 % of the other VMs
# were probed too late and became suspect.
LARGE_FLEET_MAX_PROBES = 16
# Longer than it takes to suspect a watched VM (``SUSPECT_AFTER_S``), so that a VM is
# still watched after its heartbeats have stopped.
WATCH_LIFETIME_S = 5.0
# Time that a VM reported as silent has to answer a probe; enough for two probes.
REPORTED_PROBE_TIMEOUT_S = 0.6
# Heartbeats report a silent VM for this long.
REPORT_LIFETIME_S = 4.0
# In large fleets, VMs other than the watchers get a VM's counters less often, so their
# timeout is ``suspect_after_s`` times this factor.
UNWATCHED_TIMEOUT_FACTOR = 2.0
# A counter with a new configuration version is sent this many extra times.
NEW_VERSION_EXTRA_SENDS = 4


class FleetMembership:
    """Fleet membership as one VM sees it.

    Parameters
    ----------
    seeds : tuple of str
        Addresses of VMs to contact while they are unknown.
    config_state : callable
        Returns the version of this VM's configuration and its validation age in ms.
    """

    def __init__(
        self,
        rpc: Rpc,
        failure_domain: str,
        seeds: tuple[str, ...] = (),
        platform: PlatformClient | None = None,
        config_state: Callable[[], tuple[int, int | None]] = lambda: (0, None),
    ) -> None:
        self._rpc = rpc
        self._platform = platform
        self._config_version_and_age = config_state
        self._seeds = tuple(url for url in seeds if url != rpc.url)
        self._counter = 0
        self._own_status = "live"
        self._failure_domain = failure_domain
        self._entries: dict[str, Entry] = {}
        self._processes = ProcessIndex()
        self._peers = Peers(rpc.name, failure_domain, self._entries)
        self._reported_silent: list[Entry] = []
        self._list_received = False
        self._listeners: list[Callable[[VmChange], None]] = []
        self._heartbeat_listeners: list[Callable[[Caller, Heartbeat], None]] = []
        self._live: tuple[VmState, ...] | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._last_heartbeat_at = monotonic()
        self._started_at = self._last_heartbeat_at
        self._random = random.Random()
        rpc.on_notification(Heartbeat, self._on_heartbeat)

    @property
    def own(self) -> VmState:
        """State of this VM."""
        return VmState(
            name=self._rpc.name,
            incarnation=self._rpc.incarnation,
            counter=self._counter,
            url=self._rpc.url,
            failure_domain=self._failure_domain,
            status=self._own_status,
            config_version=self._config_version_and_age()[0],
        )

    @property
    def live(self) -> tuple[VmState, ...]:
        """VMs that may take roles, sorted by name.

        This VM is included only while its own status is ``live``.
        """
        if self._live is None:
            states = [
                entry.state
                for entry in self._entries.values()
                if _can_take_roles(entry)
            ]
            if self._own_status == "live":
                states.append(self.own)
            self._live = tuple(sorted(states))
        return self._live

    @property
    def suspect_after_s(self) -> float:
        """Time without a counter increase after which a VM of a small fleet is suspect.

        In a large fleet, a majority of the live VMs is heard from within this time.
        """
        return SUSPECT_AFTER_S * self._timeout_scale

    def liveness(self, name: str) -> Liveness:
        """Return the liveness of a VM; an unknown VM is ``UNHEARD``."""
        if name == self._rpc.name:
            return Liveness.LIVE
        entry = self._entries.get(name)
        return Liveness.UNHEARD if entry is None else entry.liveness

    def is_dead(self, name: str) -> bool:
        """Whether the VM is known to have failed or left."""
        return self.liveness(name) is Liveness.DEAD

    def heard_majority(self, within_s: float) -> bool:
        """Whether a majority of the fleet was heard from in the last ``within_s``.

        The fleet is this VM and the others on the platform's list. Until a list is
        received, it is this VM and all known VMs that are not dead. A ``within_s``
        below ``suspect_after_s``, which grows with the fleet, is raised to it. With
        neither a list nor a known peer, only a VM without platform and seeds has a
        majority.
        """
        period_s = max(within_s, self.suspect_after_s)
        entries = [
            entry
            for entry in self._entries.values()
            if self._counts_for_majority(entry)
        ]
        if not entries:
            return self._list_received or (self._platform is None and not self._seeds)
        since = monotonic() - period_s
        heard_count = sum(
            1
            for other in entries
            if other.heard_at is not None and other.heard_at >= since
        )
        return (heard_count + 1) * 2 > len(entries) + 1

    def on_vm_change(self, listener: Callable[[VmChange], None]) -> None:
        """Register a callback for changes of a VM's liveness, status or process."""
        self._listeners.append(listener)

    def on_heartbeat(self, listener: Callable[[Caller, Heartbeat], None]) -> None:
        """Register a callback for heartbeats, which carry configuration ages."""
        self._heartbeat_listeners.append(listener)

    def announce_leaving(self) -> None:
        """Announce that this VM gives up its roles."""
        self._announce_status(LEAVING)

    def announce_stopped(self) -> None:
        """Announce that this process has released everything and stops.

        Peers treat it as dead at once instead of after ``DEAD_AFTER_S``.
        """
        self._announce_status(LEFT)

    def start(self) -> None:
        """Start sending heartbeats and polling the platform's list."""
        self._last_heartbeat_at = monotonic()
        self._tasks.append(asyncio.create_task(self._send_heartbeats()))
        if self._platform is not None:
            self._tasks.append(
                asyncio.create_task(self._poll_platform_list(self._platform))
            )

    async def close(self) -> None:
        """Stop sending heartbeats and polling the list."""
        await cancel_tasks(self._tasks)

    @property
    def _timeout_scale(self) -> float:
        # Scaled linearly, 620 VMs would take 19 s to suspect a VM.
        fleet_size = len(self._entries) + 1
        return sqrt(max(1.0, fleet_size / MAX_TABLE_VMS))

    @property
    def _interval_s(self) -> float:
        return (
            LARGE_FLEET_HEARTBEAT_INTERVAL_S
            if self._is_large_fleet
            else HEARTBEAT_INTERVAL_S
        )

    @property
    def _suspect_unwatched_after_s(self) -> float:
        return self.suspect_after_s * (
            UNWATCHED_TIMEOUT_FACTOR if self._is_large_fleet else 1.0
        )

    @property
    def _dead_after_s(self) -> float:
        return self._suspect_unwatched_after_s + DEAD_AFTER_S - SUSPECT_AFTER_S

    def _counts_for_majority(self, entry: Entry) -> bool:
        if self._list_received:
            return entry.listed
        return entry.liveness is not Liveness.DEAD

    async def _send_heartbeats(self) -> None:
        while True:
            self._send_heartbeat()
            jitter = self._random.uniform(0.9, 1.1)
            await asyncio.sleep(self._interval_s * jitter)

    def _send_heartbeat(self) -> None:
        now = monotonic()
        delay = now - self._last_heartbeat_at - self._interval_s
        self._last_heartbeat_at = now
        if delay > PAUSE_THRESHOLD_S:
            self._discount_pause(delay)
        self._counter += 1
        self._live = None
        self._update_liveness(now)
        message = self._build_heartbeat(self._build_table(now))
        for url in self._choose_peers():
            self._rpc.notify(url, message)
        if self._is_large_fleet:
            message = message._replace(watch=True)
            for name in self._peers.watchers(self._counter):
                self._rpc.notify(self._entries[name].state.url, message)

    @property
    def _is_large_fleet(self) -> bool:
        return len(self._entries) >= MAX_TABLE_VMS

    def _announce_status(self, status: str) -> None:
        self._own_status = status
        self._invalidate_live()
        self._send_heartbeat()
        message = self._build_heartbeat([self.own])
        # In a large fleet the VMs of the view pass the status on to the others.
        peers = [name for name in self._entries if self._peers.is_peer(name)]
        for name in peers if len(peers) < MAX_TABLE_VMS else self._peers.view:
            self._rpc.notify(self._entries[name].state.url, message)

    def _discount_pause(self, pause_s: float) -> None:
        log.warning("fleet: this process paused for %.1f s", pause_s)
        for entry in self._entries.values():
            entry.advanced_at += pause_s

    def _build_heartbeat(
        self,
        states: list[VmState],
        answer_wanted: bool = False,
        wanted: tuple[int, ...] = (),
        in_full: bool = False,
    ) -> Heartbeat:
        version, validation_age_ms = self._config_version_and_age()
        now = monotonic()
        table: list[VmState] = []
        counters: dict[int, dict[int, int]] = {}
        for state in states:
            id_to_send = None if in_full else self._short_id(state, now - FULL_ENTRY_S)
            if id_to_send is None:
                table.append(state)
            else:
                low_bits = counters.setdefault(state.config_version, {})
                low_bits[id_to_send] = state.counter & COUNTER_MASK
        suspects = {
            entry.process_id: entry.state.counter & COUNTER_MASK
            for entry in self._reported_silent
            if entry.reported_until > now
        }
        return Heartbeat(
            table,
            counters,
            version,
            validation_age_ms,
            answer_wanted,
            wanted,
            suspects=suspects,
        )

    def _short_id(self, state: VmState, recent_since: float) -> int | None:
        """Return the process id to send for an entry, None if it is sent in full.

        A process that became known after ``recent_since`` is sent in full.
        """
        if state.status != "live":
            return None
        entry = self._entries.get(state.name)
        if entry is None:
            own_id = process_id(state.name, state.incarnation)
            if self._started_at > recent_since or own_id in self._processes:
                return None
            return own_id
        if entry.process_known_at > recent_since:
            return None
        if self._processes.find(entry.process_id) is not entry:
            return None
        return entry.process_id

    def _choose_peers(self) -> list[str]:
        names = self._peers.choose_receivers(self._counter, self._random)
        peers = [self._entries[name].state.url for name in names]
        if self._seeds:
            known_urls = {entry.state.url for entry in self._entries.values()}
            unknown_urls = [url for url in self._seeds if url not in known_urls]
            if unknown_urls:
                peers.append(self._random.choice(unknown_urls))
        if self._counter % DEAD_VM_RETRY_HEARTBEATS == 0:
            dead_urls = [
                other.state.url
                for other in self._entries.values()
                if _may_return(other)
            ]
            if dead_urls:
                peers.append(self._random.choice(dead_urls))
        return peers

    def _build_table(self, now: float) -> list[VmState]:
        fresh_since = now - self._dead_after_s
        fresh = [
            entry
            for entry in self._entries.values()
            if entry.heard_at is not None
            and entry.heard_at > fresh_since
            and entry.reported_until <= now
        ]
        if len(fresh) >= MAX_TABLE_VMS:
            fresh = self._least_sent(fresh)
        for entry in fresh:
            entry.send_count += 1
        return [self.own, *(entry.state for entry in fresh)]

    def _least_sent(self, fresh: list[Entry]) -> list[Entry]:
        # The entries sent least often are the most likely to be new to the receivers.
        return nsmallest(
            MAX_TABLE_VMS,
            fresh,
            key=lambda other: (other.send_count, -other.advanced_at),
        )

    def _on_heartbeat(self, message: Heartbeat, caller: Caller) -> None:
        now = monotonic()
        for state in message.table:
            if state.name == self._rpc.name:
                self._refute(state)
            else:
                self._merge(state, now, direct=state.name == caller.name)
        unknown = self._merge_counters(message.counters, now)
        if message.watch:
            watched = self._entries.get(caller.name)
            if watched is not None:
                watched.watched_until = now + WATCH_LIFETIME_S
        for short_id, counter_bits in message.suspects.items():
            self._on_silence_report(short_id, counter_bits, now)
        if unknown:
            self._request_entries(caller.url, unknown, now)
        for listener in self._heartbeat_listeners:
            listener(caller, message)
        if message.answer_wanted:
            # A VM that has received few heartbeats would have to probe more VMs at once
            # than it may, so the answer carries the other VMs' counters too.
            self._rpc.notify(caller.url, self._build_heartbeat(self._build_table(now)))
        if message.wanted:
            states = self._find_states(message.wanted[:MAX_WANTED_IDS])
            self._rpc.notify(caller.url, self._build_heartbeat(states, in_full=True))

    def _merge_counters(
        self, counters: dict[int, dict[int, int]], now: float
    ) -> list[int]:
        """Apply newer counters; return the ids of unknown processes."""
        unknown = []
        own_id = process_id(self._rpc.name, self._rpc.incarnation)
        dead_before = now - self._dead_after_s
        for version, counters_by_id in counters.items():
            for short_id, counter_bits in counters_by_id.items():
                entry = self._processes.find(short_id)
                if entry is not None and entry.removed_incarnation is not None:
                    continue
                if entry is None or entry.advanced_at < dead_before:
                    # The counter of a VM that was dead for long may have increased by
                    # more than its low bits can show.
                    if short_id != own_id:
                        unknown.append(short_id)
                    continue
                old = entry.state
                increase = (counter_bits - old.counter) & COUNTER_MASK
                if 0 < increase <= COUNTER_MASK // 2:
                    state = old._replace(
                        counter=old.counter + increase,
                        status="live",
                        config_version=version,
                    )
                    self._apply_state(entry, state, now)
        return unknown

    def _on_silence_report(self, short_id: int, counter_bits: int, now: float) -> None:
        """Handle a report that a VM has been silent since it sent this counter."""
        entry = self._processes.find(short_id)
        if entry is None or entry.liveness not in (Liveness.LIVE, Liveness.SUSPECT):
            return
        increase = (counter_bits - entry.state.counter) & COUNTER_MASK
        if increase > COUNTER_MASK // 2:
            return
        # Other VMs may still pass on counters up to the reported one, which are no sign
        # of life. With the reported counter in the entry, they are ignored.
        state = entry.state
        entry.state = state._replace(counter=state.counter + increase)
        if entry.liveness is Liveness.SUSPECT or entry.reported_until > now:
            return
        self._report_silent(entry, now)
        latest_advance = (
            now - self._suspect_unwatched_after_s + REPORTED_PROBE_TIMEOUT_S
        )
        entry.advanced_at = min(entry.advanced_at, latest_advance)

    def _report_silent(self, entry: Entry, now: float) -> None:
        """Report a silent VM to the other VMs with the next heartbeats."""
        if entry.reported_until <= now:
            entry.reported_until = now + REPORT_LIFETIME_S
            self._reported_silent = [
                other for other in self._reported_silent if other.reported_until > now
            ]
            self._reported_silent.append(entry)

    def _request_entries(self, url: str, process_ids: list[int], now: float) -> None:
        wanted = self._processes.take_due(process_ids, now)
        if wanted:
            self._rpc.notify(url, self._build_heartbeat([self.own], wanted=wanted))

    def _find_states(self, process_ids: tuple[int, ...]) -> list[VmState]:
        """Return the states of processes, including those that share a short id."""
        wanted = set(process_ids)
        states = [
            entry.state
            for entry in self._entries.values()
            if entry.process_id in wanted and entry.heard_at is not None
        ]
        if process_id(self._rpc.name, self._rpc.incarnation) in wanted:
            states.append(self.own)
        return states

    def _refute(self, state: VmState) -> None:
        # Peers know a newer process under this VM's name: this VM restarted after its
        # wall clock was set back, or a second VM has the same name.
        own_version = (self._rpc.incarnation, self._counter)
        if (state.incarnation, state.counter) > own_version:
            log.warning("fleet: a peer reported a newer process with this VM's name")
            self._rpc.raise_incarnation(state.incarnation)

    def _merge(self, state: VmState, now: float, direct: bool) -> None:
        entry = self._entries.get(state.name)
        if entry is None:
            if not state.url:
                return
            entry = self._entries[state.name] = Entry(state, now)
            self._processes.add(entry)
            if not direct:
                # The entry may be old: the VM counts as heard once its counter rises.
                return
        elif not self._is_newer(entry, state, direct):
            return
        self._apply_state(entry, state, now)

    def _is_newer(self, entry: Entry, state: VmState, direct: bool) -> bool:
        if entry.removed_incarnation is not None:
            return state.incarnation > entry.removed_incarnation
        old = entry.state
        if (state.incarnation, state.counter) > (old.incarnation, old.counter):
            return True
        # After its wall clock was set back, a VM restarts with a lower incarnation.
        restarted = state.incarnation != old.incarnation
        return direct and restarted and entry.liveness is Liveness.DEAD

    def _apply_state(self, entry: Entry, state: VmState, now: float) -> None:
        old = entry.state
        entry.state = state
        entry.send_count = -NEW_VERSION_EXTRA_SENDS * (
            state.config_version != old.config_version
        )
        entry.reported_until = 0.0
        entry.probed_at = 0.0
        if state.incarnation != old.incarnation:
            entry.process_known_at = now
            self._processes.add(entry)
        entry.removed_incarnation = None
        if entry.liveness in (Liveness.SUSPECT, Liveness.DEAD):
            is_stale = now - entry.advanced_at > self.suspect_after_s
            if entry.recovering_since is None or is_stale:
                entry.recovering_since = now
        entry.advanced_at = entry.heard_at = now
        self._live = None
        if state.status == LEFT:
            self._mark_removed(entry, now)
            return
        if 0 < old.incarnation < state.incarnation:
            self._notify_listeners(state.name, entry.liveness, old.incarnation)
        if entry.liveness is Liveness.UNHEARD:
            self._set_liveness(entry, Liveness.LIVE)
        elif old.status != state.status:
            self._invalidate_live()
            self._notify_listeners(state.name, entry.liveness, None)

    def _update_liveness(self, now: float) -> None:
        suspect_unwatched_after = self._suspect_unwatched_after_s
        dead_after = self._dead_after_s
        due = []
        for entry in list(self._entries.values()):
            age = now - entry.advanced_at
            suspect_after = suspect_unwatched_after
            if entry.watched_until > now and entry.liveness is Liveness.LIVE:
                suspect_after = SUSPECT_AFTER_S
            if entry.unlisted_while_stopping and age > min(
                suspect_after, self.suspect_after_s
            ):
                # Removed from the list and silent, so the process has stopped.
                self._mark_removed(entry, now)
            elif age > dead_after:
                self._set_liveness(entry, Liveness.DEAD)
                if age > FORGET_AFTER_S and not entry.listed:
                    del self._entries[entry.state.name]
                    self._processes.remove(entry)
            elif age > suspect_after and entry.liveness is Liveness.LIVE:
                if self._is_large_fleet:
                    self._report_silent(entry, now)
                    entry.advanced_at = min(
                        entry.advanced_at, now - suspect_unwatched_after
                    )
                self._set_liveness(entry, Liveness.SUSPECT)
            elif age <= suspect_unwatched_after and entry.recovering_since is not None:
                if now - entry.recovering_since >= RECOVERY_S:
                    self._set_liveness(entry, Liveness.LIVE)
            if suspect_after * PROBE_AFTER_FRACTION < age <= dead_after:
                due.append(entry)
        # VMs that did not answer an earlier probe must not delay probes of the others.
        max_probes = (
            LARGE_FLEET_MAX_PROBES if self._is_large_fleet else MAX_PROBES_PER_HEARTBEAT
        )
        chosen = nsmallest(
            max_probes, due, key=lambda other: (other.probed_at, other.advanced_at)
        )
        for entry in chosen:
            entry.probed_at = now
            self._probe(entry, now, entry.liveness is not Liveness.LIVE)

    def _probe(self, entry: Entry, now: float, reconnect: bool) -> None:
        url = entry.state.url
        if url:
            if reconnect and now >= entry.reconnect_at:
                entry.reconnect_at = now + PEER_RECONNECT_INTERVAL_S
                self._rpc.reconnect(url)
            self._rpc.notify(url, self._build_heartbeat([self.own], answer_wanted=True))

    def _set_liveness(self, entry: Entry, liveness: Liveness) -> None:
        if entry.liveness is liveness:
            return
        entry.liveness = liveness
        entry.recovering_since = None
        state = entry.state
        log_state(
            log,
            "membership",
            str(liveness),
            f"fleet: {state.name} is {liveness}",
            peer=state.name,
            incarnation=state.incarnation,
        )
        self._invalidate_live()
        ended_incarnation = None
        if liveness is Liveness.DEAD and state.incarnation:
            ended_incarnation = state.incarnation
        self._notify_listeners(state.name, liveness, ended_incarnation)

    def _invalidate_live(self) -> None:
        self._live = None

    def _notify_listeners(
        self, name: str, liveness: Liveness, ended_incarnation: int | None
    ) -> None:
        change = VmChange(name, liveness, ended_incarnation)
        for listener in self._listeners:
            try:
                listener(change)
            except Exception:
                log.exception("fleet: a membership listener failed")

    async def _poll_platform_list(self, platform: PlatformClient) -> None:
        while True:
            try:
                listed = await platform.list_vms(deadline_in(LIST_TIMEOUT_S))
            except PlatformError as error:
                log.info("fleet: listing the VMs failed: %s", error)
            else:
                self.apply_list(listed)
            fleet_size = len(self._entries) + 1
            interval = max(LIST_INTERVAL_S, fleet_size / MAX_FLEET_LIST_READS_PER_S)
            await asyncio.sleep(interval * self._random.uniform(0.8, 1.2))

    def apply_list(self, listed: list[Vm]) -> None:
        """Add the VMs on the platform's list and remove those no longer on it.

        An empty list is ignored as a fault of the platform. A leaving VM is removed
        only when it stops or its heartbeats stop, because it still finishes
        transactions of other VMs.
        """
        if not listed:
            return
        self._list_received = True
        now = monotonic()
        names = {vm.name for vm in listed}
        for vm in listed:
            if vm.name != self._rpc.name:
                self._add_listed(vm, now)
        for entry in self._entries.values():
            if entry.listed and entry.state.name not in names:
                entry.listed = False
                if self._is_stopping(entry, now):
                    entry.unlisted_while_stopping = True
                else:
                    self._mark_removed(entry, now)

    def _is_stopping(self, entry: Entry, now: float) -> bool:
        """Whether a process announced that it is leaving and still sends heartbeats."""
        return (
            entry.liveness in (Liveness.LIVE, Liveness.SUSPECT)
            and entry.state.status == LEAVING
            and now - entry.advanced_at <= self.suspect_after_s
        )

    def _mark_removed(self, entry: Entry, now: float) -> None:
        """Mark a process as dead for good."""
        entry.unlisted_while_stopping = False
        entry.removed_incarnation = entry.state.incarnation
        entry.heard_at = None
        entry.advanced_at = now - self._dead_after_s
        self._set_liveness(entry, Liveness.DEAD)

    def _add_listed(self, vm: Vm, now: float) -> None:
        entry = self._entries.get(vm.name)
        if entry is None:
            state = VmState(vm.name, 0, 0, vm.url, vm.failure_domain, vm.status, 0)
            entry = self._entries[vm.name] = Entry(state, now)
        elif not entry.listed and entry.removed_incarnation is not None:
            entry.removed_incarnation = None
            entry.advanced_at = now
            entry.liveness = Liveness.UNHEARD
        if entry.liveness in (Liveness.UNHEARD, Liveness.DEAD):
            entry.state = entry.state._replace(url=vm.url)
        entry.listed, entry.unlisted_while_stopping = True, False


def _can_take_roles(entry: Entry) -> bool:
    return entry.liveness is Liveness.LIVE and entry.state.status == "live"


def _may_return(entry: Entry) -> bool:
    may_return = entry.liveness is Liveness.DEAD and entry.removed_incarnation is None
    return may_return and bool(entry.state.url)
