"""Runs the programs of the deploy file as processes on loopback, for review cases.

Every host has an address of its own in 127/8. All processes are children of the script
and are ended by their ids when it ends. Only the standard library is used.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HELD = 0
BROKEN = 1
NOT_RUN = 2
# The bounds of sites/ezolumen-gw.toml, as SYSTEM.md states them.
BOUNDS = (
    "seed-lag-s=3,reuse-after-s=2,contact-ms=3000,ack-ms=4000,catchup-s=4,"
    "drain-ms=2000,grace-s=6,loss-slack-ms=200,config-apply-ms=2000,"
    "rollback-slack-ms=250,partition-max-ms=5000,retry-budget-ratio=0.2,"
    "retry-window-s=10,retry-budget-slack=64,warmup-overshoot=1.5,warmup-slack=5,"
    "evacuation-ms=5000,recovery-s=15,hold-max-ms=10000,thaw-ms=300"
)
ZONES = {
    "ishikari-a": "ishikari",
    "ishikari-b": "ishikari",
    "kamikawa-a": "kamikawa",
    "kamikawa-b": "kamikawa",
}


class Record:
    """Writes record.txt: what was sent, answered and run, with the time in seconds."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(folder / "record.txt", "w")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:9.3f} {text}\n")
        self.file.flush()


class CannotRunError(Exception):
    """The case can't run here."""


def free_block():
    """Return the first three parts of loopback addresses that are free."""
    for _ in range(50):
        block = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            with socket.socket() as probe:
                probe.bind((f"{block}.1", 0))
            return block
        except OSError:
            continue
    raise CannotRunError("no loopback addresses")


class Fleet:
    """The hosts of a case: ``cores`` and ``edges`` are lists of (address, zone)."""

    def __init__(self, record, n_cores=4, n_edges=0, more_settings=(), bounds=BOUNDS):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.block = free_block()
        self.bounds = bounds
        self.more_settings = list(more_settings)
        zones = list(ZONES)
        self.cores = [(f"{self.block}.{10 + n}", zones[n % 4]) for n in range(n_cores)]
        self.edges = [(f"{self.block}.{50 + n}", zones[n % 4]) for n in range(n_edges)]
        self.zone_of = dict(self.cores + self.edges)
        # As for a machine, the ports are the same on all hosts.
        self.control, self.front, self.ready, self.peer = 8166, 8161, 8167, 7720
        self.processes = {}
        with open(ROOT / "deploy" / "system.toml", "rb") as deploy_file:
            roles = tomllib.load(deploy_file)["roles"]
        self.commands = {role["on"]: role["run"].split() for role in roles.values()}
        if not (ROOT / "target" / "deps" / "bergamotferry_platform").is_dir():
            raise CannotRunError("target/deps is not built")

    def settings(self, ip, is_bootstrap):
        kind = "edge" if (ip, self.zone_of[ip]) in self.edges else "core"
        seeds = ",".join(f"{core}:{self.control}" for core, _ in self.cores[:3])
        lines = [
            f"node-name={kind}-{ip}",
            f"machine-class={kind}",
            f"serves={'edge' if kind == 'edge' else 'control_plane'}",
            f"ip={ip}",
            f"zone={self.zone_of[ip]}",
            f"region={ZONES[self.zone_of[ip]]}",
            *(f"zones.{zone}={region}" for zone, region in ZONES.items()),
            f"internal-port-range={self.peer},{self.peer + 15}",
            f"seed-nodes={seeds}",
            f"bootstrap={'true' if is_bootstrap else 'false'}",
            f"loss-counts={'false' if kind == 'edge' else 'true'}",
            f"limits.memory-mb={300 if kind == 'edge' else 296}",
            "limits.max-fds=4096",
            "limits.link-mbps=1000.0",
            "discovery=registration",
            "entry=vip",
            "heartbeat-ms=870",
            "contracts=base,drain,config,cost,retry,recover,own,places",
            "fault-tolerance.machines=1",
            "fault-tolerance.zones=1",
            "fault-tolerance.regions=0",
            f"bounds={self.bounds}",
            "config-mode=highest",
            "grants=call",
            *self.more_settings,
        ]
        if kind == "edge":
            lines.append(f"listen-addrs.front={ip}:{self.front}")
            lines.append(f"listen-addrs.ready={ip}:{self.ready}")
        else:
            lines.append(f"listen-addrs.control={ip}:{self.control}")
            lines.append(f"data-dir={self.data_dir(ip)}")
        return kind, "\n".join(lines) + "\n"

    def data_dir(self, ip):
        return self.folder / f"disk-{ip}"

    def log_path(self, ip):
        return self.folder / f"{ip}.log"

    def start(self, ip, is_bootstrap=False):
        kind, text = self.settings(ip, is_bootstrap)
        path = self.folder / f"{ip}.conf"
        path.write_text(text)
        command = [sys.executable, *self.commands[kind][1:]]
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BERGAMOTFERRY_CONFIG": str(path),
        }
        with self.log_path(ip).open("ab") as log:
            self.processes[ip] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record(f"start {ip}")

    def start_all(self):
        for ip, _ in self.cores + self.edges:
            self.start(ip, is_bootstrap=True)

    def stop(self, ip):
        self.record(f"freeze {ip}")
        self.processes[ip].send_signal(signal.SIGSTOP)

    def cont(self, ip):
        self.record(f"thaw {ip}")
        self.processes[ip].send_signal(signal.SIGCONT)

    def kill(self, ip):
        self.record(f"kill {ip}")
        process = self.processes.pop(ip)
        process.send_signal(signal.SIGKILL)
        process.wait()

    def term(self, ip):
        self.record(f"SIGTERM {ip}")
        self.processes[ip].send_signal(signal.SIGTERM)

    def wipe(self, ip):
        self.record(f"disk of {ip} lost")
        shutil.rmtree(self.data_dir(ip), ignore_errors=True)

    def lines(self, ip):
        """Return the log lines of a host, decoded."""
        found = []
        for line in self.log_path(ip).read_text(errors="replace").splitlines():
            try:
                found.append(json.loads(line))
            except ValueError:
                continue
        return found

    def leader(self):
        """Return the core that took the leadership last, by the logs."""
        newest = (0, "")
        for ip, _ in self.cores:
            for line in self.lines(ip) if self.log_path(ip).exists() else ():
                if line.get("event") == "role changed" and line.get("role") == "leader":
                    newest = max(newest, (line["term"], ip))
        return newest[1]

    def end(self, keep=False):
        for process in self.processes.values():
            process.send_signal(signal.SIGKILL)
            process.wait()
        self.processes.clear()
        if keep:
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def http(ip, port, method, path, body=b"", headers=(), timeout=1.0, host=""):
    """Send one request on a new connection; return status, headers and body.

    The status is 0 if no whole answer came in time.
    """

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Host: {host or ip}"]
            if body or method in ("PUT", "POST"):
                lines.append(f"Content-Length: {len(body)}")
            lines += [f"{name}: {value}" for name, value in headers]
            lines.append("Connection: close")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            return await read_answer(reader)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}, b""


