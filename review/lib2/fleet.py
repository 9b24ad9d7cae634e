"""Starts the two programs of the deploy file on loopback, with settings of a small site.

All hosts use the same ports, so each has its own address in 127/8. The addresses are
taken from a network in which the ports are free. Processes run in a temporary folder
and are ended by their process ids.
"""

import asyncio
import contextlib
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, NoReturn

import aiohttp

ROOT = Path(__file__).resolve().parents[2]
CONTROL, FRONT, READY, PEER, METRICS = 18166, 18161, 18167, 17720, 9464
PORTS = (CONTROL, FRONT, READY, PEER, METRICS)
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The bounds of the site `ezolumen-gw`.
BOUNDS = (
    "seed-lag-s=3,reuse-after-s=2,contact-ms=3000,ack-ms=4000,catchup-s=4,"
    "drain-ms=2000,grace-s=6,loss-slack-ms=200,config-apply-ms=2000,"
    "rollback-slack-ms=250,partition-max-ms=5000,retry-budget-ratio=0.2,"
    "retry-window-s=10,retry-budget-slack=64,warmup-overshoot=1.5,warmup-slack=5,"
    "evacuation-ms=5000,recovery-s=15,hold-max-ms=10000,thaw-ms=300"
)
ZONES = ("ishikari-a", "kamikawa-a", "ishikari-b", "kamikawa-b")
REGIONS = {zone: zone.partition("-")[0] for zone in ZONES}
# A case may run for 120 s.
LIMIT_S = 110.0
COMMANDS = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]


def free_network() -> str:
    """Return the first two parts of addresses at which all ports are free."""
    for _ in range(100):
        network = f"127.{random.randint(20, 250)}"
        try:
            for last in range(1, 20):
                for port in PORTS:
                    with socket.socket() as probe:
                        probe.bind((f"{network}.1.{last}", port))
        except OSError:
            continue
        return network
    raise SystemExit(2)


def run(main: Callable[[], Coroutine[Any, Any, int]]) -> NoReturn:
    """Run a case and exit with its status; 2 if it takes too long or is stopped.

    What the case started is ended in each of these cases.
    """

    async def run_within_limit() -> int:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(LIMIT_S):
                return await main()
        except (TimeoutError, asyncio.CancelledError):
            return 2

    sys.exit(asyncio.run(run_within_limit()))


