"""Load scenarios: overload, cold starts, stragglers, and idle hosts."""

import asyncio
import json
import os
from pathlib import Path
from typing import Any

from .deployment_start import addresses_by_region, start_ready
from .deployments import DeploymentShape, RouteShape, ServiceShape
from .fault_plan import set_stand_in_fault
from .load import LoadResult, plan_load, run_load
from .local_deployment import LocalDeployment

POLICIES_VARIABLE = "BERGAMOTFERRY_REQUEST_POLICIES_OFF"
SLOW_SERVICE_MS = 60.0
N_SMALL_UPSTREAMS = 12
LOOKUP_DEADLINE_MS = 1000
WARM_UP_S = 9.0
WARM_UP_LOAD_FACTOR = 0.3
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


async def measure_overload(
    shape: DeploymentShape, folder: Path, is_quick: bool
) -> dict[str, Any]:
    """Measure goodput at 0.5 to 3 times the capacity, also without early refusal."""
    rows: list[dict[str, Any]] = []
    small_shape = _small_shape(shape)
    capacity_per_s = N_SMALL_UPSTREAMS * 2 / (SLOW_SERVICE_MS / 1000)
    cases = [
        (policies_off, load_factor)
        for policies_off in ("", "early-refusal")
        for load_factor in (0.5, 1.0, 2.0, 3.0)
    ]
    if is_quick:
        cases = [("", 1.0), ("", 3.0), ("early-refusal", 3.0)]
    duration_s = 6.0 if is_quick else 10.0
    for policies_off, load_factor in cases:
        result = await _run_load_after_settling(
            small_shape,
            folder / f"overload-{policies_off or 'all'}-{load_factor}",
            load_factor * capacity_per_s,
            duration_s,
            policies_off,
            # The slow-start ramps end before the measured load begins.
            settle_s=WARM_UP_S,
            settle_rate_per_s=WARM_UP_LOAD_FACTOR * capacity_per_s,
        )
        figures = _summarize_lookups(result, duration_s)
        rows.append({"without": policies_off, "load": load_factor, **figures})
    return {
        "rows": rows,
        "target": "goodput at 3 times the capacity as at 1",
        "plot": {"x": "load", "y": "answered_per_s", "series": "without"},
    }


async def measure_cold_start(
    shape: DeploymentShape, folder: Path, is_quick: bool
) -> dict[str, Any]:
    """Measure answers while every upstream starts cold, with and without slow start."""
    rows: list[dict[str, Any]] = []
    small_shape = _small_shape(shape)
    for policies_off in ("", "slow-start"):
        result = await _run_load_after_settling(
            small_shape,
            folder / f"cold-{policies_off or 'all'}",
            200.0,
            10.0,
            policies_off,
            6.0,
        )
        rows.append({"without": policies_off, **_summarize_lookups(result, 10.0)})
    return {"rows": rows, "target": "no collapse: answers while the upstreams warm up"}


async def measure_stragglers(
    shape: DeploymentShape, folder: Path, is_quick: bool
) -> dict[str, Any]:
    """Measure tail latency while some upstreams are ten times slower.

    Each share of slow upstreams is also measured without the policy that moves shards
    away from stragglers. A first load starts together with the slowness and lasts until
    after the shards have moved. The figures are those of a second load, which follows
    at once.
    """
    rows: list[dict[str, Any]] = []
    shares = (0.1,) if is_quick else (0.0, 0.1, 0.3)
    duration_s, settle_s = (10.0, 10.0) if is_quick else (20.0, 15.0)
    for policies_off in ("", "stragglers"):
        for straggler_share in shares:
            name = f"stragglers-{policies_off or 'all'}-{straggler_share}"
            result = await _run_load_after_settling(
                shape,
                folder / name,
                200.0,
                duration_s,
                policies_off,
                straggler_share=straggler_share,
                settle_s=settle_s,
            )
            figures = _summarize_lookups(result, duration_s)
            rows.append({"without": policies_off, "share": straggler_share, **figures})
    return {
        "rows": rows,
        "target": "p99 near that without stragglers",
        "plot": {"x": "share", "y": "p99_ms", "series": "without"},
    }


