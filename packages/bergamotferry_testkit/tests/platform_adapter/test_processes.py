"""The two programs as processes on loopback, before a stand-in of a platform's target.

Addresses are of 127/8, since a host's name is its IP number and all use one port.
"""

import asyncio
import contextlib
import json
import os
import signal
import sys

import aiohttp
import pytest
from aiohttp import web

CORES = ["127.9.1.1", "127.9.2.1", "127.9.3.1"]
EDGE = "127.9.1.9"
TARGET = "127.9.1.50:18099"
BASE = "X-Request-Id"
UP_WITHIN_S = 20.0
METRICS_PORT = 19464


def settings_text(ip, tmp_path, place):
    lines = [
        f"node-name=host-{ip}",
        f"ip={ip}",
        f"zone={place}",
        "region=north",
        "zones.a=north",
        "zones.b=north",
        "zones.c=north",
        "internal-port-range=17720,17735",
        "seed-nodes=" + ",".join(f"{core}:18166" for core in CORES),
        "bootstrap=true",
        "limits.max-fds=1000",
        "bounds=hold-max-ms=4000,grace-s=6",
    ]
    if ip == EDGE:
        lines += [f"listen-addrs.front={ip}:18161", f"listen-addrs.ready={ip}:18167"]
    else:
        lines += [f"listen-addrs.control={ip}:18166", f"data-dir={tmp_path / ip}"]
    return "\n".join(lines)


class Fleet:
    """Processes that this test started, and ends."""

    def __init__(self, tmp_path):
        self.tmp_path = tmp_path
        self.processes = {}

    async def start(self, ip, place):
        path = self.tmp_path / f"{ip}.conf"
        path.write_text(settings_text(ip, self.tmp_path, place))
        role = "edge" if ip == EDGE else "core"
        self.processes[ip] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bergamotferry_platform",
            role,
            "--metrics-port",
            str(METRICS_PORT),
            env={**os.environ, "BERGAMOTFERRY_CONFIG": str(path)},
            stdout=(self.tmp_path / f"{ip}.log").open("ab"),
        )

    async def end(self, ip, number=signal.SIGKILL):
        process = self.processes.pop(ip)
        process.send_signal(number)
        return await process.wait()


@contextlib.asynccontextmanager
async def running_fleet(tmp_path):
    fleet = Fleet(tmp_path)
    try:
        for ip, place in [*zip(CORES, "abc", strict=True), (EDGE, "a")]:
            await fleet.start(ip, place)
        yield fleet
    finally:
        for ip in list(fleet.processes):
            await fleet.end(ip)


@contextlib.asynccontextmanager
async def running_target(name):
    """Answer every request with its id and a seal; count those that ran."""
    seen = []

    async def on_request(request):
        if request.headers.get("X-Expected-Instance") != name:
            return web.Response(status=421, headers={"X-Not-Executed": "1"})
        seen.append((request.headers[BASE], await request.read()))
        headers = {BASE: request.headers[BASE], "X-Response-Seal": "s"}
        return web.Response(text=request.raw_path, headers=headers)

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", on_request)
    runner = web.AppRunner(app)
    await runner.setup()
    ip, port = TARGET.split(":")
    await web.TCPSite(runner, ip, int(port)).start()
    try:
        yield seen
    finally:
        await runner.cleanup()


def manifest(version, service="log", prefix="/x/"):
    route = {
        "hostname": "one.example",
        "path-prefix": prefix,
        "route-type": "unsafe",
        "timeout-ms": 3000,
        "slo-latency-ms": 500,
        "priority": 0,
        "service": service,
        "max-attempts": 2,
        "allowed-regions": [],
    }
    resources = [
        {"resource-kind": "routes", "metadata": {"name": "r"}, "spec": route},
        {
            "resource-kind": "services",
            "metadata": {"name": service},
            "spec": {"health-path": "/health", "max-connections": 9},
        },
    ]
    return {"version": f"{version:08x}", "resources": resources}


def heartbeat(sequence, state="ready"):
    return {
        "service": "log",
        "address": TARGET,
        "zone": "a",
        "version": "v1",
        "slots": 2,
        "state": state,
        "warmup-left-ms": 0,
        "sequence": sequence,
        "born": 1,
    }


async def ask(http, method, url, **options):
    """Return status and body, or 0 if there was no answer."""
    try:
        timeout = aiohttp.ClientTimeout(total=4)
        async with http.request(method, url, timeout=timeout, **options) as answer:
            return answer.status, await answer.read()
    except (aiohttp.ClientError, OSError):
        return 0, b""


