"""Slow start: limits the slots and the request rate of a newly started upstream.

Both limits rise with the time since the upstream's incarnation was first seen. This
ramp ends early once the upstream answers nearly as fast as the warm upstreams of its
service. The ramp begins anew when the upstream behaves like one that started cold
without an announcement: its connections are reset, or its answers take several times as
long as before.

A host that was paused, or has more work than its processor can do, sees every answer
late. So a latency jump must also exceed what the host's own delay explains. It counts
only once answers to requests that were sent after the jump was first seen are slow as
well.
"""

import statistics
from collections.abc import Iterable
from dataclasses import dataclass, field

from .records import TrafficClass

RAMP_S = 8.0
INITIAL_RATE_PER_S = 20.0
RATE_DOUBLING_S = 1.0
BURST_STARTS = 1.0
LATENCY_JUMP_FACTOR = 4.0
LATENCY_JUMP_MIN_MS = 20.0
N_ANSWERS_MIN = 20
N_SLOW_ANSWERS = 3
EARLY_END_FACTOR = 1.5
N_ANSWERS_PER_COMPARISON = 20
N_WARM_PEERS_MIN = 2
EARLY_END_MIN_S = 2.0
# How many times the processing of one request waits for the dispatcher's event loop.
N_LOOP_WAITS = 8
_RECENT_SMOOTHING = 0.3
_USUAL_SMOOTHING = 0.02


@dataclass(slots=True)
class AnswerTimes:
    """How long an upstream's answers of one class take.

    ``recent_ms`` and ``usual_ms`` are smoothed over few and over many answers. A
    latency jump is in progress while ``recent_ms`` exceeds the limit that follows from
    ``usual_ms``. ``jump_began_ns`` is when the jump was first seen, or 0, and
    ``n_slow`` counts the slow answers to requests that were sent since.
    """

    n_answers: int = 0
    recent_ms: float = 0.0
    usual_ms: float = 0.0
    jump_began_ns: int = 0
    n_slow: int = 0


@dataclass(slots=True)
class SlowStart:
    """State of an upstream's ramp, and how long its answers take.

    ``tokens`` are the requests that may start at once, as of ``refilled_ns``.
    ``n_compared`` answers of the current batch were compared with those of warm peers;
    ``ratio_sum`` is the sum of the ratios of their times.
    """

    began_ns: int
    tokens: float = BURST_STARTS
    refilled_ns: int = 0
    times: dict[TrafficClass, AnswerTimes] = field(default_factory=dict)
    n_compared: int = 0
    ratio_sum: float = 0.0
    is_warm: bool = False
    is_enabled: bool = True


def is_ramping(ramp: SlowStart, now_ns: int) -> bool:
    """Return whether the ramp still limits the upstream's load."""
    may_limit = ramp.is_enabled and not ramp.is_warm
    return may_limit and _age_s(ramp, now_ns) < RAMP_S


def n_slots_allowed(ramp: SlowStart, n_slots: int, now_ns: int) -> int:
    """Return how many requests may run at once."""
    if not is_ramping(ramp, now_ns):
        return n_slots
    return 1 + int((n_slots - 1) * _age_s(ramp, now_ns) / RAMP_S)


def rate_per_s(ramp: SlowStart, now_ns: int) -> float:
    """Return how many requests may start per second; infinite after the ramp."""
    if not is_ramping(ramp, now_ns):
        return float("inf")
    return float(INITIAL_RATE_PER_S * 2 ** (_age_s(ramp, now_ns) / RATE_DOUBLING_S))


def take_start(ramp: SlowStart, now_ns: int) -> bool:
    """Take a token to start one request; return False if there is none now."""
    if not is_ramping(ramp, now_ns):
        return True
    refilled_ns = max(ramp.refilled_ns, ramp.began_ns)
    # The rate only rises, so the rate at the last refill never grants too many tokens.
    rate = rate_per_s(ramp, refilled_ns)
    refilled_tokens = ramp.tokens + rate * max(0, now_ns - refilled_ns) / 1e9
    ramp.tokens = min(BURST_STARTS, refilled_tokens)
    ramp.refilled_ns = now_ns
    if ramp.tokens < 1.0:
        return False
    ramp.tokens -= 1.0
    return True


