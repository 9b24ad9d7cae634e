"""Tests how many shards move, and how uneven placement becomes, when targets change."""

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


def _weights(n_upstreams: int) -> dict[str, int]:
    return {f"testlog-{number:02d}": 2 for number in range(n_upstreams)}


def _owned(n_shards: int, weights: dict[str, int]) -> dict[ShardId, str]:
    owned = choose_targets(SHARDS[:n_shards], {}, weights)
    _rebalance(owned, weights)
    return owned


def _rebalance(owned: dict[ShardId, str], weights: dict[str, int]) -> int:
    """Move shards until no more need to move; return how many moved."""
    n_moved = 0
    while shards_to_move := (
        shards_over_share(owned, weights, 8) or shards_to_fill(owned, weights, 8)
    ):
        staying = {
            shard: name for shard, name in owned.items() if shard not in shards_to_move
        }
        targets = choose_targets(shards_to_move, staying, weights)
        n_moved += sum(owned[shard] != name for shard, name in targets.items())
        owned.update(targets)
        assert n_moved <= N_SHARDS
    return n_moved


@pytest.mark.parametrize("n_upstreams", [8, 22, 33])
def test_leaving_target_moves_only_its_own_shards(n_upstreams: int) -> None:
    weights = _weights(n_upstreams)
    owned = _owned(N_SHARDS, weights)
    owned_before = dict(owned)
    leaving = "testlog-03"
    n_held = Counter(owned.values())[leaving]
    del weights[leaving]
    n_moved = _rebalance(owned, weights)
    assert n_moved == n_held
    assert all(
        owned[shard] == name for shard, name in owned_before.items() if name != leaving
    )


@pytest.mark.parametrize(
    ("n_upstreams", "n_shards"), [(4, 13), (9, 64), (8, 256), (22, 1024), (33, 1024)]
)
def test_joining_target_moves_little_more_than_its_share(
    n_upstreams: int, n_shards: int
) -> None:
    weights = _weights(n_upstreams - 1)
    owned = _owned(n_shards, weights)
    weights["testlog-99"] = 2
    n_moved = _rebalance(owned, weights)
    assert n_moved <= 1.1 * n_shards / n_upstreams + 1
    assert Counter(owned.values())["testlog-99"] >= n_shards // n_upstreams // 2


@pytest.mark.parametrize("n_upstreams", [8, 22, 33])
def test_no_target_is_over_its_limit(n_upstreams: int) -> None:
    weights = _weights(n_upstreams)
    owned = choose_targets(SHARDS, {}, weights)
    limits = load_limits(N_SHARDS, weights)
    assert len(owned) == N_SHARDS
    assert all(
        n_owned <= limits[name] for name, n_owned in Counter(owned.values()).items()
    )
