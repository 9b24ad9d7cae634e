"""Fleet commands leave the tables valid in any order, and stale ones are refused."""

from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from bergamotferry.fleet_commands import (
    AssignRange,
    JoinRanges,
    RetireUpstream,
    SetConfiguration,
    SetEvacuation,
    SplitRange,
)
from bergamotferry.fleet_tables import (
    FleetTables,
    KeyRange,
    Retired,
    apply_fleet_command,
    find_retired,
    range_key,
    ranges_after,
    retired_after,
)
from bergamotferry.key_ranges import merge_ranges, range_of_key
from bergamotferry.outcomes import Accepted, Refused


def tables_after(*commands) -> FleetTables:
    tables = FleetTables()
    for command in commands:
        apply_fleet_command(tables, command)
    return tables


@given(st.lists(st.integers(1, 9), min_size=1))
def test_highest_configuration_version_wins_in_any_order(versions):
    commands = [
        SetConfiguration(version, b"%d.%d" % (version, position))
        for position, version in enumerate(versions)
    ]
    tables = tables_after(*commands)
    highest_version = max(versions)
    assert tables.configuration_version == highest_version
    first_position = versions.index(highest_version)
    assert tables.configuration_source == b"%d.%d" % (highest_version, first_position)


def test_evacuation_ends_only_in_the_named_data_centre():
    tables = tables_after(
        SetEvacuation("a", True), SetEvacuation("b", True), SetEvacuation("a", False)
    )
    assert tables.evacuated == {"b"}


def test_gone_incarnation_stays_gone():
    tables = tables_after(
        RetireUpstream("u", 1, "gone"), RetireUpstream("u", 1, "draining")
    )
    assert find_retired(tables, "u", 1).state == "gone"
    assert find_retired(tables, "u", 2) is None


def test_tokens_rise_and_a_stale_assignment_is_refused():
    assignment = AssignRange("s", 0, 9, "a", 1, "1.1.1.1:1", "", 0)
    tables = FleetTables()
    outcome = apply_fleet_command(tables, assignment)
    assert isinstance(outcome, Accepted)
    token = outcome.revision
    # The proposer received no reply and proposes the command again.
    assert apply_fleet_command(tables, assignment) == Accepted(token)
    reassignment = AssignRange("s", 0, 9, "b", 1, "1.1.1.1:2", "", 0)
    assert isinstance(apply_fleet_command(tables, reassignment), Refused)
    outcome = apply_fleet_command(tables, reassignment._replace(previous_token=token))
    assert isinstance(outcome, Accepted)
    assert outcome.revision > token
    assert tables.ranges[range_key("s", 0)].upstream == "b"


def make_range(first_key, last_key, token, name="a") -> KeyRange:
    return KeyRange("s", first_key, last_key, name, 1, "1.1.1.1:1", token, "h")


def test_range_is_split_into_parts_that_move_separately():
    tables = tables_after(AssignRange("s", 0, 99, "a", 1, "1.1.1.1:1", "h", 0))
    split = SplitRange("s", 0, 99, 1, (30, 40))
    assert apply_fleet_command(tables, split) == Accepted(2)
    parts = [make_range(0, 29, 1), make_range(30, 39, 1), make_range(40, 99, 1)]
    assert list(tables.ranges.values()) == parts
    # The proposer received no reply and proposes the command again.
    assert isinstance(apply_fleet_command(tables, split), Accepted)
    assert list(tables.ranges.values()) == parts
    move = AssignRange("s", 30, 39, "b", 1, "1.1.1.1:2", "", 1)
    assert apply_fleet_command(tables, move) == Accepted(4)
    assert tables.ranges[range_key("s", 30)].upstream == "b"
    # A command planned before the split, or from a different split, changes nothing.
    ranges_before = dict(tables.ranges)
    for stale in (
        AssignRange("s", 0, 99, "c", 1, "1.1.1.1:3", "", 1),
        AssignRange("s", 50, 60, "c", 1, "1.1.1.1:3", "", 0),
        SplitRange("s", 0, 99, 1, (50,)),
        SplitRange("s", 30, 39, 1, (35,)),
        SplitRange("s", 0, 29, 1, (20, 10)),
        SplitRange("s", 0, 29, 1, (30,)),
        SplitRange("s", 0, 29, 1, (0,)),
    ):
        assert isinstance(apply_fleet_command(tables, stale), Refused), stale
    assert tables.ranges == ranges_before


