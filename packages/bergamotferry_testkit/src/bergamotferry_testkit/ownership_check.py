"""Checks single ownership from the records that the stand-in upstreams write.

Each run record carries the shard and the grant epoch that the request was sent with. If
every shard has at most one owner at any time, the epochs of a shard's runs never
decrease, and each epoch belongs to one incarnation of one upstream.
"""

from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

from .records_check import read_records


class OwnershipFault(NamedTuple):
    """Two runs, or two orders, that contradict each other."""

    what: str
    place: str
    earlier: str
    later: str


def check_ownership(paths: Iterable[Path]) -> list[OwnershipFault]:
    """Return the faults of shards, then those of orders, each in order of time."""
    records = sorted(read_records(paths), key=lambda record: record["at_s"])
    faults: list[OwnershipFault] = []
    latest: dict[str, dict[str, Any]] = {}
    owner_of_epoch: dict[tuple[str, int], tuple[str, int]] = {}
    for run in records:
        if run["event"] != "run":
            continue
        shard, epoch = run["shard"], run["epoch"]
        previous = latest.get(shard)
        if previous is not None and epoch < previous["epoch"]:
            faults.append(_fault("epoch fell", shard, previous, run))
        else:
            latest[shard] = run
        owner = (run["upstream"], run["incarnation"])
        if owner_of_epoch.setdefault((shard, epoch), owner) != owner:
            faults.append(_fault("epoch shared", shard, previous or run, run))
    return faults + _check_orders(records)


def check_keys(paths: Iterable[Path]) -> list[OwnershipFault]:
    """Return every ownership fault of a single key, in order of time.

    A key may run under its home shard and under an exception. An upstream must not run
    a key under an older epoch than another upstream did, and must not begin a request
    for it while another upstream still runs one. The records must come from a period
    in which no upstream was lost: an upstream whose lease has expired may finish the
    requests that it runs.
    """
    records = sorted(read_records(paths), key=lambda record: record["at_s"])
    faults: list[OwnershipFault] = []
    latest: dict[str, dict[str, Any]] = {}
    last_runs_by_key: dict[str, dict[str, dict[str, Any]]] = {}
    ended_at_s = {
        (record["upstream"], record["request_id"]): record["at_s"]
        for record in records
        if record["event"] == "done"
    }
    for run in records:
        if run["event"] != "run":
            continue
        key = f"{run['shard'].partition('/')[0]}/{run['key']}"
        previous = latest.setdefault(key, run)
        if previous["upstream"] != run["upstream"] and run["epoch"] < previous["epoch"]:
            faults.append(_fault("old owner of a key", key, previous, run))
        if run["epoch"] >= previous["epoch"]:
            latest[key] = run
        last_runs = last_runs_by_key.setdefault(key, {})
        for upstream, earlier in last_runs.items():
            end_s = ended_at_s.get((upstream, earlier["request_id"]), 0.0)
            if upstream != run["upstream"] and end_s > run["at_s"]:
                faults.append(_fault("two owners run a key", key, earlier, run))
        # Keep, for each upstream, the run that ends last.
        last = last_runs.get(run["upstream"], run)
        run_id = (run["upstream"], run["request_id"])
        if ended_at_s.get(run_id, 0.0) >= ended_at_s.get(
            (last["upstream"], last["request_id"]), 0.0
        ):
            last_runs[run["upstream"]] = run
    return faults


def peak_running(paths: Iterable[Path]) -> dict[str, int]:
    """Return the largest number of requests that each upstream ran at once."""
    peaks: dict[str, int] = {}
    for record in read_records(paths):
        if record["event"] == "run":
            name = record["upstream"]
            peaks[name] = max(peaks.get(name, 0), record["n_running"])
    return peaks


def _check_orders(records: list[dict[str, Any]]) -> list[OwnershipFault]:
    faults: list[OwnershipFault] = []
    latest: dict[tuple[str, int], dict[str, Any]] = {}
    for order in records:
        if order["event"] != "order":
            continue
        receiver = (order["upstream"], order["incarnation"])
        previous = latest.get(receiver)
        if previous and order["dispatcher_epoch"] < previous["dispatcher_epoch"]:
            faults.append(_fault("old dispatcher", order["upstream"], previous, order))
        else:
            latest[receiver] = order
    return faults


def _fault(
    what: str, place: str, earlier: dict[str, Any], later: dict[str, Any]
) -> OwnershipFault:
    return OwnershipFault(
        what, place, _describe_record(earlier), _describe_record(later)
    )


def _describe_record(record: dict[str, Any]) -> str:
    epoch = record.get("epoch", record.get("dispatcher_epoch"))
    return f"{record['at_s']:.3f} {record['upstream']} epoch {epoch}"
