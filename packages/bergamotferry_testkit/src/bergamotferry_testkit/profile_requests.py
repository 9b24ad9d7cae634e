"""Profiles both hosts of the two-host path and prints where their time goes."""

import argparse
import asyncio
import os
import pstats
from pathlib import Path

from .paced_load import run_paced
from .profiled_host import PROFILE_VARIABLE
from .two_host_bench import lookups_of, start_bench

HOST_MODULE = "bergamotferry_testkit.profiled_host"
N_LINES = 45


async def profile_requests(folder: Path, rate_per_s: float, duration_s: float) -> int:
    """Run the load on profiled hosts; return the number of right answers."""
    bench = await start_bench(folder, HOST_MODULE)
    try:
        lookup_of = lookups_of(bench, "two_hosts")
        result = await run_paced(lookup_of, rate_per_s, duration_s)
    finally:
        bench.deployment.stop()
    return len(result.latencies_ms)


def main() -> None:
    """Profile from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=150.0, help="requests per second")
    parser.add_argument("--seconds", type=float, default=10.0)
    arguments = parser.parse_args()
    folder = Path("build/profile")
    folder.mkdir(parents=True, exist_ok=True)
    # Each host writes a profile of its own, named after its process.
    os.environ[PROFILE_VARIABLE] = str(folder)
    n_answered = asyncio.run(
        profile_requests(folder, arguments.rate, arguments.seconds)
    )
    print(f"{n_answered} lookups answered through two hosts")
    for path in sorted(folder.glob("*.profile")):
        print(path)
        pstats.Stats(str(path)).sort_stats("tottime").print_stats(N_LINES)


if __name__ == "__main__":
    main()
