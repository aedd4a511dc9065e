"""One VM of the relay: its state, its background tasks, and its calls to other VMs."""

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from citronwood.deadline import deadline_in, timeout_at
from citronwood.decisions import log_state
from citronwood.errors import (
    MessageError,
)
from citronwood.ingress.budget import Limits
from citronwood.inner.rpc import Caller, Rpc
from citronwood.metrics import Metrics
from citronwood.platform.api import Listing, ObjectStore
from citronwood.relay.absence import PrimaryAbsences
from citronwood.relay.balance import ReadBalance
from citronwood.relay.clock import now
from citronwood.relay.evacuations import Evacuations
from citronwood.relay.failover import Failover
from citronwood.relay.feeds import Feed
from citronwood.relay.fencing import Fencing
from citronwood.relay.follower import FeedFollower
from citronwood.relay.forwarding import Forwarding
from citronwood.relay.grantors import choose_deputies
from citronwood.relay.leadership import Leadership
from citronwood.relay.leases import Leases
from citronwood.relay.limiter import AccountBuckets, AccountLimiter, Grants
from citronwood.relay.messages import (
    AskCommits,
    AskReachable,
    CommitsAnswer,
    FenceGroup,
    GroupFenced,
    LeaderAnswer,
    ReachableAnswer,
    ReportToLeader,
    StateChanged,
    StoreReads,
)
from citronwood.relay.model import BackendServer, Rules
from citronwood.relay.owners import Owners, is_forwarding_useful
from citronwood.relay.positions import NewestCommits
from citronwood.relay.probes import STATUS_TIMEOUT_S, Probes
from citronwood.relay.registry import (
    VM_KIND,
    Peer,
    VmRegistry,
    decode_peers,
    share_of_stronger,
)
from citronwood.relay.reports import Reports, has_ended
from citronwood.relay.routing import SessionContext
from citronwood.relay.server_list import ServerList
from citronwood.relay.servers import Servers
from citronwood.relay.session import Session
from citronwood.relay.state_records import decode_state, encode_group, encode_state
from citronwood.relay.statement import ServerConnector
from citronwood.relay.succession import Promotion, Succession
from citronwood.relay.view import FleetState, PrimaryView
from citronwood.tasks import cancel_tasks, keep_running
from citronwood.versions import generation_of

log = logging.getLogger(__name__)

# Limit for the reads of all VMs together, per kind of read, while the VMs get no answer
# from the leader or a deputy. It is 2 % of the read rate that the store serves in a
# fleet of 18 VMs.
MAX_FLEET_READS_PER_S = 40.0
# The same for the registrations of all VMs after a restore of the store. Each has two
# calls; a store for 18 VMs serves 400 updates/s.
MAX_FLEET_REGISTRATIONS_PER_S = 200.0
MAX_REPORTED_AGE_MS = 3_600_000
# Assumed while the number of VMs is unknown; high, so that this VM's share is small.
ASSUMED_VM_COUNT = 100
MAINTENANCE_INTERVAL_S = 0.4
# Statements that run at an old primary get this time before its connections are closed.
FENCE_DRAIN_TIMEOUT_S = 0.25


def _age_ms(since: float) -> int:
    return max(0, min(MAX_REPORTED_AGE_MS, int((now() - since) * 1000) + 1))


class RelayOptions(NamedTuple):
    """Name, failure domain, address and processor time (in cores) of this VM.

    ``is_first_start`` is set when the whole fleet starts for the first time. With
    ``schedules_statements``, statements for a server are run in order of priority at
    its owner. With ``balances_reads``, reads go to the server of a group that is
    expected to run them first. ``evacuation_s`` is the time after which nothing is sent
    to servers of an evacuated failure domain any more; None without evacuations.
    ``limits`` apply to the listener for other VMs.
    """

    name: str
    failure_domain: str
    inner_host: str
    inner_port: int
    processors: float = 1.0
    is_first_start: bool = True
    schedules_statements: bool = False
    balances_reads: bool = False
    evacuation_s: float | None = None
    limits: Limits | None = None


