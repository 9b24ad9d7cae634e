"""New connections to a holder are refused for a while; its open ones still work."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from standins import N_KEYS, Target, Trial, main, route, service

STEP = 64
BOTH_HOLD_MAX_S = 0.5
CUT_S = 10.0
# One target of five is a share of 0.2.
ZONES_OF_TARGETS = ("ishikari-a", "ishikari-b", "ishikari-a", "ishikari-b", "ishikari-a")


async def case(trial):
    await trial.start_hosts()
    targets = [
        Target(trial, "archive", zone, is_sharded=True)
        for zone in ZONES_OF_TARGETS
    ]
    for target in targets:
        await target.start()
    await trial.put_manifest(
        1, {"r1": route("/pull/", "archive", "download")}, {"archive": service(True)}
    )
    await trial.wait_ready()
    await asyncio.sleep(6.0)
    doubled = {}

    async def watch():
        since = {}
        while True:
            now = trial.now_s()
            for key in range(0, N_KEYS, STEP):
                holders = [t for t in targets if t.is_up and t.until_s[key] > now]
                if len(holders) < 2:
                    since.pop(key, None)
                    continue
                since.setdefault(key, now)
                if now - since[key] > BOTH_HOLD_MAX_S and key not in doubled:
                    doubled[key] = [(t.name, t.seen_fence[key]) for t in holders]
                    trial.note(f"key {key} has two holders: {doubled[key]}")
            await asyncio.sleep(0.05)

    async def client(number):
        while True:
            key = random.randrange(N_KEYS)
            edge = trial.edges[number % len(trial.edges)]
            await trial.request(edge, f"/pull/{key}", key=key)
            await asyncio.sleep(0.1)

    trial.start_task(watch())
    for number in range(6):
        trial.start_task(client(number))
    await asyncio.sleep(4.0)
    cut_off = targets[0]
    cut_s = trial.now_s()
    if trial.has_trouble:
        # Its beats don't arrive either.
        cut_off.stop_beats()
        cut_off.server.close()
        trial.note(f"cut: new connections to {cut_off.name} are refused")
    await asyncio.sleep(CUT_S)
    n_runs = sum(1 for run in cut_off.runs if run[0] > cut_s)
    text = (
        f"{len(doubled) * STEP} keys had two holders for over {BOTH_HOLD_MAX_S} s; "
        f"{n_runs} requests ran at the target behind the cut"
    )
    trial.note(text)
    print(text)
    return bool(doubled)


main(Trial, Path(__file__).parent, case)
