"""Scenarios for failover, release notes, and a data centre taken out and back in."""

import asyncio
import json
import signal
import time
from pathlib import Path
from typing import Any

from .control import (
    find_keys,
    get_control,
    leader_of_group,
    post_control,
    set_data_centre_state,
)
from .deployment_start import addresses_by_region, start_ready
from .deployments import DeploymentShape
from .fault_plan import host_named, set_stand_in_fault
from .load import LoadResult, plan_load, run_load
from .local_deployment import HostProcess, LocalDeployment
from .probes import probe_keys, summarize_probes
from .recorded_owners import wait_owners_stable

PROBE_INTERVAL_S = 0.05
PROBE_BEFORE_S = 1.0
PROBE_AFTER_S = 4.0
N_PROBE_KEYS = 8


async def measure_failover(
    shape: DeploymentShape, folder: Path, is_quick: bool
) -> dict[str, Any]:
    """Measure the time from a fault until the affected keys are served again."""
    rows: list[dict[str, Any]] = []
    kinds = ("upstream", "dispatcher", "data centre leader", "global leader", "stop")
    for number in range(1 if is_quick else 3):
        deployment = LocalDeployment.from_config(shape, folder / str(number))
        try:
            await start_ready(deployment)
            for kind in kinds:
                await wait_owners_stable(deployment, shape.services[0].name)
                rows.append(await _measure_one_failover(deployment, kind))
        finally:
            deployment.stop()
    return {"rows": rows, "target": "served again within 1 s; no failure at a stop"}


