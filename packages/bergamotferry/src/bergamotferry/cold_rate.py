"""Limits the rate of requests that this host sends to a cold upstream.

An upstream is cold for some seconds after its start, and can then take only a low rate
of requests. The rate applies to the requests of all hosts together. So only a few hosts
of the upstream's data centre send to it, at most as many as the requests it can take
per second, and each gets an equal part of the rate. The rank that each host computes
for itself decides which hosts send. For some seconds, hosts may disagree on which hosts
there are, so more hosts may send than are known, and exceed the rate together. The
bound on the requests of all hosts in a second is therefore above the rate. It covers
two more senders with equal parts if at least four hosts are known.

An upstream may be cold before any host has received a report of it: its process was
replaced at the same address, or its data centre returns from an evacuation. After such
an event, the host treats the upstream as cold until it answers a probe, for
`UNCERTAIN_NS` at most. All requests of the last second count, also those sent while the
upstream was considered warm.
"""

from collections import deque
from dataclasses import dataclass, field

NS_PER_S = 1_000_000_000
# Within this time, even a late heartbeat has reported whether an upstream is cold.
UNCERTAIN_NS = 2 * NS_PER_S


@dataclass(slots=True)
class ColdRate:
    """Until when an upstream is or may be cold, and this host's recent sends to it.

    ``sent_ns`` holds the times of requests sent within the last second, cold or not.
    """

    cold_until_ns: int = 0
    uncertain_until_ns: int = 0
    sent_ns: deque[int] = field(default_factory=deque)


def record_cold(rate: ColdRate, cold_left_ms: int, now_ns: int) -> None:
    """Record how long an upstream reports that it stays cold, in ms; 0 if it is warm.

    A shorter report does not replace a longer one.
    """
    rate.cold_until_ns = max(rate.cold_until_ns, now_ns + cold_left_ms * 1_000_000)


def record_uncertain(rate: ColdRate, now_ns: int) -> None:
    """Record that the upstream may have become cold without a report."""
    rate.uncertain_until_ns = now_ns + UNCERTAIN_NS


def record_probe_answer(rate: ColdRate, cold_left_ms: int, now_ns: int) -> None:
    """Record an upstream's answer to a probe, which ends the uncertainty."""
    record_cold(rate, cold_left_ms, now_ns)
    rate.uncertain_until_ns = 0


def is_cold(rate: ColdRate, now_ns: int) -> bool:
    """Return whether the upstream is cold, or must be treated as cold."""
    return now_ns < rate.cold_until_ns or is_uncertain(rate, now_ns)


def is_uncertain(rate: ColdRate, now_ns: int) -> bool:
    """Return whether the upstream has yet to report whether it is cold."""
    return now_ns < rate.uncertain_until_ns


def may_send_cold(
    rate: ColdRate, per_s: float, n_hosts: int, rank: int | None, now_ns: int
) -> bool:
    """Return whether one more request may go to a cold upstream now.

    Parameters
    ----------
    rate : ColdRate
        State of the upstream at this host.
    per_s : float
        Requests per second that the cold upstream can take from all hosts together.
    n_hosts : int
        Number of hosts of the upstream's data centre that take requests.
    rank : int or None
        Rank of this host among the hosts of the upstream's data centre, from 0. None if
        this host is in another data centre, or does not know the hosts of its own yet.
    now_ns : int
        Current time in nanoseconds.
    """
    n_senders = max(1, min(n_hosts, int(per_s)))
    if rank is None or rank >= n_senders:
        return False
    _drop_old_sends(rate, now_ns)
    share = max(1, int(per_s / n_senders))
    return len(rate.sent_ns) < share


def record_send(rate: ColdRate, now_ns: int) -> None:
    """Record a request that is sent to the upstream."""
    _drop_old_sends(rate, now_ns)
    rate.sent_ns.append(now_ns)


def _drop_old_sends(rate: ColdRate, now_ns: int) -> None:
    while rate.sent_ns and rate.sent_ns[0] <= now_ns - NS_PER_S:
        rate.sent_ns.popleft()
