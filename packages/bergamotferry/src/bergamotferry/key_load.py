"""Estimates how many slots the requests for each bucket of keys keep busy.

Some keys are far busier than others, busy keys are often neighbours, and the set of
busy keys changes within seconds. Hosts that take requests count the requested work by
buckets of neighbouring keys, and the leader adds up the counts of all hosts. Refused
work counts too, because it shows where capacity is missing.

Upstreams of one service differ in speed, so work counts as the time that it takes at
the holder of its key. After a move it counts anew within some seconds.

A few hundred neighbouring keys may get nearly half of all requests, and keep several
upstreams busy. A bucket is small enough that such keys can be spread among upstreams.

Hosts of an earlier version report buckets of `COARSE_KEYS_PER_BUCKET` keys. In a report
the small buckets are therefore numbered from `FIRST_REPORTED_BUCKET` on, which a host
of that version takes for invalid and skips.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from .configuration import N_SHARD_KEYS

KEYS_PER_BUCKET = 8
N_BUCKETS = N_SHARD_KEYS // KEYS_PER_BUCKET
COARSE_KEYS_PER_BUCKET = 64
FIRST_REPORTED_BUCKET = N_SHARD_KEYS // COARSE_KEYS_PER_BUCKET
# Long enough that random variation moves no keys, short enough to follow a hot key.
DECAY_TIME_MS = 3_000.0
# A bucket below this holds only the remainder of old work and is removed.
TRACKED_SLOTS_MIN = 0.001
# Queueing at a busy holder makes it look slower than any upstream of a service is.
RELATIVE_WORK_TIME_MIN, RELATIVE_WORK_TIME_MAX = 0.5, 2.0
NS_PER_MS = 1_000_000


class KeyWork(NamedTuple):
    """Work that callers requested for the keys of one bucket, in slot-milliseconds.

    ``bucket`` is the number in reports; see `reported_bucket`.
    """

    service: str
    bucket: int
    work_ms: int


@dataclass(slots=True)
class KeyLoads:
    """Slots kept busy, by service and bucket, as of ``updated_ns``."""

    updated_ns: int = 0
    slots: dict[str, dict[int, float]] = field(default_factory=dict)


def bucket_of(key: int) -> int:
    """Return the bucket of a key."""
    return key // KEYS_PER_BUCKET


def reported_bucket(key: int) -> int:
    """Return the number of a key's bucket in reports, or -1 if there is no key."""
    return FIRST_REPORTED_BUCKET + bucket_of(key) if key >= 0 else -1


def work_at_holder_ms(work_ms: float, relative_work_time: float) -> float:
    """Return how long a holder takes for work that takes ``work_ms`` in the mean."""
    bounded = max(
        RELATIVE_WORK_TIME_MIN, min(RELATIVE_WORK_TIME_MAX, relative_work_time)
    )
    return work_ms * bounded


def record_key_work(loads: KeyLoads, rows: Iterable[KeyWork], now_ns: int) -> None:
    """Add the work that hosts report; invalid buckets and negative work are skipped.

    Parameters
    ----------
    loads : KeyLoads
        Updated in place.
    rows : iterable of KeyWork
        Work requested since the last report of the same host.
    now_ns : int
        Current time in nanoseconds.
    """
    _decay(loads, now_ns)
    for work in rows:
        buckets = _buckets_of_report(work.bucket)
        if not buckets or work.work_ms < 0:
            continue
        slots = loads.slots.setdefault(work.service, {})
        added = work.work_ms / DECAY_TIME_MS / len(buckets)
        for bucket in buckets:
            slots[bucket] = slots.get(bucket, 0.0) + added


def busy_slots_by_bucket(
    loads: KeyLoads, service: str, now_ns: int
) -> dict[int, float]:
    """Return the number of busy slots of each bucket that has load, for one service."""
    _decay(loads, now_ns)
    return dict(loads.slots.get(service, {}))


def _buckets_of_report(number: int) -> range:
    """Return the buckets that a number in a report names; none if it is invalid."""
    if FIRST_REPORTED_BUCKET <= number < FIRST_REPORTED_BUCKET + N_BUCKETS:
        first = number - FIRST_REPORTED_BUCKET
        return range(first, first + 1)
    if 0 <= number < FIRST_REPORTED_BUCKET:
        n_buckets = COARSE_KEYS_PER_BUCKET // KEYS_PER_BUCKET
        return range(number * n_buckets, (number + 1) * n_buckets)
    return range(0)


def _decay(loads: KeyLoads, now_ns: int) -> None:
    """Decay all loads exponentially by the time since the last update."""
    elapsed_ms = max(0, now_ns - loads.updated_ns) / NS_PER_MS
    loads.updated_ns = max(loads.updated_ns, now_ns)
    factor = math.exp(-elapsed_ms / DECAY_TIME_MS)
    for service, slots in list(loads.slots.items()):
        remaining = {
            bucket: factor * busy
            for bucket, busy in slots.items()
            if factor * busy >= TRACKED_SLOTS_MIN
        }
        if remaining:
            loads.slots[service] = remaining
        else:
            del loads.slots[service]
