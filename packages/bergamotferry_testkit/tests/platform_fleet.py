"""Runs the platform's two programs as processes on loopback, for tests.

A core is a control host and an edge is an entry host. All hosts use the same ports and
are named by their IP address, so each has its own address in 127/8. Signals are sent by
process id, and only to processes that were started here.
"""

import asyncio
import contextlib
import json
import os
import signal
import sys
from asyncio.subprocess import Process
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

import aiohttp
from aiohttp import web

METRICS_PORT = 19464
# Logged by a program as soon as it can handle signals.
STARTED_EVENT = b'"event": "started"'
# As on the smallest hosts of the users; nothing here enforces it.
MEMORY_MB = 300
N_DESCRIPTORS_MAX = 1_000
CONTROL_PORT, FRONT_PORT, READY_PORT = 18166, 18161, 18167
PEER_PORT = 17720
START_TIMEOUT_S = 20.0


def settings_text(
    ip: str,
    role: str,
    zone: str,
    cores: list[str],
    tmp_path: Path,
    is_bootstrap: bool,
    link_mbps: float,
    more_bounds: str = "",
    peer_port: int = PEER_PORT,
    memory_mb: int = MEMORY_MB,
    n_descriptors_max: int = N_DESCRIPTORS_MAX,
) -> str:
    lines = [
        f"node-name=host-{ip}",
        f"ip={ip}",
        f"zone={zone}",
        "region=north",
        "zones.a=north",
        "zones.b=north",
        "zones.c=north",
        f"internal-port-range={peer_port},{peer_port + 15}",
        # The users' settings name three control hosts at most.
        "seed-nodes=" + ",".join(f"{core}:{CONTROL_PORT}" for core in cores[:3]),
        f"bootstrap={'true' if is_bootstrap else 'false'}",
        f"limits.max-fds={n_descriptors_max}",
        f"limits.memory-mb={memory_mb}",
        f"bounds=hold-max-ms=4000,grace-s=6,{more_bounds}",
    ]
    if role == "edge":
        lines.append(f"listen-addrs.front={ip}:{FRONT_PORT}")
        lines.append(f"listen-addrs.ready={ip}:{READY_PORT}")
        lines.append(f"limits.link-mbps={link_mbps}")
    else:
        lines.append(f"listen-addrs.control={ip}:{CONTROL_PORT}")
        lines.append(f"data-dir={tmp_path / ip}")
    return "\n".join(lines)


class Fleet:
    """The processes of one test: control hosts (cores) and entry hosts (edges).

    ``more_bounds`` are added to those in the settings of all hosts. ``peer_ports`` are
    by edge: at another port than `PEER_PORT` a test may put a proxy before the cores.
    ``memory_mb`` and ``n_descriptors_max`` are limits of all hosts.
    """

    def __init__(
        self,
        tmp_path: Path,
        cores: list[str],
        edges: list[str],
        link_mbps: float = 1_000.0,
        more_bounds: str = "",
        peer_ports: dict[str, int] | None = None,
        memory_mb: int = MEMORY_MB,
        n_descriptors_max: int = N_DESCRIPTORS_MAX,
    ) -> None:
        self.tmp_path = tmp_path
        self.link_mbps = link_mbps
        self.more_bounds = more_bounds
        self.peer_ports = peer_ports or {}
        self.memory_mb = memory_mb
        self.n_descriptors_max = n_descriptors_max
        self.cores = cores
        self.edges = edges
        self.processes: dict[str, Process] = {}
        # Size in bytes of each log when its current process started.
        self.log_offsets: dict[str, int] = {}
        # Only the first processes of the hosts may form a new group.
        self.is_bootstrapped = False

    def zone_of(self, ip: str) -> str:
        """Return the zone (data centre) of a host; each control host has its own."""
        hosts = self.cores if ip in self.cores else self.edges
        return "abc"[hosts.index(ip) % 3]

    async def start(self, ip: str) -> None:
        """Write the settings of a host and start its process."""
        role = "edge" if ip in self.edges else "core"
        path = self.tmp_path / f"{ip}.conf"
        zone, is_bootstrap = self.zone_of(ip), not self.is_bootstrapped
        text = settings_text(
            ip,
            role,
            zone,
            self.cores,
            self.tmp_path,
            is_bootstrap,
            self.link_mbps,
            self.more_bounds,
            self.peer_ports.get(ip, PEER_PORT),
            self.memory_mb,
            self.n_descriptors_max,
        )
        path.write_text(text)
        with self.log_path(ip).open("ab") as output:
            self.log_offsets[ip] = output.tell()
            self.processes[ip] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "bergamotferry_platform",
                role,
                "--metrics-port",
                str(METRICS_PORT),
                env={**os.environ, "BERGAMOTFERRY_CONFIG": str(path)},
                stdout=output,
            )

    async def wait_started(self, ip: str) -> None:
        """Wait until a process has logged its start or has ended.

        A process that has logged its start can handle signals.
        """
        while ip in self.processes and self.processes[ip].returncode is None:
            with self.log_path(ip).open("rb") as output:
                output.seek(self.log_offsets[ip])
                if STARTED_EVENT in output.read():
                    return
            await asyncio.sleep(0.1)

    def log_path(self, ip: str) -> Path:
        return self.tmp_path / f"{ip}.log"

    async def start_hosts(self) -> None:
        for ip in [*self.cores, *self.edges]:
            await self.start(ip)
        self.is_bootstrapped = True

    def send_signal(self, ip: str, signal_number: int) -> None:
        self.processes[ip].send_signal(signal_number)

    async def end(self, ip: str, signal_number: int = signal.SIGKILL) -> int:
        """End a process by a signal; wait for its end and return its exit status."""
        process = self.processes.pop(ip)
        if process.returncode is None:
            process.send_signal(signal_number)
        return await process.wait()

    async def end_hosts(self) -> None:
        for ip in list(self.processes):
            await self.end(ip)


