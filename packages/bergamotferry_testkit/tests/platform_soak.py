"""Runs a seeded soak of the platform's programs: real processes, faults by signals.

Callers send requests over connections that they keep open while faults are injected:

- hosts are killed, frozen, stopped and started, and control hosts lose their disks;
- upstreams crash and start again as new incarnations;
- links to upstreams become slow, go silent in one direction, or are reset;
- configurations change and grow.

Some answers are large for the hosts' links, and upstreams break off some of these.
Some requests are for keys that upstreams hold, and a few of the keys are hot. At the
end, `check_soak` checks what callers, upstreams and the operator observed. To run one
seed by hand:

    python packages/bergamotferry_testkit/tests/platform_soak.py --seed 1 --seconds 60
"""

import argparse
import asyncio
import contextlib
import itertools
import random
import shutil
import signal
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import aiohttp
from platform_fleet import (
    CONTROL_PORT,
    FRONT_PORT,
    METRICS_PORT,
    Fleet,
    heartbeat,
    manifest,
    manifest_version,
    route,
    send_http_request,
)
from platform_soak_check import check_soak
from platform_soak_keys import SERVICE, KeyedUpstream, draw_hot_key, draw_key
from platform_soak_state import (
    APPLY_S,
    CORES,
    EDGES,
    KINDS,
    LINK_MBPS,
    Call,
    End,
    Soak,
)
from platform_soak_upstream import HOSTS, SoakUpstream

N_UPSTREAMS = 4
UPSTREAMS = [str(number) for number in range(N_UPSTREAMS)]
N_KEYED_UPSTREAMS = 4
KEYED_UPSTREAMS = [f"holder {number}" for number in range(N_KEYED_UPSTREAMS)]
N_CALLERS = 8
# Share of each kind of `KINDS` in the requests of the callers that send all kinds.
KIND_WEIGHTS = (0.35, 0.35, 0.1, 0.2)
# These callers send requests for the hot keys without a pause, so that the hot keys
# overload a single holder on a slow machine too.
N_HOT_KEY_CALLERS = 3
# Each content that ends upstreams is sent this often, some 7 s in all.
N_ENDING_REPEATS = 40
ENDING_KINDS = ("safe", "unsafe", "keyed")
# Pause of a caller of hot keys after a request that was not served.
NOT_SERVED_PAUSE_S = 0.05
HEARTBEAT_INTERVAL_S = 0.4
RECOVERY_TIMEOUT_S = 30.0
# A run must have served this many requests at its end, or its check proves nothing.
N_SERVED_MIN = 200
N_KEYED_SERVED_MIN = 20
FAULT_INTERVAL_S = (0.4, 1.6)
# Pause between two faults of one target.
FAULT_COOLDOWN_S = 1.5
FAULTS = (
    ("kill", CORES),
    ("kill", EDGES),
    ("freeze", CORES),
    ("freeze", EDGES),
    ("stop", CORES),
    ("stop", EDGES),
    ("hangup", [*CORES, *EDGES]),
    ("crash", [*UPSTREAMS, *KEYED_UPSTREAMS]),
    ("slow link", UPSTREAMS),
    ("silent request link", UPSTREAMS),
    ("silent answer link", UPSTREAMS),
    ("reset link", UPSTREAMS),
    ("configure", [""]),
    ("configure many routes", [""]),
    ("kill all cores", [""]),
    ("lose disk", CORES),
)
# Metrics of a control host whose group has all voters and no learner, and the number of
# consecutive polls that must show them.
FULL_MEMBERSHIP_METRICS = (b"bergamotferry_voters 3.0", b"bergamotferry_learners 0.0")
N_FULL_MEMBERSHIP_POLLS = 5
# The number of routes of a large deployment; the manifest is some 400 KB long.
N_MANY_ROUTES = 1_500


