"""A core machine freezes, another one loses its disk; then all are back."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(os.environ.get("CASE_FOLDER", Path(__file__).resolve().parent))
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib3"))

from fleet import BROKEN, HELD, CannotRunError, Fleet, Operator  # noqa: E402
from fleet import manifest, route, run_case, service  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEEP = os.environ.get("KEEP_LOGS") == "1"
# Of `node_freeze` in the day trouble-1 of the site file.
FREEZE_S = 6.1
# Into the freeze, the operator's change goes to the machine that then loses its disk.
CHANGE_AFTER_S = (5.05, 5.07, 5.03)
# Of `after_ack_wipe` in the site file.
DOWN_S = 3.0
# `recovery-s` and `contact-ms` of the site.
RECOVERY_S, READ_BACK_S = 15.0, 3.0
N_ROUNDS = len(CHANGE_AFTER_S)


def body(version):
    routes = [route("/a/", "safe", "testlog", **{"timeout-ms": 1000 + version})]
    return manifest(version, routes, {"testlog": service()})


def voters_of(fleet, leader):
    """Return the addresses of the voters, by the leader's log."""
    changes = [x for x in fleet.lines(leader) if x.get("event") == "membership"]
    if not changes:
        return [ip for ip, _ in fleet.cores[:3]]
    return [name.partition("/")[0] for name in changes[-1]["after"]["voters"]]


async def disturb(fleet, operator, number, version, record):
    """Freeze one voter; take the disk of another one 5 s later; bring both back."""
    leader = fleet.leader()
    voters = voters_of(fleet, leader)
    others = [ip for ip in voters if ip != leader]
    if len(others) < 2:
        raise CannotRunError("there are no two voters beside the leader")
    frozen, wiped = others[:2]
    record(f"leader {leader}, to freeze {frozen}, to lose its disk {wiped}")
    if TROUBLE:
        fleet.stop(frozen)
    began = time.monotonic()
    await asyncio.sleep(CHANGE_AFTER_S[number])
    await operator.put(version, body(version), first=wiped, within_s=4.0)
    if TROUBLE:
        fleet.kill(wiped)
        fleet.wipe(wiped)
    killed = time.monotonic()
    await asyncio.sleep(max(0.0, began + FREEZE_S - time.monotonic()))
    if TROUBLE:
        fleet.cont(frozen)
    await asyncio.sleep(max(0.0, killed + DOWN_S - time.monotonic()))
    if TROUBLE:
        fleet.start(wiped)
        # Its start takes less than this.
        await asyncio.sleep(2.0)
    record(f"all machines are back; acknowledged is version {operator.acknowledged}")


async def read_back(operator, record):
    """Read for `contact-ms` at least; return the versions that were answered."""
    until = time.monotonic() + READ_BACK_S
    while True:
        found = [v for v in (await operator.read()).values() if v is not None]
        if found or time.monotonic() > until:
            record(f"read back {found}")
            return found
        await asyncio.sleep(0.2)


async def main(record):
    fleet = Fleet(record, n_cores=4)
    operator = Operator(fleet, record)
    try:
        fleet.start_all()
        if not await operator.put(1, body(1), within_s=25.0):
            raise CannotRunError("the first manifest was not taken")
        for number in range(N_ROUNDS):
            # More than `catchup-s` after the last disturbance.
            await asyncio.sleep(6.0)
            version = 2 * number + 2
            await disturb(fleet, operator, number, version, record)
            if await operator.put(version + 1, body(version + 1), within_s=RECOVERY_S):
                continue
            found = await read_back(operator, record)
            if found:
                return HELD if min(found) >= operator.acknowledged else BROKEN
            last = await operator.put(version + 1, body(version + 1), within_s=10.0)
            record(
                f"no machine gives the manifest; a change is taken by {last or 'none'}"
            )
            return BROKEN
        found = await read_back(operator, record)
        return HELD if found and min(found) >= operator.acknowledged else BROKEN
    finally:
        fleet.end(KEEP)


run_case(FOLDER, main)
