"""Metrics over HTTP in the Prometheus text format."""

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

from citronwood.ingress.http import LimitedSite
from citronwood.metrics import BUCKET_BOUNDS_MS, Histogram, Metrics

_INVALID_NAME_CHARS = re.compile(r"[^a-z0-9]+")
_BUCKET_BOUNDS_S = [*(str(bound / 1000) for bound in BUCKET_BOUNDS_MS), "+Inf"]


class MetricsServer:
    """HTTP server with one path, ``/metrics``, without authentication."""

    def __init__(self, metrics: Metrics, host: str, port: int) -> None:
        self._address = (host, port)
        self._metrics = metrics
        self._site: LimitedSite | None = None
        self._registry = CollectorRegistry(auto_describe=False)
        self._registry.register(_MetricsCollector(metrics))
        self._runner: web.AppRunner | None = None

    @property
    def url(self) -> str:
        """URL of the metrics page."""
        return f"http://{self._address[0]}:{self._address[1]}/metrics"

    async def start(self) -> None:
        """Start to listen."""
        app = web.Application()
        app.add_routes([web.get("/metrics", self._serve_metrics)])
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
        await self._runner.setup()
        self._site = LimitedSite(
            self._runner, *self._address, self._metrics, "metrics_port"
        )
        self._address = await self._site.start()

    async def stop(self) -> None:
        """Stop listening."""
        if self._site is not None:
            self._site.close()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _serve_metrics(self, _: web.Request) -> web.Response:
        body = generate_latest(self._registry)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})


class _MetricsCollector(Collector):
    """Reads the current metrics for each scrape."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics with their current values."""
        for name, count in sorted(self._metrics.counters.items()):
            yield CounterMetricFamily(_prometheus_name(name), f"Events {name}.", count)
        for name, value in sorted(self._metrics.gauges.items()):
            yield GaugeMetricFamily(_prometheus_name(name), f"Current {name}.", value)
        yield _histogram_family(
            "statement",
            "Statements by client account and class.",
            ("account", "class"),
            self._metrics.histograms.items(),
        )
        yield _histogram_family(
            "operation",
            "Internal operations by name.",
            ("operation",),
            [((name,), durations) for name, durations in self._metrics.timings.items()],
        )


def _prometheus_name(name: str) -> str:
    return "citronwood_" + _INVALID_NAME_CHARS.sub("_", name.lower())


def _histogram_family(
    name: str,
    documentation: str,
    label_names: tuple[str, ...],
    histograms: Iterable[tuple[tuple[str, ...], Histogram]],
) -> HistogramMetricFamily:
    family = HistogramMetricFamily(
        f"citronwood_{name}_duration_seconds", documentation, labels=label_names
    )
    for label_values, histogram in sorted(histograms, key=itemgetter(0)):
        counts = accumulate(histogram.counts)
        buckets = list(zip(_BUCKET_BOUNDS_S, counts, strict=True))
        family.add_metric(label_values, buckets, histogram.total_ms / 1000)
    return family
