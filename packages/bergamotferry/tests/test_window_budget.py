"""The retry budget holds over all hosts in any window."""

import random

import pytest

from bergamotferry.window_budget import WindowBudget, record_request, take_retry

NS_PER_S = 1_000_000_000


@pytest.mark.parametrize("n_hosts", [1, 4, 12])
def test_retries_of_all_hosts_stay_within_the_budget_in_any_window(n_hosts):
    """Each host retries as often as its budget allows, and the load varies tenfold."""
    rng = random.Random(n_hosts)
    ratio, reserve, window_s = 0.2, 64.0, 10.0
    budgets = [
        WindowBudget(ratio, reserve, window_s, 0, n_hosts) for _ in range(n_hosts)
    ]
    request_times_s: list[float] = []
    retry_times_s: list[float] = []
    now_s = 0.0
    while now_s < 60:
        now_s += rng.expovariate(20 if 20 < now_s < 40 else 200)
        budget = rng.choice(budgets)
        now_ns = int(now_s * NS_PER_S)
        record_request(budget, now_ns)
        request_times_s.append(now_s)
        for _ in range(3):
            if take_retry(budget, now_ns):
                retry_times_s.append(now_s)
    for start_s in range(50):
        n_retries = sum(start_s <= at_s < start_s + window_s for at_s in retry_times_s)
        n_requests = sum(
            start_s <= at_s < start_s + window_s for at_s in request_times_s
        )
        n_before = sum(start_s - window_s <= at_s < start_s for at_s in request_times_s)
        n_allowed = ratio * max(n_requests, n_before) + reserve
        assert n_retries <= n_allowed


def test_idle_host_may_use_its_part_of_the_reserve():
    budget = WindowBudget(0.2, 50.0, 10.0, 0, 4)
    now_ns = 20 * NS_PER_S
    assert [take_retry(budget, now_ns) for _ in range(12)] == [True] * 10 + [False] * 2
    assert take_retry(budget, now_ns + 11 * NS_PER_S)


def test_hosts_restarted_together_do_not_spend_the_reserve_again():
    """All hosts make every retry they may, restart at once, and do so again."""
    n_hosts, reserve = 12, 56.0
    n_retries = 0
    for began_ns, until_ns in ((-20 * NS_PER_S, 0), (0, 5 * NS_PER_S)):
        for _ in range(n_hosts):
            budget = WindowBudget(0.2, reserve, 10.0, began_ns, n_hosts)
            for now_ns in range(until_ns - 5 * NS_PER_S, until_ns + 1, NS_PER_S // 10):
                n_retries += take_retry(budget, max(now_ns, began_ns))
    # Each host rounds its part down to whole retries, so the sum stays below the
    # reserve.
    assert n_retries <= reserve * 1.2


def test_more_callers_are_served_if_caller_retries_may_use_all_retries():
    """Of 100 sends, 55 are refused. A refused caller sends its request once more."""

    def count_served(knows_caller_retries: bool) -> int:
        rng = random.Random(1)
        budget = WindowBudget(0.2, 4.0, 10.0, -20 * NS_PER_S)
        n_served = 0
        for number in range(6000):
            for is_caller_retry in (False, True):
                now_ns = int(number * 0.02 * NS_PER_S)
                record_request(budget, now_ns)
                is_served = rng.random() < 0.45
                may_use_all_retries = is_caller_retry or not knows_caller_retries
                if not is_served and take_retry(budget, now_ns, may_use_all_retries):
                    is_served = rng.random() < 0.45
                if is_served:
                    n_served += 1
                    break
        return n_served

    assert count_served(True) > 1.02 * count_served(False)
