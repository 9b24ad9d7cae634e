"""``make overhead``: measures what one host and two hosts add to a direct request.

In one run, the same lookups are sent directly to a stand-in, through one host, and
through two hosts. The result is printed and written to ``build/overhead.json``.
"""

import argparse
import asyncio
import json
import time
from pathlib import Path
from typing import Any, get_args

import aiohttp

from .fixed_rate_load import run_at_fixed_rate
from .local_deployment import HostProcess
from .process_usage import cpu_time_s
from .slopes import update_document
from .two_host_bench import (
    Bench,
    BenchPath,
    daemon_pids,
    lookups_on_path,
    start_bench,
)

WARM_UP_S = 1.0
PERCENTILES = (50.0, 99.0)
POLL_S = 0.002
FIRST_ANSWER_TIMEOUT_S = 20.0


async def measure_overhead(
    folder: Path, rate_per_s: float, duration_s: float
) -> dict[str, Any]:
    """Measure the three paths one after another, then a restart of the entry host.

    Raises
    ------
    RuntimeError
        If the restarted host serves no request within 20 s.
    """
    bench = await start_bench(folder)
    try:
        paths = {
            path: await _measure_path(bench, path, rate_per_s, duration_s)
            for path in get_args(BenchPath)
        }
        restart_ms = await _restart_to_first_answer_ms(bench, bench.entry)
    finally:
        bench.deployment.stop()
    for row in paths.values():
        for percent in PERCENTILES:
            name = f"p{percent:.0f}_ms"
            row[f"added_{name}"] = round(row[name] - paths["direct"][name], 2)
    return {
        "rate_per_s": rate_per_s,
        "seconds": duration_s,
        "paths": paths,
        "start_to_first_answer_ms": round(restart_ms, 1),
    }


def print_overhead(report: dict[str, Any]) -> None:
    """Print the report as a table."""
    print(
        f"{'path':<11}{'answered':>9}{'failed':>8}{'p50 ms':>9}{'p99 ms':>9}"
        f"{'added p50':>11}{'added p99':>11}{'host CPU µs':>13}{'req/s per core':>16}"
    )
    for path, row in report["paths"].items():
        print(
            f"{path:<11}{row['answered']:>9}{row['failed']:>8}{row['p50_ms']:>9.2f}"
            f"{row['p99_ms']:>9.2f}{row['added_p50_ms']:>11.2f}"
            f"{row['added_p99_ms']:>11.2f}{row['host_cpu_us']:>13.0f}"
            f"{row['per_core'] or '-':>16}"
        )
    print(
        "start of a host process to its first served request: "
        f"{report['start_to_first_answer_ms']} ms"
    )


def main() -> None:
    """Measure as the command line says; print and write the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=200.0, help="requests per second")
    parser.add_argument("--seconds", type=float, default=8.0, help="for each path")
    parser.add_argument(
        "--keep", action="store_true", help="write the result to docs/capacity.json too"
    )
    arguments = parser.parse_args()
    folder = Path("build/overhead")
    report = asyncio.run(measure_overhead(folder, arguments.rate, arguments.seconds))
    report["command"] = (
        "python -m bergamotferry_testkit.overhead "
        f"--rate {arguments.rate:g} --seconds {arguments.seconds:g}"
    )
    Path("build/overhead.json").write_text(json.dumps(report, indent=2) + "\n")
    if arguments.keep:
        update_document("overhead", report)
    print_overhead(report)


async def _measure_path(
    bench: Bench, path: BenchPath, rate_per_s: float, duration_s: float
) -> dict[str, Any]:
    make_lookup = lookups_on_path(bench, path)
    pids = daemon_pids(bench)
    await run_at_fixed_rate(make_lookup, rate_per_s, WARM_UP_S)
    cpu_before_idle_s = sum(map(cpu_time_s, pids))
    await asyncio.sleep(duration_s)
    cpu_before_load_s = sum(map(cpu_time_s, pids))
    result = await run_at_fixed_rate(make_lookup, rate_per_s, duration_s)
    load_cpu_s = sum(map(cpu_time_s, pids)) - cpu_before_load_s
    n_answered = len(result.latencies_ms)
    # The processor time of idle hosts is subtracted from that of the requests.
    cpu_us = (
        max(0.0, load_cpu_s - (cpu_before_load_s - cpu_before_idle_s))
        * 1e6
        / max(1, n_answered)
    )
    return {
        "answered": n_answered,
        "failed": result.n_failed,
        **{f"p{p:.0f}_ms": round(result.percentile_ms(p), 2) for p in PERCENTILES},
        "host_cpu_us": round(cpu_us, 1),
        "per_core": 0 if path == "direct" else round(1e6 / max(cpu_us, 1.0)),
    }


async def _restart_to_first_answer_ms(bench: Bench, host: HostProcess) -> float:
    """Restart a host; return the time to its first served request, in ms."""
    if host.process is None:
        raise RuntimeError("the host to restart is not running")
    host.process.terminate()
    await asyncio.to_thread(host.process.wait)
    lookup = lookups_on_path(bench, "two_hosts")(0)
    started_s = time.monotonic()
    bench.deployment.start_host(host)
    async with aiohttp.ClientSession() as http:
        while time.monotonic() - started_s < FIRST_ANSWER_TIMEOUT_S:
            try:
                async with http.get(lookup.url, headers=lookup.headers) as response:
                    if response.status == 200 and (
                        await response.read() == lookup.expected
                    ):
                        return (time.monotonic() - started_s) * 1000
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(POLL_S)
    raise RuntimeError("the restarted host served no request in time")


if __name__ == "__main__":
    main()
