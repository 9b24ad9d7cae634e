"""Ranges move only when no other holder can have them; upstreams are simulated."""

import asyncio
import socket

import pytest
from range_harness import FAILED_CALL_RESULTS, HOLD_S, RangeHarness, run_steps

from bergamotferry.fleet_tables import KeyRange
from bergamotferry.key_ranges import N_RANGES_PER_SERVICE
from bergamotferry_host import range_assignment, range_calls, range_holders
from bergamotferry_host.fleet_settings import DirectHeaders
from bergamotferry_host.range_calls import RangeCallNames, open_range_session


def make_holder_leave(harness, name, mode):
    """Return a step that sets a holder's mode and marks its session as draining."""

    def step():
        harness.holders[name].mode = mode
        session = harness.host.sessions.rows[name]
        session.row = session.row._replace(phase="draining")

    return step


@pytest.mark.parametrize(
    ("mode", "n_moved_soon"),
    [
        ("answers", 16),
        ("ended", 16),
        ("address_reused", 16),
        ("silent", 0),
        ("answer_lost", 0),
    ],
)
def test_ranges_of_a_leaving_holder_move_at_once_or_after_its_hold(
    monkeypatch, mode, n_moved_soon
):
    harness = RangeHarness(monkeypatch, "u1", "u2")
    harness.send_heartbeats("u1", "u2")
    n_moved = []

    def mark_answers_lost():
        if mode == "answer_lost":
            harness.holders["u1"].mode = mode

    run_steps(
        harness,
        (0.3, mark_answers_lost),
        (0.2, make_holder_leave(harness, "u1", mode)),
        (0.2, lambda: n_moved.append(harness.n_held("u2") - 16)),
        (2 * HOLD_S, lambda: n_moved.append(harness.n_held("u2") - 16)),
    )
    assert n_moved == [n_moved_soon, 16]
    assert harness.doubly_held == []


async def call_closed_port() -> tuple[str, str]:
    """Return the results of a grant and of a release whose connections are refused."""
    with socket.socket() as closed_socket:
        closed_socket.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{closed_socket.getsockname()[1]}"
    row = KeyRange("s", 0, 9, "u1", 1, address, 1, "")
    async with open_range_session() as http:
        grant = await range_calls.call_grant(
            http, RangeCallNames(), row, 1000, DirectHeaders()
        )
        release = await range_calls.call_release(
            http, RangeCallNames(), row, DirectHeaders()
        )
    return grant.result, release.result


def test_holder_whose_link_refuses_connections_keeps_its_keys_while_it_holds_them(
    monkeypatch,
):
    """Guards against two holders of a key after a cut that refuses connections.

    The holder is up, and entry hosts on its side of the cut send it requests.
    """
    monkeypatch.setitem(FAILED_CALL_RESULTS, "cut_off", asyncio.run(call_closed_port()))
    harness = RangeHarness(monkeypatch, "u1", "u2")
    harness.send_heartbeats("u1", "u2")
    n_moved = []

    def cut_off():
        harness.holders["u1"].mode = "cut_off"

    def count_moved():
        n_moved.append(harness.n_held("u2") - 16)

    heartbeats = [(0.1, lambda: harness.send_heartbeats("u2"))] * int(HOLD_S / 0.1)
    run_steps(
        harness,
        (0.3, cut_off),
        (0.3, count_moved),
        *heartbeats,
        (0.3, count_moved),
    )
    assert n_moved == [0, 16]
    assert harness.doubly_held == []


@pytest.mark.parametrize("n_ticks", range(6))
def test_holder_that_can_be_called_again_before_its_hold_ends_keeps_its_keys(
    monkeypatch, n_ticks
):
    """Guards against keys that change hands for a brief cut.

    The cut ends at one tick or another between two calls, so the next call would be a
    renewal or a release.
    """
    harness = RangeHarness(monkeypatch, "u1", "u2")
    harness.send_heartbeats("u1", "u2")

    def set_mode(mode):
        return lambda: setattr(harness.holders["u1"], "mode", mode)

    run_steps(
        harness,
        (0.3, set_mode("cut_off")),
        (0.5 * HOLD_S + n_ticks * range_assignment.TICK_S, harness.assigned.clear),
        (0.0, set_mode("answers")),
        (2 * HOLD_S, lambda: harness.send_heartbeats("u1", "u2")),
    )
    assert harness.assigned == []
    assert harness.n_held("u1") == 16


