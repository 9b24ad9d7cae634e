"""The edge for callers: limits, result codes, and isolation between requests."""

import asyncio
import hashlib
import io
import json
import logging
import socket

import pytest
from aiohttp import web
from pythonjsonlogger.json import JsonFormatter

from bergamotferry.messages import ResponseHead
from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import RESULT_CODE_TABLE, ResultCode
from bergamotferry_host import caller_body, caller_edge
from bergamotferry_host.answer_sinks import CountingSink
from bergamotferry_host.decision_log import RequestDecision
from bergamotferry_host.edge_connection import EdgeLimits
from bergamotferry_host.http_edge import edge_runner

TOKEN = "token-of-a-caller"


def raw_request(path, *headers, method="GET", token=TOKEN, body=b""):
    lines = [f"{method} {path} HTTP/1.1", "Host: h"]
    lines += [f"Authorization: Bearer {token}"] if token else []
    return "\r\n".join([*lines, *headers, "", ""]).encode("latin-1") + body


def chunked(*sizes):
    parts = [f"{size:x}\r\n".encode() + b"x" * size + b"\r\n" for size in sizes]
    return b"".join(parts) + b"0\r\n\r\n"


GOOD_REQUEST = raw_request("/v1/log/read/key")
CHUNKED = "Transfer-Encoding: chunked"
FAULTS = [
    ("no token", raw_request("/v1/log/read/k", token=""), "MISSING_TOKEN"),
    ("wrong token", raw_request("/v1/log/read/k", token="no"), "UNKNOWN_TOKEN"),
    ("token outside ASCII", raw_request("/v1/log/read/k", token="\xff"), "BAD_REQUEST"),
    ("service not allowed", raw_request("/v1/other/read/k"), "ACCOUNT_NOT_ALLOWED"),
    ("unknown route", raw_request("/v1/log/none/k"), "UNKNOWN_ROUTE"),
    ("other method", raw_request("/v1/log/read/k", method="POST"), "UNKNOWN_ROUTE"),
    ("other path", raw_request("/favicon.ico"), "UNKNOWN_ROUTE"),
    ("no key", raw_request("/v1/log/read"), "UNKNOWN_ROUTE"),
    ("empty key", raw_request("/v1/log/read/"), "BAD_REQUEST"),
    ("long key", raw_request("/v1/log/read/" + "k" * 513), "BAD_REQUEST"),
    ("dots", raw_request("/v1/log/read/a/../b"), "BAD_REQUEST"),
    ("encoded dots", raw_request("/v1/log/read/%2e%2E"), "BAD_REQUEST"),
    ("control character", raw_request("/v1/log/read/a%00b"), "BAD_REQUEST"),
    ("key outside UTF-8", raw_request("/v1/log/read/%ff"), "BAD_REQUEST"),
    (
        "path that is not encoded",
        raw_request("/v1/log/read/caf\xc3\xa9"),
        "BAD_REQUEST",
    ),
    ("query", raw_request("/v1/log/read/k?page=2"), "BAD_REQUEST"),
    (
        "outside its home region",
        raw_request("/v1/log/read/south-1"),
        "OUTSIDE_HOME_REGION",
    ),
    (
        "long header line",
        raw_request("/v1/log/read/k", "X: " + "x" * 9000),
        "HEADERS_TOO_LARGE",
    ),
    ("long path", raw_request("/v1/log/read/" + "k" * 9000), "HEADERS_TOO_LARGE"),
    (
        "many headers",
        raw_request("/v1/log/read/k", *(f"X{n}: 1" for n in range(99))),
        "HEADERS_TOO_LARGE",
    ),
    ("not HTTP", b"\x16\x03\x01 hello\r\n\r\n", "BAD_REQUEST"),
    (
        "two lengths",
        raw_request("/v1/log/read/k", "Content-Length: 1", CHUNKED, body=b"0\r\n\r\n"),
        "BAD_REQUEST",
    ),
    (
        "bad deadline",
        raw_request("/v1/log/read/k", "Bergamotferry-Deadline-Ms: -1"),
        "BAD_REQUEST",
    ),
    (
        "two idempotency keys",
        raw_request("/v1/log/read/k", "Idempotency-Key: a", "Idempotency-Key: b"),
        "BAD_REQUEST",
    ),
    (
        "no idempotency key",
        raw_request("/v1/log/file/k", method="POST"),
        "MISSING_IDEMPOTENCY_KEY",
    ),
    (
        "compressed body",
        raw_request("/v1/log/store/k", "Content-Encoding: gzip", method="PUT"),
        "BAD_REQUEST",
    ),
    (
        "stated length over the limit",
        raw_request("/v1/log/store/k", "Content-Length: 200001", method="PUT"),
        "BODY_TOO_LARGE",
    ),
    (
        "chunks over a small limit",
        raw_request("/v1/log/file/k", CHUNKED, "Idempotency-Key: 1", method="POST",
            body=chunked(60, 60)),
        "BODY_TOO_LARGE",
    ),
    (
        "body where none is allowed",
        raw_request("/v1/log/read/k", CHUNKED, body=chunked(1)),
        "BODY_TOO_LARGE",
    ),
    (
        "bad chunk",
        raw_request("/v1/log/store/k", CHUNKED, method="PUT", body=b"zz\r\n"),
        "BAD_REQUEST",
    ),
]  # fmt: skip


