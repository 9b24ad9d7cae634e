"""How often the entry host may try again what has cost an upstream work already.

Each new request earns a part of a try, so that retries stay a small share of the load
whatever fails. Waiting for an owner, a dispatcher or a leader costs no upstream
anything, but it costs the hosts, which have the loss to mend meanwhile: the more
requests wait, the longer each pauses, so that all together try no more often than the
host can bear.
"""

from dataclasses import dataclass

TRIES_MAX = 20.0
TRIES_PER_REQUEST = 0.1
PAUSE_MS = 20.0
PAUSE_MAX_MS = 200.0
# Tries a second of all the requests that wait on one host, when each pauses longest.
WAITING_TRIES_PER_S = 400.0


@dataclass(slots=True)
class RetryBudget:
    """Tries that are left, and how many requests wait for their next one."""

    n_left: float = TRIES_MAX
    n_waiting: int = 0
    is_enabled: bool = True


def earn_try(budget: RetryBudget) -> None:
    """Note a new request."""
    budget.n_left = min(TRIES_MAX, budget.n_left + TRIES_PER_REQUEST)


def spend_try(budget: RetryBudget) -> bool:
    """Take one try; False if none is left."""
    if not budget.is_enabled:
        return True
    if budget.n_left < 1.0:
        return False
    budget.n_left -= 1.0
    return True


def backoff_ms(n_tries: int, n_waiting: int, fraction: float) -> float:
    """Return the pause before a next try.

    Parameters
    ----------
    n_tries : int
        How often the request has been tried before its last try.
    n_waiting : int
        How many requests of this host wait, this one among them.
    fraction : float
        Random within 0 to 1.
    """
    longest_ms = min(PAUSE_MAX_MS, PAUSE_MS * 2.0 ** min(n_tries, 16))
    longest_ms = max(longest_ms, 1000.0 * n_waiting / WAITING_TRIES_PER_S)
    return longest_ms * (0.5 + 0.5 * fraction)