async def metrics_of(http, ip):
    status, body = await ask(http, "GET", f"http://{ip}:{METRICS_PORT}/metrics")
    assert status == 200
    return body.decode()


async def until(status, ask_again):
    """Ask until a status comes; the platform's callers do so too."""
    async with asyncio.timeout(UP_WITHIN_S):
        while True:
            found, body = await ask_again()
            if found == status:
                return body
            await asyncio.sleep(0.1)


async def _a_day(tmp_path):
    async with (
        running_fleet(tmp_path) as fleet,
        running_target("i-1") as seen,
        aiohttp.ClientSession() as http,
    ):

        def put(core, content):
            url = f"http://{core}:18166/api/config"
            return ask(http, "PUT", url, json=content)

        def read(core):
            return ask(http, "GET", f"http://{core}:18166/api/config")

        def beat(core, *args):
            url = f"http://{core}:18166/api/instances/i-1"
            return ask(http, "PUT", url, json=heartbeat(*args))

        async def send(request_id, path="/x/1"):
            headers = {"Host": "one.example", BASE: request_id}
            url = f"http://{EDGE}:18161{path}"
            return await ask(http, "POST", url, headers=headers, data=b"body")

        # No configuration yet: not ready, and told as "not run".
        ready_url = f"http://{EDGE}:18167/api/ready"
        await until(503, lambda: ask(http, "GET", ready_url))
        assert (await send("early"))[0] == 503
        await until(200, lambda: put(CORES[0], manifest(5)))
        await until(200, lambda: beat(CORES[1], 1))
        await until(200, lambda: ask(http, "GET", ready_url))
        await until(200, lambda: send("a"))
        assert seen[-1] == ("a", b"body")
        assert (await send("b", "/none/1"))[0] == 404

        # An older and an equal version are acknowledged and change nothing.
        await until(200, lambda: put(CORES[1], manifest(4, prefix="/old/")))
        await until(200, lambda: put(CORES[2], manifest(5, prefix="/other/")))
        assert (await put(CORES[2], {"version": "00000009"}))[0] == 400
        for core in CORES:
            body = await until(200, lambda core=core: read(core))
            assert json.loads(body) == manifest(5)

        # One control host is killed; orders and reads go on, and it comes back.
        await fleet.end(CORES[0])
        await until(200, lambda: put(CORES[1], manifest(6)))
        assert json.loads(await until(200, lambda: read(CORES[2]))) == manifest(6)
        await fleet.start(CORES[0], "a")
        body = await until(200, lambda: read(CORES[0]))
        assert json.loads(body) == manifest(6)

        # A hangup has the settings read again, bad ones included, and ends nothing.
        for ip in (EDGE, CORES[2]):
            fleet.processes[ip].send_signal(signal.SIGHUP)
        (tmp_path / f"{EDGE}.conf").write_text("ip=nothing else")
        fleet.processes[EDGE].send_signal(signal.SIGHUP)
        assert (await send("hup"))[0] == 200

        # All are killed at once; what was acknowledged is still there.
        for core in CORES:
            await fleet.end(core)
        assert (await send("c"))[0] == 200
        for core, place in zip(CORES, "abc", strict=True):
            await fleet.start(core, place)
        assert json.loads(await until(200, lambda: read(CORES[2]))) == manifest(6)

        # What came of the requests above is told as metrics, and who leads.
        text = await metrics_of(http, EDGE)
        assert 'bergamotferry_requests_total{code="0",kind="unsafe"} 3.0' in text
        assert 'bergamotferry_requests_total{code="1004",kind="none"} 1.0' in text
        assert "bergamotferry_configuration_version 6.0" in text
        texts = [await metrics_of(http, core) for core in CORES]
        assert sum("bergamotferry_is_leader 1.0" in text for text in texts) == 1
        assert all("bergamotferry_configuration_version 6.0" in t for t in texts)

        # A target that says it leaves gets nothing two seconds later.
        await until(200, lambda: beat(CORES[1], 2))
        await until(200, lambda: beat(CORES[2], 3, "draining"))
        await asyncio.sleep(2.0)
        n_before = len(seen)
        assert (await send("d"))[0] == 503
        await beat(CORES[0], 9)
        assert (await send("e"))[0] == 503
        assert len(seen) == n_before

        assert await fleet.end(EDGE, signal.SIGTERM) == 0


def test_a_day_of_processes_on_loopback(tmp_path):
    asyncio.run(_a_day(tmp_path))


@pytest.mark.parametrize("role", ["edge", "core"])
def test_bad_settings_stop_the_start_with_a_line_each(tmp_path, role):
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
