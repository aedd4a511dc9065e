"""Which VMs are live, from heartbeats and the platform's list.

Each VM raises a counter every 200 ms and sends its table of counters to two random
peers. A VM whose counter has not increased for ``SUSPECT_AFTER_S`` is suspect and has
no roles; after ``DEAD_AFTER_S`` it is dead. Before a VM is suspected it is asked
directly for its table, because the random paths alone leave gaps of more than a second
now and then.
A suspect VM is live again only after ``RECOVERY_S`` of steady heartbeats, so that a
slow peer does not move roles to and fro.

Fleets of more than ``FULL_TABLE_VMS`` send more rarely, and tables are bounded to the
entries that were passed on least often. News then needs longer to reach everybody, so
the time limits grow with the square root of the size. So that a dead VM is noticed as
fast as in a small fleet, each VM chooses two watchers in other failure domains, which
receive all of its heartbeats and report to the others when they stop. A VM that hears
such a report asks the silent one directly before it suspects it.

Entries travel as the id of a process and the low bits of its counter. A receiver that
does not know the id asks the sender for the entry in full.
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
    MAX_WANTED,
    Change,
    Entry,
    Liveness,
    ProcessIndex,
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
# Part of the suspicion time after which a VM is asked directly. At 0.5, each of 150 VMs
# asked 9.8 times a second, mostly over new connections; at 0.7 it asks 1.6 times.
ASK_AFTER = 0.7
MAX_ASKED_PER_HEARTBEAT = 4
ENTRY_REDIAL_INTERVAL_S = 2.0
RECOVERY_S = 1.0
FULL_TABLE_VMS = 48
# Dead VMs are tried with one of this many heartbeats, so that a partition heals.
TRY_DEAD_EVERY = 8
# A new entry travels in full for this long; who misses it then asks for it.
FULL_AFTER_NEWS_S = 2.0
# A heartbeat that is late by more than this is a pause of this process, which must not
# count against the others.
OWN_PAUSE_S = 0.4
LIST_INTERVAL_S = 3.0
LIST_TIMEOUT_S = 2.0
# Listing takes at most about 60 reads/s of the platform's store at any fleet size.
LIST_VMS_PER_S = 60
FORGET_AFTER_S = 60.0
# In large fleets each heartbeat also goes to the watchers of the VM.
LARGE_INTERVAL_S = 0.4
# When a failure domain fails, all of its VMs are asked at about the same time. With 4
# at once, 0.4 % of the others were asked too late at 300 VMs and suspected.
LARGE_ASKED = 16
# Longer than the death of a VM takes, so that it is watched until then.
WATCH_LIFETIME_S = 5.0
# A VM that others report as silent has this long to answer a direct question; that is
# time for two questions.
REPORTED_GRACE_S = 0.6
REPORT_LIFETIME_S = 4.0
# Others than the watchers hear of a VM more rarely and wait this much longer.
UNWATCHED_FACTOR = 2.0
# A counter with a new configuration version is passed on this many times more.
NEW_VERSION_SENDS = 4


class FleetMembership:
    """Membership of one VM."""

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
        self._config_state = config_state
        self._seeds = tuple(url for url in seeds if url != rpc.url)
        self._counter = 0
        self._own_status = "live"
        self._failure_domain = failure_domain
        self._entries: dict[str, Entry] = {}
        self._processes = ProcessIndex()
        self._peers = Peers(rpc.name, failure_domain, self._entries)
        self._reported: list[Entry] = []
        self._list_received = False
        self._listeners: list[Callable[[Change], None]] = []
        self._heartbeat_listeners: list[Callable[[Caller, Heartbeat], None]] = []
        self._live: tuple[VmState, ...] | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._last_beat = monotonic()
        self._started_at = self._last_beat
        self._random = random.Random()
        rpc.listen(Heartbeat, self._on_heartbeat)

    @property
    def own(self) -> VmState:
        """Entry of the VM itself."""
        return VmState(
            name=self._rpc.name,
            incarnation=self._rpc.incarnation,
            counter=self._counter,
            url=self._rpc.url,
            failure_domain=self._failure_domain,
            status=self._own_status,
            config_version=self._config_state()[0],
        )

    @property
    def live(self) -> tuple[VmState, ...]:
        """VMs that may take roles, this one included, sorted by name."""
        if self._live is None:
            states = [entry.state for entry in self._entries.values() if _usable(entry)]
            if self._own_status == "live":
                states.append(self.own)
            self._live = tuple(sorted(states))
        return self._live

    @property
    def suspect_after_s(self) -> float:
        """Time without an increase after which a VM of a small fleet is suspect.

        In a large fleet it is the time in which a majority of the live VMs is heard.
        """
        return SUSPECT_AFTER_S * self._scale

    def liveness(self, name: str) -> Liveness:
        """Return what is known of a VM; VMs never heard of count as unheard."""
        if name == self._rpc.name:
            return Liveness.LIVE
        entry = self._entries.get(name)
        return Liveness.UNHEARD if entry is None else entry.liveness

    def is_dead(self, name: str) -> bool:
        """Whether the VM is known to have failed or left."""
        return self.liveness(name) is Liveness.DEAD

    def heard_majority(self, within_s: float) -> bool:
        """Whether a majority of the listed VMs was heard from recently.

        In large fleets ``within_s`` is at least ``suspect_after_s``.
        """
        within = max(within_s, self.suspect_after_s)
        entries = [entry for entry in self._entries.values() if self._counts(entry)]
        if not entries:
            return self._list_received or (self._platform is None and not self._seeds)
        since = monotonic() - within
        heard = sum(
            1 for one in entries if one.heard_at is not None and one.heard_at >= since
        )
        return (heard + 1) * 2 > len(entries) + 1

    def on_change(self, listener: Callable[[Change], None]) -> None:
        """Call a function for each change of a VM."""
        self._listeners.append(listener)

    def on_heartbeat(self, listener: Callable[[Caller, Heartbeat], None]) -> None:
        """Call a function for each heartbeat, for the age of configurations."""
        self._heartbeat_listeners.append(listener)

    def leave(self) -> None:
        """Announce that this VM gives up its roles."""
        self._announce(LEAVING)

    def end(self) -> None:
        """Announce that this process has given up everything and ends.

        Peers count it as dead at once instead of after ``DEAD_AFTER_S``.
        """
        self._announce(LEFT)

    def start(self) -> None:
        """Start to send heartbeats and to read the platform's list."""
        self._last_beat = monotonic()
        self._tasks.append(asyncio.create_task(self._beat_forever()))
        if self._platform is not None:
            self._tasks.append(asyncio.create_task(self._list_forever(self._platform)))

    async def close(self) -> None:
        """Stop."""
        await cancel_tasks(self._tasks)

    @property
    def _scale(self) -> float:
        # Without the square root, the 620 VMs would wait 19 s for a suspicion.
        size = len(self._entries) + 1
        return sqrt(max(1.0, size / FULL_TABLE_VMS))

    @property
    def _interval_s(self) -> float:
        return LARGE_INTERVAL_S if self._is_large else HEARTBEAT_INTERVAL_S

    @property
    def _silent_after_s(self) -> float:
        return self.suspect_after_s * (UNWATCHED_FACTOR if self._is_large else 1.0)

    @property
    def _dead_after_s(self) -> float:
        return self._silent_after_s + DEAD_AFTER_S - SUSPECT_AFTER_S

    def _counts(self, entry: Entry) -> bool:
        if self._list_received:
            return entry.listed
        return entry.liveness is not Liveness.DEAD

    async def _beat_forever(self) -> None:
        while True:
            self._beat()
            jitter = self._random.uniform(0.9, 1.1)
            await asyncio.sleep(self._interval_s * jitter)

    def _beat(self) -> None:
        now = monotonic()
        late = now - self._last_beat - self._interval_s
        self._last_beat = now
        if late > OWN_PAUSE_S:
            self._excuse_pause(late)
        self._counter += 1
        self._live = None
        self._review(now)
        message = self._heartbeat(self._table(now))
        for url in self._choose_peers():
            self._rpc.notify(url, message)
        if self._is_large:
            message = message._replace(watch=True)
            for name in self._peers.watchers(self._counter):
                self._rpc.notify(self._entries[name].state.url, message)

    @property
    def _is_large(self) -> bool:
        return len(self._entries) >= FULL_TABLE_VMS

    def _announce(self, status: str) -> None:
        self._own_status = status
        self._set_changed()
        self._beat()
        message = self._heartbeat([self.own])
        # In a large fleet the rest learns of it from these.
        peers = [name for name in self._entries if self._peers.is_peer(name)]
        for name in peers if len(peers) < FULL_TABLE_VMS else self._peers.view:
            self._rpc.notify(self._entries[name].state.url, message)

    def _excuse_pause(self, length: float) -> None:
        log.warning("fleet: this process paused for %.1f s", length)
        for entry in self._entries.values():
            entry.advanced_at += length

    def _heartbeat(
        self,
        states: list[VmState],
        answer_wanted: bool = False,
        wanted: tuple[int, ...] = (),
        in_full: bool = False,
    ) -> Heartbeat:
        version, vouch_age_ms = self._config_state()
        now = monotonic()
        table: list[VmState] = []
        counters: dict[int, dict[int, int]] = {}
        for state in states:
            found = None if in_full else self._short_id(state, now - FULL_AFTER_NEWS_S)
            if found is None:
                table.append(state)
            else:
                group = counters.setdefault(state.config_version, {})
                group[found] = state.counter & COUNTER_MASK
        suspects = {
            entry.process_id: entry.state.counter & COUNTER_MASK
            for entry in self._reported
            if entry.reported_until > now
        }
        return Heartbeat(
            table,
            counters,
            version,
            vouch_age_ms,
            answer_wanted,
            wanted,
            suspects=suspects,
        )

    def _short_id(self, state: VmState, news_after: float) -> int | None:
        """Return the process id of an entry that need not travel in full."""
        if state.status != "live":
            return None
        entry = self._entries.get(state.name)
        if entry is None:
            own_id = process_id(state.name, state.incarnation)
            if self._started_at > news_after or own_id in self._processes:
                return None
            return own_id
        if entry.known_at > news_after:
            return None
        if self._processes.find(entry.process_id) is not entry:
            return None
        return entry.process_id

    def _choose_peers(self) -> list[str]:
        names = self._peers.draw(self._counter, self._random)
        peers = [self._entries[name].state.url for name in names]
        if self._seeds:
            known = {entry.state.url for entry in self._entries.values()}
            unknown = [url for url in self._seeds if url not in known]
            if unknown:
                peers.append(self._random.choice(unknown))
        if self._counter % TRY_DEAD_EVERY == 0:
            dead = [one.state.url for one in self._entries.values() if _is_lost(one)]
            if dead:
                peers.append(self._random.choice(dead))
        return peers

    def _table(self, now: float) -> list[VmState]:
        limit = now - self._dead_after_s
        fresh = [
            entry
            for entry in self._entries.values()
            if entry.heard_at is not None
            and entry.heard_at > limit
            and entry.reported_until <= now
        ]
        if len(fresh) >= FULL_TABLE_VMS:
            fresh = self._bounded(fresh)
        for entry in fresh:
            entry.sent += 1
        return [self.own, *(entry.state for entry in fresh)]

    def _bounded(self, fresh: list[Entry]) -> list[Entry]:
        # What was passed on least often is most likely to be news to others.
        return nsmallest(
            FULL_TABLE_VMS, fresh, key=lambda one: (one.sent, -one.advanced_at)
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
        for number, short in message.suspects.items():
            self._on_report(number, short, now)
        if unknown:
            self._request_entries(caller.url, unknown, now)
        for listener in self._heartbeat_listeners:
            listener(caller, message)
        if message.answer_wanted:
            # The whole table, because a VM that heard little for a while asks about
            # many others at the same time, more than it may ask itself.
            self._rpc.notify(caller.url, self._heartbeat(self._table(now)))
        if message.wanted:
            states = self._find_states(message.wanted[:MAX_WANTED])
            self._rpc.notify(caller.url, self._heartbeat(states, in_full=True))

    def _merge_counters(
        self, counters: dict[int, dict[int, int]], now: float
    ) -> list[int]:
        """Take over new counters; return the ids of processes that are not known."""
        unknown = []
        own_id = process_id(self._rpc.name, self._rpc.incarnation)
        dead_before = now - self._dead_after_s
        for version, group in counters.items():
            for number, short in group.items():
                entry = self._processes.find(number)
                if entry is not None and entry.removed_incarnation is not None:
                    continue
                if entry is None or entry.advanced_at < dead_before:
                    # The counter of a VM that was long dead may have risen too far.
                    if number != own_id:
                        unknown.append(number)
                    continue
                old = entry.state
                rise = (short - old.counter) & COUNTER_MASK
                if 0 < rise <= COUNTER_MASK // 2:
                    state = old._replace(
                        counter=old.counter + rise,
                        status="live",
                        config_version=version,
                    )
                    self._advance(entry, state, now)
        return unknown

    def _on_report(self, number: int, short: int, now: float) -> None:
        """Note that others found a VM silent since it had this counter."""
        entry = self._processes.find(number)
        if entry is None or entry.liveness not in (Liveness.LIVE, Liveness.SUSPECT):
            return
        rise = (short - entry.state.counter) & COUNTER_MASK
        if rise > COUNTER_MASK // 2:
            return
        # Older counters that are still passed on are no sign of life.
        state = entry.state
        entry.state = state._replace(counter=state.counter + rise)
        if entry.liveness is Liveness.SUSPECT or entry.reported_until > now:
            return
        self._report(entry, now)
        ask_at = now - self._silent_after_s + REPORTED_GRACE_S
        entry.advanced_at = min(entry.advanced_at, ask_at)

    def _report(self, entry: Entry, now: float) -> None:
        """Tell others with the next heartbeats that a VM is silent."""
        if entry.reported_until <= now:
            entry.reported_until = now + REPORT_LIFETIME_S
            self._reported = [one for one in self._reported if one.reported_until > now]
            self._reported.append(entry)

    def _request_entries(self, url: str, process_ids: list[int], now: float) -> None:
        wanted = self._processes.request(process_ids, now)
        if wanted:
            self._rpc.notify(url, self._heartbeat([self.own], wanted=wanted))

    def _find_states(self, process_ids: tuple[int, ...]) -> list[VmState]:
        """Return the entries of processes, and those that share their ids."""
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
        # A restart after the wall clock was set back, or a second VM of this name.
        mine = (self._rpc.incarnation, self._counter)
        if (state.incarnation, state.counter) > mine:
            log.warning("fleet: a newer process of this VM's name was reported")
            self._rpc.raise_incarnation(state.incarnation)

    def _merge(self, state: VmState, now: float, direct: bool) -> None:
        entry = self._entries.get(state.name)
        if entry is None:
            if not state.url:
                return
            entry = self._entries[state.name] = Entry(state, now)
            self._processes.add(entry)
            if not direct:
                # Counts as heard when it rises again: it may be an old entry.
                return
        elif not self._is_news(entry, state, direct):
            return
        self._advance(entry, state, now)

    def _is_news(self, entry: Entry, state: VmState, direct: bool) -> bool:
        if entry.removed_incarnation is not None:
            return state.incarnation > entry.removed_incarnation
        old = entry.state
        if (state.incarnation, state.counter) > (old.incarnation, old.counter):
            return True
        restarted = state.incarnation != old.incarnation
        return direct and restarted and entry.liveness is Liveness.DEAD

    def _advance(self, entry: Entry, state: VmState, now: float) -> None:
        old = entry.state
        entry.state = state
        entry.sent = -NEW_VERSION_SENDS * (state.config_version != old.config_version)
        entry.reported_until = 0.0
        entry.asked_at = 0.0
        if state.incarnation != old.incarnation:
            entry.known_at = now
            self._processes.add(entry)
        entry.removed_incarnation = None
        if entry.liveness in (Liveness.SUSPECT, Liveness.DEAD):
            stale = now - entry.advanced_at > self.suspect_after_s
            if entry.recovering_since is None or stale:
                entry.recovering_since = now
        entry.advanced_at = entry.heard_at = now
        self._live = None
        if state.status == LEFT:
            self._remove(entry, now)
            return
        if 0 < old.incarnation < state.incarnation:
            self._notify(state.name, entry.liveness, old.incarnation)
        if entry.liveness is Liveness.UNHEARD:
            self._set_liveness(entry, Liveness.LIVE)
        elif old.status != state.status:
            self._set_changed()
            self._notify(state.name, entry.liveness, None)

    def _review(self, now: float) -> None:
        silent_after = self._silent_after_s
        dead_after = self._dead_after_s
        due = []
        for entry in list(self._entries.values()):
            age = now - entry.advanced_at
            suspect_after = silent_after
            if entry.watched_until > now and entry.liveness is Liveness.LIVE:
                suspect_after = SUSPECT_AFTER_S
            if entry.dropped and age > min(suspect_after, self.suspect_after_s):
                # The list and the silence together leave no doubt.
                self._remove(entry, now)
            elif age > dead_after:
                self._set_liveness(entry, Liveness.DEAD)
                if age > FORGET_AFTER_S and not entry.listed:
                    del self._entries[entry.state.name]
                    self._processes.remove(entry)
            elif age > suspect_after and entry.liveness is Liveness.LIVE:
                if self._is_large:
                    self._report(entry, now)
                    entry.advanced_at = min(entry.advanced_at, now - silent_after)
                self._set_liveness(entry, Liveness.SUSPECT)
            elif age <= silent_after and entry.recovering_since is not None:
                if now - entry.recovering_since >= RECOVERY_S:
                    self._set_liveness(entry, Liveness.LIVE)
            if suspect_after * ASK_AFTER < age <= dead_after:
                due.append(entry)
        # Whoever was asked before and did not answer must not keep others waiting.
        most = LARGE_ASKED if self._is_large else MAX_ASKED_PER_HEARTBEAT
        chosen = nsmallest(most, due, key=lambda one: (one.asked_at, one.advanced_at))
        for entry in chosen:
            entry.asked_at = now
            self._ask(entry, now, entry.liveness is not Liveness.LIVE)

    def _ask(self, entry: Entry, now: float, redial: bool) -> None:
        url = entry.state.url
        if url:
            if redial and now >= entry.redial_at:
                entry.redial_at = now + ENTRY_REDIAL_INTERVAL_S
                self._rpc.redial(url)
            self._rpc.notify(url, self._heartbeat([self.own], answer_wanted=True))

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
        self._set_changed()
        ended = None
        if liveness is Liveness.DEAD and state.incarnation:
            ended = state.incarnation
        self._notify(state.name, liveness, ended)

    def _set_changed(self) -> None:
        self._live = None

    def _notify(self, name: str, liveness: Liveness, ended: int | None) -> None:
        change = Change(name, liveness, ended)
        for listener in self._listeners:
            try:
                listener(change)
            except Exception:
                log.exception("fleet: a listener failed")

    async def _list_forever(self, platform: PlatformClient) -> None:
        while True:
            try:
                listed = await platform.list_vms(deadline_in(LIST_TIMEOUT_S))
            except PlatformError as error:
                log.info("fleet: no list of VMs: %s", error)
            else:
                self.apply_list(listed)
            size = len(self._entries) + 1
            interval = max(LIST_INTERVAL_S, size / LIST_VMS_PER_S)
            await asyncio.sleep(interval * self._random.uniform(0.8, 1.2))

    def apply_list(self, listed: list[Vm]) -> None:
        """Add the VMs of the platform's list and remove those that it dropped.

        One that is leaving is removed when it ends or falls silent, because it still
        finishes transactions of others.
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
                    entry.dropped = True
                else:
                    self._remove(entry, now)

    def _is_stopping(self, entry: Entry, now: float) -> bool:
        """Whether a process has said that it is leaving and is still heard."""
        return (
            entry.liveness in (Liveness.LIVE, Liveness.SUSPECT)
            and entry.state.status == LEAVING
            and now - entry.advanced_at <= self.suspect_after_s
        )

    def _remove(self, entry: Entry, now: float) -> None:
        """Count a process as dead that will not return."""
        entry.dropped = False
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
        entry.listed, entry.dropped = True, False


def _usable(entry: Entry) -> bool:
    return entry.liveness is Liveness.LIVE and entry.state.status == "live"


def _is_lost(entry: Entry) -> bool:
    lost = entry.liveness is Liveness.DEAD and entry.removed_incarnation is None
    return lost and bool(entry.state.url)
