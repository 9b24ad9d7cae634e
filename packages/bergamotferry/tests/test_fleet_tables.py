from hypothesis import given
from hypothesis import strategies as st

from bergamotferry.fleet_commands import (
    AssignRange,
    RetireUpstream,
    SetConfiguration,
    SetEvacuation,
)
from bergamotferry.fleet_tables import (
    FleetTables,
    apply_fleet_command,
    is_retired,
    range_key,
)
from bergamotferry.outcomes import Accepted, Refused


def applied(*commands) -> FleetTables:
    tables = FleetTables()
    for command in commands:
        apply_fleet_command(tables, command)
    return tables


@given(st.lists(st.integers(1, 9), min_size=1))
def test_the_highest_version_counts_whatever_the_order(versions):
    commands = [
        SetConfiguration(version, b"%d.%d" % (version, place))
        for place, version in enumerate(versions)
    ]
    tables = applied(*commands)
    highest = max(versions)
    assert tables.configuration_version == highest
    first = versions.index(highest)
    assert tables.configuration_source == b"%d.%d" % (highest, first)


def test_an_evacuation_ends_where_it_is_taken_back():
    tables = applied(
        SetEvacuation("a", True), SetEvacuation("b", True), SetEvacuation("a", False)
    )
    assert tables.evacuated == {"b"}


def test_an_incarnation_that_is_gone_stays_gone():
    tables = applied(RetireUpstream("u", 1, "gone"), RetireUpstream("u", 1, "draining"))
    assert is_retired(tables, "u", 1).state == "gone"
    assert is_retired(tables, "u", 2) is None


def test_tokens_rise_and_a_plan_from_an_older_state_changes_nothing():
    first = AssignRange("s", 0, 9, "a", 1, "1.1.1.1:1", "", 0)
    tables = FleetTables()
    outcome = apply_fleet_command(tables, first)
    assert isinstance(outcome, Accepted)
    token = outcome.revision
    # The same command again: its proposer lost the answer.
    assert apply_fleet_command(tables, first) == Accepted(token)
    other = AssignRange("s", 0, 9, "b", 1, "1.1.1.1:2", "", 0)
    assert isinstance(apply_fleet_command(tables, other), Refused)
    outcome = apply_fleet_command(tables, other._replace(previous_token=token))
    assert isinstance(outcome, Accepted)
    assert outcome.revision > token
    assert tables.ranges[range_key("s", 0)].upstream == "b"
