"""Service load between processes: rows reach other hosts, also after a loss."""

import asyncio
import re

import aiohttp
import platform_fleet
from claimed_network import claim_network
from platform_fleet import Fleet, resend_until_200, route, send_http_request, serving

NETWORK = claim_network()
CORES = [f"{NETWORK}.{number}.1" for number in (1, 2, 3)]
EDGES = [f"{NETWORK}.1.9", f"{NETWORK}.2.9"]
UPSTREAM_ADDRESS = f"{NETWORK}.1.50:18099"
WAIT_S = 20.0
# Without new rows the rows of a host are older than this, well after a loss.
AGE_MAX_S, AFTER_LOSS_S = 1.8, 4.0
PLACE = r'\{data_centre="a",(?:priority="0",)?service="log"\} ([0-9.]+)'


async def on_request(request):
    await asyncio.sleep(0.05)
    return platform_fleet.served_answer(request)


async def wait_for_load(http, edge):
    """Wait until a host has fresh rows of the work in the first data centre."""
    url = f"http://{edge}:{platform_fleet.METRICS_PORT}/metrics"
    async with asyncio.timeout(WAIT_S):
        while True:
            _, body = await send_http_request(http, "GET", url)
            offered, age_s = (
                re.search(f"bergamotferry_{name}{PLACE}", body.decode())
                for name in ("service_offered_slots", "service_load_age_seconds")
            )
            if offered and float(offered[1]) > 0 and float(age_s[1]) < AGE_MAX_S:
                return
            await asyncio.sleep(0.1)


async def run(tmp_path):
    fleet = Fleet(tmp_path, CORES, EDGES)
    async with serving(UPSTREAM_ADDRESS, on_request), aiohttp.ClientSession() as http:
        tasks = []
        try:
            await fleet.start_hosts()
            config = platform_fleet.manifest(1, route("/x/", "safe"))
            url = f"http://{CORES[0]}:18166/api/config"
            await resend_until_200(http, "PUT", url, json=config)
            tasks.append(asyncio.create_task(send_heartbeats(http)))
            tasks.append(asyncio.create_task(send_requests(http)))
            await wait_for_load(http, EDGES[1])
            # The second host follows the nearest control host, which is lost.
            await fleet.end(CORES[1])
            await asyncio.sleep(AFTER_LOSS_S)
            await wait_for_load(http, EDGES[1])
        finally:
            for task in tasks:
                task.cancel()
            await fleet.end_hosts()


async def send_heartbeats(http):
    sequence = 0
    while True:
        sequence += 1
        row = platform_fleet.heartbeat(sequence, address=UPSTREAM_ADDRESS)
        for core in (CORES[0], CORES[2]):
            url = f"http://{core}:18166/api/instances/i-1"
            await send_http_request(http, "PUT", url, json=row)
        await asyncio.sleep(0.5)


async def send_requests(http):
    """Send requests to the first host, and now and then one to the second."""
    number = 0
    while True:
        number += 1
        edge = EDGES[number % 10 == 0]
        headers = {"Host": "one.example", "X-Request-Id": f"r{number}"}
        url = f"http://{edge}:18161/x/1"
        await send_http_request(http, "POST", url, headers=headers, data=b"body")
        await asyncio.sleep(0.02)


def test_load_of_one_host_reaches_another_also_after_the_loss_of_a_control_host(
    tmp_path,
):
    """Guards against rows that stop with the control host that first had them."""
    asyncio.run(run(tmp_path))