class Fault(NamedTuple):
    """One fault: its kind, its target and its duration.

    ``delay_s`` counts from the start of the previous fault. ``target`` is the address
    of a host or the name of an upstream, or empty for faults of the whole deployment.
    """

    delay_s: float
    kind: str
    target: str
    duration_s: float


def draw_plan(seed: int, seconds: float) -> list[Fault]:
    """Draw the faults of a seed; they depend on the seed and the duration only."""
    rng = random.Random(f"plan {seed}")
    plan: list[Fault] = []
    while sum(fault.delay_s for fault in plan) < seconds:
        kind, targets = rng.choice(FAULTS)
        delay_s, duration_s = rng.uniform(*FAULT_INTERVAL_S), rng.uniform(0.1, 2.0)
        plan.append(Fault(delay_s, kind, rng.choice(targets), duration_s))
    return plan


async def run_soak(seed: int, plan: list[Fault], tmp_path: Path) -> Soak:
    """Run the faults of a plan and return what was observed.

    The seed decides all other random choices.
    """
    fleet = Fleet(tmp_path, CORES, EDGES, LINK_MBPS)
    rng = random.Random(seed)
    async with aiohttp.ClientSession() as http, asyncio.TaskGroup() as group:
        soak = Soak(fleet, rng, http)

        def record_end(path: str, request_id: str) -> None:
            soak.breaks.append(time.monotonic())
            soak.ends.append(End(time.monotonic(), path, request_id))

        soak.upstreams = [
            SoakUpstream(
                number,
                soak.runs,
                random.Random(f"{seed} {number}"),
                soak.broken_off,
                record_end,
                proxy=soak.proxy,
            )
            for number in range(N_UPSTREAMS)
        ]
        soak.keyed_upstreams = [
            KeyedUpstream(
                number,
                soak.runs,
                random.Random(f"{seed} holder {number}"),
                soak.broken_off,
                record_end,
                held=soak.held,
            )
            for number in range(N_KEYED_UPSTREAMS)
        ]
        try:
            for upstream in (*soak.upstreams, *soak.keyed_upstreams):
                await upstream.start()
                await upstream.open_link()
            await fleet.start_hosts()
            group.create_task(_send_heartbeats(soak))
            await _apply_configuration(soak, 1)
            await _wait_all_serving(soak)
            callers = [
                group.create_task(_send_requests(soak, number))
                for number in range(N_CALLERS)
            ]
            callers += [
                group.create_task(_send_hot_key_requests(soak, N_CALLERS + number))
                for number in range(N_HOT_KEY_CALLERS)
            ]
            callers.append(group.create_task(_send_ending_requests(soak)))
            configuration_poll = group.create_task(_poll_configuration(soak))
            await _run_plan(soak, plan)
            await _wait_all_serving(soak)
            await _wait_enough_observed(soak)
            soak.is_finished = True
            await asyncio.gather(configuration_poll, *callers)
            await _read_final_configuration(soak)
        finally:
            soak.is_finished = True
            await fleet.end_hosts()
            for upstream in (*soak.upstreams, *soak.keyed_upstreams):
                await upstream.stop()
    return soak


async def _send_heartbeats(soak: Soak) -> None:
    while not soak.is_finished:
        for upstream in (*soak.upstreams, *soak.keyed_upstreams):
            if upstream.is_down:
                continue
            upstream.sequence += 1
            core = soak.rng.choice(CORES)
            url = f"http://{core}:{CONTROL_PORT}/api/instances/{upstream.name}"
            instance = heartbeat(
                upstream.sequence,
                address=upstream.address,
                incarnation=upstream.incarnation,
                service=upstream.service,
                n_slots=upstream.n_slots,
            )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.5):
                    await send_http_request(soak.http, "PUT", url, json=instance)
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)


