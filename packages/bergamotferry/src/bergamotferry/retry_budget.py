"""How often the entry host may try again what has cost an upstream work already.

Each new request earns a part of a try, so that retries stay a small share of the load
whatever fails. Waiting for an owner, a dispatcher or a leader costs no upstream
anything, and is bounded by the request's deadline and the backoff alone.
"""

from dataclasses import dataclass

TRIES_MAX = 20.0
TRIES_PER_REQUEST = 0.1
PAUSE_MS = 20.0
PAUSE_MAX_MS = 200.0


@dataclass(slots=True)
class RetryBudget:
    """Tries that are left."""

    n_left: float = TRIES_MAX
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


def backoff_ms(n_tries: int, fraction: float) -> float:
    """Return the pause after so many tries; ``fraction`` is random within 0 to 1."""
    longest_ms = min(PAUSE_MAX_MS, PAUSE_MS * 2.0 ** min(n_tries, 16))
    return longest_ms * (0.5 + 0.5 * fraction)
