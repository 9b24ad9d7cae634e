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
    assert (
        may_answer_before_stop(times, time_left_ms, stop_left_ms, is_in_rotation=True)
        is may_answer
    )


@pytest.mark.parametrize(
    ("time_left_ms", "stop_left_ms", "may_answer"),
    [
        (700.0, 800.0, True),
        (800.0, 800.0, True),
        # All recent answers were quick, and the next one may not be.
        (900.0, 800.0, False),
        (900.0, 0.0, False),
    ],
)
def test_request_that_another_host_can_take_is_bounded_by_its_deadline_only(
    time_left_ms, stop_left_ms, may_answer
):
    times = times_of(*[100.0] * N_RECENT_ANSWERS)
    assert (
        may_answer_before_stop(times, time_left_ms, stop_left_ms, is_in_rotation=False)
        is may_answer
    )


def test_route_with_few_answers_is_bounded_by_the_deadline_only():
    times = times_of(*[10.0] * (N_ANSWERS_MIN - 1))
    assert not may_answer_before_stop(times, 3_000.0, 2_000.0, is_in_rotation=True)
    assert may_answer_before_stop(times, 1_900.0, 2_000.0, is_in_rotation=True)
    record_answer_time(times, 10.0)
    assert may_answer_before_stop(times, 3_000.0, 2_000.0, is_in_rotation=True)


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
            if may_answer_before_stop(times, 10_000.0, stop_left_ms, True):
                n_late += took_ms > stop_left_ms
            else:
                n_refused_in_time += took_ms <= stop_left_ms
    assert n_late / n_requests < 0.01
    # Requests that arrive shortly before the end and would have been quick are refused.
    assert n_refused_in_time / n_requests < 0.6


def test_no_request_out_of_rotation_is_late_and_few_are_refused():
    """Play the users' limits; a request ends at its deadline at the latest.

    Grace of 6 s, of which 5.2 s are for answers; from 2.8 s on the host is out of
    rotation, and its kept connections still bring a tenth of the usual rate.
    """
    rng = random.Random(2)
    timeout_ms = 1_200.0
    n_late = n_refused = n_all = 0
    for at_ms in range(0, 5_200, 5):
        is_in_rotation = at_ms < 2_800
        if not is_in_rotation and rng.random() > 0.1:
            continue
        is_slow = rng.random() < 0.01
        took_ms = min(timeout_ms, 210.0 * (5.0 if is_slow else 1.0))
        stop_left_ms = 5_200.0 - at_ms
        times = times_of(*[300.0] * N_RECENT_ANSWERS)
        n_all += 1
        if not may_answer_before_stop(times, timeout_ms, stop_left_ms, is_in_rotation):
            n_refused += 1
        elif took_ms > stop_left_ms:
            n_late += 1
    assert n_late == 0
    assert 0 < n_refused / n_all < 0.05
