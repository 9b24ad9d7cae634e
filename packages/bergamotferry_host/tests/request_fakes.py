"""Fakes for tests of the request path: a host's state and a faulty upstream.

The state has real tables and no network. The upstream listens on a real socket.
"""

import asyncio
import random
from types import SimpleNamespace

from bergamotferry.admission import UpstreamQueue
from bergamotferry.data_centre_tables import DataCentreTables, apply_data_centre_command
from bergamotferry.global_tables import GlobalTables
from bergamotferry.messages import (
    Member,
    Membership,
    Propose,
    ProposeReply,
    RequestHead,
    ResponseHead,
)
from bergamotferry.outcomes import Accepted
from bergamotferry.records import (
    DataCentre,
    Dispatcher,
    Grant,
    Route,
    ShardHome,
    ShardId,
    UpstreamSession,
)
from bergamotferry.replication import Replica
from bergamotferry.slow_start import SlowStart
from bergamotferry_host import dispatch
from bergamotferry_host.clock import now_ns
from bergamotferry_host.dispatcher_table import DispatcherTable, UpstreamWork
from bergamotferry_host.exchange import RequestBody, UpstreamRequest
from bergamotferry_host.group_state import Group
from bergamotferry_host.metrics import NoMetrics
from bergamotferry_host.upstream_call import check_owner, open_upstream_client

SHARD = ShardId("testlog", "", 7)
HEAD_END = b"\r\n\r\n"
ID_NAME = b"Bergamotferry-Request-Id: "


class FakeNetwork:
    """Applies proposals at once; ``faults`` lists the faults of the next proposals.

    A fault of ``"lost"`` drops the proposal. ``"reply lost"`` applies the proposal
    and loses the reply, and an empty string is no fault.
    """

    def __init__(self):
        self.tables = DataCentreTables(last_epoch=9)
        self.faults = []
        self.commands = []

    async def call(self, host, message, timeout_s):
        assert isinstance(message, Propose)
        self.commands.append(message.command)
        fault = self.faults.pop(0) if self.faults else ""
        outcome = None
        if fault != "lost":
            outcome = apply_data_centre_command(self.tables, message.command)
        if fault:
            return ProposeReply(1107, "no leader", 0, "")
        if isinstance(outcome, Accepted):
            return ProposeReply(0, "", outcome.revision, "")
        return ProposeReply(outcome.code, outcome.detail, 0, "")


def make_state(address="127.0.0.1:1"):
    network = FakeNetwork()
    tables = network.tables
    tables.sessions["u1"] = UpstreamSession(
        "u1", "testlog", address, 1, 2, 130, True, "serving"
    )
    tables.grants[SHARD] = Grant(SHARD, "u1", 1, 5, "held")
    tables.dispatchers["u1"] = Dispatcher("u1", "h1", 6, "serving")
    routes = {
        f"testlog/{name}": make_route(name, method, is_idempotent, traffic_class)
        for name, method, is_idempotent, traffic_class in (
            ("lookup", "GET", True, "lookup"),
            ("store", "PUT", True, "lookup"),
            ("filing", "POST", False, "filing"),
            ("replace", "PUT", False, "filing"),
            ("archive", "GET", True, "bulk"),
        )
    }
    own_member = Member("h1", "1", False)
    replica = Replica("dc", own_member, Membership((), ()), random.Random(0))
    return SimpleNamespace(
        host=SimpleNamespace(name="h1", data_centre="a"),
        has_host_lease=True,
        is_refusing_requests=False,
        is_caught_up=True,
        own_tables=tables,
        own_group=Group(
            "dc", tables, apply_data_centre_command, network, ["h1"], replica
        ),
        global_tables=GlobalTables(
            data_centres={"a": DataCentre("a", "north", "in")},
            routes=routes,
            shard_homes={SHARD: ShardHome("a", 1, "")},
        ),
        dispatchers=DispatcherTable(),
        network=network,
        metrics=NoMetrics(),
    )


def make_route(name, method, is_idempotent, traffic_class):
    return Route("testlog", name, method, is_idempotent, traffic_class, 3000, 1 << 20)


def make_head(route="lookup", method="GET", key="k", idempotency_key="", **changes):
    head = RequestHead(
        "r1", "acc", "testlog", route, key, SHARD, method, 2000, idempotency_key,
        "", "", "", 1, 1,
    )  # fmt: skip
    return head._replace(**changes)


def make_request(state, head, content=None):
    route = state.global_tables.routes[f"testlog/{head.route}"]
    deadline_ns = now_ns() + head.deadline_ms * 1_000_000
    owner = check_owner(state, SHARD)
    body = RequestBody.empty()
    return UpstreamRequest(owner, route, head, body, deadline_ns, deadline_ns, content)


class RecordingSink:
    """A sink that stores the answer it receives."""

    def __init__(self):
        self.response: ResponseHead | None = None
        self.body = b""
        self.is_ended = False

    async def head(self, head):
        self.response = head

    async def data(self, data):
        self.body += data

    async def end(self):
        self.is_ended = True


# Much longer than any answer takes, even on a busy machine.
LATE_S = 0.3


