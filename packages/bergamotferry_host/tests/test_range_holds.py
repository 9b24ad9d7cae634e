"""The hold of a range is carried over to its parts and to joined ranges."""

from bergamotferry.fleet_tables import KeyRange, range_key
from bergamotferry_host.clock import now_ns
from bergamotferry_host.range_holds import (
    Hold,
    RangeAssignments,
    current_hold,
    record_split,
)

NS_PER_S = 1_000_000_000


def range_of(first_key, last_key, token) -> KeyRange:
    return KeyRange("s", first_key, last_key, "u", 1, "1.1.1.1:1", token, "")


def assignments_with(*ranges_and_holds) -> RangeAssignments:
    assignments = RangeAssignments(grant_effect_ns=9 * NS_PER_S)
    for key_range, hold in ranges_and_holds:
        assignments.holds[range_key("s", key_range.first_key)] = hold
    return assignments


def hold_in(assignments, key_range) -> Hold:
    return current_hold(assignments, range_key("s", key_range.first_key), key_range)


def test_parts_of_a_split_inherit_the_hold_of_the_whole_range():
    until_ns = now_ns() + 5 * NS_PER_S
    # The split keeps the range busy, so that no call for it is in flight.
    parent = Hold(7, until_ns, is_granted=True, is_busy=True)
    whole, middle, last = range_of(0, 9, 7), range_of(10, 19, 7), range_of(20, 29, 7)
    assignments = assignments_with((whole, parent))
    record_split(assignments, parent, [middle, last])
    for part in (middle, last):
        hold = hold_in(assignments, part)
        assert (hold.until_ns, hold.uncertain_until_ns) == (until_ns, 0)
        assert hold.is_granted and not hold.is_busy
    # Recording the split again keeps what was recorded for a part in between, and does
    # not change a range that has a new token.
    hold_in(assignments, middle).is_released = True
    reassigned = range_of(20, 29, 8)
    assignments.holds[range_key("s", 20)] = Hold(8, 1)
    record_split(assignments, parent, [middle, reassigned])
    assert hold_in(assignments, middle).is_released
    assert hold_in(assignments, reassigned) == Hold(8, 1)


def test_call_in_flight_for_the_whole_range_extends_the_hold_of_a_part():
    parent = Hold(
        7, now_ns() + NS_PER_S, is_granted=True, is_released=True, is_busy=True
    )
    assignments = assignments_with((range_of(0, 9, 7), parent))
    before_ns = now_ns()
    part = hold_in(assignments, range_of(10, 19, 7))
    assert part.until_ns >= before_ns + 9 * NS_PER_S
    assert part.uncertain_until_ns >= before_ns + 9 * NS_PER_S
    # A release of the whole range does not count as a release of the part.
    assert not part.is_released and not part.is_busy


def test_new_token_starts_without_a_hold_unless_ranges_were_joined():
    assignments = assignments_with((range_of(0, 9, 7), Hold(7, 1)))
    assert hold_in(assignments, range_of(50, 59, 8)) == Hold(8, 0)
    assignments.joined_hold_until_ns[range_key("s", 0)] = 77
    assert hold_in(assignments, range_of(0, 29, 9)) == Hold(9, 77)
