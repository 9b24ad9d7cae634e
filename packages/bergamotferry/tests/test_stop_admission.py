"""Tests of which requests a stopping host still accepts."""

import random

import pytest

from bergamotferry.stop_admission import (
    N_ANSWERS_MIN,
    N_RECENT_ANSWERS,
    AnswerTimes,
    may_answer_before_stop,
    record_answer_time,
    upper_answer_time_ms,
)


def times_of(*recent_ms: float) -> AnswerTimes:
    times = AnswerTimes()
    for took_ms in recent_ms:
        record_answer_time(times, took_ms)
    return times


@pytest.mark.parametrize(
    ("slowest_ms", "time_left_ms", "stop_left_ms", "may_answer"),
    [
        # The slowest recent answer would still be in time.
        (900.0, 3_000.0, 1_000.0, True),
        # It would not, although the mean of the others would.
        (900.0, 3_000.0, 800.0, False),
        # The request ends at its deadline, whatever its upstream does.
        (900.0, 700.0, 800.0, True),
        # The host has stopped.
        (900.0, 3_000.0, 0.0, False),
    ],
)
def test_request_is_accepted_if_its_slowest_answer_is_in_time(
    slowest_ms, time_left_ms, stop_left_ms, may_answer
):
    times = times_of(*[100.0] * 63, slowest_ms, *[100.0] * 63)
    assert may_answer_before_stop(times, time_left_ms, stop_left_ms) is may_answer


def test_route_with_few_answers_is_bounded_by_the_deadline_only():
    times = times_of(*[10.0] * (N_ANSWERS_MIN - 1))
    assert not may_answer_before_stop(times, 3_000.0, 2_000.0)
    assert may_answer_before_stop(times, 1_900.0, 2_000.0)
    record_answer_time(times, 10.0)
    assert may_answer_before_stop(times, 3_000.0, 2_000.0)


def test_only_recent_answers_count():
    times = times_of(5_000.0, *[10.0] * N_RECENT_ANSWERS)
    assert upper_answer_time_ms(times) == 10.0


def test_slow_answers_exceed_the_upper_quantile_rarely():
    """Play work with a long tail; state what the bound refuses and what it misses."""
    rng = random.Random(1)

    def draw_ms() -> float:
        is_slow = rng.random() < 0.01
        return rng.lognormvariate(6.0, 0.6) * (5.0 if is_slow else 1.0)

    n_late = n_refused_in_time = n_requests = 0
    for _ in range(200):
        times = times_of(*(draw_ms() for _ in range(N_RECENT_ANSWERS)))
        for stop_left_ms in range(0, 4_000, 100):
            took_ms = draw_ms()
            n_requests += 1
            if may_answer_before_stop(times, 10_000.0, stop_left_ms):
                n_late += took_ms > stop_left_ms
            else:
                n_refused_in_time += took_ms <= stop_left_ms
    assert n_late / n_requests < 0.01
    # Requests that arrive shortly before the end and would have been quick are refused.
    assert n_refused_in_time / n_requests < 0.6
