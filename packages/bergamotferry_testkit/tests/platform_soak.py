"""A seeded soak of the platform's programs: real processes, faults by signals.

Callers keep connections open and go on while hosts are killed, frozen, stopped and
started, upstreams crash and come back as new incarnations, their links are slow, silent
in one direction, or reset, and configurations change. What callers, upstreams and the
operator saw is checked afterwards. By hand:

    python packages/bergamotferry_testkit/tests/platform_soak.py --seed 1 --seconds 60
"""

import argparse
import asyncio
import contextlib
import itertools
import random
import signal
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

import aiohttp
from aiohttp import web
from platform_fleet import (
    CONTROL_PORT,
    FRONT_PORT,
    Fleet,
    ask,
    heartbeat,
    manifest,
    route,
    version_of,
)

from bergamotferry_testkit.fault_proxy import FaultProxy, Pair

CORES = [f"127.8.{number}.1" for number in (1, 2, 3)]
EDGES = [f"127.8.{number}.9" for number in (1, 2)]
N_TARGETS = 4
TARGETS = [str(number) for number in range(N_TARGETS)]
# What the proxy calls the two ends of the links to upstreams.
HOSTS = "hosts"
N_CALLERS = 8
HEARTBEAT_S = 0.4
UP_WITHIN_S = 30.0
# A configuration that was acknowledged is in force, and read, after this long.
APPLY_S = 2.0
FAULT_EVERY_S = (0.4, 1.6)
FAULTS = (
    ("kill", CORES),
    ("kill", EDGES),
    ("freeze", CORES),
    ("freeze", EDGES),
    ("stop", CORES),
    ("stop", EDGES),
    ("hangup", [*CORES, *EDGES]),
    ("crash", TARGETS),
    ("slow link", TARGETS),
    ("deaf link", TARGETS),
    ("mute link", TARGETS),
    ("reset link", TARGETS),
    ("configure", [""]),
    ("kill all cores", [""]),
)
NOT_RUN = (408, 421, 429, 503)


class Fault(NamedTuple):
    """What is done to which place, how long after the one before, and for how long."""

    after_s: float
    kind: str
    place: str
    length_s: float


@dataclass
class Call:
    """One request of a caller; ``status`` 0 is no whole answer."""

    request_id: str
    is_unsafe: bool
    edge: str
    began_s: float
    ended_s: float = 0.0
    status: int = 0
    body: bytes = b""


@dataclass
class Target:
    """An upstream; ``runs`` are the requests that its incarnations began to run."""

    number: int
    runs: list[str]
    rng: random.Random
    born: int = 1
    sequence: int = 0
    runner: web.AppRunner | None = None

    @property
    def name(self) -> str:
        """Name of the present incarnation."""
        return f"i-{self.number}-{self.born}"

    @property
    def own_address(self) -> str:
        return f"127.8.1.{50 + self.number}:18099"

    @property
    def link(self) -> Pair:
        """The link from all hosts to it, on a port of the proxy."""
        return Pair(HOSTS, str(self.number), 18100 + self.number, self.own_address)

    @property
    def address(self) -> str:
        """Where hosts reach it."""
        return f"127.0.0.1:{self.link.listen_port}"

    async def start(self) -> None:
        app = web.Application()
        app.router.add_get("/health", self.on_health)
        app.router.add_route("*", "/{path:.*}", self.on_request)
        self.runner = web.AppRunner(app, shutdown_timeout=0.05)
        await self.runner.setup()
        ip, port = self.own_address.split(":")
        await web.TCPSite(self.runner, ip, int(port), reuse_address=True).start()

    async def crash(self) -> None:
        """End this incarnation; the next one knows nothing of before."""
        await self.runner.cleanup()
        self.born += 1
        self.sequence = 0
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        await self.start()

    async def on_health(self, request: web.Request) -> web.Response:
        headers = {"X-Instance-Id": self.name, "X-Server-Load": "0,0,2,100"}
        return web.Response(headers=headers)

    async def on_request(self, request: web.Request) -> web.Response:
        if request.headers.get("X-Expected-Instance") != self.name:
            return web.Response(status=421, headers={"X-Not-Executed": "1"})
        request_id = request.headers["X-Request-Id"]
        self.runs.append(request_id)
        await asyncio.sleep(self.rng.uniform(0.002, 0.03))
        # A reset link may have closed the connection meanwhile.
        if self.rng.random() < 0.01 and request.transport is not None:
            request.transport.abort()
        headers = {"X-Request-Id": request_id, "X-Response-Seal": "s"}
        return web.Response(text=f"answer to {request_id}", headers=headers)


