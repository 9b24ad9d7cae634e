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
    apply_fleet_command,
    find_retired,
    range_key,
    ranges_after,
)
from bergamotferry.key_ranges import merge_ranges, range_of_key
from bergamotferry.outcomes import Accepted, Refused


def applied(*commands) -> FleetTables:
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
    tables = applied(*commands)
    highest = max(versions)
    assert tables.configuration_version == highest
    first = versions.index(highest)
    assert tables.configuration_source == b"%d.%d" % (highest, first)


def test_evacuation_ends_only_in_the_named_data_centre():
    tables = applied(
        SetEvacuation("a", True), SetEvacuation("b", True), SetEvacuation("a", False)
    )
    assert tables.evacuated == {"b"}


def test_gone_incarnation_stays_gone():
    tables = applied(RetireUpstream("u", 1, "gone"), RetireUpstream("u", 1, "draining"))
    assert find_retired(tables, "u", 1).state == "gone"
    assert find_retired(tables, "u", 2) is None


def test_tokens_rise_and_a_stale_assignment_is_refused():
    first = AssignRange("s", 0, 9, "a", 1, "1.1.1.1:1", "", 0)
    tables = FleetTables()
    outcome = apply_fleet_command(tables, first)
    assert isinstance(outcome, Accepted)
    token = outcome.revision
    # The proposer received no reply and proposes the command again.
    assert apply_fleet_command(tables, first) == Accepted(token)
    other = AssignRange("s", 0, 9, "b", 1, "1.1.1.1:2", "", 0)
    assert isinstance(apply_fleet_command(tables, other), Refused)
    outcome = apply_fleet_command(tables, other._replace(previous_token=token))
    assert isinstance(outcome, Accepted)
    assert outcome.revision > token
    assert tables.ranges[range_key("s", 0)].upstream == "b"


def held(first_key, last_key, token, name="a") -> KeyRange:
    return KeyRange("s", first_key, last_key, name, 1, "1.1.1.1:1", token, "h")


def test_range_is_split_into_parts_that_move_separately():
    tables = applied(AssignRange("s", 0, 99, "a", 1, "1.1.1.1:1", "h", 0))
    split = SplitRange("s", 0, 99, 1, (30, 40))
    assert apply_fleet_command(tables, split) == Accepted(2)
    parts = [held(0, 29, 1), held(30, 39, 1), held(40, 99, 1)]
    assert list(tables.ranges.values()) == parts
    # The proposer received no reply and proposes the command again.
    assert isinstance(apply_fleet_command(tables, split), Accepted)
    assert list(tables.ranges.values()) == parts
    move = AssignRange("s", 30, 39, "b", 1, "1.1.1.1:2", "", 1)
    assert apply_fleet_command(tables, move) == Accepted(4)
    assert tables.ranges[range_key("s", 30)].upstream == "b"
    # A command planned before the split, or from a different split, changes nothing.
    before = dict(tables.ranges)
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
    assert tables.ranges == before


def test_neighbouring_ranges_of_one_holder_join_under_a_higher_token():
    tables = applied(
        AssignRange("s", 0, 9, "a", 1, "1.1.1.1:1", "h", 0),
        AssignRange("s", 10, 19, "a", 1, "1.1.1.1:1", "h", 0),
        AssignRange("s", 20, 29, "b", 1, "1.1.1.1:2", "h", 0),
    )
    join = JoinRanges("s", 0, 1, 10, 2)
    assert apply_fleet_command(tables, join) == Accepted(4)
    joined = held(0, 19, 4)._replace(handover="")
    assert tables.ranges[range_key("s", 0)] == joined
    assert len(tables.ranges) == 2
    for refused in (join, JoinRanges("s", 0, 4, 20, 3), JoinRanges("s", 0, 4, 10, 2)):
        assert isinstance(apply_fleet_command(tables, refused), Refused)


KEYS = st.integers(0, 63)


@given(st.lists(st.tuples(st.sampled_from("asj"), KEYS, KEYS, KEYS), max_size=30))
def test_ranges_never_overlap_and_followers_converge(steps):
    """A follower that receives only changes has all ranges, whenever it polls."""
    tables = FleetTables()
    merged: list[KeyRange] = []
    merged_revision = 0
    for kind, x, y, z in steps:
        rows = sorted(tables.ranges.values())
        first, last = min(x, y), max(x, y)
        token = rows[x % len(rows)].token if rows else 0
        command = AssignRange("s", first, last, f"u{z}", 1, "1.1.1.1:1", "", 0)
        if kind == "a" and rows:
            row = rows[x % len(rows)]
            command = command._replace(
                first_key=row.first_key, last_key=row.last_key, previous_token=token
            )
        elif kind == "s" and rows:
            row = rows[x % len(rows)]
            starts = tuple(sorted({y, z}))
            command = SplitRange("s", row.first_key, row.last_key, token, starts)
        elif kind == "j" and len(rows) > 1:
            lower, upper = rows[x % (len(rows) - 1) :][:2]
            command = JoinRanges(
                "s", lower.first_key, lower.token, upper.first_key, upper.token
            )
        n_keys = sum(row.last_key - row.first_key + 1 for row in rows)
        apply_fleet_command(tables, command)
        rows = sorted(tables.ranges.values())
        assert all(a.last_key < b.first_key for a, b in pairwise(rows))
        assert all(row.first_key <= row.last_key for row in rows)
        assert sum(row.last_key - row.first_key + 1 for row in rows) >= n_keys
        if z % 3 == 0:
            merged = merge_ranges(merged, ranges_after(tables, merged_revision))
            merged_revision = tables.revision
            assert merged == rows
            assert all(range_of_key(merged, row.last_key) == row for row in rows)
