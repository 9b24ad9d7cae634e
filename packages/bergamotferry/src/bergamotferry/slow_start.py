"""How much a freshly started upstream is given: few slots, and starts at a low rate.

Both rise with the time since its incarnation was first seen. The ramp begins anew when
the upstream's conduct looks like a cold start that nobody announced: its connections
are reset, or its answers take several times as long as they used to.

A host that stood still, or has more to do than its processor allows, sees every answer
late. So a jump must also exceed what the host's own delay explains, and counts only
once answers to requests that were sent after it was first seen are slow as well.
"""

from dataclasses import dataclass, field

from .records import TrafficClass

RAMP_S = 8.0
FIRST_RATE_PER_S = 20.0
RATE_DOUBLES_EVERY_S = 1.0
BURST_STARTS = 1.0
JUMP_FACTOR = 4.0
JUMP_MIN_MS = 20.0
N_ANSWERS_MIN = 20
N_SLOW_ANSWERS = 3
# How often a request waits for its turn in the dispatcher's event loop.
N_LOOP_TURNS = 8
_RECENT_SMOOTHING = 0.3
_USUAL_SMOOTHING = 0.02


@dataclass(slots=True)
class AnswerTimes:
    """How long an upstream's answers of one class take.

    ``jumped_ns`` is when they were first seen to take longer; 0 if they don't.
    """

    n_answers: int = 0
    recent_ms: float = 0.0
    usual_ms: float = 0.0
    jumped_ns: int = 0
    n_slow: int = 0


@dataclass(slots=True)
class SlowStart:
    """Where an upstream stands on its ramp, and how long its answers take."""

    began_ns: int
    tokens: float = BURST_STARTS
    refilled_ns: int = 0
    times: dict[TrafficClass, AnswerTimes] = field(default_factory=dict)
    is_enabled: bool = True


def is_ramping(ramp: SlowStart, now_ns: int) -> bool:
    """Return whether the upstream is still held below its full load."""
    return ramp.is_enabled and _age_s(ramp, now_ns) < RAMP_S


def n_slots_allowed(ramp: SlowStart, n_slots: int, now_ns: int) -> int:
    """Return how many requests may run at once."""
    if not is_ramping(ramp, now_ns):
        return n_slots
    return 1 + int((n_slots - 1) * _age_s(ramp, now_ns) / RAMP_S)


def rate_per_s(ramp: SlowStart, now_ns: int) -> float:
    """Return how many requests may start each second; infinite after the ramp."""
    if not is_ramping(ramp, now_ns):
        return float("inf")
    return float(FIRST_RATE_PER_S * 2 ** (_age_s(ramp, now_ns) / RATE_DOUBLES_EVERY_S))


def take_start(ramp: SlowStart, now_ns: int) -> bool:
    """Take the right to start one request, if there is one now."""
    if not is_ramping(ramp, now_ns):
        return True
    refilled_ns = max(ramp.refilled_ns, ramp.began_ns)
    # The rate only rises, so the earlier one never grants too much.
    rate = rate_per_s(ramp, refilled_ns)
    grown = ramp.tokens + rate * max(0, now_ns - refilled_ns) / 1e9
    ramp.tokens = min(BURST_STARTS, grown)
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
    ramp.times.clear()


def observe_answer(
    ramp: SlowStart,
    traffic_class: TrafficClass,
    took_ms: float,
    now_ns: int,
    own_delay_ms: float = 0.0,
) -> bool:
    """Note how long an answer took; return whether the ramp began anew for it.

    Parameters
    ----------
    own_delay_ms : float
        How late the dispatcher's own event loop was at the time.
    """
    if traffic_class == "bulk":
        # It takes as long as its caller reads.
        return False
    row = ramp.times.setdefault(traffic_class, AnswerTimes(0, took_ms, took_ms))
    row.n_answers += 1
    row.recent_ms += _RECENT_SMOOTHING * (took_ms - row.recent_ms)
    slow_ms = max(JUMP_FACTOR * row.usual_ms, row.usual_ms + JUMP_MIN_MS)
    slow_ms += N_LOOP_TURNS * own_delay_ms
    is_known = row.n_answers >= N_ANSWERS_MIN and not is_ramping(ramp, now_ns)
    if not is_known or row.recent_ms <= slow_ms:
        row.usual_ms += _USUAL_SMOOTHING * (took_ms - row.usual_ms)
        row.jumped_ns = row.n_slow = 0
        return False
    if not row.jumped_ns:
        row.jumped_ns = now_ns
    elif took_ms > slow_ms and now_ns - int(took_ms * 1e6) >= row.jumped_ns:
        row.n_slow += 1
    if row.n_slow < N_SLOW_ANSWERS:
        return False
    begin_ramp(ramp, now_ns)
    return True


def _age_s(ramp: SlowStart, now_ns: int) -> float:
    return max(0, now_ns - ramp.began_ns) / 1e9
