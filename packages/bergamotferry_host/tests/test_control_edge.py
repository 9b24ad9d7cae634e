"""Refusals of faulty requests from operators and upstreams, as a table of cases."""

import asyncio
import json

import pytest

from bergamotferry.release_note import NOTE_MAX_BYTES
from bergamotferry.result_codes import RESULT_CODE_TABLE, ResultCode
from bergamotferry_host import http_body

OPERATOR_TOKEN = "operator-token-16"
UPSTREAM_TOKEN = "upstream-token-16"
NOTES_PATH = "/operators/v1/notes"
ANNOUNCE_PATH = "/upstreams/v1/announce"
ANNOUNCEMENT = {
    "name": "log-1",
    "service": "log",
    "data_centre": "a",
    "address": "127.0.0.1:1",
    "incarnation": 1,
    "n_slots": 2,
    "max_connections": 10,
    "checks_epochs": True,
}


def post(path, body, token, *headers):
    lines = [f"POST {path} HTTP/1.1", "Host: h"]
    lines += [f"Authorization: Bearer {token}"] if token else []
    lines += headers or [f"Content-Length: {len(body)}"]
    return "\r\n".join([*lines, "", ""]).encode() + body


def announce(**changes):
    return post(
        ANNOUNCE_PATH, json.dumps({**ANNOUNCEMENT, **changes}).encode(), UPSTREAM_TOKEN
    )


def renewal(name):
    body = json.dumps({"name": name, "incarnation": 1}).encode()
    return post("/upstreams/v1/renew", body, UPSTREAM_TOKEN)


def leave(name):
    body = json.dumps({"name": name, "incarnation": 1}).encode()
    return post("/upstreams/v1/leave", body, UPSTREAM_TOKEN)


def chunks(n_bytes):
    chunk = b"fff\r\n" + b" " * 0xFFF + b"\r\n"
    return chunk * (n_bytes // 0xFFF + 1) + b"0\r\n\r\n"


CHUNKED = "Transfer-Encoding: chunked"
FAULTS = [
    ("no token", post(NOTES_PATH, b"{}", ""), "MISSING_TOKEN"),
    ("an upstream's token", post(NOTES_PATH, b"{}", UPSTREAM_TOKEN), "UNKNOWN_TOKEN"),
    (
        "an operator's token",
        post(ANNOUNCE_PATH, b"{}", OPERATOR_TOKEN),
        "UNKNOWN_TOKEN",
    ),
    (
        "unknown path",
        post("/operators/v1/none", b"{}", OPERATOR_TOKEN),
        "UNKNOWN_ROUTE",
    ),
    ("note that is not JSON", post(NOTES_PATH, b"{", OPERATOR_TOKEN), "NOTE_INVALID"),
    ("note outside UTF-8", post(NOTES_PATH, b"\xff", OPERATOR_TOKEN), "BAD_JSON"),
    (
        "note over the limit in chunks",
        post(NOTES_PATH, chunks(NOTE_MAX_BYTES), OPERATOR_TOKEN, CHUNKED),
        "BODY_TOO_LARGE",
    ),
    (
        "note of a stated length over the limit",
        post(NOTES_PATH, b"", OPERATOR_TOKEN, f"Content-Length: {NOTE_MAX_BYTES + 1}"),
        "BODY_TOO_LARGE",
    ),
    (
        "data centre in another region than its hosts",
        post(
            NOTES_PATH,
            b'{"number": 2, "based_on": 1, "added": {"data_centres": '
            b'[{"name": "a", "region": "south"}]}}',
            OPERATOR_TOKEN,
        ),
        "NOTE_INVALID",
    ),
    (
        "announcement that is not JSON",
        post(ANNOUNCE_PATH, b"nul", UPSTREAM_TOKEN),
        "BAD_JSON",
    ),
    (
        "announcement that is not an object",
        post(ANNOUNCE_PATH, b"[]", UPSTREAM_TOKEN),
        "BAD_JSON",
    ),
    (
        "deeply nested announcement",
        post(ANNOUNCE_PATH, b"[" * 4000, UPSTREAM_TOKEN),
        "BAD_JSON",
    ),
    (
        "announcement over the limit in chunks",
        post(ANNOUNCE_PATH, chunks(5000), UPSTREAM_TOKEN, CHUNKED),
        "BODY_TOO_LARGE",
    ),
    ("no slots", announce(n_slots=0), "BAD_REQUEST"),
    ("slots that are not a number", announce(n_slots=True), "BAD_REQUEST"),
    ("bad address", announce(address="localhost"), "BAD_REQUEST"),
    ("name that is not valid Unicode", announce(name="\ud800"), "BAD_REQUEST"),
    ("renewal of a name that is not valid Unicode", renewal("\ud800"), "BAD_REQUEST"),
    ("leave of a name that is not valid Unicode", leave("\ud800"), "BAD_REQUEST"),
    ("leave of a name over the limit", leave("x" * 200), "BAD_REQUEST"),
    ("other data centre", announce(data_centre="b"), "SESSION_WRONG_DATA_CENTRE"),
    ("unknown service", announce(service="none"), "SESSION_WRONG_SERVICE"),
    ("no leader", announce(), "NO_LEADER"),
]


@pytest.mark.parametrize(("name", "request_bytes", "code"), FAULTS)
def test_faulty_request_is_refused_with_its_result_code(
    name, request_bytes, code, edge, exchange
):
    async def scenario():
        async with edge(is_control=True) as port:
            return await exchange(port, request_bytes)

    status, result_code, body = asyncio.run(scenario())
    expected = ResultCode[code]
    assert (status, result_code) == (RESULT_CODE_TABLE[expected].http_status, expected)
    assert json.loads(body)["not_run"] is True


def test_refused_note_names_the_place_of_each_error(edge, exchange):
    note = {"number": 2, "based_on": 1, "withdrawn": {"services": ["other"]}}

    async def scenario():
        async with edge(is_control=True) as port:
            return await exchange(
                port, post(NOTES_PATH, json.dumps(note).encode(), OPERATOR_TOKEN)
            )

    _, result_code, body = asyncio.run(scenario())
    assert result_code == ResultCode.NOTE_INVALID
    assert json.loads(body)["errors"] == [
        {
            "place": "withdrawn.services other",
            "message": "routes other/read still refer to it",
        }
    ]


def test_note_that_is_sent_too_slowly_is_refused(edge, exchange, monkeypatch):
    monkeypatch.setattr(http_body, "BODY_GAP_TIMEOUT_S", 0.05)
    request = post(NOTES_PATH, b"{", OPERATOR_TOKEN, "Content-Length: 9")

    async def scenario():
        async with edge(is_control=True) as port:
            return await exchange(port, request)

    assert asyncio.run(scenario())[:2] == (408, ResultCode.SENDER_TOO_SLOW)


def test_unknown_service_is_reported_only_after_the_host_caught_up(
    state, edge, exchange
):
    state.is_caught_up = False

    async def scenario():
        async with edge(is_control=True) as port:
            return await exchange(port, announce(service="none"))

    assert asyncio.run(scenario())[1] == ResultCode.HOST_NOT_READY
