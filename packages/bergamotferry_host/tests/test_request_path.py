"""The entry host's retries: result codes, the retry budget, and resumed answers."""

import asyncio

import pytest
from request_fakes import RecordingSink, make_head, make_state

from bergamotferry.messages import ResponseHead
from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import ResultCode as Code
from bergamotferry.retry_budget import RETRIES_MAX, RETRIES_PER_REQUEST
from bergamotferry_host import request_path
from bergamotferry_host.exchange import RequestBody, Served
from bergamotferry_host.request_path import CountingSink, serve_request

BODY = b"0123456789"


def refuse_with(code):
    return lambda head, sink: Refused(code, "")


async def write_answer(sink, status, body, content_range="", etag='"v1"', length=None):
    headers = [("ETag", etag), ("Content-Length", str(length or len(body)))]
    if content_range:
        headers.append(("Content-Range", content_range))
    await sink.head(ResponseHead(0, "", status, tuple(headers), "h2", 1, False))
    await sink.data(body)


async def whole_answer(head, sink):
    await write_answer(sink, 200, BODY)
    await sink.end()
    return Served(200, len(BODY), "u1")


async def broken_answer(head, sink):
    await write_answer(sink, 200, BODY[:4], length=len(BODY))
    return Refused(Code.ANSWER_BROKEN, "")


async def rest_of_answer(head, sink):
    assert (head.range_header, head.if_match) == ("bytes=4-", '"v1"')
    await write_answer(sink, 206, BODY[4:], "bytes 4-9/10")
    await sink.end()
    return Served(206, 6, "u1")


async def part_of_rest(head, sink):
    await write_answer(sink, 206, BODY[4:7], "bytes 4-9/10")
    return Refused(Code.ANSWER_BROKEN, "")


async def last_part(head, sink):
    assert head.range_header == "bytes=7-"
    await write_answer(sink, 206, BODY[7:], "bytes 7-9/10")
    await sink.end()
    return Served(206, 3, "u1")


async def other_version(head, sink):
    await write_answer(sink, 206, BODY[4:], "bytes 4-9/10", etag='"v2"')
    await sink.end()
    return Served(206, 6, "u1")


async def whole_again(head, sink):
    await write_answer(sink, 200, BODY)
    await sink.end()
    return Served(200, len(BODY), "u1")


async def precondition_failed(head, sink):
    await write_answer(sink, 412, b"")
    await sink.end()
    return Served(412, 0, "u1")


def test_retries_that_cost_an_upstream_work_stay_within_the_budget(monkeypatch):
    n_attempts = 0

    async def attempt(*_):
        nonlocal n_attempts
        n_attempts += 1
        return Refused(Code.UPSTREAM_FAILED, "")

    monkeypatch.setattr(request_path, "_attempt", attempt)
    monkeypatch.setattr(request_path, "backoff_ms", lambda *_: 0.0)
    state = make_state()

    async def send(n_requests):
        for _ in range(n_requests):
            sink = CountingSink(RecordingSink())
            body = RequestBody.empty()
            await serve_request(state, True, LOOKUP, body, sink)

    asyncio.run(send(100))
    assert n_attempts <= 100 + RETRIES_MAX + 100 * RETRIES_PER_REQUEST


def script_attempts(monkeypatch, attempts):
    """Make attempts end as listed, without backoff; return their data centres."""
    attempts_left = list(attempts)
    data_centres = []

    async def attempt(state, data_centre, head, body, sink):
        data_centres.append(data_centre)
        step = attempts_left.pop(0)(head, sink)
        return step if isinstance(step, Refused) else await step

    monkeypatch.setattr(request_path, "_attempt", attempt)
    monkeypatch.setattr(request_path, "backoff_ms", lambda *_: 0.0)
    return data_centres


def test_retries_of_filings_over_broken_links_spend_no_retry_budget(monkeypatch):
    # When a host freezes, the streams of hundreds of filings break at once. The retry
    # of each filing is looked up by its idempotency key, so that no upstream does any
    # work twice.
    n_filings = 200
    state = make_state()

    async def send():
        sent_outcomes = []
        for _ in range(n_filings):
            script_attempts(monkeypatch, [LINK_BROKE, LINK_BROKE, whole_answer])
            sink, body = CountingSink(RecordingSink()), RequestBody.empty()
            sent_outcomes.append(await serve_request(state, False, FILING, body, sink))
        return sent_outcomes

    outcomes = asyncio.run(send())
    assert sum(isinstance(outcome, Served) for outcome in outcomes) == n_filings
    assert state.dispatchers.retry_budget.n_left == RETRIES_MAX


def serve_lookup(state):
    recording_sink = RecordingSink()
    sink = CountingSink(recording_sink)
    body = RequestBody.empty()
    return asyncio.run(serve_request(state, True, LOOKUP, body, sink)), recording_sink


def test_broken_answer_is_resumed_once_a_new_owner_is_assigned(monkeypatch):
    # A lost owner is replaced within seconds, which is more than five attempts take.
    data_centres = script_attempts(
        monkeypatch, [broken_answer, *[refuse_with(Code.NO_OWNER)] * 30, rest_of_answer]
    )
    outcome, recording_sink = serve_lookup(make_state())
    assert isinstance(outcome, Served)
    assert (recording_sink.is_ended, recording_sink.body, len(data_centres)) == (
        True,
        BODY,
        32,
    )


