"""Metrics page in the Prometheus text format."""

import asyncio

from aiohttp import ClientSession
from prometheus_client.parser import text_string_to_metric_families
from pytest import approx

from citronwood import metrics as metrics_module
from citronwood.metrics import OTHER_ACCOUNTS, Metrics
from citronwood.operator.exposition import MetricsServer


def fetch_samples(metrics):
    """Return the values on the metrics page by (name, *label values).

    The key of a sample without labels has one element.
    """

    async def scenario():
        server = MetricsServer(metrics, "127.0.0.1", 0)
        await server.start()
        try:
            async with ClientSession() as session, session.get(server.url) as answer:
                assert answer.status == 200
                assert answer.content_type == "text/plain"
                return await answer.text()
        finally:
            await server.stop()

    text = asyncio.run(scenario())
    return {
        (sample.name, *sample.labels.values()): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


def test_page_has_counters_gauges_and_histograms():
    """Guards against a page that Prometheus cannot parse."""
    metrics = Metrics()
    metrics.count("limits.refused", 3)
    metrics.gauge("config.version", 7)
    # Durations are recorded in milliseconds, and the page shows seconds.
    metrics.observe("pantry", "read", 0.7)
    metrics.observe("pantry", "read", 40_000)
    metrics.timing("platform.get", 12)
    sample_values = fetch_samples(metrics)
    assert sample_values["citronwood_limits_refused_total",] == 3
    assert sample_values["citronwood_config_version",] == 7
    name = "citronwood_statement_duration_seconds"
    assert sample_values[f"{name}_bucket", "pantry", "read", "0.0005"] == 0
    assert sample_values[f"{name}_bucket", "pantry", "read", "0.001"] == 1
    assert sample_values[f"{name}_bucket", "pantry", "read", "+Inf"] == 2
    assert sample_values[f"{name}_count", "pantry", "read"] == 2
    assert sample_values[f"{name}_sum", "pantry", "read"] == approx(40.0007)
    operation_count = "citronwood_operation_duration_seconds_count"
    assert sample_values[operation_count, "platform.get"] == 1


def test_accounts_beyond_the_limit_share_a_histogram(monkeypatch):
    """Guards against memory use and a page size that grow with the accounts."""
    monkeypatch.setattr(metrics_module, "MAX_HISTOGRAMS", 3)
    metrics = Metrics()
    for number in range(10):
        metrics.observe(f"account{number}", "read", 1)
    sample_values = fetch_samples(metrics)
    statement_count = "citronwood_statement_duration_seconds_count"
    assert sample_values[statement_count, "account0", "read"] == 1
    assert sample_values[statement_count, OTHER_ACCOUNTS, "read"] == 7
