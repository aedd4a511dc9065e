"""Assembly of the process that runs on every VM."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from ssl import SSLContext
from typing import Any, NamedTuple

from aiomisc import Service

from citronwood.backend.api import Executor
from citronwood.backend.connection import Login
from citronwood.backend.remote import RemoteExecutor
from citronwood.backend.service import ExecutorService
from citronwood.config.distribution import ConfigDistributor, vms_behind
from citronwood.config.plan import Planner
from citronwood.deadline import deadline_in
from citronwood.decisions import log_state
from citronwood.fleet.copies import ConfigurationCopies
from citronwood.fleet.entries import VmChange
from citronwood.fleet.gateways import GatewayHost
from citronwood.fleet.membership import FleetMembership
from citronwood.fleet.reports import FleetReports
from citronwood.fleet.routing import GroupRouter
from citronwood.ingress.budget import Limits
from citronwood.inner.messages import Heartbeat, VmState
from citronwood.inner.rpc import Caller, Rpc
from citronwood.limits.limiter import FleetLimiter
from citronwood.limits.shares import RECLAIM_AFTER_S
from citronwood.limits.slots import SlotKeeper
from citronwood.metrics import Metrics
from citronwood.mysql.login_backoff import LoginBackoff
from citronwood.mysql.server import MysqlService
from citronwood.mysql.session import CallerSession, EntryServices
from citronwood.operator.exposition import MetricsServer
from citronwood.operator.http import OperatorApi, OperatorSources
from citronwood.operator.records import Records
from citronwood.platform.http import HttpPlatformClient

log = logging.getLogger(__name__)

# Limits the wait for a configuration and that for a share slot; the start then goes on
# without it.
START_TIMEOUT_S = 5.0
# Time for the other VMs to receive the announcement that this VM is leaving.
LEAVING_NOTICE_S = 0.5


class NodeOptions(NamedTuple):
    """Options of one VM.

    ``inner_url`` is the address to listen on for other VMs, ``advertised_url`` the one
    under which they reach this VM, if it differs. ``seeds`` are addresses of VMs to
    contact at the start. ``drain_s`` is the time that open transactions have to finish
    at a planned stop. Without ``operator_port`` there is no operator API, without
    ``metrics_port`` metrics are not served. ``limits`` apply to callers and other VMs.
    """

    name: str
    failure_domain: str
    host: str
    port: int
    inner_url: str
    login: Login
    secret: bytes
    seeds: tuple[str, ...] = ()
    advertised_url: str | None = None
    ssl: SSLContext | None = None
    drain_s: float = 10.0
    operator_host: str = "127.0.0.1"
    operator_port: int | None = None
    operator_token: str = ""
    metrics_host: str = "127.0.0.1"
    metrics_port: int | None = None
    limits: Limits | None = None


class Node:
    """All services of one VM, wired together."""

    def __init__(
        self, options: NodeOptions, platform: HttpPlatformClient, metrics: Metrics
    ) -> None:
        self.options = options
        self.platform = platform
        self.metrics = metrics
        self.records = Records()
        self.rpc = Rpc(options.name, options.secret, metrics)
        self.membership: FleetMembership
        self.config: ConfigDistributor
        self.gateway_host: GatewayHost
        self.router: GroupRouter
        self.limiter: FleetLimiter
        self._slot_keeper: SlotKeeper
        self.mysql: MysqlService
        self._config_copies: ConfigurationCopies
        self._executors: ExecutorService
        self._reports: FleetReports
        self._operator: OperatorApi | None = None
        self._metrics_server: MetricsServer | None = None
        self._remote_executors: dict[str, RemoteExecutor] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start all services; callers are accepted last."""
        options = self.options
        self.rpc.start(options.inner_url, options.advertised_url, options.limits)
        self._create_membership()
        self._create_request_services()
        self.membership.start()
        if not await self.config.start(deadline_in(START_TIMEOUT_S)):
            log.warning(
                "entry: no configuration yet; requests are refused until there is one"
            )
        self._slot_keeper.start()
        self.limiter.start()
        self.gateway_host.start()
        await self._serve_metrics()
        await self._wait_for_share()
        await self._serve_operators()
        await self._serve_callers()
        message = f"entry: {options.name} serves callers on port {options.port}"
        log_state(log, "process", "started", message, incarnation=self.rpc.incarnation)

    async def stop(self) -> None:
        """Finish requests and transactions within ``drain_s``, then leave the fleet.

        The gateways of this VM are stopped and its share slot is released.
        """
        deadline = deadline_in(self.options.drain_s)
        message = f"entry: planned stop of {self.options.name}"
        log_state(log, "process", "stopping", message, drain_s=self.options.drain_s)
        self.membership.announce_leaving()
        # Peers must stop choosing this VM as a gateway before its gateways stop.
        await asyncio.gather(
            self.mysql.drain(deadline), asyncio.sleep(LEAVING_NOTICE_S)
        )
        await self.mysql.stop()
        await self.gateway_host.stop(deadline)
        await self._executors.close()
        self.membership.announce_stopped()
        await self._slot_keeper.release()
        await self.limiter.close()
        await self.config.stop()
        await self.membership.close()
        if self._operator is not None:
            await self._operator.stop()
        if self._metrics_server is not None:
            await self._metrics_server.stop()
        await self.rpc.close()
        log_state(log, "process", "stopped", f"entry: {self.options.name} has stopped")

    def _create_membership(self) -> None:
        options = self.options
        self.membership = FleetMembership(
            self.rpc,
            options.failure_domain,
            options.seeds,
            self.platform,
            self._config_version_and_age,
        )
        self._config_copies = ConfigurationCopies(self.rpc, self.membership)
        self.config = ConfigDistributor(
            self.platform, self.membership, self.metrics, self._config_copies.fetch
        )
        self._config_copies.serve(self.config)
        self.membership.on_heartbeat(self._on_heartbeat)
        self.membership.on_vm_change(self._on_vm_change)

    def _create_request_services(self) -> None:
        """Create the services that route, run and limit requests."""
        options = self.options
        self.gateway_host = GatewayHost(
            self.membership, self.config, options.login, self.records, self.metrics
        )
        self._executors = ExecutorService(self.rpc, self.gateway_host, self.config)
        self.router = GroupRouter(
            self.membership,
            self.gateway_host,
            self._remote_executor,
            self.gateway_host.gateway_choice,
        )
        self.limiter = FleetLimiter(
            self.rpc, self.config, self.membership, self.metrics, self.records
        )
        self._slot_keeper = SlotKeeper(
            self.platform, options.name, self.config, self.limiter.shares
        )

    async def _serve_callers(self) -> None:
        services = EntryServices(
            config=self.config,
            executor=self.router,
            limiter=self.limiter,
            metrics=self.metrics,
            records=self.records,
            secret=self.options.secret,
            login_backoff=LoginBackoff(),
        )
        self.mysql = MysqlService(
            lambda _: CallerSession(services),
            ssl=self.options.ssl,
            limits=self.options.limits,
            metrics=self.metrics,
            address=self.options.host,
            port=self.options.port,
        )
        self.mysql.set_loop(asyncio.get_running_loop())
        await self.mysql.start()

    async def _wait_for_share(self) -> None:
        """Wait until this VM can use its shares of the rate limits.

        Does not wait any longer if no share slot is claimed in time. Without this wait,
        a fleet whose VMs all start at once would refuse its first requests.
        """
        deadline = deadline_in(START_TIMEOUT_S)
        await self._slot_keeper.wait_until_claimed(deadline)
        if self.limiter.shares.slot is not None:
            await asyncio.sleep(RECLAIM_AFTER_S)

    async def _serve_metrics(self) -> None:
        options = self.options
        if options.metrics_port is not None:
            self._metrics_server = MetricsServer(
                self.metrics, options.metrics_host, options.metrics_port
            )
            await self._metrics_server.start()

    async def _serve_operators(self) -> None:
        options = self.options
        # Also answers the requests of other VMs, with or without an operator API.
        self._reports = FleetReports(
            self.rpc, self.membership, self.records, lambda: self.gateway_host.gateways
        )
        if options.operator_port is None:
            return
        sources = OperatorSources(
            planner=self._planner(),
            config=self.config,
            membership=self.membership,
            metrics=self.metrics,
            records=self.records,
            platform=lambda: self.platform.status,
            groups=self._reports.groups,
            peer_records=self._reports.peer_records,
        )
        self._operator = OperatorApi(
            sources,
            options.operator_token,
            options.operator_host,
            options.operator_port,
        )
        await self._operator.start()

    def _planner(self) -> Planner:
        return Planner(
            self.platform,
            terms=lambda: self._reports.terms,
            on_applied=self.config.install,
            behind=lambda version: vms_behind(self.membership, version),
        )

    def _config_version_and_age(self) -> tuple[int, int | None]:
        return self.config.version, self.config.validation_age_ms

    def _on_heartbeat(self, caller: Caller, heartbeat: Heartbeat) -> None:
        self.config.record_peer_validation(
            heartbeat.config_version, heartbeat.vouch_age_ms
        )
        if heartbeat.config_version > self.config.version:
            self._config_copies.fetch_soon(caller.url)

    def _on_vm_change(self, change: VmChange) -> None:
        if change.ended_incarnation is not None:
            self._spawn(
                self._executors.end_vm_sessions(change.name, change.ended_incarnation)
            )

    def _remote_executor(self, vm: VmState) -> Executor:
        remote = self._remote_executors.get(vm.url)
        if remote is None:
            remote = self._remote_executors[vm.url] = RemoteExecutor(self.rpc, vm.url)
        return remote

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class NodeService(Service):  # type: ignore[misc]
    """Runs a node inside an ``aiomisc`` entrypoint.

    ``make_node`` runs in the event loop; ``close_resources`` closes the resources that
    it opened.
    """

    def __init__(
        self,
        make_node: Callable[[], Awaitable[Node]],
        close_resources: Callable[[], Awaitable[None]],
    ) -> None:
        super().__init__()
        self._make_node = make_node
        self._close_resources = close_resources
        self.node: Node | None = None

    async def start(self) -> None:
        """Start the node."""
        self.node = await self._make_node()
        await self.node.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop the node gracefully."""
        if self.node is not None:
            await self.node.stop()
        await self._close_resources()
