"""Fault plans, fixed or drawn from a seed, and their execution on a deployment."""

import asyncio
import random
import signal
from typing import Any, Literal, NamedTuple

import aiohttp

from .local_deployment import (
    HostProcess,
    LocalDeployment,
    partition_rules,
    set_proxy_rules,
)

FaultKind = Literal[
    "kill_host",
    "stop_host",
    "freeze_host",
    "cut_data_centre",
    "cut_region",
    "cut_one_way",
    "reset_links",
    "delay_links",
    "crash_upstream",
    "freeze_stand_ins",
]

FAULT_KINDS: tuple[FaultKind, ...] = FaultKind.__args__  # type: ignore[attr-defined]
FAULT_GAP_S = (2.0, 5.0)
FAULT_LENGTH_S = (0.5, 4.0)


class Fault(NamedTuple):
    """A fault of a plan.

    ``at_s`` counts from the start of the plan, and ``length_s`` is the duration.
    """

    at_s: float
    kind: FaultKind
    target: str
    length_s: float


def draw_plan(deployment: LocalDeployment, seed: int, duration_s: float) -> list[Fault]:
    """Draw a random plan; the same seed and deployment shape give the same plan."""
    rng = random.Random(seed)
    plan: list[Fault] = []
    at_s = rng.uniform(*FAULT_GAP_S)
    while at_s < duration_s - FAULT_LENGTH_S[1]:
        kind = rng.choice(FAULT_KINDS)
        target = rng.choice(_targets(deployment, kind))
        plan.append(Fault(at_s, kind, target, rng.uniform(*FAULT_LENGTH_S)))
        at_s += rng.uniform(*FAULT_GAP_S)
    return plan


async def run_plan(deployment: LocalDeployment, plan: list[Fault]) -> None:
    """Execute a plan; faults whose times overlap are in effect together."""

    async def run_fault(fault: Fault) -> None:
        await asyncio.sleep(fault.at_s)
        print(f"fault: {fault}", flush=True)
        await _begin_fault(deployment, fault)
        await asyncio.sleep(fault.length_s)
        await _end_fault(deployment, fault)

    await asyncio.gather(*(run_fault(fault) for fault in plan))


def host_named(deployment: LocalDeployment, name: str) -> HostProcess:
    """Return a host by its name."""
    return next(host for host in deployment.hosts if host.name == name)


def upstream_address(deployment: LocalDeployment, name: str) -> str:
    """Return the address of an upstream by its name."""
    for specs in deployment.stand_in_specs.values():
        for spec in specs:
            parts = spec.split(",")
            if parts[0] == name:
                return f"127.0.0.1:{parts[2]}"
    raise KeyError(name)


async def set_stand_in_fault(
    deployment: LocalDeployment, name: str, fault: dict[str, Any]
) -> None:
    """Set a fault on a stand-in, such as slow answers or a crash."""
    url = f"http://{upstream_address(deployment, name)}/stand-in/faults"
    async with aiohttp.ClientSession() as http:
        try:
            async with http.post(url, json=fault) as response:
                await response.read()
        except aiohttp.ClientError:
            # A crash may close the connection before the answer arrives.
            return


def _targets(deployment: LocalDeployment, kind: FaultKind) -> list[str]:
    if kind in ("cut_data_centre", "freeze_stand_ins"):
        return sorted(deployment.stand_in_specs)
    if kind in ("cut_region", "cut_one_way", "delay_links"):
        return sorted(deployment.shape.regions)
    if kind == "crash_upstream":
        specs = [spec for specs in deployment.stand_in_specs.values() for spec in specs]
        return sorted(spec.split(",")[0] for spec in specs)
    return sorted(host.name for host in deployment.hosts)


async def _begin_fault(deployment: LocalDeployment, fault: Fault) -> None:
    match fault.kind:
        case "kill_host":
            _signal(deployment, fault.target, signal.SIGKILL)
        case "stop_host":
            _signal(deployment, fault.target, signal.SIGTERM)
        case "freeze_host":
            _signal(deployment, fault.target, signal.SIGSTOP)
        case "crash_upstream":
            await set_stand_in_fault(deployment, fault.target, {"crash": True})
        case "freeze_stand_ins":
            deployment.stand_ins[fault.target].send_signal(signal.SIGSTOP)
        case "reset_links":
            await _reset_links(deployment, fault.target)
        case _:
            await set_proxy_rules(deployment, *_link_rules(deployment, fault, True))


async def _end_fault(deployment: LocalDeployment, fault: Fault) -> None:
    match fault.kind:
        case "kill_host" | "stop_host":
            await _restart_host(deployment, host_named(deployment, fault.target))
        case "freeze_host":
            _signal(deployment, fault.target, signal.SIGCONT)
        case "freeze_stand_ins":
            deployment.stand_ins[fault.target].send_signal(signal.SIGCONT)
        case "crash_upstream" | "reset_links":
            return
        case _:
            await set_proxy_rules(deployment, *_link_rules(deployment, fault, False))


def _signal(deployment: LocalDeployment, name: str, number: signal.Signals) -> None:
    process = host_named(deployment, name).process
    if process is not None and process.poll() is None:
        process.send_signal(number)


async def _restart_host(deployment: LocalDeployment, host: HostProcess) -> None:
    if host.process is not None:
        await asyncio.to_thread(host.process.wait)
    deployment.start_host(host)


async def _reset_links(deployment: LocalDeployment, name: str) -> None:
    others = [host.name for host in deployment.hosts if host.name != name]
    rule = {"sources": [name], "targets": others, "reset": True}
    await set_proxy_rules(deployment, rule)


def _link_rules(
    deployment: LocalDeployment, fault: Fault, is_beginning: bool
) -> list[dict[str, Any]]:
    inside = [
        host
        for host in deployment.hosts
        if fault.target in (host.data_centre, host.region)
    ]
    outside = [host for host in deployment.hosts if host not in inside]
    rules = partition_rules(inside, outside, is_beginning)
    if fault.kind == "cut_one_way":
        return rules[:1]
    if fault.kind == "delay_links":
        for rule in rules:
            del rule["is_silent"]
            rule["delay_ms"] = 150 if is_beginning else 0
    return rules
