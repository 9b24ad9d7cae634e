"""Counts sends in short intervals, for the sum over a sliding window.

The load is some hundred sends a second of one account, reported by up to 90 hosts in
any order of time.
"""

from dataclasses import dataclass, field

# A send counts until the end of its interval has left the window, so at most this much
# too long.
INTERVAL_NS = 20_000_000


@dataclass(slots=True)
class SendCounts:
    """Number of sends by interval, and their sum."""

    by_interval: dict[int, int] = field(default_factory=dict)
    n_total: int = 0
    first_interval: int = 0


def add_sends(counts: SendCounts, n_sends: int, sent_ns: int) -> None:
    """Add sends that happened at a time, or before it."""
    if n_sends <= 0:
        return
    interval = -(-sent_ns // INTERVAL_NS)
    if not counts.by_interval:
        counts.first_interval = interval
    counts.first_interval = min(counts.first_interval, interval)
    counts.by_interval[interval] = counts.by_interval.get(interval, 0) + n_sends
    counts.n_total += n_sends


def drop_before(counts: SendCounts, began_ns: int) -> None:
    """Drop the sends of intervals that ended before a time."""
    if not counts.by_interval or counts.first_interval * INTERVAL_NS >= began_ns:
        return
    # Not interval by interval: an account may have been idle for days.
    for interval in list(counts.by_interval):
        if interval * INTERVAL_NS < began_ns:
            counts.n_total -= counts.by_interval.pop(interval)
    counts.first_interval = min(counts.by_interval, default=0)
