"""Measures the cost of two hot keys, and when they get different owners.

Two keys of one shard receive much more load than all other keys. The stand-ins' records
show the time since which the two keys have only run on different upstreams; the callers
measure the latency.
"""

import argparse
import asyncio
import json
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from bergamotferry.shards import shard_of_key
from bergamotferry.slow_start import RAMP_S

from .answers import lookup_answer
from .deployment_start import start_ready
from .deployments import CALLER_TOKENS, EZO_LUMEN, DeploymentShape, ServiceShape
from .fixed_rate_load import FixedRateResult, Lookup, run_at_fixed_rate
from .local_deployment import LocalDeployment
from .measure_load import POLICIES_VARIABLE
from .ownership_check import check_keys, check_ownership
from .records_check import read_records

SERVICE = "testlog"
N_SHARDS = 16
N_OTHER_KEYS = 400
SHAPE: DeploymentShape = EZO_LUMEN._replace(
    regions={"ishikari": ("ishikari-a",)},
    services=(ServiceShape(SERVICE, 4, 2, N_SHARDS, 10.0),),
    routes=tuple(route for route in EZO_LUMEN.routes if route.service == SERVICE),
    home_region="ishikari",
)


async def run_hot_keys(
    folder: Path,
    hot_rate_per_s: float,
    other_rate_per_s: float,
    phases_s: tuple[float, ...],
    policies_off: str = "",
) -> dict[str, Any]:
    """Run one deployment under load on hot and other keys, and return its figures.

    Parameters
    ----------
    folder : Path
        Where the deployment keeps its data and logs.
    hot_rate_per_s, other_rate_per_s : float
        Lookups per second of each hot key, and of all other keys together.
    phases_s : tuple of float
        Duration of each phase; each has figures of its own.
    policies_off : str
        Request policies to switch off, separated by commas.
    """
    deployment = LocalDeployment.from_config(SHAPE, folder)
    deployment.environment[POLICIES_VARIABLE] = policies_off
    keys = hot_keys()
    phases: list[dict[str, Any]] = []
    n_failed = 0
    try:
        await start_ready(deployment)
        # Hosts ramp up the load of new upstreams; the ramps end before the measurement.
        others = _lookups_for(deployment, lambda n: f"other-{n * 7919 % N_OTHER_KEYS}")
        await run_at_fixed_rate(others, other_rate_per_s, RAMP_S + 1)
        started_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        for phase_s in phases_s:
            results = await asyncio.gather(
                *(
                    run_at_fixed_rate(
                        _lookups_for(deployment, lambda _, key=key: key),  # type: ignore[misc]
                        hot_rate_per_s,
                        phase_s,
                    )
                    for key in keys
                ),
                run_at_fixed_rate(others, other_rate_per_s, phase_s),
            )
            n_failed += sum(result.n_failed for result in results)
            phases.append(_summarize_phase(phase_s, results[:-1], results[-1]))
    finally:
        deployment.stop()
    paths = [deployment.records_path(name) for name in deployment.stand_in_specs]
    separated_s = separated_since_s(paths, keys)
    return {
        "policies_off": policies_off,
        "hot_rate_per_s": hot_rate_per_s,
        "other_rate_per_s": other_rate_per_s,
        "phases": phases,
        "n_failed": n_failed,
        "parted_after_s": None
        if separated_s is None
        else round(separated_s - started_s, 2),
        "faults": [str(fault) for fault in check_ownership(paths) + check_keys(paths)],
    }


def hot_keys() -> tuple[str, str]:
    """Return two keys that hash to the same shard."""
    first: dict[int, str] = {}
    number = 0
    while True:
        key = f"hot-{number}"
        shard = shard_of_key(SERVICE, N_SHARDS, (), key).number
        if shard in first:
            return first[shard], key
        first[shard] = key
        number += 1


def separated_since_s(paths: list[Path], keys: tuple[str, str]) -> float | None:
    """Return the time since which two keys have only run on different upstreams.

    The time is on the clock of the records, in seconds. The result is None if the last
    runs of the two keys were on the same upstream.
    """
    owners: dict[str, str] = {}
    since_s: float | None = None
    for record in sorted(read_records(paths), key=lambda record: record["at_s"]):
        if record["event"] != "run" or record["key"] not in keys:
            continue
        owners[record["key"]] = record["upstream"]
        if len(set(owners.values())) < 2:
            since_s = None
        elif since_s is None:
            since_s = record["at_s"]
    return since_s


def _lookups_for(
    deployment: LocalDeployment, make_key: Callable[[int], str]
) -> Callable[[int], Lookup]:
    headers = {"Authorization": f"Bearer {CALLER_TOKENS['inspectors']}"}

    def make_lookup(number: int) -> Lookup:
        host = deployment.hosts[number % len(deployment.hosts)]
        key = make_key(number)
        url = f"http://{host.caller_address}/v1/{SERVICE}/lookup/{key}"
        return Lookup(url, headers, lookup_answer(SERVICE, "lookup", key))

    return make_lookup


def _summarize_phase(
    phase_s: float, hot: list[FixedRateResult], others: FixedRateResult
) -> dict[str, Any]:
    hot_result = FixedRateResult([ms for result in hot for ms in result.latencies_ms])
    return {
        "phase_s": phase_s,
        "hot_p50_ms": round(hot_result.percentile_ms(50), 1),
        "hot_p99_ms": round(hot_result.percentile_ms(99), 1),
        "other_p50_ms": round(others.percentile_ms(50), 1),
        "other_p99_ms": round(others.percentile_ms(99), 1),
        "n_failed": sum(result.n_failed for result in hot) + others.n_failed,
    }


def main() -> None:
    """Measure without and with exceptions for hot keys, and print both reports."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--folder", type=Path, required=True)
    parser.add_argument("--hot-rate", type=float, default=70.0)
    parser.add_argument("--other-rate", type=float, default=60.0)
    parser.add_argument("--phase-s", type=float, default=8.0)
    arguments = parser.parse_args()
    for number, policies_off in enumerate(("hot-keys", "")):
        report = asyncio.run(
            run_hot_keys(
                arguments.folder / str(number),
                arguments.hot_rate,
                arguments.other_rate,
                (arguments.phase_s,) * 3,
                policies_off,
            )
        )
        print(json.dumps(report, indent=1))


if __name__ == "__main__":
    main()
