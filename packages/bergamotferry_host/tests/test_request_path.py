"""The entry host's retries: what it may say, and how a broken answer goes on."""

import asyncio

import pytest
from request_fakes import KeepingSink, make_head, make_state

from bergamotferry.messages import ResponseHead
from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import ResultCode as Code
from bergamotferry.retry_budget import TRIES_MAX, TRIES_PER_REQUEST
from bergamotferry_host import request_path
from bergamotferry_host.exchange import RequestBody, Served
from bergamotferry_host.request_path import CountingSink, serve_request

BODY = b"0123456789"


def refuse(code):
    return lambda head, sink: Refused(code, "")


async def give(sink, status, body, content_range="", etag='"v1"', length=None):
    headers = [("ETag", etag), ("Content-Length", str(length or len(body)))]
    if content_range:
        headers.append(("Content-Range", content_range))
    await sink.head(ResponseHead(0, "", status, tuple(headers), "h2", 1, False))
    await sink.data(body)


async def whole(head, sink):
    await give(sink, 200, BODY)
    await sink.end()
    return Served(200, len(BODY), "u1")


async def broken(head, sink):
    await give(sink, 200, BODY[:4], length=len(BODY))
    return Refused(Code.ANSWER_BROKEN, "")


async def rest(head, sink):
    assert (head.range_header, head.if_match) == ("bytes=4-", '"v1"')
    await give(sink, 206, BODY[4:], "bytes 4-9/10")
    await sink.end()
    return Served(206, 6, "u1")


async def part_of_rest(head, sink):
    await give(sink, 206, BODY[4:7], "bytes 4-9/10")
    return Refused(Code.ANSWER_BROKEN, "")


async def last_part(head, sink):
    assert head.range_header == "bytes=7-"
    await give(sink, 206, BODY[7:], "bytes 7-9/10")
    await sink.end()
    return Served(206, 3, "u1")


async def other_version(head, sink):
    await give(sink, 206, BODY[4:], "bytes 4-9/10", etag='"v2"')
    await sink.end()
    return Served(206, 6, "u1")


async def whole_again(head, sink):
    await give(sink, 200, BODY)
    await sink.end()
    return Served(200, len(BODY), "u1")


async def precondition_failed(head, sink):
    await give(sink, 412, b"")
    await sink.end()
    return Served(412, 0, "u1")


def test_retries_that_cost_an_upstream_are_budgeted(monkeypatch):
    n_attempts = 0

    async def attempt(*_):
        nonlocal n_attempts
        n_attempts += 1
        return Refused(Code.UPSTREAM_FAILED, "")

    monkeypatch.setattr(request_path, "_attempt", attempt)
    monkeypatch.setattr(request_path, "backoff_ms", lambda *_: 0.0)
    state = make_state()

    async def send(count):
        for _ in range(count):
            sink = CountingSink(KeepingSink())
            body = RequestBody.empty()
            await serve_request(state, True, LOOKUP, body, sink)

    asyncio.run(send(100))
    assert n_attempts <= 100 + TRIES_MAX + 100 * TRIES_PER_REQUEST


def answer_in_turn(monkeypatch, attempts):
    """Make attempts end as listed, without a pause; return the homes asked."""
    left = list(attempts)
    homes = []

    async def attempt(state, data_centre, head, body, sink):
        homes.append(data_centre)
        step = left.pop(0)(head, sink)
        return step if isinstance(step, Refused) else await step

    monkeypatch.setattr(request_path, "_attempt", attempt)
    monkeypatch.setattr(request_path, "backoff_ms", lambda *_: 0.0)
    return homes


def test_filings_are_sent_again_to_their_dispatcher_beyond_the_budget(monkeypatch):
    # Links to a frozen host break for hundreds at once. Their keys are looked up where
    # they are sent again, so that this costs no upstream work that was done.
    n_filings = 200
    state = make_state()

    async def send():
        sent = []
        for _ in range(n_filings):
            answer_in_turn(monkeypatch, [LINK_BROKE, LINK_BROKE, whole])
            sink, body = CountingSink(KeepingSink()), RequestBody.empty()
            sent.append(await serve_request(state, False, FILING, body, sink))
        return sent

    outcomes = asyncio.run(send())
    assert sum(isinstance(row, Served) for row in outcomes) == n_filings
    assert state.dispatchers.retry_budget.n_left == TRIES_MAX


def serve_lookup(state):
    target = KeepingSink()
    sink = CountingSink(target)
    body = RequestBody.empty()
    return asyncio.run(serve_request(state, True, LOOKUP, body, sink)), target


