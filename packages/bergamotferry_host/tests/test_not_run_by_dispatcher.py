"""Each way in which a request is answered as not run, in the mode with a dispatcher.

The evidence is true, false, stale, or of another send. Requests here may run once.
"""

import asyncio
from types import SimpleNamespace

import pytest
from request_fakes import (
    SHARD,
    RecordingSink,
    ScriptedUpstream,
    add_work,
    make_head,
    make_state,
    start,
    wait_until,
)

from bergamotferry.commands import ForgetIntent
from bergamotferry.data_centre_tables import apply_data_centre_command
from bergamotferry.messages import ResponseHead
from bergamotferry.outcomes import Refused
from bergamotferry.records import Dispatcher
from bergamotferry.result_codes import RESULT_CODE_TABLE
from bergamotferry.result_codes import ResultCode as Code
from bergamotferry_host import caller_edge, request_path, upstream_call
from bergamotferry_host.dispatcher_sync import abort_work
from bergamotferry_host.exchange import RequestBody, Served
from bergamotferry_host.peer_stream import PeerUnreachable, StreamBroken

FILING = make_head("filing", "POST", idempotency_key="i1")
RECORD_KEY = ("acc", "testlog/i1")
NOT_RUN_CODES = [code for code, row in RESULT_CODE_TABLE.items() if row.is_not_run]
UNKNOWN = Refused(Code.OUTCOME_UNKNOWN, "")


def state_of_record(upstream):
    record = upstream.state.own_tables.outcomes.get(RECORD_KEY)
    return record and record.state


# What the upstream does, the id that it echoes, the result, and the recorded state.
ANSWERS = [
    # It says so of this request.
    ("shed", b"", Code.UPSTREAM_SHED, None),
    ("stale", b"", Code.STALE_EPOCH, None),
    ("short shed close", b"", Code.UPSTREAM_SHED, None),
    # It says so of another request.
    ("shed", b"r0", Code.OUTCOME_UNKNOWN, "unknown"),
    ("stale", b"r0", Code.OUTCOME_UNKNOWN, "unknown"),
    ("whole", b"r0", Code.OUTCOME_UNKNOWN, "unknown"),
    # It says so in a head that is cut short.
    ("cut shed close", b"", Code.OUTCOME_UNKNOWN, "unknown"),
    # A status alone says nothing.
    ("own 503", b"", 503, "done"),
    ("own 429", b"", 429, "done"),
    ("own 421", b"", 421, "done"),
    ("own 409", b"", 409, "done"),
    ("own 408", b"", 408, "done"),
    ("started", b"", 503, "done"),
    # It says nothing.
    ("reset", b"", Code.OUTCOME_UNKNOWN, "unknown"),
    ("end", b"", Code.OUTCOME_UNKNOWN, "unknown"),
]


@pytest.mark.parametrize(("action", "own_id", "result", "state"), ANSWERS)
def test_only_the_upstreams_word_on_this_request_says_that_it_did_not_start(
    action, own_id, result, state
):
    async def run():
        async with ScriptedUpstream(action, own_id=own_id) as upstream:
            add_work(upstream)
            sink = RecordingSink()
            outcome = await start(upstream, FILING, sink)
            code = sink.response.code if sink.response else outcome.code
            assert RESULT_CODE_TABLE[Code(code)].is_not_run == (state is None)
            got = outcome.status if isinstance(outcome, Served) else outcome.code
            return got, state_of_record(upstream), len(upstream.requests)

    assert asyncio.run(run()) == (result, state, 1)


def test_refusal_that_is_written_twice_is_not_the_answer_to_the_next_send():
    async def run():
        async with ScriptedUpstream("shed twice", "late whole") as upstream:
            add_work(upstream)
            first = await start(upstream, FILING)
            second = await start(upstream, FILING)
            return first.code, second, len(upstream.writers)

    expected = (Code.UPSTREAM_SHED, Served(200, 4, ""), 2)
    assert asyncio.run(run()) == expected