@pytest.mark.parametrize(("name", "request_bytes", "code"), FAULTS)
def test_fault_gets_its_result_code_and_affects_no_other_request(
    name, request_bytes, code, state, served, edge, exchange
):
    async def scenario():
        async with edge() as port:
            answers = await asyncio.gather(
                exchange(port, request_bytes), exchange(port, GOOD_REQUEST)
            )
            return [*answers, await exchange(port, GOOD_REQUEST)]

    fault_answer, concurrent_answer, answer_after = asyncio.run(scenario())
    expected = ResultCode[code]
    assert fault_answer[:2] == (RESULT_CODE_TABLE[expected].http_status, expected)
    assert (
        json.loads(fault_answer[2])["not_run"] == RESULT_CODE_TABLE[expected].is_not_run
    )
    assert concurrent_answer[:2] == answer_after[:2] == (200, 0)
    if RESULT_CODE_TABLE[expected].is_not_run:
        assert len(served) == 2, "a refused request was forwarded"
    assert state.n_in_flight == 0
    assert not state.in_flight_by_account


KEYS = [
    ("/v1/log/read/a/b", "a/b"),
    ("/v1/log/read/a%2Fb", "a/b"),
    ("/v1/log/read/a//b/", "a//b/"),
    ("/v1/log/read/%C3%A9%20%25%3F%23+", "é %?#+"),
    ("/v1/log/read/...", "..."),
    ("/v1/%6Cog/read/%2541", "%41"),
    ("/v1/log/read/a;b=c&d", "a;b=c&d"),
]


@pytest.mark.parametrize(("path", "key"), KEYS)
def test_key_is_the_percent_decoded_path(path, key, served, edge, exchange):
    async def scenario():
        async with edge() as port:
            return await exchange(port, raw_request(path))

    assert asyncio.run(scenario())[:2] == (200, 0)
    assert [head.key for head in served] == [key]


def test_streamed_body_over_its_limit_gets_body_broken(served, edge):
    head_and_first_chunk = (
        raw_request("/v1/log/store/k", CHUNKED, method="PUT") + chunked(150_000)[:-5]
    )

    async def scenario():
        async with edge() as port:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(head_and_first_chunk)
            await asyncio.wait_for(served.received_first.wait(), 10)
            writer.write(chunked(60_000))
            head = await reader.readuntil(b"\r\n\r\n")
            writer.close()
            return head.decode()

    head = asyncio.run(scenario())
    assert head.startswith("HTTP/1.1 400 ")
    assert f"Bergamotferry-Code: {int(ResultCode.BODY_BROKEN)}\r\n" in head
    assert "Bergamotferry-Not-Run: false\r\n" in head


