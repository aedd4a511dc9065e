"""One VM of the relay: what it knows, its tasks, and its part in the fleet."""

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from citronwood.deadline import deadline_in
from citronwood.decisions import log_state
from citronwood.errors import (
    MessageError,
)
from citronwood.inner.rpc import Caller, Rpc
from citronwood.metrics import Metrics
from citronwood.platform.api import Listing, ObjectStore
from citronwood.relay.allowance import AccountBuckets, Allowance, Grants
from citronwood.relay.clock import now
from citronwood.relay.failover import Failover, Promotion
from citronwood.relay.feeds import Feed
from citronwood.relay.follower import FeedFollower
from citronwood.relay.grantors import choose_deputies
from citronwood.relay.leadership import Leadership, decode_state, encode_state
from citronwood.relay.messages import (
    AskReachable,
    FenceGroup,
    GroupFenced,
    LeaderAnswer,
    ReachableAnswer,
    ReportToLeader,
    StateChanged,
    StoreReads,
)
from citronwood.relay.model import BackendServer, Rules
from citronwood.relay.probes import STATUS_S, Probes
from citronwood.relay.registry import VmRegistry
from citronwood.relay.reports import Reports, has_ended
from citronwood.relay.routing import Relay
from citronwood.relay.servers import Servers
from citronwood.relay.session import Session
from citronwood.relay.statement import ServerConnector
from citronwood.relay.view import FleetState, PrimaryView
from citronwood.tasks import cancel_tasks

log = logging.getLogger(__name__)

# Reads a second of all VMs together, of each kind, while neither the leader nor a
# deputy can tell them of the store; 2 % of what the store of 18 VMs answers.
FLEET_READS_PER_S = 40.0
MAX_AGE_MS = 3_600_000
# Number of VMs to share limits with while the true one is not known.
ASSUMED_VMS = 100
TIDY_INTERVAL_S = 0.4
# A server missing from the list is dropped after this: entries that lapsed during an
# outage of the store are back within two seconds of its return.
MISSING_S = 2.5
# Statements that run at an old primary may end before its connections are closed.
FENCE_WAIT_S = 0.25


def _age_ms(since: float) -> int:
    return max(0, min(MAX_AGE_MS, int((now() - since) * 1000) + 1))


class RelayOptions(NamedTuple):
    """Addresses and names of this VM."""

    name: str
    failure_domain: str
    inner_host: str
    inner_port: int


class FeedKinds(NamedTuple):
    """Kinds of the platform's objects and their translation."""

    rules: str
    decode_rules: Callable[[Listing], Rules | None]
    servers: str
    decode_servers: Callable[[Listing], list[BackendServer]]


