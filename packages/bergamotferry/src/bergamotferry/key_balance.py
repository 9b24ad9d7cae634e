"""Plans which keys of a sharded service move because their holder is overloaded.

A few neighbouring keys can get as many requests as all other keys together. Their
holder then sheds requests while other upstreams have free slots. The plan distributes
busy keys among the upstreams, a few ranges at a time, until no upstream is much busier
than the mean. Keys can't be served while they move, so small differences cause no move,
and a move of fewer keys is preferred to one of more keys.

A key that alone overloads any upstream stays with its holder, and the holder's other
keys move away.
"""

from bisect import bisect_right
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import accumulate
from typing import NamedTuple

from .configuration import N_SHARD_KEYS
from .fleet_tables import KeyRange
from .key_load import KEYS_PER_BUCKET, bucket_of
from .upstream_sessions import SessionRow

# A holder below this utilization sheds almost no requests.
BUSY_UTILIZATION_MIN = 0.5
# A move may fill its target, and leave its source, up to this utilization or the mean.
# At a low mean the load of a few keys would otherwise move in too many small parts.
RELIEVED_UTILIZATION = 0.4
# Keys move once the utilization of their holder exceeds this multiple of the mean.
BUSY_FACTOR = 1.3
# A move that relieves its holder by a smaller share of the mean load is not worth the
# time in which the keys can't be served.
MOVE_GAIN_MIN_SHARE = 0.15
# Cost of moving all keys, as a share of the load of the service. A move of fewer keys
# costs proportionally less.
FULL_MOVE_COST_SHARE = 0.1
N_MOVES_MAX = 8
# Each range costs a renewal every other second and an entry on every host.
N_RANGES_MAX = 128
# Idle neighbouring ranges are joined once a service has more ranges than this.
N_RANGES_JOIN_THRESHOLD = 64
# Two neighbouring ranges are idle if together they keep fewer slots busy than this.
IDLE_SLOTS_MAX = 0.02


class LoadMove(NamedTuple):
    """Move of all keys of ``current``, or of a part of them, to ``next_holder``.

    Several moves of one plan may take different parts of the same range.
    """

    current: KeyRange
    first_key: int
    last_key: int
    next_holder: SessionRow

    @property
    def requires_split(self) -> bool:
        """Whether ``current`` must be split before the move."""
        return (self.first_key, self.last_key) != (
            self.current.first_key,
            self.current.last_key,
        )


class RangePair(NamedTuple):
    """Two neighbouring ranges of one holder that can be joined."""

    lower: KeyRange
    upper: KeyRange


class _Part(NamedTuple):
    """Keys of a range that no move of the plan has taken so far."""

    current: KeyRange
    first_key: int
    last_key: int


@dataclass(slots=True)
class _Holder:
    """An upstream, the ranges it holds, and the number of slots they keep busy.

    ``parts`` are what remains of the ranges.
    """

    session: SessionRow
    slots: float
    parts: list[_Part]

    @property
    def utilization(self) -> float:
        return self.slots / max(1, self.session.n_slots)


class _Candidate(NamedTuple):
    part: _Part
    first_key: int
    last_key: int
    slots: float


def plan_load_moves(
    ranges: Iterable[KeyRange],
    busy_slots: Mapping[int, float],
    upstreams: Mapping[str, SessionRow],
    moving: frozenset[int] = frozenset(),
) -> list[LoadMove]:
    """Return moves that relieve the busiest upstreams of a service, the busiest first.

    Parameters
    ----------
    ranges : iterable of KeyRange
        All ranges of one service.
    busy_slots : mapping of int to float
        Number of slots that each bucket of keys keeps busy.
    upstreams : mapping of str to SessionRow
        Upstreams that may hold keys of the service, by name.
    moving : frozenset of int
        First keys of the ranges that are already moving; no move is planned for these.

    Returns
    -------
    list of LoadMove
        At most `N_MOVES_MAX` moves.
    """
    all_ranges = list(ranges)
    holders = _holders(all_ranges, busy_slots, upstreams)
    n_slots = sum(max(1, holder.session.n_slots) for holder in holders)
    mean_utilization = sum(holder.slots for holder in holders) / max(1, n_slots)
    n_ranges = len(all_ranges)
    moves: list[LoadMove] = []
    exhausted: set[str] = set()
    while len(moves) < N_MOVES_MAX:
        sources = [holder for holder in holders if holder.session.name not in exhausted]
        source = max(sources, key=lambda holder: holder.utilization, default=None)
        target = min(holders, key=lambda holder: holder.utilization, default=None)
        if (
            source is None
            or target is None
            or not _is_overloaded(source, mean_utilization)
        ):
            break
        movable = [
            part for part in source.parts if part.current.first_key not in moving
        ]
        may_split = n_ranges + 2 <= N_RANGES_MAX
        candidate = _best_candidate(
            movable, busy_slots, source, target, mean_utilization, may_split
        )
        if candidate is None:
            exhausted.add(source.session.name)
            continue
        source.slots -= candidate.slots
        target.slots += candidate.slots
        n_ranges += _take_part(source, candidate)
        moves.append(
            LoadMove(
                candidate.part.current,
                candidate.first_key,
                candidate.last_key,
                target.session,
            )
        )
    return moves


def _take_part(source: _Holder, candidate: _Candidate) -> int:
    """Take the keys of a candidate from their holder; return how many splits it needs.

    What is left on either side may move as well, in the same plan.
    """
    current, first_key, last_key = candidate.part
    source.parts.remove(candidate.part)
    left = [
        _Part(current, first_key, candidate.first_key - 1),
        _Part(current, candidate.last_key + 1, last_key),
    ]
    kept = [part for part in left if part.first_key <= part.last_key]
    source.parts += kept
    return len(kept)


