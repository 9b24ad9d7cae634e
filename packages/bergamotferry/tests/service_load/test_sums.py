"""Sums of the load that hosts report, with false, stale, silent and moved hosts."""

import pytest

from bergamotferry.service_load.bounds import HOST_PART_MAX, KnownCapacity
from bergamotferry.service_load.rows import (
    LoadSums,
    ServiceLoad,
    SummedLoad,
    WorkReport,
    WorkRow,
    age_now_ms,
)
from bergamotferry.service_load.sums import (
    LoadTable,
    compute_rows,
    expire_reports,
    own_sums,
    record_report,
    record_sums,
    rows_for,
    work_ms_by_service,
)

MS = 1_000_000
N_HOSTS = 80
SLOTS = {("lamps", "a"): 60.0, ("lamps", "b"): 40.0}
KNOWN = KnownCapacity({"lamps": 100.0}, ("a", "b"), N_HOSTS)


def report(offered_ms=500, data_centre="a", priority=0, service="lamps", n_arrived=5):
    """Return a report of half a second; 500 slot-ms keep one slot busy."""
    return WorkReport(
        500, (WorkRow(service, data_centre, priority, n_arrived, offered_ms, 0, 0),)
    )


def table_with(reports: dict[str, WorkReport]) -> LoadTable:
    table = LoadTable(known=KNOWN)
    for host, message in reports.items():
        record_report(table, host, message, 0)
    return table


def rows_at(table: LoadTable, now_ns: int, data_centres=("a",)):
    """Return the rows of a round, by data centre."""
    expire_reports(table, (), now_ns)
    compute_rows(table, own_sums(table, data_centres, now_ns), SLOTS, now_ns)
    return {row.data_centre: row for row in table.rows}


def test_reports_of_followers_and_of_other_control_hosts_add_up():
    table = table_with({f"h{n}": report(priority=n % 2) for n in range(4)})
    sums = LoadSums((SummedLoad("lamps", "a", ((1, 2.5),), 300),), ("a",))
    record_sums(table, "c2", sums, 100 * MS)
    row = rows_at(table, 400 * MS)["a"]
    # The report behind the other control host's sum is the oldest.
    assert row == ServiceLoad("lamps", "a", 60.0, ((0, 2.0), (1, 4.5)), 600)


@pytest.mark.parametrize("claimed_ms", [10_000, 10**15])
def test_one_false_host_moves_the_sum_by_its_own_part_at_most(claimed_ms):
    """Guards against a host that claims the work of the whole fleet, and more."""
    true = {f"h{n}": report() for n in range(N_HOSTS - 1)}
    false = table_with({**true, "false": report(claimed_ms)})
    moved = rows_at(false, 0)["a"].offered_slots[0][1] - (N_HOSTS - 1)
    assert moved <= HOST_PART_MAX * 100.0 / N_HOSTS + 0.01
    assert false.cut_hosts == {"false"}
    # A cut claim is reported once, and again after a claim that was not cut.
    assert record_report(false, "false", report(claimed_ms), 0) == ()
    assert record_report(false, "false", report(), 0) == ()
    assert record_report(false, "false", report(claimed_ms), 0) == ("lamps",)


def test_uneven_hosts_are_not_cut():
    """A host with three times its equal part of 1.2 times the capacity is believed."""
    part_ms = 1.2 * 100.0 / N_HOSTS * 500
    table = table_with({"busy": report(round(3 * part_ms)), "idle": report(0)})
    assert not table.cut_hosts


@pytest.mark.parametrize(
    "message",
    [
        report(service="unknown"),
        report(data_centre="unknown"),
        report(-500),
        WorkReport(-5, ()),
        WorkReport(0, report(0).rows),
        WorkReport(500, report(service="unknown").rows * 300 + report().rows),
    ],
)
def test_meaningless_report_adds_nothing(message):
    table = table_with({"h1": report(), "false": message})
    (row,) = rows_at(table, 0).values()
    assert row[:2] == ("lamps", "a") and row.offered_slots == ((0, 1.0),)


