"""Home-bound work leaves no trace outside its region: links, disks and logs."""

import asyncio

import aiohttp
from websockets.frames import Frame, Opcode

from bergamotferry_testkit.capture import read_captures, websocket_payload
from bergamotferry_testkit.deployment_start import start_ready
from bergamotferry_testkit.deployments import CALLER_TOKENS, EZO_LUMEN
from bergamotferry_testkit.local_deployment import LocalDeployment

MARKER = "marker-4f1e9a77c0d2"
HEADERS = {"Authorization": f"Bearer {CALLER_TOKENS['home']}"}
N_KEYS = 12


def test_payloads_are_read_with_and_without_a_mask():
    for is_masked in (True, False):
        frame = Frame(Opcode.BINARY, MARKER.encode()).serialize(mask=is_masked)
        data = b"GET / HTTP/1.1\r\n\r\n" + frame + frame[:3]
        assert MARKER.encode() in websocket_payload(data, is_masked)


def test_an_answer_that_refuses_the_handshake_is_read_as_it_is():
    # A host that stops answers so, and its text is no frame.
    head = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 37\r\n\r\n"
    data = f"{head}Server is shutting down. {MARKER}".encode()
    assert MARKER.encode() in websocket_payload(data, False)


async def ask_everywhere(deployment):
    """Look keys up and file at every host; return the codes by region."""
    codes = {region: set() for region in deployment.shape.regions}
    async with aiohttp.ClientSession(headers=HEADERS) as http:
        for host in deployment.hosts:
            for number in range(N_KEYS):
                key = f"{deployment.shape.home_prefix}{MARKER}-{number}"
                url = f"http://{host.caller_address}/v1/testlog"
                async with http.get(f"{url}/lookup/{key}") as response:
                    codes[host.region].add(response.headers["Bergamotferry-Code"])
                filing = {"Idempotency-Key": f"{MARKER}-{host.name}-{number}"}
                async with http.post(
                    f"{url}/filing/{key}", headers=filing, data=MARKER
                ) as response:
                    codes[host.region].add(response.headers["Bergamotferry-Code"])
    return codes


def test_home_bound_work_leaves_no_trace_outside_its_region(tmp_path):
    deployment = LocalDeployment.from_config(EZO_LUMEN, tmp_path, has_proxy=True)
    deployment.has_capture = True

    async def work():
        await start_ready(deployment)
        return await ask_everywhere(deployment)

    try:
        codes = asyncio.run(work())
    finally:
        deployment.stop()
    home = deployment.shape.home_region
    assert codes == {home: {"0"}, "ishikari": {"1101"}}
    region_of = {host.name: host.region for host in deployment.hosts}
    traces = [
        (row.sender, row.receiver)
        for row in read_captures(deployment.capture_folder)
        if MARKER.encode() in row.payload
    ]
    # The search itself is sound only if it finds the marker where it may be.
    assert traces
    assert all(region_of[a] == region_of[b] == home for a, b in traces), traces
    outside = [host for host in deployment.hosts if host.region != home]
    for host in outside:
        kept = [tmp_path / f"{host.name}.log"]
        kept += [path for path in (tmp_path / host.name).rglob("*") if path.is_file()]
        for path in kept:
            assert MARKER.encode() not in path.read_bytes(), path
