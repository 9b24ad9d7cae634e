"""How the times to serve again and to be in force are made up, step by step.

Each step is a bound: a constant of the code, a latency that is given, or a measured
time of the disk. What happens at once, such as a function call, is left out.
"""

import math
from typing import NamedTuple

from bergamotferry.global_placement import N_HANDOVERS_PER_TICK
from bergamotferry.leases import (
    CLOCK_RATE_PERCENT,
    HOST_LEASE_MS,
    SESSION_LEASE_MS,
)
from bergamotferry.ownership import OUT_GRACE_MS
from bergamotferry.replication_state import ELECTION_MAX_NS, NS_PER_MS
from bergamotferry.retry_budget import PAUSE_MAX_MS
from bergamotferry_host.dispatch import DISPATCHER_TICK_S
from bergamotferry_host.group import TICK_S
from bergamotferry_host.group_commit import PROPOSE_PAUSE_S
from bergamotferry_host.group_reader import FETCH_WAIT_MS
from bergamotferry_host.leader_duties import (
    NEXT_DECISION_S,
    OWNERSHIP_TICK_S,
    PLACEMENT_TICK_S,
)
from bergamotferry_host.lease_renewal import REPORT_POLL_S
from bergamotferry_host.peer_network import PING_INTERVAL_S, PING_TIMEOUT_S

from .capacity_counts import (
    BETWEEN_DATA_CENTRES_MS,
    BETWEEN_REGIONS_MS,
    N_SHARDS,
    REQUEST_TARGET_MS,
    TO_CLIENT_MS,
    Counts,
)
from .capacity_model import Slopes

NEAR_MS = BETWEEN_DATA_CENTRES_MS[1]
TICK_MS = TICK_S * 1000
OWNERSHIP_TICK_MS = OWNERSHIP_TICK_S * 1000
DISPATCHER_TICK_MS = DISPATCHER_TICK_S * 1000
US_PER_MS = 1000


class Step(NamedTuple):
    """A step of a sequence and its longest time."""

    what: str
    module: str
    duration_ms: float


class RequestKind(NamedTuple):
    """A kind of request and what its ways and disks take before any work is done."""

    what: str
    fixed_ms: float

    @property
    def left_ms(self) -> float:
        """What is left of the target for queue, service and processors."""
        return REQUEST_TARGET_MS - self.fixed_ms


def total_ms(steps: list[Step]) -> float:
    """Return the longest time of a sequence."""
    return sum(step.duration_ms for step in steps)


def commit_ms(slopes: Slopes, one_way_ms: float) -> float:
    """Return the time of a commit: the leader's disk, then a follower's, and the way.

    The leader syncs before it sends, so that the two syncs follow each other.
    """
    sync_ms = slopes["sync_time"].intercept / US_PER_MS
    return 2 * sync_ms + 2 * one_way_ms


def host_lost(slopes: Slopes) -> list[Step]:
    """Return the steps after a host that dispatches, but leads nothing, is lost."""
    return [
        Step("its lease runs out", "leases", _granted_ms(HOST_LEASE_MS)),
        *_assign_steps(slopes),
    ]


def leader_lost(slopes: Slopes) -> list[Step]:
    """Return the steps after a host is lost that dispatches and leads its group."""
    election_ms = ELECTION_MAX_NS / NS_PER_MS
    return [
        Step("followers lose patience", "replication", election_ms + TICK_MS),
        Step("pre-vote and vote", "replication", 4 * NEAR_MS + 2 * _sync_ms(slopes)),
        Step("first entry of the term", "replication", commit_ms(slopes, NEAR_MS)),
        Step(
            "leases taken as just granted run out",
            "leader_duties",
            _granted_ms(HOST_LEASE_MS),
        ),
        *_assign_steps(slopes),
    ]


def upstream_lost(slopes: Slopes) -> list[Step]:
    """Return the steps after an upstream freezes or its machine is lost."""
    near_commit_ms = commit_ms(slopes, NEAR_MS)
    report_ms = REPORT_POLL_S * 1000 + NEAR_MS
    return [
        Step("its session lease runs out", "leases", _granted_ms(SESSION_LEASE_MS)),
        Step("ownership tick", "leader_duties", OWNERSHIP_TICK_MS),
        Step("commit of DrainSession", "replication", near_commit_ms),
        Step("dispatcher reads and stops", "dispatch", NEAR_MS + DISPATCHER_TICK_MS),
        Step("dispatcher reports it drained", "lease_renewal", report_ms),
        Step("ownership tick", "leader_duties", OWNERSHIP_TICK_MS),
        Step("commit of CloseSession", "replication", near_commit_ms),
        Step("next decision", "leader_duties", NEXT_DECISION_S * 1000),
        Step("commit of every GrantShards", "replication", near_commit_ms),
        Step("dispatcher reads and orders", "orders", 3 * NEAR_MS + DISPATCHER_TICK_MS),
        Step("a waiting request tries again", "retry_budget", PAUSE_MAX_MS),
    ]


