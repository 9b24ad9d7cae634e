"""Bound on the requests that all hosts together send to a cold upstream."""

import random

import pytest

from bergamotferry.cold_rate import (
    UNCERTAIN_NS,
    ColdRate,
    is_cold,
    is_uncertain,
    may_send_cold,
    record_cold,
    record_probe_answer,
    record_send,
    record_uncertain,
)

MS = 1_000_000


@pytest.mark.parametrize("n_hosts", [1, 2, 3, 5, 20, 100])
def test_sends_of_all_hosts_stay_within_the_bound_in_any_second(n_hosts):
    """The bound is 1.5 times the rate plus 5, as the strictest users require."""
    rng = random.Random(n_hosts)
    per_s = 3.6
    ranks = [(rank, ColdRate()) for rank in range(n_hosts)]
    sent: list[int] = []
    now = 0
    for _ in range(3000):
        now += rng.randint(0, 4 * MS)
        rank, rate = rng.choice(ranks)
        if may_send_cold(rate, per_s, n_hosts, rank, now):
            record_send(rate, now)
            sent.append(now)
    busiest = max(sum(at <= t < at + 1000 * MS for t in sent) for at in sent)
    assert busiest <= per_s * 1.5 + 5
    # The upstream still gets requests.
    assert busiest >= min(n_hosts, 2)


def test_hosts_of_other_data_centres_send_nothing_to_a_cold_upstream():
    assert not may_send_cold(ColdRate(), 100.0, 1, None, 0)


def test_upstream_stays_cold_until_the_latest_reported_end():
    rate = ColdRate()
    record_cold(rate, 100, 0)
    record_cold(rate, 50, 10 * MS)
    assert is_cold(rate, 99 * MS)
    assert not is_cold(rate, 100 * MS)


def test_sends_to_a_warm_upstream_count_once_it_is_cold():
    rate = ColdRate()
    for at_ms in (0, 300, 600):
        record_send(rate, at_ms * MS)
    record_cold(rate, 5_000, 700 * MS)
    # Three requests per second from the only host that sends to it.
    assert not may_send_cold(rate, 3.0, 1, 0, 999 * MS)
    assert may_send_cold(rate, 3.0, 1, 0, 1_000 * MS)
    record_send(rate, 1_000 * MS)
    assert not may_send_cold(rate, 3.0, 1, 0, 1_299 * MS)


@pytest.mark.parametrize(
    ("cold_left_ms", "is_cold_afterwards"), [(0, False), (700, True)]
)
def test_uncertain_upstream_counts_as_cold_until_it_answers_a_probe(
    cold_left_ms, is_cold_afterwards
):
    rate = ColdRate()
    record_uncertain(rate, 0)
    assert is_cold(rate, UNCERTAIN_NS - 1) and is_uncertain(rate, UNCERTAIN_NS - 1)
    assert not is_cold(rate, UNCERTAIN_NS)
    record_probe_answer(rate, cold_left_ms, 10 * MS)
    assert not is_uncertain(rate, 11 * MS)
    assert is_cold(rate, 11 * MS) == is_cold_afterwards
