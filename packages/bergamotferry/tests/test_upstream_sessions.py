import pytest

from bergamotferry.fleet_commands import RetireUpstream
from bergamotferry.fleet_tables import FleetTables, apply_fleet_command
from bergamotferry.upstream_sessions import (
    FORGET_AFTER_NS,
    Alive,
    Heartbeat,
    SessionRow,
    Sessions,
    forget_silent,
    is_newer_row,
    rows_after,
    take_alive,
    take_heartbeat,
    take_retired,
)

BEAT = Heartbeat("u", 100, 1, "lamps", "1.1.1.1:1", "dc", "v1", 2, "ready", 0)
ROW = SessionRow("u", 100, 1, "lamps", "1.1.1.1:1", "dc", 2, "ready", 0)


@pytest.mark.parametrize(
    ("late", "kept_sequence"),
    [
        (BEAT._replace(sequence=4, address="2.2.2.2:2"), 5),
        (BEAT._replace(born_ms=99, sequence=9, address="2.2.2.2:2"), 5),
        (BEAT._replace(sequence=6), 6),
        (BEAT._replace(born_ms=101, sequence=1), 1),
    ],
)
def test_late_heartbeats_and_those_of_an_earlier_life_change_nothing(
    late, kept_sequence
):
    sessions, tables = Sessions(), FleetTables()
    take_heartbeat(sessions, tables, BEAT._replace(sequence=5), 0)
    take_heartbeat(sessions, tables, late, 1)
    row = sessions.rows["u"].row
    assert (row.sequence, row.address) == (kept_sequence, "1.1.1.1:1")


def test_nothing_brings_back_an_incarnation_that_said_that_it_leaves():
    sessions, tables = Sessions(), FleetTables()
    take_heartbeat(sessions, tables, BEAT, 0)
    apply_fleet_command(tables, RetireUpstream("u", 100, "draining"))
    take_retired(sessions, tables, 1)
    take_heartbeat(sessions, tables, BEAT._replace(sequence=7), 2)
    assert sessions.rows["u"].row.phase == "draining"
    take_heartbeat(sessions, tables, BEAT._replace(born_ms=101), 3)
    assert sessions.rows["u"].row.phase == "ready"


def test_a_later_user_of_an_address_ends_the_earlier_one():
    sessions, tables = Sessions(), FleetTables()
    take_heartbeat(sessions, tables, BEAT, 0)
    take_heartbeat(sessions, tables, BEAT._replace(name="v", born_ms=200), 1)
    assert sessions.rows["u"].row.phase == "gone"
    assert sessions.rows["v"].row.phase == "ready"


def test_who_lost_its_address_is_told_to_followers_that_come_later():
    sessions, tables = Sessions(), FleetTables()
    take_heartbeat(sessions, tables, BEAT, 0)
    at_ns = 40 * 10**9
    other = BEAT._replace(name="v", born_ms=200)
    take_heartbeat(sessions, tables, other, at_ns)
    forget_silent(sessions, at_ns + 10**9)
    phases = {row.name: row.phase for row in rows_after(sessions, 0)}
    assert phases == {"u": "gone", "v": "ready"}


def test_only_changes_are_passed_on():
    sessions, tables = Sessions(), FleetTables()
    assert take_heartbeat(sessions, tables, BEAT, 0)
    change = sessions.change
    assert not take_heartbeat(sessions, tables, BEAT._replace(sequence=2), 1)
    assert rows_after(sessions, change) == ()
    assert take_heartbeat(sessions, tables, BEAT._replace(sequence=3, n_slots=4), 2)
    assert [row.n_slots for row in rows_after(sessions, change)] == [4]


def test_who_is_silent_is_lost_and_comes_back_with_a_heartbeat():
    sessions, tables = Sessions(), FleetTables()
    take_heartbeat(sessions, tables, BEAT, 0)
    forget_silent(sessions, FORGET_AFTER_NS + 1)
    assert sessions.rows["u"].row.phase == "lost"
    take_heartbeat(sessions, tables, BEAT._replace(sequence=2), FORGET_AFTER_NS + 2)
    assert sessions.rows["u"].row.phase == "ready"


def test_a_digest_keeps_sessions_and_tells_of_unknown_ones():
    sessions, tables = Sessions(), FleetTables()
    take_heartbeat(sessions, tables, BEAT, 0)
    assert not take_alive(sessions, (Alive("u", 100),), 9)
    assert sessions.rows["u"].heard_ns == 9
    assert take_alive(sessions, (Alive("u", 101),), 10)
    assert take_alive(sessions, (Alive("w", 1),), 10)


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
def test_which_row_a_follower_takes(row, known, is_newer):
    assert is_newer_row(row, known) is is_newer
