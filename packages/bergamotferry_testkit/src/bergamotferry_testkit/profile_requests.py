"""Profiles both hosts of the two-host path and reports their time by part.

A part is a package, or a module of this project. The time is that of the event loop's
thread, without its waits. The time of a built-in function counts for its caller.
"""

import argparse
import asyncio
import json
import os
import pstats
import re
from collections import Counter
from pathlib import Path
from typing import Any

from .fixed_rate_load import run_at_fixed_rate
from .profiled_host import PROFILE_VARIABLE
from .slope_fit import round_significant
from .slopes import update_document
from .two_host_bench import daemon_pids, lookups_on_path, start_bench

PROFILED_HOST_MODULE = "bergamotferry_testkit.profiled_host"
PROFILED_HOSTS = ("dispatcher", "entry")
N_PARTS = 16
_BUILT_IN_FILE = "~"
_EPOLL_WAIT = "<method 'poll' of 'select.epoll' objects>"
_OWN_MODULE = re.compile(r"/(bergamotferry\w*)/(\w+)\.py$")
_PACKAGE = re.compile(r".*/(?:site-packages|python[\d.]+)/(\w+)")

Function = tuple[str, int, str]


async def profile_requests(
    folder: Path, rate_per_s: float, duration_s: float
) -> dict[str, Any]:
    """Run the load on profiled hosts and return the µs of each part per request."""
    bench = await start_bench(folder, PROFILED_HOST_MODULE)
    try:
        pids = daemon_pids(bench)
        make_lookup = lookups_on_path(bench, "two_hosts")
        result = await run_at_fixed_rate(make_lookup, rate_per_s, duration_s)
    finally:
        bench.deployment.stop()
    n_answered = len(result.latencies_ms)
    report: dict[str, Any] = {"answered": n_answered, "rate_per_s": rate_per_s}
    for name, pid in zip(PROFILED_HOSTS, pids, strict=True):
        parts = time_by_part(pstats.Stats(str(folder / f"{pid}.profile")))
        report[name] = {
            part: round_significant(time_s * 1e6 / n_answered, 3)
            for part, time_s in parts.most_common(N_PARTS)
        }
    return report


def time_by_part(stats: pstats.Stats) -> Counter[str]:
    """Return the seconds spent in each part, without the event loop's waits."""
    function_rows: dict[Function, Any] = stats.stats  # type: ignore[attr-defined]
    parts: Counter[str] = Counter()
    for function, (_, _, own_s, _, callers) in function_rows.items():
        if function[2] == _EPOLL_WAIT:
            continue
        if function[0] != _BUILT_IN_FILE:
            parts[part_of_file(function[0])] += own_s
            continue
        for caller, (_, _, caller_s, _) in callers.items():
            parts[part_of_file(caller[0])] += caller_s
    return parts


def part_of_file(path: str) -> str:
    """Return the part of a source file: a module of this project or a package."""
    own_module = _OWN_MODULE.search(path)
    if own_module:
        return f"{own_module[1]}.{own_module[2]}"
    package = _PACKAGE.match(path)
    return package[1] if package else "interpreter"


def main() -> None:
    """Profile as the command line says; print and write the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=150.0, help="requests per second")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument(
        "--keep", action="store_true", help="write the result to docs/capacity.json too"
    )
    arguments = parser.parse_args()
    folder = Path("build/profile")
    folder.mkdir(parents=True, exist_ok=True)
    os.environ[PROFILE_VARIABLE] = str(folder)
    report = asyncio.run(profile_requests(folder, arguments.rate, arguments.seconds))
    (folder / "report.json").write_text(json.dumps(report, indent=2) + "\n")
    if arguments.keep:
        update_document("profile", report)
    for name in PROFILED_HOSTS:
        print(f"{name}, µs per request, {report['answered']} requests:")
        for part, time_us in report[name].items():
            print(f"  {part:<40}{time_us:>8g}")


if __name__ == "__main__":
    main()
