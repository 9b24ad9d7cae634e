"""Checks that the tables for slope measurements are settled and of the given size."""

from bergamotferry.ownership import run_ownership
from bergamotferry_testkit.settled_tables import (
    NOW_NS,
    make_global_tables,
    make_sessions,
    settle_ownership,
)


def test_settled_tables_grant_all_own_shards_and_need_no_further_change():
    global_tables = make_global_tables(64, 4)
    tables = make_sessions(5)
    leases = settle_ownership(tables, global_tables, "centre-01", 3)
    own_shards = {
        shard
        for shard, home in global_tables.shard_homes.items()
        if home[0] == "centre-01"
    }
    assert len(global_tables.shard_homes) == 64
    assert len(own_shards) == 16
    assert set(tables.grants) == own_shards
    assert set(tables.dispatchers) == set(tables.sessions)
    assert run_ownership(tables, global_tables, leases, "centre-01", NOW_NS) == []