@pytest.mark.parametrize(
    ("change", "code"),
    [
        ("lease", Code.NOT_DISPATCHER),
        ("dispatcher", Code.NOT_DISPATCHER),
        ("grant", Code.STALE_EPOCH),
        ("deadline", Code.DEADLINE_EXPIRED_IN_QUEUE),
        ("address", Code.NO_OWNER),
    ],
)
def test_request_that_the_host_may_not_send_any_more_is_not_sent(
    change, code, monkeypatch
):
    """The change comes after the intent was recorded."""

    async def run():
        async with ScriptedUpstream("whole") as upstream:
            state, tables = upstream.state, upstream.state.own_tables
            add_work(upstream)
            if change == "address":
                session = tables.sessions["u1"]
                tables.sessions["u1"] = session._replace(address="127.0.0.1:1")

            send_once = upstream_call._send_once

            async def change_and_send(*arguments):
                if change == "lease":
                    state.has_host_lease = False
                if change == "dispatcher":
                    tables.dispatchers["u1"] = Dispatcher("u1", "h1", 7, "serving")
                if change == "grant":
                    tables.grants[SHARD] = tables.grants[SHARD]._replace(epoch=6)
                if change == "deadline":
                    await asyncio.sleep(0.3)
                return await send_once(*arguments)

            monkeypatch.setattr(upstream_call, "_send_once", change_and_send)
            deadline_ms = 250 if change == "deadline" else 2000
            task = start(upstream, FILING._replace(deadline_ms=deadline_ms))
            outcome = await task
            await wait_until(lambda: not state.dispatchers.background_tasks)
            return outcome.code, state_of_record(upstream), len(upstream.requests)

    if change == "deadline":
        # The caller's time ends before the dispatcher knows that nothing was sent.
        code = Code.OUTCOME_PENDING
    assert asyncio.run(run()) == (code, None, 0)


@pytest.mark.parametrize(
    ("is_sent", "code", "state"),
    [(False, Code.NO_OWNER, None), (True, Code.OUTCOME_UNKNOWN, "unknown")],
)
def test_request_of_a_lost_owner_is_not_run_only_if_it_was_not_sent(
    is_sent, code, state, monkeypatch
):
    async def run():
        async with ScriptedUpstream("silent") as upstream:
            work = add_work(upstream)
            is_waiting = asyncio.Event()

            async def wait(*_):
                is_waiting.set()
                await asyncio.Event().wait()

            if not is_sent:
                monkeypatch.setattr(upstream_call, "_send_once", wait)
            task = start(upstream, FILING)
            await wait_until(lambda: upstream.requests or is_waiting.is_set())
            abort_work(work)
            outcome = await task
            return outcome.code, state_of_record(upstream), len(upstream.requests)

    assert asyncio.run(run()) == (code, state, int(is_sent))


@pytest.mark.parametrize(
    ("error", "code", "is_not_run"),
    [
        (PeerUnreachable("no link"), Code.OWNER_UNREACHABLE, True),
        # The head was handed to the link, which broke.
        (StreamBroken("link broke"), Code.ANSWER_BROKEN, False),
    ],
)
def test_request_is_unsent_only_if_no_link_took_it(error, code, is_not_run):
    async def run():
        async def open_stream(*_):
            raise error

        state = make_state()
        state.network = SimpleNamespace(open_stream=open_stream)
        body, sink = RequestBody.empty(), RecordingSink()
        return await request_path._forward(state, "h2", FILING, body, sink)

    outcome = asyncio.run(run())
    assert (outcome.code, outcome.is_not_run) == (code, is_not_run)


class FakeStream:
    """A stream to another host; ``frames`` are the heads that arrive, or exceptions."""

    def __init__(self, *frames):
        self.frames = list(frames)

    async def receive_head(self):
        if not self.frames:
            await asyncio.Event().wait()
        frame = self.frames.pop(0)
        if isinstance(frame, Exception):
            raise frame
        return frame

    async def cancel(self):
        pass


def refusal_frame(code):
    return ResponseHead(code, "", 0, (), "", 0, False)


@pytest.mark.parametrize(
    ("frame", "code"),
    [
        (refusal_frame(Code.NOT_DISPATCHER), Code.NOT_DISPATCHER),
        (refusal_frame(Code.HOST_STOPPING), Code.HOST_STOPPING),
        (refusal_frame(Code.OUTCOME_UNKNOWN), Code.OUTCOME_UNKNOWN),
        (refusal_frame(Code.OUTCOME_PENDING), Code.OUTCOME_PENDING),
        # The stream or its link broke after the request had been handed to it.
        (StreamBroken("no digest"), Code.ANSWER_BROKEN),
        (PeerUnreachable("no link"), Code.ANSWER_BROKEN),
        ("no head", Code.ANSWER_BROKEN),
        (None, Code.DEADLINE_EXPIRED_RUNNING),
    ],
)
def test_only_the_peers_word_says_that_a_forwarded_request_was_not_run(frame, code):
    async def run():
        async def open_stream(*_):
            return FakeStream(*([frame] if frame else []))

        state = make_state()
        state.network = SimpleNamespace(
            open_stream=open_stream, record_unreachable=lambda _: None
        )
        head = FILING._replace(deadline_ms=50)
        body, sink = RequestBody.empty(), RecordingSink()
        return await request_path._forward(state, "h2", head, body, sink)

    assert asyncio.run(run()).code is code