class ScriptedUpstream:
    """An upstream that answers each request with the next action of a script.

    The last action is repeated. ``ANSWERS`` lists the answers; "close" after one closes
    the connection, "twice" repeats it, "late" before one delays it. "silent" never
    answers, "reset" aborts the connection, and "end" stops listening as well.

    With ``is_echoing`` an answer bears the id of its request, or ``own_id`` if that is
    not empty.
    """

    def __init__(self, *script, is_echoing=True, own_id=b""):
        self.script = list(script)
        self.is_echoing = is_echoing
        self.own_id = own_id
        self.requests = []
        self.writers = []

    async def __aenter__(self):
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=1 << 20
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.state = make_state(self.address)
        self.state.dispatchers.kept_http = open_upstream_client()
        self.state.dispatchers.fresh_http = open_upstream_client(is_fresh=True)
        return self

    async def __aexit__(self, *_):
        await self.state.dispatchers.kept_http.close()
        await self.state.dispatchers.fresh_http.close()
        self.server.close()
        for writer in self.writers:
            writer.close()

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        while True:
            try:
                head = await read_request(reader)
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()
                return
            self.requests.append(head)
            action = self.script.pop(0) if len(self.script) > 1 else self.script[0]
            if action.startswith("late "):
                await asyncio.sleep(LATE_S)
                action = action.removeprefix("late ")
            if action == "end":
                self.server.close()
            if action in ("reset", "end"):
                writer.transport.abort()
                return
            if action == "silent":
                continue
            is_closing = action.endswith("close")
            is_twice = action.endswith("twice")
            answer = self.answer(
                action.removesuffix(" close").removesuffix(" twice"), head
            )
            writer.write(answer * (1 + is_twice))
            await writer.drain()
            if is_closing:
                writer.close()
                return

    def answer(self, name, head):
        """Return the bytes of an answer to the request with the given head."""
        status_line, _, rest = ANSWERS[name].partition(b"\r\n")
        request_id = self.own_id or head.partition(ID_NAME)[2].partition(b"\r\n")[0]
        id_line = ID_NAME + request_id + b"\r\n" if self.is_echoing else b""
        return status_line + b"\r\n" + id_line + rest


def add_work(upstream):
    """Let the host dispatch to an upstream, which has confirmed its grant."""
    session = upstream.state.own_tables.sessions["u1"]
    work = UpstreamWork(session, 6, UpstreamQueue(2, SlowStart(0, is_enabled=False)))
    work.confirmed[SHARD] = 5
    upstream.state.dispatchers.work_by_upstream["u1"] = work
    return work


def start(upstream, head, sink=None):
    """Start to dispatch a request, and return the task of its outcome."""
    body = RequestBody.empty()
    coroutine = dispatch.dispatch_here(
        upstream.state, head, body, sink or RecordingSink()
    )
    return asyncio.create_task(coroutine)


async def wait_until(is_true):
    for _ in range(500):
        if is_true():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition did not hold within 5 s")


async def read_request(reader):
    """Return the head of a request, and drop its body if that is in chunks."""
    head = await reader.readuntil(HEAD_END)
    if b"chunked" in head:
        await reader.readuntil(b"0\r\n\r\n")
    return head


ANSWERS = {
    "own 503": b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
    "own 429": b"HTTP/1.1 429 Busy\r\nContent-Length: 0\r\n\r\n",
    "own 408": b"HTTP/1.1 408 Slow\r\nContent-Length: 0\r\n\r\n",
    "own 421": b"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n",
    "own 409": b"HTTP/1.1 409 Other\r\nContent-Length: 0\r\n\r\n",
    "started": (
        b"HTTP/1.1 503 Busy\r\nBergamotferry-Not-Started: false\r\n"
        b"Content-Length: 0\r\n\r\n"
    ),
    "short shed": (
        b"HTTP/1.1 503 Busy\r\nBergamotferry-Not-Started: true\r\n"
        b"Content-Length: 9\r\n\r\nshe"
    ),
    "odd type": b"HTTP/1.1 200 OK\r\nContent-Type: caf\xe9\r\n"
    b"Content-Length: 4\r\n\r\ndata",
    "whole": b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndata",
    "short": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndata",
    "no length": b"HTTP/1.1 200 OK\r\n\r\ndata",
    "half chunk": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata",
    "cut head": b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n",
    "cut head of chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
    "cut head without length": b"HTTP/1.1 200 OK\r\nETag: 1\r\n",
    "cut shed": b"HTTP/1.1 503 Busy\r\nBergamotferry-Not-Started: true\r\n",
    "missing": b"HTTP/1.1 404 None\r\nContent-Length: 4\r\n\r\nnone",
    "shed": (
        b"HTTP/1.1 503 Busy\r\nBergamotferry-Not-Started: true\r\n"
        b"Content-Length: 0\r\n\r\n"
    ),
    "stale": (
        b"HTTP/1.1 409 Stale\r\nBergamotferry-Not-Started: true\r\n"
        b"Content-Length: 0\r\n\r\n"
    ),
}