async def measure_idle(
    shape: DeploymentShape, folder: Path, is_quick: bool
) -> dict[str, Any]:
    """Measure the processor time and the resident memory of hosts without requests."""
    deployment = LocalDeployment.from_config(shape, folder, has_proxy=True)
    window_s = 5.0 if is_quick else 20.0
    try:
        await start_ready(deployment)
        await asyncio.sleep(2.0)
        before = {
            host.name: _process_usage(host.process.pid)
            for host in deployment.hosts
            if host.process
        }
        await asyncio.sleep(window_s)
        rows = []
        for host in deployment.hosts:
            if host.process is None:
                continue
            cpu_s, resident_bytes = _process_usage(host.process.pid)
            core_percent = 100 * (cpu_s - before[host.name][0]) / window_s
            rows.append(
                {
                    "host": host.name,
                    "core_percent": round(core_percent, 1),
                    "resident_mb": round(resident_bytes / 1e6, 1),
                }
            )
    finally:
        deployment.stop()
    return {"rows": rows, "target": "3.9 percent of a core, 128 MB"}


async def _run_load_after_settling(
    shape: DeploymentShape,
    folder: Path,
    rate_per_s: float,
    duration_s: float,
    policies_off: str,
    cold_s: float = 0.0,
    straggler_share: float = 0.0,
    settle_s: float = 0.0,
    settle_rate_per_s: float = 0.0,
) -> LoadResult:
    deployment = LocalDeployment.from_config(shape, folder)
    deployment.environment[POLICIES_VARIABLE] = policies_off
    deployment.cold_s = cold_s
    try:
        await start_ready(deployment)
        await _slow_some_upstreams(deployment, straggler_share)
        addresses = addresses_by_region(deployment)
        settling = plan_load(
            shape, addresses, settle_rate_per_s or rate_per_s, settle_s, 2000, 6
        )
        await run_load(settling, deployment.archive_bytes)
        planned = plan_load(shape, addresses, rate_per_s, duration_s, 2000, 5)
        return await run_load(planned, deployment.archive_bytes)
    finally:
        deployment.stop()


async def _slow_some_upstreams(
    deployment: LocalDeployment, straggler_share: float
) -> None:
    service = deployment.shape.services[0]
    for number in range(round(straggler_share * service.n_upstreams)):
        name = f"{service.name}-{number + 1:02d}"
        await set_stand_in_fault(deployment, name, {"slowness": 10})


def _small_shape(shape: DeploymentShape) -> DeploymentShape:
    service = shape.services[0]
    return shape._replace(
        services=(
            ServiceShape(service.name, N_SMALL_UPSTREAMS, 2, 64, SLOW_SERVICE_MS),
        ),
        routes=(
            RouteShape(
                service.name, "lookup", "GET", "lookup", LOOKUP_DEADLINE_MS, 1.0
            ),
        ),
    )


def _summarize_lookups(result: LoadResult, duration_s: float) -> dict[str, Any]:
    route_result = next(
        route_result
        for route, route_result in result.routes.items()
        if not route.endswith("bundle") and "/filing" not in route
    )
    latency = route_result.latency_us
    refused = {str(code): count for code, count in sorted(route_result.refused.items())}
    return {
        "n_sent": route_result.n_sent,
        "answered_per_s": round(route_result.n_answered / duration_s, 1),
        "p50_ms": latency.get_value_at_percentile(50) / 1000,
        "p99_ms": latency.get_value_at_percentile(99) / 1000,
        "p999_ms": latency.get_value_at_percentile(99.9) / 1000,
        "refused": json.dumps(refused),
        "n_broken": route_result.n_broken,
    }


def _process_usage(process_id: int) -> tuple[float, int]:
    text = Path(f"/proc/{process_id}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
    return cpu_s, int(fields[21]) * PAGE_BYTES
