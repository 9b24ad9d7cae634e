"""Stand-in upstreams: many in one process, each on a port of its own.

They announce themselves, renew, take grants, run requests in their slots, and write
down every order and every run, so that a checker can tell afterwards what happened.
"""

import argparse
import asyncio
import json
import random
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TextIO

import aiohttp
from aiohttp import web

from .answers import (
    BLOCK_BYTES,
    archive_block,
    archive_size_bytes,
    filing_answer,
    lookup_answer,
)

ANNOUNCE_PAUSE_S = 0.1


@dataclass(slots=True)
class StandIn:
    """One upstream."""

    name: str
    service: str
    data_centre: str
    address: str
    controls: list[str]
    token: str
    n_slots: int
    checks_epochs: bool
    service_time_ms: float
    archive_bytes: int
    record_file: TextIO
    incarnation: int
    grants: dict[str, int] = field(default_factory=dict)
    running: int = 0
    lease_until_s: float = 0.0
    has_left: bool = False

    def record(self, event: str, **fields: Any) -> None:
        """Write one line to the record."""
        line = {
            "at_s": time.clock_gettime(time.CLOCK_BOOTTIME),
            "event": event,
            "upstream": self.name,
            "incarnation": self.incarnation,
            **fields,
        }
        self.record_file.write(json.dumps(line) + "\n")
        self.record_file.flush()


def build_app(upstream: StandIn) -> web.Application:
    """Return the application of one stand-in."""

    async def grants(request: web.Request) -> web.Response:
        return _take_grants(upstream, await request.json())

    async def run(request: web.Request) -> web.StreamResponse:
        return await _run(upstream, request)

    async def health(request: web.Request) -> web.Response:
        return web.json_response({"healthy": True})

    async def load(request: web.Request) -> web.Response:
        return web.json_response({"running": upstream.running})

    app = web.Application(client_max_size=1 << 30)
    app.router.add_post("/bergamotferry/v1/grants", grants)
    app.router.add_get("/bergamotferry/v1/health", health)
    app.router.add_get("/bergamotferry/v1/load", load)
    app.router.add_route("*", "/{route}/{key:.+}", run)
    return app


async def keep_session(upstream: StandIn) -> None:
    """Announce, then renew until the upstream leaves."""
    is_known = False
    async with aiohttp.ClientSession(
        headers={"Authorization": f"Bearer {upstream.token}"}
    ) as http:
        while not upstream.has_left:
            verb = "renew" if is_known else "announce"
            sent_s = time.clock_gettime(time.CLOCK_BOOTTIME)
            reply = await call_control(upstream, http, verb)
            if reply is None or "lease_ms" not in reply:
                is_known = reply is None and is_known
                await asyncio.sleep(ANNOUNCE_PAUSE_S)
                continue
            is_known = True
            upstream.lease_until_s = sent_s + reply["lease_ms"] / 1000
            await asyncio.sleep(reply["renew_every_ms"] / 1000)


async def call_control(
    upstream: StandIn, http: aiohttp.ClientSession, verb: str
) -> dict[str, Any] | None:
    """Send an announcement, renewal or leave; None if no answer came."""
    control = upstream.controls[0]
    body = {
        "name": upstream.name,
        "service": upstream.service,
        "data_centre": upstream.data_centre,
        "address": upstream.address,
        "incarnation": upstream.incarnation,
        "n_slots": upstream.n_slots,
        "max_connections": 130,
        "checks_epochs": upstream.checks_epochs,
    }
    url = f"http://{control}/upstreams/v1/{verb}"
    try:
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with http.post(url, json=body, timeout=timeout) as response:
            reply: dict[str, Any] = await response.json()
            return reply
    except (aiohttp.ClientError, TimeoutError, ValueError):
        # The next host of the data centre serves as well.
        upstream.controls.append(upstream.controls.pop(0))
        return None


def _take_grants(upstream: StandIn, order: dict[str, Any]) -> web.Response:
    upstream.record(
        "order",
        dispatcher_epoch=order["dispatcher_epoch"],
        granted=order["granted"],
        released=order["released"],
    )
    for shard, epoch in order["granted"]:
        if epoch >= upstream.grants.get(shard, 0):
            upstream.grants[shard] = epoch
    for shard, epoch in order["released"]:
        if upstream.grants.get(shard) == epoch:
            del upstream.grants[shard]
    return web.json_response({"shards": len(upstream.grants)})


