"""Serves a host's metrics as text, and watches for delays of its event loop.

The library that writes the text is loaded when somebody asks for the first time: a
process on a part of a core would start later for it.
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
    single,
)

from .clock import now_ns
from .fleet_settings import FleetSettings
from .fleet_start import listen
from .logs import log_warning, n_lines_dropped

if TYPE_CHECKING:
    from prometheus_client import Metric

PREFIX = "bergamotferry"
METRICS_PATH = "/metrics"
LOOP_PROBE_S = 1.0

MetricFamilies = Callable[[], list[MetricFamily]]


async def serve_metrics(
    settings: FleetSettings, families: MetricFamilies
) -> web.AppRunner | None:
    """Serve metrics if the settings name a port for them.

    An address that can't be had costs the metrics and nothing else.
    """
    if not settings.metrics_port:
        return None

    async def on_metrics(request: web.Request) -> web.Response:
        return web.Response(
            body=render_metrics(families()), content_type="text/plain", charset="utf-8"
        )

    app = web.Application()
    app.router.add_get(METRICS_PATH, on_metrics)
    address = f"{settings.name}:{settings.metrics_port}"
    try:
        return await listen(app, address, settings)
    except OSError as error:
        log_warning("metrics not served", address=address, why=str(error))
        return None


async def watch_loop(delays: Histogram) -> None:
    """Measure by how much the event loop wakes too late, until cancelled."""
    while True:
        due_ns = now_ns() + int(LOOP_PROBE_S * 1e9)
        await asyncio.sleep(LOOP_PROBE_S)
        observe(delays, max(0.0, (now_ns() - due_ns) / 1e6))


def process_families(delays: Histogram) -> list[MetricFamily]:
    """Return what every process tells of itself."""
    return [
        MetricFamily(
            "loop_delay_seconds",
            "How much too late the event loop woke.",
            "histogram",
            (),
            {(): delays},
        ),
        single(
            "log_lines_left_out",
            "Log lines that were not written.",
            "counter",
            n_lines_dropped(),
        ),
    ]


def render_metrics(families: Iterable[MetricFamily]) -> bytes:
    """Return metrics in the text format that collectors read."""
    from prometheus_client import CollectorRegistry, generate_latest

    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Snapshot(tuple(families)))
    return generate_latest(registry)


@dataclass(frozen=True, eq=False, slots=True)
class _Snapshot:
    """Metrics as they are now, in the form that the library asks for."""

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
    """Return each bucket's bound in seconds, and how many durations are up to it."""
    bounds = [str(bound / 1_000) for bound in BUCKET_BOUNDS_MS] + ["+Inf"]
    buckets: list[tuple[str, float]] = []
    n_up_to = 0
    for bound, count in zip(bounds, histogram.counts, strict=True):
        n_up_to += count
        buckets.append((bound, n_up_to))
    return buckets
