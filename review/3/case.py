"""A holder crashes and starts again under its id between two renewals of its keys."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from standins import HEARTBEAT_S, N_KEYS, Target, Trial, main, route, service

STEP = 64
BOTH_HOLD_MAX_S = 0.5
DOWN_S = 0.4
AFTER_RENEWAL_S = 0.5


async def case(trial):
    await trial.start_hosts()
    # One target of seven is a share of 0.14. The last one joins later and gets few keys.
    targets = [
        Target(trial, "archive", zone, is_sharded=True)
        for zone in ("ishikari-a", "ishikari-b", "ishikari-a") * 2 + ("ishikari-b",)
    ]
    for target in targets[:-1]:
        await target.start()
    await trial.put_manifest(
        1, {"r1": route("/pull/", "archive", "download")}, {"archive": service(True)}
    )
    await trial.wait_ready()
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
    await asyncio.sleep(5.0)
    await targets[-1].start()
    await asyncio.sleep(8.0)
    holder = targets[0]
    renewed = asyncio.Event()
    now = trial.now_s()
    highest = max(key for key in range(N_KEYS) if holder.until_s[key] > now)

    def on_grant(target, first, last, fence):
        # The ranges are assigned anew in the order of their keys, the last ones elsewhere.
        if last == highest:
            renewed.set()

    holder.on_grant = on_grant
    await renewed.wait()
    holder.on_grant = None
    await asyncio.sleep(AFTER_RENEWAL_S)
    if trial.has_trouble:
        await holder.end()
        await asyncio.sleep(DOWN_S)
        # It beats every heartbeat-ms, for the first time one heartbeat-ms after its start.
        await holder.start(first_beat_after_s=HEARTBEAT_S)
    await asyncio.sleep(12.0)
    text = f"{len(doubled) * STEP} keys had two holders for over {BOTH_HOLD_MAX_S} s"
    trial.note(text)
    print(text)
    return bool(doubled)


main(Trial, Path(__file__).parent, case)
