"""Requests of accounts with a cap at a host, from the permit to the send."""

import asyncio
import contextlib
import logging
from types import SimpleNamespace

import pytest
from direct_harness import (
    HEADER_NAMES,
    SETTINGS,
    failed,
    full,
    reset,
    route,
    run_with_harness,
    served,
)
from multidict import CIMultiDict

from bergamotferry.accounts import Account, key_digest
from bergamotferry.configuration import CallerLimits, Configuration, DirectService
from bergamotferry.quota.caps import cap_of
from bergamotferry.quota.ledger import Ledger, answer_question
from bergamotferry_host import direct_sending
from bergamotferry_host.clock import now_ns
from bergamotferry_host.direct_call import SendOutcome
from bergamotferry_host.direct_metrics import direct_metric_families
from bergamotferry_host.fleet_settings import FleetBounds
from bergamotferry_host.peer_link import PeerUnreachable
from bergamotferry_host.quota import spending
from bergamotferry_host.quota.share_renewal import run_share_renewal
from bergamotferry_host.quota.state import quota_rules

KEY = {"Authorization": "Bearer k"}
# A cap of 4 in 5 s, without a tolerance.
ANN = Account("ann", (key_digest("k"),), None, (), 0.8, 0.0)
BOUNDS = FleetBounds(quota_overshoot=0.0, quota_slack=0.0)
RULES = quota_rules(BOUNDS)


class FakeLeader:
    """A control host that leads; ``is_lost`` lets it answer nothing."""

    def __init__(self, account):
        self.ledger = Ledger("l", 1, now_ns(), RULES, frozenset(), True)
        self.caps = {"ann": cap_of(account, RULES)}
        self.questions = []
        self.is_lost = False

    async def call(self, name, message, timeout_s, link_class="control"):
        assert (name, link_class) == ("c", "records")
        self.questions.append(message)
        if self.is_lost:
            raise PeerUnreachable(name)
        await asyncio.sleep(0.002)
        return answer_question(self.ledger, self.caps, message, now_ns())


@contextlib.asynccontextmanager
async def asking(harness, account=ANN, routes=None, is_lost=False):
    """Let a host ask a leader for shares; yield the leader."""
    service = DirectService("lamps", "/health", 9, 3.0, 3.0, False, 0.0)
    host = harness.host
    host.settings = SETTINGS._replace(bounds=BOUNDS)
    host.configuration = Configuration.from_rows(
        1,
        routes or (route("safe"), route("unsafe")),
        [service],
        CallerLimits(),
        [account],
    )
    host.confirmed_ns = now_ns()
    leader = FakeLeader(account)
    leader.is_lost = is_lost
    host.network = SimpleNamespace(call=leader.call)
    host.followed = "c"
    renewal = asyncio.create_task(run_share_renewal(host))
    try:
        yield leader
    finally:
        renewal.cancel()


def share(harness):
    return harness.host.quota.shares.shares["ann"]


async def send(harness, number, path="/safe/1", **headers):
    return await harness.send_request(path, f"r{number}", **KEY, **headers)


def test_requests_over_the_cap_get_429_and_do_not_run(caplog):
    caplog.set_level(logging.INFO, "bergamotferry")
    answers = []

    async def scenario(harness):
        await harness.add("u1", served)
        async with asking(harness):
            for number in range(7):
                answers.append(await send(harness, number))

    harness = run_with_harness(scenario)
    assert [answer.status for answer, _ in answers] == [200] * 4 + [429] * 3
    assert [text[:4] for _, text in answers[4:]] == ["1204"] * 3
    assert all("Retry-After" in answer.headers for answer, _ in answers[4:])
    assert [request_id for _, request_id in harness.sends] == ["r0", "r1", "r2", "r3"]
    lines = [record for record in caplog.records if record.message == "refused"]
    assert {line.cause for line in lines} == {"cap"}
    assert all("account ann has used up its cap" in line.detail for line in lines)
    waited = [r for r in caplog.records if r.message == "waited for a share"]
    assert waited and all(line.account == "ann" for line in waited)


@pytest.mark.parametrize("first", [failed, full, reset])
def test_request_counts_once_however_often_it_is_sent(first):
    """Guards against retries and hedges that use up a cap."""

    async def scenario(harness):
        await harness.add("u1", first)
        await harness.add("u2", served)
        async with asking(harness):
            answer, _ = await send(harness, 0)
            assert answer.status == 200
            assert (share(harness).n_sent, share(harness).n_taken) == (1, 0)

    assert len(run_with_harness(scenario).sends) == 2


