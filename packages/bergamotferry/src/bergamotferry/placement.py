"""Places shards on targets by rendezvous hashing with bounded load.

Each shard ranks the targets by a hash of shard and target, and goes to the first target
below its load limit. When a target leaves, only its own shards move; when a target
joins, little more than its share moves. Few keys therefore change their owner.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping

import xxhash

from .records import ShardId

# A target may hold up to this multiple of its share.
LOAD_SLACK = 1.1
# A target that holds less than this part of its share gets shards up to this part.
FILL_SHARE = 0.8


def choose_targets(
    free_shards: Iterable[ShardId],
    owned: Mapping[ShardId, str],
    weights: Mapping[str, int],
) -> dict[ShardId, str]:
    """Choose a target for each free shard.

    Parameters
    ----------
    free_shards : iterable of ShardId
        Shards without a target.
    owned : mapping of ShardId to str
        Shards that already have a target; each counts towards that target's load.
    weights : mapping of str to int
        Capacity of each target, such as its number of slots.

    Returns
    -------
    dict of ShardId to str
        Target of each free shard; empty if no target has capacity.
    """
    free = sorted(free_shards)
    usable = {name: weight for name, weight in weights.items() if weight > 0}
    if not usable:
        return {}
    limits = load_limits(len(free) + len(owned), usable)
    loads = Counter(owned.values())
    chosen: dict[ShardId, str] = {}
    for shard in free:
        for target in ranked_targets(shard, usable):
            if loads[target] < limits[target]:
                chosen[shard] = target
                loads[target] += 1
                break
    return chosen


def shards_over_share(
    owned: Mapping[ShardId, str],
    weights: Mapping[str, int],
    n_moves_max: int,
    slack: float = LOAD_SLACK,
) -> list[ShardId]:
    """Return shards to move away from targets that hold more than their limit.

    Of each such target's shards, those with the worst score for the target come first,
    because they most likely rank another target higher. At most ``n_moves_max`` shards
    are returned.
    """
    limits = load_limits(len(owned), weights, slack)
    loads = Counter(owned.values())
    moves: list[ShardId] = []
    for target in sorted(loads, key=lambda name: -loads[name]):
        n_over = loads[target] - limits.get(target, 0)
        if n_over <= 0:
            continue
        held = [shard for shard, name in owned.items() if name == target]
        held.sort(key=lambda shard: -_score(shard, target))
        moves.extend(held[:n_over])
    return moves[:n_moves_max]


def shards_to_fill(
    owned: Mapping[ShardId, str], weights: Mapping[str, int], n_moves_max: int
) -> list[ShardId]:
    """Return shards to move to targets that hold far less than their share.

    With few shards per target, all other targets may be within their limits when a
    target joins, so that `shards_over_share` moves nothing to the new target. A shard
    is moved only if, of its present target and all targets below their limit, it ranks
    an underfull target first. So the shard goes there and does not move back.
    """
    limits = load_limits(len(owned), weights)
    shares = load_limits(len(owned), weights, 1.0)
    loads = Counter(owned.values())
    deficits = {
        name: int(share * FILL_SHARE) - loads[name] for name, share in shares.items()
    }
    moves: list[ShardId] = []
    if not any(n > 0 for n in deficits.values()):
        return moves
    unfilled_targets = {n: w for n, w in weights.items() if loads[n] < limits[n]}
    for shard, name in sorted(owned.items()):
        if name not in weights or loads[name] < shares[name]:
            continue
        best = min(
            {**unfilled_targets, name: weights[name]},
            key=lambda other: _score(shard, other) / weights[other],
        )
        if deficits[best] > 0 and len(moves) < n_moves_max:
            moves.append(shard)
            deficits[best] -= 1
            loads[name] -= 1
    return moves


def load_limits(
    n_shards: int, weights: Mapping[str, int], slack: float = LOAD_SLACK
) -> dict[str, int]:
    """Return how many shards each target may hold: its share times ``slack``."""
    total = sum(weights.values()) or 1
    return {
        name: math.ceil(n_shards * weight / total * slack)
        for name, weight in weights.items()
    }


def ranked_targets(shard: ShardId, weights: Mapping[str, int]) -> list[str]:
    """Return the targets in the order in which a shard prefers them."""
    return sorted(weights, key=lambda name: _score(shard, name) / weights[name])


def _score(shard: ShardId, target: str) -> float:
    text = f"{shard.service}\x00{shard.domain}\x00{shard.number}\x00{target}"
    uniform = (xxhash.xxh3_64_intdigest(text.encode()) + 1) / (1 << 64)
    # A lower score is better: targets are ranked by -log(u) / weight. The target with
    # the least value is first with a probability in proportion to its weight.
    return -math.log(min(uniform, 1.0 - 2**-53))
