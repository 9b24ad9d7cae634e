"""Which broken connections count as the end of an upstream's process."""

import asyncio
import contextlib
import socket

import pytest

from bergamotferry.protection.crash_records import KnownEnds
from bergamotferry_host import upstream_ends
from bergamotferry_host.clock import now_ns
from bergamotferry_host.upstream_ends import (
    EndWatch,
    InterruptedRun,
    drop_old_losses,
    is_connection_loss,
    record_address_in_use,
    record_connection_loss,
    record_life,
    record_proof,
    wait_for_check,
)

RUN = InterruptedRun("r1", "f1", KnownEnds(), 0)


@pytest.fixture(autouse=True)
def patient_checks(monkeypatch):
    """Wait for the check of an address until it ends.

    A delay of this process would otherwise leave an address unchecked.
    """
    monkeypatch.setattr(upstream_ends, "CHECK_TIMEOUT_S", 60.0)
    monkeypatch.setattr(upstream_ends, "CHECK_WAIT_S", 60.0)


@contextlib.asynccontextmanager
async def listening_address():
    async def on_connection(reader, writer):
        writer.close()

    server = await asyncio.start_server(on_connection, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()


@contextlib.contextmanager
def closed_address():
    """Yield an address that refuses connections and that no other process can take."""
    with socket.socket() as bound_socket:
        bound_socket.bind(("127.0.0.1", 0))
        yield f"127.0.0.1:{bound_socket.getsockname()[1]}"


def ended_runs(scenario):
    """Return the requests under which upstreams ended in a scenario."""
    ended = []

    async def run():
        await scenario(EndWatch(ended.append))

    asyncio.run(run())
    return ended


def test_refused_connection_after_a_loss_proves_the_end():
    async def scenario(watch):
        with closed_address() as address:
            record_connection_loss(watch, "u", address, RUN)
            record_connection_loss(watch, "u", "", RUN._replace(request_id="r2"))
            await wait_for_check(watch, "u")
        assert watch.n_ends == 1

    assert [run.request_id for run in ended_runs(scenario)] == ["r1", "r2"]


def test_request_does_not_wait_for_a_check_that_does_not_end(monkeypatch):
    """Guards against requests that wait for an address which never answers."""

    async def never_ends(address, timeout_s):
        await asyncio.Event().wait()

    monkeypatch.setattr(upstream_ends, "refuses_connections", never_ends)
    monkeypatch.setattr(upstream_ends, "CHECK_WAIT_S", 0.01)

    async def scenario(watch):
        record_connection_loss(watch, "u", "127.0.0.1:1", RUN)
        async with asyncio.timeout(30):
            await wait_for_check(watch, "u")
        assert not watch.losses["u"].check.done()

    assert ended_runs(scenario) == []


def test_connection_reset_by_a_living_upstream_is_no_end():
    async def scenario(watch):
        async with listening_address() as address:
            record_connection_loss(watch, "u", address, RUN)
            await wait_for_check(watch, "u")

    assert ended_runs(scenario) == []


@pytest.mark.parametrize("proof", ["other process", "next incarnation"])
def test_later_proof_counts_within_its_time_only(monkeypatch, proof):
    now = 1_000_000_000_000
    monkeypatch.setattr(upstream_ends, "now_ns", lambda: now)

    async def scenario(watch):
        nonlocal now
        async with listening_address() as address:
            for delay_ns in (0, 1):
                record_connection_loss(watch, "u", address, RUN)
                await wait_for_check(watch, "u")
                now += upstream_ends.PROOF_WINDOW_NS + delay_ns
                record_proof(watch, "u", proof)
                now += 1

    assert len(ended_runs(scenario)) == 1


def test_process_that_reports_from_the_address_proves_the_end():
    async def scenario(watch):
        async with listening_address() as address:
            record_connection_loss(watch, "u", address, RUN)
            await wait_for_check(watch, "u")
            record_address_in_use(watch, address, "u")
            record_address_in_use(watch, "127.0.0.1:1", "other")
            assert watch.n_ends == 0
            record_address_in_use(watch, address, "other")

    assert ended_runs(scenario) == [RUN]


def test_request_sent_to_an_upstream_that_had_ended_did_not_end_it():
    """Guards against blame for what a proxy takes for a process that is gone."""

    async def scenario(watch):
        async with listening_address() as address:
            record_connection_loss(watch, "u", address, RUN)
            late = RUN._replace(request_id="r2", sent_ns=now_ns() + 1)
            record_connection_loss(watch, "u", address, late)
            await wait_for_check(watch, "u")
            record_proof(watch, "u", "other process")

    assert ended_runs(scenario) == [RUN]


@pytest.mark.parametrize(("delay_ns", "n_ended"), [(-1, 1), (1, 0)])
def test_answer_to_what_was_sent_after_the_loss_disproves_the_end(delay_ns, n_ended):
    async def scenario(watch):
        async with listening_address() as address:
            record_connection_loss(watch, "u", address, RUN)
            await wait_for_check(watch, "u")
            record_life(watch, "u", watch.losses["u"].first_ns + delay_ns)
            record_proof(watch, "u", "other process")

    assert len(ended_runs(scenario)) == n_ended


def test_proof_without_a_loss_is_no_end():
    async def scenario(watch):
        record_proof(watch, "u", "connection refused")
        assert watch.n_ends == 0

    assert ended_runs(scenario) == []


def test_losses_without_a_proof_are_forgotten(monkeypatch):
    now = 1_000_000_000_000
    monkeypatch.setattr(upstream_ends, "now_ns", lambda: now)

    async def scenario(watch):
        nonlocal now
        async with listening_address() as address:
            for number in range(200):
                run = RUN._replace(request_id=str(number))
                record_connection_loss(watch, "u", address, run)
            assert len(watch.losses["u"].runs) == upstream_ends.N_LOSSES_MAX
            await wait_for_check(watch, "u")
        now += upstream_ends.PROOF_WINDOW_NS + 1
        drop_old_losses(watch)
        assert watch.losses == {}

    assert ended_runs(scenario) == []


@pytest.mark.parametrize(
    ("result", "detail", "expected"),
    [
        ("broken", "ServerDisconnectedError", True),
        ("broken", "ClientPayloadError", True),
        ("broken", "TimeoutError", False),
        ("broken", "the answer is encoded", False),
        ("broken", "the answer belongs to another request", False),
        ("not_run", "status 503", False),
        ("answered", "", False),
    ],
)
def test_time_outs_and_garbled_answers_are_no_lost_connections(
    result, detail, expected
):
    assert is_connection_loss(result, detail) == expected
