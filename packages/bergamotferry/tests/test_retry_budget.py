"""Retries stay a bounded share of the load, and pauses between attempts grow."""

import pytest

from bergamotferry.retry_budget import (
    BACKOFF_MAX_MS,
    RETRIES_MAX,
    RETRIES_PER_REQUEST,
    WAITING_ATTEMPTS_PER_S,
    RetryBudget,
    backoff_ms,
    earn_retry,
    spend_retry,
)


def test_retries_are_a_bounded_share_of_requests():
    budget, n_retries = RetryBudget(), 0
    for _ in range(1000):
        earn_retry(budget)
        n_retries += sum(spend_retry(budget) for _ in range(3))
    assert n_retries <= RETRIES_MAX + 1000 * RETRIES_PER_REQUEST
    assert n_retries >= 1000 * RETRIES_PER_REQUEST


def test_unused_retries_are_capped():
    budget = RetryBudget()
    for _ in range(10_000):
        earn_retry(budget)
    assert sum(spend_retry(budget) for _ in range(100)) == RETRIES_MAX


def test_backoff_doubles_up_to_its_bound_with_jitter():
    assert [backoff_ms(n, 1, 1.0) for n in range(5)] == [
        20,
        40,
        80,
        160,
        BACKOFF_MAX_MS,
    ]
    assert [backoff_ms(n, 1, 0.0) for n in (0, 1000)] == [10, BACKOFF_MAX_MS / 2]


@pytest.mark.parametrize("n_waiting", [1, 60, 200, 1000, 5000])
def test_total_attempt_rate_of_waiting_requests_is_bounded(n_waiting):
    shortest_s = backoff_ms(1000, n_waiting, 0.0) / 1000
    assert n_waiting / shortest_s <= 2 * WAITING_ATTEMPTS_PER_S