def test_slow_body_is_refused_and_not_forwarded(served, edge, exchange, monkeypatch):
    monkeypatch.setattr(caller_edge, "begin_body", _begin_body_with_gap(0.05))
    request = raw_request(
        "/v1/log/store/k", "Content-Length: 9", method="PUT", body=b"12"
    )

    async def scenario():
        async with edge() as port:
            return await exchange(port, request)

    assert asyncio.run(scenario())[:2] == (408, ResultCode.SENDER_TOO_SLOW)
    assert served == []


def _begin_body_with_gap(gap_timeout_s):
    async def begin(request, max_bytes, total_timeout_s):
        return await caller_body.begin_body(
            request, max_bytes, total_timeout_s, gap_timeout_s
        )

    return begin


def test_slow_head_times_out_and_idle_connection_stays_open(served, edge, exchange):
    async def scenario():
        async with edge(EdgeLimits(100, header_timeout_s=0.05)) as port:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            slow_answer = await exchange(port, b"GET /v1/log/read/k HTTP/1.1\r\nHo")
            resumed_answer = await exchange(port, GOOD_REQUEST[:9], GOOD_REQUEST[9:])
            writer.write(GOOD_REQUEST)
            status_line = await reader.readline()
            writer.close()
            return slow_answer, resumed_answer, status_line

    slow_answer, resumed_answer, status_line = asyncio.run(scenario())
    assert slow_answer[:2] == (408, ResultCode.SENDER_TOO_SLOW)
    assert resumed_answer[:2] == (200, 0)
    assert status_line == b"HTTP/1.1 200 OK\r\n"


def test_100_continue_is_sent_only_for_an_acceptable_head(served, edge, exchange):
    expect_headers = ("Content-Length: 3", "Expect: 100-continue")
    good_request = raw_request("/v1/log/store/k", *expect_headers, method="PUT")
    bad_request = raw_request("/v1/log/none/k", *expect_headers, method="PUT")

    async def scenario():
        async with edge() as port:
            return await exchange(port, good_request), await exchange(port, bad_request)

    good_answer, bad_answer = asyncio.run(scenario())
    assert good_answer[0] == 100
    assert bad_answer[:2] == (404, ResultCode.UNKNOWN_ROUTE)


def test_requests_in_flight_of_one_account_are_limited(state, served, edge, exchange):
    slow_request = raw_request("/v1/log/slow/k", "Bergamotferry-Deadline-Ms: 300")

    async def scenario():
        async with edge() as port:
            return await asyncio.gather(
                *(exchange(port, slow_request) for _ in range(8))
            )

    codes = sorted(code for _, code, _ in asyncio.run(scenario()))
    assert codes == [0] * 3 + [ResultCode.ACCOUNT_OVER_LIMIT] * 5
    assert not state.in_flight_by_account


def test_connection_over_the_limit_gets_a_refusal(served, edge, exchange):
    async def scenario():
        async with edge(EdgeLimits(3)) as port:
            connections = [
                await asyncio.open_connection("127.0.0.1", port) for _ in range(3)
            ]
            refused_answer = await exchange(port, GOOD_REQUEST)
            connections[0][1].write(GOOD_REQUEST)
            status_line = await connections[0][0].readline()
            for _, writer in connections:
                writer.close()
            await asyncio.sleep(0.05)
            return refused_answer, status_line, await exchange(port, GOOD_REQUEST)

    refused_answer, status_line, answer_after = asyncio.run(scenario())
    assert refused_answer[:2] == (503, ResultCode.TOO_MANY_CONNECTIONS)
    assert status_line == b"HTTP/1.1 200 OK\r\n"
    assert answer_after[:2] == (200, 0)


N_IDLE = 500
N_SLOW = 60
N_SLOW_BODIES = 3
# All lookups, one after another, must finish within the deadline of one lookup's route.
LOOKUP_LIMIT_S = 3.0


