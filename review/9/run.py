"""A control host is cut off for two seconds while an evacuation is withdrawn and renewed."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))

import aiohttp
from ahead import is_ready
from cut import Cut
from fleet import (
    FRONT,
    HAS_TROUBLE,
    ZONES,
    Fleet,
    Operator,
    Record,
    call,
    manifest,
    run,
)
from targets import Run, Target

SERVICE = "testlog"
ZONE = ZONES[0]
PATH = f"/api/evacuations/{ZONE}"
# `core_cut` lasts 6.06 s on the site at most.
CUT_S = 2.0
EVACUATION_MS, CONTACT_MS = 5_000, 3_000
# The hosts have been in touch again for a second by then.
JUDGE_AFTER_S = max(EVACUATION_MS / 1000, CUT_S + CONTACT_MS / 1000) + 1.0
JUDGE_S = 5.0
DEADLINE_MS = 2_000
N_CLIENTS = 4


async def send(http, ip: str, name: str, end_s: float, sent: dict, record) -> None:
    """Send one request after the other; note when each was sent."""
    number = 0
    while time.monotonic() < end_s:
        number += 1
        request_id = f"{name}.{number}"
        headers = {
            "Host": "one.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        sent[request_id] = time.monotonic()
        url = f"http://{ip}:{FRONT}/q/{request_id}"
        status, _, _ = await call(http, "GET", url, DEADLINE_MS / 1000, headers=headers)
        record.write("answered", id=request_id, status=status)
        await asyncio.sleep(0.05)


async def main() -> int:
    record = Record(HERE)
    fleet = Fleet(4, 2)
    cut_off, *others = reversed(fleet.cores)
    cut = Cut(fleet, cut_off)
    runs: list[Run] = []
    targets = [
        Target(fleet, record, f"i-{number}", SERVICE, ZONES[number % 2], runs, slots=2)
        for number in range(6)
    ]
    in_zone = {target.name for target in targets if target.zone == ZONE}
    sent: dict[str, float] = {}
    try:
        await cut.start()
        await fleet.start()
        async with aiohttp.ClientSession() as http:
            for target in targets:
                await target.start(http)
            operator = Operator(fleet, http, record)
            body = manifest(1, [("r", "/q/", "safe", SERVICE)], {SERVICE: False})
            if not await operator.order("PUT", "/api/config", body, hosts=others):
                return 2
            if not all([await is_ready(http, edge.ip) for edge in fleet.edges]):
                return 2
            await asyncio.sleep(CONTACT_MS / 1000)
            end_s = time.monotonic() + 30.0
            clients = [
                asyncio.create_task(
                    send(
                        http,
                        fleet.edges[number % 2].ip,
                        f"c{number}",
                        end_s,
                        sent,
                        record,
                    )
                )
                for number in range(N_CLIENTS)
            ]
            if not await operator.order("POST", PATH, hosts=others):
                return 2
            await asyncio.sleep(EVACUATION_MS / 1000)
            if HAS_TROUBLE:
                cut.begin()
            cut_s = time.monotonic()
            record.write("cut begins", host=cut_off.ip, is_cut=HAS_TROUBLE)
            # The operator picks this host first, and moves on when it gets no 2xx.
            if not await operator.order("DELETE", PATH, hosts=[cut_off, *others]):
                return 2
            if not await operator.order("POST", PATH, hosts=others):
                return 2
            acknowledged_s = time.monotonic()
            record.write("evacuation acknowledged", zone=ZONE)
            await asyncio.sleep(max(0.0, cut_s + CUT_S - time.monotonic()))
            cut.end()
            record.write("cut ends", after_s=round(time.monotonic() - cut_s, 2))
            from_s = acknowledged_s + JUDGE_AFTER_S
            await asyncio.sleep(from_s + JUDGE_S - time.monotonic())
            for client in clients:
                client.cancel()
            await asyncio.gather(*clients, return_exceptions=True)
            if not all(host.is_running for host in fleet.cores + fleet.edges):
                return 2
    finally:
        for target in targets:
            await target.stop()
        await fleet.end()
        await cut.stop()
    judged = [row for row in runs if sent.get(row.request_id, 0.0) >= from_s]
    wrong = [row for row in judged if row.target in in_zone]
    record.write(
        "result",
        runs_judged=len(judged),
        of_these_in_the_evacuated_zone=len(wrong),
        cut_to_acknowledgement_s=round(acknowledged_s - cut_s, 2),
    )
    print((HERE / "record.txt").read_text().splitlines()[-1])
    if len(judged) < 50:
        return 2
    return 1 if wrong else 0


run(main)