class RelayNode:
    """A VM of the relay."""

    def __init__(
        self,
        options: RelayOptions,
        store: ObjectStore,
        kinds: FeedKinds,
        connect: ServerConnector,
        promote: Promotion,
        metrics: Metrics,
    ) -> None:
        self._options = options
        self._metrics = metrics
        # Wall clock, so that it differs from that of earlier processes of this VM.
        self._process = time.time_ns() // 1_000_000
        self._url = f"tcp://{options.inner_host}:{options.inner_port}"
        self._rules: Rules | None = None
        rules = Feed(kinds.rules, kinds.decode_rules, self._take_rules)
        servers = Feed(kinds.servers, kinds.decode_servers, self._take_servers)
        self._view = PrimaryView()
        self._servers = Servers(connect, options.failure_domain)
        self._servers_known = False
        self._missing: dict[str, float] = {}
        self._listed: dict[str, BackendServer] = {}
        self._probes = Probes(self._servers, connect, self._view)
        self._leadership = Leadership(
            store,
            self._view,
            options.name,
            self._process,
            self._url,
            self._announce,
            self._pace,
        )
        self._feeds = FeedFollower(
            (rules, servers),
            store,
            lambda: self._leadership.is_leader,
            self._pace,
        )
        self._buckets = AccountBuckets(lambda: self._rules)
        self._reports = Reports(
            options.name,
            self._process,
            self._url,
            self._view,
            self._leadership,
            self._buckets,
            self,
        )
        self._deputies: list[str] = []
        self._allowance = Allowance(self._reports.ask, lambda: self._vm_count)
        self._registry = VmRegistry(
            store,
            self._view,
            self._leadership,
            options.name,
            self._url,
            self._count_vms,
            self._on_registered,
            lambda: self._reports.is_deputy,
        )
        # Until the number is known, no more than a small share is taken.
        self._vm_count = ASSUMED_VMS
        self._promote = promote
        self._rpc: Rpc | None = None
        self._failover: Failover | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._relay = Relay(self._servers, self._view, self._probes, self._allowance)

    @property
    def rules(self) -> Rules | None:
        """The newest known configuration."""
        return self._rules

    @property
    def vm_count(self) -> int:
        """Number of VMs that share limits and connections."""
        return self._vm_count

    @property
    def is_ready(self) -> bool:
        """Whether this VM can serve callers."""
        return (
            self._rules is not None
            and self._servers_known
            and self._registry.is_registered
            and self._view.state is not None
        )

    def open_session(self, database: str, key: str) -> Session:
        """Return a session for a caller."""
        return Session(self._relay, database, key)

    async def start(self) -> None:
        """Join the fleet; returns once the first state was read."""
        self._tasks.append(asyncio.create_task(self._leadership.run()))
        while (state := self._view.state) is None:
            await self._view.wait_for_change()
        self._start_rpc(state.secret)
        # What the leader has is fetched from it, the rest from the store.
        await self._reports.report({})
        await self._feeds.fetch()
        loops: list[Awaitable[None]] = [
            self._feeds.run(),
            self._registry.register(),
            self._reports.run(self._allowance.take_unused),
            self._registry.follow(),
            self._tidy(),
        ]
        for loop in loops:
            self._tasks.append(asyncio.ensure_future(loop))

    async def close(self) -> None:
        """Leave the fleet; sessions must have ended."""
        self._view.suspend()
        await self._leadership.resign()
        self._servers.close()
        self._probes.close()
        await self._registry.unregister()
        await cancel_tasks(self._tasks)
        await self._reports.close()
        if self._rpc is not None:
            await self._rpc.close()

    # What other VMs ask.

    def _start_rpc(self, secret: str) -> None:
        rpc = Rpc(self._options.name, secret.encode(), self._metrics)
        rpc.serve(ReportToLeader, self._on_report)
        rpc.serve(FenceGroup, self._on_fence)
        rpc.serve(AskReachable, self._on_ask_reachable)
        rpc.listen(StateChanged, self._on_state)
        self._reports.start(rpc)
        self._feeds.start(rpc)
        rpc.start(self._url)
        self._rpc = rpc
        self._failover = Failover(
            self._options.name,
            self._leadership,
            self._view,
            self._servers,
            self._probes,
            rpc,
            self._promote,
            self._registry.list_vms,
            has_ended,
            self._fence,
            self._groups,
        )
        self._tasks.append(asyncio.create_task(self._failover.run()))

    async def _on_report(self, message: ReportToLeader, caller: Caller) -> LeaderAnswer:
        self._registry.heard(caller.name)
        return self.lead_answer(caller.name, message)

    def lead_answer(self, vm: str, message: ReportToLeader) -> LeaderAnswer:
        """Answer a report to this VM as leader."""
        state = self._view.state
        if state is None or not self._reports.is_named_leader(state):
            self._buckets.leave(vm)
            return LeaderAnswer(False, False, self.store_reads(), 0, {}, {}, {}, [])
        # Also after the time to lead has ended, as in an outage of the store: the
        # grants of two leaders together stay below the limit, as each keeps out the
        # shares of the VMs that it does not hear.
        grants = Grants({}, {})
        if message.lends:
            grants = self._buckets.grant(vm, message.wanted, message.unused)
        else:
            self._buckets.leave(vm)
        positions: dict[str, tuple[int, int, int]] = {}
        for group in self._groups():
            newest = self._probes.positions(group).newest
            if newest is not None and self._view.primary_of(group) is not None:
                age_ms = int((now() - newest.asked_at) * 1000) + 1
                positions[group] = (*newest.position, age_ms)
        return LeaderAnswer(
            is_leader=self._leadership.is_leader,
            grants=True,
            reads=self.store_reads(),
            vm_count=self._vm_count,
            granted=grants.granted,
            retry_ms=grants.retry_ms,
            positions=positions,
            deputies=self._deputies,
        )

    async def _on_fence(self, message: FenceGroup, _: Caller) -> GroupFenced:
        await self._fence(message)
        return GroupFenced(self._process)

    async def _fence(self, order: FenceGroup) -> None:
        primary = self._view.named_primary(order.group)
        self._view.fence(order.group, order.change)
        pool = None if primary is None else self._servers.get(primary)
        if pool is not None:
            await pool.wait_unused(deadline_in(FENCE_WAIT_S))
            if self._view.primary_of(order.group) is None:
                pool.abort_all()

    async def _on_ask_reachable(
        self, message: AskReachable, _: Caller
    ) -> ReachableAnswer:
        if self._servers.get(message.server) is None:
            return ReachableAnswer(None)
        probe = await self._probes.status(message.server, deadline_in(STATUS_S))
        return ReachableAnswer(probe is not None)

    def _on_state(self, message: StateChanged, _: Caller) -> None:
        try:
            state = decode_state(message.state)
        except MessageError as error:
            self._metrics.count("fleet.malformed_state")
            log_state(log, "fleet_state", "malformed", f"fleet: {error}")
            return
        self._view.learn(state, message.version)

    def _announce(self, state: FleetState, version: int) -> None:
        """Tell the other VMs of a new state."""
        if self._rpc is None:
            return
        message = StateChanged(version, encode_state(state))
        for vm in self._registry.vms:
            if vm.name != self._options.name:
                self._rpc.notify(vm.url, message)

    # What this VM asks.

    def hear_leader(self, asked_at: float, answer: LeaderAnswer) -> None:
        """Take the number of VMs and the positions that the leader knows."""
        self._count_vms(answer.vm_count)
        for group, (term, number, age_ms) in answer.positions.items():
            self._probes.observe(group, term, number, asked_at - age_ms / 1000)

    def store_reads(self) -> StoreReads:
        """Return what this VM knows of the store."""
        state = self._view.state
        return StoreReads(
            state_version=self._view.version,
            edition=0 if state is None else state.edition,
            # Nobody else changes the state while this VM may act as leader.
            state_age_ms=(
                0 if self._leadership.is_leader else _age_ms(self._view.current_at)
            ),
            feed_versions=self._feeds.versions,
            feeds_age_ms=_age_ms(self._feeds.current_at),
        )

    def hear_reads(self, url: str, asked_at: float, reads: StoreReads) -> None:
        """Take what another VM knows of the store."""
        known_at = asked_at - reads.state_age_ms / 1000
        if known_at > self._view.current_at:
            self._leadership.heard(known_at, reads.state_version, reads.edition)
        polled_at = asked_at - reads.feeds_age_ms / 1000
        self._feeds.heard(url, reads.feed_versions, polled_at)

    def reads_are_old(self) -> bool:
        """Whether no VM that this one hears has read the feeds lately."""
        return self._feeds.is_source_old

    def _pace(self, interval_s: float) -> float:
        """Return the interval of a read of the store that others do as well."""
        if self._rules is None or self._reports.is_deputy:
            return interval_s
        return max(interval_s, self._vm_count / FLEET_READS_PER_S)

    # What the platform's store holds.

    async def _on_registered(self) -> None:
        """Get the fleet's state from the leader, or else from the store."""
        await self._reports.report({})
        if not self._view.is_valid:
            self._leadership.read_soon()

    def _count_vms(self, count: int) -> None:
        """Share limits and connections among so many VMs."""
        if count == self._vm_count:
            return
        self._vm_count = count
        self._buckets.set_vm_count(count)
        if self._rules is not None:
            self._servers.share_out(self._rules, count)

    def _groups(self) -> frozenset[str]:
        if self._rules is None:
            return frozenset()
        return frozenset(self._rules.connection_caps)

    def _take_rules(self, rules: Rules) -> None:
        if self._rules is None or rules.version > self._rules.version:
            self._rules = rules
            self._servers.share_out(rules, self._vm_count)
            log_state(
                log,
                "configuration",
                "in_force",
                f"config: version {rules.version} is in force",
                version=rules.version,
            )

    def _take_servers(self, servers: list[BackendServer]) -> None:
        listed = {one.id: one for one in servers}
        time_now = now()
        for server in self._listed:
            if server not in listed:
                self._missing.setdefault(server, time_now)
        for server in listed:
            self._missing.pop(server, None)
        self._listed = {**self._listed, **listed}
        self._servers_known = True
        self._drop_missing()

    def _drop_missing(self) -> None:
        limit = now() - MISSING_S
        for server, since in list(self._missing.items()):
            if since <= limit:
                del self._missing[server]
                self._listed.pop(server, None)
                log_state(log, "server", "gone", f"gateway: {server} is gone")
        self._servers.replace(self._listed.values())

    async def _tidy(self) -> None:
        while True:
            await asyncio.sleep(TIDY_INTERVAL_S)
            self._drop_missing()
            self._servers.tidy()
            self._deputies = choose_deputies(
                self._registry.vms, self._buckets.lenders - {self._options.name}
            )
