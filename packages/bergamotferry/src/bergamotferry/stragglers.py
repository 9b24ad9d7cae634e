"""Finds upstreams that are slower than their peers, from our own latencies.

An upstream is compared with the median of its service, since all run the same work;
what it says of itself is not asked. A verdict needs several looks in a row in either
direction, so that it does not flap, and at most a share of a service is slow at a time:
if more are, the service is slow and moving shards would help nobody.
"""

import statistics
from collections.abc import Mapping
from dataclasses import dataclass, field

SLOW_FACTOR = 3.0
GOOD_FACTOR = 1.5
N_LOOKS_SLOW = 3
N_LOOKS_GOOD = 10
N_ANSWERS_MIN = 10
SLOW_SHARE_MAX = 0.34
WEIGHT_MIN = 0.1
_SMOOTHING = 0.1


@dataclass(slots=True)
class UpstreamLatency:
    """Latency of an upstream's answers, smoothed, and the verdict on it."""

    service: str
    latency_ms: float = 0.0
    n_answers: int = 0
    n_looks: int = 0
    is_slow: bool = False


@dataclass(slots=True)
class LatencyTable:
    """All upstreams by name."""

    rows: dict[str, UpstreamLatency] = field(default_factory=dict)


def observe_latency(
    table: LatencyTable, service: str, upstream: str, took_ms: float
) -> None:
    """Note how long an upstream took for an answer."""
    row = table.rows.setdefault(upstream, UpstreamLatency(service, took_ms))
    row.n_answers += 1
    row.latency_ms += _SMOOTHING * (took_ms - row.latency_ms)


def set_latencies(
    table: LatencyTable, service: str, latencies_ms: Mapping[str, float]
) -> None:
    """Take smoothed latencies that other hosts report."""
    for upstream, latency_ms in latencies_ms.items():
        row = table.rows.setdefault(upstream, UpstreamLatency(service))
        row.latency_ms, row.n_answers = latency_ms, N_ANSWERS_MIN


def judge_stragglers(table: LatencyTable) -> None:
    """Look once at every upstream; to be called every second or so."""
    for service in sorted({row.service for row in table.rows.values()}):
        rows = [
            row
            for _, row in sorted(table.rows.items())
            if row.service == service and row.n_answers >= N_ANSWERS_MIN
        ]
        if not rows:
            continue
        median_ms = statistics.median(row.latency_ms for row in rows)
        # The slowest first, since only a share of them may be called slow.
        for row in sorted(rows, key=lambda row: -row.latency_ms):
            n_slow = sum(other.is_slow for other in rows)
            _look(row, median_ms, (n_slow + 1) / len(rows) <= SLOW_SHARE_MAX)


def placement_weights(table: LatencyTable) -> dict[str, float]:
    """Return what to multiply each upstream's share of shards by; 1 unless slow."""
    weights = {}
    for name, row in table.rows.items():
        weights[name] = 1.0
        if row.is_slow:
            peers = [r for r in table.rows.values() if r.service == row.service]
            median_ms = statistics.median(peer.latency_ms for peer in peers)
            weights[name] = max(WEIGHT_MIN, min(1.0, median_ms / row.latency_ms))
    return weights


def _look(row: UpstreamLatency, median_ms: float, may_be_slow: bool) -> None:
    if row.is_slow:
        is_other = row.latency_ms < GOOD_FACTOR * median_ms
    else:
        is_other = may_be_slow and row.latency_ms > SLOW_FACTOR * median_ms
    row.n_looks = row.n_looks + 1 if is_other else 0
    if row.n_looks >= (N_LOOKS_GOOD if row.is_slow else N_LOOKS_SLOW):
        row.is_slow = not row.is_slow
        row.n_looks = 0
