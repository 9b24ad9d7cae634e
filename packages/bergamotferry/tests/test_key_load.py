"""Reported work is turned into the average number of busy slots per bucket of keys."""

import pytest

from bergamotferry.configuration import N_SHARD_KEYS
from bergamotferry.key_load import (
    COARSE_KEYS_PER_BUCKET,
    DECAY_TIME_MS,
    FIRST_REPORTED_BUCKET,
    KEYS_PER_BUCKET,
    N_BUCKETS,
    KeyLoads,
    KeyWork,
    bucket_of,
    busy_slots_by_bucket,
    record_key_work,
    reported_bucket,
)

NS_PER_MS = 1_000_000


def work(bucket: int, work_ms: int) -> KeyWork:
    return KeyWork("s", FIRST_REPORTED_BUCKET + bucket, work_ms)


def test_steady_work_converges_to_the_slots_it_keeps_busy():
    loads = KeyLoads()
    for report_number in range(40):
        # Two hosts report 250 and 500 ms of work for each half second.
        key_work = [work(7, 250), work(7, 500), work(9, 100)]
        record_key_work(loads, key_work, report_number * 500 * NS_PER_MS)
    busy_slots = busy_slots_by_bucket(loads, "s", 40 * 500 * NS_PER_MS)
    assert busy_slots[7] == pytest.approx(1.5, rel=0.1)
    assert busy_slots[9] == pytest.approx(0.2, rel=0.1)


def test_load_decays_and_is_removed():
    loads = KeyLoads()
    record_key_work(loads, [work(1, 3_000)], 0)
    decay_ns = int(DECAY_TIME_MS) * NS_PER_MS
    assert busy_slots_by_bucket(loads, "s", decay_ns)[1] == pytest.approx(
        0.368, rel=0.01
    )
    assert busy_slots_by_bucket(loads, "s", 20 * decay_ns) == {}
    assert loads.slots == {}


def test_invalid_reports_are_skipped():
    loads = KeyLoads()
    numbers = -1, 1 << 40, FIRST_REPORTED_BUCKET + N_BUCKETS
    key_work = [KeyWork("s", number, 5) for number in numbers] + [work(3, -5)]
    record_key_work(loads, key_work, 0)
    assert busy_slots_by_bucket(loads, "s", 0) == {}
    # A request without a key has key -1.
    assert bucket_of(-1) == -1
    assert reported_bucket(-1) == -1
    assert bucket_of(KEYS_PER_BUCKET) == 1


def test_report_of_an_earlier_version_is_spread_over_the_buckets_that_it_covers():
    """Guards against work that counts for other keys while versions are mixed."""
    loads = KeyLoads()
    record_key_work(loads, [KeyWork("s", 3, 800)], 0)
    first = bucket_of(3 * COARSE_KEYS_PER_BUCKET)
    n_buckets = COARSE_KEYS_PER_BUCKET // KEYS_PER_BUCKET
    expected = 800 / DECAY_TIME_MS / n_buckets
    assert busy_slots_by_bucket(loads, "s", 0) == {
        first + n: pytest.approx(expected) for n in range(n_buckets)
    }
    # Such a host skips what hosts of this version report.
    assert reported_bucket(0) >= N_SHARD_KEYS // COARSE_KEYS_PER_BUCKET
