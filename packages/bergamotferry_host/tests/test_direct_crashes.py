"""What a host does with requests under which upstreams end."""

import asyncio

import pytest
from direct_harness import (
    HEADER_NAMES,
    full,
    not_held,
    route,
    run_with_harness,
    served,
)

from bergamotferry.protection.crash_records import (
    N_ENDS_MAX,
    N_ENDS_RETRIED_MAX,
    KnownEnds,
    known_ends,
    record_end,
    request_fingerprint,
)
from bergamotferry.upstream_notice import is_available
from bergamotferry_host.clock import now_ns
from bergamotferry_host.direct_call import open_direct_session
from bergamotferry_host.load_probes import probe_loads
from bergamotferry_host.upstream_ends import InterruptedRun, record_connection_loss

FINGERPRINT = request_fingerprint("POST", "a.example", "/safe/1", "", b"body")


async def add_ending(harness, name):
    """Add an upstream that closes its socket and its connections at a request."""
    connections = []

    async def on_connection(reader, writer):
        connections.append(writer)
        head = await reader.readuntil(b"\r\n\r\n")
        if b" /health " in head.split(b"\r\n")[0]:
            load = f"{HEADER_NAMES.load}: 0,0,2,100\r\n{HEADER_NAMES.upstream}: {name}"
            writer.write(
                f"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n{load}\r\n\r\n".encode()
            )
            writer.close()
            return
        harness.sends.append((name, ""))
        server.close()
        for connection in connections:
            connection.transport.abort()

    server = await asyncio.start_server(on_connection, "127.0.0.1", 0)
    harness.add_at(name, f"127.0.0.1:{server.sockets[0].getsockname()[1]}")


def suspect(harness, n_ends):
    table = harness.host.crashes.table
    for _ in range(n_ends):
        record_end(table, FINGERPRINT, known_ends(table, FINGERPRINT), now_ns())


def test_idempotent_request_ends_one_more_upstream_at_most():
    async def scenario(harness):
        harness.configure(route(n_attempts_max=5))
        for number in range(5):
            await add_ending(harness, f"u{number}")
        answer, _ = await harness.send_request("/safe/1")
        assert answer.status == 502

    harness = run_with_harness(scenario)
    assert len(harness.sends) == N_ENDS_RETRIED_MAX + 1
    assert known_ends(harness.host.crashes.table, FINGERPRINT) == KnownEnds(0, 2)


def test_quarantined_request_is_refused_at_once_as_not_run():
    async def scenario(harness):
        harness.configure(route())
        await harness.add("u", served)
        suspect(harness, N_ENDS_MAX)
        answer, text = await harness.send_request("/safe/1")
        assert answer.status == 503 and text.startswith("1301 ")
        assert float(answer.headers["Retry-After"]) > 1
        # Other content on the same route is not affected.
        answer, _ = await harness.send_request("/safe/2")
        assert answer.status == 200

    assert len(run_with_harness(scenario).sends) == 1


def test_success_clears_a_suspected_request():
    async def scenario(harness):
        harness.configure(route())
        await harness.add("u", served)
        suspect(harness, N_ENDS_MAX - 1)
        answer, _ = await harness.send_request("/safe/1")
        assert answer.status == 200

    harness = run_with_harness(scenario)
    assert known_ends(harness.host.crashes.table, FINGERPRINT) == KnownEnds(1, 0)


def test_suspected_request_is_still_sent_on_from_a_full_upstream():
    async def scenario(harness):
        harness.configure(route())
        await harness.add("full", full)
        await harness.add("u", served)
        suspect(harness, N_ENDS_MAX - 1)
        answer, _ = await harness.send_request("/safe/1")
        assert answer.status == 200

    assert [name for name, _ in run_with_harness(scenario).sends] == ["full", "u"]


@pytest.mark.parametrize("phase", ["draining", "gone"])
def test_upstream_that_leaves_has_not_ended_under_its_requests(phase):
    async def scenario(harness):
        harness.configure(route(n_attempts_max=1))
        await add_ending(harness, "u")
        upstream = harness.host.upstreams["u"]

        async def leave():
            while not harness.sends:
                upstream.row = upstream.row._replace(phase=phase)
                await asyncio.sleep(0)

        leaving = asyncio.create_task(leave())
        answer, _ = await harness.send_request("/safe/1")
        await leaving
        assert answer.status == 502

    assert run_with_harness(scenario).host.crashes.table.entries == {}


async def swap_incarnation(harness, name):
    """Replace an upstream by its next incarnation, whose connection has just broken."""
    row = harness.host.upstreams[name].row
    harness.host.upstreams.pop(name)
    harness.add_at(name, "127.0.0.1:1")
    upstream = harness.host.upstreams[name]
    upstream.row = upstream.row._replace(born_ms=row.born_ms + 1)
    watch = harness.host.end_watch
    run = InterruptedRun("r0", "f", KnownEnds(), now_ns())
    # The check of the address finds it in use, which proves nothing.
    record_connection_loss(watch, name, row.address, run)
    await watch.losses[name].check


def test_refusal_by_who_has_a_former_address_is_no_proof_of_the_next_ones_end():
    """Guards against a request blamed for the end of a process that is up."""

    async def scenario(harness):
        harness.configure(route("unsafe"))
        harness.host.services_without_load.add("lamps")

        async def refuse_late(request):
            await swap_incarnation(harness, "u")
            return await not_held(request)

        await harness.add("u", refuse_late)
        answer, _ = await harness.send_request("/unsafe/1")
        assert answer.status == 503

    harness = run_with_harness(scenario)
    assert len(harness.sends) == 1
    assert harness.host.end_watch.n_ends == 0
    assert is_available(harness.host.upstreams["u"].availability, harness.ended_ns)


def test_refused_connection_at_a_former_address_is_no_proof_of_the_next_ones_end():
    async def scenario(harness):
        harness.configure(route())
        await harness.add("u", served)
        former = harness.host.upstreams["u"]
        await swap_incarnation(harness, "u")
        former.row = former.row._replace(address="127.0.0.1:1")
        async with open_direct_session(HEADER_NAMES) as http:
            service = harness.host.configuration.services["lamps"]
            await probe_loads(harness.host, http, service, [former])

    assert run_with_harness(scenario).host.end_watch.n_ends == 0
