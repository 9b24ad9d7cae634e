"""When a late request is sent to a second upstream, and how much hedges help."""

import random
import statistics

import pytest

from bergamotferry.hedging import (
    hedge_delay_ms,
    is_worth_hedging,
    late_hedge_delay_ms,
)


@pytest.mark.parametrize(
    ("objective_ms", "elapsed_ms", "expected_ms", "delay_ms"),
    [
        (500, 0, 100, 225),
        (500, 100, 50, 125),
        (500, 0, 300, 450),
        (500, 450, 5, 20),
    ],
)
def test_hedge_delay_leaves_time_for_the_second_answer(
    objective_ms, elapsed_ms, expected_ms, delay_ms
):
    actual_delay_ms = hedge_delay_ms(objective_ms, elapsed_ms, expected_ms)
    assert actual_delay_ms == pytest.approx(delay_ms)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_hedges_halve_late_answers_for_at_most_a_tenth_more_sends(seed):
    """Load: requests of 112 ms of work; one send in twenty takes five times as long."""
    rng = random.Random(seed)

    def work_ms() -> float:
        return rng.lognormvariate(4.67, 0.3) * (5 if rng.random() < 0.05 else 1)

    single_ms, hedged_ms, n_hedges = [], [], 0
    for _ in range(4000):
        took_ms = work_ms()
        single_ms.append(took_ms)
        delay_ms = hedge_delay_ms(500, 0, 112)
        if took_ms > delay_ms and is_worth_hedging(500, delay_ms, 112):
            n_hedges += 1
            took_ms = min(took_ms, delay_ms + work_ms())
        hedged_ms.append(took_ms)
    late_shares = [
        statistics.fmean(time_ms > 500 for time_ms in times_ms)
        for times_ms in (single_ms, hedged_ms)
    ]
    assert late_shares[1] <= 0.5 * late_shares[0]
    assert n_hedges <= 0.1 * 4000


def test_delay_on_the_hosts_own_link_postpones_the_hedge():
    assert hedge_delay_ms(1_000, 0, 300, 277) == pytest.approx(727)
    assert hedge_delay_ms(1_000, 0, 50, 277) == pytest.approx(450)


@pytest.mark.parametrize(
    ("elapsed_ms", "delay_ms"), [(450, 550), (1_000, 20), (1_700, 20)]
)
def test_late_request_is_hedged_once_its_objective_has_passed(elapsed_ms, delay_ms):
    assert late_hedge_delay_ms(1_000, elapsed_ms) == pytest.approx(delay_ms)
