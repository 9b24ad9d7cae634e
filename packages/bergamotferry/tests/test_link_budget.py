"""Bulk stays within its share of the link, and lookups and filings never wait."""

from bergamotferry.link_budget import (
    BULK_BURST_BYTES,
    BULK_SHARE,
    LinkBudget,
    backlog_s,
    take_bytes,
)

CHUNK_BYTES = 64 * 1024
NS_PER_S = 1_000_000_000


def test_bulk_of_all_hosts_stays_within_its_share():
    budgets = [LinkBudget.from_config(30.0, 4) for _ in range(4)]
    n_bytes = 0
    for budget in budgets:
        now_ns = NS_PER_S
        while now_ns < 11 * NS_PER_S:
            now_ns += int(take_bytes(budget, "bulk", CHUNK_BYTES, now_ns) * 1e9) + 1
            n_bytes += CHUNK_BYTES
    allowed_bytes = 10 * BULK_SHARE * 30_000_000 / 8
    slack_bytes = 4 * (BULK_BURST_BYTES + CHUNK_BYTES)
    assert 0.95 * allowed_bytes <= n_bytes <= allowed_bytes + slack_bytes


def test_lookups_never_wait_behind_bulk_and_all_bytes_are_counted():
    budget = LinkBudget.from_config(30.0, 1)
    for _ in range(1000):
        take_bytes(budget, "bulk", CHUNK_BYTES, NS_PER_S)
    assert backlog_s(budget, NS_PER_S) > 10
    assert take_bytes(budget, "lookup", 500, NS_PER_S) == 0
    assert take_bytes(budget, "filing", 700, NS_PER_S) == 0
    sent_bytes = {"lookup": 500, "filing": 700, "bulk": 1000 * CHUNK_BYTES}
    assert budget.n_bytes == sent_bytes


def test_link_without_a_rate_never_waits():
    budget = LinkBudget.from_config(0.0, 4)
    waits_s = {take_bytes(budget, "bulk", CHUNK_BYTES, NS_PER_S) for _ in range(100)}
    assert waits_s == {0.0}
