"""Callers that read large answers slowly don't end an entry host."""

import asyncio
import socket

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
    serving,
)

NETWORK = claim_network()
CORE, EDGE = f"{NETWORK}.1.1", f"{NETWORK}.1.9"
UPSTREAM, UPSTREAM_ADDRESS = "i-1", f"{NETWORK}.1.50:18099"
# Together as much as the host's memory.
ANSWER_BYTES = 4_500_000
N_READERS = 70
N_SLOTS = 100
N_TRIES = 200
READ_BYTES = 4096
READ_INTERVAL_S = 0.25
SLOW_S = 4.0
N_SMALL_MIN = 20


async def on_request(request):
    if request.path == "/health":
        return web.Response(headers={"X-Instance-Id": UPSTREAM})
    if request.headers.get("X-Expected-Instance") != UPSTREAM:
        return not_run_answer(request)
    headers = {
        "X-Request-Id": request.headers["X-Request-Id"],
        "X-Response-Seal": "s",
    }
    is_large = request.path.startswith("/large/")
    return web.Response(headers=headers, body=bytes(ANSWER_BYTES if is_large else 1))


async def wait_for_200(http, method, url, **options):
    for _ in range(N_TRIES):
        if (await send_http_request(http, method, url, **options))[0] == 200:
            return
        await asyncio.sleep(0.1)
    raise TimeoutError(url)


async def read_slowly(number):
    """Download an answer, slowly at first; return its size with its head's status."""
    loop, began_s = asyncio.get_running_loop(), asyncio.get_running_loop().time()
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
        caller.setblocking(False)
        await loop.sock_connect(caller, (EDGE, FRONT_PORT))
        lines = [
            f"GET /large/{number} HTTP/1.1",
            "Host: one.example",
            f"X-Request-Id: l{number}",
            "Connection: close",
        ]
        await loop.sock_sendall(caller, "\r\n".join([*lines, "", ""]).encode())
        answer = bytearray()
        while True:
            is_slow = loop.time() - began_s < SLOW_S
            part = await loop.sock_recv(caller, READ_BYTES if is_slow else 1_000_000)
            if not part:
                break
            answer += part
            if is_slow:
                await asyncio.sleep(READ_INTERVAL_S)
    head, _, body = bytes(answer).partition(b"\r\n\r\n")
    return head[9:12], len(body)


async def send_small(http, results):
    while True:
        headers = {"Host": "one.example", "X-Request-Id": f"s{len(results)}"}
        url = f"http://{EDGE}:{FRONT_PORT}/small/1"
        results.append((await send_http_request(http, "POST", url, headers=headers))[0])
        await asyncio.sleep(0.02)


async def run_readers(tmp_path):
    fleet = Fleet(tmp_path, [CORE], [EDGE])
    async with (
        serving(UPSTREAM_ADDRESS, on_request),
        aiohttp.ClientSession() as http,
    ):
        try:
            await fleet.start_hosts()
            large = route("/large/", "download") | {"timeout-ms": 20_000}
            configuration = manifest(1, large, route("/small/", "unsafe"))
            control = f"http://{CORE}:{CONTROL_PORT}/api"
            await wait_for_200(http, "PUT", f"{control}/config", json=configuration)
            ping = heartbeat(1, address=UPSTREAM_ADDRESS, n_slots=N_SLOTS)
            url = f"{control}/instances/{UPSTREAM}"
            await wait_for_200(http, "PUT", url, json=ping)
            await wait_for_200(http, "GET", f"http://{EDGE}:{READY_PORT}/api/ready")
            small_statuses = []
            task = asyncio.create_task(send_small(http, small_statuses))
            answers = await asyncio.gather(*map(read_slowly, range(N_READERS)))
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            peak_mb = peak_memory_mb(fleet.processes[EDGE].pid)
        finally:
            await fleet.end_hosts()
    return answers, small_statuses, peak_mb


def test_slow_readers_of_large_answers_end_no_entry_host(tmp_path):
    """Guards against a host that is killed for its memory, with all its requests."""
    answers, small_statuses, peak_mb = asyncio.run(run_readers(tmp_path))
    print(f"peak {peak_mb:.0f} MiB, {len(small_statuses)} small requests")
    assert peak_mb < MEMORY_MB
    assert set(answers) == {(b"200", ANSWER_BYTES)}
    assert len(small_statuses) >= N_SMALL_MIN and set(small_statuses) == {200}
