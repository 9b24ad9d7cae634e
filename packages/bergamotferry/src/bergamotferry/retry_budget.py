"""How often the entry host retries requests, and how long it pauses between attempts.

The entry host is the host that received the request from the caller.
Retries of requests that have already cost upstreams work come out of a budget. Each new
request earns a fraction of a retry, so that retries stay a small share of the load
whatever fails.

A request that waits for an owner, a dispatcher or a leader costs no upstream anything
and needs no budget. Its attempts cost the hosts, which must recover from the loss of
the owner, dispatcher or leader meanwhile. So the more requests wait, the longer each of
them backs off, so that their attempts come at a rate that the host can bear.
"""

from dataclasses import dataclass

RETRIES_MAX = 20.0
RETRIES_PER_REQUEST = 0.1
BACKOFF_INITIAL_MS = 20.0
BACKOFF_MAX_MS = 200.0
# Limit for the attempts per second of all requests that wait on one host, if each of
# them pauses for the longest time. The jitter at most doubles this rate.
WAITING_ATTEMPTS_PER_S = 400.0


@dataclass(slots=True)
class RetryBudget:
    """Retries that are left, and how many requests wait for their next attempt."""

    n_left: float = RETRIES_MAX
    n_waiting: int = 0
    is_enabled: bool = True


def earn_retry(budget: RetryBudget) -> None:
    """Record a new request, which earns a fraction of a retry."""
    budget.n_left = min(RETRIES_MAX, budget.n_left + RETRIES_PER_REQUEST)


def spend_retry(budget: RetryBudget) -> bool:
    """Take one retry out of the budget; return False if none is left."""
    if not budget.is_enabled:
        return True
    if budget.n_left < 1.0:
        return False
    budget.n_left -= 1.0
    return True


def backoff_ms(n_earlier_attempts: int, n_waiting: int, fraction: float) -> float:
    """Return the pause before the next attempt, in ms.

    Parameters
    ----------
    n_earlier_attempts : int
        Number of attempts of the request before its last attempt.
    n_waiting : int
        How many requests of this host wait, including this one.
    fraction : float
        Random number from 0 to 1, for the jitter.
    """
    longest_ms = min(
        BACKOFF_MAX_MS, BACKOFF_INITIAL_MS * 2.0 ** min(n_earlier_attempts, 16)
    )
    longest_ms = max(longest_ms, 1000.0 * n_waiting / WAITING_ATTEMPTS_PER_S)
    return longest_ms * (0.5 + 0.5 * fraction)
