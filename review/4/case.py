"""A control host freezes with an order unread; the order takes effect after its thaw."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from standins import Target, Trial, main, route, service

ZONE = "ishikari-b"
FREEZE_S = 1.6
EVACUATION_S = 5.0
CONTACT_S = 3.0


async def case(trial):
    await trial.start_hosts()
    targets = [
        Target(trial, "testlog", zone)
        for zone in ("ishikari-a", ZONE, "ishikari-a", ZONE)
    ]
    for target in targets:
        await target.start()
    await trial.put_manifest(
        1, {"r1": route("/lookup/", "testlog")}, {"testlog": service()}
    )
    await trial.wait_ready()
    await asyncio.sleep(3.0)

    async def client(number):
        while True:
            edge = trial.edges[number % len(trial.edges)]
            await trial.request(edge, f"/lookup/{number}")
            await asyncio.sleep(0.1)

    for number in range(6):
        trial.start_task(client(number))
    await asyncio.sleep(2.0)
    leader = trial.leader()
    frozen, other = [core for core in trial.cores if core != leader][:2]
    trial.note(f"leader {leader}")
    path = f"/api/evacuations/{ZONE}"
    await trial.order_until_done("POST", path, cores=[other])
    await asyncio.sleep(6.0)
    thawed_s = trial.now_s()
    if trial.has_trouble:
        trial.signal(frozen, signal.SIGSTOP)
        thawed_s += FREEZE_S
        loop = asyncio.get_running_loop()
        loop.call_later(FREEZE_S, trial.signal, frozen, signal.SIGCONT)
    # The operator takes the zone back, moves on after a second without a response, and
    # then evacuates the zone again.
    if await trial.order(frozen, "DELETE", path) != 200:
        await trial.order_until_done("DELETE", path, cores=[other])
    await trial.order_until_done("POST", path, cores=[other])
    acked_s = trial.now_s()
    await asyncio.sleep(14.0)
    from_s = max(acked_s + EVACUATION_S, thawed_s + CONTACT_S + 0.5)
    late = [
        run
        for target in targets
        if target.zone == ZONE
        for run in target.runs
        if run[0] > from_s
    ]
    text = f"{len(late)} requests reached targets of {ZONE} after {from_s:.1f}"
    trial.note(f"evacuation acknowledged at {acked_s:.1f}; {text}")
    print(text)
    return bool(late)


main(Trial, Path(__file__).parent, case)