def taken_out(slopes: Slopes, n_shards: int) -> list[Step]:
    """Return the steps until all shards of a data centre that is out have moved."""
    far_commit_ms = commit_ms(slopes, BETWEEN_REGIONS_MS)
    placement_tick_ms = PLACEMENT_TICK_S * 1000
    near_commit_ms = commit_ms(slopes, NEAR_MS)
    n_ticks = math.ceil(n_shards / N_HANDOVERS_PER_TICK)
    begin_ms = n_ticks * (placement_tick_ms + far_commit_ms)
    release_ms = 2 * (OWNERSHIP_TICK_MS + near_commit_ms) + REPORT_POLL_S * 1000
    report_ms = placement_tick_ms + BETWEEN_REGIONS_MS
    grant_ms = OWNERSHIP_TICK_MS + near_commit_ms + 3 * NEAR_MS + DISPATCHER_TICK_MS
    return [
        Step("the note is in force", "group", total_ms(in_force(slopes))),
        Step(f"handovers begin, in {n_ticks} ticks", "global_placement", begin_ms),
        Step("the data centre reads it", "group", 3 * BETWEEN_REGIONS_MS),
        Step("it revokes and releases", "ownership", release_ms),
        Step("it reports", "leader_duties", report_ms),
        Step("handovers end", "global_placement", placement_tick_ms + far_commit_ms),
        Step("the new data centre reads it", "group", 3 * BETWEEN_REGIONS_MS),
        Step("it grants and orders", "ownership", grant_ms),
    ]


def no_new_work(slopes: Slopes) -> list[Step]:
    """Return the steps until a data centre that is out takes no new work at all."""
    return [
        Step("the note is in force", "group", total_ms(in_force(slopes))),
        Step("time to hand over", "ownership", OUT_GRACE_MS),
        Step("ownership tick", "leader_duties", OWNERSHIP_TICK_MS),
        Step("commit of RevokeShards", "replication", commit_ms(slopes, NEAR_MS)),
        Step("dispatchers read it", "group", NEAR_MS),
    ]


def request_stranded() -> list[Step]:
    """Return the steps of a lookup that was sent to a host just before it was lost."""
    return [
        Step("the next ping is due", "peer_network", PING_INTERVAL_S * 1000),
        Step(
            "no pong comes, the link is closed", "peer_network", PING_TIMEOUT_S * 1000
        ),
        Step("the request tries again", "retry_budget", PAUSE_MAX_MS),
    ]


def in_force(slopes: Slopes) -> list[Step]:
    """Return the steps of a release note until all hosts have applied it."""
    return [
        Step("commit between regions", "replication", _far_commit_ms(slopes)),
        Step("the voter that is read from learns of it", "group", BETWEEN_REGIONS_MS),
        Step("a read on its way comes back empty", "group", 2 * BETWEEN_REGIONS_MS),
        Step("the next read is answered", "group", TICK_MS + BETWEEN_REGIONS_MS),
        Step("applied over all shards", "global_tables", _apply_ms(slopes)),
        Step("every host reports it", "operator_edge", 2 * BETWEEN_REGIONS_MS),
    ]


def in_force_after_silence(slopes: Slopes) -> list[Step]:
    """Return the same while a reader's source has gone silent."""
    wait_ms = 2 * FETCH_WAIT_MS + PROPOSE_PAUSE_S * 1000
    silent = Step("a reader gives up its silent source", "group", wait_ms)
    return [*in_force(slopes)[:1], silent, *in_force(slopes)[1:]]


def request_kinds(slopes: Slopes) -> list[RequestKind]:
    """Return the kinds of requests, with what is left of the target for their work."""
    near_ms, far_ms = BETWEEN_DATA_CENTRES_MS
    to_upstream_ms = 2 * near_ms
    intent_ms = 2 * near_ms + commit_ms(slopes, far_ms)
    home_ms = 2 * TO_CLIENT_MS
    return [
        RequestKind("lookup, owner in the data centre", 2 * near_ms + to_upstream_ms),
        RequestKind(
            "lookup, owner elsewhere in the region", 2 * far_ms + to_upstream_ms
        ),
        RequestKind(
            "filing, owner in the data centre, its intent committed first",
            2 * near_ms + to_upstream_ms + intent_ms,
        ),
        RequestKind(
            "lookup, owner in another region",
            2 * BETWEEN_REGIONS_MS + to_upstream_ms,
        ),
        RequestKind(
            "the first of these, read at the caller",
            home_ms + 2 * near_ms + to_upstream_ms,
        ),
    ]


def regrant_all_ms(slopes: Slopes, counts: Counts) -> float:
    """Return how long a leader's event loop stands still to grant all its shards."""
    slope = slopes["regrant_cpu_per_shard"]
    return slope.slope * counts.shards_per_data_centre / US_PER_MS


def _assign_steps(slopes: Slopes) -> list[Step]:
    near_commit_ms = commit_ms(slopes, NEAR_MS)
    return [
        Step("ownership tick", "leader_duties", OWNERSHIP_TICK_MS),
        Step("commit of every AssignDispatcher", "replication", near_commit_ms),
        Step("new dispatcher reads it", "group", NEAR_MS + DISPATCHER_TICK_MS),
        Step("it orders the grants again", "orders", 2 * NEAR_MS),
        Step("a waiting request tries again", "retry_budget", PAUSE_MAX_MS),
    ]


def _sync_ms(slopes: Slopes) -> float:
    return slopes["sync_time"].intercept / US_PER_MS


def _far_commit_ms(slopes: Slopes) -> float:
    return commit_ms(slopes, BETWEEN_REGIONS_MS) + TICK_MS


def _apply_ms(slopes: Slopes) -> float:
    return slopes["note_apply_cpu_per_shard"].slope * N_SHARDS / US_PER_MS


def _granted_ms(lease_ms: int) -> float:
    return lease_ms * (100 + CLOCK_RATE_PERCENT) / 100
