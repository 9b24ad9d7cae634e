"""Heartbeats, the log and silence decide the phase of an upstream's session."""

import pytest

from bergamotferry.fleet_commands import UNKNOWN_BORN_MS, RetireUpstream
from bergamotferry.fleet_tables import FleetTables, apply_fleet_command
from bergamotferry.upstream_sessions import (
    LOST_AFTER_NS,
    UNNAMED_LEAVE_NS,
    Alive,
    Heartbeat,
    SessionRow,
    Sessions,
    apply_retired,
    expire_silent,
    is_newer_row,
    record_alive,
    record_heartbeat,
    rows_after,
)

HEARTBEAT = Heartbeat("u", 100, 1, "lamps", "1.1.1.1:1", "dc", "v1", 2, "ready", 0)
ROW = SessionRow("u", 100, 1, "lamps", "1.1.1.1:1", "dc", 2, "ready", 0)


@pytest.mark.parametrize(
    ("next_heartbeat", "kept_sequence"),
    [
        (HEARTBEAT._replace(sequence=4, address="2.2.2.2:2"), 5),
        (HEARTBEAT._replace(born_ms=99, sequence=9, address="2.2.2.2:2"), 5),
        (HEARTBEAT._replace(sequence=6), 6),
        (HEARTBEAT._replace(born_ms=101, sequence=1), 1),
    ],
)
def test_late_heartbeats_and_earlier_incarnations_change_nothing(
    next_heartbeat, kept_sequence
):
    sessions, tables = Sessions(), FleetTables()
    record_heartbeat(sessions, tables, HEARTBEAT._replace(sequence=5), 0)
    record_heartbeat(sessions, tables, next_heartbeat, 1)
    session = sessions.rows["u"].row
    assert (session.sequence, session.address) == (kept_sequence, "1.1.1.1:1")


def test_heartbeats_do_not_revive_a_retired_incarnation():
    sessions, tables = Sessions(), FleetTables()
    record_heartbeat(sessions, tables, HEARTBEAT, 0)
    apply_fleet_command(tables, RetireUpstream("u", 100, "draining"))
    apply_retired(sessions, tables, 1)
    record_heartbeat(sessions, tables, HEARTBEAT._replace(sequence=7), 2)
    assert sessions.rows["u"].row.phase == "draining"
    record_heartbeat(sessions, tables, HEARTBEAT._replace(born_ms=101), 3)
    assert sessions.rows["u"].row.phase == "ready"


@pytest.mark.parametrize("is_known_before", [True, False])
def test_upstream_heard_of_soon_after_an_unnamed_leave_is_held_back(is_known_before):
    """Guards against a late heartbeat of an upstream that no control host knew."""
    sessions, tables = Sessions(), FleetTables()
    if is_known_before:
        record_heartbeat(sessions, tables, HEARTBEAT, 0)
    apply_fleet_command(tables, RetireUpstream("u", UNKNOWN_BORN_MS, "gone"))
    apply_retired(sessions, tables, 1)
    record_heartbeat(sessions, tables, HEARTBEAT._replace(sequence=7), UNNAMED_LEAVE_NS)
    assert sessions.rows["u"].row.phase == "lost"
    # What goes on for that long after its leave is another incarnation.
    later_ns = UNNAMED_LEAVE_NS + 2
    record_heartbeat(sessions, tables, HEARTBEAT._replace(sequence=8), later_ns)
    assert sessions.rows["u"].row.phase == "ready"
    expire_silent(sessions, later_ns)
    assert sessions.unnamed_leave_ns == {}


def test_newer_upstream_at_an_address_marks_the_older_one_as_gone():
    sessions, tables = Sessions(), FleetTables()
    record_heartbeat(sessions, tables, HEARTBEAT, 0)
    record_heartbeat(sessions, tables, HEARTBEAT._replace(name="v", born_ms=200), 1)
    assert sessions.rows["u"].row.phase == "gone"
    assert sessions.rows["v"].row.phase == "ready"


def test_upstream_that_lost_its_address_is_reported_to_later_followers():
    sessions, tables = Sessions(), FleetTables()
    record_heartbeat(sessions, tables, HEARTBEAT, 0)
    heartbeat_ns = 40 * 10**9
    newer_upstream = HEARTBEAT._replace(name="v", born_ms=200)
    record_heartbeat(sessions, tables, newer_upstream, heartbeat_ns)
    expire_silent(sessions, heartbeat_ns + 10**9)
    phases = {session.name: session.phase for session in rows_after(sessions, 0)}
    assert phases == {"u": "gone", "v": "ready"}


def test_only_changed_rows_are_sent_to_other_hosts():
    sessions, tables = Sessions(), FleetTables()
    assert record_heartbeat(sessions, tables, HEARTBEAT, 0)
    change = sessions.change
    assert not record_heartbeat(sessions, tables, HEARTBEAT._replace(sequence=2), 1)
    assert rows_after(sessions, change) == ()
    assert record_heartbeat(
        sessions, tables, HEARTBEAT._replace(sequence=3, n_slots=4), 2
    )
    assert [session.n_slots for session in rows_after(sessions, change)] == [4]


def test_silent_upstream_is_lost_until_its_next_heartbeat():
    sessions, tables = Sessions(), FleetTables()
    record_heartbeat(sessions, tables, HEARTBEAT, 0)
    expire_silent(sessions, LOST_AFTER_NS + 1)
    assert sessions.rows["u"].row.phase == "lost"
    record_heartbeat(
        sessions, tables, HEARTBEAT._replace(sequence=2), LOST_AFTER_NS + 2
    )
    assert sessions.rows["u"].row.phase == "ready"


def test_digest_refreshes_sessions_and_reveals_unknown_ones():
    sessions, tables = Sessions(), FleetTables()
    record_heartbeat(sessions, tables, HEARTBEAT, 0)
    assert not record_alive(sessions, (Alive("u", 100),), 9)
    assert sessions.rows["u"].last_contact_ns == 9
    assert record_alive(sessions, (Alive("u", 101),), 10)
    assert record_alive(sessions, (Alive("w", 1),), 10)


@pytest.mark.parametrize(
    ("row", "known", "is_newer"),
    [
        (ROW, None, True),
        (ROW._replace(born_ms=99), ROW, False),
        (ROW._replace(sequence=9), ROW._replace(phase="draining"), False),
        (ROW._replace(phase="gone"), ROW._replace(phase="draining"), True),
        (ROW._replace(phase="draining"), ROW._replace(phase="gone"), False),
        (ROW._replace(born_ms=101), ROW._replace(phase="gone"), True),
        (ROW._replace(sequence=2), ROW._replace(phase="lost"), True),
        (ROW, ROW._replace(phase="lost"), False),
        (ROW._replace(phase="gone"), ROW._replace(phase="lost"), True),
        (ROW._replace(phase="draining", sequence=0), ROW, True),
    ],
)
def test_follower_takes_newer_rows_but_never_reverts_a_leaving_incarnation(
    row, known, is_newer
):
    assert is_newer_row(row, known) is is_newer
