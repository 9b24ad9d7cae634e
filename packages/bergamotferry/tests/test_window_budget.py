import random

import pytest

from bergamotferry.window_budget import WindowBudget, note_request, take_repeat

S = 1_000_000_000


@pytest.mark.parametrize("n_hosts", [1, 4, 12])
def test_repeats_of_all_hosts_stay_within_the_budget_of_any_window(n_hosts):
    """Every request is repeated as often as it may be; the load varies tenfold."""
    rng = random.Random(n_hosts)
    ratio, reserve, window_s = 0.2, 64.0, 10.0
    budgets = [WindowBudget(ratio, reserve, window_s, n_hosts) for _ in range(n_hosts)]
    requests: list[float] = []
    repeats: list[float] = []
    now_s = 0.0
    while now_s < 60:
        now_s += rng.expovariate(20 if 20 < now_s < 40 else 200)
        budget = rng.choice(budgets)
        now = int(now_s * S)
        note_request(budget, now)
        requests.append(now_s)
        for _ in range(3):
            if take_repeat(budget, now):
                repeats.append(now_s)
    for at in range(50):
        n_repeats = sum(at <= t < at + window_s for t in repeats)
        n_requests = sum(at <= t < at + window_s for t in requests)
        n_before = sum(at - window_s <= t < at for t in requests)
        allowed = ratio * max(n_requests, n_before) + reserve
        assert n_repeats <= allowed


def test_an_idle_host_has_its_part_of_the_reserve():
    budget = WindowBudget(0.2, 50.0, 10.0, 4)
    assert [take_repeat(budget, 0) for _ in range(12)] == [True] * 10 + [False] * 2
    assert take_repeat(budget, 11 * S)
