"""Result codes of sends, compared with the requests that the upstream received."""

import asyncio

import pytest
from aiohttp import web
from request_fakes import RecordingSink, ScriptedUpstream, make_head, make_request

from bergamotferry.result_codes import ResultCode as Code
from bergamotferry_host import upstream_call
from bergamotferry_host.exchange import Served
from bergamotferry_host.upstream_call import send_to_upstream, upstream_url

LOOKUP = make_head()
STORE = make_head("store", "PUT")
FILING = make_head("filing", "POST", idempotency_key="i1")
REPLACE = make_head("replace", "PUT", idempotency_key="i1")

# A time that no test waits for. The upstream runs in the process of the test, so a
# delay of that process uses up the time of its requests.
PATIENT_MS = 60_000

# Script of the upstream, head, result code, and the number of heads it received.
FAULTS = [
    (["whole"], LOOKUP, Code.SERVED, 1),
    (["shed"], LOOKUP, Code.UPSTREAM_SHED, 1),
    (["shed"], FILING, Code.UPSTREAM_SHED, 1),
    (["reset"], LOOKUP, Code.UPSTREAM_FAILED, 1),
    (["reset"], STORE, Code.UPSTREAM_FAILED, 1),
    (["reset"], FILING, Code.OUTCOME_UNKNOWN, 1),
    (["reset"], REPLACE, Code.OUTCOME_UNKNOWN, 1),
    (["short close"], LOOKUP, Code.ANSWER_BROKEN, 1),
    (["short close"], FILING, Code.OUTCOME_UNKNOWN, 1),
    (["half chunk close"], LOOKUP, Code.ANSWER_BROKEN, 1),
    (["no length close"], LOOKUP, Code.ANSWER_BROKEN, 1),
    (["no length close"], FILING, Code.OUTCOME_UNKNOWN, 1),
    (["cut head close"], LOOKUP, Code.UPSTREAM_FAILED, 1),
    (["cut head close"], FILING, Code.OUTCOME_UNKNOWN, 1),
    (["cut head of chunks close"], LOOKUP, Code.UPSTREAM_FAILED, 1),
    (["cut head of chunks close"], FILING, Code.OUTCOME_UNKNOWN, 1),
    (["cut head without length close"], LOOKUP, Code.UPSTREAM_FAILED, 1),
    (["cut head without length close"], FILING, Code.OUTCOME_UNKNOWN, 1),
    (["cut shed close"], LOOKUP, Code.UPSTREAM_FAILED, 1),
    (["cut shed close"], FILING, Code.OUTCOME_UNKNOWN, 1),
    (["silent"], LOOKUP._replace(deadline_ms=150), Code.DEADLINE_EXPIRED_RUNNING, 1),
    (["silent"], FILING._replace(deadline_ms=150), Code.OUTCOME_UNKNOWN, 1),
]


async def send(upstream, head):
    content = b"body" if head.idempotency_key else None
    request = make_request(upstream.state, head, content)
    sink = RecordingSink()
    outcome = await send_to_upstream(upstream.state, request, sink)
    return outcome, sink


@pytest.mark.parametrize(("script", "head", "code", "n_heads"), FAULTS)
def test_outcome_of_a_first_send(script, head, code, n_heads):
    async def run():
        async with ScriptedUpstream(*script) as upstream:
            outcome, _ = await send(upstream, head)
            return outcome, len(upstream.requests)

    outcome, n_received = asyncio.run(run())
    code_received = Code.SERVED if isinstance(outcome, Served) else outcome.code
    assert (code_received, n_received) == (code, n_heads)


@pytest.mark.parametrize(
    ("second", "head", "n_heads"),
    [("reset", LOOKUP, 3), ("silent", LOOKUP, 3), ("whole", FILING, 2)],
)
def test_kept_connection_that_fails_is_replaced_by_a_fresh_one(
    second, head, n_heads, monkeypatch
):
    monkeypatch.setattr(upstream_call, "CONNECT_TIMEOUT_S", PATIENT_MS / 1000)

    def set_progress_timeout(timeout_s):
        monkeypatch.setitem(upstream_call.PROGRESS_TIMEOUT_S, "lookup", timeout_s)

    async def run():
        async with ScriptedUpstream("whole", second, "whole") as upstream:
            set_progress_timeout(PATIENT_MS / 1000)
            first = LOOKUP._replace(deadline_ms=PATIENT_MS)
            assert isinstance((await send(upstream, first))[0], Served)
            if second == "silent":
                set_progress_timeout(0.2)
            # No connection carries an id twice.
            again = head._replace(request_id="r2", deadline_ms=PATIENT_MS)
            outcome, sink = await send(upstream, again)
            assert len(upstream.writers) > 1
            return outcome, sink.body, len(upstream.requests)

    outcome, body, n_received = asyncio.run(run())
    assert outcome == Served(200, 4, "u1")
    assert body == b"data"
    assert n_received == n_heads


@pytest.mark.parametrize("refusal", ["shed", "stale"])
def test_refusal_on_a_kept_connection_is_not_asked_for_again(refusal):
    """Guards against second sends, beyond any budget, to an upstream that is full."""

    async def run():
        async with ScriptedUpstream("whole", refusal) as upstream:
            await send(upstream, LOOKUP)
            outcome, _ = await send(upstream, LOOKUP._replace(request_id="r2"))
            return outcome.is_not_run, len(upstream.writers), len(upstream.requests)

    assert asyncio.run(run()) == (True, 1, 2)


def test_refused_connection_is_not_run():
    async def run(head):
        async with ScriptedUpstream("whole") as upstream:
            session = upstream.state.own_tables.sessions["u1"]
            ended_session = session._replace(address="127.0.0.1:1")
            upstream.state.own_tables.sessions["u1"] = ended_session
            return (await send(upstream, head))[0]

    for head in (LOOKUP, FILING):
        outcome = asyncio.run(run(head))
        assert outcome.code is Code.NO_OWNER
        assert outcome.is_not_run


@pytest.mark.parametrize(
    "key",
    ["a", "a/b", "a//b", "a b", "..", "../x", "a/./b", "Sàpporo ☂", "100%25", "q?a#b"],
)
def test_upstream_decodes_the_exact_key(key):
    async def run():
        keys_received = []

        async def handle(request):
            keys_received.append(request.match_info["key"])
            return web.Response()

        app = web.Application()
        app.router.add_get("/{route}/{key:.+}", handle)
        runner = web.AppRunner(app)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        async with upstream_call.open_upstream_client() as http:
            url = upstream_url(f"127.0.0.1:{port}", "lookup", key)
            async with http.get(url) as response:
                await response.read()
        await runner.cleanup()
        return keys_received

    assert asyncio.run(run()) == [key]
