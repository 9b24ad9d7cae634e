"""Churn and imbalance of placement, as counts."""

from collections import Counter

import pytest

from bergamotferry.placement import (
    choose_targets,
    load_limits,
    shards_over_share,
    shards_to_fill,
)
from bergamotferry.records import ShardId

N_SHARDS = 1024
SHARDS = [ShardId("testlog", "", number) for number in range(N_SHARDS)]


def _names(n_upstreams: int) -> dict[str, int]:
    return {f"testlog-{number:02d}": 2 for number in range(n_upstreams)}


def _owned(n_shards: int, weights: dict[str, int]) -> dict[ShardId, str]:
    owned = choose_targets(SHARDS[:n_shards], {}, weights)
    _rebalance(owned, weights)
    return owned


def _rebalance(owned: dict[ShardId, str], weights: dict[str, int]) -> int:
    """Move shards until none is over its limit; return how many moved."""
    n_moved = 0
    while moves := (
        shards_over_share(owned, weights, 8) or shards_to_fill(owned, weights, 8)
    ):
        staying = {shard: name for shard, name in owned.items() if shard not in moves}
        chosen = choose_targets(moves, staying, weights)
        n_moved += sum(owned[shard] != name for shard, name in chosen.items())
        owned.update(chosen)
        assert n_moved <= N_SHARDS
    return n_moved


@pytest.mark.parametrize("n_upstreams", [8, 22, 33])
def test_leaving_moves_only_the_shards_of_the_one_that_leaves(n_upstreams: int) -> None:
    weights = _names(n_upstreams)
    owned = _owned(N_SHARDS, weights)
    before = dict(owned)
    gone = "testlog-03"
    n_held = Counter(owned.values())[gone]
    del weights[gone]
    n_moved = _rebalance(owned, weights)
    assert n_moved == n_held
    assert all(owned[s] == name for s, name in before.items() if name != gone)


@pytest.mark.parametrize(
    ("n_upstreams", "n_shards"), [(4, 13), (9, 64), (8, 256), (22, 1024), (33, 1024)]
)
def test_joining_moves_at_most_the_share_of_the_one_that_joins(
    n_upstreams: int, n_shards: int
) -> None:
    weights = _names(n_upstreams - 1)
    owned = _owned(n_shards, weights)
    weights["testlog-99"] = 2
    n_moved = _rebalance(owned, weights)
    assert n_moved <= 1.1 * n_shards / n_upstreams + 1
    assert Counter(owned.values())["testlog-99"] >= n_shards // n_upstreams // 2


@pytest.mark.parametrize("n_upstreams", [8, 22, 33])
def test_no_target_is_over_its_limit(n_upstreams: int) -> None:
    weights = _names(n_upstreams)
    owned = choose_targets(SHARDS, {}, weights)
    limits = load_limits(N_SHARDS, weights)
    assert len(owned) == N_SHARDS
    assert all(n <= limits[name] for name, n in Counter(owned.values()).items())
