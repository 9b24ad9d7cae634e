"""Which requests are quarantined, which are cleared, and how records spread."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotferry.protection.crash_records import (
    CLEARED_RETENTION_S,
    N_ENDS_MAX,
    N_RECORDS_MAX,
    N_TRIALS_MAX,
    NS_PER_S,
    PAUSE_FIRST_S,
    RETENTION_S,
    TRIAL_SPREAD_S,
    CrashTable,
    KnownEnds,
    expire_records,
    known_ends,
    quarantine_left_s,
    record_end,
    record_row,
    record_success,
    record_trial,
    request_fingerprint,
    rows_after,
    verdict_on,
)

NOW = 1_000_000 * NS_PER_S


def end_in_turn(table, name, n_ends, now=NOW):
    """Record ends of runs that each began when the ends before were known."""
    for _ in range(n_ends):
        record_end(table, name, known_ends(table, name), now)


def send_rows(source, target, now=NOW):
    for row in rows_after(source, 0, now):
        record_row(target, row, now)


@pytest.mark.parametrize(
    ("n_ends", "expected"),
    [
        (0, "clear"),
        (1, "suspected"),
        (N_ENDS_MAX - 1, "suspected"),
        (N_ENDS_MAX, "quarantined"),
    ],
)
def test_request_is_quarantined_after_the_allowed_number_of_ends(n_ends, expected):
    table = CrashTable()
    end_in_turn(table, "a", n_ends)
    assert verdict_on(table, "a", "h", NOW) == expected


def test_upstreams_that_end_at_once_count_as_one_end_of_a_busy_request():
    table = CrashTable()
    known = known_ends(table, "busy")
    for _ in range(50):
        record_end(table, "busy", known, NOW)
    assert known_ends(table, "busy") == KnownEnds(0, 1)


def test_success_clears_a_request_on_every_host_whatever_comes_late():
    first, second = CrashTable(), CrashTable()
    end_in_turn(first, "a", N_ENDS_MAX)
    late_rows = rows_after(first, 0, NOW)
    send_rows(first, second)
    assert record_success(second, "a", NOW)
    send_rows(second, first)
    for row in late_rows:
        assert not record_row(second, row, NOW)
    assert verdict_on(first, "a", "h", NOW) == "clear"
    assert verdict_on(second, "a", "h", NOW) == "clear"


def test_success_of_a_request_without_a_record_changes_nothing():
    table = CrashTable()
    assert not record_success(table, "a", NOW)
    assert table == CrashTable()


def test_quarantine_ends_with_one_trial_for_each_host_and_interval():
    table = CrashTable()
    end_in_turn(table, "a", N_ENDS_MAX)
    left_s = quarantine_left_s(table, "a", "h", NOW)
    assert PAUSE_FIRST_S <= left_s <= PAUSE_FIRST_S + TRIAL_SPREAD_S
    due = NOW + int(left_s * NS_PER_S) + NS_PER_S
    assert verdict_on(table, "a", "h", due) == "suspected"
    assert record_trial(table, "a", due)
    assert verdict_on(table, "a", "h", due) == "quarantined"
    end_in_turn(table, "a", 1, due)
    assert quarantine_left_s(table, "a", "h", due) >= 2 * PAUSE_FIRST_S


@pytest.mark.parametrize("n_more", [N_TRIALS_MAX, 40])
def test_no_trial_follows_those_that_failed(n_more):
    """Guards against trials for hours, each of which ends one more upstream."""
    table = CrashTable()
    end_in_turn(table, "a", N_ENDS_MAX + n_more)
    for passed_s in (0, 3_600, RETENTION_S - 1):
        assert verdict_on(table, "a", "h", NOW + passed_s * NS_PER_S) == "quarantined"


def test_hosts_try_a_quarantined_request_one_after_the_other():
    table = CrashTable()
    end_in_turn(table, "a", N_ENDS_MAX)
    due_s = sorted(quarantine_left_s(table, "a", f"h{n}", NOW) for n in range(8))
    assert due_s[-1] - due_s[0] > TRIAL_SPREAD_S / 4
    assert len(set(due_s)) == 8


def test_suspicion_and_quarantine_are_kept_for_a_day_and_successes_for_a_minute():
    """Guards against a request that ends upstreams and comes again each 70 s.

    With records that were forgotten after 60 s, each visit ended further upstreams.
    """
    table = CrashTable()
    end_in_turn(table, "a", 1)
    end_in_turn(table, "b", N_ENDS_MAX)
    end_in_turn(table, "c", 1)
    record_success(table, "c", NOW)
    expire_records(table, NOW + (CLEARED_RETENTION_S + 1) * NS_PER_S)
    assert list(table.entries) == ["a", "b"]
    expire_records(table, NOW + (RETENTION_S - 1) * NS_PER_S)
    assert list(table.entries) == ["a", "b"]
    expire_records(table, NOW + (RETENTION_S + 1) * NS_PER_S)
    assert not table.entries


def test_table_is_bounded_and_keeps_the_requests_with_most_ends():
    table = CrashTable()
    end_in_turn(table, "worst", N_ENDS_MAX)
    for number in range(2 * N_RECORDS_MAX):
        end_in_turn(table, f"{number}", 1, NOW + number)
    assert len(table.entries) == N_RECORDS_MAX
    assert "worst" in table.entries


def test_peer_reads_only_what_has_changed():
    table = CrashTable()
    end_in_turn(table, "a", 1)
    change = table.change
    end_in_turn(table, "b", 1, NOW)
    (row,) = rows_after(table, change, NOW + 5 * NS_PER_S)
    assert (row.fingerprint, row.n_ends, row.age_ms) == ("b", 1, 5_000)


@given(st.lists(st.sampled_from(["end", "success", "send", "back"]), max_size=30))
def test_hosts_agree_after_an_exchange_in_any_order(steps):
    tables = CrashTable(), CrashTable()
    for number, step in enumerate(steps):
        table, other = tables[number % 2], tables[1 - number % 2]
        if step == "end":
            end_in_turn(table, "a", 1)
        elif step == "success":
            record_success(table, "a", NOW)
        elif step == "send":
            send_rows(table, other)
        else:
            send_rows(other, table)
    send_rows(*tables)
    send_rows(tables[1], tables[0])
    assert known_ends(tables[0], "a") == known_ends(tables[1], "a")


@pytest.mark.parametrize(
    "changed", ["method", "host_name", "target", "credentials", "body"]
)
def test_fingerprint_depends_on_each_part_of_the_content(changed):
    parts = {
        "method": "GET",
        "host_name": "a.example",
        "target": "/x?y=1",
        "credentials": "Bearer a",
        "body": b"content",
    }
    other = {**parts, changed: b"z" if changed == "body" else "z"}
    assert request_fingerprint(**parts) == request_fingerprint(**parts)
    assert request_fingerprint(**parts) != request_fingerprint(**other)


@pytest.mark.parametrize("seed", range(5))
def test_no_proper_request_is_quarantined_while_upstreams_crash(seed):
    """Guards against refusals of proper requests that upstreams crashed under.

    A third of the upstreams ends at once every 2 s, whatever they run. The runs of one
    step of 0.1 s are concurrent: none knows how the others end.
    """
    rng = random.Random(seed)
    table = CrashTable()
    names = ["busy"] * 10 + [f"rare {number}" for number in range(30)]
    n_quarantined = 0
    for step in range(3_000):
        now = NOW + step * NS_PER_S // 10
        runs = [rng.choice(names) for _ in range(30)]
        known = [known_ends(table, name) for name in runs]
        n_quarantined += sum(
            verdict_on(table, name, "h", now) == "quarantined" for name in runs
        )
        for upstream, name in enumerate(runs):
            if step % 20 == 0 and upstream % 3 == step // 20 % 3:
                record_end(table, name, known[upstream], now)
            else:
                record_success(table, name, now)
    assert n_quarantined == 0


def test_rare_request_that_crashes_meet_in_a_row_is_refused_for_a_bounded_time():
    """Guards against a proper request that stays refused after a rolling crash."""
    table = CrashTable()
    end_in_turn(table, "rare", N_ENDS_MAX)
    trial_s = min(quarantine_left_s(table, "rare", f"h{n}", NOW) for n in range(8))
    assert trial_s <= PAUSE_FIRST_S + TRIAL_SPREAD_S
    trial_ns = NOW + int(trial_s * NS_PER_S) + 1
    assert record_success(table, "rare", trial_ns)
    assert verdict_on(table, "rare", "h0", trial_ns) == "clear"
