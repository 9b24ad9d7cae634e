"""Counts requests per key, and decides which keys are hot and which are cold.

A dispatcher counts requests by the key's hash in a table of bounded size, with the
Misra-Gries algorithm: a request for a new key that finds the table full is not counted
and lowers every count by 1. So a count is never too high, and too low by at most one in
`N_COUNTED_MAX` of all requests. All counts are halved every `HALVING_INTERVAL_NS`, so
that old load is forgotten. Only hashes and rates leave the dispatcher, and go only to
the leader of its own data centre's group.

The leader takes reports from all dispatchers. A key is hot from `HOT_RATE_PER_S` on,
and cold only after `COLD_AFTER_NS` below a quarter of that rate; the gap between the
two rates prevents exceptions from being made and ended again and again.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from .hot_key_messages import KeyRate
from .messages import RequestHead
from .records import KeyException, ShardId
from .shards import hash_key

N_COUNTED_MAX = 256
N_REPORTED_MAX = 128
HALVING_INTERVAL_NS = 2_000_000_000
HOT_RATE_PER_S = 20.0
COLD_RATE_RATIO = 0.25
COLD_AFTER_NS = 60_000_000_000
REPORT_MAX_AGE_NS = 3_000_000_000

KeyId = tuple[ShardId, int]


@dataclass(slots=True)
class HotKeyCounts:
    """A dispatcher's request counts, by home shard and key hash, and by upstream."""

    keys: dict[KeyId, float] = field(default_factory=dict)
    upstreams: dict[str, float] = field(default_factory=dict)
    halved_ns: int = 0


class HostReport(NamedTuple):
    """The last report of one host: rates per second, by key and by upstream."""

    keys: dict[KeyId, float]
    upstreams: dict[str, float]
    reported_ns: int


@dataclass(slots=True)
class HotKeyReports:
    """The leader's state: hosts' reports, and since when exceptions are cold.

    ``moved_ns`` is the time of the last move of a hot key away from each upstream.
    """

    hosts: dict[str, HostReport] = field(default_factory=dict)
    cold_since_ns: dict[ShardId, int] = field(default_factory=dict)
    moved_ns: dict[str, int] = field(default_factory=dict)


def count_request(
    counts: HotKeyCounts, head: RequestHead, upstream: str, now_ns: int
) -> None:
    """Count a request that this host dispatches to an upstream."""
    key_hash = hash_key(head.service, head.shard.domain, head.key)
    count_key(counts, (head.shard, key_hash), now_ns)
    counts.upstreams[upstream] = counts.upstreams.get(upstream, 0.0) + 1.0


def count_key(counts: HotKeyCounts, key_id: KeyId, now_ns: int) -> None:
    """Count one request for a key, in a table of at most `N_COUNTED_MAX` keys."""
    _decay_counts(counts, now_ns)
    known = counts.keys.get(key_id)
    if known is not None or len(counts.keys) < N_COUNTED_MAX:
        counts.keys[key_id] = (known or 0.0) + 1.0
        return
    # A pass over the full table removes up to N_COUNTED_MAX earlier counts, so passes
    # are rare compared with requests.
    counts.keys = {other: n - 1.0 for other, n in counts.keys.items() if n > 1.0}


def hottest_keys(counts: HotKeyCounts, now_ns: int) -> tuple[KeyRate, ...]:
    """Return the keys that are not cold, hottest first, with their rates per second.

    A rate is never too high: the window also covers the time before a key's first
    request, as if the key had been idle then.
    """
    _decay_counts(counts, now_ns)
    window_s = _effective_window_s(counts, now_ns)
    rates = [
        KeyRate(*key_id, count / window_s) for key_id, count in counts.keys.items()
    ]
    rates = [row for row in rates if row.rate_per_s >= COLD_RATE_RATIO * HOT_RATE_PER_S]
    rates.sort(key=lambda row: (-row.rate_per_s, row.home, row.key_hash))
    return tuple(rates[:N_REPORTED_MAX])