def test_a_broken_answer_waits_for_the_next_owner(monkeypatch):
    # An owner that is lost is replaced within seconds, not within five tries.
    homes = answer_in_turn(monkeypatch, [broken, *[refuse(Code.NO_OWNER)] * 30, rest])
    outcome, target = serve_lookup(make_state())
    assert isinstance(outcome, Served)
    assert (target.is_over, target.body, len(homes)) == (True, BODY, 32)


def test_tries_that_cost_an_upstream_work_stay_few_for_the_rest(monkeypatch):
    failed = refuse(Code.UPSTREAM_FAILED)
    homes = answer_in_turn(monkeypatch, [broken, *[failed] * 30])
    outcome, _ = serve_lookup(make_state())
    assert outcome.code is Code.ANSWER_BROKEN
    assert len(homes) == 1 + 5


def test_the_rest_is_asked_for_where_the_shard_has_gone(monkeypatch):
    state = make_state()
    places = iter(["dc", "dc", "dc-2"])
    monkeypatch.setattr(request_path, "home_of_shard", lambda *_: next(places))
    no_owner = refuse(Code.NO_OWNER)
    homes = answer_in_turn(monkeypatch, [broken, no_owner, rest])
    assert isinstance(serve_lookup(state)[0], Served)
    assert homes == ["dc", "dc", "dc-2"]


def test_the_rest_is_not_asked_for_outside_the_home_region(monkeypatch):
    places = iter(["dc", Refused(Code.OUTSIDE_HOME_REGION, "")])
    monkeypatch.setattr(request_path, "home_of_shard", lambda *_: next(places))
    homes = answer_in_turn(monkeypatch, [broken])
    outcome, _ = serve_lookup(make_state())
    assert (outcome.code, homes) == (Code.ANSWER_BROKEN, ["dc"])


LOOKUP = make_head()
FILING = make_head("filing", "POST", idempotency_key="i1")
NO_OWNER, FAILED = refuse(Code.NO_OWNER), refuse(Code.UPSTREAM_FAILED)
LINK_BROKE = refuse(Code.ANSWER_BROKEN)

# Attempts in turn, the head, the outcome, and whether the answer was ended whole.
TABLE = [
    ([NO_OWNER, whole], LOOKUP, Code.SERVED, True),
    ([refuse(Code.HOST_NOT_READY), whole], LOOKUP, Code.SERVED, True),
    ([FAILED, whole], LOOKUP, Code.SERVED, True),
    ([FAILED, refuse(Code.QUEUE_FULL)], LOOKUP, Code.UPSTREAM_FAILED, False),
    ([NO_OWNER, refuse(Code.QUEUE_FULL)], LOOKUP, Code.QUEUE_FULL, False),
    ([LINK_BROKE, whole], FILING, Code.SERVED, True),
    ([LINK_BROKE, refuse(Code.QUEUE_FULL)], FILING, Code.OUTCOME_UNKNOWN, False),
    ([refuse(Code.OUTCOME_UNKNOWN)], FILING, Code.OUTCOME_UNKNOWN, False),
    ([refuse(Code.OUTCOME_PENDING)], FILING, Code.OUTCOME_PENDING, False),
    ([broken, rest], LOOKUP, Code.SERVED, True),
    ([broken, FAILED, NO_OWNER, rest], LOOKUP, Code.SERVED, True),
    ([broken, part_of_rest, last_part], LOOKUP, Code.SERVED, True),
    ([broken, other_version], LOOKUP, Code.ANSWER_BROKEN, False),
    ([broken, whole_again], LOOKUP, Code.ANSWER_BROKEN, False),
    ([broken, precondition_failed], LOOKUP, Code.ANSWER_BROKEN, False),
    ([broken, refuse(Code.UNKNOWN_ROUTE)], LOOKUP, Code.ANSWER_BROKEN, False),
]


@pytest.mark.parametrize(("attempts", "head", "code", "is_whole"), TABLE)
def test_attempts(attempts, head, code, is_whole, monkeypatch):
    left = list(attempts)

    async def attempt(state, data_centre, head, body, sink):
        step = left.pop(0)(head, sink)
        return step if isinstance(step, Refused) else await step

    monkeypatch.setattr(request_path, "_attempt", attempt)
    target = KeepingSink()
    state = make_state()
    state.network.addresses = {}
    outcome = asyncio.run(
        serve_request(
            state, head is LOOKUP, head, RequestBody.empty(),
            CountingSink(target),
        )
    )  # fmt: skip
    got = Code.SERVED if isinstance(outcome, Served) else outcome.code
    assert (got, target.is_over, left) == (code, is_whole, [])
    if is_whole:
        assert target.body == BODY
