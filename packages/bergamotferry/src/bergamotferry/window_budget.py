"""Budget for retries: sends beyond the first of each request, as a share of the load.

The bound is on the sum over all hosts, in any sliding window. Each host applies its
part of the bound from its own observations, without messages from other hosts: its own
requests earn retries, and a fixed reserve is split among the hosts. A host that has
just started doesn't know how many retries it made before, so its part of the reserve
grows over the first window.

A caller retry is the last request that a caller makes, so its retries may use the whole
budget. Retries of first requests may use only half of the budget.
"""

from collections import deque
from dataclasses import dataclass, field

NS_PER_S = 1_000_000_000
# Two hosts may disagree on the number of hosts, so a part of the budget stays unspent.
RESERVE_USED_SHARE = 0.8
RATIO_USED_SHARE = 0.9
FIRST_REQUEST_SHARE = 0.5


@dataclass(slots=True)
class WindowBudget:
    """Times of requests and of retries within the last window, in ns.

    ``ratio`` is the number of retries that each request earns. ``reserve`` is how many
    further retries all hosts together may make within a window.
    """

    ratio: float
    reserve: float
    window_s: float
    began_ns: int
    n_hosts: int = 1
    requests: deque[int] = field(default_factory=deque)
    retries: deque[int] = field(default_factory=deque)


def record_request(budget: WindowBudget, now_ns: int) -> None:
    """Record a new request."""
    budget.requests.append(now_ns)
    _drop_old(budget, now_ns)


def take_retry(budget: WindowBudget, now_ns: int, is_caller_retry: bool = True) -> bool:
    """Take one retry out of the budget; return False if none is left."""
    share = 1.0 if is_caller_retry else FIRST_REQUEST_SHARE
    if n_retries_left(budget, now_ns, share) < 1:
        return False
    budget.retries.append(now_ns)
    return True


def n_retries_left(budget: WindowBudget, now_ns: int, share: float = 1.0) -> float:
    """Return how many more retries a share of the budget allows; may be negative."""
    _drop_old(budget, now_ns)
    earned = RATIO_USED_SHARE * budget.ratio * len(budget.requests)
    window_share = min(1.0, (now_ns - budget.began_ns) / (budget.window_s * NS_PER_S))
    reserve = (
        window_share * RESERVE_USED_SHARE * budget.reserve / max(1, budget.n_hosts)
    )
    return share * (earned + reserve) - len(budget.retries)


def _drop_old(budget: WindowBudget, now_ns: int) -> None:
    window_began_ns = now_ns - int(budget.window_s * NS_PER_S)
    for times_ns in (budget.requests, budget.retries):
        while times_ns and times_ns[0] < window_began_ns:
            times_ns.popleft()
