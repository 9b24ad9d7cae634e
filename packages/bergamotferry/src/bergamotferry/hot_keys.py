"""Counts which keys are asked for most, and judges which are hot.

A dispatcher counts requests by the key's hash in a table of fixed size: a new key that
finds it full is not counted and takes one off every count (the way of Misra and Gries).
A count so is never too high, and too low by one in `N_COUNTED_MAX` of all requests at
most. All counts are halved every few seconds, so that old load is forgotten. Only
hashes and rates leave the dispatcher, to the leader of its own data centre's group.

The leader takes reports from all dispatchers. A key is hot above one rate and cold only
after a time below a quarter of it, so that exceptions do not come and go.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from .hot_key_messages import KeyRate
from .messages import RequestHead
from .records import KeyException, ShardId
from .shards import hash_of_key

N_COUNTED_MAX = 256
N_REPORTED_MAX = 128
HALVING_NS = 2_000_000_000
HOT_RATE_PER_S = 20.0
COLD_SHARE = 0.25
COLD_NS = 60_000_000_000
REPORT_MAX_AGE_NS = 3_000_000_000

Place = tuple[ShardId, int]


@dataclass(slots=True)
class HotKeyCounts:
    """A dispatcher's counts by home shard and hash, and by upstream."""

    keys: dict[Place, float] = field(default_factory=dict)
    upstreams: dict[str, float] = field(default_factory=dict)
    halved_ns: int = 0


class HostReport(NamedTuple):
    """What one host reported last."""

    keys: dict[Place, float]
    upstreams: dict[str, float]
    at_ns: int


@dataclass(slots=True)
class HotKeyReports:
    """What a leader holds: the hosts' reports, and since when exceptions are cold."""

    hosts: dict[str, HostReport] = field(default_factory=dict)
    cold_since_ns: dict[ShardId, int] = field(default_factory=dict)
    moved_ns: dict[str, int] = field(default_factory=dict)


def count_request(
    counts: HotKeyCounts, head: RequestHead, upstream: str, now_ns: int
) -> None:
    """Count a request that this host dispatches to an upstream."""
    key_hash = hash_of_key(head.service, head.shard.domain, head.key)
    count_key(counts, (head.shard, key_hash), now_ns)
    counts.upstreams[upstream] = counts.upstreams.get(upstream, 0.0) + 1.0


def count_key(counts: HotKeyCounts, place: Place, now_ns: int) -> None:
    """Count one request for a key, in room for `N_COUNTED_MAX` keys."""
    _halve(counts, now_ns)
    known = counts.keys.get(place)
    if known is not None or len(counts.keys) < N_COUNTED_MAX:
        counts.keys[place] = (known or 0.0) + 1.0
        return
    # Each takes away what as many requests have added, so this is seldom done.
    counts.keys = {other: n - 1.0 for other, n in counts.keys.items() if n > 1.0}


def hottest_keys(counts: HotKeyCounts, now_ns: int) -> tuple[KeyRate, ...]:
    """Return the keys that are not cold, the hottest first, with rates never too high.

    A key that has just begun to be asked for counts as if it had been idle before.
    """
    _halve(counts, now_ns)
    seen_s = _seen_s(counts, now_ns)
    rates = [KeyRate(*place, count / seen_s) for place, count in counts.keys.items()]
    rates = [row for row in rates if row.rate_per_s >= COLD_SHARE * HOT_RATE_PER_S]
    rates.sort(key=lambda row: (-row.rate_per_s, row.home, row.key_hash))
    return tuple(rates[:N_REPORTED_MAX])


def upstream_rates(counts: HotKeyCounts, now_ns: int) -> tuple[tuple[str, float], ...]:
    """Return the requests per second of each upstream that this host dispatched to."""
    _halve(counts, now_ns)
    seen_s = _seen_s(counts, now_ns)
    return tuple((name, n / seen_s) for name, n in sorted(counts.upstreams.items()))


def note_hot_keys(
    reports: HotKeyReports,
    host: str,
    keys: Iterable[KeyRate],
    upstreams: Iterable[tuple[str, float]],
    now_ns: int,
) -> None:
    """Take a host's report in place of its last one."""
    rates = {(row.home, row.key_hash): row.rate_per_s for row in keys}
    reports.hosts[host] = HostReport(rates, dict(upstreams), now_ns)


def key_rates(reports: HotKeyReports, now_ns: int) -> dict[Place, float]:
    """Return the rate of each key that a host reports as not cold.

    A key has one dispatcher, so that of several reports the highest is the newest or
    close to it.
    """
    rates: dict[Place, float] = {}
    for report in _fresh(reports, now_ns):
        for place, rate in report.keys.items():
            rates[place] = max(rate, rates.get(place, 0.0))
    return rates


def rates_by_upstream(reports: HotKeyReports, now_ns: int) -> dict[str, float]:
    """Return the requests per second that each upstream gets."""
    rates: dict[str, float] = {}
    for report in _fresh(reports, now_ns):
        for name, rate in report.upstreams.items():
            rates[name] = max(rate, rates.get(name, 0.0))
    return rates


def cold_exceptions(
    reports: HotKeyReports,
    exceptions: Iterable[KeyException],
    rates: dict[Place, float],
    now_ns: int,
) -> list[KeyException]:
    """Return the exceptions whose keys have been cold for `COLD_NS`.

    A new leader counts from its own first look, because it knows no older reports.
    """
    cold: list[KeyException] = []
    since_ns: dict[ShardId, int] = {}
    for row in exceptions:
        rate = rates.get((row.home, row.key_hash), 0.0)
        if rate >= COLD_SHARE * HOT_RATE_PER_S:
            continue
        since_ns[row.shard] = reports.cold_since_ns.get(row.shard, now_ns)
        if now_ns - since_ns[row.shard] >= COLD_NS:
            cold.append(row)
    reports.cold_since_ns = since_ns
    return cold


def _fresh(reports: HotKeyReports, now_ns: int) -> list[HostReport]:
    return [
        report
        for report in reports.hosts.values()
        if now_ns - report.at_ns < REPORT_MAX_AGE_NS
    ]


def _halve(counts: HotKeyCounts, now_ns: int) -> None:
    if now_ns - counts.halved_ns < HALVING_NS:
        return
    # After a long pause nothing of the counts is left.
    n_halvings = min(60, (now_ns - counts.halved_ns) // HALVING_NS)
    counts.halved_ns += (now_ns - counts.halved_ns) // HALVING_NS * HALVING_NS
    factor = 0.5**n_halvings
    counts.keys = {p: n * factor for p, n in counts.keys.items() if n * factor >= 0.5}
    counts.upstreams = {
        name: n * factor for name, n in counts.upstreams.items() if n * factor >= 0.5
    }


def _seen_s(counts: HotKeyCounts, now_ns: int) -> float:
    # Under an even load the halved counts of the past make up one interval more.
    return (HALVING_NS + now_ns - counts.halved_ns) / 1e9
