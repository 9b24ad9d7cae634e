"""Two core machines are replaced one after the other, each with its successor ahead."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(os.environ.get("CASE_FOLDER", Path(__file__).resolve().parent))
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib3"))

from fleet import BROKEN, HELD, CannotRunError, Fleet, Operator  # noqa: E402
from fleet import manifest, route, run_case, service  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEEP = os.environ.get("KEEP_LOGS") == "1"
# `catchup-s` of the site is 4: a machine that is new counts as lost for that long, and
# one that is removed stops counting once its successor has had that time.
CATCHUP_S = 4.0
BETWEEN_S = CATCHUP_S + 0.5
GRACE_S, RECOVERY_S, READ_BACK_S = 6.0, 15.0, 3.0


def body(version):
    routes = [route("/a/", "safe", "testlog", **{"timeout-ms": 1000 + version})]
    return manifest(version, routes, {"testlog": service()})


async def remove(fleet, ip, record):
    """Stop a machine as the provider does, and never start it again."""
    fleet.term(ip)
    process = fleet.processes.pop(ip)
    for _ in range(int(GRACE_S / 0.05)):
        if process.poll() is not None:
            record(f"{ip} has ended by itself: {process.returncode}")
            return
        await asyncio.sleep(0.05)
    process.kill()
    process.wait()
    record(f"{ip} was killed after its grace")


async def main(record):
    fleet = Fleet(record, n_cores=4)
    operator = Operator(fleet, record)
    try:
        fleet.start_all()
        if not await operator.put(1, body(1), within_s=25.0):
            raise CannotRunError("the first manifest was not taken")
        await asyncio.sleep(5.0)
        leader = fleet.leader()
        leaving = [(ip, zone) for ip, zone in fleet.cores[:3] if ip != leader]
        record(f"leader {leader}, to be replaced {[ip for ip, _ in leaving]}")
        # The successors come first, in the zones of those that leave, one at a time.
        for number, (_, zone) in enumerate(leaving if TROUBLE else []):
            new = f"{fleet.block}.{30 + number}"
            fleet.cores.append((new, zone))
            fleet.zone_of[new] = zone
            fleet.start(new)
            await asyncio.sleep(CATCHUP_S + 2.0)
        await operator.put(2, body(2))
        for number, (ip, zone) in enumerate(leaving if TROUBLE else []):
            began = asyncio.get_running_loop().time()
            fleet.cores.remove((ip, zone))
            await remove(fleet, ip, record)
            await operator.put(3 + number, body(3 + number), within_s=2.0)
            if number == 0:
                passed = asyncio.get_running_loop().time() - began
                await asyncio.sleep(max(0.0, BETWEEN_S - passed))
        record(f"acknowledged is version {operator.acknowledged}")
        await asyncio.sleep(RECOVERY_S)
        until = asyncio.get_running_loop().time() + READ_BACK_S
        found = []
        while not found and asyncio.get_running_loop().time() < until:
            found = [v for v in (await operator.read()).values() if v is not None]
            await asyncio.sleep(0.2)
        record(f"read back {found}")
        if found:
            return HELD if min(found) >= operator.acknowledged else BROKEN
        last = await operator.put(9, body(9), within_s=15.0)
        record(f"no machine gives the manifest; a change is taken by {last or 'none'}")
        return BROKEN
    finally:
        fleet.end(KEEP)


run_case(FOLDER, main)
