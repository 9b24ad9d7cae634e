"""When a late request is also sent to a second upstream.

Most late answers of idempotent requests come from one slow upstream, or from work that
happens to take long there. A second send, once the first has taken far longer than
expected, gets most of these answered in time, for a few percent more sends. Hedges draw
on the retry budget, and never take the part of it that caller retries need.

A request that can no longer meet its latency objective is hedged all the same once the
objective has passed: an upstream that hangs would otherwise use up the time until the
request's deadline.
"""

# A hedge is sent when this share of the latency objective is left for its answer.
OBJECTIVE_LEFT_SHARE = 0.55
# Work that takes this many times its expected time is slow by more than chance.
LATE_FACTOR = 1.5
# A shorter delay shows nothing about the first upstream.
DELAY_MIN_MS = 20.0


def hedge_delay_ms(
    objective_ms: float,
    elapsed_ms: float,
    expected_ms: float,
    max_delay_ms: float = 0.0,
) -> float:
    """Return how long to wait for the first answer before the second send.

    Parameters
    ----------
    objective_ms : float
        Latency objective of the route.
    elapsed_ms : float
        Part of the objective that has passed already.
    expected_ms : float
        Time within which the first upstream was expected to answer.
    max_delay_ms : float
        Time for which this host's own link may delay an answer.
    """
    until_objective_ms = (1 - OBJECTIVE_LEFT_SHARE) * objective_ms - elapsed_ms
    late_ms = LATE_FACTOR * expected_ms + max_delay_ms
    return max(DELAY_MIN_MS, late_ms, until_objective_ms)


def late_hedge_delay_ms(objective_ms: float, elapsed_ms: float) -> float:
    """Return the delay of the second send of a request that will be late."""
    return max(DELAY_MIN_MS, objective_ms - elapsed_ms)


def is_worth_hedging(within_ms: float, elapsed_ms: float, expected_ms: float) -> bool:
    """Return whether a second send is expected to be answered in time.

    In time means within ``within_ms`` of the start of the request.
    """
    return elapsed_ms + expected_ms < within_ms