async def _send_requests(soak: Soak, number: int) -> None:
    """Send requests of all kinds over connections that are kept open."""
    rng = random.Random(f"caller {number} {soak.rng.random()}")
    async with aiohttp.ClientSession() as http:
        for count in itertools.count():
            if soak.is_finished:
                return
            (kind,) = rng.choices(KINDS, KIND_WEIGHTS)
            edge = rng.choice(EDGES)
            call = Call(f"{number}-{count}", kind, edge, time.monotonic())
            await _send_and_record(soak, http, call, draw_key(rng))
            await asyncio.sleep(rng.uniform(0.005, 0.05))


async def _send_hot_key_requests(soak: Soak, number: int) -> None:
    """Send requests for hot keys, each as soon as the one before has ended."""
    rng = random.Random(f"caller {number} {soak.rng.random()}")
    async with aiohttp.ClientSession() as http:
        for count in itertools.count():
            if soak.is_finished:
                return
            edge = rng.choice(EDGES)
            call = Call(f"{number}-{count}", "keyed", edge, time.monotonic())
            await _send_and_record(soak, http, call, draw_hot_key(rng))
            if call.status != 200:
                await asyncio.sleep(NOT_SERVED_PAUSE_S)


async def _send_ending_requests(soak: Soak) -> None:
    """Send requests that end each upstream that runs them, each content many times."""
    rng = random.Random(f"ending {soak.rng.random()}")
    async with aiohttp.ClientSession() as http:
        for count in itertools.count():
            if soak.is_finished:
                return
            number = count // N_ENDING_REPEATS
            kind = ENDING_KINDS[number % len(ENDING_KINDS)]
            edge = rng.choice(EDGES)
            call = Call(f"ending-{count}", kind, edge, time.monotonic())
            call.content = f"ending-{number}"
            await _send_and_record(soak, http, call, draw_key(rng))
            await asyncio.sleep(rng.uniform(0.05, 0.3))


async def _send_and_record(
    soak: Soak, http: aiohttp.ClientSession, call: Call, shard_key: int
) -> None:
    """Send a request and record its result."""
    url = f"http://{call.edge}:{FRONT_PORT}{call.path}"
    headers = {
        "Host": "one.example",
        "X-Request-Id": call.request_id,
        "X-Deadline-Ms": "2000",
        "X-Shard-Key": str(shard_key),
    }
    # The method is POST, since aiohttp would retry a GET by itself.
    call.status, call.body = await send_http_request(
        http, "POST", url, headers=headers, data=b"body"
    )
    call.ended_s = time.monotonic()
    soak.calls.append(call)


async def _poll_configuration(soak: Soak) -> None:
    while not soak.is_finished:
        await _read_configuration(soak, soak.rng.choice(CORES))
        await asyncio.sleep(0.1)


async def _read_configuration(soak: Soak, core: str) -> bool:
    """Read the configuration from a control host; return whether it answered."""
    began_s = time.monotonic()
    url = f"http://{core}:{CONTROL_PORT}/api/config"
    status, body = await send_http_request(soak.http, "GET", url)
    if status == 200:
        soak.reads.append((began_s, manifest_version(body)))
    return status == 200


async def _read_final_configuration(soak: Soak) -> None:
    """Read the configuration from every control host after the last fault."""
    await asyncio.sleep(APPLY_S + 0.1)
    async with asyncio.timeout(RECOVERY_TIMEOUT_S):
        for core in CORES:
            is_read = False
            while not is_read:
                is_read = await _read_configuration(soak, core)
                await asyncio.sleep(0.1)


async def _apply_configuration(soak: Soak, version: int, n_routes: int = 1) -> None:
    """Send a configuration to random control hosts until one acknowledges it."""
    routes = [route(f"/{kind}/", kind) for kind in KINDS if kind != "keyed"]
    routes.append(route("/keyed/", "safe", SERVICE))
    routes += [route(f"/v{version}-{number}/") for number in range(n_routes)]
    async with asyncio.timeout(RECOVERY_TIMEOUT_S):
        while True:
            url = f"http://{soak.rng.choice(CORES)}:{CONTROL_PORT}/api/config"
            body = manifest(version, *routes, sharded=(SERVICE,))
            status, _ = await send_http_request(soak.http, "PUT", url, json=body)
            if status == 200:
                soak.acknowledged.append((time.monotonic(), version))
                return
            await asyncio.sleep(0.1)


