"""Pauses after a refusal, and what callers get from upstreams that shed half."""

import heapq
import random

import pytest

from bergamotferry.return_times import LEFT_SHARE_MAX, return_pause_s

OBJECTIVE_S, DEADLINE_S = 0.5, 2.0
WORK_S = 0.16
# To the host, back, and a new connection to another one.
WAY_BACK_S = 0.04


@pytest.mark.parametrize("has_room", [True, False])
def test_a_pause_is_spread_and_never_longer_than_callers_heed(has_room):
    pauses = [return_pause_s(has_room, 2.0, n / 10) for n in range(11)]
    assert pauses == sorted(pauses)
    assert pauses[-1] > pauses[0] > 0
    assert return_pause_s(has_room, 0.05, 1.0) <= LEFT_SHARE_MAX * 0.05
    assert return_pause_s(has_room, -1.0, 1.0) == 0.0


def test_callers_of_full_upstreams_come_back_later():
    assert return_pause_s(False, 2.0, 0.0) > return_pause_s(True, 2.0, 1.0)


def play_shedding(has_room: bool, seed: int) -> float:
    """Return the share of callers that are answered within their objective.

    Upstreams with free slots shed half of what they get; each caller tries twice.
    """
    rng = random.Random(seed)
    n_good, n_callers = 0, 4_000
    for _ in range(n_callers):
        passed_s = 0.02
        for _ in range(2):
            if rng.random() < 0.5:
                n_good += passed_s + WORK_S * rng.uniform(0.5, 1.6) < OBJECTIVE_S
                break
            pause_s = return_pause_s(has_room, DEADLINE_S - passed_s, rng.random())
            passed_s += pause_s + WAY_BACK_S
    return n_good / n_callers


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_more_callers_are_in_time_when_those_shed_with_room_return_at_once(seed):
    assert play_shedding(True, seed) >= 0.73
    assert play_shedding(True, seed) > play_shedding(False, seed) + 0.05


def play_full(has_room: bool, seed: int) -> tuple[int, int]:
    """Return how many callers are served, and how many tries it took, by 20 slots.

    Twice as many callers come for a second as the slots bear; each tries three times.
    """
    rng = random.Random(seed)
    tries = [(rng.uniform(0, 1), n, 0) for n in range(250)]
    heapq.heapify(tries)
    ends: list[float] = []
    n_served = n_tries = 0
    while tries:
        at_s, number, n_before = heapq.heappop(tries)
        n_tries += 1
        while ends and ends[0] <= at_s:
            heapq.heappop(ends)
        if len(ends) < 20:
            n_served += 1
            heapq.heappush(ends, at_s + WORK_S)
        elif n_before < 2:
            pause_s = return_pause_s(has_room, DEADLINE_S, rng.random())
            again_s = at_s + pause_s + WAY_BACK_S
            heapq.heappush(tries, (again_s, number, n_before + 1))
    return n_served, n_tries


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_more_callers_of_full_upstreams_are_served_when_they_are_spread(seed):
    n_served, n_tries = play_full(False, seed)
    n_served_at_once, n_tries_at_once = play_full(True, seed)
    assert n_served > n_served_at_once
    assert n_tries <= n_tries_at_once
