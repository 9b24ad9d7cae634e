"""Tests that each failure of a task that no code awaits is logged exactly once."""

import asyncio
import gc
import logging

import pytest
from request_fakes import make_head, make_request, make_state

from bergamotferry.admission import UpstreamQueue
from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import ResultCode
from bergamotferry.slow_start import SlowStart
from bergamotferry_host import crash_watch, dispatch, group, group_compaction, run_once
from bergamotferry_host.background import log_loop_failures
from bergamotferry_host.dispatcher_table import UpstreamWork
from bergamotferry_host.peer_link import PeerUnreachable

SECRET = "key-of-a-caller"


async def fail(*_, **__):
    raise RuntimeError(SECRET)


@pytest.fixture
def lines(caplog, monkeypatch):
    monkeypatch.setattr(logging.getLogger("bergamotferry"), "propagate", True)
    caplog.set_level(logging.ERROR, "bergamotferry")
    return lambda: [
        (record.message, record.error, record.place) for record in caplog.records
    ]


def run_and_collect(scenario):
    """Run a coroutine function; return the contexts of the loop's exception handler."""
    reported = []

    async def run():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: reported.append(context))
        await scenario()
        for _ in range(5):
            await asyncio.sleep(0)
        gc.collect()

    asyncio.run(run())
    return reported


async def record_good_run():
    state = make_state()
    work = make_work(state)
    work.fingerprints["t"] = "f"
    ticket = dispatch.Ticket("t", "a", 0, "lookup", True)
    crash_watch.record_good_run(state, work, ticket)


async def withdraw_intent():
    state = make_state()
    request = make_request(state, make_head("filing", "POST", idempotency_key="i1"))
    work = make_work(state)
    outcome = await run_once.run_once(state, work, request, fail, lambda: None)
    assert outcome.code is ResultCode.NO_LEADER


async def abort_send():
    work = make_work(make_state())

    async def send():
        try:
            await asyncio.Event().wait()
        finally:
            raise RuntimeError(SECRET)

    send_task = asyncio.create_task(dispatch.run_abortable(work, send()))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    send_task.cancel()
    await asyncio.wait([send_task])


def make_work(state):
    session = state.own_tables.sessions["u1"]
    return UpstreamWork(session, 6, UpstreamQueue(2, SlowStart(0, is_enabled=False)))


@pytest.mark.parametrize("failing", [record_good_run, withdraw_intent, abort_send])
def test_failure_that_no_code_awaits_is_logged_with_its_place(
    failing, lines, monkeypatch
):
    outcomes = [Refused(ResultCode.NO_LEADER, "")]

    async def commit(*_):
        return outcomes.pop() if outcomes else await fail()

    monkeypatch.setattr(crash_watch, "commit", fail)
    monkeypatch.setattr(run_once, "commit", commit)
    assert run_and_collect(failing) == []
    [(event, error, place)] = lines()
    assert (event, error) == ("task_failed", "RuntimeError")
    assert SECRET not in place
    assert "test_background:" in place


def test_failed_compaction_is_logged(lines, monkeypatch):
    state = make_state()
    state.own_group.applied_index = group_compaction.LOG_MAX_ENTRIES + 1
    monkeypatch.setattr(group_compaction, "term_at", lambda *_: 1)
    monkeypatch.setattr(group_compaction, "membership_at", lambda *_: None)
    monkeypatch.setattr(group_compaction, "encode_tables", lambda _: 1 / 0)

    async def scenario():
        group_compaction.compact_if_over_limit(state.own_group, state.own_group.replica)
        await asyncio.wait([state.own_group.compaction_task])

    assert run_and_collect(scenario) == []
    assert [line[:2] for line in lines()] == [("task_failed", "ZeroDivisionError")]


def test_any_failed_disk_write_ends_voting(lines, monkeypatch):
    state = make_state()
    own_group = state.own_group
    monkeypatch.setattr(group, "persist", lambda *_: 1 / 0)
    own_group.disk_log = object()

    async def scenario():
        await group._write(
            own_group, own_group.replica, own_group.disk_log, None, 1, []
        )

    assert run_and_collect(scenario) == []
    assert own_group.has_failed_disk
    assert ("task_failed", "ZeroDivisionError") in [line[:2] for line in lines()]


def test_unhandled_failure_is_one_log_line_without_content(lines, capfd):
    async def run():
        log_loop_failures(asyncio.get_running_loop())
        task = asyncio.create_task(fail())
        await asyncio.wait([task])
        del task
        gc.collect()
        asyncio.get_running_loop().call_exception_handler(
            {"message": f"Unclosed <{SECRET}>"}
        )

    asyncio.run(run())
    (event, error, place), unclosed = lines()
    assert (event, error) == ("task_failed", "RuntimeError")
    assert place.startswith("test_background:fail:")
    assert unclosed == ("task_failed", "", "Unclosed ")
    assert "Traceback" not in capfd.readouterr().err


def test_link_lost_during_a_send_leaves_no_unhandled_failure():
    from test_peer_link import Harness

    async def scenario():
        harness = Harness()
        entered = asyncio.Event()

        async def send(data):
            entered.set()
            harness.link._break_streams_and_calls()
            raise OSError

        harness.connection.send = send
        with pytest.raises(PeerUnreachable):
            await harness.link.call("question", 1.0)

    assert run_and_collect(scenario) == []
