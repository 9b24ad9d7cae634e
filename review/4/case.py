"""A target's leave is acknowledged by a control host that was killed and restarted."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from standins import Target, Trial, http_call, main, route, service

DRAIN_S = 2.0
CONTACT_S = 3.0
# How long the leaving target serves after the acknowledgement.
SERVES_ON_S = 12.0


async def case(trial):
    await trial.start_hosts()
    targets = [
        Target(trial, "testlog", zone)
        for zone in ("ishikari-a", "ishikari-b", "ishikari-a", "ishikari-b")
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
            await asyncio.sleep(0.05)

    for number in range(6):
        trial.start_task(client(number))
    await asyncio.sleep(3.0)
    leaving = targets[0]
    leader = trial.leader()
    core = next(c for c in trial.cores if c not in (leader, leaving.beat_core))
    trial.note(f"leader {leader}; {leaving.name} beats to {leaving.beat_core}")
    if trial.has_trouble:
        await trial.kill(core)
        await asyncio.sleep(0.5)
        await trial.start_host(core)
    started_s = trial.now_s()
    leaving.stop_beats()
    path = f"/api/instances/{leaving.name}"
    while True:
        status, _, answer = await http_call(
            f"{core}:{trial.control_port}", "DELETE", path
        )
        trial.note(f"{leaving.name}: DELETE at {core}: {status or answer.decode()}")
        if status == 200:
            break
        await asyncio.sleep(0.1)
    acked_s = trial.now_s()
    await asyncio.sleep(SERVES_ON_S)
    ended_s = trial.now_s()
    await leaving.end()
    # Until contact-ms after the restart of the control host no machine is in touch.
    from_s = max(acked_s + DRAIN_S, started_s + CONTACT_S + 1.0)
    late = [run for run in leaving.runs if from_s < run[0] < ended_s]
    text = f"{len(late)} requests reached the target from {from_s:.1f} to {ended_s:.1f}"
    trial.note(f"acknowledged at {acked_s:.1f}; {text}")
    print(text)
    return bool(late)


main(Trial, Path(__file__).parent, case)
