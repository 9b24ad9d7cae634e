"""Checks single ownership from the stand-ins' own records.

A run carries the shard and the epoch of the grant under which it was sent. If a shard
has one owner at most, the epochs of its runs never fall over time, and one epoch
belongs to one incarnation of one upstream.
"""

from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

from .records_check import read_records


class OwnershipFault(NamedTuple):
    """Two runs, or two orders, that can't both be right."""

    what: str
    place: str
    earlier: str
    later: str


def check_ownership(paths: Iterable[Path]) -> list[OwnershipFault]:
    """Return every fault that the records show, in order of time."""
    records = sorted(read_records(paths), key=lambda record: record["at_s"])
    faults: list[OwnershipFault] = []
    newest: dict[str, dict[str, Any]] = {}
    owner_of_epoch: dict[tuple[str, int], tuple[str, int]] = {}
    for run in records:
        if run["event"] != "run":
            continue
        shard, epoch = run["shard"], run["epoch"]
        known = newest.get(shard)
        if known is not None and epoch < known["epoch"]:
            faults.append(_fault("epoch fell", shard, known, run))
        else:
            newest[shard] = run
        owner = (run["upstream"], run["incarnation"])
        if owner_of_epoch.setdefault((shard, epoch), owner) != owner:
            faults.append(_fault("epoch shared", shard, known or run, run))
    return faults + _check_orders(records)


def check_keys(paths: Iterable[Path]) -> list[OwnershipFault]:
    """Return every fault that the records show of single keys, in order of time.

    A key's runs may come under its home shard and under a shard of its own. An owner
    must not run it under an older epoch than another has, nor begin while another
    still runs it. For records of a time without lost upstreams, since one whose lease
    has run out may finish what it runs.
    """
    records = sorted(read_records(paths), key=lambda record: record["at_s"])
    faults: list[OwnershipFault] = []
    newest: dict[str, dict[str, Any]] = {}
    running: dict[str, dict[str, dict[str, Any]]] = {}
    done_s = {
        (row["upstream"], row["request_id"]): row["at_s"]
        for row in records
        if row["event"] == "done"
    }
    for run in records:
        if run["event"] != "run":
            continue
        key = f"{run['shard'].partition('/')[0]}/{run['key']}"
        known = newest.setdefault(key, run)
        if known["upstream"] != run["upstream"] and run["epoch"] < known["epoch"]:
            faults.append(_fault("old owner of a key", key, known, run))
        if run["epoch"] >= known["epoch"]:
            newest[key] = run
        last_runs = running.setdefault(key, {})
        for upstream, earlier in last_runs.items():
            end_s = done_s.get((upstream, earlier["request_id"]), 0.0)
            if upstream != run["upstream"] and end_s > run["at_s"]:
                faults.append(_fault("two owners run a key", key, earlier, run))
        last = last_runs.get(run["upstream"], run)
        place = (run["upstream"], run["request_id"])
        if done_s.get(place, 0.0) >= done_s.get(
            (last["upstream"], last["request_id"]), 0.0
        ):
            last_runs[run["upstream"]] = run
    return faults


def most_running(paths: Iterable[Path]) -> dict[str, int]:
    """Return the most requests that each upstream ever ran at once."""
    most: dict[str, int] = {}
    for record in read_records(paths):
        if record["event"] == "run":
            name = record["upstream"]
            most[name] = max(most.get(name, 0), record["n_running"])
    return most


def _check_orders(records: list[dict[str, Any]]) -> list[OwnershipFault]:
    faults: list[OwnershipFault] = []
    newest: dict[tuple[str, int], dict[str, Any]] = {}
    for order in records:
        if order["event"] != "order":
            continue
        place = (order["upstream"], order["incarnation"])
        known = newest.get(place)
        if known and order["dispatcher_epoch"] < known["dispatcher_epoch"]:
            faults.append(_fault("old dispatcher", order["upstream"], known, order))
        else:
            newest[place] = order
    return faults


def _fault(
    what: str, place: str, earlier: dict[str, Any], later: dict[str, Any]
) -> OwnershipFault:
    return OwnershipFault(what, place, _text(earlier), _text(later))


def _text(record: dict[str, Any]) -> str:
    epoch = record.get("epoch", record.get("dispatcher_epoch"))
    return f"{record['at_s']:.3f} {record['upstream']} epoch {epoch}"
