"""What the answer to a load probe proves about the process at an address."""

import asyncio
import contextlib

import pytest
from direct_harness import HEADER_NAMES, route, run_with_harness

from bergamotferry.protection.crash_records import KnownEnds
from bergamotferry.upstream_notice import is_available
from bergamotferry_host.clock import now_ns
from bergamotferry_host.direct_call import open_direct_session
from bergamotferry_host.load_probes import probe_loads
from bergamotferry_host.upstream_ends import InterruptedRun, record_connection_loss

OWN_NAME = (HEADER_NAMES.upstream, "u")
OTHER_NAME = (HEADER_NAMES.upstream, "v")
REQUEST_ID = (HEADER_NAMES.request_id, "r1")
NOT_RUN = (HEADER_NAMES.not_run, "1")
LOAD = (HEADER_NAMES.load, "1,0,2,100")


def head(status: str, *headers: tuple[str, str]) -> bytes:
    lines = [f"{name}: {text}" for name, text in headers]
    return "\r\n".join(
        [f"HTTP/1.1 {status}", *lines, "Content-Length: 0", "", ""]
    ).encode()


def probe_after_a_loss(*answers: bytes):
    """Probe an upstream under which a connection broke; return the host.

    Each probe gets the next of the answers, on one connection if it is kept. The second
    value is the number of connections.
    """
    n_connections = 0

    async def on_connection(reader, writer):
        nonlocal n_connections
        n_connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(left.pop(0))
        writer.close()

    left = list(answers)

    async def scenario(harness):
        harness.configure(route())
        server = await asyncio.start_server(on_connection, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        harness.add_at("u", address)
        watch = harness.host.end_watch
        run = InterruptedRun("r0", "f", KnownEnds(), now_ns())
        record_connection_loss(watch, "u", address, run)
        # The check of the address is not a connection of a probe.
        await watch.losses["u"].check
        nonlocal n_connections
        n_connections = 0
        async with server, open_direct_session(HEADER_NAMES) as http:
            service = harness.host.configuration.services["lamps"]
            for _ in answers:
                upstream = harness.host.upstreams["u"]
                await probe_loads(harness.host, http, service, [upstream])
                if upstream.probe_task is not None:
                    # Its answer is late, and counts all the same.
                    await upstream.probe_task

    return run_with_harness(scenario), n_connections


@pytest.mark.parametrize(
    "answer",
    [
        # A refusal, or an answer, of a request that the connection carried before.
        head("421 Other", REQUEST_ID, NOT_RUN),
        head("503 Full", REQUEST_ID, NOT_RUN, LOAD),
        head("200 OK", REQUEST_ID, (HEADER_NAMES.seal, "s"), LOAD),
        head("200 OK", REQUEST_ID, OTHER_NAME, LOAD),
        # The upstream is full, and refuses the probe like any other request.
        head("503 Full", NOT_RUN),
        head("503 Full", NOT_RUN, LOAD),
        head("404 Not Found"),
    ],
)
def test_answer_that_names_no_process_does_not_take_an_upstream_out_of_use(answer):
    """Guards against a sound upstream without requests, and a request blamed for it."""
    harness, n_connections = probe_after_a_loss(answer, head("200 OK", OWN_NAME, LOAD))
    host = harness.host
    upstream = host.upstreams["u"]
    assert is_available(upstream.availability, harness.ended_ns)
    assert host.end_watch.n_ends == 0
    # What follows such an answer on its connection is of no use either.
    assert n_connections == 2
    assert upstream.load.reported_ns > 0
    assert host.services_without_load == set()


def test_probe_answered_by_another_process_takes_the_upstream_out_of_use():
    harness, _ = probe_after_a_loss(head("200 OK", OTHER_NAME, LOAD))
    availability = harness.host.upstreams["u"].availability
    assert not is_available(availability, harness.ended_ns + 900_000_000)
    assert harness.host.end_watch.n_ends == 1


def test_probe_answered_by_the_upstream_reports_its_load():
    answer = head("200 OK", OWN_NAME, LOAD)
    harness, n_connections = probe_after_a_loss(answer, answer)
    host = harness.host
    assert host.upstreams["u"].load.reported_ns > 0
    assert host.end_watch.n_ends == 0
    assert n_connections == 1
