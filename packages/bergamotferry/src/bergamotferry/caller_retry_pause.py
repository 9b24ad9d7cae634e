"""Computes the pause after which a caller should retry a request that was refused.

The pause depends on whether capacity is available. If all upstreams are full, an early
caller retry only finds the same queues, so caller retries are spread over the time in
which slots become free. If an upstream with free slots sheds the request, a longer
pause gains nothing: an early caller retry has the same chance, and can still be
answered within the latency objective. The same holds for a host whose own link is busy,
because the caller retry goes to another host.
"""

# Long enough that a host can distinguish a caller retry from a first request by the
# time left until the deadline.
CAPACITY_PAUSE_S = 0.03
CAPACITY_SPREAD_S = 0.05
FULL_PAUSE_S = 0.1
FULL_SPREAD_S = 0.5
# Callers respect a pause of up to this share of the time left until their deadline.
PAUSE_SHARE_MAX = 0.3


def caller_retry_pause_s(
    has_capacity: bool, time_left_s: float, fraction: float
) -> float:
    """Return the pause in seconds after which a caller should retry.

    Parameters
    ----------
    has_capacity : bool
        Whether the upstream that refused, or another host, has capacity now.
    time_left_s : float
        Time in seconds until the caller's deadline.
    fraction : float
        Random number from 0 to 1; spreads callers that are refused together.
    """
    if has_capacity:
        pause_s = CAPACITY_PAUSE_S + CAPACITY_SPREAD_S * fraction
    else:
        pause_s = FULL_PAUSE_S + FULL_SPREAD_S * fraction
    return max(0.0, min(pause_s, PAUSE_SHARE_MAX * time_left_s))
