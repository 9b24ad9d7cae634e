"""Detects upstreams that are slower than their peers, from measured latencies.

The latency of an upstream, as hosts measure it, is compared with the median of its
service, since all upstreams of a service run the same work. What an upstream reports
about itself isn't used. A verdict changes only after several checks in a row contradict
it, so that it doesn't flap. At most a share of the upstreams of a service is classified
as slow at a time: if more are slow, the service itself is slow, and moving shards
wouldn't help.

Dispatchers record latencies (`observe_latency`). The leader of the data centre's group
collects them and evaluates the upstreams once a second. It then adjusts the placement
weights by a small step at each check (`step_weights`), so that few shards move at a
time.
"""

import statistics
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

SLOW_FACTOR = 3.0
RECOVERED_FACTOR = 1.5
N_CHECKS_SLOW = 3
N_CHECKS_RECOVERED = 10
N_ANSWERS_MIN = 10
SLOW_SHARE_MAX = 0.34
WEIGHT_MIN = 0.1
# Largest change of a weight between checks: shards leave quickly and return slowly.
WEIGHT_STEP_DOWN = 0.25
WEIGHT_STEP_UP = 0.1
# After this time without an answer, earlier latencies say nothing about the upstream.
LATENCY_MAX_AGE_NS = 30_000_000_000
# A latency counts as at most this many times the smoothed latency, so that a single
# answer that hung causes no verdict.
OUTLIER_FACTOR = 4.0
# An upstream that holds few shards gets few requests. A faster answer after a gap of
# this length counts for more; otherwise a recovery would take minutes to show.
ANSWER_GAP_NS = 1_000_000_000
_SMOOTHING = 0.1
_SMOOTHING_AFTER_GAP = 0.5


@dataclass(slots=True)
class UpstreamLatency:
    """Smoothed latency of an upstream, and the verdict on it.

    ``weight`` is the factor for the upstream's share of shards. ``n_checks`` counts the
    checks in a row that contradict the present verdict.
    """

    service: str
    latency_ms: float = 0.0
    n_answers: int = 0
    n_checks: int = 0
    is_slow: bool = False
    answered_ns: int = 0
    weight: float = 1.0


@dataclass(slots=True)
class LatencyTable:
    """Latencies and verdicts of all upstreams, by name."""

    rows: dict[str, UpstreamLatency] = field(default_factory=dict)


class Verdict(NamedTuple):
    """A changed verdict: an upstream became slow or recovered, with the figures used.

    ``latency_ms`` is None if the upstream has too few recent answers.
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
    """Record the latency of one answer of an upstream, in milliseconds."""
    row = table.rows.get(upstream)
    if row is None or now_ns - row.answered_ns > LATENCY_MAX_AGE_NS:
        row = table.rows[upstream] = UpstreamLatency(service, took_ms)
        row.answered_ns = now_ns
    is_faster_after_gap = (
        now_ns - row.answered_ns > ANSWER_GAP_NS and took_ms < row.latency_ms
    )
    smoothing = _SMOOTHING_AFTER_GAP if is_faster_after_gap else _SMOOTHING
    took_ms = min(took_ms, OUTLIER_FACTOR * row.latency_ms)
    row.latency_ms += smoothing * (took_ms - row.latency_ms)
    row.answered_ns = now_ns
    row.n_answers += 1


def known_latencies(
    table: LatencyTable, now_ns: int
) -> tuple[tuple[str, str, float], ...]:
    """Return service, name and latency of upstreams with enough recent answers."""
    return tuple(
        (row.service, name, row.latency_ms)
        for name, row in table.rows.items()
        if row.n_answers >= N_ANSWERS_MIN
        and now_ns - row.answered_ns <= LATENCY_MAX_AGE_NS
    )


def set_latencies(
    table: LatencyTable, service: str, latencies_ms: Mapping[str, float]
) -> None:
    """Replace the latencies of a service by smoothed ones that hosts reported."""
    for row in table.rows.values():
        if row.service == service:
            row.n_answers = 0
    for upstream, latency_ms in latencies_ms.items():
        row = table.rows.setdefault(upstream, UpstreamLatency(service))
        row.latency_ms, row.n_answers = latency_ms, N_ANSWERS_MIN


def evaluate_stragglers(table: LatencyTable) -> list[Verdict]:
    """Check every upstream once and return changed verdicts; called about every second.

    A check of an upstream without enough recent answers counts as good, since a
    straggler that holds few shards may get no requests that could show its recovery.
    """
    verdicts: list[Verdict] = []
    for service in sorted({row.service for row in table.rows.values()}):
        rows = {n: row for n, row in table.rows.items() if row.service == service}
        known = {n: row for n, row in rows.items() if row.n_answers >= N_ANSWERS_MIN}
        latencies_ms = [row.latency_ms for row in known.values()]
        median_ms = statistics.median(latencies_ms) if latencies_ms else 0.0
        # The slowest come first, since only a share of them may be classified as slow.
        for name, row in sorted(rows.items(), key=lambda item: -item[1].latency_ms):
            n_slow = sum(other.is_slow for other in rows.values())
            may_be_slow = n_slow + 1 <= SLOW_SHARE_MAX * len(known)
            if _update_verdict(row, name in known, median_ms, may_be_slow):
                factor = SLOW_FACTOR if row.is_slow else RECOVERED_FACTOR
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
    """Return the factor for each upstream's share of shards; 1 unless it is slow."""
    return {name: row.weight for name, row in table.rows.items()}


def step_weights(
    applied: Mapping[str, float], wanted: Mapping[str, float]
) -> dict[str, float]:
    """Return the placement weights until the next check.

    Each weight moves by a bounded step from ``applied`` towards ``wanted``. Weights of
    1 are left out.
    """
    weights: dict[str, float] = {}
    for name, weight in wanted.items():
        before = applied.get(name, 1.0)
        after = max(weight, before - WEIGHT_STEP_DOWN)
        after = min(after, before + WEIGHT_STEP_UP)
        if after < 1.0:
            weights[name] = round(after, 6)
    return weights


def _update_verdict(
    row: UpstreamLatency, is_known: bool, median_ms: float, may_be_slow: bool
) -> bool:
    """Check one upstream; return whether the verdict on it changed."""
    if row.is_slow:
        contradicts_verdict = (
            not is_known or row.latency_ms < RECOVERED_FACTOR * median_ms
        )
    else:
        exceeds_threshold = is_known and row.latency_ms > SLOW_FACTOR * median_ms
        contradicts_verdict = may_be_slow and exceeds_threshold
    row.n_checks = row.n_checks + 1 if contradicts_verdict else 0
    has_changed = row.n_checks >= (N_CHECKS_RECOVERED if row.is_slow else N_CHECKS_SLOW)
    if has_changed:
        row.is_slow = not row.is_slow
        row.n_checks = 0
        row.weight = 1.0
    if row.is_slow and is_known:
        # The weight only falls while the verdict holds, so that noise in the latencies
        # moves no shard back.
        ratio = max(WEIGHT_MIN, min(1.0, median_ms / row.latency_ms))
        row.weight = min(row.weight, ratio)
    return has_changed
