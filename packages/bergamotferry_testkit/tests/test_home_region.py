"""Home-bound content is not sent, logged or stored outside its region.

Keys, idempotency keys and bodies carry a marker. The test searches the captured
traffic between hosts, and the files of every host outside the home region, for it.
"""

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


def test_websocket_payloads_are_decoded_with_and_without_mask():
    for is_masked in (True, False):
        frame = Frame(Opcode.BINARY, MARKER.encode()).serialize(mask=is_masked)
        data = b"GET / HTTP/1.1\r\n\r\n" + frame + frame[:3]
        assert MARKER.encode() in websocket_payload(data, is_masked)


def test_rejected_handshake_response_is_returned_undecoded():
    # A stopping host rejects the handshake with a plain-text body instead of frames.
    head = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 37\r\n\r\n"
    data = f"{head}Server is shutting down. {MARKER}".encode()
    assert MARKER.encode() in websocket_payload(data, False)


async def send_through_all_hosts(deployment):
    """Send lookups and filings through every host; return the codes by region."""
    codes = {region: set() for region in deployment.shape.regions}
    async with aiohttp.ClientSession(headers=HEADERS) as http:
        for host in deployment.hosts:
            for number in range(N_KEYS):
                key = f"{deployment.shape.home_prefix}{MARKER}-{number}"
                url = f"http://{host.caller_address}/v1/testlog"
                async with http.get(f"{url}/lookup/{key}") as response:
                    codes[host.region].add(response.headers["Bergamotferry-Code"])
                filing_headers = {"Idempotency-Key": f"{MARKER}-{host.name}-{number}"}
                async with http.post(
                    f"{url}/filing/{key}", headers=filing_headers, data=MARKER
                ) as response:
                    codes[host.region].add(response.headers["Bergamotferry-Code"])
    return codes


def test_home_bound_content_is_not_sent_logged_or_stored_outside_its_region(tmp_path):
    deployment = LocalDeployment.from_config(EZO_LUMEN, tmp_path, has_proxy=True)
    deployment.has_capture = True

    async def scenario():
        await start_ready(deployment)
        return await send_through_all_hosts(deployment)

    try:
        codes = asyncio.run(scenario())
    finally:
        deployment.stop()
    home_region = deployment.shape.home_region
    assert codes == {home_region: {"0"}, "ishikari": {"1101"}}
    region_of = {host.name: host.region for host in deployment.hosts}
    marked_links = [
        (capture.sender, capture.receiver)
        for capture in read_captures(deployment.capture_folder)
        if MARKER.encode() in capture.payload
    ]
    # If the marker were found nowhere, the search would prove nothing.
    assert marked_links
    assert all(
        region_of[sender] == region_of[receiver] == home_region
        for sender, receiver in marked_links
    ), marked_links
    hosts_outside = [host for host in deployment.hosts if host.region != home_region]
    for host in hosts_outside:
        files = [tmp_path / f"{host.name}.log"]
        files += [path for path in (tmp_path / host.name).rglob("*") if path.is_file()]
        for path in files:
            assert MARKER.encode() not in path.read_bytes(), path
