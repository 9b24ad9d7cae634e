"""An answer whose status is none is no answer, for every reader of an upstream's head.

Guards against a caller that gets a status such as 000 as its answer, and against a
request that may have run and is taken for one that has not.
"""

import asyncio
from types import SimpleNamespace

import pytest
from direct_harness import HEADER_NAMES, DirectHarness, route, run_with_harness, served
from raw_server import raw_server
from request_fakes import (
    ANSWERS,
    RecordingSink,
    ScriptedUpstream,
    add_work,
    make_head,
    make_request,
    make_state,
)
from test_not_run_by_dispatcher import FakeStream
from test_not_run_promise import raw_answer

from bergamotferry.fleet_messages import FetchedHead
from bergamotferry.fleet_tables import KeyRange
from bergamotferry.messages import ResponseHead
from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import ResultCode as Code
from bergamotferry_host import fetch_call, load_probes, request_path
from bergamotferry_host.direct_call import DirectSend, open_direct_session, send_direct
from bergamotferry_host.exchange import RequestBody, Served
from bergamotferry_host.range_calls import (
    RangeCallNames,
    call_grant,
    open_range_session,
)
from bergamotferry_host.upstream_call import send_to_upstream

STATUSES_THAT_ARE_NONE = ("000", "001", "099", "101", "600", "999")
STATUSES = ("200", "299", "404", "500", "599")
BODY = b"data"


def head_bytes(status: str, *lines: str) -> bytes:
    head = [f"HTTP/1.1 {status} Any", f"Content-Length: {len(BODY)}", *lines]
    return "\r\n".join([*head, "", ""]).encode()


async def send_to_raw(status: str, *lines: str):
    """Return the outcome of a send to an upstream that answers with a status."""
    marks = (f"{HEADER_NAMES.request_id}: r1", f"{HEADER_NAMES.seal}: s")

    async def on_connection(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head_bytes(status, *marks, *lines) + BODY)

    async with (
        raw_server(on_connection) as address,
        open_direct_session(HEADER_NAMES) as http,
    ):
        send = DirectSend("GET", "/safe/1", address, "u1", "r1", {}, b"", 2_000.0)
        return await send_direct(http, HEADER_NAMES, send)


@pytest.mark.parametrize("status", STATUSES_THAT_ARE_NONE)
@pytest.mark.parametrize("lines", [(), (f"{HEADER_NAMES.not_run}: 1",)])
def test_direct_send_has_no_answer_and_may_have_run(status, lines):
    outcome = asyncio.run(send_to_raw(status, *lines))
    assert (outcome.result, outcome.status) == ("broken", 0)


@pytest.mark.parametrize("status", STATUSES)
def test_direct_send_is_answered_with_any_proper_status(status):
    outcome = asyncio.run(send_to_raw(status))
    assert (outcome.result, outcome.status) == ("answered", int(status))


@pytest.mark.parametrize("status", STATUSES_THAT_ARE_NONE)
@pytest.mark.parametrize(("kind", "expected"), [("safe", 200), ("unsafe", 502)])
def test_caller_never_gets_a_status_that_is_none(status, kind, expected):
    marks = f"{HEADER_NAMES.request_id}: ID", f"{HEADER_NAMES.seal}: s"

    async def scenario(harness):
        harness.configure(route(kind))
        await harness.add("u1", raw_answer(head_bytes(status, *marks) + BODY))
        await harness.add("u2", served)
        answer, _ = await harness.send_request(f"/{kind}/1")
        assert answer.status == expected

    n_sends = len(run_with_harness(scenario).sends)
    assert n_sends == (2 if kind == "safe" else 1)


