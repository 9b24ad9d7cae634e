"""How much a freshly started upstream is given: few slots, and starts at a low rate.

Both rise with the time since its incarnation was first seen. The ramp begins anew when
the upstream's conduct looks like a cold start that nobody announced: its connections
are reset, or its answers take several times as long as they used to.
"""

from dataclasses import dataclass

RAMP_S = 8.0
FIRST_RATE_PER_S = 20.0
RATE_DOUBLES_EVERY_S = 1.0
BURST_STARTS = 1.0
JUMP_FACTOR = 4.0
N_ANSWERS_MIN = 20
_RECENT_SMOOTHING = 0.3
_USUAL_SMOOTHING = 0.02


@dataclass(slots=True)
class SlowStart:
    """Where an upstream stands on its ramp, and how long its answers take."""

    began_ns: int
    tokens: float = BURST_STARTS
    refilled_ns: int = 0
    n_answers: int = 0
    recent_ms: float = 0.0
    usual_ms: float = 0.0
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
    ramp.n_answers = 0


def observe_answer(ramp: SlowStart, took_ms: float, now_ns: int) -> bool:
    """Note how long an answer took; return whether the ramp began anew for it."""
    if ramp.n_answers == 0:
        ramp.recent_ms = ramp.usual_ms = took_ms
    ramp.n_answers += 1
    ramp.recent_ms += _RECENT_SMOOTHING * (took_ms - ramp.recent_ms)
    ramp.usual_ms += _USUAL_SMOOTHING * (took_ms - ramp.usual_ms)
    is_known = ramp.n_answers >= N_ANSWERS_MIN and not is_ramping(ramp, now_ns)
    if is_known and ramp.recent_ms > JUMP_FACTOR * ramp.usual_ms:
        begin_ramp(ramp, now_ns)
        return True
    return False


def _age_s(ramp: SlowStart, now_ns: int) -> float:
    return max(0, now_ns - ramp.began_ns) / 1e9
