"""Finds the owners of shards from the orders that the stand-in upstreams record.

The records are independent of the owners that hosts report. Shards move for some
seconds after a start or a fault; `wait_owners_stable` is for measurements and tests
that need all owners to be settled.
"""

import asyncio
import time
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

from .local_deployment import LocalDeployment
from .records_check import read_records

STABLE_FOR_S = 3.0
STABLE_TIMEOUT_S = 60.0
POLL_S = 0.5


class GrantedShard(NamedTuple):
    """The highest epoch that a shard was granted with, and its upstream."""

    epoch: int
    upstream: str


def owners_from_records(paths: Iterable[Path], service: str) -> dict[str, GrantedShard]:
    """Return the latest owner of each shard of a service, from the recorded orders."""
    owners: dict[str, GrantedShard] = {}
    for record in read_records(paths):
        is_order = record["event"] == "order"
        if not is_order or not record["upstream"].startswith(f"{service}-"):
            continue
        for shard, epoch in record["granted"]:
            if shard not in owners or epoch > owners[shard].epoch:
                owners[shard] = GrantedShard(epoch, record["upstream"])
    return owners


async def wait_owners_stable(
    deployment: LocalDeployment, service: str
) -> dict[str, GrantedShard]:
    """Wait until no shard of a service has moved for `STABLE_FOR_S`; return the owners.

    Raises
    ------
    RuntimeError
        If shards of the service still move after `STABLE_TIMEOUT_S`.
    """
    paths = [deployment.records_path(name) for name in deployment.stand_in_specs]
    owners = owners_from_records(paths, service)
    started_s = changed_s = time.monotonic()
    while time.monotonic() - changed_s < STABLE_FOR_S:
        if time.monotonic() - started_s > STABLE_TIMEOUT_S:
            raise RuntimeError(f"shards still move after {STABLE_TIMEOUT_S} s")
        await asyncio.sleep(POLL_S)
        current = owners_from_records(paths, service)
        if current != owners:
            owners = current
            changed_s = time.monotonic()
    return owners
