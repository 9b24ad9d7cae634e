"""Counters and latency histograms of a host, and the rows in which they are told.

Labels are bounded: kinds of routes, numbered codes, results of sends, data centres and
services of the configuration. None holds a path, a key or anything of a caller.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Literal, NamedTuple

# Upper bounds of buckets, from a hop between hosts to a caller's patience.
BUCKET_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000)
NO_ROUTE = "none"

LabelValues = tuple[str, ...]
MetricKind = Literal["counter", "gauge", "histogram"]


def _no_counts() -> list[int]:
    return [0] * (len(BUCKET_BOUNDS_MS) + 1)


@dataclass(slots=True)
class Histogram:
    """How many durations fell into each bucket; the last one has no upper bound."""

    counts: list[int] = field(default_factory=_no_counts)
    sum_ms: float = 0.0


class MetricFamily(NamedTuple):
    """One metric: its values, or histograms, by the values of its labels."""

    name: str
    text: str
    kind: MetricKind
    labels: tuple[str, ...]
    rows: Mapping[LabelValues, float | Histogram]


@dataclass(slots=True)
class RequestMetrics:
    """What a host that takes requests counts.

    ``answers`` counts by route kind and result code; ``sends`` by the upstream's data
    centre and result; ``request_ms`` is from a request's head to its answer,
    ``placing_ms`` until its first send begins, and ``send_ms`` that of single sends.
    """

    answers: Counter[LabelValues] = field(default_factory=Counter)
    sends: Counter[LabelValues] = field(default_factory=Counter)
    request_ms: dict[str, Histogram] = field(default_factory=dict)
    placing_ms: dict[str, Histogram] = field(default_factory=dict)
    send_ms: dict[str, Histogram] = field(default_factory=dict)
    n_hedges: int = 0


def observe(histogram: Histogram, duration_ms: float) -> None:
    """Add a duration."""
    histogram.counts[bisect_left(BUCKET_BOUNDS_MS, duration_ms)] += 1
    histogram.sum_ms += duration_ms


def note_answered(
    metrics: RequestMetrics, kind: str, code: int, took_ms: float
) -> None:
    """Count a request that this host answered with a result code."""
    metrics.answers[kind, str(code)] += 1
    observe(metrics.request_ms.setdefault(kind, Histogram()), took_ms)


def note_placed(metrics: RequestMetrics, kind: str, took_ms: float) -> None:
    """Count the time until a request's first send."""
    observe(metrics.placing_ms.setdefault(kind, Histogram()), took_ms)


def note_send(
    metrics: RequestMetrics, data_centre: str, result: str, took_ms: float
) -> None:
    """Count one send to an upstream of a data centre."""
    metrics.sends[data_centre, result] += 1
    observe(metrics.send_ms.setdefault(data_centre, Histogram()), took_ms)


def request_families(metrics: RequestMetrics) -> list[MetricFamily]:
    """Return what a host that takes requests counted."""
    return [
        MetricFamily(
            "requests",
            "Requests answered, by route kind and result code.",
            "counter",
            ("kind", "code"),
            metrics.answers,
        ),
        MetricFamily(
            "sends",
            "Sends to upstreams, by their data centre and result.",
            "counter",
            ("data_centre", "result"),
            metrics.sends,
        ),
        single("hedges", "Second sends of late requests.", "counter", metrics.n_hedges),
        _by_label(
            "request_seconds", "From head to answer.", "kind", metrics.request_ms
        ),
        _by_label(
            "placing_seconds", "From head to first send.", "kind", metrics.placing_ms
        ),
        _by_label("send_seconds", "Single sends.", "data_centre", metrics.send_ms),
    ]


def single(name: str, text: str, kind: MetricKind, value: float) -> MetricFamily:
    """Return a metric without labels."""
    return MetricFamily(name, text, kind, (), {(): value})


def counted(name: str, text: str, label: str, values: Iterable[str]) -> MetricFamily:
    """Return a gauge of how often each value stands among some."""
    rows: dict[LabelValues, float] = {
        (value,): float(n) for value, n in Counter(values).items()
    }
    return MetricFamily(name, text, "gauge", (label,), rows)


def _by_label(
    name: str, text: str, label: str, histograms: Mapping[str, Histogram]
) -> MetricFamily:
    rows: dict[LabelValues, Histogram] = {
        (value,): histogram for value, histogram in histograms.items()
    }
    return MetricFamily(name, text, "histogram", (label,), rows)
