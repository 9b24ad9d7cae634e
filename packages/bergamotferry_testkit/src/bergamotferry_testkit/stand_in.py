"""Runs stand-in upstreams: many in one process, each on its own port.

A stand-in announces itself, renews its lease, receives grants and runs requests in its
slots. It records every order and every run, and the checkers read these records
afterwards.
"""

import argparse
import asyncio
import json
import random
import signal
import time
from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any, TextIO

import aiohttp
from aiohttp import web

from .answers import filing_answer, lookup_answer
from .archive_stream import stream_archive

REQUEST_ID_HEADER = "Bergamotferry-Request-Id"
ANNOUNCE_PAUSE_S = 0.1
ANNOUNCE_TIMEOUT_S = 1.0
# Short enough to try another host before the lease expires.
RENEW_TIMEOUT_S = 0.25
# A request for a key with this prefix crashes its upstream.
POISON_PREFIX = "poison-"
# The crash aborts the request that causes it long before this time is over.
CRASH_TIMEOUT_S = 60.0
RESTART_DELAY_S = 0.5
# The mean service time at a cold start is ``1 + COLD_SLOWDOWN * n_running**2`` times
# that of a warm upstream.
COLD_SLOWDOWN = 10.0


@dataclass(slots=True)
class StandIn:
    """State of one stand-in upstream.

    ``slowness`` multiplies the service time, ``cold_s`` is how long a warm-up takes,
    and ``n_breaks`` is how many archive answers are still to be broken off.
    """

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
    n_running: int = 0
    lease_until_s: float = 0.0
    has_left: bool = False
    dispatcher_epoch: int = 0
    session_epoch: int = 0
    last_order: int = 0
    running_by_grant: Counter[tuple[str, int]] = field(default_factory=Counter)
    slowness: float = 1.0
    cold_s: float = 0.0
    started_s: float = 0.0
    n_breaks: int = 0
    crash: asyncio.Event = field(default_factory=asyncio.Event)

    def record(self, event: str, **fields: Any) -> None:
        """Append one event to the record file as a line of JSON."""
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
    """Return the HTTP application of one stand-in."""

    async def grants(request: web.Request) -> web.Response:
        return _apply_order(upstream, await request.json())

    async def run(request: web.Request) -> web.StreamResponse:
        return await _run_request(upstream, request)

    async def set_faults(request: web.Request) -> web.Response:
        # Tests make an upstream a straggler, break off its answers, crash it or make
        # it leave.
        faults = await request.json()
        upstream.slowness = float(faults.get("slowness", upstream.slowness))
        # The next `n_breaks` archive answers break off halfway.
        upstream.n_breaks = int(faults.get("n_breaks", upstream.n_breaks))
        if faults.get("crash"):
            upstream.crash.set()
        if faults.get("leave"):
            await _leave(upstream)
        return web.json_response({})

    async def health(request: web.Request) -> web.Response:
        return web.json_response({"healthy": True})

    async def load(request: web.Request) -> web.Response:
        return web.json_response({"running": upstream.n_running})

    async def echo_id(request: web.Request, response: web.StreamResponse) -> None:
        if REQUEST_ID_HEADER in request.headers:
            response.headers[REQUEST_ID_HEADER] = request.headers[REQUEST_ID_HEADER]

    app = web.Application(client_max_size=1 << 30)
    app.on_response_prepare.append(echo_id)
    app.router.add_post("/bergamotferry/v1/grants", grants)
    app.router.add_post("/stand-in/faults", set_faults)
    app.router.add_get("/bergamotferry/v1/health", health)
    app.router.add_get("/bergamotferry/v1/load", load)
    app.router.add_route("*", "/{route}/{key:.+}", run)
    return app


async def keep_session(upstream: StandIn) -> None:
    """Announce the upstream, then renew its session.

    The upstream announces itself again when a host answers a renewal without a lease.
    """
    is_announced = False
    async with aiohttp.ClientSession(
        headers={"Authorization": f"Bearer {upstream.token}"}
    ) as http:
        while not upstream.has_left:
            action = "renew" if is_announced else "announce"
            sent_s = time.clock_gettime(time.CLOCK_BOOTTIME)
            reply = await call_control(upstream, http, action)
            if reply is None or "lease_ms" not in reply:
                is_announced = reply is None and is_announced
                await asyncio.sleep(ANNOUNCE_PAUSE_S)
                continue
            is_announced = True
            adopt_session(upstream, int(reply.get("session_epoch", 0)))
            upstream.lease_until_s = sent_s + reply["lease_ms"] / 1000
            await asyncio.sleep(reply["renew_every_ms"] / 1000)