def begin_ramp(ramp: SlowStart, now_ns: int) -> None:
    """Begin the ramp anew."""
    ramp.began_ns = now_ns
    ramp.refilled_ns = now_ns
    ramp.tokens = BURST_STARTS
    ramp.n_compared = 0
    ramp.ratio_sum = 0.0
    ramp.is_warm = False
    ramp.times.clear()


def warm_peers_ms(
    peers: Iterable[SlowStart], traffic_class: TrafficClass, now_ns: int
) -> float | None:
    """Return the median usual answer time of warm upstreams; None if too few."""
    usual_ms = [
        peer.times[traffic_class].usual_ms
        for peer in peers
        if traffic_class in peer.times
        and peer.times[traffic_class].n_answers >= N_ANSWERS_MIN
        and not is_ramping(peer, now_ns)
    ]
    if len(usual_ms) < N_WARM_PEERS_MIN:
        return None
    return statistics.median_low(usual_ms)


def compare_answer(
    ramp: SlowStart, took_ms: float, peers_ms: float, now_ns: int
) -> bool:
    """Compare an answer with warm peers; return whether this ended the ramp early.

    Answers are compared in batches of `N_ANSWERS_PER_COMPARISON`, by their mean,
    because single answers vary too much.
    """
    if not is_ramping(ramp, now_ns):
        return False
    ramp.n_compared += 1
    ramp.ratio_sum += took_ms / peers_ms
    if ramp.n_compared < N_ANSWERS_PER_COMPARISON:
        return False
    is_fast_enough = ramp.ratio_sum <= EARLY_END_FACTOR * ramp.n_compared
    ramp.n_compared, ramp.ratio_sum = 0, 0.0
    ramp.is_warm = is_fast_enough and _age_s(ramp, now_ns) >= EARLY_END_MIN_S
    return ramp.is_warm


def observe_answer(
    ramp: SlowStart,
    traffic_class: TrafficClass,
    took_ms: float,
    now_ns: int,
    own_delay_ms: float = 0.0,
) -> bool:
    """Record how long an answer took; return whether this made the ramp begin anew.

    Parameters
    ----------
    ramp : SlowStart
        State of the upstream.
    traffic_class : TrafficClass
        Class of the request.
    took_ms : float
        Time that the answer took, in ms.
    now_ns : int
        Current time.
    own_delay_ms : float
        Present delay of the dispatcher's own event loop, in ms.
    """
    if traffic_class == "bulk":
        # The duration of a bulk answer depends on how fast its caller reads.
        return False
    answer_times = ramp.times.setdefault(
        traffic_class, AnswerTimes(0, took_ms, took_ms)
    )
    answer_times.n_answers += 1
    answer_times.recent_ms += _RECENT_SMOOTHING * (took_ms - answer_times.recent_ms)
    slow_ms = max(
        LATENCY_JUMP_FACTOR * answer_times.usual_ms,
        answer_times.usual_ms + LATENCY_JUMP_MIN_MS,
    )
    slow_ms += N_LOOP_WAITS * own_delay_ms
    is_usual_known = answer_times.n_answers >= N_ANSWERS_MIN and not is_ramping(
        ramp, now_ns
    )
    if not is_usual_known or answer_times.recent_ms <= slow_ms:
        answer_times.usual_ms += _USUAL_SMOOTHING * (took_ms - answer_times.usual_ms)
        answer_times.jump_began_ns = answer_times.n_slow = 0
        return False
    if not answer_times.jump_began_ns:
        answer_times.jump_began_ns = now_ns
    elif (
        took_ms > slow_ms and now_ns - int(took_ms * 1e6) >= answer_times.jump_began_ns
    ):
        answer_times.n_slow += 1
    if answer_times.n_slow < N_SLOW_ANSWERS:
        return False
    begin_ramp(ramp, now_ns)
    return True


def _age_s(ramp: SlowStart, now_ns: int) -> float:
    return max(0, now_ns - ramp.began_ns) / 1e9