def plan_joins(
    ranges: Iterable[KeyRange], busy_slots: Mapping[int, float]
) -> list[RangePair]:
    """Return pairs of idle neighbouring ranges of one holder to join.

    The list is empty if there are at most `N_RANGES_JOIN_THRESHOLD` ranges.
    """
    sorted_ranges = sorted(ranges, key=lambda key_range: key_range.first_key)
    if len(sorted_ranges) <= N_RANGES_JOIN_THRESHOLD:
        return []
    pairs: list[RangePair] = []
    for lower, upper in zip(sorted_ranges, sorted_ranges[1:], strict=False):
        is_paired = bool(pairs) and pairs[-1].upper == lower
        if (
            not is_paired
            and _are_joinable(lower, upper)
            and _are_idle(lower, upper, busy_slots)
        ):
            pairs.append(RangePair(lower, upper))
    return pairs


def busy_slots_of(key_range: KeyRange, busy_slots: Mapping[int, float]) -> float:
    """Return the number of slots that requests for a range keep busy."""
    return sum(slots for _, slots in _busy_buckets(key_range, busy_slots))


def _holders(
    ranges: list[KeyRange],
    busy_slots: Mapping[int, float],
    upstreams: Mapping[str, SessionRow],
) -> list[_Holder]:
    """Return all upstreams that may hold keys, including those without ranges."""
    holders = {
        name: _Holder(session, 0.0, []) for name, session in sorted(upstreams.items())
    }
    for key_range in ranges:
        holder = holders.get(key_range.upstream)
        if holder is not None and holder.session.born_ms == key_range.born_ms:
            holder.slots += busy_slots_of(key_range, busy_slots)
            part = _Part(key_range, key_range.first_key, key_range.last_key)
            holder.parts.append(part)
    return list(holders.values())


def _is_overloaded(holder: _Holder, mean_utilization: float) -> bool:
    return holder.utilization > max(
        BUSY_UTILIZATION_MIN, BUSY_FACTOR * mean_utilization
    )


def _best_candidate(
    parts: list[_Part],
    busy_slots: Mapping[int, float],
    source: _Holder,
    target: _Holder,
    mean_utilization: float,
    may_split: bool,
) -> _Candidate | None:
    """Return the candidate with the highest net gain, or None if no move is worth it.

    A move leaves the target no busier than a relieved upstream, and the source no less
    busy. A single bucket, or a range that may not be split, may exceed this limit if
    the move relieves the busier of the two upstreams enough.
    """
    relieved = max(mean_utilization, RELIEVED_UTILIZATION)
    excess = source.slots - relieved * source.session.n_slots
    slots_max = min(excess, relieved * target.session.n_slots - target.slots)
    gain_min = MOVE_GAIN_MIN_SHARE * mean_utilization * source.session.n_slots
    total_busy_slots = sum(busy_slots.values())
    best: tuple[float, _Candidate] | None = None
    for part in parts:
        for candidate in _candidates(part, busy_slots, slots_max, may_split):
            n_keys = candidate.last_key - candidate.first_key + 1
            cost = FULL_MOVE_COST_SHARE * total_busy_slots * n_keys / N_SHARD_KEYS
            gain = min(candidate.slots, source.slots - target.slots - candidate.slots)
            net_gain = gain - cost
            if gain >= gain_min and (best is None or net_gain > best[0]):
                best = net_gain, candidate
    return best[1] if best is not None and best[0] > 0 else None


def _candidates(
    part: _Part,
    busy_slots: Mapping[int, float],
    slots_max: float,
    may_split: bool,
) -> Iterable[_Candidate]:
    """Yield, from each busy bucket, the longest run of buckets within ``slots_max``.

    A bucket that alone exceeds ``slots_max`` is a candidate by itself. If the range may
    not be split, the whole part is the only candidate.
    """
    busy = _busy_buckets(part, busy_slots)
    sums = [0.0, *accumulate(slots for _, slots in busy)]
    if not may_split:
        yield _Candidate(part, part.first_key, part.last_key, sums[-1])
        return
    for start, (bucket, slots) in enumerate(busy):
        end = max(start + 1, bisect_right(sums, sums[start] + slots_max) - 1)
        last_bucket = busy[end - 1][0]
        yield _Candidate(
            part,
            max(part.first_key, bucket * KEYS_PER_BUCKET),
            min(part.last_key, (last_bucket + 1) * KEYS_PER_BUCKET - 1),
            sums[end] - sums[start] if end > start + 1 else slots,
        )


def _busy_buckets(
    keys: KeyRange | _Part, busy_slots: Mapping[int, float]
) -> list[tuple[int, float]]:
    buckets = range(bucket_of(keys.first_key), bucket_of(keys.last_key) + 1)
    return [(bucket, busy_slots[bucket]) for bucket in buckets if bucket in busy_slots]


def _are_joinable(lower: KeyRange, upper: KeyRange) -> bool:
    is_adjacent = lower.last_key + 1 == upper.first_key
    is_same_holder = (lower.upstream, lower.born_ms) == (upper.upstream, upper.born_ms)
    return is_adjacent and is_same_holder


def _are_idle(
    lower: KeyRange, upper: KeyRange, busy_slots: Mapping[int, float]
) -> bool:
    return (
        busy_slots_of(lower, busy_slots) + busy_slots_of(upper, busy_slots)
        < IDLE_SLOTS_MAX
    )