def test_work_time_that_one_host_claims_falsely_counts_little():
    """Guards against a false number of requests, by which cold upstreams have none."""
    true = {f"h{n}": report() for n in range(4)}
    table = table_with({**true, "false": report(n_arrived=10**9)})
    assert work_ms_by_service(table) == {"lamps": 100.0}


def test_silent_host_counts_for_a_short_time_and_an_empty_report_ends_its_load():
    table = table_with({"h1": report(), "h2": report()})
    record_report(table, "h2", WorkReport(500, ()), 400 * MS)
    assert rows_at(table, 1_400 * MS)["a"].offered_slots == ((0, 1.0),)
    record_report(table, "h3", report(), 1_400 * MS)
    row = rows_at(table, 1_600 * MS)["a"]
    assert row.offered_slots == ((0, 1.0),) and row.age_ms == 200


def test_host_that_moves_to_another_control_host_is_soon_counted_once():
    left, joined = table_with({"h1": report()}), LoadTable(known=KNOWN)
    record_report(joined, "h1", report(), 1_500 * MS)
    expire_reports(left, (), 1_600 * MS)
    sums = own_sums(left, (), 1_600 * MS)
    record_sums(joined, "left", sums, 1_600 * MS)
    assert rows_at(joined, 1_600 * MS)["a"].offered_slots == ((0, 1.0),)


def test_old_sums_do_not_count_beside_fresh_ones():
    """Guards against hosts that count twice after the loss of their control host."""
    table = table_with({})
    lost = LoadSums((SummedLoad("lamps", "a", ((0, 30.0),), 100),), ("a",))
    record_sums(table, "lost", lost, 0)
    record_report(table, "h1", report(), 1_900 * MS)
    row = rows_at(table, 2_000 * MS)["a"]
    assert row.offered_slots == ((0, 1.0),) and row.age_ms == 100


def test_data_centre_that_is_not_heard_of_keeps_its_figures_with_their_age():
    """Guards against a data centre that looks idle since it is cut off."""
    table = table_with({})
    sums = LoadSums((SummedLoad("lamps", "b", ((0, 30.0),), 100),), ("b",))
    record_sums(table, "c2", sums, 0)
    for now_ms in (0, 1_000, 5_000, 9_900):
        row = rows_at(table, now_ms * MS)["b"]
        assert row.offered_slots == ((0, 30.0),) and row.age_ms == now_ms + 100
    # After that nothing is said of it, rather than that it is idle.
    record_report(table, "h1", report(), 10_100 * MS)
    assert set(rows_at(table, 10_100 * MS)) == {"a"}


def test_data_centre_whose_hosts_report_no_work_is_idle():
    table = table_with({"h1": report()})
    record_sums(table, "c2", LoadSums((), ("b",)), 0)
    assert rows_at(table, 300 * MS)["b"] == ServiceLoad("lamps", "b", 40.0, (), 300)


def test_rows_go_once_a_round_to_hosts_that_report_and_age_until_they_are_sent():
    """Guards against rows for hosts of the version before, which can't read them."""
    table = table_with({f"h{n}": report(2_400) for n in range(10)})
    rows_at(table, 100 * MS)
    assert rows_for(table, "old", 100 * MS) == ()
    (row,) = rows_for(table, "h1", 350 * MS)
    assert row.offered_slots == ((0, 48.0),) and row.age_ms == 350
    assert age_now_ms(row, 1_000 * MS, 1_400 * MS) == 750
    assert rows_for(table, "h1", 400 * MS) == ()
    rows_at(table, 600 * MS)
    assert rows_for(table, "h1", 600 * MS)
    # In calm the rows are due in every fourth round only.
    table = table_with({"h1": report()})
    sent = []
    for n_round in range(9):
        rows_at(table, n_round * MS)
        sent.append(len(rows_for(table, "h1", n_round * MS)))
    assert sent == [1, 0, 0, 0, 1, 0, 0, 0, 1]
    # A host that neither follows nor reports is forgotten.
    expire_reports(table, (), 5_000 * MS)
    assert not table.rounds_sent
