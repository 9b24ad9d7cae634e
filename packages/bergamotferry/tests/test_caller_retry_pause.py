"""Pauses before a caller retry, and their effect with shedding and full upstreams."""

import heapq
import random

import pytest

from bergamotferry.caller_retry_pause import PAUSE_SHARE_MAX, caller_retry_pause_s

OBJECTIVE_S, DEADLINE_S = 0.5, 2.0
WORK_S = 0.16
# Time to and from the host, and for a new connection to another host.
RECONNECT_S = 0.04


@pytest.mark.parametrize("has_capacity", [True, False])
def test_pause_is_spread_and_within_the_share_that_callers_observe(has_capacity):
    pauses = [caller_retry_pause_s(has_capacity, 2.0, n / 10) for n in range(11)]
    assert pauses == sorted(pauses)
    assert pauses[-1] > pauses[0] > 0
    assert caller_retry_pause_s(has_capacity, 0.05, 1.0) <= PAUSE_SHARE_MAX * 0.05
    assert caller_retry_pause_s(has_capacity, -1.0, 1.0) == 0.0


def test_pause_is_longer_without_capacity():
    assert caller_retry_pause_s(False, 2.0, 0.0) > caller_retry_pause_s(True, 2.0, 1.0)


def simulate_shedding(has_capacity: bool, seed: int) -> float:
    """Return the share of callers that are answered within the latency objective.

    Upstreams with free slots shed half of their requests; each caller makes up to two
    attempts.
    """
    rng = random.Random(seed)
    n_in_time, n_callers = 0, 4_000
    for _ in range(n_callers):
        elapsed_s = 0.02
        for _ in range(2):
            if rng.random() < 0.5:
                n_in_time += elapsed_s + WORK_S * rng.uniform(0.5, 1.6) < OBJECTIVE_S
                break
            pause_s = caller_retry_pause_s(
                has_capacity, DEADLINE_S - elapsed_s, rng.random()
            )
            elapsed_s += pause_s + RECONNECT_S
    return n_in_time / n_callers


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_early_caller_retries_with_capacity_are_served_in_time_more_often(seed):
    assert simulate_shedding(True, seed) >= 0.73
    assert simulate_shedding(True, seed) > simulate_shedding(False, seed) + 0.05


def simulate_full_upstreams(has_capacity: bool, seed: int) -> tuple[int, int]:
    """Return the numbers of callers served by 20 slots, and of their attempts.

    For one second, twice as many callers arrive as the slots can serve. Each caller
    makes up to three attempts.
    """
    rng = random.Random(seed)
    attempts = [(rng.uniform(0, 1), n, 0) for n in range(250)]
    heapq.heapify(attempts)
    ends_s: list[float] = []
    n_served = n_attempts = 0
    while attempts:
        at_s, caller, n_earlier_attempts = heapq.heappop(attempts)
        n_attempts += 1
        while ends_s and ends_s[0] <= at_s:
            heapq.heappop(ends_s)
        if len(ends_s) < 20:
            n_served += 1
            heapq.heappush(ends_s, at_s + WORK_S)
        elif n_earlier_attempts < 2:
            pause_s = caller_retry_pause_s(has_capacity, DEADLINE_S, rng.random())
            retry_s = at_s + pause_s + RECONNECT_S
            heapq.heappush(attempts, (retry_s, caller, n_earlier_attempts + 1))
    return n_served, n_attempts


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_spread_caller_retries_at_full_upstreams_are_served_more_often(seed):
    n_served, n_attempts = simulate_full_upstreams(False, seed)
    n_served_at_once, n_attempts_at_once = simulate_full_upstreams(True, seed)
    assert n_served > n_served_at_once
    assert n_attempts <= n_attempts_at_once