class FeedKinds(NamedTuple):
    """Kinds of the platform's objects and their decoders."""

    rules: str
    decode_rules: Callable[[Listing], Rules | None]
    servers: str
    decode_servers: Callable[[Listing], list[BackendServer]]
    evacuations: str
    decode_evacuations: Callable[[Listing], frozenset[str]]


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
        # Id of this process, from the wall clock so that it differs from the ids of
        # earlier processes of this VM.
        self._process = time.time_ns() // 1_000_000
        self._url = f"tcp://{options.inner_host}:{options.inner_port}"
        self._rules: Rules | None = None
        rules = Feed(kinds.rules, kinds.decode_rules, self._apply_rules)
        servers = Feed(kinds.servers, kinds.decode_servers, self._apply_servers)
        self._view = PrimaryView()
        self._commits = NewestCommits()
        balance = ReadBalance(metrics) if options.balances_reads else None
        self._servers = Servers(
            connect,
            options.failure_domain,
            self._commits.note,
            schedules_statements=options.schedules_statements,
            metrics=metrics,
            is_primary=lambda server: self._view.primary_of(server.group) == server.id,
            balance=balance,
        )
        self._evacuations = Evacuations(
            options.evacuation_s,
            metrics,
            lambda: self._feeds.known_at(kinds.evacuations),
            lambda: self._feeds.is_contact_lost,
        )
        self._server_list = ServerList(self._servers, self._evacuations)
        self._owners = Owners(options.name)
        self._forwarding = Forwarding(
            options.name,
            self._owners,
            lambda: self._rules,
            self._is_forwarding_useful,
            None if balance is None else balance.note_load,
        )
        self._probes = Probes(
            self._servers, connect, self._view, self._forwarding.ask_position
        )
        self._leases = Leases(
            self._servers,
            self._view,
            self._probes,
            lambda: self._rules,
            self._evacuations,
        )
        self._leadership = Leadership(
            store,
            self._view,
            options.name,
            self._process,
            self._url,
            self._broadcast_state,
            self._scale_interval,
            lambda: share_of_stronger(self._peers, options.name),
            options.is_first_start,
        )
        peers = Feed(VM_KIND, decode_peers, self._apply_peers, read_by_all=False)
        self._peers: tuple[Peer, ...] = ()
        self._evacuation_feed = Feed(
            kinds.evacuations, kinds.decode_evacuations, self._apply_evacuations
        )
        feeds: list[Feed[Any]] = [rules, servers, peers]
        if options.evacuation_s is not None:
            feeds.append(self._evacuation_feed)
        self._feeds = FeedFollower(
            feeds,
            store,
            lambda: self._leadership.is_leader,
            self._scale_interval,
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
        self._limiter = AccountLimiter(
            self._reports.request_grants, lambda: self._vm_count
        )
        self._registry = VmRegistry(
            store,
            self._view,
            self._leadership,
            Peer(options.name, self._url, options.failure_domain, options.processors),
            self._set_vm_count,
            self._on_registered,
            lambda: self._reports.is_deputy,
            lambda: self._vm_count / MAX_FLEET_REGISTRATIONS_PER_S,
        )
        self._ready = asyncio.Event()
        self._vm_count = ASSUMED_VM_COUNT
        self._has_vm_count = False
        self._promote = promote
        self._rpc: Rpc | None = None
        self._failover: Failover | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._registration_task: asyncio.Task[None] | None = None
        self._session_context = SessionContext(
            self._servers,
            self._view,
            self._probes,
            self._limiter,
            self._forwarding,
            PrimaryAbsences(),
            self._evacuations,
        )

    @property
    def rules(self) -> Rules | None:
        """Newest known configuration."""
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
            and self._server_list.is_known
            and self._evacuations.is_read
            and self._registry.is_registered
            and self._view.state is not None
        )

    async def wait_until_ready(self, deadline: float) -> None:
        """Wait until this VM can serve callers, or until the deadline."""
        try:
            async with timeout_at(deadline):
                await self._ready.wait()
        except TimeoutError:
            return

    def _update_readiness(self) -> None:
        if self.is_ready:
            self._ready.set()

    def open_session(self, database: str, key: str) -> Session:
        """Return a session for a caller."""
        return Session(self._session_context, database, key)

    async def start(self) -> None:
        """Join the fleet; return after the fleet's state was read and tasks started."""
        self._start_loop("the leader election", self._leadership.run)
        while (state := self._view.state) is None:
            await self._view.wait_for_change()
        self._start_rpc(state.secret)
        # The answer to the report names the newest versions of the feeds. They are
        # fetched from the leader, or from the store if that fails.
        await self._reports.report({})
        await self._feeds.fetch()
        self._start_loop("the reading of records", self._feeds.run)
        self._start_loop(
            "the reporting", lambda: self._reports.run(self._limiter.pop_unused)
        )
        self._start_loop("the list of VMs", self._registry.follow)
        self._start_loop("the maintenance", self._run_maintenance)
        self._registration_task = self._start_loop(
            "the registration", self._registry.register
        )

    def _start_loop(
        self, name: str, loop: Callable[[], Awaitable[None]]
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(keep_running(name, loop))
        self._tasks.append(task)
        return task

    def stop_accepting(self) -> None:
        """Refuse statements of other VMs that do not belong to an open transaction."""
        self._leases.stop()

    async def finish_leases(self, deadline: float) -> None:
        """Wait for the statements and transactions of other VMs on this one."""
        await self._leases.wait_until_ended(deadline)

    async def close(self) -> None:
        """Leave the fleet; all sessions must have ended."""
        self._leases.end_all()
        # It would register this VM again once the view is suspended.
        await cancel_tasks([self._registration_task])
        self._view.suspend()
        if self._failover is not None:
            await self._failover.stop()
        await self._leadership.resign()
        self._servers.close()
        self._probes.close()
        await self._registry.unregister()
        await cancel_tasks(self._tasks)
        await self._reports.close()
        if self._rpc is not None:
            await self._rpc.close()

    # Calls from other VMs.

    def _start_rpc(self, secret: str) -> None:
        rpc = Rpc(self._options.name, secret.encode(), self._metrics)
        rpc.on_call(ReportToLeader, self._on_report)
        rpc.on_call(FenceGroup, self._on_fence)
        rpc.on_call(AskCommits, self._on_ask_commits)
        rpc.on_call(AskReachable, self._on_ask_reachable)
        rpc.on_notification(StateChanged, self._on_state)
        self._reports.start(rpc)
        self._feeds.start(rpc)
        self._leases.start(rpc)
        self._forwarding.start(rpc)
        rpc.start(self._url, limits=self._options.limits)
        self._rpc = rpc
        self._failover = Failover(
            self._options.name,
            self._leadership,
            self._view,
            self._servers,
            self._probes,
            rpc,
            self._registry,
            Fencing(
                self._options.name,
                rpc,
                self._registry.list_vms,
                has_ended,
                self._fence,
                self._commits.of_group,
            ),
            Succession(
                self._options.name,
                self._leadership,
                self._view,
                self._servers,
                self._probes,
                self._promote,
                self._sync_replicas,
                self._metrics,
            ),
            self._groups,
            self._sync_replicas,
            self._evacuations,
        )
        self._start_loop("the failover", self._failover.run)

    async def _on_report(self, message: ReportToLeader, caller: Caller) -> LeaderAnswer:
        self._registry.note_report(caller.name, message.process)
        return self.answer_report(caller.name, message)

    def answer_report(self, vm: str, message: ReportToLeader) -> LeaderAnswer:
        """Answer a report that was sent to this VM as leader."""
        state = self._view.state
        if state is None or not self._reports.is_named_leader(state):
            self._buckets.remove_lender(vm)
            return LeaderAnswer(False, False, self.store_reads(), 0, {}, {}, {}, [])
        # Grants continue after this VM's lease as leader has ended, as in an outage of
        # the store. The grants of two leaders together stay below the limit, because
        # each leaves out the shares of the VMs that do not report to it.
        grants = Grants({}, {})
        if message.lends:
            grants = self._buckets.grant(vm, message.wanted, message.unused)
        else:
            self._buckets.remove_lender(vm)
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

    async def _on_fence(
        self, message: FenceGroup, caller: Caller
    ) -> GroupFenced | None:
        await self._fence(message)
        if self._view.primary_of(message.group) is not None:
            # This VM knows the end of the change. If the leader does not, the store
            # was restored since.
            log_state(
                log,
                "fence",
                "not_confirmed",
                f"group: {message.group}: change {message.change} is already complete",
                group=message.group,
                leader=caller.name,
            )
            self._leadership.read_soon()
            return None
        newest = self._view.newest_group(message.group)
        encoded = b"" if newest is None else encode_group(newest)
        return GroupFenced(self._process, encoded)

    async def _fence(self, order: FenceGroup) -> None:
        """Stop using a group's primary and close the connections to it.

        Running statements get ``FENCE_DRAIN_TIMEOUT_S`` to end.
        """
        primary = self._view.named_primary(order.group)
        self._view.fence(order.group, order.change)
        pools = [] if primary is None else self._servers.all_pools(primary)
        deadline = deadline_in(FENCE_DRAIN_TIMEOUT_S)
        for pool in pools:
            await pool.wait_until_released(deadline)
        if self._view.primary_of(order.group) is None:
            for pool in pools:
                pool.abort_all()

    async def _on_ask_commits(self, message: AskCommits, _: Caller) -> CommitsAnswer:
        newest = self._commits.of_group(message.group)
        return CommitsAnswer(self._process, self._registry.has_predecessor, newest)

    async def _on_ask_reachable(
        self, message: AskReachable, _: Caller
    ) -> ReachableAnswer:
        if self._servers.get(message.server) is None:
            return ReachableAnswer(None)
        probe = await self._probes.status(message.server, deadline_in(STATUS_TIMEOUT_S))
        answered = self._probes.answered_within(message.server, STATUS_TIMEOUT_S)
        return ReachableAnswer(probe is not None or answered)

    def _on_state(self, message: StateChanged, _: Caller) -> None:
        try:
            state = decode_state(message.state)
        except MessageError as error:
            self._metrics.count("fleet.malformed_state")
            log_state(log, "fleet_state", "malformed", f"fleet: {error}")
            return
        previous = self._view.state
        self._view.update_state(state, message.version)
        if previous is None or previous.leader_url != state.leader_url:
            self._reports.report_soon()

    def _broadcast_state(self, state: FleetState, version: int) -> None:
        """Send a new state to the other VMs."""
        if self._rpc is None:
            return
        message = StateChanged(version, encode_state(state))
        # A new leader has not read the list of VMs yet, but knows the feed.
        urls = dict.fromkeys(
            [vm.url for vm in self._registry.vms] + [peer.url for peer in self._peers]
        )
        for url in urls:
            if url != self._url:
                self._rpc.notify(url, message)

    # Knowledge shared between VMs.

    def apply_leader_answer(self, asked_at: float, answer: LeaderAnswer) -> None:
        """Apply the number of VMs and the positions that the leader knows."""
        self._set_vm_count(answer.vm_count)
        for group, (term, number, age_ms) in answer.positions.items():
            self._probes.record_peer_position(
                group, term, number, asked_at - age_ms / 1000
            )

    def store_reads(self) -> StoreReads:
        """Return which versions of the store this VM knows, and their age."""
        state = self._view.state
        return StoreReads(
            state_version=self._view.version,
            edition=0 if state is None else state.edition,
            # No other VM changes the state while this VM may act as leader.
            state_age_ms=(
                0 if self._leadership.is_leader else _age_ms(self._view.current_at)
            ),
            feed_versions=self._feeds.versions,
            feeds_age_ms=_age_ms(self._feeds.current_at),
        )

    def apply_store_reads(self, url: str, asked_at: float, reads: StoreReads) -> None:
        """Apply the versions of the store that another VM knows."""
        known_at = asked_at - reads.state_age_ms / 1000
        if known_at > self._view.current_at:
            self._leadership.confirm_state(known_at, reads.state_version, reads.edition)
        polled_at = asked_at - reads.feeds_age_ms / 1000
        self._feeds.note_source(url, reads.feed_versions, polled_at)

    def are_reads_stale(self) -> bool:
        """Return whether no VM in contact with this one has read the store lately."""
        return self._feeds.is_source_stale

    def _scale_interval(self, interval_s: float) -> float:
        """Lengthen a read interval to keep the fleet within MAX_FLEET_READS_PER_S."""
        if self._rules is None or self._reports.is_deputy:
            return interval_s
        return max(interval_s, self._vm_count / MAX_FLEET_READS_PER_S)

    # Content of the platform's store.

    async def _on_registered(self) -> None:
        """Get the fleet's state from the leader, or else from the store."""
        await self._reports.report({})
        if not self._view.is_valid:
            self._leadership.read_soon()
        self._update_readiness()

    def _set_vm_count(self, count: int) -> None:
        """Divide limits and connections among ``count`` VMs."""
        state = self._view.state
        if self._has_vm_count and state is not None and state.restored:
            # A restored store may not list all of them yet.
            count = max(count, self._vm_count)
        self._has_vm_count = True
        if count == self._vm_count:
            return
        self._vm_count = count
        self._buckets.set_vm_count(count)
        self._divide_connections()

    def _divide_connections(self) -> None:
        if self._rules is not None:
            self._servers.divide_connections(self._rules, self._vm_count, self._owns)

    def _owns(self, server: BackendServer) -> bool | None:
        """Whether this VM is a server's owner; None if nothing is forwarded to it."""
        if not self._is_forwarding_useful(server.group):
            return None
        return self._owners.is_owner(server)

    def _is_forwarding_useful(self, group: str) -> bool:
        if self._rules is None or not self._owners.is_known:
            return False
        # One more than the known accounts, for callers without a key.
        return is_forwarding_useful(
            self._rules.connection_caps.get(group, 0),
            self._vm_count,
            len(self._rules.accounts) + 1,
        )

    def _groups(self) -> frozenset[str]:
        if self._rules is None:
            return frozenset()
        return frozenset(self._rules.connection_caps)

    def _sync_replicas(self, group: str) -> int:
        return 0 if self._rules is None else self._rules.sync_replicas.get(group, 0)

    def _apply_rules(self, rules: Rules) -> None:
        if self._rules is None or rules.version > self._rules.version:
            self._rules = rules
            self._divide_connections()
            self._update_readiness()
            log_state(
                log,
                "configuration",
                "in_force",
                f"config: version {rules.version} is in force",
                version=rules.version,
            )

    def _apply_peers(self, peers: tuple[Peer, ...]) -> None:
        is_first = not self._peers
        self._peers = peers
        state = self._view.state
        if is_first and state is not None and self._leadership.is_leader:
            # After a loss of all VMs, the new leader learns only now whom to notify.
            self._broadcast_state(state, self._view.version)
        self._owners.set_peers(peers)
        self._divide_connections()

    def _apply_servers(self, servers: list[BackendServer]) -> None:
        self._server_list.update(servers)
        self._update_readiness()

    def _apply_evacuations(self, domains: frozenset[str]) -> None:
        generation = generation_of(self._evacuation_feed.version)
        self._evacuations.update(domains, generation)
        self._server_list.apply()
        self._update_readiness()

    def _use_secret_of_fleet(self) -> None:
        """Use the fleet's secret, which changes if a restored store has no state."""
        state = self._view.state
        if state is not None and self._rpc is not None:
            self._rpc.set_secret(state.secret.encode())

    async def _run_maintenance(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            self._server_list.drop_missing()
            self._server_list.abort_evacuated()
            self._servers.maintain()
            self._probes.close_idle()
            self._leases.end_unused()
            self._use_secret_of_fleet()
            self._deputies = choose_deputies(
                self._peers, self._buckets.lenders - {self._options.name}
            )
