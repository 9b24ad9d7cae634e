"""When a host sends a request under suspicion, and when it refuses it."""

import asyncio
from types import SimpleNamespace

import pytest
from direct_harness import full, route, run_with_harness, served

from bergamotferry.fleet_messages import RunPermitReply
from bergamotferry.protection.crash_records import (
    N_ENDS_MAX,
    PAUSE_FIRST_S,
    TRIAL_SPREAD_S,
    CrashRecord,
    known_ends,
    record_end,
    record_success,
    request_fingerprint,
    row_of,
)
from bergamotferry_host.clock import now_ns
from bergamotferry_host.protection import run_permit

FINGERPRINT = request_fingerprint("POST", "a.example", "/safe/1", "", b"body")


def suspect(harness, n_ends, age_s=0):
    table = harness.host.crashes.table
    began_ns = now_ns() - age_s * 10**9
    for _ in range(n_ends):
        record_end(table, FINGERPRINT, known_ends(table, FINGERPRINT), began_ns)


def answer_with(monkeypatch, answer):
    """Let a function answer the questions for permits; return these."""
    questions = []

    async def ask(host, message):
        questions.append(message)
        return None if message.is_end else answer(host, message)

    monkeypatch.setattr(run_permit, "_ask", ask)
    return questions


def grant(host, message):
    return RunPermitReply(True, row_of(host.crashes.table, FINGERPRINT, now_ns()))


def withhold(host, message):
    return grant(host, message)._replace(is_granted=False)


def no_leader(host, message):
    return None


def send_once(n_ends, age_s=0, behaviours=(served,)):
    async def scenario(harness):
        harness.configure(route())
        for number, behaviour in enumerate(behaviours):
            await harness.add(f"u{number}", behaviour)
        suspect(harness, n_ends, age_s)
        harness.answer, harness.text = await harness.send_request("/safe/1")
        await asyncio.sleep(0)

    return run_with_harness(scenario)


@pytest.mark.parametrize(
    ("answer", "n_ends", "status"),
    [
        (grant, 1, 200),
        (withhold, 1, 503),
        (no_leader, 1, 200),
        (no_leader, N_ENDS_MAX - 1, 200),
        (grant, N_ENDS_MAX, 200),
        (withhold, N_ENDS_MAX, 503),
        # A trial may end the last upstream that is allowed, so it needs a permit.
        (no_leader, N_ENDS_MAX, 503),
    ],
)
def test_request_under_suspicion_needs_a_permit(answer, n_ends, status, monkeypatch):
    """Guards against review case 14: runs at many hosts that know the same ends."""
    answer_with(monkeypatch, answer)
    harness = send_once(n_ends, PAUSE_FIRST_S + TRIAL_SPREAD_S + 1)
    assert harness.answer.status == status
    assert len(harness.sends) == (status == 200)
    if status == 503:
        # A request under suspicion only waits for its turn.
        assert harness.text.startswith("1301 " if n_ends >= N_ENDS_MAX else "1201 ")
        assert float(harness.answer.headers["Retry-After"]) > 0


def test_request_without_a_known_end_asks_nobody(monkeypatch):
    questions = answer_with(monkeypatch, withhold)
    assert send_once(0).answer.status == 200
    assert questions == []


def test_waiting_request_runs_as_soon_as_its_content_is_cleared(monkeypatch):
    """Guards against proper requests that wait for permits they no longer need."""

    def clear(host, message):
        record_success(host.crashes.table, FINGERPRINT, now_ns())
        return withhold(host, message)

    questions = answer_with(monkeypatch, clear)
    assert send_once(1).answer.status == 200
    assert len(questions) == 1


def test_host_learns_from_the_leader_that_a_content_is_quarantined(monkeypatch):
    def know_more(host, message):
        return RunPermitReply(False, CrashRecord(FINGERPRINT, 0, N_ENDS_MAX, 0))

    questions = answer_with(monkeypatch, know_more)
    harness = send_once(1)
    assert harness.answer.status == 503 and harness.sends == []
    assert len(questions) == 1


def test_permit_is_given_back_after_a_send_that_ended_no_upstream(monkeypatch):
    """Guards against a full upstream that makes the next one wait."""
    questions = answer_with(monkeypatch, grant)
    harness = send_once(1, behaviours=(full, served))
    assert harness.answer.status == 200 and len(harness.sends) == 2
    ends = [question for question in questions if question.is_end]
    assert len(ends) == 2 and len(questions) == 4
    assert not any(question.has_lost_upstream for question in ends)


def test_permit_is_given_back_as_soon_as_the_answer_begins(monkeypatch):
    """Guards against a caller that reads slowly and keeps all others waiting.

    Proper downloads were refused as quarantined in the soak (slow-1-1).
    """
    questions = answer_with(monkeypatch, grant)

    async def scenario(harness):
        harness.configure(route())
        suspect(harness, 1)
        request = SimpleNamespace(
            fingerprint=FINGERPRINT,
            caller=SimpleNamespace(on_begin=None),
            is_run_open=True,
            is_trial=False,
            has_run_permit=False,
            deadline_ns=now_ns() + 10**9,
        )
        async with run_permit.hold_run_permit(harness.host, request) as refusal:
            assert refusal is None
            request.caller.on_begin()
            assert not harness.host.run_locks[FINGERPRINT].locked()
        await asyncio.sleep(0)

    run_with_harness(scenario)
    ends = [question for question in questions if question.is_end]
    assert [question.has_lost_upstream for question in ends] == [False]


def test_requests_of_one_content_run_one_at_a_time_on_a_host(monkeypatch):
    """Guards against concurrent runs on one host, whose ends count as one."""
    answer_with(monkeypatch, grant)
    running = []

    async def count_running(request):
        running.append(1)
        n_running = len(running)
        await asyncio.sleep(0.05)
        running.pop()
        return (await full(request)) if n_running > 1 else await served(request)

    async def scenario(harness):
        harness.configure(route())
        await harness.add("u", count_running)
        suspect(harness, 1)
        answers = await asyncio.gather(
            *(harness.send_request("/safe/1") for _ in range(3))
        )
        harness.statuses = [answer.status for answer, _ in answers]

    harness = run_with_harness(scenario)
    assert harness.statuses == [200] * 3
    assert harness.host.run_locks == {}
