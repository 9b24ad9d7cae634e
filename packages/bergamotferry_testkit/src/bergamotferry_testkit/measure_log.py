"""Measures the replicated log: commits per second and disk syncs per commit.

``python -m bergamotferry_testkit.measure_log`` runs three members in one process, with
their logs in a temporary folder, and prints one row for each number of proposers.
"""

import asyncio
import tempfile
import time
from itertools import count
from pathlib import Path
from typing import Any, NamedTuple

from bergamotferry_host.group_commit import commit
from bergamotferry_host.group_state import Group

from .deployments import DeploymentShape
from .local_group import LocalGroup, numbered_command

N_PROPOSERS = (1, 8, 64)
DURATION_S = 3.0


class CommitRate(NamedTuple):
    """Rates and mean latency of concurrent proposers, each waiting for its commit."""

    n_proposers: int
    commits_per_s: float
    syncs_per_commit: float
    mean_ms: float


async def measure_commits(folder: Path, n_proposers: int) -> CommitRate:
    """Let ``n_proposers`` commit concurrently for 3 s and return their rates.

    Raises
    ------
    RuntimeError
        If the leader keeps its log in memory only.
    """
    async with LocalGroup.from_config(folder) as local_group:
        leader = await local_group.leader()
        if leader.disk_log is None:
            raise RuntimeError("the leader keeps no log on disk")
        n_syncs_before = leader.disk_log.n_syncs
        numbers = count()
        started_s = time.monotonic()
        counts = await asyncio.gather(
            *(_commit_until_end(leader, numbers, started_s) for _ in range(n_proposers))
        )
        took_s = time.monotonic() - started_s
        n_commits = sum(counts)
        n_syncs = leader.disk_log.n_syncs - n_syncs_before
    return CommitRate(
        n_proposers,
        n_commits / took_s,
        n_syncs / n_commits,
        1000 * took_s * n_proposers / n_commits,
    )


async def measure_log(
    shape: DeploymentShape, folder: Path, is_quick: bool
) -> dict[str, Any]:
    """Measure the commits and syncs of one group, as a scenario of `measure`."""
    rows: list[dict[str, Any]] = []
    for n_proposers in N_PROPOSERS[::2] if is_quick else N_PROPOSERS:
        log_folder = folder / str(n_proposers)
        log_folder.mkdir(parents=True)
        commit_rate = await measure_commits(log_folder, n_proposers)
        rows.append(
            {
                "n_proposers": commit_rate.n_proposers,
                "commits_per_s": round(commit_rate.commits_per_s),
                "syncs_per_commit": round(commit_rate.syncs_per_commit, 3),
                "mean_ms": round(commit_rate.mean_ms, 2),
            }
        )
    return {"rows": rows, "target": "fewer syncs than commits when many propose"}


def main() -> None:
    """Print one row for each number of proposers."""
    print(f"{'proposers':>10}{'commits/s':>12}{'syncs/commit':>14}{'mean ms':>9}")
    for n_proposers in N_PROPOSERS:
        with tempfile.TemporaryDirectory() as folder:
            commit_rate = asyncio.run(measure_commits(Path(folder), n_proposers))
        print(
            f"{commit_rate.n_proposers:>10}{commit_rate.commits_per_s:>12.0f}"
            f"{commit_rate.syncs_per_commit:>14.3f}{commit_rate.mean_ms:>9.2f}"
        )


async def _commit_until_end(
    leader: Group, numbers: "count[int]", started_s: float
) -> int:
    n_commits = 0
    while time.monotonic() - started_s < DURATION_S:
        await commit(leader, numbered_command(next(numbers)))
        n_commits += 1
    return n_commits


if __name__ == "__main__":
    main()