@pytest.mark.parametrize("status", STATUSES_THAT_ARE_NONE)
def test_load_probe_counts_as_failed(status):
    async def on_connection(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        marks = f"{HEADER_NAMES.upstream}: u", f"{HEADER_NAMES.load}: 0,0,2,100"
        writer.write(head_bytes(status, *marks) + BODY)

    async def run():
        async with raw_server(on_connection) as address, DirectHarness() as harness:
            harness.configure(route())
            harness.add_at("u", address)
            async with open_direct_session(HEADER_NAMES) as http:
                service = harness.host.configuration.services["lamps"]
                upstream = harness.host.upstreams["u"]
                await load_probes.probe_loads(harness.host, http, service, [upstream])
                if upstream.probe_task is not None:
                    await upstream.probe_task
            return upstream.load

    load = asyncio.run(run())
    assert load.reported_ns == 0
    assert load.failure_share > 0


@pytest.mark.parametrize("status", STATUSES_THAT_ARE_NONE)
def test_grant_is_neither_taken_nor_refused(status):
    async def on_connection(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head_bytes(status, f"{HEADER_NAMES.not_run}: 1") + BODY)

    async def run():
        async with raw_server(on_connection) as address, open_range_session() as http:
            row = KeyRange("lamps", 0, 9, "u", 1, address, 7, "")
            return await call_grant(http, RangeCallNames(), row, 4_000, HEADER_NAMES)

    assert asyncio.run(run()).result == "unsure"


@pytest.mark.parametrize("status", STATUSES_THAT_ARE_NONE)
@pytest.mark.parametrize(
    ("route_name", "method", "code"),
    [
        ("lookup", "GET", Code.UPSTREAM_FAILED),
        ("filing", "POST", Code.OUTCOME_UNKNOWN),
    ],
)
@pytest.mark.parametrize("mark", ["", "Bergamotferry-Not-Started: true\r\n"])
def test_dispatcher_relays_no_such_answer(
    status, route_name, method, code, mark, monkeypatch
):
    text = f"HTTP/1.1 {status} Any\r\n{mark}Content-Length: 4\r\n\r\ndata"
    monkeypatch.setitem(ANSWERS, "no status", text.encode())

    async def run():
        async with ScriptedUpstream("no status") as upstream:
            add_work(upstream)
            request = make_request(upstream.state, make_head(route_name, method))
            sink = RecordingSink()
            return await send_to_upstream(upstream.state, request, sink), sink

    outcome, sink = asyncio.run(run())
    assert isinstance(outcome, Refused)
    assert (outcome.code, sink.response) == (code, None)


@pytest.mark.parametrize("status", [0, 99, 101, 600, 999])
def test_answer_that_another_host_fetched_is_broken(status):
    """Guards against a control host of a version that does not check."""

    class FetchStream(FakeStream):
        def __aiter__(self):
            return self

        async def __anext__(self):
            raise StopAsyncIteration

    head = FetchedHead("answered", "", status, (), 0, None, 0, False, 1.0)

    async def open_stream(*_, **__):
        return FetchStream(head)

    async def scenario(harness):
        harness.host.network = SimpleNamespace(open_stream=open_stream)
        send = DirectSend("GET", "/safe/1", "127.0.0.1:1", "u1", "r1", {}, b"", 500.0)
        outcome = await fetch_call.fetch_answer(harness.host, "c", send, 0.0)
        assert (outcome.result, outcome.status) == ("broken", 0)

    run_with_harness(scenario)


@pytest.mark.parametrize("status", [99, 101, 600, 999])
def test_answer_that_another_host_relays_is_broken(status):
    frame = ResponseHead(0, "", status, (), "h2", 1, False)

    class EndedStream(FakeStream):
        async def receive(self):
            return None

    async def run():
        async def open_stream(*_):
            return EndedStream(frame)

        state = make_state()
        state.network.open_stream = open_stream
        body, sink = RequestBody.empty(), RecordingSink()
        head = make_head("lookup", "GET")
        return await request_path._forward(state, "h2", head, body, sink), sink

    outcome, sink = asyncio.run(run())
    assert not isinstance(outcome, Served)
    assert (outcome.code, sink.response) == (Code.ANSWER_BROKEN, None)
