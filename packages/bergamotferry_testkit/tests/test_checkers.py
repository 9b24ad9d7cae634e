"""The checkers of the records that stand-ins write report each fault in them."""

import json

import pytest

from bergamotferry_testkit.ownership_check import check_ownership, peak_running
from bergamotferry_testkit.records_check import RunCheck, check_runs


def run_record(at_s, upstream, epoch, incarnation=1, idempotency_key="", n_running=1):
    return {
        "at_s": at_s,
        "event": "run",
        "upstream": upstream,
        "incarnation": incarnation,
        "shard": "testlog//1",
        "epoch": epoch,
        "idempotency_key": idempotency_key,
        "n_running": n_running,
    }


def order_record(at_s, upstream, dispatcher_epoch):
    return {
        "at_s": at_s,
        "event": "order",
        "upstream": upstream,
        "incarnation": 1,
        "dispatcher_epoch": dispatcher_epoch,
    }


def write_records(tmp_path, records):
    path = tmp_path / "records.jsonl"
    path.write_text("".join(json.dumps(record) + "\n" for record in records))
    return [path]


@pytest.mark.parametrize(
    ("records", "expected"),
    [
        ([run_record(1, "a", 5), run_record(2, "b", 6)], []),
        (
            [run_record(1, "a", 5), run_record(2, "b", 6), run_record(3, "a", 5)],
            ["epoch fell"],
        ),
        ([run_record(1, "a", 5), run_record(2, "b", 5)], ["epoch shared"]),
        (
            [run_record(1, "a", 5), run_record(2, "a", 5, incarnation=2)],
            ["epoch shared"],
        ),
        ([order_record(1, "a", 3), order_record(2, "a", 4)], []),
        ([order_record(1, "a", 4), order_record(2, "a", 3)], ["old dispatcher"]),
    ],
)
def test_ownership_faults_are_found(tmp_path, records, expected):
    faults = check_ownership(write_records(tmp_path, records))
    assert [fault.what for fault in faults] == expected


def test_peak_running_returns_the_peak_per_upstream(tmp_path):
    records = [run_record(1, "a", 5, n_running=1), run_record(2, "a", 5, n_running=3)]
    assert peak_running(write_records(tmp_path, records)) == {"a": 3}


@pytest.mark.parametrize(
    ("runs", "acknowledged", "not_run", "expected"),
    [
        (["k1"], {"k1"}, set(), RunCheck(0, 0, 0)),
        (["k1", "k1"], {"k1"}, set(), RunCheck(1, 0, 0)),
        ([], {"k1"}, set(), RunCheck(0, 1, 0)),
        (["k1"], set(), {"k1"}, RunCheck(0, 0, 1)),
    ],
)
def test_repeated_lost_and_wrongly_refused_filings_are_counted(
    tmp_path, runs, acknowledged, not_run, expected
):
    records = [
        run_record(at_s, "a", 5, idempotency_key=key) for at_s, key in enumerate(runs)
    ]
    assert (
        check_runs(write_records(tmp_path, records), acknowledged, not_run) == expected
    )
