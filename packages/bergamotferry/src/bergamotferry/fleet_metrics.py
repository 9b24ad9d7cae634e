"""Counters and latency histograms of a host, and the metric families that export them.

Label values come from bounded sets: route kinds, numbered result codes, results of
sends, and the data centres, services and accounts of the configuration. No label holds
a path, a key or data of a caller.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Literal, NamedTuple

# Upper bounds of the buckets, from the latency of one hop between hosts to the longest
# time that callers wait.
BUCKET_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000)
NO_ROUTE = "none"

LabelValues = tuple[str, ...]
MetricKind = Literal["counter", "gauge", "histogram"]


def _zero_counts() -> list[int]:
    return [0] * (len(BUCKET_BOUNDS_MS) + 1)


@dataclass(slots=True)
class Histogram:
    """Number of durations in each bucket; the last bucket has no upper bound."""

    counts: list[int] = field(default_factory=_zero_counts)
    sum_ms: float = 0.0


class MetricFamily(NamedTuple):
    """One metric: its values or histograms, by label values."""

    name: str
    text: str
    kind: MetricKind
    labels: tuple[str, ...]
    rows: Mapping[LabelValues, float | Histogram]


@dataclass(slots=True)
class RequestMetrics:
    """Counters and histograms of a host that takes requests.

    ``answers`` counts by route kind and result code, and ``sends`` by the upstream's
    data centre and result. ``request_ms`` is the time from the head of a request to its
    answer, and ``placing_ms`` the time until its first send, both by route kind.
    ``send_ms`` is the time of single sends by data centre. ``probes`` counts load
    probes, and ``payload_bytes`` the bytes of bodies sent to and received from
    upstreams, by the upstream's distance. ``n_leaving`` counts upstreams that said in
    an answer that they leave, and ``n_pauses`` pauses that upstreams asked for.
    ``refused_sends`` counts the sends that an upstream said not to have run, by result
    and by whether their connection was new or kept. ``account_requests`` counts the
    requests with a known key by account.
    """

    answers: Counter[LabelValues] = field(default_factory=Counter)
    sends: Counter[LabelValues] = field(default_factory=Counter)
    refused_sends: Counter[LabelValues] = field(default_factory=Counter)
    request_ms: dict[str, Histogram] = field(default_factory=dict)
    placing_ms: dict[str, Histogram] = field(default_factory=dict)
    send_ms: dict[str, Histogram] = field(default_factory=dict)
    n_hedges: int = 0
    n_leaving: int = 0
    n_pauses: int = 0
    probes: Counter[LabelValues] = field(default_factory=Counter)
    payload_bytes: Counter[LabelValues] = field(default_factory=Counter)
    account_requests: Counter[LabelValues] = field(default_factory=Counter)


def observe(histogram: Histogram, duration_ms: float) -> None:
    """Add a duration in milliseconds to a histogram."""
    histogram.counts[bisect_left(BUCKET_BOUNDS_MS, duration_ms)] += 1
    histogram.sum_ms += duration_ms


def count_answer(metrics: RequestMetrics, kind: str, code: int, took_ms: float) -> None:
    """Count an answered request by route kind and result code."""
    metrics.answers[kind, str(code)] += 1
    observe(metrics.request_ms.setdefault(kind, Histogram()), took_ms)


def record_placement_time(metrics: RequestMetrics, kind: str, took_ms: float) -> None:
    """Record the time from the head of a request to its first send."""
    observe(metrics.placing_ms.setdefault(kind, Histogram()), took_ms)


def record_send(
    metrics: RequestMetrics, data_centre: str, result: str, took_ms: float
) -> None:
    """Count one send to an upstream, by data centre and result."""
    metrics.sends[data_centre, result] += 1
    observe(metrics.send_ms.setdefault(data_centre, Histogram()), took_ms)


def count_refused_send(metrics: RequestMetrics, result: str, connection: str) -> None:
    """Count a send that was not run, by its result and the age of its connection."""
    metrics.refused_sends[result, connection] += 1


def record_payload(
    metrics: RequestMetrics, distance: str, n_request_bytes: int, n_answer_bytes: int
) -> None:
    """Count the bytes of the bodies of one send, by the upstream's distance."""
    metrics.payload_bytes[distance, "request"] += n_request_bytes
    metrics.payload_bytes[distance, "answer"] += n_answer_bytes


def request_families(metrics: RequestMetrics) -> list[MetricFamily]:
    """Return the metric families of a host that takes requests."""
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
        MetricFamily(
            "refused_sends",
            "Sends that upstreams said not to have run, on new and kept connections.",
            "counter",
            ("result", "connection"),
            metrics.refused_sends,
        ),
        single_value_family(
            "hedges", "Second sends of late requests.", "counter", metrics.n_hedges
        ),
        MetricFamily(
            "load_probes",
            "Load probes of upstreams, by their distance.",
            "counter",
            ("distance",),
            metrics.probes,
        ),
        MetricFamily(
            "payload_bytes",
            "Bodies sent to and received from upstreams, by their distance.",
            "counter",
            ("distance", "direction"),
            metrics.payload_bytes,
        ),
        _by_label(
            "request_seconds", "From head to answer.", "kind", metrics.request_ms
        ),
        _by_label(
            "placing_seconds", "From head to first send.", "kind", metrics.placing_ms
        ),
        _by_label("send_seconds", "Single sends.", "data_centre", metrics.send_ms),
    ]


def single_value_family(
    name: str, text: str, kind: MetricKind, value: float
) -> MetricFamily:
    """Return a metric family with one value and no labels."""
    return MetricFamily(name, text, kind, (), {(): value})


def count_family(
    name: str, text: str, label: str, values: Iterable[str]
) -> MetricFamily:
    """Return a gauge that counts the occurrences of each value."""
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