@dataclass
class Soak:
    """One run: its processes, what was asked and seen, and what faults did."""

    fleet: Fleet
    rng: random.Random
    http: aiohttp.ClientSession
    proxy: FaultProxy = field(default_factory=FaultProxy)
    targets: list[Target] = field(default_factory=list)
    runs: list[str] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    acknowledged: list[tuple[float, int]] = field(default_factory=list)
    reads: list[tuple[float, int]] = field(default_factory=list)
    stops: list[tuple[str, float, float, int]] = field(default_factory=list)
    hard_faults: list[tuple[str, float]] = field(default_factory=list)
    versions: itertools.count = field(default_factory=lambda: itertools.count(2))
    busy: set[str] = field(default_factory=set)
    is_over: bool = False


def draw_plan(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a seed; the same whatever happens while they are played."""
    rng = random.Random(f"plan {seed}")
    plan: list[Fault] = []
    while sum(fault.after_s for fault in plan) < seconds:
        kind, places = rng.choice(FAULTS)
        after_s, length_s = rng.uniform(*FAULT_EVERY_S), rng.uniform(0.1, 2.0)
        plan.append(Fault(after_s, kind, rng.choice(places), length_s))
    return plan


async def run_soak(seed: int, seconds: float, tmp_path: Path) -> Soak:
    """Play a seeded series of faults and return what was seen."""
    fleet = Fleet(tmp_path, CORES, EDGES)
    rng = random.Random(seed)
    async with aiohttp.ClientSession() as http, asyncio.TaskGroup() as group:
        soak = Soak(fleet, rng, http)
        soak.targets = [
            Target(number, soak.runs, random.Random(f"{seed} {number}"))
            for number in range(N_TARGETS)
        ]
        links = [await soak.proxy.listen(target.link) for target in soak.targets]
        try:
            for target in soak.targets:
                await target.start()
            await fleet.start_all()
            group.create_task(_send_heartbeats(soak))
            await _configure(soak, 1)
            await _wait_served(soak)
            callers = [
                group.create_task(_call_for_long(soak, number))
                for number in range(N_CALLERS)
            ]
            reader = group.create_task(_read_for_long(soak))
            await _play_faults(soak, draw_plan(seed, seconds))
            await _wait_served(soak)
            soak.is_over = True
            await asyncio.gather(reader, *callers)
            await _read_last(soak)
        finally:
            soak.is_over = True
            await fleet.end_all()
            for target, link in zip(soak.targets, links, strict=True):
                link.close()
                soak.proxy.reset(HOSTS, str(target.number))
                await target.runner.cleanup()
    return soak


def check_soak(soak: Soak) -> list[str]:
    """Return every promise that was broken, a line each."""
    n_runs = Counter(soak.runs)
    broken: list[str] = []
    for call in soak.calls:
        runs = n_runs[call.request_id]
        if call.is_unsafe and runs > 1:
            broken.append(f"{call.request_id} ran {runs} times")
        if call.is_unsafe and call.status in NOT_RUN and runs:
            broken.append(f"{call.request_id} was called not run, by {call.status}")
        if call.status == 200 and not runs:
            broken.append(f"{call.request_id} was answered and did not run")
        if call.status == 200 and call.body != f"answer to {call.request_id}".encode():
            broken.append(f"{call.request_id} got {call.body!r}")
        if call.status in (400, 401, 403, 404, 500):
            broken.append(f"{call.request_id} got {call.status}")
    broken += _stale_reads(soak)
    broken += [
        f"{ip} ended with {status} after SIGTERM"
        for ip, _, _, status in soak.stops
        if status
    ]
    return broken + _cut_by_stops(soak, n_runs)


def _stale_reads(soak: Soak) -> list[str]:
    broken = []
    for began_s, version in soak.reads:
        due = [v for at_s, v in soak.acknowledged if at_s + APPLY_S < began_s]
        if due and version < max(due):
            broken.append(f"version {version} was read, {max(due)} acknowledged")
    return broken


def _cut_by_stops(soak: Soak, n_runs: Counter[str]) -> list[str]:
    """Return requests that a planned stop left without an answer once they ran."""
    broken = []
    for ip, from_s, to_s, _ in soak.stops:
        is_hard = any(at == ip and from_s - 3 < s < to_s for at, s in soak.hard_faults)
        lost = [
            call.request_id
            for call in soak.calls
            if call.edge == ip
            and call.began_s < to_s
            and call.ended_s > from_s
            and call.status == 0
            and call.ended_s - call.began_s < 2.0
            and n_runs[call.request_id]
        ]
        if lost and not is_hard:
            broken.append(f"{ip} cut {lost} as it stopped")
    return broken


async def _send_heartbeats(soak: Soak) -> None:
    while not soak.is_over:
        for target in soak.targets:
            target.sequence += 1
            core = soak.rng.choice(CORES)
            url = f"http://{core}:{CONTROL_PORT}/api/instances/{target.name}"
            beat = heartbeat(target.sequence, address=target.address, born=target.born)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.5):
                    await ask(soak.http, "PUT", url, json=beat)
        await asyncio.sleep(HEARTBEAT_S)


async def _call_for_long(soak: Soak, number: int) -> None:
    """Send requests over connections that are kept while a host lives."""
    rng = random.Random(f"caller {number} {soak.rng.random()}")
    async with aiohttp.ClientSession() as http:
        for count in itertools.count():
            if soak.is_over:
                return
            is_unsafe = rng.random() < 0.5
            edge = rng.choice(EDGES)
            call = Call(f"{number}-{count}", is_unsafe, edge, time.monotonic())
            prefix = "unsafe" if is_unsafe else "safe"
            url = f"http://{edge}:{FRONT_PORT}/{prefix}/1"
            headers = {
                "Host": "one.example",
                "X-Request-Id": call.request_id,
                "X-Deadline-Ms": "2000",
            }
            # The library would send a GET again by itself.
            call.status, call.body = await ask(
                http, "POST", url, headers=headers, data=b"body"
            )
            call.ended_s = time.monotonic()
            soak.calls.append(call)
            await asyncio.sleep(rng.uniform(0.005, 0.05))


async def _read_for_long(soak: Soak) -> None:
    while not soak.is_over:
        await _read(soak, soak.rng.choice(CORES))
        await asyncio.sleep(0.1)


async def _read(soak: Soak, core: str) -> bool:
    """Read the configuration from a control host; return whether it was told."""
    began_s = time.monotonic()
    url = f"http://{core}:{CONTROL_PORT}/api/config"
    status, body = await ask(soak.http, "GET", url)
    if status == 200:
        soak.reads.append((began_s, version_of(body)))
    return status == 200


async def _read_last(soak: Soak) -> None:
    """Read the configuration from every control host once all is calm."""
    await asyncio.sleep(APPLY_S + 0.1)
    async with asyncio.timeout(UP_WITHIN_S):
        for core in CORES:
            is_read = False
            while not is_read:
                is_read = await _read(soak, core)
                await asyncio.sleep(0.1)


async def _configure(soak: Soak, version: int) -> None:
    """Send a configuration to one control host after the other until it is taken."""
    rows = [route("/unsafe/"), route("/safe/", "safe"), route(f"/v{version}/")]
    async with asyncio.timeout(UP_WITHIN_S):
        while True:
            url = f"http://{soak.rng.choice(CORES)}:{CONTROL_PORT}/api/config"
            status, _ = await ask(soak.http, "PUT", url, json=manifest(version, *rows))
            if status == 200:
                soak.acknowledged.append((time.monotonic(), version))
                return
            await asyncio.sleep(0.1)


async def _wait_served(soak: Soak) -> None:
    """Wait until every entry host serves."""
    async with asyncio.timeout(UP_WITHIN_S):
        for number, edge in enumerate(EDGES):
            status = 0
            while status != 200:
                headers = {"Host": "one.example", "X-Request-Id": f"probe-{number}"}
                url = f"http://{edge}:{FRONT_PORT}/safe/probe"
                status, _ = await ask(soak.http, "GET", url, headers=headers)
                await asyncio.sleep(0.1)


async def _play_faults(soak: Soak, plan: list[Fault]) -> None:
    async with asyncio.TaskGroup() as group:
        for fault in plan:
            await asyncio.sleep(fault.after_s)
            group.create_task(_carry_out(soak, fault))


async def _carry_out(soak: Soak, fault: Fault) -> None:
    """Do one thing to one place, unless another is under way there."""
    _, kind, place, length_s = fault
    needed = set(CORES) if kind == "kill all cores" else {place or kind}
    if kind.endswith("link"):
        # A link may fail while its upstream does.
        needed = {f"link {place}"}
    if needed & soak.busy:
        return
    soak.busy |= needed
    fleet = soak.fleet
    try:
        match kind:
            case "kill" | "kill all cores":
                for ip in needed:
                    soak.hard_faults.append((ip, time.monotonic()))
                    await fleet.end(ip)
                await asyncio.sleep(length_s)
                for ip in needed:
                    await fleet.start(ip)
            case "freeze":
                soak.hard_faults.append((place, time.monotonic()))
                fleet.send(place, signal.SIGSTOP)
                if place in CORES:
                    await _configure(soak, next(soak.versions))
                    length_s = max(length_s, APPLY_S + 0.5)
                await asyncio.sleep(length_s)
                fleet.send(place, signal.SIGCONT)
                if place in CORES:
                    # It knows only what it knew, and must not tell that.
                    await _read(soak, place)
            case "stop":
                from_s = time.monotonic()
                status = await fleet.end(place, signal.SIGTERM)
                soak.stops.append((place, from_s, time.monotonic(), status))
                await fleet.start(place)
            case "hangup":
                fleet.send(place, signal.SIGHUP)
            case "crash":
                await soak.targets[int(place)].crash()
            case "slow link":
                await _change_link(soak, place, length_s, delay_ms=300)
            case "deaf link" | "mute link":
                is_deaf = kind == "deaf link"
                await _change_link(soak, place, length_s, is_deaf, is_silent=True)
            case "reset link":
                soak.proxy.reset(HOSTS, place)
            case "configure":
                await _configure(soak, next(soak.versions))
        # A process that has just started must not be hit before it can handle signals.
        await asyncio.sleep(1.5)
    finally:
        soak.busy -= needed


async def _change_link(
    soak: Soak,
    place: str,
    length_s: float,
    is_towards_upstream: bool = True,
    **rule: object,
) -> None:
    """Change one direction of the link to an upstream for a while."""
    ends = [[HOSTS], [place]] if is_towards_upstream else [[place], [HOSTS]]
    row = {"sources": ends[0], "targets": ends[1]}
    soak.proxy.apply({**row, **rule})
    await asyncio.sleep(length_s)
    soak.proxy.apply({**row, "delay_ms": 0, "is_silent": False})


def main() -> None:
    """Run one seed and print what was broken."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    options = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="soak-"))
    soak = asyncio.run(run_soak(options.seed, options.seconds, folder))
    statuses = Counter(call.status for call in soak.calls)
    print(
        f"seed {options.seed}: {dict(statuses)}, {len(soak.hard_faults)} kills and "
        f"freezes, {len(soak.stops)} planned stops, {len(soak.acknowledged)} "
        f"configurations, {len(soak.reads)} reads, logs in {folder}"
    )
    broken = check_soak(soak)
    for line in broken:
        print("BROKEN", line)
    raise SystemExit(1 if broken else 0)


if __name__ == "__main__":
    main()