async def read_head(reader):
    """Return the first line and the headers, with names in lower case."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *rest = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in rest:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def read_answer(reader):
    first, headers = await read_head(reader)
    return int(first.split()[1]), headers, await read_body(reader, headers)


def manifest(version, routes, services):
    resources = [
        {"resource-kind": "routes", "metadata": {"name": f"r-{n}"}, "spec": spec}
        for n, spec in enumerate(routes)
    ]
    resources += [
        {"resource-kind": "services", "metadata": {"name": name}, "spec": spec}
        for name, spec in services.items()
    ]
    limits = {
        "max-header-bytes": 16384,
        "max-body-bytes": 67108864,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    }
    resources.append({"resource-kind": "limits", "metadata": {}, "spec": limits})
    return json.dumps({"version": f"{version:08x}", "resources": resources}).encode()


def route(prefix, kind, service, **more):
    spec = {
        "hostname": "one.example",
        "path-prefix": prefix,
        "route-type": kind,
        "timeout-ms": 2000,
        "slo-latency-ms": 600,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
        "allowed-regions": [],
    }
    return spec | more


def service(**more):
    spec = {
        "health-path": "/health",
        "max-connections": 130,
        "protocol": "h1",
        "tls": False,
        "warmup-s": 3.0,
        "warmup-per-s": 3.6,
    }
    return spec | more


class Operator:
    """Sends orders as PROTOCOL.md says; notes what was acknowledged."""

    def __init__(self, fleet, record):
        self.fleet = fleet
        self.record = record
        self.acknowledged = 0

    async def put(self, version, body, first="", within_s=20.0):
        """Send a manifest again until it is acknowledged; return by whom, or ''."""
        until = time.monotonic() + within_s
        nodes = [ip for ip, _ in self.fleet.cores]
        random.shuffle(nodes)
        if first:
            nodes = [first] + [ip for ip in nodes if ip != first]
        number = 0
        while time.monotonic() < until:
            ip = nodes[number % len(nodes)]
            number += 1
            status, _, _ = await http(
                ip,
                self.fleet.control,
                "PUT",
                "/api/config",
                body,
                [("Content-Type", "application/json")],
                timeout=1.0,
            )
            self.record(f"PUT /api/config version {version} at {ip}: {status}")
            if status == 200:
                self.acknowledged = max(self.acknowledged, version)
                return ip
            await asyncio.sleep(0.1)
        return ""

    async def read(self):
        """Read the manifest at each node; return {ip: version or status 0/5xx as None}."""
        found = {}
        for ip, _ in self.fleet.cores:
            status, _, body = await http(ip, self.fleet.control, "GET", "/api/config")
            version = int(json.loads(body)["version"], 16) if status == 200 else None
            self.record(f"GET /api/config at {ip}: {status} version {version}")
            found[ip] = version
        return found


def run_case(folder, main):
    """Run a case; ``main(record)`` returns HELD or BROKEN."""
    record = Record(Path(folder))
    try:
        result = asyncio.run(main(record))
    except CannotRunError as error:
        record(f"cannot run: {error}")
        print("cannot run:", error)
        result = NOT_RUN
    names = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}
    record(names[result])
    print(names[result])
    sys.exit(result)