async def measure_notes(
    shape: DeploymentShape, folder: Path, is_quick: bool
) -> dict[str, Any]:
    """Measure the time from sending a release note until it is in force everywhere.

    Raises
    ------
    RuntimeError
        If a release note did not reach every host.
    """
    deployment = LocalDeployment.from_config(shape, folder)
    latencies_ms: list[float] = []
    try:
        await start_ready(deployment)
        for number in range(2, 12 if is_quick else 52):
            note: dict[str, Any] = {"number": number, "based_on": number - 1}
            note["added"] = {"services": [{"name": f"s{number}", "n_shards": 1}]}
            host = deployment.hosts[number % len(deployment.hosts)]
            started_s = time.monotonic()
            answer = await post_control(host.control_address, "notes", json.dumps(note))
            if answer.get("not_reached") != []:
                raise RuntimeError(f"not in force everywhere: {answer}")
            latencies_ms.append(1000 * (time.monotonic() - started_s))
    finally:
        deployment.stop()
    latencies_ms.sort()
    row = {
        "n_notes": len(latencies_ms),
        "p50_ms": round(latencies_ms[len(latencies_ms) // 2], 1),
        "max_ms": round(latencies_ms[-1], 1),
    }
    return {"rows": [row], "target": "in force everywhere within 5000 ms"}


async def measure_data_centre_out(
    shape: DeploymentShape, folder: Path, is_quick: bool
) -> dict[str, Any]:
    """Measure requests under load while a data centre is taken out and brought back."""
    deployment = LocalDeployment.from_config(shape, folder)
    region, data_centres = next(iter(shape.regions.items()))
    data_centre = data_centres[0]
    try:
        await start_ready(deployment)
        planned = plan_load(
            shape, addresses_by_region(deployment), 100.0, 16.0, 2000, seed=3
        )
        load = asyncio.create_task(run_load(planned, deployment.archive_bytes))
        await asyncio.sleep(3.0)
        await set_data_centre_state(deployment, 2, data_centre, region, "out")
        out_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        await asyncio.sleep(6.0)
        in_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        await set_data_centre_state(deployment, 3, data_centre, region, "in")
        result = await load
    finally:
        deployment.stop()
    last_new_work_s = _last_new_work_s(
        deployment.records_path(data_centre), out_s, in_s
    )
    row = {
        "data_centre": data_centre,
        "last_new_work_after_out_s": round(last_new_work_s, 2),
        **_sum_routes(result),
    }
    return {"rows": [row], "target": "no new work after 3 s; no failed request"}


async def _measure_one_failover(
    deployment: LocalDeployment, kind: str
) -> dict[str, Any]:
    service = deployment.shape.services[0].name
    route = deployment.shape.routes[0].name
    victim, keys, entry_host = await _choose_victim(deployment, kind, service)
    probing = asyncio.create_task(
        probe_keys(
            entry_host.caller_address,
            f"{service}/{route}",
            keys,
            PROBE_INTERVAL_S,
            PROBE_BEFORE_S + PROBE_AFTER_S,
        )
    )
    await asyncio.sleep(PROBE_BEFORE_S)
    fault_s = time.monotonic()
    if kind == "upstream":
        await set_stand_in_fault(deployment, victim, {"crash": True})
    else:
        process = host_named(deployment, victim).process
        if process is not None:
            is_stop = kind == "stop"
            process.send_signal(signal.SIGTERM if is_stop else signal.SIGKILL)
    result = summarize_probes(await probing, fault_s)
    if kind != "upstream":
        host = host_named(deployment, victim)
        if host.process is not None:
            await asyncio.to_thread(host.process.wait)
        deployment.start_host(host)
    return {
        "fault": kind,
        "victim": victim,
        "n_probes": result.n_sent,
        "n_failed": result.n_failed,
        "codes": list(result.failure_codes),
        "served_again_s": round(result.served_again_s, 3),
    }


async def _choose_victim(
    deployment: LocalDeployment, kind: str, service: str
) -> tuple[str, list[str], HostProcess]:
    """Return the target of the fault, affected keys, and an unaffected entry host."""
    data_centre = deployment.hosts[-1].data_centre
    upstreams = (await _list_upstreams(deployment, data_centre))["upstreams"]
    owning_upstreams = [
        row for row in upstreams if row["service"] == service and row["n_shards"]
    ]
    upstream = owning_upstreams[0]["name"]
    victim = upstream
    if kind in ("dispatcher", "stop"):
        victim = owning_upstreams[0]["dispatcher"]
    elif kind != "upstream":
        group = "global" if kind.startswith("global") else f"dc:{data_centre}"
        victim = await leader_of_group(deployment, group)
    entry_host = next(
        host
        for host in deployment.hosts
        if host.name != victim and host.data_centre != data_centre
    )
    keys = await find_keys(
        deployment.hosts_of(data_centre)[0].control_address,
        service,
        deployment.shape.services[0].n_shards,
        lambda grant: grant.get("upstream") == upstream,
        N_PROBE_KEYS,
    )
    if not keys:
        raise RuntimeError(f"no key owned by {upstream} was found to probe")
    return victim, keys, entry_host


async def _list_upstreams(
    deployment: LocalDeployment, data_centre: str
) -> dict[str, Any]:
    host = deployment.hosts_of(data_centre)[0]
    return await get_control(host.control_address, "upstreams")


def _last_new_work_s(path: Path, out_s: float, in_s: float) -> float:
    last_s = 0.0
    for line in path.read_text().splitlines():
        record = json.loads(line)
        if record["event"] == "run" and out_s < record["at_s"] < in_s:
            last_s = max(last_s, record["at_s"] - out_s)
    return last_s


def _sum_routes(result: LoadResult) -> dict[str, Any]:
    route_results = result.routes.values()
    refused: dict[str, int] = {}
    for route_result in route_results:
        for code, count in route_result.refused.items():
            refused[str(code)] = refused.get(str(code), 0) + count
    return {
        "n_sent": sum(route_result.n_sent for route_result in route_results),
        "n_answered": sum(route_result.n_answered for route_result in route_results),
        "n_broken": sum(route_result.n_broken for route_result in route_results),
        "n_wrong": sum(route_result.n_wrong for route_result in route_results),
        "refused": refused,
    }