def upstream_rates(counts: HotKeyCounts, now_ns: int) -> tuple[tuple[str, float], ...]:
    """Return the rate of requests that this host sends each upstream, per second."""
    _decay_counts(counts, now_ns)
    window_s = _effective_window_s(counts, now_ns)
    return tuple((name, n / window_s) for name, n in sorted(counts.upstreams.items()))


def record_hot_key_report(
    reports: HotKeyReports,
    host: str,
    keys: Iterable[KeyRate],
    upstreams: Iterable[tuple[str, float]],
    now_ns: int,
) -> None:
    """Record a host's report, which replaces its previous report."""
    rates = {(row.home, row.key_hash): row.rate_per_s for row in keys}
    reports.hosts[host] = HostReport(rates, dict(upstreams), now_ns)


def key_rates(reports: HotKeyReports, now_ns: int) -> dict[KeyId, float]:
    """Return the rate of each key that a host reports as not cold, per second.

    A key has one dispatcher at a time. So if several hosts report the key, the highest
    rate is that of the present dispatcher or close to it.
    """
    rates: dict[KeyId, float] = {}
    for report in _fresh_reports(reports, now_ns):
        for key_id, rate in report.keys.items():
            rates[key_id] = max(rate, rates.get(key_id, 0.0))
    return rates


def rates_by_upstream(reports: HotKeyReports, now_ns: int) -> dict[str, float]:
    """Return the rate of requests that each upstream gets, per second."""
    rates: dict[str, float] = {}
    for report in _fresh_reports(reports, now_ns):
        for name, rate in report.upstreams.items():
            rates[name] = max(rate, rates.get(name, 0.0))
    return rates


def cold_exceptions(
    reports: HotKeyReports,
    exceptions: Iterable[KeyException],
    rates: dict[KeyId, float],
    now_ns: int,
) -> list[KeyException]:
    """Return the exceptions whose keys have been cold for `COLD_AFTER_NS`.

    Also records since when each exception is cold. A new leader counts from its own
    first run, because it has no older reports.
    """
    cold: list[KeyException] = []
    since_ns: dict[ShardId, int] = {}
    for exception in exceptions:
        rate = rates.get((exception.home, exception.key_hash), 0.0)
        if rate >= COLD_RATE_RATIO * HOT_RATE_PER_S:
            continue
        since_ns[exception.shard] = reports.cold_since_ns.get(exception.shard, now_ns)
        if now_ns - since_ns[exception.shard] >= COLD_AFTER_NS:
            cold.append(exception)
    reports.cold_since_ns = since_ns
    return cold


def _fresh_reports(reports: HotKeyReports, now_ns: int) -> list[HostReport]:
    return [
        report
        for report in reports.hosts.values()
        if now_ns - report.reported_ns < REPORT_MAX_AGE_NS
    ]


def _decay_counts(counts: HotKeyCounts, now_ns: int) -> None:
    if now_ns - counts.halved_ns < HALVING_INTERVAL_NS:
        return
    # The limit keeps the power in range after a long pause; 60 halvings leave nothing
    # of any count.
    n_halvings = min(60, (now_ns - counts.halved_ns) // HALVING_INTERVAL_NS)
    counts.halved_ns += (
        (now_ns - counts.halved_ns) // HALVING_INTERVAL_NS * HALVING_INTERVAL_NS
    )
    factor = 0.5**n_halvings
    counts.keys = {
        key_id: n * factor for key_id, n in counts.keys.items() if n * factor >= 0.5
    }
    counts.upstreams = {
        name: n * factor for name, n in counts.upstreams.items() if n * factor >= 0.5
    }


def _effective_window_s(counts: HotKeyCounts, now_ns: int) -> float:
    # Under a constant load, the halved counts of earlier intervals add up to those of
    # one full interval, which therefore belongs to the window.
    return (HALVING_INTERVAL_NS + now_ns - counts.halved_ns) / 1e9