def test_neighbouring_ranges_of_one_holder_join_under_a_higher_token():
    tables = tables_after(
        AssignRange("s", 0, 9, "a", 1, "1.1.1.1:1", "h", 0),
        AssignRange("s", 10, 19, "a", 1, "1.1.1.1:1", "h", 0),
        AssignRange("s", 20, 29, "b", 1, "1.1.1.1:2", "h", 0),
    )
    join = JoinRanges("s", 0, 1, 10, 2)
    assert apply_fleet_command(tables, join) == Accepted(4)
    joined = make_range(0, 19, 4)._replace(handover="")
    assert tables.ranges[range_key("s", 0)] == joined
    assert len(tables.ranges) == 2
    for refused_command in (
        join,
        JoinRanges("s", 0, 4, 20, 3),
        JoinRanges("s", 0, 4, 10, 2),
    ):
        assert isinstance(apply_fleet_command(tables, refused_command), Refused)


KEYS = st.integers(0, 63)


@given(st.lists(st.tuples(st.sampled_from("asj"), KEYS, KEYS, KEYS), max_size=30))
def test_ranges_never_overlap_and_followers_converge(steps):
    """A follower that receives only changes has all ranges, whenever it polls."""
    tables = FleetTables()
    merged: list[KeyRange] = []
    merged_revision = 0
    for kind, draw_1, draw_2, draw_3 in steps:
        ranges = sorted(tables.ranges.values())
        first_key, last_key = min(draw_1, draw_2), max(draw_1, draw_2)
        token = ranges[draw_1 % len(ranges)].token if ranges else 0
        command = AssignRange(
            "s", first_key, last_key, f"u{draw_3}", 1, "1.1.1.1:1", "", 0
        )
        if kind == "a" and ranges:
            key_range = ranges[draw_1 % len(ranges)]
            command = command._replace(
                first_key=key_range.first_key,
                last_key=key_range.last_key,
                previous_token=token,
            )
        elif kind == "s" and ranges:
            key_range = ranges[draw_1 % len(ranges)]
            starts = tuple(sorted({draw_2, draw_3}))
            command = SplitRange(
                "s", key_range.first_key, key_range.last_key, token, starts
            )
        elif kind == "j" and len(ranges) > 1:
            lower, upper = ranges[draw_1 % (len(ranges) - 1) :][:2]
            command = JoinRanges(
                "s", lower.first_key, lower.token, upper.first_key, upper.token
            )
        n_keys = sum(
            key_range.last_key - key_range.first_key + 1 for key_range in ranges
        )
        apply_fleet_command(tables, command)
        ranges = sorted(tables.ranges.values())
        assert all(a.last_key < b.first_key for a, b in pairwise(ranges))
        assert all(key_range.first_key <= key_range.last_key for key_range in ranges)
        assert (
            sum(key_range.last_key - key_range.first_key + 1 for key_range in ranges)
            >= n_keys
        )
        if draw_3 % 3 == 0:
            merged = merge_ranges(merged, ranges_after(tables, merged_revision))
            merged_revision = tables.revision
            assert merged == ranges
            assert all(
                range_of_key(merged, key_range.last_key) == key_range
                for key_range in ranges
            )


def test_retirements_are_listed_from_a_revision_on_and_a_leave_is_listed_again():
    tables = tables_after(
        RetireUpstream("u", 1, "gone"),
        RetireUpstream("v", 1, "draining"),
        RetireUpstream("u", 1, "draining"),
        RetireUpstream("u", 1, "gone"),
    )
    retired_v, retired_u = Retired("v", 1, "draining"), Retired("u", 1, "gone")
    assert retired_after(tables, -1) == (retired_v, retired_u)
    assert retired_after(tables, 2) == (retired_u,)
    assert retired_after(tables, 4) == ()
