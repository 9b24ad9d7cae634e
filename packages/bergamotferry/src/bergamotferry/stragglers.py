"""Finds upstreams that are slower than their peers, from our own latencies.

An upstream is compared with the median of its service, since all run the same work;
what it says of itself is not asked. A verdict needs several looks in a row in either
direction, so that it does not flap, and at most a share of a service is slow at a time:
if more are, the service is slow and moving shards would help nobody.

Dispatchers observe (`observe_latency`); the leader of the data centre's group takes
their latencies, judges once a second, and follows with what placement goes by
(`step_weights`), a little at each look, so that few shards move at a time.
"""

import statistics
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

SLOW_FACTOR = 3.0
GOOD_FACTOR = 1.5
N_LOOKS_SLOW = 3
N_LOOKS_GOOD = 10
N_ANSWERS_MIN = 10
SLOW_SHARE_MAX = 0.34
WEIGHT_MIN = 0.1
# How far a weight goes from one look to the next: away quickly, and back gently.
WEIGHT_STEP_DOWN = 0.25
WEIGHT_STEP_UP = 0.1
# After so long without an answer, earlier ones say nothing about the upstream.
LATENCY_MAX_AGE_NS = 30_000_000_000
# One answer counts for no more than this many times the latency so far, so that a
# single one that hung brings no verdict.
OUTLIER_FACTOR = 4.0
# An upstream that holds few shards gets few requests. A quicker answer that comes after
# a gap counts for more, or it would take minutes to show that it has recovered.
GAP_NS = 1_000_000_000
_SMOOTHING = 0.1
_SMOOTHING_AFTER_GAP = 0.5


@dataclass(slots=True)
class UpstreamLatency:
    """Latency of an upstream's answers, smoothed, and the verdict on it.

    ``weight`` is what the verdict multiplies its share of shards by.
    """

    service: str
    latency_ms: float = 0.0
    n_answers: int = 0
    n_looks: int = 0
    is_slow: bool = False
    answered_ns: int = 0
    weight: float = 1.0


@dataclass(slots=True)
class LatencyTable:
    """All upstreams by name."""

    rows: dict[str, UpstreamLatency] = field(default_factory=dict)


class Verdict(NamedTuple):
    """That an upstream became slow, or is so no more, and what that was judged by.

    ``latency_ms`` is None if nothing is known of it any more.
    """

    service: str
    upstream: str
    is_slow: bool
    latency_ms: float | None
    median_ms: float
    threshold_ms: float


def observe_latency(
    table: LatencyTable, service: str, upstream: str, took_ms: float, now_ns: int = 0
) -> None:
    """Note how long an upstream took for an answer."""
    row = table.rows.get(upstream)
    if row is None or now_ns - row.answered_ns > LATENCY_MAX_AGE_NS:
        row = table.rows[upstream] = UpstreamLatency(service, took_ms)
        row.answered_ns = now_ns
    is_rare = now_ns - row.answered_ns > GAP_NS and took_ms < row.latency_ms
    smoothing = _SMOOTHING_AFTER_GAP if is_rare else _SMOOTHING
    took_ms = min(took_ms, OUTLIER_FACTOR * row.latency_ms)
    row.latency_ms += smoothing * (took_ms - row.latency_ms)
    row.answered_ns = now_ns
    row.n_answers += 1


def known_latencies(
    table: LatencyTable, now_ns: int
) -> tuple[tuple[str, str, float], ...]:
    """Return service, upstream and latency of those with enough answers of late."""
    return tuple(
        (row.service, name, row.latency_ms)
        for name, row in table.rows.items()
        if row.n_answers >= N_ANSWERS_MIN
        and now_ns - row.answered_ns <= LATENCY_MAX_AGE_NS
    )


def set_latencies(
    table: LatencyTable, service: str, latencies_ms: Mapping[str, float]
) -> None:
    """Take smoothed latencies that other hosts report, all of a service's at once."""
    for row in table.rows.values():
        if row.service == service:
            row.n_answers = 0
    for upstream, latency_ms in latencies_ms.items():
        row = table.rows.setdefault(upstream, UpstreamLatency(service))
        row.latency_ms, row.n_answers = latency_ms, N_ANSWERS_MIN


def judge_stragglers(table: LatencyTable) -> list[Verdict]:
    """Look once at every upstream; to be called every second or so.

    One of which nothing is known any more is looked at as good, since a straggler that
    holds few shards may get no requests by which it could show that it has recovered.
    """
    verdicts: list[Verdict] = []
    for service in sorted({row.service for row in table.rows.values()}):
        rows = {n: row for n, row in table.rows.items() if row.service == service}
        known = {n: row for n, row in rows.items() if row.n_answers >= N_ANSWERS_MIN}
        latencies_ms = [row.latency_ms for row in known.values()]
        median_ms = statistics.median(latencies_ms) if latencies_ms else 0.0
        # The slowest first, since only a share of them may be called slow.
        for name, row in sorted(rows.items(), key=lambda item: -item[1].latency_ms):
            n_slow = sum(other.is_slow for other in rows.values())
            may_be_slow = n_slow + 1 <= SLOW_SHARE_MAX * len(known)
            if _look(row, name in known, median_ms, may_be_slow):
                factor = SLOW_FACTOR if row.is_slow else GOOD_FACTOR
                verdicts.append(
                    Verdict(
                        service,
                        name,
                        row.is_slow,
                        row.latency_ms if name in known else None,
                        median_ms,
                        factor * median_ms,
                    )
                )
    return verdicts


def placement_weights(table: LatencyTable) -> dict[str, float]:
    """Return what to multiply each upstream's share of shards by; 1 unless slow."""
    return {name: row.weight for name, row in table.rows.items()}


def step_weights(
    applied: Mapping[str, float], wanted: Mapping[str, float]
) -> dict[str, float]:
    """Return the weights for placement until the next look.

    Each goes towards what the verdicts want by a bounded step; those of 1 are left out.
    """
    weights: dict[str, float] = {}
    for name, weight in wanted.items():
        before = applied.get(name, 1.0)
        after = max(weight, before - WEIGHT_STEP_DOWN)
        after = min(after, before + WEIGHT_STEP_UP)
        if after < 1.0:
            weights[name] = round(after, 6)
    return weights


def _look(
    row: UpstreamLatency, is_known: bool, median_ms: float, may_be_slow: bool
) -> bool:
    """Look at one upstream; return whether the verdict on it changed."""
    if row.is_slow:
        is_other = not is_known or row.latency_ms < GOOD_FACTOR * median_ms
    else:
        is_slower = is_known and row.latency_ms > SLOW_FACTOR * median_ms
        is_other = may_be_slow and is_slower
    row.n_looks = row.n_looks + 1 if is_other else 0
    has_changed = row.n_looks >= (N_LOOKS_GOOD if row.is_slow else N_LOOKS_SLOW)
    if has_changed:
        row.is_slow = not row.is_slow
        row.n_looks = 0
        row.weight = 1.0
    if row.is_slow and is_known:
        # It only falls while the verdict holds, so that noise moves no shard back.
        ratio = max(WEIGHT_MIN, min(1.0, median_ms / row.latency_ms))
        row.weight = min(row.weight, ratio)
    return has_changed
