"""How many requests this host may send a cold upstream.

The bound is on all hosts together, so only a few hosts of an upstream's data centre
send to it, no more than it bears requests a second, each its part of the rate. Which
ones follows from a rank that each host works out for itself. Hosts may differ for
seconds on who they are, which the slack of the bound covers for two hosts more than are
known.
"""

from collections import deque
from dataclasses import dataclass, field

NS_PER_S = 1_000_000_000


@dataclass(slots=True)
class ColdRate:
    """Since when an upstream is cold for this host, and what was sent of late."""

    cold_until_ns: int = 0
    sent_ns: deque[int] = field(default_factory=deque)


def note_cold(rate: ColdRate, cold_left_ms: int, now_ns: int) -> None:
    """Note what an upstream said about how long it stays cold."""
    rate.cold_until_ns = max(rate.cold_until_ns, now_ns + cold_left_ms * 1_000_000)


def is_cold(rate: ColdRate, now_ns: int) -> bool:
    """Return whether the upstream is cold."""
    return now_ns < rate.cold_until_ns


def may_send_cold(
    rate: ColdRate, per_s: float, n_hosts: int, rank: int | None, now_ns: int
) -> bool:
    """Return whether one more request may go to a cold upstream now.

    Parameters
    ----------
    rate : ColdRate
        Of the upstream.
    per_s : float
        What it bears a second from all hosts.
    n_hosts : int
        Hosts of its data centre that take requests.
    rank : int or None
        Of this host among the hosts of the upstream's data centre, from 0; None if it
        is not in that data centre.
    now_ns : int
        The time.
    """
    n_senders = max(1, min(n_hosts, int(per_s)))
    if rank is None or rank >= n_senders:
        return False
    while rate.sent_ns and rate.sent_ns[0] <= now_ns - NS_PER_S:
        rate.sent_ns.popleft()
    share = max(1, int(per_s / n_senders))
    return len(rate.sent_ns) < share


def note_cold_send(rate: ColdRate, now_ns: int) -> None:
    """Count a request that goes to a cold upstream."""
    rate.sent_ns.append(now_ns)