def test_upstream_that_can_never_be_called_is_left_without_keys(monkeypatch):
    """Guards against keys that stay with an upstream whose heartbeats alone arrive."""
    harness = RangeHarness(monkeypatch, "u1", "u2")
    harness.holders["u1"].mode = "cut_off"
    harness.send_heartbeats("u1", "u2")
    heartbeats = [(0.1, lambda: harness.send_heartbeats("u1", "u2"))] * 5
    run_steps(harness, *heartbeats)
    assert harness.n_held("u2") == N_RANGES_PER_SERVICE


def test_calls_that_were_not_sent_do_not_delay_moves(monkeypatch):
    # The holder's data centre lost power: no connection succeeds, and the holder counts
    # as ready until it has missed several heartbeats.
    silent_s = 2 * HOLD_S
    monkeypatch.setattr(range_holders, "HEARTBEAT_TIMEOUT_NS", int(silent_s * 1e9))
    harness = RangeHarness(monkeypatch, "u1", "u2")
    harness.send_heartbeats("u1", "u2")
    n_moved = []

    def make_holder_unreachable():
        harness.holders["u1"].mode = "unreachable"

    def count_moved():
        n_moved.append(harness.n_held("u2") - 16)

    heartbeats = [(0.1, lambda: harness.send_heartbeats("u2"))] * int(
        (silent_s + 0.5 * HOLD_S) / 0.1
    )
    run_steps(harness, (0.3, make_holder_unreachable), *heartbeats, (0.1, count_moved))
    assert n_moved == [16]
    assert harness.doubly_held == []


def test_ended_process_is_assigned_no_ranges(monkeypatch):
    # The process looks like an upstream that joins: its last heartbeat is recent and it
    # holds no keys.
    harness = RangeHarness(monkeypatch, "u1", "u2", "u3")
    harness.send_heartbeats("u1", "u2", "u3")
    assigned_after_end = []

    def end_process():
        harness.holders["u1"].mode = "ended"
        harness.assigned.clear()

    run_steps(
        harness,
        (0.3, end_process),
        (0.8, lambda: assigned_after_end.extend(harness.assigned)),
    )
    assert "u1" not in assigned_after_end
    assert harness.n_held("u1") == 0
    # Only the ranges of the ended process moved.
    assert len(assigned_after_end) <= 11


def test_failed_release_is_logged_once_with_the_time_until_the_move(monkeypatch):
    lines = []
    monkeypatch.setattr(
        range_assignment, "log_warning", lambda event, **row: lines.append((event, row))
    )
    harness = RangeHarness(monkeypatch, "u1", "u2")
    harness.send_heartbeats("u1", "u2")
    run_steps(
        harness,
        (0.3, make_holder_leave(harness, "u1", "silent")),
        (2 * HOLD_S, lambda: None),
    )
    warnings = [row for event, row in lines if event == "range not released"]
    assert len(warnings) == 16
    assert {row["result"] for row in warnings} == {"unsure"}
    assert {row["upstream"] for row in warnings} == {"u1"}
    longest_ms = range_assignment.CLOCK_RATE_BOUND * HOLD_S * 1000 + 50
    assert all(0 < row["moves_within_ms"] <= longest_ms for row in warnings)


def test_brief_lapses_of_the_leader_lease_do_not_delay_moves(monkeypatch):
    # On an unstable network the leader's lease expires and is renewed within one term.
    harness = RangeHarness(monkeypatch, "u1", "u2")
    harness.send_heartbeats("u1", "u2")
    n_moved = []

    def lapse_lease():
        harness.host.group.is_leader = False

    def restore_lease():
        harness.host.group.is_leader = True

    lapses = [(0.15, lapse_lease), (0.03, restore_lease)] * int(1.5 * HOLD_S / 0.18)
    run_steps(
        harness,
        (0.3, make_holder_leave(harness, "u1", "silent")),
        *lapses,
        (0.1, lambda: n_moved.append(harness.n_held("u2") - 16)),
    )
    assert n_moved == [16]
    assert harness.doubly_held == []