class Record:
    """The file `record.txt` of a case: one line for each thing that was seen."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.began = time.monotonic()

    def write(self, what: str, **fields: object) -> None:
        at = time.monotonic() - self.began
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{at:8.3f} {what} {text}\n")
        self.file.flush()


class Host:
    """One process of the system, restarted with the same settings and data folder."""

    def __init__(self, fleet: "Fleet", role: str, ip: str, zone: str) -> None:
        self.fleet, self.role, self.ip, self.zone = fleet, role, ip, zone
        self.process: asyncio.subprocess.Process | None = None
        self.more: dict[str, str] = {}
        self.name = f"{role}-{zone}"

    def settings(self) -> str:
        fleet = self.fleet
        is_core = self.role == "core"
        seeds = fleet.seeds_for(self)
        lines = {
            "node-name": self.name,
            "role": "control" if is_core else "entry",
            "machine-class": self.role,
            "serves": "control_plane" if is_core else "edge",
            "ip": self.ip,
            "zone": self.zone,
            "region": REGIONS[self.zone],
            **{f"zones.{zone}": region for zone, region in REGIONS.items()},
            "internal-port-range": f"{PEER},{PEER + 15}",
            "seed-nodes": ",".join(f"{ip}:{CONTROL}" for ip in seeds),
            "bootstrap": "true" if fleet.is_first else "false",
            "loss-counts": "true" if is_core else "false",
            "limits.cpu-share": "1.29" if is_core else "0.86",
            "limits.cpu-cores": "1",
            "limits.memory-mb": "296" if is_core else "300",
            "limits.max-fds": "4100",
            "limits.link-mbps": "1000.0",
            "limits.disk-mb": "256" if is_core else "0",
            "discovery": "registration",
            "entry": "vip",
            "heartbeat-ms": "870",
            "contracts": "base,drain,config,cost,retry,recover,own,places",
            "fault-tolerance.machines": "1",
            "fault-tolerance.zones": "1",
            "fault-tolerance.regions": "0",
            "bounds": fleet.bounds,
            "config-mode": "highest",
            "grants": "call",
        }
        if is_core:
            lines["listen-addrs.control"] = f"{self.ip}:{CONTROL}"
            lines["data-dir"] = str(fleet.folder / "data" / self.ip)
        else:
            lines["listen-addrs.front"] = f"{self.ip}:{FRONT}"
            lines["listen-addrs.ready"] = f"{self.ip}:{READY}"
        lines |= self.more
        return "".join(f"{name}={value}\n" for name, value in lines.items())

    async def start(self) -> None:
        path = self.fleet.folder / f"{self.ip}.conf"
        path.write_text(self.settings())
        role = "control" if self.role == "core" else "entry"
        words = shlex.split(COMMANDS[role]["run"])
        words[0] = sys.executable
        environment = {
            **os.environ,
            "BERGAMOTFERRY_CONFIG": str(path),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        with (self.fleet.folder / f"{self.name}.log").open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    async def end(self, number: int = signal.SIGKILL) -> None:
        process, self.process = self.process, None
        if process is not None and process.returncode is None:
            process.send_signal(number)
            if number == signal.SIGKILL:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
            await process.wait()

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.returncode is None


class Fleet:
    """The hosts of one run: control hosts and entry hosts, in the zones of the site."""

    def __init__(self, n_cores: int = 4, n_edges: int = 2, bounds: str = BOUNDS):
        self.network = free_network()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.bounds = bounds
        self.is_first = True
        self.cores = [
            Host(self, "core", f"{self.network}.1.{n + 1}", ZONES[n])
            for n in range(n_cores)
        ]
        self.edges = [
            Host(self, "edge", f"{self.network}.1.{n + 8}", ZONES[n % 4])
            for n in range(n_edges)
        ]
        self.seeds_for = lambda host: [core.ip for core in self.cores[:3]]

    async def start(self) -> None:
        await asyncio.gather(*(host.start() for host in self.cores + self.edges))
        self.is_first = False

    async def end(self) -> None:
        await asyncio.gather(*(host.end() for host in self.cores + self.edges))
        if os.environ.get("KEEP"):
            print("kept", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def call(http, method, url, seconds=1.0, **options):
    """Return the status, the headers and the body of an answer; status 0 if none."""
    try:
        timeout = aiohttp.ClientTimeout(total=seconds)
        async with http.request(
            method, url, timeout=timeout, allow_redirects=False, **options
        ) as answer:
            return answer.status, answer.headers, await answer.read()
    except (aiohttp.ClientError, OSError, TimeoutError):
        return 0, {}, b""


class Operator:
    """Sends orders to one control host after the other until one acknowledges."""

    def __init__(self, fleet: Fleet, http, record: Record) -> None:
        self.fleet, self.http, self.record = fleet, http, record

    async def order(self, method, path, body=None, seconds=20.0, hosts=None) -> bool:
        until = time.monotonic() + seconds
        hosts = list(hosts or self.fleet.cores)
        number = 0
        while time.monotonic() < until:
            host = hosts[number % len(hosts)]
            number += 1
            status, _, _ = await call(
                self.http, method, f"http://{host.ip}:{CONTROL}{path}", json=body
            )
            self.record.write(
                "order", method=method, path=path, at=host.ip, status=status
            )
            if 200 <= status < 300:
                return True
            if status in (400, 409, 412, 413, 422):
                return False
            await asyncio.sleep(0.1)
        return False


def manifest(version, routes, services, n_attempts_max=2, timeout_ms=2500) -> dict:
    """Return a manifest of (name, prefix, kind, service) rows and of services."""
    resources = [
        {
            "resource-kind": "routes",
            "metadata": {"name": name},
            "spec": {
                "hostname": "one.example",
                "path-prefix": prefix,
                "route-type": kind,
                "timeout-ms": timeout_ms,
                "slo-latency-ms": 600,
                "priority": 1,
                "service": service,
                "max-attempts": n_attempts_max,
                "allowed-regions": [],
            },
        }
        for name, prefix, kind, service in routes
    ]
    for name, is_sharded in services.items():
        spec = {
            "health-path": "/health",
            "max-connections": 130,
            "protocol": "h1",
            "tls": False,
            "warmup-s": 3.0,
            "warmup-per-s": 3.6,
        }
        if is_sharded:
            spec |= {"sharded": True, "warm-s": 2.0, "grants": "call"}
        resources.append(
            {"resource-kind": "services", "metadata": {"name": name}, "spec": spec}
        )
    limits = {
        "max-header-bytes": 16384,
        "max-body-bytes": 67108864,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    }
    resources.append({"resource-kind": "limits", "metadata": {}, "spec": limits})
    return {"version": f"{version:08x}", "resources": resources}
