"""Serves a host's metrics as text, and measures delays of its event loop.

The library that renders the text is imported at the first request for metrics. An
import at the start would delay the start of a process that may use only a part of a CPU
core.
"""

import asyncio
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

from aiohttp import web

from bergamotferry.fleet_metrics import (
    BUCKET_BOUNDS_MS,
    Histogram,
    MetricFamily,
    observe,
    single_value_family,
)

from .clock import now_ns
from .fleet_settings import FleetSettings
from .fleet_start import listen
from .logs import log_warning, n_lines_dropped

if TYPE_CHECKING:
    from prometheus_client import Metric

PREFIX = "bergamotferry"
METRICS_PATH = "/metrics"
LOOP_PROBE_INTERVAL_S = 1.0

MetricFamilies = Callable[[], list[MetricFamily]]


async def serve_metrics(
    settings: FleetSettings,
    families: MetricFamilies,
    add_pages: Callable[[web.Application], None] | None = None,
) -> web.AppRunner | None:
    """Serve metrics, and the pages that ``add_pages`` adds, at the port for them.

    If the settings name none, nothing is served. If the address can't be bound, the
    process runs on without serving metrics.
    """
    if not settings.metrics_port:
        return None

    async def on_metrics(request: web.Request) -> web.Response:
        return web.Response(
            body=render_metrics(families()), content_type="text/plain", charset="utf-8"
        )

    app = web.Application()
    app.router.add_get(METRICS_PATH, on_metrics)
    if add_pages is not None:
        add_pages(app)
    address = f"{settings.name}:{settings.metrics_port}"
    try:
        return await listen(app, address, settings)
    except OSError as error:
        log_warning("metrics not served", address=address, why=str(error))
        return None


async def measure_loop_delays(delays: Histogram) -> None:
    """Record how late the event loop wakes up, until cancelled."""
    while True:
        expected_ns = now_ns() + int(LOOP_PROBE_INTERVAL_S * 1e9)
        await asyncio.sleep(LOOP_PROBE_INTERVAL_S)
        observe(delays, max(0.0, (now_ns() - expected_ns) / 1e6))


def process_metric_families(delays: Histogram) -> list[MetricFamily]:
    """Return the metrics that every process reports about itself."""
    return [
        MetricFamily(
            "loop_delay_seconds",
            "How much too late the event loop woke.",
            "histogram",
            (),
            {(): delays},
        ),
        single_value_family(
            "log_lines_left_out",
            "Log lines that were not written.",
            "counter",
            n_lines_dropped(),
        ),
    ]


def render_metrics(families: Iterable[MetricFamily]) -> bytes:
    """Return metrics in the Prometheus text format."""
    from prometheus_client import CollectorRegistry, generate_latest

    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Snapshot(tuple(families)))
    return generate_latest(registry)


@dataclass(frozen=True, eq=False, slots=True)
class _Snapshot:
    """Current values of the metrics, as a collector for `prometheus_client`."""

    families: tuple[MetricFamily, ...]

    def collect(self) -> "Iterator[Metric]":
        return _collect(self.families)


def _collect(families: Iterable[MetricFamily]) -> "Iterator[Metric]":
    from prometheus_client.core import (
        CounterMetricFamily,
        GaugeMetricFamily,
        HistogramMetricFamily,
    )

    for family in families:
        name = f"{PREFIX}_{family.name}"
        metric = {
            "counter": CounterMetricFamily,
            "gauge": GaugeMetricFamily,
            "histogram": HistogramMetricFamily,
        }[family.kind](name, family.text, labels=family.labels)
        for labels, value in sorted(family.rows.items(), key=lambda row: row[0]):
            if isinstance(value, Histogram):
                metric.add_metric(labels, _buckets(value), value.sum_ms / 1_000)
            else:
                metric.add_metric(labels, value)
        yield metric


def _buckets(histogram: Histogram) -> list[tuple[str, float]]:
    """Return each bucket's upper bound in seconds and its cumulative count."""
    bounds = [str(bound / 1_000) for bound in BUCKET_BOUNDS_MS] + ["+Inf"]
    buckets: list[tuple[str, float]] = []
    n_cumulative = 0
    for bound, count in zip(bounds, histogram.counts, strict=True):
        n_cumulative += count
        buckets.append((bound, n_cumulative))
    return buckets