def test_request_that_is_not_sent_leaves_its_permit_to_another_one():
    """Guards against a cap that is used up by refused requests."""

    async def scenario(harness):
        async with asking(harness):
            for number in range(8):
                answer, text = await send(harness, number)
                assert (answer.status, text[:4]) == (503, "1104")
            assert (share(harness).n_sent, share(harness).n_taken) == (0, 0)
            await harness.add("u1", served)
            answer, _ = await send(harness, 9)
            assert answer.status == 200

    run_with_harness(scenario)


def test_account_without_a_rate_needs_no_leader():
    async def scenario(harness):
        await harness.add("u1", served)
        async with asking(
            harness, ANN._replace(rate_per_s=0.0), is_lost=True
        ) as leader:
            for number in range(6):
                answer, _ = await send(harness, number)
                assert answer.status == 200
            assert leader.questions == []
            families = {f.name for f in direct_metric_families(harness.host)}
            assert "share_held" not in families

    run_with_harness(scenario)


def test_without_a_leader_a_request_waits_within_a_bound_and_is_refused(caplog):
    caplog.set_level(logging.INFO, "bergamotferry")

    async def scenario(harness):
        await harness.add("u1", served)
        async with asking(harness, is_lost=True) as leader:
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            # The caller has 200 ms, of which the wait may take 80.
            answer, text = await send(harness, 0, **{HEADER_NAMES.deadline_ms: "200"})
            assert (answer.status, text[:4]) == (503, "1110")
            assert "Retry-After" in answer.headers
            assert 0.06 < loop.time() - began_s < 2.0
            assert len(leader.questions) >= 1
            leader.is_lost = False
            answer, _ = await send(harness, 1)
            assert answer.status == 200

    assert len(run_with_harness(scenario).sends) == 1
    lines = [record for record in caplog.records if record.message == "refused"]
    assert [line.cause for line in lines] == ["stale"]


@pytest.mark.parametrize("is_at_write", [False, True])
def test_request_whose_share_expired_before_its_send_does_not_run(
    monkeypatch, is_at_write
):
    """Guards against a host that was frozen between the permit and the send."""
    reserve = direct_sending.reserve_upstream

    async def scenario(harness):
        def expire():
            share(harness).expires_ns = now_ns()

        async def reserve_late(*args):
            reservation = await reserve(*args)
            if is_at_write:
                expire()
            return reservation

        def hold_up(*args):
            if not is_at_write:
                expire()

        monkeypatch.setattr(direct_sending, "reserve_upstream", reserve_late)
        monkeypatch.setattr(direct_sending, "quarantine_refusal", hold_up)
        await harness.add("u1", served)
        await harness.add("u2", served)
        async with asking(harness):
            answer, text = await send(harness, 0)
            assert (answer.status, text[:4]) == (503, "1110")
            assert share(harness).n_sent == 0

    harness = run_with_harness(scenario)
    assert harness.sends == []
    # It holds nothing against the upstream.
    assert harness.host.upstreams["u1"].load.n_in_flight == 0


@pytest.mark.parametrize(
    ("first", "rate_per_s", "expected"),
    [
        (full, 0.8, (200, "whol", 2)),
        (full, 0.2, (429, "1204", 1)),
        # It may have run, so it must not be said that it has not.
        (reset, 0.2, (502, "3001", 1)),
    ],
)
def test_late_retry_needs_another_permit(monkeypatch, first, rate_per_s, expected):
    """Guards against requests that wait for full upstreams and run all at once.

    Each counts when it was sent first, up to its time limit before it runs.
    """
    monkeypatch.setattr(spending, "RETRY_NS", -1)

    async def scenario(harness):
        await harness.add("u1", first)
        await harness.add("u2", served)
        async with asking(harness, ANN._replace(rate_per_s=rate_per_s)):
            answer, text = await send(harness, 0)
            n_sent = share(harness).n_sent
            assert (answer.status, text[:4], n_sent) == expected
            assert share(harness).n_taken == 0

    harness = run_with_harness(scenario)
    assert len(harness.sends) == expected[2]


def test_retry_of_a_host_that_was_frozen_is_not_sent(monkeypatch):
    """Guards against a retry that runs long after its request was counted."""
    monkeypatch.setattr(spending, "RETRY_WRITE_NS", -1)

    async def scenario(harness):
        await harness.add("u1", full)
        await harness.add("u2", served)
        async with asking(harness):
            answer, _ = await send(harness, 0)
            assert answer.status == 503

    harness = run_with_harness(scenario)
    assert [name for name, _ in harness.sends] == ["u1"]


