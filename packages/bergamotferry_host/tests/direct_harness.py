"""Test harness: a host in direct mode, scripted upstreams, and a caller."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import aiohttp
from aiohttp import web
from steady_time import run_steadily

from bergamotferry.configuration import (
    CallerLimits,
    Configuration,
    DirectRoute,
    DirectService,
    WeightedService,
)
from bergamotferry.upstream_load import (
    UpstreamLoad,
)
from bergamotferry.upstream_sessions import SessionRow
from bergamotferry_host.clock import now_ns
from bergamotferry_host.direct_call import open_direct_session
from bergamotferry_host.direct_host import DirectHost, Upstream
from bergamotferry_host.direct_request import answer_request
from bergamotferry_host.fleet_settings import FleetSettings
from bergamotferry_host.fleet_start import (
    HEAD_MAX_BYTES,
    N_HEAD_LINES_MAX,
    direct_limits,
)
from bergamotferry_host.http_edge import edge_runner
from bergamotferry_host.peer_link import PeerHandlers
from bergamotferry_host.peer_network import PeerNetwork

SETTINGS = FleetSettings(
    name="127.0.0.1",
    label="h",
    data_centre="a",
    region="north",
    regions={"a": "north", "b": "south"},
    peer_port=1,
    seeds=("127.0.0.1",),
)
HEADER_NAMES = SETTINGS.headers
Behaviour = Callable[[web.Request], Awaitable[web.StreamResponse]]


def route(kind="safe", **changes) -> DirectRoute:
    direct_route = DirectRoute(
        kind,
        "a.example",
        f"/{kind}/",
        kind,
        400,
        300,
        1,
        2,
        (WeightedService("lamps", 1),),
        (),
    )
    return direct_route._replace(**changes)


async def served(request: web.Request) -> web.StreamResponse:
    headers = {
        HEADER_NAMES.request_id: request.headers[HEADER_NAMES.request_id],
        HEADER_NAMES.seal: "s",
    }
    return web.Response(text="whole", headers=headers)


async def failed(request: web.Request) -> web.StreamResponse:
    headers = {
        HEADER_NAMES.request_id: request.headers[HEADER_NAMES.request_id],
        HEADER_NAMES.seal: "s",
    }
    return web.Response(status=500, headers=headers)


def refusal(request: web.Request, status: int, load="") -> web.Response:
    """Return the answer of an upstream that did not run a request."""
    headers = {
        HEADER_NAMES.request_id: request.headers[HEADER_NAMES.request_id],
        HEADER_NAMES.not_run: "1",
    }
    if load:
        headers[HEADER_NAMES.load] = load
    return web.Response(status=status, headers=headers)


async def full(request: web.Request) -> web.StreamResponse:
    return refusal(request, 503)


async def reset(request: web.Request) -> web.StreamResponse:
    request.transport.abort()
    return web.Response()


async def slow(request: web.Request) -> web.StreamResponse:
    await asyncio.sleep(1)
    return await served(request)


async def not_held(request: web.Request) -> web.StreamResponse:
    return refusal(request, 421)


class DirectHarness:
    """A host with scripted upstreams, and a record of the requests that they received.

    ``sends`` lists the upstream and the request id of each send. ``cold_left_ms``,
    ``loads`` and ``health_delay_s`` set, by upstream, what load probes report and how
    long they take. ``cancelled`` lists the upstreams whose request was cancelled.
    ``ended_ns`` is when the scenario ended, by the clock of the harness.
    """

    def __init__(self) -> None:
        network = PeerNetwork("h", "t", {}, PeerHandlers(None, None, None))
        self.host = DirectHost(SETTINGS, network, lambda source: [])
        self.sends: list[tuple[str, str]] = []
        self.cold_left_ms: dict[str, int] = {}
        self.health_delay_s: dict[str, float] = {}
        self.loads: dict[str, str] = {}
        self.cancelled: list[str] = []
        self.stack = contextlib.AsyncExitStack()
        self.url = ""
        self.runner: web.AppRunner | None = None
        self.ended_ns = 0

    async def __aenter__(self):
        http = await self.stack.enter_async_context(open_direct_session(HEADER_NAMES))

        async def on_request(request):
            return await answer_request(self.host, http, request)

        app = web.Application()
        app.router.add_route("*", "/{path:.*}", on_request)
        self.runner = edge_runner(
            app,
            direct_limits(50),
            0.1,
            lambda: self.host.is_stopping,
            self.host.memory,
        )
        self.url = await self.listen(self.runner)
        self.http = await self.stack.enter_async_context(aiohttp.ClientSession())
        return self

    async def __aexit__(self, *error):
        await self.stack.aclose()

    async def listen(self, runner) -> str:
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self.stack.push_async_callback(runner.cleanup)
        return f"127.0.0.1:{runner.addresses[0][1]}"

    def configure(self, *routes: DirectRoute, is_sharded=False) -> None:
        service = DirectService("lamps", "/health", 9, 3.0, 3.0, is_sharded, 0.0)
        self.host.configuration = Configuration.from_rows(
            1, routes, [service], CallerLimits()
        )

    async def add(self, name: str, behaviour: Behaviour, data_centre="a") -> None:
        async def on_request(request):
            if request.path == "/health":
                await asyncio.sleep(self.health_delay_s.get(name, 0.0))
                load = self.loads.get(name, "0,0,2,100")
                headers = {HEADER_NAMES.upstream: name, HEADER_NAMES.load: load}
                if name in self.cold_left_ms:
                    headers[HEADER_NAMES.cold_left_ms] = str(self.cold_left_ms[name])
                return web.Response(headers=headers)
            self.sends.append((name, request.headers[HEADER_NAMES.request_id]))
            try:
                return await behaviour(request)
            except asyncio.CancelledError:
                self.cancelled.append(name)
                raise

        app = web.Application()
        app.router.add_route("*", "/{path:.*}", on_request)
        # The upstream itself takes any head.
        runner = web.AppRunner(
            app,
            handler_cancellation=True,
            shutdown_timeout=0.1,
            max_field_size=HEAD_MAX_BYTES,
            max_headers=N_HEAD_LINES_MAX,
        )
        self.add_at(name, await self.listen(runner), data_centre)

    def add_at(self, name: str, address: str, data_centre="a") -> None:
        """Add an upstream as heartbeats report it; nothing needs to listen there."""
        session = SessionRow(name, 1, 1, "lamps", address, data_centre, 2, "ready", 0)
        upstream = Upstream(session, UpstreamLoad(2))
        # Upstreams added earlier are faster, so that the first one is chosen first.
        upstream.load.relative_work_time = 0.2 + 0.2 * len(self.host.upstreams)
        self.host.upstreams[name] = upstream
        self.host.ready_by_service.setdefault("lamps", []).append(upstream)

    async def send_request(self, path: str, request_id="r1", **headers):
        async with self.http.post(
            f"http://{self.url}{path}",
            headers={
                "Host": "a.example",
                HEADER_NAMES.request_id: request_id,
                **headers,
            },
            data=b"body",
        ) as answer:
            return answer, await answer.text()


def run_with_harness(
    scenario: Callable[[DirectHarness], Awaitable[None]],
) -> DirectHarness:
    """Run a test's coroutine with a harness, and return the harness.

    Its clock does not count standstills of the process.
    """

    harnesses: list[DirectHarness] = []

    async def run():
        async with DirectHarness() as harness:
            harnesses.append(harness)
            # The retry budget grows after a host's start, so the host is made to look
            # as if it had run for 60 seconds.
            harness.host.began_ns -= 60_000_000_000
            await scenario(harness)
            harness.ended_ns = now_ns()

    run_steadily(run())
    return harnesses[0]