def test_idle_and_slow_connections_delay_no_lookup(state, served, edge, exchange):
    n_connections_max = N_IDLE + N_SLOW + 20
    ann = state.global_tables.accounts["ann"]
    digest = hashlib.sha256(b"token-of-bob").hexdigest()
    bob = ann._replace(name="bob", token_sha256=digest)
    state.global_tables.accounts["bob"] = bob
    length_header = "Content-Length: 9"
    partial_request = (
        raw_request(
            "/v1/log/store/k", length_header, method="PUT", token="token-of-bob"
        )
        + b"x"
    )

    async def scenario():
        async with edge(EdgeLimits(n_connections_max, header_timeout_s=30.0)) as port:
            connections = [
                await asyncio.open_connection("127.0.0.1", port)
                for _ in range(N_IDLE + N_SLOW)
            ]
            slow_connections = connections[N_IDLE:]
            for number, (_, writer) in enumerate(slow_connections):
                # A few, of another account, stall in the body and the rest in the head.
                writer.write(
                    partial_request if number < N_SLOW_BODIES else GOOD_REQUEST[:9]
                )
            async with asyncio.timeout(LOOKUP_LIMIT_S):
                statuses = [(await exchange(port, GOOD_REQUEST))[0] for _ in range(20)]
            surplus_connections = [
                await asyncio.open_connection("127.0.0.1", port) for _ in range(40)
            ]
            reads = [reader.read(2048) for reader, _ in surplus_connections[20:]]
            refusals = await asyncio.wait_for(asyncio.gather(*reads), 10)
            n_open = sum(not reader.at_eof() for reader, _ in connections)
            for _, writer in [*connections, *surplus_connections]:
                writer.close()
            return statuses, refusals, n_open

    statuses, refusals, n_open = asyncio.run(scenario())
    assert statuses == [200] * 20
    assert n_open == N_IDLE + N_SLOW
    code = int(ResultCode.TOO_MANY_CONNECTIONS)
    assert all(
        f"Bergamotferry-Code: {code}".encode() in refusal for refusal in refusals
    )


@pytest.mark.parametrize(
    ("fields", "code", "is_serving"),
    [
        ({"is_caught_up": False}, ResultCode.HOST_NOT_READY, False),
        # A stopping host serves until the load balancer has seen that it is not ready.
        ({"is_stopping": True}, ResultCode.HOST_STOPPING, True),
        (
            {"is_stopping": True, "is_refusing_requests": True},
            ResultCode.HOST_STOPPING,
            False,
        ),
    ],
)
def test_host_that_is_not_ready_reports_its_state(
    state, served, edge, exchange, fields, code, is_serving
):
    for field, value in fields.items():
        setattr(state, field, value)

    async def scenario():
        async with edge() as port:
            return await exchange(port, GOOD_REQUEST), await exchange(
                port, raw_request("/ready")
            )

    answer, ready = asyncio.run(scenario())
    assert answer[:2] == ((200, 0) if is_serving else (503, code))
    assert ready[:2] == (503, code)
    assert len(served) == int(is_serving)


