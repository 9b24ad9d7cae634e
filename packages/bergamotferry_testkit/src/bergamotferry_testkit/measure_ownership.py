"""Ownership scenario: churn and imbalance when an upstream leaves and returns."""

import statistics
import time
from collections import Counter
from pathlib import Path
from typing import Any

from .deployment_start import start_ready
from .deployments import DeploymentShape
from .fault_plan import set_stand_in_fault
from .local_deployment import LocalDeployment
from .recorded_owners import STABLE_FOR_S, GrantedShard, wait_owners_stable


async def measure_churn(
    shape: DeploymentShape, folder: Path, is_quick: bool
) -> dict[str, Any]:
    """Measure which shards move when one upstream leaves, and when it joins again."""
    deployment = LocalDeployment.from_config(shape, folder)
    service = shape.services[0]
    victim = f"{service.name}-01"
    rows: list[dict[str, Any]] = []
    try:
        await start_ready(deployment)
        before = await wait_owners_stable(deployment, service.name)
        for change, fault in (("leaves", {"leave": True}), ("joins", {"crash": True})):
            started_s = time.monotonic()
            await set_stand_in_fault(deployment, victim, fault)
            after = await wait_owners_stable(deployment, service.name)
            took_s = time.monotonic() - started_s - STABLE_FOR_S
            rows.append(_churn_row(shape, victim, change, before, after, took_s))
            before = after
    finally:
        deployment.stop()
    return {
        "rows": rows,
        "target": f"moved: its own share, 1/{service.n_upstreams} of the shards",
    }


def _churn_row(
    shape: DeploymentShape,
    victim: str,
    change: str,
    before: dict[str, GrantedShard],
    after: dict[str, GrantedShard],
    took_s: float,
) -> dict[str, Any]:
    moved = [
        shard
        for shard, owner in after.items()
        if shard in before and before[shard].upstream != owner.upstream
    ]
    moved_to_or_from_victim = [
        shard
        for shard in moved
        if victim in (before[shard].upstream, after[shard].upstream)
    ]
    counts = Counter(owner.upstream for owner in after.values())
    return {
        "upstream": victim,
        "change": change,
        "n_shards": len(after),
        "n_moved": len(moved),
        "n_moved_to_or_from_it": len(moved_to_or_from_victim),
        "share": round(len(after) / shape.services[0].n_upstreams, 1),
        "settled_after_s": round(took_s, 1),
        "max_over_mean": round(
            max(counts.values()) / statistics.mean(counts.values()), 2
        ),
    }
