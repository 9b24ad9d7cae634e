"""Spilled answers take only what other traffic leaves of the link between regions."""

import pytest

from bergamotferry.spill.link import (
    LINK_USED_SHARE,
    LinkUse,
    bytes_for_slots,
    record_link_use,
    slots_for_bytes,
    spill_room_bytes_per_s,
)
from bergamotferry.spill.plan import ServiceTraffic

NS_PER_S = 1_000_000_000
USABLE_BYTES_PER_S = LINK_USED_SHARE * 30e6 / 8


def use_after(bytes_per_s, n_intervals=60):
    use = LinkUse()
    for number in range(1, n_intervals):
        record_link_use(use, int(number * bytes_per_s / 2), number * NS_PER_S // 2)
    return use


def test_room_shrinks_with_other_traffic_of_all_hosts():
    """Guards against spill that fills a link which downloads already use."""
    assert spill_room_bytes_per_s(LinkUse(), 40) == USABLE_BYTES_PER_S
    half = use_after(USABLE_BYTES_PER_S / 80)
    room = spill_room_bytes_per_s(half, 40)
    assert room == pytest.approx(USABLE_BYTES_PER_S / 2, rel=0.05)
    full = use_after(USABLE_BYTES_PER_S / 20)
    assert spill_room_bytes_per_s(full, 40) == 0.0


def test_one_burst_of_downloads_does_not_end_spill_and_a_lasting_one_does():
    use = LinkUse()
    record_link_use(use, 0, 1)
    record_link_use(use, 50_000, NS_PER_S)
    assert spill_room_bytes_per_s(use, 40) > 0
    for number in range(2, 9):
        record_link_use(use, number * 50_000, number * NS_PER_S)
    assert spill_room_bytes_per_s(use, 40) < 0.3 * USABLE_BYTES_PER_S


def test_slots_and_bytes_are_converted_by_the_traffic():
    traffic = ServiceTraffic(work_ms=250.0, objective_ms=1_000.0, n_body_bytes=9_000.0)
    assert bytes_for_slots(10, traffic) == 40 * 10_000
    assert slots_for_bytes(40 * 10_000, traffic) == pytest.approx(10)
