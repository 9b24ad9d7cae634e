"""Both programs as processes on loopback, with a stand-in for an upstream."""

import asyncio
import contextlib
import json
import os
import signal
import sys

import aiohttp
import platform_fleet
import pytest
from aiohttp import web
from claimed_network import claim_network
from platform_fleet import (
    METRICS_PORT,
    Fleet,
    not_run_answer,
    route,
    send_http_request,
)

NETWORK = claim_network()
CORES = [f"{NETWORK}.{number}.1" for number in (1, 2, 3)]
EDGE = f"{NETWORK}.1.9"
UPSTREAM_ADDRESS = f"{NETWORK}.1.50:18099"
REQUEST_ID_HEADER = "X-Request-Id"
STATUS_TIMEOUT_S = 20.0


def manifest(version, prefix="/x/"):
    return platform_fleet.manifest(version, route(prefix))


def heartbeat(sequence, state="ready"):
    return platform_fleet.heartbeat(sequence, state, UPSTREAM_ADDRESS)


@contextlib.asynccontextmanager
async def running_fleet(tmp_path):
    fleet = Fleet(tmp_path, CORES, [EDGE])
    try:
        await fleet.start_hosts()
        yield fleet
    finally:
        await fleet.end_hosts()


@contextlib.asynccontextmanager
async def running_upstream(name):
    """Serve an upstream that answers every request with the request's id and a seal.

    Yields a list that receives the id and the body of each request that runs.
    """
    served = []

    async def on_request(request):
        if request.headers.get("X-Expected-Instance") != name:
            return not_run_answer(request)
        served.append((request.headers[REQUEST_ID_HEADER], await request.read()))
        headers = {
            REQUEST_ID_HEADER: request.headers[REQUEST_ID_HEADER],
            "X-Response-Seal": "s",
        }
        return web.Response(text=request.raw_path, headers=headers)

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", on_request)
    runner = web.AppRunner(app)
    await runner.setup()
    ip, port = UPSTREAM_ADDRESS.split(":")
    await web.TCPSite(runner, ip, int(port)).start()
    try:
        yield served
    finally:
        await runner.cleanup()


async def metrics_of(http, ip):
    status, body = await send_http_request(
        http, "GET", f"http://{ip}:{METRICS_PORT}/metrics"
    )
    assert status == 200
    return body.decode()


async def wait_for_status(status, send_request):
    """Resend a request until its response has a status; return the body.

    The callers of the platform resend in the same way.
    """
    async with asyncio.timeout(STATUS_TIMEOUT_S):
        while True:
            current_status, body = await send_request()
            if current_status == status:
                return body
            await asyncio.sleep(0.1)


async def _run_scenario(tmp_path):
    async with (
        running_fleet(tmp_path) as fleet,
        running_upstream("i-1") as served,
        aiohttp.ClientSession() as http,
    ):

        def put_configuration(core, content):
            url = f"http://{core}:18166/api/config"
            return send_http_request(http, "PUT", url, json=content)

        def read_configuration(core):
            return send_http_request(http, "GET", f"http://{core}:18166/api/config")

        def send_heartbeat(core, *args):
            url = f"http://{core}:18166/api/instances/i-1"
            return send_http_request(http, "PUT", url, json=heartbeat(*args))

        async def send_request(request_id, path="/x/1"):
            headers = {"Host": "one.example", REQUEST_ID_HEADER: request_id}
            url = f"http://{EDGE}:18161{path}"
            return await send_http_request(
                http, "POST", url, headers=headers, data=b"body"
            )

        # Without a configuration, a host is not ready and answers requests as not run.
        ready_url = f"http://{EDGE}:18167/api/ready"
        await wait_for_status(503, lambda: send_http_request(http, "GET", ready_url))
        assert (await send_request("early"))[0] == 503
        await wait_for_status(200, lambda: put_configuration(CORES[0], manifest(5)))
        await wait_for_status(200, lambda: send_heartbeat(CORES[1], 1))
        await wait_for_status(200, lambda: send_http_request(http, "GET", ready_url))
        await wait_for_status(200, lambda: send_request("a"))
        assert served[-1] == ("a", b"body")
        assert (await send_request("b", "/none/1"))[0] == 404

        # An operator asks where a request would go; nothing is sent.
        url = f"http://{EDGE}:{METRICS_PORT}/placement?host=one.example&target=/x/1"
        status, body = await send_http_request(http, "GET", url)
        decision = json.loads(body)["decision"]
        assert (status, decision["kind"], decision["upstream"]) == (200, "send", "i-1")
        assert served[-1] == ("a", b"body")

        # An older and an equal version are acknowledged and change nothing.
        await wait_for_status(
            200, lambda: put_configuration(CORES[1], manifest(4, prefix="/old/"))
        )
        await wait_for_status(
            200, lambda: put_configuration(CORES[2], manifest(5, prefix="/other/"))
        )
        assert (await put_configuration(CORES[2], {"version": "00000009"}))[0] == 400
        for core in CORES:
            body = await wait_for_status(
                200, lambda core=core: read_configuration(core)
            )
            assert json.loads(body) == manifest(5)

        # One control host is killed: writes and reads continue, and it recovers.
        await fleet.end(CORES[0])
        await wait_for_status(200, lambda: put_configuration(CORES[1], manifest(6)))
        assert json.loads(
            await wait_for_status(200, lambda: read_configuration(CORES[2]))
        ) == manifest(6)
        await fleet.start(CORES[0])
        body = await wait_for_status(200, lambda: read_configuration(CORES[0]))
        assert json.loads(body) == manifest(6)

        # SIGHUP makes a host read its settings again; invalid ones don't end it.
        for ip in (EDGE, CORES[2]):
            fleet.processes[ip].send_signal(signal.SIGHUP)
        (tmp_path / f"{EDGE}.conf").write_text("ip=nothing else")
        fleet.processes[EDGE].send_signal(signal.SIGHUP)
        assert (await send_request("hup"))[0] == 200

        # All control hosts are killed at once; acknowledged state is kept.
        for core in CORES:
            await fleet.end(core)
        assert (await send_request("c"))[0] == 200
        for core in CORES:
            await fleet.start(core)
        assert json.loads(
            await wait_for_status(200, lambda: read_configuration(CORES[2]))
        ) == manifest(6)

        # Metrics report the results of the requests above, and which host leads.
        text = await metrics_of(http, EDGE)
        assert 'bergamotferry_requests_total{code="0",kind="unsafe"} 3.0' in text
        assert 'bergamotferry_requests_total{code="1004",kind="none"} 1.0' in text
        assert "bergamotferry_configuration_version 6.0" in text
        texts = [await metrics_of(http, core) for core in CORES]
        assert sum("bergamotferry_is_leader 1.0" in text for text in texts) == 1
        assert all("bergamotferry_configuration_version 6.0" in text for text in texts)

        # Two seconds after an upstream reports that it drains, it receives no requests.
        await wait_for_status(200, lambda: send_heartbeat(CORES[1], 2))
        await wait_for_status(200, lambda: send_heartbeat(CORES[2], 3, "draining"))
        await asyncio.sleep(2.0)
        n_before = len(served)
        assert (await send_request("d"))[0] == 503
        await send_heartbeat(CORES[0], 9)
        assert (await send_request("e"))[0] == 503
        assert len(served) == n_before

        assert await fleet.end(EDGE, signal.SIGTERM) == 0


