"""Tests the bounded count of requests per key, and when keys become hot and cold."""

import random

import pytest

from bergamotferry.commands import (
    AssignDispatcher,
    EndExceptions,
    GrantShards,
    MakeException,
    OpenSession,
    RevokeShards,
)
from bergamotferry.data_centre_tables import DataCentreTables, apply_data_centre_command
from bergamotferry.global_tables import GlobalTables
from bergamotferry.hot_key_messages import KeyRate
from bergamotferry.hot_key_placement import run_key_exceptions
from bergamotferry.hot_keys import (
    COLD_AFTER_NS,
    COLD_RATE_RATIO,
    HALVING_INTERVAL_NS,
    HOT_RATE_PER_S,
    N_COUNTED_MAX,
    HotKeyCounts,
    HotKeyReports,
    count_key,
    hottest_keys,
    record_hot_key_report,
)
from bergamotferry.leases import LeaseTable, assume_all_granted
from bergamotferry.records import DataCentre, Service, ShardHome, ShardId

HOME = ShardId("log", "", 1)
NS_PER_S = 1_000_000_000
COLD_RATE = COLD_RATE_RATIO * HOT_RATE_PER_S


def _count_evenly(counts: HotKeyCounts, rate_per_s: int, n_s: int, n_cold: int) -> int:
    """Count requests for key 0 at a rate, each with ``n_cold`` for random cold keys.

    Returns the time after the last request, in ns.
    """
    rng = random.Random(3)
    for number in range(rate_per_s * n_s):
        now_ns = number * NS_PER_S // rate_per_s
        count_key(counts, (HOME, 0), now_ns)
        for _ in range(n_cold):
            count_key(counts, (HOME, rng.randrange(1, 10**6)), now_ns)
    return n_s * NS_PER_S


@pytest.mark.parametrize("n_cold", [0, 5])
def test_hot_key_is_found_among_many_cold_keys_in_bounded_memory(n_cold) -> None:
    counts = HotKeyCounts()
    now_ns = _count_evenly(counts, 100, 12, n_cold)
    (hottest,) = hottest_keys(counts, now_ns)
    assert hottest[:2] == (HOME, 0)
    assert 90.0 <= hottest.rate_per_s <= 101.0
    assert len(counts.keys) <= N_COUNTED_MAX


def test_counts_decay_to_nothing_without_requests() -> None:
    counts = HotKeyCounts()
    now_ns = _count_evenly(counts, 100, 4, 0)
    assert hottest_keys(counts, now_ns + 10 * HALVING_INTERVAL_NS) == ()
    assert counts.keys == {}


def _group_state() -> tuple[DataCentreTables, GlobalTables, LeaseTable]:
    tables, leases = DataCentreTables(), LeaseTable()
    commands = [
        OpenSession(name, "log", f"{name}:1", 1, 2, 9, True) for name in ("u1", "u2")
    ]
    commands += [AssignDispatcher(name, "h1", 0) for name in ("u1", "u2")]
    commands += [GrantShards("u1", 1, (HOME,), (1,))]
    _apply(tables, commands)
    assume_all_granted(leases, ["h1"], tables.sessions, 0)
    global_tables = GlobalTables(
        data_centres={"a": DataCentre("a", "r", "in")},
        services={"log": Service("log", 4)},
        shard_homes={HOME: ShardHome("a", 1, "")},
    )
    return tables, global_tables, leases


def _apply(tables: DataCentreTables, commands) -> None:
    for command in commands:
        apply_data_centre_command(tables, command)


def _run(group_state, reports: HotKeyReports, rate: float, now_ns: int, loads=()):
    tables, global_tables, leases = group_state
    keys = [KeyRate(HOME, key_hash, rate) for key_hash in (7, 8)] if rate else []
    record_hot_key_report(reports, "h1", keys, loads, now_ns)
    commands = run_key_exceptions(tables, global_tables, leases, reports, "a", now_ns)
    _apply(tables, commands)
    return [type(command) for command in commands]


def test_exception_is_made_at_the_hot_rate_and_ended_once_cold_for_long() -> None:
    group_state, reports = _group_state(), HotKeyReports()
    assert _run(group_state, reports, HOT_RATE_PER_S - 1, NS_PER_S) == []
    # At most one exception per home shard and tick, because the shard's epoch changes.
    assert _run(group_state, reports, HOT_RATE_PER_S, NS_PER_S) == [MakeException]
    assert _run(group_state, reports, HOT_RATE_PER_S, NS_PER_S) == [MakeException]
    assert _run(group_state, reports, COLD_RATE, NS_PER_S + 2 * COLD_AFTER_NS) == []
    assert _run(group_state, reports, 0.0, 3 * COLD_AFTER_NS) == []
    # A report at the cold rate resets the time that counts towards COLD_AFTER_NS.
    assert _run(group_state, reports, COLD_RATE, 4 * COLD_AFTER_NS - 1) == []
    assert _run(group_state, reports, 0.0, 4 * COLD_AFTER_NS) == []
    assert _run(group_state, reports, 0.0, 5 * COLD_AFTER_NS - 1) == []
    assert _run(group_state, reports, 0.0, 5 * COLD_AFTER_NS) == [EndExceptions]
    tables = group_state[0]
    assert {exception.is_ending for exception in tables.key_exceptions.values()} == {
        True
    }


def test_hot_keys_of_one_shard_are_spread_by_load_and_then_stay() -> None:
    group_state, reports = _group_state(), HotKeyReports()
    tables = group_state[0]
    loads = (("u1", 120.0), ("u2", 0.0))
    _run(group_state, reports, 60.0, NS_PER_S, loads)
    _run(group_state, reports, 60.0, NS_PER_S, loads)
    moved_shards = [
        shard
        for shard, grant in tables.grants.items()
        if shard != HOME and grant.state == "revoking"
    ]
    assert len(moved_shards) == 1
    del tables.grants[moved_shards[0]]
    assert _run(group_state, reports, 60.0, 2 * NS_PER_S, loads) == [GrantShards]
    upstreams = [
        tables.grants[exception.shard].upstream for exception in _exceptions(tables)
    ]
    assert sorted(upstreams) == ["u1", "u2"]
    settled_loads = (("u1", 62.0), ("u2", 58.0))
    assert RevokeShards not in _run(
        group_state, reports, 60.0, 20 * NS_PER_S, settled_loads
    )


def test_exceptions_end_when_their_home_shard_leaves_the_data_centre() -> None:
    group_state, reports = _group_state(), HotKeyReports()
    tables, global_tables, _ = group_state
    _run(group_state, reports, 60.0, NS_PER_S)
    global_tables.shard_homes[HOME] = ShardHome("a", 1, "b")
    assert EndExceptions in _run(group_state, reports, 60.0, NS_PER_S)
    assert [exception.is_ending for exception in _exceptions(tables)] == [True]
    # No other exception is made either.
    assert _run(group_state, reports, 60.0, NS_PER_S) == []


def _exceptions(tables: DataCentreTables):
    return list(tables.key_exceptions.values())
