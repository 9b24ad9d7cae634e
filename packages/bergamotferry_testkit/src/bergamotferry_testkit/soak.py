"""``make soak``: runs load under seeded faults and checks the stand-ins' records."""

import argparse
import asyncio
import json
import time
from pathlib import Path
from typing import Any

from .demo import build_report, print_report
from .deployment_start import (
    READY_TIMEOUT_S,
    addresses_by_region,
    apply_first_note,
    wait_owned,
)
from .deployments import SHAPES
from .fault_plan import Fault, draw_plan, run_plan
from .load import plan_load, run_load
from .local_deployment import LocalDeployment, wait_ready
from .ownership_check import check_ownership, peak_running
from .records_check import check_runs

# The load goes on for this long after the period of the faults.
SETTLE_S = 4.0


async def run_soak(
    deployment: LocalDeployment,
    plan: list[Fault],
    seed: int,
    rate_per_s: float,
    duration_s: float,
) -> dict[str, Any]:
    """Run load and planned faults on a deployment, stop it, and return the report.

    Raises
    ------
    RuntimeError
        If the hosts do not become ready in time.
    """
    started_s = time.monotonic()
    try:
        deployment.start()
        await apply_first_note(deployment)
        if not await wait_ready(deployment.hosts, READY_TIMEOUT_S):
            raise RuntimeError("the hosts did not become ready in time")
        await wait_owned(deployment, READY_TIMEOUT_S)
        ready_s = time.monotonic() - started_s
        planned = plan_load(
            deployment.shape,
            addresses_by_region(deployment),
            rate_per_s,
            duration_s + SETTLE_S,
            2000,
            seed,
        )
        result, _ = await asyncio.gather(
            run_load(planned, deployment.archive_bytes), run_plan(deployment, plan)
        )
    finally:
        deployment.stop()
    paths = [deployment.records_path(name) for name in deployment.stand_in_specs]
    run_check = check_runs(paths, result.acknowledged, result.refused_not_run)
    report = build_report(deployment.shape.name, result, run_check, ready_s)
    report["ownership_faults"] = [
        str(ownership_fault) for ownership_fault in check_ownership(paths)
    ]
    slots = {service.name: service.n_slots for service in deployment.shape.services}
    report["over_slots"] = {
        name: count
        for name, count in peak_running(paths).items()
        if count > slots[name.rsplit("-", 1)[0]]
    }
    report["faults"] = [str(fault) for fault in plan]
    return report


def are_guarantees_kept(report: dict[str, Any]) -> bool:
    """Return whether every guarantee held.

    A request that failed with an error does not break a guarantee.
    """
    n_wrong_answers = sum(row["wrong"] for row in report["routes"].values())
    n_violations = (
        report["doubled"] + report["lost"] + report["false_not_run"] + n_wrong_answers
    )
    return not (n_violations or report["ownership_faults"] or report["over_slots"])


def main() -> None:
    """Run a soak from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=sorted(SHAPES), default="ezo-lumen")
    parser.add_argument("--seed", type=int, default=int(time.time()))
    parser.add_argument("--minutes", type=float, default=1.0)
    parser.add_argument("--rate", type=float, default=100.0)
    arguments = parser.parse_args()
    print(f"soak: seed {arguments.seed}, replay with SEED={arguments.seed}")
    folder = Path("build/soak") / f"{arguments.seed}-{time.time_ns()}"
    deployment = LocalDeployment.from_config(
        SHAPES[arguments.deployment], folder, has_proxy=True
    )
    duration_s = arguments.minutes * 60
    plan = draw_plan(deployment, arguments.seed, duration_s)
    report = asyncio.run(
        run_soak(deployment, plan, arguments.seed, arguments.rate, duration_s)
    )
    (folder / "report.json").write_text(json.dumps(report, indent=2) + "\n")
    print_report(report)
    for fault in report["ownership_faults"]:
        print(f"ownership: {fault}")
    print(f"over slots: {report['over_slots']}")
    raise SystemExit(0 if are_guarantees_kept(report) else 1)


if __name__ == "__main__":
    main()