def test_handover_of_a_holder_reaches_the_next_holder(monkeypatch):
    harness = RangeHarness(monkeypatch, "u1", "u2")
    harness.send_heartbeats("u1", "u2")
    run_steps(
        harness,
        (0.3, make_holder_leave(harness, "u1", "answers")),
        (0.3, lambda: harness.send_heartbeats("u2")),
    )
    handovers = [row.handover for row in harness.host.tables.ranges.values()]
    assert handovers.count("from u1") == 16


def test_new_leader_waits_until_calls_of_the_previous_leader_expire(monkeypatch):
    harness = RangeHarness(monkeypatch, "u1", "u2")
    harness.send_heartbeats("u1", "u2")
    n_held_by_u1 = []

    def change_leader():
        harness.replica.term = harness.replica.snapshot_term = 2
        make_holder_leave(harness, "u1", "answers")()

    run_steps(
        harness,
        (0.3, change_leader),
        (0.2, lambda: n_held_by_u1.append(harness.n_held("u1"))),
        (2 * HOLD_S, lambda: n_held_by_u1.append(harness.n_held("u1"))),
    )
    assert n_held_by_u1 == [16, 0]
    assert harness.doubly_held == []


def test_restarted_process_gets_its_ranges_under_new_tokens(monkeypatch):
    harness = RangeHarness(monkeypatch, "u1", "u2")
    harness.send_heartbeats("u1", "u2")
    before: dict[str, int] = {}

    def restart_process():
        rows = harness.host.tables.ranges
        before.update({key: row.token for key, row in rows.items()})
        harness.holders["u1"].until_ns.clear()
        harness.send_heartbeats("u1", born_ms=2)

    run_steps(harness, (0.3, restart_process), (0.3, lambda: None))
    rows = harness.host.tables.ranges
    moved = {key for key, row in rows.items() if row.token > before[key]}
    assert len(moved) == 16
    assert all(row.born_ms == 2 for row in rows.values() if row.upstream == "u1")
    assert harness.doubly_held == []


@pytest.mark.parametrize("is_renewed", [True, False])
def test_renewal_that_reaches_a_restarted_process_is_released_before_its_range_moves(
    monkeypatch, is_renewed
):
    """Guards against two holders after a restart between two renewals.

    A process that starts again under its name accepts what was meant for the one
    before. Its first heartbeat comes later.
    """
    harness = RangeHarness(monkeypatch, "u0", "u1", "u2", "u3", "u4")
    harness.send_heartbeats("u1", "u2", "u3", "u4")
    before: dict[str, int] = {}

    def restart_process():
        harness.holders["u4"].until_ns.clear()

    def send_first_heartbeat():
        rows = harness.host.tables.ranges
        before.update(
            {key: row.token for key, row in rows.items() if row.upstream == "u4"}
        )
        if not is_renewed:
            restart_process()
        harness.assigned.clear()
        harness.send_heartbeats("u4", born_ms=2)

    run_steps(
        harness,
        (0.3, lambda: harness.send_heartbeats("u0")),
        (0.4, restart_process),
        (0.25, send_first_heartbeat),
        (0.25, lambda: None),
    )
    # The newcomer has fewer keys, so some of the ranges go to it.
    assert "u0" in harness.assigned
    rows = harness.host.tables.ranges
    assert all(rows[key].token > token for key, token in before.items())
    assert harness.doubly_held == []


def test_leader_with_stale_tables_makes_no_calls(monkeypatch):
    """Guards against grants by a leader that has committed nothing in its term.

    This happens after a restart of all hosts; the leader's tables may be stale.
    """
    harness = RangeHarness(monkeypatch, "u1", "u2")
    harness.send_heartbeats("u1", "u2")
    n_grants = []

    def restart_all():
        harness.replica.term = 2
        for holder in harness.holders.values():
            holder.until_ns.clear()

    def count_grants():
        n_grants.append(sum(len(h.until_ns) for h in harness.holders.values()))

    def commit_own_term():
        harness.replica.snapshot_term = 2

    run_steps(
        harness,
        (0.3, restart_all),
        (0.3, count_grants),
        (0.0, commit_own_term),
        (0.3, count_grants),
    )
    assert n_grants == [0, 32]