@pytest.mark.parametrize("code", NOT_RUN_CODES)
def test_attempt_that_was_not_run_says_nothing_of_an_earlier_one(code, monkeypatch):
    """Guards against "not run" by a later attempt, or by the deadline between two."""

    async def run():
        outcomes = [Refused(Code.ANSWER_BROKEN, "the stream broke")]

        async def attempt(*_):
            return outcomes.pop(0) if outcomes else Refused(code, "")

        monkeypatch.setattr(request_path, "_attempt", attempt)
        state = make_state()
        state.network = SimpleNamespace(addresses={})
        head = FILING._replace(deadline_ms=100)
        sink = request_path.CountingSink(RecordingSink())
        body = RequestBody.empty()
        return await request_path.serve_request(state, False, head, body, sink)

    assert asyncio.run(run()).code is Code.OUTCOME_PENDING


def test_refusal_by_an_earlier_attempts_refusal_is_of_a_send_that_ran_nothing():
    """Two hosts send one key; the first send is refused by the upstream."""

    async def run():
        async with ScriptedUpstream("late shed", "whole") as upstream:
            add_work(upstream)
            first = start(upstream, FILING)
            await wait_until(lambda: upstream.requests)
            second = start(upstream, FILING)
            outcomes = [(await first).code, (await second).code]
            n_sends = len(upstream.requests)
            resend = await start(upstream, FILING)
            return outcomes, n_sends, resend, len(upstream.requests)

    codes = [Code.UPSTREAM_SHED, Code.NO_LEADER]
    assert asyncio.run(run()) == (codes, 1, Served(200, 4, ""), 2)


@pytest.mark.parametrize(
    ("action", "expected"),
    [("late whole", Served(200, 4, "")), ("late reset", Code.OUTCOME_UNKNOWN)],
)
def test_second_send_of_a_key_that_runs_is_not_answered_as_not_run(action, expected):
    async def run():
        async with ScriptedUpstream(action) as upstream:
            add_work(upstream)
            first = start(upstream, FILING)
            await wait_until(lambda: upstream.requests)
            second = await start(upstream, FILING)
            await first
            got = second if isinstance(second, Served) else second.code
            return got, len(upstream.requests)

    assert asyncio.run(run()) == (expected, 1)


def test_key_whose_dispatcher_was_replaced_is_unknown_until_its_attempt_ends():
    """An attempt that turns out as not run frees the key; no other attempt's does."""

    async def run():
        async with ScriptedUpstream("silent", "whole") as upstream:
            work, tables = add_work(upstream), upstream.state.own_tables
            first = start(upstream, FILING)
            await wait_until(lambda: upstream.requests)
            tables.dispatchers["u1"] = Dispatcher("u1", "h1", 7, "serving")
            work.epoch = 7
            second = await start(upstream, FILING)
            codes = [second.code]
            sha256 = tables.outcomes[RECORD_KEY].request_sha256
            stale = ForgetIntent(*RECORD_KEY, sha256, "another attempt")
            apply_data_centre_command(tables, stale)
            codes.append((await start(upstream, FILING)).code)
            n_sends = len(upstream.requests)
            upstream.writers[0].write(upstream.answer("shed", upstream.requests[0]))
            codes.append((await first).code)
            return codes, n_sends, await start(upstream, FILING)

    codes = [Code.OUTCOME_UNKNOWN, Code.OUTCOME_UNKNOWN, Code.UPSTREAM_SHED]
    assert asyncio.run(run()) == (codes, 1, Served(200, 4, ""))


@pytest.mark.parametrize(
    ("outcome", "code"),
    [
        (Refused(Code.NO_OWNER, ""), Code.SENDER_TOO_SLOW),
        (UNKNOWN, Code.BODY_BROKEN),
        (Refused(Code.OUTCOME_PENDING, ""), Code.BODY_BROKEN),
        (Refused(Code.CALLER_GONE, ""), Code.BODY_BROKEN),
        (Served(200, 1, "u1"), Code.BODY_BROKEN),
        (None, Code.BODY_BROKEN),
    ],
)
def test_body_that_fails_late_is_refused_as_not_run_only_if_nothing_ran(outcome, code):
    async def run():
        failure = Refused(Code.SENDER_TOO_SLOW, "")
        body = SimpleNamespace(is_complete=False, failure=None)

        async def serve():
            if outcome is None:
                body.failure = failure
                await asyncio.Event().wait()
            await asyncio.sleep(0.01)
            body.failure = failure
            return outcome

        serving = asyncio.ensure_future(serve())
        return await caller_edge._serve_streamed(serving, body)

    assert asyncio.run(run()).code is code