async def call_control(
    upstream: StandIn, http: aiohttp.ClientSession, action: str
) -> dict[str, Any] | None:
    """Send an announcement, a renewal or a leave; return the answer.

    Returns None if no usable answer came. The next call then tries the next host.
    """
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
    url = f"http://{control}/upstreams/v1/{action}"
    try:
        timeout_s = RENEW_TIMEOUT_S if action == "renew" else ANNOUNCE_TIMEOUT_S
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        async with http.post(url, json=body, timeout=timeout) as response:
            reply: dict[str, Any] = await response.json()
            return reply
    except (aiohttp.ClientError, TimeoutError, ValueError):
        # Any host of the data centre can take the call, so the next call tries another.
        upstream.controls.append(upstream.controls.pop(0))
        return None


def adopt_session(upstream: StandIn, session_epoch: int) -> None:
    """Adopt a session; drop the grants of earlier sessions if it is a new one."""
    if session_epoch > upstream.session_epoch:
        upstream.session_epoch = session_epoch
        upstream.grants.clear()


def _apply_order(upstream: StandIn, order: dict[str, Any]) -> web.Response:
    upstream.record(
        "order",
        dispatcher_epoch=order["dispatcher_epoch"],
        granted=order["granted"],
        released=order["released"],
    )
    order_position = (order["dispatcher_epoch"], order["order"])
    is_stale = order_position <= (upstream.dispatcher_epoch, upstream.last_order)
    is_stale = is_stale or order["session_epoch"] < upstream.session_epoch
    is_other_incarnation = order["incarnation"] != upstream.incarnation
    if upstream.checks_epochs and (is_stale or is_other_incarnation):
        return web.Response(status=409, text="stale order")
    upstream.dispatcher_epoch, upstream.last_order = order_position
    adopt_session(upstream, order["session_epoch"])
    for shard, epoch in order["granted"]:
        if epoch >= upstream.grants.get(shard, 0):
            upstream.grants[shard] = epoch
    busy: list[str] = []
    for shard, epoch in order["released"]:
        if _is_running(upstream, shard, epoch):
            busy.append(shard)
        elif upstream.grants.get(shard) == epoch:
            del upstream.grants[shard]
    return web.json_response({"shards": len(upstream.grants), "busy": busy})


def _is_running(upstream: StandIn, shard: str, epoch: int) -> bool:
    return any(
        run_shard == shard and run_epoch <= epoch
        for run_shard, run_epoch in upstream.running_by_grant
    )


async def _run_request(upstream: StandIn, request: web.Request) -> web.StreamResponse:
    route, key = request.match_info["route"], request.match_info["key"]
    shard = request.headers.get("Bergamotferry-Shard", "")
    epoch = int(request.headers.get("Bergamotferry-Epoch", "0"))
    sender_epoch = int(request.headers.get("Bergamotferry-Dispatcher-Epoch", "0"))
    is_stale = sender_epoch < upstream.dispatcher_epoch
    if upstream.checks_epochs and (is_stale or upstream.grants.get(shard) != epoch):
        return _not_started(upstream, 409, "stale epoch", key)
    if time.clock_gettime(time.CLOCK_BOOTTIME) > upstream.lease_until_s:
        # The grants ended with the lease. The sender waits for new grants.
        return _not_started(upstream, 409, "no lease", key)
    if upstream.n_running >= upstream.n_slots:
        return _not_started(upstream, 503, "no free slot", key)
    run_fields = {
        "request_id": request.headers.get(REQUEST_ID_HEADER, ""),
        "idempotency_key": request.headers.get("Idempotency-Key", ""),
        "route": route,
        "key": key,
        "shard": shard,
        "epoch": epoch,
        "dispatcher_epoch": sender_epoch,
    }
    upstream.n_running += 1
    upstream.running_by_grant[shard, epoch] += 1
    upstream.record("run", n_running=upstream.n_running, **run_fields)
    try:
        body = await request.read()
        if key.startswith(POISON_PREFIX):
            upstream.crash.set()
            await asyncio.sleep(CRASH_TIMEOUT_S)
        await asyncio.sleep(service_time_s(upstream))
        response = await _answer(upstream, request, route, key, body)
        upstream.record("done", request_id=run_fields["request_id"], key=key)
        return response
    finally:
        upstream.n_running -= 1
        upstream.running_by_grant[shard, epoch] -= 1
        if not upstream.running_by_grant[shard, epoch]:
            del upstream.running_by_grant[shard, epoch]


