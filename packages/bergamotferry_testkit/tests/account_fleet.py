"""A deployment of the platform's programs with client accounts, for tests.

Three control hosts (cores), entry hosts (edges), one upstream that records what it
runs, and callers. The last edge reaches the cores through a proxy, which can cut it off
and hold back what is on its way.
"""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import NamedTuple

import aiohttp
from aiohttp import web
from claimed_network import claim_network
from platform_fleet import (
    CONTROL_PORT,
    FRONT_PORT,
    PEER_PORT,
    Fleet,
    heartbeat,
    manifest,
    not_run_answer,
    resend_until_200,
    route,
    served_answer,
    serving,
)

PROXY_PORT = 17_740
START_TIMEOUT_S = 20.0
HEARTBEAT_S = 0.3
READ_BYTES = 65_536
ANONYMOUS_PATH, KEYED_PATH = "/open/1", "/keyed/1"


class Run(NamedTuple):
    """A request that the upstream ran."""

    request_id: str
    ran_s: float
    account: str
    has_key: bool


class Answer(NamedTuple):
    """What a caller got; ``request_id`` names the request."""

    request_id: str
    edge: str
    sent_s: float
    status: int
    headers: dict[str, str]
    text: str


def tenant(name: str, *keys: str, **spec: object) -> dict[str, object]:
    """Return the entry of an account in a manifest."""
    return {
        "resource-kind": "tenants",
        "metadata": {"name": name},
        "spec": {"api-keys": list(keys), **spec},
    }


class CutProxy:
    """Relays connections to one address; while cut, it holds back all bytes."""

    def __init__(self, ip: str) -> None:
        self.ip = ip
        self.is_open = asyncio.Event()
        self.is_open.set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._relay, self.ip, PROXY_PORT)

    async def stop(self) -> None:
        assert self.server is not None
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        with contextlib.suppress(OSError):
            onward = await asyncio.open_connection(self.ip, PEER_PORT)
            await asyncio.gather(
                self._copy(reader, onward[1]), self._copy(onward[0], writer)
            )

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                await self.is_open.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


class AccountFleet:
    """The processes, the upstream's records and the callers' answers of one test."""

    def __init__(self, tmp_path: Path, n_edges: int, more_bounds: str) -> None:
        self.network = claim_network()
        self.cores = [f"{self.network}.{number}.1" for number in (1, 2, 3)]
        self.edges = [f"{self.network}.{n % 3 + 1}.{9 + n}" for n in range(n_edges)]
        self.cut_edge = self.edges[-1]
        self.fleet = Fleet(
            tmp_path,
            self.cores,
            self.edges,
            more_bounds=more_bounds,
            peer_ports={self.cut_edge: PROXY_PORT},
        )
        self.proxies = [CutProxy(core) for core in self.cores]
        self.runs: list[Run] = []
        self.answers: list[Answer] = []
        # The key of each request, by its id.
        self.keys: dict[str, str] = {}
        self.address = f"{self.network}.1.99:18099"
        self.http: aiohttp.ClientSession | None = None

    def set_cut(self, is_cut: bool) -> None:
        """Cut the last edge off from all cores, or end that."""
        for proxy in self.proxies:
            if is_cut:
                proxy.is_open.clear()
            else:
                proxy.is_open.set()

    async def run_request(self, request: web.Request) -> web.Response:
        if request.path == "/health":
            headers = {"X-Instance-Id": "i-1", "X-Server-Load": "0,0,50,100"}
            return web.Response(headers=headers)
        if request.headers.get("X-Expected-Instance") != "i-1":
            return not_run_answer(request)
        run = Run(
            request.headers["X-Request-Id"],
            time.monotonic(),
            request.headers.get("X-Tenant-Id", ""),
            "Authorization" in request.headers,
        )
        self.runs.append(run)
        return served_answer(request)

    async def send_heartbeats(self) -> None:
        assert self.http is not None
        for sequence in range(1, 1_000_000):
            core = self.cores[sequence % len(self.cores)]
            url = f"http://{core}:{CONTROL_PORT}/api/instances/i-1"
            body = heartbeat(sequence, address=self.address, n_slots=50)
            with contextlib.suppress(TimeoutError, aiohttp.ClientError, OSError):
                async with asyncio.timeout(0.5):
                    await self.http.put(url, json=body)
            await asyncio.sleep(HEARTBEAT_S)

    async def configure(self, version: int, *tenants: dict[str, object]) -> float:
        """Put a configuration in force; return when it was acknowledged."""
        open_route = {**route("/open/", "safe"), "allow-anonymous": True}
        content = manifest(version, route("/keyed/", "safe"), open_route)
        content["resources"] += list(tenants)
        url = f"http://{self.cores[version % 3]}:{CONTROL_PORT}/api/config"
        assert self.http is not None
        await resend_until_200(self.http, "PUT", url, json=content)
        return time.monotonic()

    async def send(
        self, edge: str, key: str = "", path: str = KEYED_PATH, timeout_s: float = 20.0
    ) -> Answer:
        """Send a request and return its answer; status 0 if there was none."""
        assert self.http is not None
        request_id = f"r{len(self.keys)}"
        self.keys[request_id] = key
        headers = {"Host": "one.example", "X-Request-Id": request_id}
        if key:
            headers["Authorization"] = f"Bearer {key}"
        sent_s = time.monotonic()
        try:
            async with self.http.get(
                f"http://{edge}:{FRONT_PORT}{path}",
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                text = await response.text()
                answer = Answer(
                    request_id,
                    edge,
                    sent_s,
                    response.status,
                    dict(response.headers),
                    text,
                )
        except (aiohttp.ClientError, OSError):
            answer = Answer(request_id, edge, sent_s, 0, {}, "")
        self.answers.append(answer)
        return answer

    async def wait_for(self, status: int, edge: str, key: str = "") -> float:
        """Send a request until it gets a status; return how long that took."""
        began_s = time.monotonic()
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                answer = await self.send(edge, key)
                if answer.status == status:
                    return time.monotonic() - began_s
                await asyncio.sleep(0.05)

    def logs(self) -> str:
        """Return what all processes have written."""
        paths = [self.fleet.log_path(ip) for ip in [*self.cores, *self.edges]]
        return "".join(path.read_text() for path in paths)


@contextlib.asynccontextmanager
async def running_accounts(
    tmp_path: Path, n_edges: int, more_bounds: str
) -> AsyncIterator[AccountFleet]:
    """Run a deployment with accounts; all processes end with the context."""
    deployment = AccountFleet(tmp_path, n_edges, more_bounds)
    async with contextlib.AsyncExitStack() as stack:
        connector = aiohttp.TCPConnector(limit=0)
        http = aiohttp.ClientSession(connector=connector)
        deployment.http = await stack.enter_async_context(http)
        await stack.enter_async_context(
            serving(deployment.address, deployment.run_request)
        )
        for proxy in deployment.proxies:
            await proxy.start()
            stack.push_async_callback(proxy.stop)
        heartbeats = asyncio.create_task(deployment.send_heartbeats())
        stack.callback(heartbeats.cancel)
        stack.push_async_callback(deployment.fleet.end_hosts)
        await deployment.fleet.start_hosts()
        yield deployment