def test_request_is_not_sent_here_if_its_share_expired_while_it_was_not_fetched(
    monkeypatch,
):
    """Guards against a host that was frozen after a control host had refused."""

    async def scenario(harness):
        async def fetch_answer(*args):
            share(harness).expires_ns = now_ns()
            return None

        monkeypatch.setattr(direct_sending, "fetch_answer", fetch_answer)
        monkeypatch.setattr(direct_sending, "fetching_host_for", lambda host: "c")
        monkeypatch.setattr(direct_sending, "_may_fetch", lambda *args: True)
        monkeypatch.setattr(direct_sending, "remote_wait_left_ms", lambda *args: 0.0)
        monkeypatch.setattr(direct_sending, "_may_hedge", lambda *args: False)
        await harness.add("u1", served)
        async with asking(harness):
            answer, text = await send(harness, 0)
            assert (answer.status, text[:4]) == (503, "1110")

    assert run_with_harness(scenario).sends == []


@pytest.mark.parametrize(
    ("outcome", "status", "n_sent"),
    [
        (SendOutcome("answered", "", 200, CIMultiDict(), b"whole"), 200, 1),
        (SendOutcome("broken", "StreamBroken"), 502, 1),
        (SendOutcome("too_late", "busy"), 503, 0),
        (SendOutcome("no_connection", "refused"), 503, 0),
        # The host sends it itself then.
        (None, 200, 1),
    ],
)
def test_request_that_a_control_host_sends_counts_once_it_is_over(
    monkeypatch, outcome, status, n_sent
):
    """Guards against a fetch that waits elsewhere and is counted before its send."""
    held = []

    async def scenario(harness):
        async def fetch_answer(*args):
            held.append((share(harness).n_under_way, share(harness).n_sent))
            return outcome

        monkeypatch.setattr(direct_sending, "fetch_answer", fetch_answer)
        monkeypatch.setattr(direct_sending, "fetching_host_for", lambda host: "c")
        monkeypatch.setattr(direct_sending, "_may_fetch", lambda *args: True)
        monkeypatch.setattr(direct_sending, "remote_wait_left_ms", lambda *args: 0.0)
        monkeypatch.setattr(direct_sending, "_may_hedge", lambda *args: False)
        await harness.add("u1", served)
        async with asking(harness):
            answer, _ = await send(harness, 0)
            assert answer.status == status
            assert share(harness).n_sent == n_sent
            assert (share(harness).n_under_way, share(harness).n_taken) == (0, 0)

    run_with_harness(scenario)
    assert held == [(1, 0)] * len(held)


def test_caller_that_leaves_while_it_waits_takes_no_permit():
    async def scenario(harness):
        await harness.add("u1", served)
        async with asking(harness, is_lost=True) as leader:
            request = asyncio.create_task(send(harness, 0))
            await asyncio.sleep(0.05)
            request.cancel()
            await asyncio.gather(request, return_exceptions=True)
            await asyncio.sleep(0.05)
            leader.is_lost = False
            for number in range(1, 5):
                answer, _ = await send(harness, number)
                assert answer.status == 200

    harness = run_with_harness(scenario)
    assert share(harness).n_taken == 0
    assert len(harness.sends) == 4


def test_many_requests_at_once_share_few_questions():
    """Guards against a question for each request of a burst."""

    async def scenario(harness):
        await harness.add("u1", served)
        async with asking(harness, ANN._replace(burst=96.0)) as leader:
            answers = await asyncio.gather(*(send(harness, n) for n in range(40)))
            n_questions = len(leader.questions)
        assert {answer.status for answer, _ in answers} <= {200, 503}
        assert {text[:4] for answer, text in answers if answer.status == 503} <= {
            "1201"
        }
        assert n_questions < 10

    run_with_harness(scenario)


def test_loss_and_return_of_the_leader_are_logged_once(monkeypatch, caplog):
    caplog.set_level(logging.INFO, "bergamotferry")
    monkeypatch.setattr(
        "bergamotferry_host.quota.share_renewal.OVERDUE_NS", 100_000_000
    )
    monkeypatch.setattr(spending, "WAIT_MAX_S", 0.05)

    async def scenario(harness):
        await harness.add("u1", served)
        async with asking(harness, is_lost=True) as leader:
            for number in range(8):
                await send(harness, number)
            leader.is_lost = False
            for number in range(4):
                await send(harness, 10 + number)
            families = {f.name: f.rows for f in direct_metric_families(harness.host)}
            assert families["share_questions"]["no reply",] >= 2
            assert families["share_age_seconds"][()] < 5.0

    run_with_harness(scenario)
    events = [r.message for r in caplog.records if r.message.startswith("shares ")]
    assert events == ["shares not renewed", "shares renewed again"]
