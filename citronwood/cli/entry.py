"""``citronwood entry``: the proxy process that runs on every VM."""

import gc
import logging
from ssl import PROTOCOL_TLS_SERVER, SSLContext

from aiomisc import entrypoint
from cleo.commands.command import Command
from statsd import StatsClient

from citronwood.backend.connection import Login
from citronwood.cli.settings import load_command_settings, settings_options
from citronwood.config.store import URGENT_CALLS
from citronwood.fleet.node import Node, NodeOptions, NodeService
from citronwood.ingress.budget import ENTRY_BASE_MB, derive_limits
from citronwood.logs import configure_logs
from citronwood.metrics import Metrics
from citronwood.platform.budget import CallBudget
from citronwood.platform.http import HttpPlatformClient
from citronwood.settings import EXIT_CODE_INVALID, Settings

log = logging.getLogger(__name__)

# Added to the drain time, in which open transactions finish. Afterwards the VM stops
# its gateways, releases its share slot and leaves the fleet.
SHUTDOWN_MARGIN_S = 20.0


class EntryCommand(Command):
    """Serve client connections."""

    name = "entry"
    description = "Serve client connections on this VM."
    options = settings_options()

    def handle(self) -> int:
        """Run until a stop signal arrives, then stop gracefully."""
        loaded = load_command_settings(self)
        if loaded is None:
            return EXIT_CODE_INVALID
        settings = loaded.settings
        configure_logs(settings.log_format, settings.log_level, vm=settings.vm_name)
        service = _EntryService(settings)
        with entrypoint(
            service,
            log_config=False,
            shutdown_timeout=settings.drain_s + SHUTDOWN_MARGIN_S,
        ) as loop:
            loop.run_forever()
        return 0


class _EntryService(NodeService):
    """Service that runs a node built from the settings."""

    def __init__(self, settings: Settings) -> None:
        super().__init__(self._create_node, self._close_platform)
        self._settings = settings
        self._platform: HttpPlatformClient | None = None

    async def _create_node(self) -> Node:
        settings = self._settings
        metrics = _create_metrics(settings)
        budget = CallBudget(settings.platform_calls_per_s, settings.platform_burst)
        platform = HttpPlatformClient(
            str(settings.platform_url), metrics, budget, URGENT_CALLS
        )
        self._platform = await platform.__aenter__()
        return Node(_node_options(settings), platform, metrics)

    async def start(self) -> None:
        """Start the node."""
        await super().start()
        _freeze_startup_objects()

    async def _close_platform(self) -> None:
        if self._platform is not None:
            await self._platform.__aexit__(None, None, None)


def _freeze_startup_objects() -> None:
    """Exclude the objects created at startup from full garbage collections.

    In one test process, a full collection of these objects took 25 to 44 ms and
    blocked all statements for that time.
    """
    gc.collect()
    gc.freeze()


def _create_metrics(settings: Settings) -> Metrics:
    if settings.statsd_host is None:
        return Metrics()
    client = StatsClient(settings.statsd_host, settings.statsd_port, "citronwood")
    return Metrics(client)


def _create_ssl_context(settings: Settings) -> SSLContext | None:
    if settings.tls_certificate is None or settings.tls_key is None:
        return None
    context = SSLContext(PROTOCOL_TLS_SERVER)
    context.load_cert_chain(settings.tls_certificate, settings.tls_key)
    return context


def _node_options(settings: Settings) -> NodeOptions:
    return NodeOptions(
        name=settings.vm_name,
        failure_domain=settings.failure_domain,
        host=settings.listen_host,
        port=settings.listen_port,
        inner_url=f"tcp://{settings.inner_host}:{settings.inner_port}",
        login=Login(
            settings.backend_user, settings.backend_password.get_secret_value()
        ),
        secret=settings.fleet_secret.get_secret_value().encode(),
        seeds=tuple(url for url in settings.seeds.split(",") if url),
        advertised_url=settings.advertised_url,
        ssl=_create_ssl_context(settings),
        drain_s=settings.drain_s,
        metrics_host=settings.metrics_host,
        metrics_port=settings.metrics_port,
        operator_host=settings.operator_host,
        operator_port=settings.operator_port,
        operator_token=settings.operator_token.get_secret_value(),
        limits=derive_limits(
            settings.memory_mb, settings.max_descriptors, ENTRY_BASE_MB
        ),
    )