def test_resumes_that_cost_an_upstream_work_are_limited(monkeypatch):
    upstream_failed = refuse_with(Code.UPSTREAM_FAILED)
    data_centres = script_attempts(
        monkeypatch, [broken_answer, *[upstream_failed] * 30]
    )
    outcome, _ = serve_lookup(make_state())
    assert outcome.code is Code.ANSWER_BROKEN
    assert len(data_centres) == 1 + 5


def test_broken_answer_is_resumed_at_the_new_home_of_its_shard(monkeypatch):
    state = make_state()
    home_results = iter(["dc", "dc", "dc-2"])
    monkeypatch.setattr(request_path, "home_of_shard", lambda *_: next(home_results))
    no_owner = refuse_with(Code.NO_OWNER)
    data_centres = script_attempts(
        monkeypatch, [broken_answer, no_owner, rest_of_answer]
    )
    assert isinstance(serve_lookup(state)[0], Served)
    assert data_centres == ["dc", "dc", "dc-2"]


def test_broken_answer_is_not_resumed_outside_its_home_region(monkeypatch):
    home_results = iter(["dc", Refused(Code.OUTSIDE_HOME_REGION, "")])
    monkeypatch.setattr(request_path, "home_of_shard", lambda *_: next(home_results))
    data_centres = script_attempts(monkeypatch, [broken_answer])
    outcome, _ = serve_lookup(make_state())
    assert (outcome.code, data_centres) == (Code.ANSWER_BROKEN, ["dc"])


LOOKUP = make_head()
FILING = make_head("filing", "POST", idempotency_key="i1")
NO_OWNER, FAILED = refuse_with(Code.NO_OWNER), refuse_with(Code.UPSTREAM_FAILED)
LINK_BROKE = refuse_with(Code.ANSWER_BROKEN)

# Attempts in turn, the head, the result code, and whether the answer is complete.
ATTEMPTS = [
    ([NO_OWNER, whole_answer], LOOKUP, Code.SERVED, True),
    ([refuse_with(Code.HOST_NOT_READY), whole_answer], LOOKUP, Code.SERVED, True),
    ([FAILED, whole_answer], LOOKUP, Code.SERVED, True),
    ([FAILED, refuse_with(Code.QUEUE_FULL)], LOOKUP, Code.UPSTREAM_FAILED, False),
    ([NO_OWNER, refuse_with(Code.QUEUE_FULL)], LOOKUP, Code.QUEUE_FULL, False),
    ([LINK_BROKE, whole_answer], FILING, Code.SERVED, True),
    # A broken link leaves no record that the filing must not run again, so its caller
    # is told to send it again.
    ([LINK_BROKE, refuse_with(Code.QUEUE_FULL)], FILING, Code.OUTCOME_PENDING, False),
    (
        [LINK_BROKE, NO_OWNER, refuse_with(Code.DEADLINE_TOO_SHORT)],
        FILING,
        Code.OUTCOME_PENDING,
        False,
    ),
    (
        [LINK_BROKE, refuse_with(Code.OUTCOME_UNKNOWN)],
        FILING,
        Code.OUTCOME_UNKNOWN,
        False,
    ),
    ([FAILED, refuse_with(Code.QUEUE_FULL)], FILING, Code.OUTCOME_UNKNOWN, False),
    ([refuse_with(Code.OUTCOME_UNKNOWN)], FILING, Code.OUTCOME_UNKNOWN, False),
    ([refuse_with(Code.OUTCOME_PENDING)], FILING, Code.OUTCOME_PENDING, False),
    ([broken_answer, rest_of_answer], LOOKUP, Code.SERVED, True),
    ([broken_answer, FAILED, NO_OWNER, rest_of_answer], LOOKUP, Code.SERVED, True),
    ([broken_answer, part_of_rest, last_part], LOOKUP, Code.SERVED, True),
    ([broken_answer, other_version], LOOKUP, Code.ANSWER_BROKEN, False),
    ([broken_answer, whole_again], LOOKUP, Code.ANSWER_BROKEN, False),
    ([broken_answer, precondition_failed], LOOKUP, Code.ANSWER_BROKEN, False),
    (
        [broken_answer, refuse_with(Code.UNKNOWN_ROUTE)],
        LOOKUP,
        Code.ANSWER_BROKEN,
        False,
    ),
]


@pytest.mark.parametrize(("attempts", "head", "code", "is_whole"), ATTEMPTS)
def test_sequence_of_attempts_ends_with_its_result_code(
    attempts, head, code, is_whole, monkeypatch
):
    attempts_left = list(attempts)

    async def attempt(state, data_centre, head, body, sink):
        step = attempts_left.pop(0)(head, sink)
        return step if isinstance(step, Refused) else await step

    monkeypatch.setattr(request_path, "_attempt", attempt)
    recording_sink = RecordingSink()
    state = make_state()
    state.network.addresses = {}
    outcome = asyncio.run(
        serve_request(
            state, head is LOOKUP, head, RequestBody.empty(),
            CountingSink(recording_sink),
        )
    )  # fmt: skip
    code_received = Code.SERVED if isinstance(outcome, Served) else outcome.code
    assert (code_received, recording_sink.is_ended, attempts_left) == (
        code,
        is_whole,
        [],
    )
    if is_whole:
        assert recording_sink.body == BODY