def test_log_lines_hold_no_key_or_content(served, edge, exchange):
    marker = "marker"
    requests = [
        raw_request(f"/v1/log/read/north-{marker}"),
        raw_request(f"/v1/log/read/south-{marker}"),
        raw_request(f"/v1/log/{marker}/k"),
        raw_request(f"/v1/{marker}/read/k"),
        raw_request(f"/{marker}"),
        raw_request(f"/v1/log/read/{marker}/.."),
        raw_request(f"/v1/log/read/k?{marker}"),
        raw_request("/v1/log/file/k", f"Idempotency-Key: {marker}", "Content-Length: 6",
            method="POST", body=marker.encode()),
        raw_request("/v1/log/read/k", f"Range: {marker}", f"If-Match: {marker}"),
        raw_request("/v1/log/read/k", token=marker),
    ]  # fmt: skip
    output = io.StringIO()
    handler = logging.StreamHandler(output)
    handler.setFormatter(JsonFormatter("%(message)s"))
    logger = logging.getLogger("bergamotferry")
    logger.addHandler(handler)
    logger.setLevel("INFO")

    async def scenario():
        async with edge() as port:
            for request in requests:
                await exchange(port, request)

    try:
        asyncio.run(scenario())
    finally:
        logger.removeHandler(handler)
    lines = [json.loads(line) for line in output.getvalue().splitlines()]
    assert len([line for line in lines if line["message"] == "routed"]) == len(requests)
    assert marker not in output.getvalue()
    assert (
        lines[0].items()
        >= {
            "account": "ann",
            "route": "log/read",
            "to_data_centre": "a",
            "domain": "north-home",
            "is_home_bound": True,
            "dispatcher": "a-2",
            "epoch": 7,
            "code": 0,
        }.items()
    )


@pytest.mark.parametrize(("n_bytes", "expected"), [(4, None), (2, "CALLER_GONE")])
def test_caller_that_leaves_is_logged_as_served_if_it_had_its_whole_answer(
    edge, monkeypatch, n_bytes, expected
):
    """Guards against a served request that is logged as left by its caller."""
    logged = []

    async def serve(state, is_idempotent, head, body, sink):
        length = (("Content-Length", "4"),)
        await sink.head(ResponseHead(0, "", 200, length, "a-2", 7, False))
        await sink.data(b"body"[:n_bytes])
        await asyncio.sleep(5)

    def log_request(decision, refusal, status, took_ms, metrics):
        logged.append(refusal.code.name if refusal else None)

    monkeypatch.setattr(caller_edge, "serve_request", serve)
    monkeypatch.setattr(caller_edge, "log_request", log_request)

    async def leave_after_the_answer():
        async with edge() as port:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(GOOD_REQUEST)
            await reader.readuntil(b"body"[:n_bytes])
            writer.transport.abort()
            await asyncio.sleep(0.2)

    asyncio.run(leave_after_the_answer())
    assert logged == [expected]


def test_answer_that_breaks_off_is_incomplete_and_leaves_earlier_answers_whole():
    """Guards against a reset that discards an earlier answer on its way.

    The answer that breaks off has no length, so that only its last chunk would make it
    look complete.
    """
    # More than the socket buffers hold, and less than the host writes without a wait.
    earlier = b"e" * 50_000

    async def answer(request):
        if request.path == "/earlier":
            return web.Response(body=earlier)
        sink = CountingSink(caller_edge._CallerSink(request, RequestDecision("r")))
        await sink.head(ResponseHead(0, "", 200, (), "h1", 1, False))
        await sink.data(b"b" * 1_000)
        refusal = Refused(ResultCode.UPSTREAM_FAILED, "")
        return await caller_edge._finish_response(request, "r", sink, refusal)

    async def scenario():
        app = web.Application()
        app.router.add_get("/{name}", answer)
        runner = edge_runner(app, EdgeLimits(50), 0.1)
        await runner.setup()
        listener, caller = socket.socket(), socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        listener.bind(("127.0.0.1", 0))
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        caller.setblocking(False)
        await web.SockSite(runner, listener).start()
        loop = asyncio.get_running_loop()
        await loop.sock_connect(caller, listener.getsockname())
        for name in ("earlier", "broken"):
            request = f"GET /{name} HTTP/1.1\r\nHost: h\r\n\r\n".encode()
            await loop.sock_sendall(caller, request)
        await asyncio.sleep(0.3)
        received = b""
        while part := await loop.sock_recv(caller, 65_536):
            received += part
        caller.close()
        await runner.cleanup()
        return received

    received = asyncio.run(asyncio.wait_for(scenario(), 20))
    first_body, _, rest = received.partition(b"\r\n\r\n")[2].partition(b"HTTP/1.1")
    assert first_body == earlier
    assert b"0\r\n\r\n" not in rest