def test_host_that_does_not_lead_makes_no_calls(monkeypatch):
    harness = RangeHarness(monkeypatch, "u1")
    harness.host.group.is_leader = False
    harness.send_heartbeats("u1")
    run_steps(harness, (0.2, lambda: None))
    assert harness.host.tables.ranges == {}
    assert harness.holders["u1"].until_ns == {}


def test_ranges_moved_only_for_balance_stay_held_until_they_can_move(monkeypatch):
    """Guards against ranges without a holder when they move only to balance the load.

    A new leader does not know the calls of the previous leader, and an upstream joins
    while the new leader waits for their end. A range released then could not move for a
    whole hold.
    """
    harness = RangeHarness(monkeypatch, "u1", "u2", "u3")
    harness.send_heartbeats("u1", "u2")
    n_unheld = []

    def change_leader():
        harness.replica.term = harness.replica.snapshot_term = 2
        harness.send_heartbeats("u3")

    def count_unheld():
        held = {
            key
            for holder in harness.holders.values()
            for key in holder.until_ns
            if holder.holds(key)
        }
        n_unheld.append(N_RANGES_PER_SERVICE - len(held))

    samples = [(0.02, count_unheld)] * int(2.5 * HOLD_S / 0.02)
    run_steps(harness, (0.3, change_leader), *samples)
    # A release and the following grant take several ticks of the assignment loop.
    assert sum(n > 0 for n in n_unheld) * 0.02 < 0.25 * HOLD_S
    assert harness.n_held("u3") == 10
    assert harness.doubly_held == []


def test_unanswered_grant_delays_moves_by_at_most_one_hold(monkeypatch):
    harness = RangeHarness(monkeypatch, "u1", "u2")
    harness.send_heartbeats("u1", "u2")
    n_held_by_u1 = []

    def set_mode(mode):
        return lambda: setattr(harness.holders["u1"], "mode", mode)

    run_steps(
        harness,
        (0.3, set_mode("answer_lost")),
        (0.2, set_mode("answers")),
        (1.2 * HOLD_S, make_holder_leave(harness, "u1", "answers")),
        (0.2, lambda: n_held_by_u1.append(harness.n_held("u1"))),
    )
    assert n_held_by_u1 == [0]
    assert harness.doubly_held == []


def test_ranges_released_for_a_withdrawn_evacuation_are_held_again(monkeypatch):
    """Guards against released ranges that stay without a holder.

    An evacuation is withdrawn before the ranges that were released for it could move.
    """
    harness = RangeHarness(monkeypatch, "u1", "u2")
    harness.send_heartbeats("u1", "u2")
    rows = harness.host.sessions.rows

    def change_leader_and_evacuate():
        harness.replica.term = harness.replica.snapshot_term = 2
        session = rows["u1"]
        session.row = session.row._replace(data_centre="b")
        harness.host.tables.evacuated.add("b")

    run_steps(
        harness,
        (0.3, change_leader_and_evacuate),
        (0.1, harness.host.tables.evacuated.clear),
        (2 * HOLD_S, lambda: None),
    )
    held = [key for h in harness.holders.values() for key in h.until_ns if h.holds(key)]
    assert len(set(held)) == N_RANGES_PER_SERVICE
    assert harness.doubly_held == []


def test_release_of_an_earlier_term_moves_no_range_that_was_renewed_since(monkeypatch):
    """Guards against a leader that goes on after a freeze and moves what it released.

    The next leader has renewed the holder's grant meanwhile.
    """
    harness = RangeHarness(monkeypatch, "u1", "u2")
    harness.send_heartbeats("u1", "u2")
    release = harness.call_release
    n_releases = 0

    async def release_and_freeze(*arguments):
        nonlocal n_releases
        n_releases += 1
        answer = await release(*arguments)
        if n_releases <= 16:
            await asyncio.sleep(0.5 * HOLD_S)
        return answer

    monkeypatch.setattr(range_assignment, "call_release", release_and_freeze)

    def elect_next_leader():
        session = harness.host.sessions.rows["u1"]
        session.row = session.row._replace(phase="ready")
        harness.replica.term = harness.replica.snapshot_term = 2

    run_steps(
        harness,
        (0.3, make_holder_leave(harness, "u1", "answers")),
        (0.1, elect_next_leader),
        (2 * HOLD_S, lambda: None),
    )
    assert n_releases >= 16
    assert harness.doubly_held == []