def service_time_s(upstream: StandIn) -> float:
    """Draw the service time of a request; cold upstreams and stragglers take longer.

    A cold upstream also slows down with the number of requests that it runs.
    """
    mean_ms = upstream.service_time_ms * upstream.slowness
    warm_for_s = time.monotonic() - upstream.started_s
    if warm_for_s < upstream.cold_s:
        # While the upstream is cold, each concurrent request slows the others down.
        coldness = 1 - warm_for_s / upstream.cold_s
        mean_ms *= 1 + COLD_SLOWDOWN * coldness * upstream.n_running**2
    return random.expovariate(1000 / mean_ms)


async def run_upstream(upstream: StandIn) -> None:
    """Run one upstream; after each crash, start it again cold as a new incarnation."""
    ip, port = upstream.address.split(":")
    while not upstream.has_left:
        upstream.incarnation = time.time_ns()
        upstream.grants.clear()
        upstream.running_by_grant.clear()
        upstream.n_running = 0
        upstream.dispatcher_epoch = upstream.session_epoch = upstream.last_order = 0
        upstream.lease_until_s = 0.0
        upstream.crash.clear()
        upstream.started_s = time.monotonic()
        upstream.record("start")
        runner = web.AppRunner(
            build_app(upstream),
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=0.0,
        )
        await runner.setup()
        await web.TCPSite(runner, ip, int(port), reuse_address=True).start()
        session = asyncio.create_task(keep_session(upstream))
        await upstream.crash.wait()
        upstream.record("crash")
        session.cancel()
        if runner.server is not None:
            for connection in runner.server.connections:
                if connection.transport is not None:
                    connection.transport.abort()
        await runner.cleanup()
        await asyncio.sleep(RESTART_DELAY_S)


def _not_started(upstream: StandIn, status: int, reason: str, key: str) -> web.Response:
    upstream.record("shed", why=reason, key=key)
    return web.Response(
        status=status, text=reason, headers={"Bergamotferry-Not-Started": "true"}
    )


async def _answer(
    upstream: StandIn, request: web.Request, route: str, key: str, body: bytes
) -> web.StreamResponse:
    if request.method == "POST":
        data = filing_answer(upstream.service, route, key, body)
        return web.Response(body=data, content_type="application/json")
    if route == "bundle" or route == "proof":
        return await stream_archive(
            request, key, upstream.archive_bytes, partial(_consume_break, upstream)
        )
    data = lookup_answer(upstream.service, route, key)
    return web.Response(body=data, content_type="application/json")


def _consume_break(upstream: StandIn) -> bool:
    is_broken_off = upstream.n_breaks > 0
    upstream.n_breaks -= is_broken_off
    return is_broken_off


async def run_stand_ins(arguments: argparse.Namespace, record_file: TextIO) -> None:
    """Run the stand-ins that the arguments name until SIGTERM.

    With ``--leave-s``, the stand-ins leave at SIGTERM and serve for that many seconds
    more before they end.
    """
    upstreams: list[StandIn] = []
    for spec in arguments.upstreams.split():
        name, service, port, n_slots, service_time_ms = spec.split(",")
        upstreams.append(
            StandIn(
                name,
                service,
                arguments.data_centre,
                f"127.0.0.1:{port}",
                arguments.controls.split(","),
                arguments.token,
                int(n_slots),
                # About every third upstream, by its port, checks no epochs, of neither
                # orders nor requests.
                int(port) % 3 != 0,
                float(service_time_ms),
                arguments.archive_bytes,
                record_file,
                time.time_ns(),
                cold_s=arguments.cold_s,
            )
        )
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    tasks = [asyncio.create_task(run_upstream(upstream)) for upstream in upstreams]
    await stopping.wait()
    if arguments.leave_s:
        await asyncio.gather(*(_leave(upstream) for upstream in upstreams))
        await asyncio.sleep(arguments.leave_s)
    for task in tasks:
        task.cancel()


async def _leave(upstream: StandIn) -> None:
    headers = {"Authorization": f"Bearer {upstream.token}"}
    async with aiohttp.ClientSession(headers=headers) as http:
        upstream.record("leave")
        await call_control(upstream, http, "leave")


def main() -> None:
    """Run stand-ins from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--data-centre", required=True)
    parser.add_argument(
        "--controls", required=True, help="control addresses, separated by commas"
    )
    parser.add_argument("--token", required=True)
    parser.add_argument(
        "--records", required=True, help="file for the records of orders and runs"
    )
    parser.add_argument("--archive-bytes", type=int, default=1 << 20)
    parser.add_argument("--cold-s", type=float, default=0.0, help="warm-up time in s")
    parser.add_argument(
        "--leave-s",
        type=float,
        default=0.0,
        help="time in s that the stand-ins still serve after SIGTERM",
    )
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
