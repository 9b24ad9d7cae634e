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

NS_PER_MS = 1_000_000


@pytest.mark.parametrize("n_hosts", [1, 2, 3, 5, 20, 100])
def test_sends_of_all_hosts_stay_within_the_bound_in_any_second(n_hosts):
    """The bound is 1.5 times the rate plus 5, as the strictest users require."""
    rng = random.Random(n_hosts)
    rate_per_s = 3.6
    hosts = [(rank, ColdRate()) for rank in range(n_hosts)]
    sends_ns: list[int] = []
    now_ns = 0
    for _ in range(3000):
        now_ns += rng.randint(0, 4 * NS_PER_MS)
        rank, rate = rng.choice(hosts)
        if may_send_cold(rate, rate_per_s, n_hosts, rank, now_ns):
            record_send(rate, now_ns)
            sends_ns.append(now_ns)
    n_in_busiest_second = max(
        sum(start_ns <= sent_ns < start_ns + 1000 * NS_PER_MS for sent_ns in sends_ns)
        for start_ns in sends_ns
    )
    assert n_in_busiest_second <= rate_per_s * 1.5 + 5
    # The upstream still gets requests.
    assert n_in_busiest_second >= min(n_hosts, 2)


def test_hosts_of_other_data_centres_send_nothing_to_a_cold_upstream():
    assert not may_send_cold(ColdRate(), 100.0, 1, None, 0)


def test_upstream_stays_cold_until_the_latest_reported_end():
    rate = ColdRate()
    record_cold(rate, 100, 0)
    record_cold(rate, 50, 10 * NS_PER_MS)
    assert is_cold(rate, 99 * NS_PER_MS)
    assert not is_cold(rate, 100 * NS_PER_MS)


def test_sends_to_a_warm_upstream_count_once_it_is_cold():
    rate = ColdRate()
    for at_ms in (0, 300, 600):
        record_send(rate, at_ms * NS_PER_MS)
    record_cold(rate, 5_000, 700 * NS_PER_MS)
    # A single host sends to the upstream, so it may send all three requests per second.
    assert not may_send_cold(rate, 3.0, 1, 0, 999 * NS_PER_MS)
    assert may_send_cold(rate, 3.0, 1, 0, 1_000 * NS_PER_MS)
    record_send(rate, 1_000 * NS_PER_MS)
    assert not may_send_cold(rate, 3.0, 1, 0, 1_299 * NS_PER_MS)


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
    record_probe_answer(rate, cold_left_ms, 10 * NS_PER_MS)
    assert not is_uncertain(rate, 11 * NS_PER_MS)
    assert is_cold(rate, 11 * NS_PER_MS) == is_cold_afterwards
