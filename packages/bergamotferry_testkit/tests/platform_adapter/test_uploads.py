"""Large uploads that the manifest allows don't end an entry host."""

import asyncio
import contextlib
import time

import aiohttp
from aiohttp import web
from claimed_network import claim_network
from platform_fleet import (
    CONTROL_PORT,
    FRONT_PORT,
    MEMORY_MB,
    READY_PORT,
    Fleet,
    heartbeat,
    manifest,
    not_run_answer,
    peak_memory_mb,
    route,
    send_http_request,
    served_answer,
    serving,
)

NETWORK = claim_network()
CORE, EDGE = f"{NETWORK}.1.1", f"{NETWORK}.1.9"
UPSTREAM, UPSTREAM_ADDRESS = "i-1", f"{NETWORK}.1.50:18099"
UPLOAD_BYTES = 64 * 1024 * 1024
SMALL_BYTES = 1
N_UPLOADS = 4
N_SLOTS = 8
N_TRIES = 200
N_UPLOAD_TRIES = 100


@contextlib.asynccontextmanager
async def running_upstream():
    """Serve an upstream; yield the sizes of the large bodies that it has received."""
    sizes = []

    async def on_request(request: web.Request) -> web.Response:
        if request.path == "/health":
            return web.Response(headers={"X-Instance-Id": UPSTREAM})
        if request.headers.get("X-Expected-Instance") != UPSTREAM:
            return not_run_answer(request)
        size = 0
        async for part in request.content.iter_any():
            size += len(part)
        if size > SMALL_BYTES:
            sizes.append(size)
        return served_answer(request)

    async with serving(UPSTREAM_ADDRESS, on_request):
        yield sizes


async def wait_for_200(http, method, url, **options):
    for _ in range(N_TRIES):
        if (await send_http_request(http, method, url, **options))[0] == 200:
            return
        await asyncio.sleep(0.1)
    raise TimeoutError(url)


async def upload(http, number, body):
    """Send one upload, and again as long as it is refused; return the last status."""
    timeout = aiohttp.ClientTimeout(total=30)
    for attempt in range(N_UPLOAD_TRIES):
        headers = {"Host": "one.example", "X-Request-Id": f"u{number}.{attempt}"}
        url = f"http://{EDGE}:{FRONT_PORT}/big/{number}"
        # A refusal may close the connection while the body is still being sent.
        with contextlib.suppress(aiohttp.ClientConnectionError):
            async with http.post(
                url, data=body, headers=headers, timeout=timeout
            ) as answer:
                if answer.status != 503:
                    return answer.status
        await asyncio.sleep(0.2)
    return 503


async def send_small(http, results):
    number = 0
    while True:
        number += 1
        headers = {"Host": "one.example", "X-Request-Id": f"s{number}"}
        url = f"http://{EDGE}:{FRONT_PORT}/big/s"
        body = bytes(SMALL_BYTES)
        began_s = time.monotonic()
        status, _ = await send_http_request(
            http, "POST", url, headers=headers, data=body
        )
        results.append((round(time.monotonic() - began_s, 3), status))
        await asyncio.sleep(0.02)


async def run_uploads(tmp_path):
    fleet = Fleet(tmp_path, [CORE], [EDGE])
    async with running_upstream() as sizes, aiohttp.ClientSession() as http:
        try:
            await fleet.start_hosts()
            configuration = manifest(1, route("/big/", "unsafe"))
            control = f"http://{CORE}:{CONTROL_PORT}/api"
            await wait_for_200(http, "PUT", f"{control}/config", json=configuration)
            ping = heartbeat(1, address=UPSTREAM_ADDRESS, n_slots=N_SLOTS)
            url = f"{control}/instances/{UPSTREAM}"
            await wait_for_200(http, "PUT", url, json=ping)
            await wait_for_200(http, "GET", f"http://{EDGE}:{READY_PORT}/api/ready")
            small_results = []
            task = asyncio.create_task(send_small(http, small_results))
            body = bytes(UPLOAD_BYTES)
            statuses = await asyncio.gather(
                *(upload(http, number, body) for number in range(N_UPLOADS))
            )
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            peak_mb = peak_memory_mb(fleet.processes[EDGE].pid)
        finally:
            await fleet.end_hosts()
    return statuses, sizes, small_results, peak_mb


def test_large_uploads_at_once_stay_within_the_memory_of_an_entry_host(tmp_path):
    """Guards against a host that is killed for its memory, with all its requests."""
    statuses, sizes, small_results, peak_mb = asyncio.run(run_uploads(tmp_path))
    print(f"peak {peak_mb:.0f} MiB, slowest small request {max(small_results)}")
    assert peak_mb < MEMORY_MB
    assert statuses == [200] * N_UPLOADS
    assert sizes == [UPLOAD_BYTES] * N_UPLOADS
    assert {status for _, status in small_results} == {200}
