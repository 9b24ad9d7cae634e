"""Reported work is turned into the average number of busy slots per bucket of keys."""

import pytest

from bergamotferry.key_load import (
    DECAY_TIME_MS,
    KEYS_PER_BUCKET,
    KeyLoads,
    KeyWork,
    bucket_of,
    busy_slots_by_bucket,
    record_key_work,
)

NS_PER_MS = 1_000_000


def test_steady_work_converges_to_the_slots_it_keeps_busy():
    loads = KeyLoads()
    for report_number in range(40):
        # Two hosts report 250 and 500 ms of work for each half second.
        key_work = [KeyWork("s", 7, 250), KeyWork("s", 7, 500), KeyWork("s", 9, 100)]
        record_key_work(loads, key_work, report_number * 500 * NS_PER_MS)
    busy_slots = busy_slots_by_bucket(loads, "s", 40 * 500 * NS_PER_MS)
    assert busy_slots[7] == pytest.approx(1.5, rel=0.1)
    assert busy_slots[9] == pytest.approx(0.2, rel=0.1)


def test_load_decays_and_is_removed():
    loads = KeyLoads()
    record_key_work(loads, [KeyWork("s", 1, 3_000)], 0)
    decay_ns = int(DECAY_TIME_MS) * NS_PER_MS
    assert busy_slots_by_bucket(loads, "s", decay_ns)[1] == pytest.approx(
        0.368, rel=0.01
    )
    assert busy_slots_by_bucket(loads, "s", 20 * decay_ns) == {}
    assert loads.slots == {}


def test_invalid_reports_are_skipped():
    loads = KeyLoads()
    key_work = [KeyWork("s", -1, 5), KeyWork("s", 1 << 40, 5), KeyWork("s", 3, -5)]
    record_key_work(loads, key_work, 0)
    assert busy_slots_by_bucket(loads, "s", 0) == {}
    # A request without a key has key -1.
    assert bucket_of(-1) == -1
    assert bucket_of(KEYS_PER_BUCKET) == 1
