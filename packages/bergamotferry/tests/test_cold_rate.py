import random

import pytest

from bergamotferry.cold_rate import (
    ColdRate,
    is_cold,
    may_send_cold,
    note_cold,
    note_cold_send,
)

MS = 1_000_000


@pytest.mark.parametrize("n_hosts", [1, 2, 3, 5, 20, 100])
def test_all_hosts_together_stay_within_the_rate_in_any_second(n_hosts):
    """With 1.5 times the rate and 5 more allowed, as the tightest users ask."""
    rng = random.Random(n_hosts)
    per_s = 3.6
    ranks = [(rank, ColdRate()) for rank in range(n_hosts)]
    sent: list[int] = []
    now = 0
    for _ in range(3000):
        now += rng.randint(0, 4 * MS)
        rank, rate = rng.choice(ranks)
        if may_send_cold(rate, per_s, n_hosts, rank, now):
            note_cold_send(rate, now)
            sent.append(now)
    busiest = max(sum(at <= t < at + 1000 * MS for t in sent) for at in sent)
    assert busiest <= per_s * 1.5 + 5
    # The upstream is used all the same.
    assert busiest >= min(n_hosts, 2)


def test_other_data_centres_leave_a_cold_upstream_alone():
    assert not may_send_cold(ColdRate(), 100.0, 1, None, 0)


def test_an_upstream_is_cold_for_as_long_as_it_last_said():
    rate = ColdRate()
    note_cold(rate, 100, 0)
    note_cold(rate, 50, 10 * MS)
    assert is_cold(rate, 99 * MS)
    assert not is_cold(rate, 100 * MS)
