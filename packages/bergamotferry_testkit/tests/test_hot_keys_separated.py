"""Two hot keys of one shard move to two upstreams in a deployment of processes."""

import asyncio
import json
from pathlib import Path

from bergamotferry_testkit.measure_hot_keys import run_hot_keys
from bergamotferry_testkit.ownership_check import check_keys

# Duration of the phase under load, in which the hot keys must be separated.
SEPARATED_MAX_S = 10.0


def test_two_hot_keys_of_one_shard_move_to_different_upstreams(tmp_path: Path) -> None:
    report = asyncio.run(run_hot_keys(tmp_path, 60.0, 40.0, (SEPARATED_MAX_S, 5.0)))
    print(report)
    assert report["n_failed"] == 0
    assert report["faults"] == []
    assert report["parted_after_s"] is not None
    assert report["parted_after_s"] < SEPARATED_MAX_S


def test_check_keys_reports_concurrent_and_stale_owners(tmp_path: Path) -> None:
    def run_and_done_records(
        at_s: float, upstream: str, shard: int, epoch: int, end_s: float
    ) -> str:
        request_fields = {
            "upstream": upstream,
            "incarnation": 1,
            "request_id": f"r{at_s}",
        }
        owner_fields = {"key": "k", "shard": f"log//{shard}", "epoch": epoch}
        run_record = {"at_s": at_s, "event": "run", **request_fields, **owner_fields}
        done_record = {"at_s": end_s, "event": "done", **request_fields, "key": "k"}
        return json.dumps(run_record) + "\n" + json.dumps(done_record) + "\n"

    path = tmp_path / "records.jsonl"
    path.write_text(
        run_and_done_records(1, "u1", 1, 5, 2) + run_and_done_records(3, "u2", 5, 7, 4)
    )
    assert check_keys([path]) == []
    path.write_text(
        run_and_done_records(1, "u1", 1, 5, 4) + run_and_done_records(3, "u2", 5, 7, 4)
    )
    assert [fault.what for fault in check_keys([path])] == ["two owners run a key"]
    path.write_text(
        run_and_done_records(1, "u1", 1, 5, 2)
        + run_and_done_records(3, "u2", 5, 7, 4)
        + run_and_done_records(5, "u1", 1, 5, 6)
    )
    assert [fault.what for fault in check_keys([path])] == ["old owner of a key"]
