"""Fixtures: a small host state without peers, and HTTP servers for it on loopback."""

import asyncio
import hashlib
import json
from contextlib import asynccontextmanager

import pytest
from aiohttp import web

from bergamotferry.commands import ApplyNote
from bergamotferry.global_tables import (
    GlobalTables,
    all_shards,
    apply_global_command,
)
from bergamotferry.messages import ResponseHead
from bergamotferry.outcomes import Accepted
from bergamotferry.records import ShardHome
from bergamotferry_host import caller_edge
from bergamotferry_host.dispatcher_table import DispatcherTable
from bergamotferry_host.edge_connection import EdgeLimits
from bergamotferry_host.exchange import Served
from bergamotferry_host.group_start import start_group
from bergamotferry_host.host_state import HostState
from bergamotferry_host.http_edge import edge_runner
from bergamotferry_host.metrics import NoMetrics
from bergamotferry_host.operator_edge import add_operator_routes
from bergamotferry_host.peer_link import PeerHandlers
from bergamotferry_host.peer_network import PeerNetwork
from bergamotferry_host.settings import read_settings
from bergamotferry_host.upstream_edge import add_upstream_routes

CALLER_TOKEN = "token-of-a-caller"
SETTINGS = [
    "--host-name=a-1",
    "--seeds=a-1,a,north,127.0.0.1:9",
    "--operator-token=operator-token-16",
    "--upstream-token=upstream-token-16",
    "--peer-token=peer-token-of-16",
]
ROUTE = {"service": "log", "deadline_ms": 2000}
NOTE = {
    "number": 1,
    "based_on": 0,
    "added": {
        "data_centres": [
            {"name": "a", "region": "north"},
            {"name": "b", "region": "south"},
        ],
        "services": [{"name": "log", "n_shards": 4}, {"name": "other", "n_shards": 1}],
        "routes": [
            {**ROUTE, "name": "read"},
            {**ROUTE, "name": "slow"},
            {**ROUTE, "name": "store", "method": "PUT", "max_body_bytes": 200_000},
            {
                **ROUTE,
                "name": "file",
                "method": "POST",
                "is_idempotent": False,
                "max_body_bytes": 100,
            },
            {**ROUTE, "service": "other", "name": "read"},
        ],
        "accounts": [
            {
                "name": "ann",
                "token_sha256": hashlib.sha256(CALLER_TOKEN.encode()).hexdigest(),
                "services": ["log"],
                "max_in_flight": 3,
            }
        ],
        "home_regions": [
            {
                "name": "south-home",
                "service": "log",
                "key_prefix": "south-",
                "regions": ["south"],
            },
            {
                "name": "north-home",
                "service": "log",
                "key_prefix": "north-",
                "regions": ["north"],
            },
        ],
    },
}


@pytest.fixture
def state():
    settings, errors = read_settings(SETTINGS, {})
    assert errors == []
    network = PeerNetwork.from_config(
        settings.host, settings.seeds, settings.peer_token, PeerHandlers(*[None] * 3)
    )
    tables = GlobalTables()
    note = ApplyNote(1, 0, json.dumps(NOTE))
    assert apply_global_command(tables, note) == Accepted(1)
    for shard in all_shards(tables):
        home = "b" if shard.domain == "south-home" else "a"
        tables.shard_homes[shard] = ShardHome(home, 1, "")
    groups = {
        name: start_group(name, settings.host, settings.seeds, network, None, "1")
        for name in ("global", "dc:a")
    }
    groups["global"].tables = tables
    for group in groups.values():
        group.sources = []
    built_state = HostState(
        settings, "1", network, groups, NoMetrics(), DispatcherTable()
    )
    built_state.is_caught_up = True
    return built_state


class Heads(list):
    """The heads that the request path received.

    ``received_first`` is set when the first head arrives.
    """

    def __init__(self):
        super().__init__()
        self.received_first = asyncio.Event()


@pytest.fixture
def served(monkeypatch):
    """Replace the request path by a fake; return the heads that the fake receives."""
    heads = Heads()

    async def serve(state, is_idempotent, head, body, sink):
        heads.append(head)
        heads.received_first.set()
        content = b"".join([part async for part in body.chunks()])
        if head.route == "slow":
            await asyncio.sleep(head.deadline_ms / 1000)
        await sink.head(ResponseHead(0, "", 200, (), "a-2", 7, False))
        await sink.data(json.dumps([head.key, len(content)]).encode())
        await sink.end()
        return Served(200, 0, "")

    monkeypatch.setattr(caller_edge, "serve_request", serve)
    return heads


@pytest.fixture
def edge(state):
    """Return a context manager that serves the caller API or the control API."""

    @asynccontextmanager
    async def run(limits=EdgeLimits(100), is_control=False):  # noqa: B008
        app = caller_edge.build_caller_app(state)
        if is_control:
            app = web.Application()
            add_operator_routes(app, state)
            add_upstream_routes(app, state)
        runner = edge_runner(app, limits, 0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0, backlog=1024).start()
        try:
            yield runner.addresses[0][1]
        finally:
            await runner.cleanup()

    return run


@pytest.fixture
def exchange():
    """Return a function that sends raw bytes and returns status, code and body."""

    async def send(port, *parts, pause_s=0.0):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for part in parts:
            writer.write(part)
            await asyncio.sleep(pause_s)
        head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)).decode()
        lines = head.split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
        if lines[0].startswith("HTTP/1.1 100"):
            writer.close()
            return 100, None, b""
        body = b""
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif headers.get("transfer-encoding") == "chunked":
            size = int(await reader.readline(), 16)
            body = await reader.readexactly(size)
        writer.close()
        return int(lines[0].split()[1]), int(headers["bergamotferry-code"]), body

    return send
