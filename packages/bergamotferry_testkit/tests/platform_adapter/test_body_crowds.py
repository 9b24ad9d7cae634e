"""Crowds of clients with large or endless bodies don't end an entry host.

Guards against a host that is killed for its memory, with all its requests. The limits
in the settings are low, so that small crowds would exceed them.
"""

import asyncio
import contextlib
import os
from pathlib import Path

import aiohttp
import pytest
from aiohttp import web
from body_crowds import Crowd, run_client
from claimed_network import claim_network
from platform_fleet import (
    CONTROL_PORT,
    FRONT_PORT,
    READY_PORT,
    Fleet,
    heartbeat,
    manifest,
    not_run_answer,
    peak_memory_mb,
    resend_until_200,
    route,
    served_answer,
    serving,
)

NETWORK = claim_network()
CORE, EDGE = f"{NETWORK}.1.1", f"{NETWORK}.1.9"
UPSTREAM, UPSTREAM_ADDRESS = "i-1", f"{NETWORK}.1.50:18099"
MEMORY_MB = 105
N_DESCRIPTORS_MAX = 400
MIB = 1024 * 1024
BODY_MAX_BYTES = 8 * MIB
SLOW_S = 2.0
SAMPLE_S = 0.05
# The crowd stays for some time after the longest pause that a body may have.
STAY_S = 7.0

CROWDS = {
    "whole": Crowd(160, BODY_MAX_BYTES - MIB, MIB, BODY_MAX_BYTES),
    "in pieces": Crowd(160, BODY_MAX_BYTES - 64 * 1024, 64 * 1024, BODY_MAX_BYTES),
    "announced far over": Crowd(160, 4 * BODY_MAX_BYTES, MIB, 100 * BODY_MAX_BYTES),
    "sent far over": Crowd(160, 4 * BODY_MAX_BYTES, MIB),
    "large chunks": Crowd(160, BODY_MAX_BYTES - MIB, MIB),
    "small chunks": Crowd(160, 256 * 1024, 1),
    "behind another request": Crowd(160, BODY_MAX_BYTES - MIB, MIB, n_ahead=1),
    "small chunks behind": Crowd(160, 256 * 1024, 1, n_ahead=1),
}


async def on_request(request: web.Request) -> web.Response:
    if request.path == "/health":
        return web.Response(headers={"X-Instance-Id": UPSTREAM})
    if request.headers.get("X-Expected-Instance") != UPSTREAM:
        return not_run_answer(request)
    await request.read()
    if request.path.startswith("/slow/"):
        await asyncio.sleep(SLOW_S)
    return served_answer(request)


async def sample_descriptors(process_id: int, counts: list[int]) -> None:
    while True:
        with contextlib.suppress(FileNotFoundError):
            counts.append(len(os.listdir(f"/proc/{process_id}/fd")))
        await asyncio.sleep(SAMPLE_S)


async def prepare(fleet: Fleet, http: aiohttp.ClientSession) -> None:
    await fleet.start_hosts()
    limits = {"max-body-bytes": BODY_MAX_BYTES}
    routes = route("/big/"), route("/slow/", "safe")
    control = f"http://{CORE}:{CONTROL_PORT}/api"
    configuration = manifest(1, *routes, limits=limits)
    await resend_until_200(http, "PUT", f"{control}/config", json=configuration)
    ping = heartbeat(1, address=UPSTREAM_ADDRESS, n_slots=8)
    url = f"{control}/instances/{UPSTREAM}"
    await resend_until_200(http, "PUT", url, json=ping)
    await resend_until_200(http, "GET", f"http://{EDGE}:{READY_PORT}/api/ready")


async def send_ordinary(http: aiohttp.ClientSession, name: str) -> None:
    headers = {"Host": "one.example", "X-Request-Id": name}
    url = f"http://{EDGE}:{FRONT_PORT}/big/"
    await resend_until_200(http, "POST", url, headers=headers, data=b"x")


async def run_crowd(crowd: Crowd, tmp_path: Path) -> tuple[int | None, float, int]:
    """Play a crowd; return the exit status, peak of memory and most descriptors."""
    fleet = Fleet(
        tmp_path,
        [CORE],
        [EDGE],
        memory_mb=MEMORY_MB,
        n_descriptors_max=N_DESCRIPTORS_MAX,
    )
    counts, leaving = [0], asyncio.Event()
    async with (
        serving(UPSTREAM_ADDRESS, on_request),
        aiohttp.ClientSession() as http,
    ):
        try:
            await prepare(fleet, http)
            await send_ordinary(http, "before")
            process = fleet.processes[EDGE]
            print(f"before: {peak_memory_mb(process.pid):.0f} MiB")
            sampling = asyncio.create_task(sample_descriptors(process.pid, counts))
            clients = [
                asyncio.create_task(run_client(crowd, EDGE, FRONT_PORT, n, leaving))
                for n in range(crowd.n_clients)
            ]
            await asyncio.sleep(STAY_S)
            await send_ordinary(http, "during")
            leaving.set()
            await asyncio.gather(*clients)
            await send_ordinary(http, "after")
            sampling.cancel()
            return process.returncode, peak_memory_mb(process.pid), max(counts)
        finally:
            await fleet.end_hosts()


@pytest.mark.parametrize("name", CROWDS)
def test_a_crowd_of_bodies_does_not_end_an_entry_host(name, tmp_path):
    exit_status, peak_mb, n_descriptors = asyncio.run(run_crowd(CROWDS[name], tmp_path))
    print(f"{name}: peak {peak_mb:.0f} MiB, {n_descriptors} descriptors")
    assert exit_status is None
    assert peak_mb < MEMORY_MB
    assert n_descriptors < N_DESCRIPTORS_MAX