async def _wait_all_serving(soak: Soak) -> None:
    """Wait until every entry host serves a request."""
    async with asyncio.timeout(RECOVERY_TIMEOUT_S):
        for number, edge in enumerate(EDGES):
            status = 0
            while status != 200:
                headers = {"Host": "one.example", "X-Request-Id": f"probe-{number}"}
                url = f"http://{edge}:{FRONT_PORT}/safe/probe"
                status, _ = await send_http_request(
                    soak.http, "GET", url, headers=headers
                )
                await asyncio.sleep(0.1)


async def _wait_enough_observed(soak: Soak) -> None:
    """Wait until enough requests were served and some buckets of keys were released.

    How much of this happens during the faults depends on the speed of the machine, so
    the run continues after the last fault until enough was observed.
    """
    async with asyncio.timeout(RECOVERY_TIMEOUT_S):
        is_enough = False
        while not is_enough:
            await asyncio.sleep(0.1)
            is_enough = _is_enough_observed(soak)


def _is_enough_observed(soak: Soak) -> bool:
    served = [call for call in soak.calls if call.status == 200]
    keyed = [call for call in served if call.kind == "keyed"]
    is_served = len(served) >= N_SERVED_MIN and len(keyed) >= N_KEYED_SERVED_MIN
    return is_served and soak.held.n_released_buckets > 0 and bool(soak.reads)


async def _run_plan(soak: Soak, plan: list[Fault]) -> None:
    async with asyncio.TaskGroup() as group:
        for fault in plan:
            await asyncio.sleep(fault.delay_s)
            group.create_task(_inject_fault(soak, fault))


async def _inject_fault(soak: Soak, fault: Fault) -> None:
    """Inject one fault, unless another fault still occupies its target."""
    _, kind, target, duration_s = fault
    affected = {target or kind}
    if kind in ("kill all cores", "lose disk"):
        # Until all control hosts hold all data again, only one disk may be lost.
        affected = set(CORES)
    if kind.endswith("link"):
        # A link and its upstream may fail at the same time.
        affected = {f"link {target}"}
    if affected & soak.occupied:
        return
    soak.occupied |= affected
    soak.n_faults_by_kind[kind] += 1
    fleet = soak.fleet
    try:
        match kind:
            case "kill" | "kill all cores":
                for ip in affected:
                    soak.hard_faults.append((ip, time.monotonic()))
                    soak.record_down(ip)
                    await fleet.end(ip)
                await asyncio.sleep(duration_s)
                for ip in affected:
                    await fleet.start(ip)
            case "freeze":
                soak.hard_faults.append((target, time.monotonic()))
                soak.record_down(target)
                fleet.send_signal(target, signal.SIGSTOP)
                if target in CORES:
                    await _apply_configuration_and_thaw(soak, target, duration_s)
                else:
                    await asyncio.sleep(duration_s)
                    fleet.send_signal(target, signal.SIGCONT)
            case "stop":
                from_s = time.monotonic()
                soak.record_down(target)
                status = await fleet.end(target, signal.SIGTERM)
                soak.stops.append((target, from_s, time.monotonic(), status))
                await fleet.start(target)
            case "hangup":
                fleet.send_signal(target, signal.SIGHUP)
            case "crash":
                soak.breaks.append(time.monotonic())
                await _upstream_of_target(soak, target).crash()
            case "slow link":
                await _disturb_link(soak, target, duration_s, delay_ms=300)
            case "silent request link" | "silent answer link":
                is_to_upstream = kind == "silent request link"
                await _disturb_link(
                    soak, target, duration_s, is_to_upstream, is_silent=True
                )
            case "reset link":
                soak.breaks.append(time.monotonic())
                soak.proxy.reset(HOSTS, target)
            case "configure":
                await _apply_configuration(soak, next(soak.versions))
            case "configure many routes":
                await _apply_configuration(soak, next(soak.versions), N_MANY_ROUTES)
            case "lose disk":
                soak.hard_faults.append((target, time.monotonic()))
                soak.record_down(target)
                await fleet.end(target)
                shutil.rmtree(fleet.tmp_path / target)
                await fleet.start(target)
                await _wait_full_membership(soak, target)
        # The next fault may be a signal, which a new process can't handle at once.
        for ip in affected & set(fleet.processes):
            await fleet.wait_started(ip)
            soak.record_return(ip)
        await asyncio.sleep(FAULT_COOLDOWN_S)
    finally:
        soak.occupied -= affected


