"""Stand-ins for a small deployment on loopback, and the processes under test.

A trial starts the project's own programs with the commands of ``deploy/system.toml``.
Targets, clients, the operator and the platform are small stand-ins written with the
standard library only. Everything that was sent, answered and run goes into a record.
"""

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_S = 0.87
ZONES = {
    "ishikari-a": "ishikari",
    "kamikawa-a": "kamikawa",
    "ishikari-b": "ishikari",
    "kamikawa-b": "kamikawa",
}
# The bounds of ezolumen-gw, as its settings files hold them.
BOUNDS = (
    "seed-lag-s=3,reuse-after-s=2,contact-ms=3000,ack-ms=4000,catchup-s=4,"
    "drain-ms=2000,grace-s=6,loss-slack-ms=200,config-apply-ms=2000,"
    "rollback-slack-ms=250,partition-max-ms=5000,retry-budget-ratio=0.2,"
    "retry-window-s=10,retry-budget-slack=64,warmup-overshoot=1.5,warmup-slack=5,"
    "evacuation-ms=5000,recovery-s=15,hold-max-ms=10000,thaw-ms=300"
)
N_KEYS = 65536
HOST_NAME = "one.example"


class CannotRunError(RuntimeError):
    """The case couldn't be set up."""


async def read_message(reader):
    """Read an HTTP/1.1 message; return first line, headers and body, or None at EOF."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    elif int(headers.get("content-length", "0")):
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def encode_message(first_line, headers, body=b""):
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def http_call(address, method, path, headers=None, body=b"", timeout_s=1.0):
    """Make one call on a new connection; return (status, headers, body).

    The status is 0 if no complete answer came; the body then says why.
    """
    ip, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            sent = {"Host": address, **(headers or {})}
            if body or method in ("POST", "PUT"):
                sent["Content-Length"] = str(len(body))
            writer.write(encode_message(f"{method} {path} HTTP/1.1", sent, body))
            await writer.drain()
            line, answer_headers, answer = await read_message(reader)
            return int(line.split()[1]), answer_headers, answer
    except TimeoutError:
        return 0, {}, b"timeout"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        return 0, {}, type(error).__name__.encode()
    finally:
        if writer is not None:
            writer.close()


class Trial:
    """One run of a case: its processes, its record and its temporary folder."""

    def __init__(self, folder, n_cores=4, edge_zones=("ishikari-a", "ishikari-b")):
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record_file = (Path(folder) / "record.txt").open("w")
        self.began_s = time.monotonic()
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self.temporary.name)
        net = random.randrange(64, 250)
        zones = list(ZONES)
        self.zone_of = {}
        self.cores = [f"127.{net}.{n + 1}.10" for n in range(n_cores)]
        for number, core in enumerate(self.cores):
            self.zone_of[core] = zones[number]
        self.edges = []
        for number, zone in enumerate(edge_zones):
            edge = f"127.{net}.{zones.index(zone) + 1}.{100 + number}"
            self.edges.append(edge)
            self.zone_of[edge] = zone
        self.net = net
        self.n_targets = 0
        self.control_port, self.front_port, self.ready_port, self.peer_port = (
            self._free_ports()
        )
        self.roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self.processes = {}
        self.has_started = False
        self.tasks = set()
        self.n_requests = 0

    # The record.

    def now_s(self):
        return time.monotonic() - self.began_s

    def note(self, text):
        self.record_file.write(f"{self.now_s():8.3f} {text}\n")

    # Processes.

    def _free_ports(self):
        hosts = [*self.cores, *self.edges]
        for _ in range(100):
            first = random.randrange(20000, 31000)
            ports = [first, first + 1, first + 2, *range(first + 10, first + 26), 9464]
            sockets = []
            try:
                for host in hosts:
                    for port in ports:
                        probe = socket.socket()
                        sockets.append(probe)
                        probe.bind((host, port))
                return first, first + 1, first + 2, first + 10
            except OSError:
                continue
            finally:
                for probe in sockets:
                    probe.close()
        raise CannotRunError("no free ports")

    def settings_text(self, host):
        is_core = host in self.cores
        zone = self.zone_of[host]
        lines = [
            f"node-name={'core' if is_core else 'edge'}-{host}",
            f"role={'control' if is_core else 'entry'}",
            f"machine-class={'core' if is_core else 'edge'}",
            f"serves={'control_plane' if is_core else 'edge'}",
            f"ip={host}",
            f"zone={zone}",
            f"region={ZONES[zone]}",
            *(f"zones.{name}={region}" for name, region in ZONES.items()),
            f"internal-port-range={self.peer_port},{self.peer_port + 15}",
            "seed-nodes="
            + ",".join(f"{core}:{self.control_port}" for core in self.cores[:3]),
            f"bootstrap={'false' if self.has_started else 'true'}",
            f"loss-counts={'true' if is_core else 'false'}",
            "limits.cpu-share=0.86",
            "limits.cpu-cores=1",
            "limits.memory-mb=300",
            "limits.max-fds=4100",
            "limits.link-mbps=1000.0",
            f"limits.disk-mb={256 if is_core else 0}",
            "discovery=registration",
            "entry=vip",
            "heartbeat-ms=870",
            "contracts=base,drain,config,cost,retry,recover,own,places",
            "fault-tolerance.machines=1",
            "fault-tolerance.zones=1",
            "fault-tolerance.regions=0",
            f"bounds={BOUNDS}",
            "config-mode=highest",
            "grants=call",
        ]
        if is_core:
            lines.append(f"listen-addrs.control={host}:{self.control_port}")
            lines.append(f"data-dir={self.folder / host}")
        else:
            lines.append(f"listen-addrs.front={host}:{self.front_port}")
            lines.append(f"listen-addrs.ready={host}:{self.ready_port}")
        return "\n".join(lines) + "\n"

    async def start_host(self, host):
        """Start the process of a host with the command of the deploy file."""
        path = self.folder / f"{host}.conf"
        path.write_text(self.settings_text(host))
        role = self.roles["control" if host in self.cores else "entry"]
        kept = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target/deps"),
            "BERGAMOTFERRY_CONFIG": str(path),
        }
        with (self.folder / f"{host}.log").open("ab") as output:
            self.processes[host] = await asyncio.create_subprocess_exec(
                *role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        self.note(f"process started: {host} pid {self.processes[host].pid}")

    async def start_hosts(self):
        for host in [*self.cores, *self.edges]:
            await self.start_host(host)
        self.has_started = True

    def signal(self, host, number):
        self.note(f"{signal.Signals(number).name} to {host}")
        self.processes[host].send_signal(number)

    async def kill(self, host):
        self.signal(host, signal.SIGKILL)
        await self.processes[host].wait()

    def log_lines(self, host):
        lines = []
        for line in (self.folder / f"{host}.log").read_text().splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                continue
        return lines

    def leader(self):
        """Return the core that became leader last, by the logs of the cores."""
        newest = ("", "")
        for core in self.cores:
            for line in self.log_lines(core):
                if line.get("event") == "role changed" and line.get("role") == "leader":
                    stamp = (line.get("term", 0), core)
                    if newest[0] == "" or stamp[0] > newest[0]:
                        newest = stamp
        return newest[1]

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        if os.environ.get("KEEP"):
            import shutil

            shutil.copytree(self.folder, os.environ["KEEP"], dirs_exist_ok=True)
        self.record_file.close()
        self.temporary.cleanup()

    def start_task(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # The operator.

    async def order(self, core, method, path, body=b""):
        """Send one order to one core; return the status, 0 if there was no answer."""
        self.note(f"operator: {method} {path} to {core}")
        status, _, answer = await http_call(
            f"{core}:{self.control_port}", method, path, body=body
        )
        detail = "" if status == 200 else f" {answer[:120]!r}"
        self.note(f"operator: {method} {path} at {core}: {status or 'none'}{detail}")
        return status

    async def order_until_done(self, method, path, body=b"", cores=None, for_s=20.0):
        """Send an order to one core after the other until one acknowledges it."""
        end_s = self.now_s() + for_s
        while self.now_s() < end_s:
            for core in cores or self.cores:
                if await self.order(core, method, path, body) == 200:
                    return core
            await asyncio.sleep(0.2)
        raise CannotRunError(f"{method} {path} was never acknowledged")

    async def put_manifest(self, version, routes, services):
        manifest = {
            "version": f"{version:08x}",
            "resources": [
                *(
                    {"resource-kind": "routes", "metadata": {"name": name}, "spec": spec}
                    for name, spec in routes.items()
                ),
                *(
                    {
                        "resource-kind": "services",
                        "metadata": {"name": name},
                        "spec": spec,
                    }
                    for name, spec in services.items()
                ),
                {
                    "resource-kind": "limits",
                    "metadata": {},
                    "spec": {
                        "max-header-bytes": 16384,
                        "max-body-bytes": 67108864,
                        "header-timeout-ms": 3000,
                        "idle-timeout-ms": 15000,
                    },
                },
            ],
        }
        body = json.dumps(manifest).encode()
        return await self.order_until_done("PUT", "/api/config", body)

    async def wait_ready(self, for_s=20.0):
        """Wait until all entry hosts say that they are ready."""
        end_s = self.now_s() + for_s
        for edge in self.edges:
            while True:
                answer = await http_call(
                    f"{edge}:{self.ready_port}", "GET", "/api/ready"
                )
                if answer[0] == 200:
                    break
                if self.now_s() > end_s:
                    raise CannotRunError(f"{edge} did not become ready")
                await asyncio.sleep(0.1)

    # Clients.

    async def request(
        self, edge, path, method="GET", deadline_ms=2000, key=None, body=b""
    ):
        """Send one request of a client; return its id, status and body."""
        self.n_requests += 1
        request_id = f"q{self.n_requests:06}{random.randrange(16**6):06x}"
        headers = {
            "Host": HOST_NAME,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
        }
        if key is not None:
            headers["X-Shard-Key"] = str(key)
        began_s = self.now_s()
        status, answer_headers, answer = await http_call(
            f"{edge}:{self.front_port}",
            method,
            path,
            headers,
            body,
            deadline_ms / 1000 + 0.3,
        )
        text = status or f"no answer ({answer.decode('latin-1')})"
        self.note(
            f"client: {request_id} {method} {path} at {edge}: {text} after "
            f"{(self.now_s() - began_s) * 1000:.0f} ms"
        )
        return request_id, status, answer_headers, answer


class Target:
    """A server of a service: it beats, serves requests and holds granted keys."""

    def __init__(self, trial, service, zone, name=None, slots=2, is_sharded=False):
        trial.n_targets += 1
        number = trial.n_targets
        self.trial = trial
        self.service, self.zone, self.slots = service, zone, slots
        self.name = name or f"i-{random.randrange(16**8):08x}"
        zone_number = list(ZONES).index(zone) + 1
        self.ip = f"127.{trial.net}.{zone_number}.{180 + number}"
        self.port = trial.control_port + 40 + number
        self.is_sharded = is_sharded
        self.born = 0
        self.sequence = 0
        self.server = None
        self.writers = set()
        self.beat_task = None
        self.beat_core = None
        self.state = "ready"
        self.work_s = 0.05
        self.n_running = 0
        self.is_up = False
        self.runs = []
        self.on_run = None
        self.on_grant = None
        self.seen_fence = [0] * N_KEYS
        self.until_s = [0.0] * N_KEYS
        self.running_keys = {}

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self, first_beat_after_s=0.0):
        """Begin a life: listen, and beat for the first time after a while."""
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.n_running = 0
        self.seen_fence = [0] * N_KEYS
        self.until_s = [0.0] * N_KEYS
        self.server = await asyncio.start_server(
            self._serve, self.ip, self.port, reuse_address=True
        )
        self.is_up = True
        self.trial.note(f"target {self.name} started, born {self.born}, {self.address}")
        self.beat_task = self.trial.start_task(self._beat(first_beat_after_s))

    async def end(self):
        """End the process at once: its connections break and its port is closed."""
        self.is_up = False
        self.stop_beats()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.trial.note(f"target {self.name} ended")

    def stop_beats(self):
        if self.beat_task is not None:
            self.beat_task.cancel()
            self.beat_task = None

    def beat_body(self):
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup-left-ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def _beat(self, first_after_s):
        await asyncio.sleep(first_after_s)
        while True:
            began_s = self.trial.now_s()
            await self.beat_once()
            await asyncio.sleep(
                max(0.0, HEARTBEAT_S - (self.trial.now_s() - began_s))
            )

    async def beat_once(self):
        body = json.dumps(self.beat_body()).encode()
        cores = list(self.trial.cores)
        if self.beat_core is not None:
            cores.remove(self.beat_core)
            cores.insert(0, self.beat_core)
        else:
            random.shuffle(cores)
        for core in cores:
            status, _, answer = await http_call(
                f"{core}:{self.trial.control_port}",
                "PUT",
                f"/api/instances/{self.name}",
                {"Content-Type": "application/json"},
                body,
            )
            if status == 200:
                if self.sequence == 1:
                    self.trial.note(f"target {self.name}: first beat acked by {core}")
                named = json.loads(answer or b"{}").get("heartbeat-addr", "")
                if self.beat_core is None and named:
                    self.beat_core = named.rsplit(":", 1)[0]
                return core
        return None

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, path, _ = line.split(" ", 2)
                status, answer_headers, answer = await self._answer(
                    method, path, headers, body
                )
                answer_headers["Content-Length"] = str(len(answer))
                writer.write(
                    encode_message(f"HTTP/1.1 {status} X", answer_headers, answer)
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def _load(self):
        return f"{min(self.n_running, self.slots)},{max(0, self.n_running - self.slots)},{self.slots},100"

    async def _answer(self, method, path, headers, body):
        trial, life = self.trial, self.born
        if path == "/health":
            return (
                200 if self.state == "ready" else 503,
                {"X-Instance-Id": self.name, "X-Server-Load": self._load()},
                b"",
            )
        expected = headers.get("x-expected-instance", self.name)
        request_id = headers.get("x-request-id", "")
        refused = {
            "X-Instance-Id": self.name,
            "X-Not-Executed": "1",
            "X-Request-Id": request_id,
            "X-Server-Load": self._load(),
        }
        if expected != self.name:
            return 421, refused, b""
        if path == "/api/grant":
            return self._grant(json.loads(body))
        if path == "/api/release":
            return await self._release(json.loads(body))
        key = None
        if self.is_sharded:
            key = int(headers.get("x-shard-key", "-1"))
            if self.until_s[key] <= trial.now_s():
                return 421, refused, b""
        self.n_running += 1
        self.runs.append((trial.now_s(), request_id, path, key, life))
        trial.note(f"target {self.name} runs {request_id} {method} {path} key {key}")
        if self.on_run is not None:
            self.on_run(self, request_id, path, key)
        if key is not None:
            self.running_keys[key] = self.running_keys.get(key, 0) + 1
        try:
            work_s = self.work_s
            if callable(work_s):
                work_s = work_s(method, path)
            await asyncio.sleep(work_s)
        finally:
            self.n_running -= 1
            if key is not None:
                self.running_keys[key] -= 1
        trial.note(f"target {self.name} answers {request_id}")
        return (
            200,
            {
                "X-Request-Id": request_id,
                "X-Response-Seal": f"s.{request_id}",
                "X-Server-Load": self._load(),
            },
            f"answer to {request_id}".encode(),
        )

    def _grant(self, call):
        first, last, fence = call["from"], call["to"], call["fence"]
        trial, keys = self.trial, slice(call["from"], call["to"] + 1)
        if max(self.seen_fence[keys]) > fence:
            trial.note(f"target {self.name}: grant {first}-{last} fence {fence}: 409")
            return 409, {}, b""
        n = last - first + 1
        is_new = self.seen_fence[first] != fence
        self.seen_fence[keys] = [fence] * n
        self.until_s[keys] = [trial.now_s() + call["hold-ms"] / 1000] * n
        trial.note(
            f"target {self.name}: {'granted' if is_new else 'renewed'} {first}-{last} "
            f"fence {fence} hold-ms {call['hold-ms']}"
        )
        if self.on_grant is not None:
            self.on_grant(self, first, last, fence)
        return 200, {}, b""

    async def _release(self, call):
        first, last, fence = call["from"], call["to"], call["fence"]
        keys = slice(first, last + 1)
        self.until_s[keys] = [0.0] * (last - first + 1)
        self.trial.note(f"target {self.name}: released {first}-{last} fence {fence}")
        while any(n and first <= key <= last for key, n in self.running_keys.items()):
            await asyncio.sleep(0.01)
        return 200, {"X-Handover": f"{random.randrange(16**16):016x}"}, b""


def route(prefix, service, kind="safe", timeout_ms=1000, homes=(), attempts=2):
    return {
        "hostname": HOST_NAME,
        "path-prefix": prefix,
        "route-type": kind,
        "timeout-ms": timeout_ms,
        "slo-latency-ms": 500,
        "priority": 1 if kind == "unsafe" else 2,
        "service": service,
        "max-attempts": attempts,
        "allowed-regions": list(homes),
    }


def service(is_sharded=False):
    spec = {
        "health-path": "/health",
        "max-connections": 130,
        "protocol": "h1",
        "tls": False,
        "warmup-s": 3.0,
        "warmup-per-s": 3.6,
    }
    if is_sharded:
        spec |= {"sharded": True, "warm-s": 3.0, "grants": "call"}
    return spec


async def run_trial(trial, case):
    """Run a case within its time; return the exit status of its script."""
    try:
        async with asyncio.timeout(112):
            is_broken = await case(trial)
    except (CannotRunError, TimeoutError) as error:
        trial.note(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    finally:
        await trial.close()
    return 1 if is_broken else 0


def main(trial_class, folder, case, **options):
    async def run():
        return await run_trial(trial_class(folder, **options), case)

    sys.exit(asyncio.run(run()))
