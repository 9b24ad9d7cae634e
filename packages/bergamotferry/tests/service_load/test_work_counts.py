"""Counts of arrived work, and the data centre that it belongs to."""

from bergamotferry.service_load.rows import WorkReport, WorkRow
from bergamotferry.service_load.work_counts import (
    WorkCounts,
    data_centre_of_work,
    record_admitted,
    record_arrived,
    record_refused,
    take_report,
)

MS = 1_000_000
REGIONS = {"a": "north", "b": "north", "c": "south", "d": "south"}


def test_report_holds_the_work_since_the_last_one():
    counts = WorkCounts(0)
    for _ in range(3):
        record_arrived(counts, ("lamps", "a", 1), 100.4)
    record_admitted(counts, ("lamps", "a", 1), 100.4)
    record_refused(counts, ("lamps", "a", 1))
    record_arrived(counts, ("lamps", "a", 0), 50.0)
    assert take_report(counts, 480 * MS) == WorkReport(
        480,
        (
            WorkRow("lamps", "a", 1, 3, 301, 100, 1),
            WorkRow("lamps", "a", 0, 1, 50, 0, 0),
        ),
    )
    # A host that was frozen reports the whole time.
    assert take_report(counts, 9_480 * MS) == WorkReport(9_000, ())
    assert take_report(counts, 9_480 * MS).interval_ms > 0


def places(home_regions, evacuated=(), n=4):
    counts = WorkCounts(0)
    return [
        data_centre_of_work(counts, "a", home_regions, REGIONS, evacuated)
        for _ in range(n)
    ]


def test_work_belongs_where_it_arrives_unless_it_must_run_in_another_region():
    assert places(()) == ["a"] * 4
    assert places(("north", "south")) == ["a"] * 4
    assert sorted(places(("south",))) == ["c", "c", "d", "d"]
    assert places(("south",), {"d"}) == ["c"] * 4
    assert sorted(places(("south",), {"c", "d"})) == ["c", "c", "d", "d"]
    assert places(("unknown",)) == ["a"] * 4
