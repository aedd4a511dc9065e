"""Counters, gauges and histograms over HTTP, in the text format of Prometheus."""

import re
from collections.abc import Iterable, Iterator
from itertools import accumulate
from operator import itemgetter

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
)
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from citronwood.metrics import BUCKET_BOUNDS_MS, Histogram, Metrics

_NOT_IN_NAMES = re.compile(r"[^a-z0-9]+")
_BOUNDS_S = [*(str(bound / 1000) for bound in BUCKET_BOUNDS_MS), "+Inf"]


class MetricsServer:
    """HTTP server with one path, ``/metrics``, for whoever may reach its address."""

    def __init__(self, metrics: Metrics, host: str, port: int) -> None:
        self._address = (host, port)
        self._registry = CollectorRegistry(auto_describe=False)
        self._registry.register(_MetricsCollector(metrics))
        self._runner: web.AppRunner | None = None

    @property
    def url(self) -> str:
        """Address of the page."""
        return f"http://{self._address[0]}:{self._address[1]}/metrics"

    async def start(self) -> None:
        """Listen."""
        app = web.Application()
        app.add_routes([web.get("/metrics", self._show)])
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
        await self._runner.setup()
        await web.TCPSite(self._runner, *self._address).start()
        self._address = self._runner.addresses[0][:2]

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _show(self, _: web.Request) -> web.Response:
        body = generate_latest(self._registry)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})


class _MetricsCollector(Collector):
    """Reads the metrics anew for each page."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Return all metrics with their current values."""
        for name, count in sorted(self._metrics.counters.items()):
            yield CounterMetricFamily(_exposed(name), f"Events {name}.", count)
        for name, value in sorted(self._metrics.gauges.items()):
            yield GaugeMetricFamily(_exposed(name), f"Current {name}.", value)
        yield _family(
            "statement",
            "Statements by client account and class.",
            ("account", "class"),
            self._metrics.histograms.items(),
        )
        yield _family(
            "operation",
            "Internal operations by name.",
            ("operation",),
            [((name,), one) for name, one in self._metrics.timings.items()],
        )


def _exposed(name: str) -> str:
    return "citronwood_" + _NOT_IN_NAMES.sub("_", name.lower())


def _family(
    name: str,
    documentation: str,
    labels: tuple[str, ...],
    histograms: Iterable[tuple[tuple[str, ...], Histogram]],
) -> HistogramMetricFamily:
    family = HistogramMetricFamily(
        f"citronwood_{name}_duration_seconds", documentation, labels=labels
    )
    for values, histogram in sorted(histograms, key=itemgetter(0)):
        counts = accumulate(histogram.counts)
        buckets = list(zip(_BOUNDS_S, counts, strict=True))
        family.add_metric(values, buckets, histogram.total_ms / 1000)
    return family
