"""An order never undoes one that was ordered since its host took it."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotferry.fleet_commands import SetConfiguration, SetEvacuation
from bergamotferry.fleet_tables import FleetTables, apply_fleet_command
from bergamotferry.order_conflicts import OrderConflict, find_order_conflict


def tables_after(*commands) -> FleetTables:
    tables = FleetTables()
    for command in commands:
        apply_fleet_command(tables, command)
    return tables


BEGIN, END = SetEvacuation("a", True), SetEvacuation("a", False)
OTHER = SetEvacuation("b", True)
CONFIGURE = SetConfiguration(1, b"")


@pytest.mark.parametrize(
    ("applied", "unapplied", "command", "read_revision", "conflict"),
    [
        # Nothing was ordered since.
        ((BEGIN,), (), END, 1, None),
        ((BEGIN, CONFIGURE, OTHER), (), END, 1, None),
        # Something else was ordered since, in either direction.
        ((BEGIN, END, BEGIN), (), END, 1, OrderConflict("a", True, 3)),
        ((END, BEGIN, END), (), BEGIN, 1, OrderConflict("a", False, 3)),
        # The later order changed nothing.
        ((BEGIN, BEGIN), (), END, 1, OrderConflict("a", True, 2)),
        ((OTHER, END), (), BEGIN, 1, OrderConflict("a", False, 2)),
        # The same is in force: the order is sent again, or changes nothing.
        ((END, BEGIN), (), BEGIN, 0, None),
        # The later order is not applied yet, and may not be committed yet.
        ((BEGIN,), (END, CONFIGURE, BEGIN), END, 2, OrderConflict("a", True, 4)),
        ((BEGIN,), (CONFIGURE, OTHER), END, 1, None),
        ((BEGIN,), (END,), END, 0, None),
        # The proposer has applied more than the leader.
        ((BEGIN,), (END, BEGIN), END, 3, None),
        # A configuration has a version of its own.
        ((BEGIN, END), (), CONFIGURE, 0, None),
    ],
)
def test_order_is_refused_if_another_was_ordered_since(
    applied, unapplied, command, read_revision, conflict
):
    tables = tables_after(*applied)
    found = find_order_conflict(tables, unapplied, command, read_revision)
    assert found == conflict


@pytest.mark.parametrize("is_any_applied_since", [True, False])
def test_orders_before_a_snapshot_without_them_count_as_later(is_any_applied_since):
    """Guards against an order from before an upgrade that undoes one before it."""
    tables = tables_after(BEGIN, END, BEGIN)
    # As a snapshot of the version before leaves them.
    tables.evacuations_ordered_at = {}
    tables.first_known_revision = None
    if is_any_applied_since:
        apply_fleet_command(tables, OTHER)
    assert find_order_conflict(tables, (), END, 2) == OrderConflict("a", True, 3)
    assert find_order_conflict(tables, (), END, 3) is None


STEPS = st.lists(
    st.tuples(
        st.booleans(), st.sampled_from(["answered", "late", "lag"]), st.integers(0, 3)
    ),
    max_size=12,
)


@given(STEPS)
def test_last_acknowledged_order_is_in_force_whatever_arrives_late(steps):
    """Guards against any late order of one operator that undoes an acknowledged one.

    The operator gives up on some orders, which arrive at some later time or never.
    Hosts lag behind the leader by some revisions. After a refusal the operator asks
    again.
    """
    tables = FleetTables()
    late = []

    def arrive(command, read_revision):
        if find_order_conflict(tables, (), command, read_revision) is not None:
            return False
        apply_fleet_command(tables, command)
        return True

    for is_evacuated, fate, number in steps:
        command = SetEvacuation("a", is_evacuated)
        if fate == "late":
            late.append((command, max(0, tables.revision - number)))
            continue
        lag = number if fate == "lag" else 0
        if not arrive(command, max(0, tables.revision - lag)):
            assert lag and arrive(command, tables.revision)
        for order in late[:number]:
            arrive(*order)
            assert ("a" in tables.evacuated) is is_evacuated
        late = late[number:]
    in_force = "a" in tables.evacuated
    acknowledged = [evacuated for evacuated, fate, _ in steps if fate != "late"]
    for order in late:
        if acknowledged:
            arrive(*order)
            assert ("a" in tables.evacuated) is in_force
