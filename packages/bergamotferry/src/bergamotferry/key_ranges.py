"""Assigns the keys of a sharded service to upstreams, and finds the range of a key.

Each upstream holds a few ranges. Ranges have equal size at first; `key_balance` splits
busy ones. A range stays with its holder while the holder is ready. It moves when the
holder drains, is gone or is lost, when the holder's data centre is evacuated, or when
an upstream without ranges joins. A reachable holder first releases the range and hands
over its state. If the holder is unreachable, the range moves once the hold, the time
for which the holder was last granted the range, has expired.
"""

from bisect import bisect_right
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from .configuration import N_SHARD_KEYS
from .fleet_tables import KeyRange
from .upstream_sessions import SessionRow

# Number of ranges of equal size that a service starts with.
N_RANGES_PER_SERVICE = 32
_KEYS_PER_RANGE = N_SHARD_KEYS // N_RANGES_PER_SERVICE


class WantedRange(NamedTuple):
    """A range that needs a holder or should move to another one.

    ``current`` is the present assignment, or None if the range has none.
    """

    service: str
    first_key: int
    last_key: int
    current: KeyRange | None
    next_holder: SessionRow


class _Span(NamedTuple):
    first_key: int
    last_key: int
    current: KeyRange | None


def plan_ranges(
    service: str,
    ranges: Iterable[KeyRange],
    upstreams: Mapping[str, SessionRow],
    evacuated: frozenset[str],
    released: frozenset[int] = frozenset(),
) -> list[WantedRange]:
    """Return the ranges of a service that should move, with their next holders.

    Parameters
    ----------
    service : str
        Name of a sharded service.
    ranges : iterable of KeyRange
        Assigned ranges; ranges of other services are ignored.
    upstreams : mapping of str to SessionRow
        All upstreams by name.
    evacuated : frozenset of str
        Names of data centres whose upstreams may hold nothing.
    released : frozenset of int
        First keys of ranges that their holder released. They need a holder, which may
        be the previous one.
    """
    usable = {
        upstream.name: upstream
        for upstream in upstreams.values()
        if upstream.service == service
        and upstream.phase == "ready"
        and upstream.data_centre not in evacuated
    }
    if not usable:
        return []
    known = {
        key_range.first_key: key_range
        for key_range in ranges
        if key_range.service == service
    }
    held = {
        first_key: key_range
        for first_key, key_range in known.items()
        if first_key not in released
    }
    n_keys = dict.fromkeys(sorted(usable), 0)
    unassigned: list[_Span] = []
    for span in _spans(known):
        key_range = held.get(span.first_key)
        if key_range is not None and _has_usable_holder(key_range, usable):
            n_keys[key_range.upstream] += n_keys_of(key_range)
        else:
            unassigned.append(span)
    wanted = []
    for span in unassigned:
        name = min(n_keys, key=lambda name: (n_keys[name], name))
        n_keys[name] += span.last_key - span.first_key + 1
        wanted.append(WantedRange(service, *span, usable[name]))
    return wanted + _fill_empty_upstreams(service, held, usable, n_keys)


def merge_ranges(
    ranges: Iterable[KeyRange], changed: Iterable[KeyRange]
) -> list[KeyRange]:
    """Return the ranges of a service, sorted by key, with the changed ones merged in.

    Ranges never overlap, so a changed range replaces each range that it overlaps.
    """
    merged = sorted(changed, key=lambda key_range: key_range.first_key)
    first_keys = [key_range.first_key for key_range in merged]
    for key_range in ranges:
        position = bisect_right(first_keys, key_range.last_key)
        if position == 0 or merged[position - 1].last_key < key_range.first_key:
            merged.insert(position, key_range)
            first_keys.insert(position, key_range.first_key)
    return merged


def range_of_key(ranges: Sequence[KeyRange], key: int) -> KeyRange | None:
    """Return the range that contains a key, or None; ``ranges`` are sorted by key."""
    position = bisect_right(ranges, key, key=lambda key_range: key_range.first_key)
    if position == 0 or ranges[position - 1].last_key < key:
        return None
    return ranges[position - 1]


def n_keys_of(key_range: KeyRange) -> int:
    """Return the number of keys in a range."""
    return key_range.last_key - key_range.first_key + 1


def _fill_empty_upstreams(
    service: str,
    held: Mapping[int, KeyRange],
    usable: Mapping[str, SessionRow],
    n_keys: dict[str, int],
) -> list[WantedRange]:
    """Return moves that give upstreams without keys their fair share of the ranges."""
    wanted: list[WantedRange] = []
    fair_share = N_SHARD_KEYS // len(usable)
    for name in [name for name in n_keys if n_keys[name] == 0]:
        while n_keys[name] < fair_share:
            donor = max(n_keys, key=lambda name: (n_keys[name], name))
            planned = {move.first_key for move in wanted}
            movable = [
                key_range
                for first_key, key_range in sorted(held.items())
                if key_range.upstream == donor
                and _has_usable_holder(key_range, usable)
                and first_key not in planned
                and n_keys[donor] - n_keys_of(key_range) >= fair_share
            ]
            if not movable:
                break
            key_range = movable[0]
            n_keys[donor] -= n_keys_of(key_range)
            n_keys[name] += n_keys_of(key_range)
            wanted.append(
                WantedRange(
                    service,
                    key_range.first_key,
                    key_range.last_key,
                    key_range,
                    usable[name],
                )
            )
    return wanted


def _spans(known: Mapping[int, KeyRange]) -> list[_Span]:
    """Return all ranges of a service in key order, including unassigned ones."""
    sorted_ranges = sorted(known.values())
    spans = [
        _Span(key_range.first_key, key_range.last_key, key_range)
        for key_range in sorted_ranges
    ]
    for first_key in range(0, N_SHARD_KEYS, _KEYS_PER_RANGE):
        if range_of_key(sorted_ranges, first_key) is None:
            spans.append(_Span(first_key, first_key + _KEYS_PER_RANGE - 1, None))
    return sorted(spans, key=lambda span: span.first_key)


def _has_usable_holder(key_range: KeyRange, usable: Mapping[str, SessionRow]) -> bool:
    holder = usable.get(key_range.upstream)
    return holder is not None and holder.born_ms == key_range.born_ms
