"""Sends beyond the first of each request, held within a share of the load.

The bound is summed over all hosts and holds in any sliding window. A host that divides
it by what it saw itself needs no word from the others: its own requests earn a share,
and a fixed reserve is split among the hosts. A host that has just started does not
know what it spent before, so its part of the reserve grows over the first window.

A request that came back after a refusal has no more tries of its caller's, so it may
take all that is left; the others leave it half.
"""

from collections import deque
from dataclasses import dataclass, field

NS_PER_S = 1_000_000_000
# Two hosts can disagree on how many hosts there are, so a part stays unspent.
RESERVE_USED = 0.8
SHARE_USED = 0.9
FIRST_COMERS_SHARE = 0.5


@dataclass(slots=True)
class WindowBudget:
    """Times of requests and of repeated sends within the last window."""

    ratio: float
    reserve: float
    window_s: float
    began_ns: int
    n_hosts: int = 1
    requests: deque[int] = field(default_factory=deque)
    repeats: deque[int] = field(default_factory=deque)


def note_request(budget: WindowBudget, now_ns: int) -> None:
    """Note a new request."""
    budget.requests.append(now_ns)
    _forget(budget, now_ns)


def take_repeat(budget: WindowBudget, now_ns: int, has_come_back: bool = True) -> bool:
    """Take the right to one more send; False if none is left."""
    share = 1.0 if has_come_back else FIRST_COMERS_SHARE
    if n_repeats_left(budget, now_ns, share) < 1:
        return False
    budget.repeats.append(now_ns)
    return True


def n_repeats_left(budget: WindowBudget, now_ns: int, share: float = 1.0) -> float:
    """Return how many more repeats a share of the budget allows; may be negative."""
    _forget(budget, now_ns)
    earned = SHARE_USED * budget.ratio * len(budget.requests)
    grown = min(1.0, (now_ns - budget.began_ns) / (budget.window_s * NS_PER_S))
    reserve = grown * RESERVE_USED * budget.reserve / max(1, budget.n_hosts)
    return share * (earned + reserve) - len(budget.repeats)


def _forget(budget: WindowBudget, now_ns: int) -> None:
    since_ns = now_ns - int(budget.window_s * NS_PER_S)
    for times in (budget.requests, budget.repeats):
        while times and times[0] < since_ns:
            times.popleft()
