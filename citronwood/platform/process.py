"""Relay process on a VM of the platform."""

import asyncio
import gc
import logging
import os
import signal
import sys
from pathlib import Path

import uvloop

from citronwood.deadline import deadline_in
from citronwood.decisions import log_state
from citronwood.errors import SettingsError
from citronwood.ingress.budget import derive_limits
from citronwood.logs import configure_logs
from citronwood.metrics import Metrics
from citronwood.operator.exposition import MetricsServer
from citronwood.platform.callers import CallerListener, ReadinessServer
from citronwood.platform.nodefile import (
    SETTINGS_VARIABLE,
    NodeSettings,
    load_settings,
)
from citronwood.platform.objects import HttpObjectStore
from citronwood.platform.promotion import HttpPromotion
from citronwood.platform.records import (
    EVACUATIONS_KIND,
    RULES_KIND,
    SERVERS_KIND,
    decode_evacuations,
    decode_rules,
    decode_servers,
)
from citronwood.platform.wire import connect
from citronwood.relay.node import FeedKinds, RelayNode, RelayOptions

log = logging.getLogger(__name__)

EXIT_CODE_INVALID = 2
# Part of the grace period for transactions that other VMs run on this one. Callers end
# their own transactions in the first half.
LEASE_GRACE_SHARE = 0.7
# Also set in deploy/system.toml; outside of the platform's own port range.
METRICS_PORT = 9464
# Contracts of the platform with which statements are scheduled by priority, and reads
# are balanced by load.
PRIORITY_CONTRACT = "pressure"
BALANCE_CONTRACT = "pool"
FEED_KINDS = FeedKinds(
    RULES_KIND,
    decode_rules,
    SERVERS_KIND,
    decode_servers,
    EVACUATIONS_KIND,
    decode_evacuations,
)


def settings_path() -> Path:
    """Return the path of the platform's settings file."""
    return Path(os.environ.get(SETTINGS_VARIABLE, "/etc/citronwood/node.conf"))


def main() -> int:
    """Run until SIGTERM or SIGINT arrives."""
    path = settings_path()
    try:
        settings = load_settings(path)
    except SettingsError as error:
        for finding in error.findings:
            print(f"citronwood: {path}: {finding}", file=sys.stderr)
        return EXIT_CODE_INVALID
    handler = configure_logs("json", "info", vm=settings.name)
    try:
        uvloop.run(_run(settings, path))
    finally:
        handler.close()
    return 0


async def _run(settings: NodeSettings, path: Path) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    loop.add_signal_handler(signal.SIGINT, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, path)
    log_state(log, "process", "started", f"entry: {settings.name} starts")
    metrics = Metrics()
    limits = derive_limits(settings.memory_mb, settings.max_descriptors)
    store_address = f"{settings.store.host}:{settings.store.port}"
    async with HttpObjectStore(store_address, metrics) as store:
        node = RelayNode(
            RelayOptions(
                settings.name,
                settings.failure_domain,
                settings.callers.host,
                settings.first_inner_port,
                settings.processors,
                settings.is_first_start,
                schedules_statements=PRIORITY_CONTRACT in settings.contracts,
                balances_reads=BALANCE_CONTRACT in settings.contracts,
                evacuation_s=settings.evacuation_s,
                limits=limits,
            ),
            store,
            FEED_KINDS,
            connect,
            HttpPromotion(settings.promotions),
            metrics,
        )
        readiness = ReadinessServer(
            lambda: node.is_ready and not stopping.is_set(),
            settings.readiness,
            metrics,
        )
        callers = CallerListener(node, settings.callers, metrics, limits)
        await callers.start()
        await readiness.start()
        await node.start()
        metrics_server = MetricsServer(metrics, settings.callers.host, METRICS_PORT)
        await metrics_server.start()
        # Exempt objects that live as long as the process from garbage collection.
        gc.collect()
        gc.freeze()
        await stopping.wait()
        log_state(log, "process", "stopping", f"entry: {settings.name} stops")
        lease_end = deadline_in(settings.grace_s * LEASE_GRACE_SHARE)
        node.stop_accepting()
        await callers.stop(settings.grace_s)
        await node.finish_leases(lease_end)
        await node.close()
        await metrics_server.stop()
        await readiness.close()
    log_state(log, "process", "stopped", f"entry: {settings.name} has stopped")


def _reload(path: Path) -> None:
    """Check the settings file; changes take effect at the next start."""
    try:
        load_settings(path)
    except SettingsError as error:
        log_state(
            log,
            "settings",
            "invalid",
            f"entry: the settings file was not reloaded: {error}",
        )
        return
    log_state(
        log,
        "settings",
        "reloaded",
        "entry: the settings file was read again and is valid",
    )
