"""``make demo``: runs a whole deployment on loopback, from start to planned stop."""

import argparse
import asyncio
import json
import time
from pathlib import Path
from typing import Any

from .deployment_start import (
    READY_TIMEOUT_S,
    addresses_by_region,
    apply_first_note,
    wait_owned,
)
from .deployments import SHAPES
from .load import LoadResult, plan_load, run_load
from .local_deployment import LocalDeployment, wait_ready
from .records_check import RunCheck, check_runs

PERCENTILES = (50.0, 99.0)


async def run_demo(arguments: argparse.Namespace, folder: Path) -> dict[str, Any]:
    """Run the demo in a new subfolder and return its report."""
    shape = SHAPES[arguments.deployment]
    deployment = LocalDeployment.from_config(shape, folder / str(time.time_ns()))
    started_s = time.monotonic()
    try:
        _print_progress(f"starting {len(deployment.hosts)} hosts and the stand-ins")
        deployment.start()
        await apply_first_note(deployment)
        if not await wait_ready(deployment.hosts, READY_TIMEOUT_S):
            raise RuntimeError("the hosts did not become ready in time")
        n_owned = await wait_owned(deployment, READY_TIMEOUT_S)
        ready_s = time.monotonic() - started_s
        _print_progress(f"ready after {ready_s:.1f} s, {n_owned} shards have owners")
        planned = plan_load(
            shape,
            addresses_by_region(deployment),
            arguments.rate,
            arguments.seconds,
            arguments.keys,
            arguments.seed,
        )
        _print_progress(
            f"sending {len(planned)} requests over {arguments.seconds:.0f} s"
        )
        result = await run_load(planned, deployment.archive_bytes)
    finally:
        _print_progress("stopping")
        deployment.stop()
    paths = [deployment.records_path(name) for name in deployment.stand_in_specs]
    check = check_runs(paths, result.acknowledged, result.refused_not_run)
    return build_report(arguments.deployment, result, check, ready_s)


def build_report(
    name: str, result: LoadResult, check: RunCheck, ready_s: float
) -> dict[str, Any]:
    """Return the report as JSON values, with percentiles of latency by route."""
    routes = {}
    for route, route_result in sorted(result.routes.items()):
        latency = route_result.latency_us
        percentiles = {
            f"p{percentile:.0f}_ms": latency.get_value_at_percentile(percentile) / 1000
            for percentile in PERCENTILES
        }
        routes[route] = {
            "sent": route_result.n_sent,
            "answered": route_result.n_answered,
            "refused": {
                str(code): n for code, n in sorted(route_result.refused.items())
            },
            "broken": route_result.n_broken,
            "wrong": route_result.n_wrong,
            **percentiles,
        }
    return {
        "deployment": name,
        "ready_s": round(ready_s, 2),
        "routes": routes,
        "doubled": check.n_doubled,
        "lost": check.n_lost,
        "false_not_run": check.n_false_not_run,
    }


def is_good(report: dict[str, Any]) -> bool:
    """Return whether some request was answered and none broke a guarantee.

    No answer may be wrong or broken, and no filing doubled, lost, or run though refused
    as not run. Refusals are allowed.
    """
    n_violations: int = report["doubled"] + report["lost"] + report["false_not_run"]
    n_violations += sum(
        row["wrong"] + row["broken"] for row in report["routes"].values()
    )
    n_answered = sum(row["answered"] for row in report["routes"].values())
    return bool(n_violations == 0 and n_answered > 0)


def print_report(report: dict[str, Any]) -> None:
    """Print the report as a table."""
    print(
        f"{'route':<22}{'sent':>7}{'answered':>10}{'broken':>8}{'wrong':>7}"
        f"{'p50 ms':>9}{'p99 ms':>9}  refused"
    )
    for route, row in report["routes"].items():
        refused = ", ".join(f"{code}: {n}" for code, n in row["refused"].items())
        print(
            f"{route:<22}{row['sent']:>7}{row['answered']:>10}{row['broken']:>8}"
            f"{row['wrong']:>7}{row['p50_ms']:>9.1f}{row['p99_ms']:>9.1f}"
            f"  {refused or '-'}"
        )
    print(
        f"filings doubled {report['doubled']}, lost {report['lost']}, "
        f"run though refused as not run {report['false_not_run']}"
    )


def main() -> None:
    """Run the demo from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=sorted(SHAPES), default="ezo-lumen")
    parser.add_argument("--rate", type=float, default=200.0, help="requests per second")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--keys", type=int, default=5000)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    folder = Path("build/demo")
    report = asyncio.run(run_demo(arguments, folder))
    (folder / "report.json").write_text(json.dumps(report, indent=2) + "\n")
    print_report(report)
    raise SystemExit(0 if is_good(report) else 1)


def _print_progress(text: str) -> None:
    print(f"demo: {text}", flush=True)


if __name__ == "__main__":
    main()
