"""Whether a host in a planned stop still accepts a request.

A stopping host must have sent all of its answers when its grace period ends. A request
that is sent to an upstream and then cut is lost, and one that may run only once can't
be retried. So a request whose answer may come too late is refused before it is sent;
its caller retries at another host.

A request ends at its deadline, which its route and its caller limit, and whatever its
recent answers took, it may take until then. Once the load balancer sends callers to
other hosts, only requests whose deadline is before the end of the host are accepted.

Until then callers have no other choice than this host, and much of the grace period is
left. The time left is compared with the upper quantile of the route's recent answer
times: with 128 recent answers, one request in 129 takes longer than all of them.
"""

from collections import deque
from dataclasses import dataclass, field

# The longest of this many answers is about the 0.99 quantile.
N_RECENT_ANSWERS = 128
# With fewer answers, their longest time is no bound for the next one.
N_ANSWERS_MIN = 16


@dataclass(slots=True)
class AnswerTimes:
    """Times in ms from the arrival of recent requests of one route to their answers."""

    recent_ms: deque[float] = field(
        default_factory=lambda: deque(maxlen=N_RECENT_ANSWERS)
    )


def record_answer_time(times: AnswerTimes, took_ms: float) -> None:
    """Record how long a request took from its arrival to its answer, in ms."""
    times.recent_ms.append(took_ms)


def upper_answer_time_ms(times: AnswerTimes) -> float:
    """Return an upper quantile of the answer time; infinite if it is not known."""
    if len(times.recent_ms) < N_ANSWERS_MIN:
        return float("inf")
    return max(times.recent_ms)


def may_answer_before_stop(
    times: AnswerTimes,
    time_left_ms: float,
    stop_left_ms: float,
    is_in_rotation: bool,
) -> bool:
    """Return whether a request that is sent now is answered before the host stops.

    Parameters
    ----------
    times : AnswerTimes
        Recent answer times of the request's route.
    time_left_ms : float
        Time until the deadline of the request.
    stop_left_ms : float
        Time until the last answer of the host must be ready.
    is_in_rotation : bool
        Whether the load balancer may still send callers to the host.
    """
    longest_ms = time_left_ms
    if is_in_rotation:
        longest_ms = min(time_left_ms, upper_answer_time_ms(times))
    return longest_ms <= stop_left_ms