def peak_memory_mb(process_id: int) -> float:
    """Return the largest resident memory that a process has had, in MiB."""
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    raise ValueError("no peak")


async def send_http_request(
    http: aiohttp.ClientSession, method: str, url: str, **options: object
) -> tuple[int, bytes]:
    """Send a request; return status and body, or status 0 if no whole answer came."""
    try:
        timeout = aiohttp.ClientTimeout(total=4)
        async with http.request(method, url, timeout=timeout, **options) as answer:
            return answer.status, await answer.read()
    except (aiohttp.ClientError, OSError):
        return 0, b""


async def resend_until_200(
    http: aiohttp.ClientSession, method: str, url: str, **options: object
) -> None:
    """Send a request again until it is answered 200, for `START_TIMEOUT_S` at most."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            status, _ = await send_http_request(http, method, url, **options)
            if status == 200:
                return
            await asyncio.sleep(0.1)


def manifest(
    version: int,
    *routes: dict[str, object],
    service: str = "log",
    sharded: tuple[str, ...] = (),
    limits: dict[str, int] | None = None,
) -> dict:
    """Return a manifest of routes, one service without shards and sharded services.

    ``limits`` are those of callers' requests; without them the defaults hold.
    """
    resources = [
        {"resource-kind": "routes", "metadata": {"name": f"r{n}"}, "spec": route_spec}
        for n, route_spec in enumerate(routes)
    ]
    spec = {"health-path": "/health", "max-connections": 99}
    resources.append(
        {"resource-kind": "services", "metadata": {"name": service}, "spec": spec}
    )
    resources += [
        {
            "resource-kind": "services",
            "metadata": {"name": name},
            "spec": {**spec, "sharded": True, "grants": "call"},
        }
        for name in sharded
    ]
    if limits is not None:
        metadata = {"name": "limits"}
        resources.append(
            {"resource-kind": "limits", "metadata": metadata, "spec": limits}
        )
    return {"version": f"{version:08x}", "resources": resources}


def route(prefix: str, kind: str = "unsafe", service: str = "log") -> dict[str, object]:
    return {
        "hostname": "one.example",
        "path-prefix": prefix,
        "route-type": kind,
        "timeout-ms": 3000,
        "slo-latency-ms": 500,
        "priority": 0,
        "service": service,
        "max-attempts": 2,
        "allowed-regions": [],
    }


def heartbeat(
    sequence: int,
    state: str = "ready",
    address: str = "",
    incarnation: int = 1,
    service: str = "log",
    n_slots: int = 2,
) -> dict[str, object]:
    return {
        "service": service,
        "address": address,
        "zone": "a",
        "version": "v1",
        "slots": n_slots,
        "state": state,
        "warmup-left-ms": 0,
        "sequence": sequence,
        "born": incarnation,
    }


def manifest_version(body: bytes) -> int:
    """Return the version of a manifest in a body that a control host answered."""
    return int(json.loads(body)["version"], 16)


@contextlib.asynccontextmanager
async def serving(
    address: str, on_request: Callable[[web.Request], Awaitable[web.StreamResponse]]
) -> AsyncIterator[None]:
    """Serve an upstream whose requests are handled by a function; it takes any body."""
    app = web.Application(client_max_size=0)
    app.router.add_route("*", "/{path:.*}", on_request)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    ip, port = address.split(":")
    await web.TCPSite(runner, ip, int(port), reuse_address=True).start()
    try:
        yield
    finally:
        await runner.cleanup()


def served_answer(request: web.Request) -> web.Response:
    """Return the answer of an upstream that has run a request."""
    headers = {
        "X-Request-Id": request.headers["X-Request-Id"],
        "X-Response-Seal": "s",
    }
    return web.Response(headers=headers)


def not_run_answer(request: web.Request) -> web.Response:
    """Return the answer of an upstream that must not run a request."""
    request_id = request.headers.get("X-Request-Id", "")
    headers = {"X-Request-Id": request_id, "X-Not-Executed": "1"}
    return web.Response(status=421, headers=headers)