async def _run(upstream: StandIn, request: web.Request) -> web.StreamResponse:
    route, key = request.match_info["route"], request.match_info["key"]
    shard = request.headers.get("Bergamotferry-Shard", "")
    epoch = int(request.headers.get("Bergamotferry-Epoch", "0"))
    if upstream.checks_epochs and upstream.grants.get(shard) != epoch:
        return _not_started(upstream, 409, "stale epoch", key)
    if upstream.running >= upstream.n_slots:
        return _not_started(upstream, 503, "no free slot", key)
    run = {
        "request_id": request.headers.get("Bergamotferry-Request-Id", ""),
        "idempotency_key": request.headers.get("Idempotency-Key", ""),
        "route": route,
        "key": key,
        "shard": shard,
        "epoch": epoch,
    }
    upstream.running += 1
    upstream.record("run", n_running=upstream.running, **run)
    try:
        body = await request.read()
        service_time_ms = random.expovariate(1 / upstream.service_time_ms)
        await asyncio.sleep(service_time_ms / 1000)
        response = await _answer(upstream, request, route, key, body)
        upstream.record("done", request_id=run["request_id"], key=key)
        return response
    finally:
        upstream.running -= 1


def _not_started(upstream: StandIn, status: int, why: str, key: str) -> web.Response:
    upstream.record("shed", why=why, key=key)
    return web.Response(
        status=status, text=why, headers={"Bergamotferry-Not-Started": "true"}
    )


async def _answer(
    upstream: StandIn, request: web.Request, route: str, key: str, body: bytes
) -> web.StreamResponse:
    if request.method == "POST":
        data = filing_answer(upstream.service, route, key, body)
        return web.Response(body=data, content_type="application/json")
    if route == "bundle" or route == "proof":
        return await _stream_archive(upstream, request, key)
    data = lookup_answer(upstream.service, route, key)
    return web.Response(body=data, content_type="application/json")


async def _stream_archive(
    upstream: StandIn, request: web.Request, key: str
) -> web.StreamResponse:
    size_bytes = archive_size_bytes(key, upstream.archive_bytes)
    response = web.StreamResponse(headers={"ETag": f'"{key}-1"'})
    response.content_length = size_bytes
    await response.prepare(request)
    for number in range(size_bytes // BLOCK_BYTES):
        await response.write(archive_block(key, number))
    await response.write_eof()
    return response


async def run_stand_ins(arguments: argparse.Namespace, record_file: TextIO) -> None:
    """Run the stand-ins that the arguments name until cancelled."""
    runners: list[web.AppRunner] = []
    sessions: list[asyncio.Task[None]] = []
    for word in arguments.upstreams.split():
        name, service, port, n_slots, service_time_ms = word.split(",")
        upstream = StandIn(
            name,
            service,
            arguments.data_centre,
            f"127.0.0.1:{port}",
            arguments.controls.split(","),
            arguments.token,
            int(n_slots),
            # Every third does not check who gives it an order.
            int(port) % 3 != 0,
            float(service_time_ms),
            arguments.archive_bytes,
            record_file,
            time.time_ns(),
        )
        runner = web.AppRunner(
            build_app(upstream), access_log=None, handler_cancellation=True
        )
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", int(port), reuse_address=True).start()
        runners.append(runner)
        sessions.append(asyncio.create_task(keep_session(upstream)))
    await asyncio.gather(*sessions)


def main() -> None:
    """Run stand-ins from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--data-centre", required=True)
    parser.add_argument(
        "--controls", required=True, help="control addresses, by commas"
    )
    parser.add_argument("--token", required=True)
    parser.add_argument("--records", required=True, help="file for the record of runs")
    parser.add_argument("--archive-bytes", type=int, default=1 << 20)
    parser.add_argument(
        "--upstreams",
        required=True,
        help="NAME,SERVICE,PORT,SLOTS,SERVICE_TIME_MS, separated by spaces",
    )
    arguments = parser.parse_args()
    with Path(arguments.records).open("a") as record_file:
        asyncio.run(run_stand_ins(arguments, record_file))


if __name__ == "__main__":
    main()
