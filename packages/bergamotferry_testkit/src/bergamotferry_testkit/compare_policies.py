"""Compares the request path with and without request policies, in the same run.

Each variant starts a deployment of cold upstreams and at once loads it with half its
capacity, then with one and three times its capacity. Latency counts from the planned
send time.
"""

import argparse
import asyncio
import json
import time
from pathlib import Path
from typing import Any

from .deployment_start import addresses_by_region, apply_first_note, wait_owned
from .deployments import DeploymentShape, RouteShape, ServiceShape
from .load import plan_load, run_load
from .local_deployment import LocalDeployment, wait_ready
from .records_check import read_records

READY_TIMEOUT_S = 15.0
N_UPSTREAMS = 2
N_SLOTS = 2
SERVICE_TIME_MS = 40.0
CAPACITY_PER_S = N_UPSTREAMS * N_SLOTS * 1000 / SERVICE_TIME_MS
COLD_S = 4.0
N_KEYS = 1000
SEED = 11
POLICIES_VARIABLE = "BERGAMOTFERRY_REQUEST_POLICIES_OFF"
SHAPE = DeploymentShape(
    "policies",
    {"north": ("a",)},
    2,
    (ServiceShape("testlog", N_UPSTREAMS, N_SLOTS, 16, SERVICE_TIME_MS),),
    (RouteShape("testlog", "lookup", "GET", "lookup", 500, 1.0),),
    "home-",
    "north",
)
# Name, load as a multiple of the capacity, duration in seconds.
PHASES = (("cold", 0.5, 6.0), ("1x", 1.0, 4.0), ("3x", 3.0, 4.0))


async def run_variant(folder: Path, policies_off: str) -> dict[str, Any]:
    """Run all phases with the named policies off; return the figures of each phase."""
    deployment = LocalDeployment.from_config(SHAPE, folder)
    deployment.cold_s = COLD_S
    deployment.environment[POLICIES_VARIABLE] = policies_off
    report: dict[str, Any] = {"policies_off": policies_off}
    try:
        deployment.start()
        await apply_first_note(deployment)
        await wait_ready(deployment.hosts, READY_TIMEOUT_S)
        await wait_owned(deployment, READY_TIMEOUT_S)
        for name, load_factor, duration_s in PHASES:
            report[name] = await _run_phase(deployment, load_factor, duration_s)
    finally:
        deployment.stop()
    records = read_records([deployment.records_path("a")])
    report["n_shed_by_upstreams"] = sum(record["event"] == "shed" for record in records)
    return report


async def _run_phase(
    deployment: LocalDeployment, load_factor: float, duration_s: float
) -> dict[str, Any]:
    planned = plan_load(
        SHAPE,
        addresses_by_region(deployment),
        load_factor * CAPACITY_PER_S,
        duration_s,
        N_KEYS,
        SEED,
    )
    result = await run_load(planned, deployment.archive_bytes)
    lookups = result.routes["testlog/lookup"]
    return {
        "offered_per_s": round(lookups.n_sent / duration_s, 1),
        "goodput_per_s": round(lookups.n_answered / duration_s, 1),
        "p50_ms": lookups.latency_us.get_value_at_percentile(50) / 1000,
        "p99_ms": lookups.latency_us.get_value_at_percentile(99) / 1000,
        "refused": {str(code): n for code, n in sorted(lookups.refused.items())},
    }


def main() -> None:
    """Run the variants named on the command line and print their reports."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--folder", type=Path, default=Path("build/policies"))
    parser.add_argument(
        "--off",
        nargs="*",
        default=["", "early-refusal,slow-start"],
        help="for each variant, the policies to switch off",
    )
    arguments = parser.parse_args()
    folder = arguments.folder / str(time.time_ns())
    for number, policies_off in enumerate(arguments.off):
        report = asyncio.run(run_variant(folder / str(number), policies_off))
        print(json.dumps(report, indent=2), flush=True)


if __name__ == "__main__":
    main()