def test_processes_keep_state_and_serve_through_restarts(tmp_path):
    asyncio.run(_run_scenario(tmp_path))


ODD_PINGS = [
    b"[" * 9_999,
    b'{"x": ' * 2_000,
    b"\xff\xfe",
    json.dumps({**heartbeat(1), "service": "\ud800"}).encode(),
    json.dumps({**heartbeat(1), "version": "\udfff"}).encode(),
    json.dumps({**heartbeat(1), "slots": 10**400}).encode(),
    json.dumps({**heartbeat(1), "warmup-left-ms": 10**400}).encode(),
    json.dumps({**heartbeat(1), "sequence": 10**400}).encode(),
    json.dumps({**heartbeat(1), "born": 10**400}).encode(),
    json.dumps({**heartbeat(1), "address": f"{NETWORK}.1.50:" + "9" * 5_000}).encode(),
    json.dumps({**heartbeat(1), "address": f"{NETWORK}.1.50:99999"}).encode(),
]


async def _send_odd_pings(tmp_path):
    """Send odd pings to every control host; return whether requests are served."""
    async with (
        running_fleet(tmp_path) as fleet,
        running_upstream("i-1"),
        aiohttp.ClientSession() as http,
    ):

        def put(core, path, content):
            url = f"http://{core}:18166{path}"
            return send_http_request(http, "PUT", url, data=content)

        def send_request():
            headers = {"Host": "one.example", REQUEST_ID_HEADER: "a"}
            url = f"http://{EDGE}:18161/x/1"
            return send_http_request(http, "POST", url, headers=headers)

        content = json.dumps(manifest(1)).encode()
        await wait_for_status(200, lambda: put(CORES[0], "/api/config", content))
        for core in CORES:
            # This one may have started later than the one that took the manifest.
            url = f"http://{core}:18166/api/config"
            await wait_for_status(
                200, lambda url=url: send_http_request(http, "GET", url)
            )
            for number, odd_ping in enumerate(ODD_PINGS):
                status, _ = await put(core, f"/api/instances/odd-{number}", odd_ping)
                assert status == 400, odd_ping[:80]
        path, ping = "/api/instances/i-1", json.dumps(heartbeat(1)).encode()
        for core in CORES:
            await wait_for_status(200, lambda core=core: put(core, path, ping))
        await wait_for_status(200, send_request)
        assert all(process.returncode is None for process in fleet.processes.values())


def test_odd_pings_end_no_process_and_hide_no_upstream(tmp_path):
    asyncio.run(_send_odd_pings(tmp_path))


@pytest.mark.parametrize("role", ["edge", "core"])
def test_bad_settings_prevent_the_start_with_a_line_each(tmp_path, role):
    async def start():
        path = tmp_path / "bad.conf"
        path.write_text("ip=10.0.0.1\nbounds=grace-s=soon\n")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bergamotferry_platform",
            role,
            "--metrics-port",
            str(METRICS_PORT),
            env={**os.environ, "BERGAMOTFERRY_CONFIG": str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        _, errors = await process.communicate()
        return process.returncode, errors.decode()

    code, errors = asyncio.run(start())
    assert code == 2
    assert "bounds.grace-s: 'soon' is no number" in errors
    assert "no control host is named" in errors