def _upstream_of_target(soak: Soak, target: str) -> SoakUpstream:
    if target in KEYED_UPSTREAMS:
        return soak.keyed_upstreams[KEYED_UPSTREAMS.index(target)]
    return soak.upstreams[int(target)]


async def _apply_configuration_and_thaw(
    soak: Soak, core: str, duration_s: float
) -> None:
    """Change the configuration while a control host is frozen, and thaw the host.

    The thaw does not wait for the change. If too few other control hosts run, the
    change is acknowledged only after the thaw.
    """
    change = asyncio.create_task(_apply_configuration(soak, next(soak.versions)))
    await asyncio.sleep(max(duration_s, APPLY_S + 0.5))
    soak.held.thaws.append(time.monotonic())
    soak.fleet.send_signal(core, signal.SIGCONT)
    # The thawed host still has the configuration from before its freeze and must not
    # return it.
    await _read_configuration(soak, core)
    await change


async def _wait_full_membership(soak: Soak, core: str) -> None:
    """Wait until a control host that lost its disk reports all voters of its group.

    The host starts without any member and applies older memberships as it catches up.
    Several consecutive polls must therefore show the whole group.
    """
    n_full_polls = 0
    async with asyncio.timeout(RECOVERY_TIMEOUT_S):
        while n_full_polls < N_FULL_MEMBERSHIP_POLLS:
            await asyncio.sleep(0.2)
            url = f"http://{core}:{METRICS_PORT}/metrics"
            _, page = await send_http_request(soak.http, "GET", url)
            is_full = all(line in page.splitlines() for line in FULL_MEMBERSHIP_METRICS)
            n_full_polls = n_full_polls + 1 if is_full else 0


async def _disturb_link(
    soak: Soak,
    target: str,
    duration_s: float,
    is_to_upstream: bool = True,
    **rule: object,
) -> None:
    """Apply a rule to one direction of the link to an upstream, then restore it."""
    ends = [[HOSTS], [target]] if is_to_upstream else [[target], [HOSTS]]
    direction = {"sources": ends[0], "targets": ends[1]}
    soak.proxy.apply({**direction, **rule})
    await asyncio.sleep(duration_s)
    soak.proxy.apply({**direction, "delay_ms": 0, "is_silent": False})


def main() -> None:
    """Run one seed and print the guarantees that were broken."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    options = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="soak-"))
    plan = draw_plan(options.seed, options.seconds)
    soak = asyncio.run(run_soak(options.seed, plan, folder))
    statuses = Counter(call.status for call in soak.calls)
    print(
        f"seed {options.seed}: {dict(statuses)}, {dict(soak.n_faults_by_kind)}, "
        f"{len(soak.acknowledged)} configurations, {len(soak.reads)} reads, "
        f"{soak.held.n_released_buckets} buckets of 64 keys released, logs in {folder}"
    )
    broken = check_soak(soak)
    for line in broken:
        print("BROKEN", line)
    raise SystemExit(1 if broken else 0)


if __name__ == "__main__":
    main()
