"""What an answer is worth to its caller, and what its bytes to another place cost.

This decides for every request that may be served in more than one data centre, at any
load. An answer within the latency objective has its full value, a later one a third of
it until the caller's deadline, and none after that. Traffic between data centres is
paid for by the byte, traffic between regions about 3.5 times as much. Both are numbers
on one scale, the value of one answer in time, so that a few ms never outweigh bytes,
and a lost answer always does.
"""

import math

from ..direct_placement import Distance

# Share of the value that is left of an answer after the latency objective.
LATE_VALUE = 1 / 3
# Response times spread around the expected one; this is the standard deviation of their
# logarithm, work times and momentary slowness included.
RESPONSE_SPREAD = 0.5
# Bytes of a request and its answer besides the bodies: heads, packets and
# acknowledgements.
OVERHEAD_BYTES = 1_000
# This many bytes cost as much as one answer in time is worth.
BYTES_PER_VALUE: dict[Distance, float] = {"near": 28_000.0, "far": 8_000.0}
# Bytes never cost as much as an answer that would be lost otherwise.
PRICE_MAX: dict[Distance, float] = {"near": 0.25, "far": 0.6}
# Share of the price that a single request pays to leave, since the request that stays
# in a queue delays those behind it too.
LEAVING_PRICE_SHARE = 0.5


def response_value(
    expected_ms: float, objective_left_ms: float, time_left_ms: float
) -> float:
    """Return the expected value of an answer, from 0 to 1.

    Parameters
    ----------
    expected_ms : float
        Expected time until the answer is back; infinite if there will be none.
    objective_left_ms : float
        Time until the latency objective, counted from the caller's first attempt.
    time_left_ms : float
        Time until the caller's deadline.
    """
    in_time = _probability_within(expected_ms, objective_left_ms)
    before_deadline = max(in_time, _probability_within(expected_ms, time_left_ms))
    return in_time + LATE_VALUE * (before_deadline - in_time)


def bytes_price(distance: Distance, n_body_bytes: float) -> float:
    """Return what it costs to send a request to another place, as a share of a value.

    ``n_body_bytes`` are the bytes of the bodies of the request and its answer.
    """
    if distance == "here":
        return 0.0
    price = (n_body_bytes + OVERHEAD_BYTES) / BYTES_PER_VALUE[distance]
    return min(PRICE_MAX[distance], price)


def leaving_price(distance: Distance, n_body_bytes: float) -> float:
    """Return the price that a single request must gain in value to leave its place."""
    return LEAVING_PRICE_SHARE * bytes_price(distance, n_body_bytes)


def _probability_within(expected_ms: float, limit_ms: float) -> float:
    """Return how likely a response is to take no longer than a limit."""
    if limit_ms <= 0 or math.isinf(expected_ms):
        return 0.0
    deviations = math.log(limit_ms / max(1.0, expected_ms)) / RESPONSE_SPREAD
    return 0.5 * (1.0 + math.erf(deviations / math.sqrt(2.0)))
