"""Upper bounds, step by step, on the times of failover and of configuration changes.

The bound of a step is a constant of the code, a required latency, or a measured time,
such as that of a disk sync. Steps of negligible duration, such as function calls, are
left out.
"""

import math
from typing import NamedTuple

from bergamotferry.global_placement import N_HANDOVERS_PER_TICK
from bergamotferry.leases import (
    CLOCK_RATE_DIFFERENCE_MAX_PERCENT,
    HOST_LEASE_MS,
    SESSION_LEASE_MS,
)
from bergamotferry.ownership import OUT_GRACE_MS
from bergamotferry.replication.state import ELECTION_MAX_NS, NS_PER_MS
from bergamotferry.retry_budget import BACKOFF_MAX_MS
from bergamotferry_host.dispatch import DISPATCHER_TICK_S
from bergamotferry_host.group import TICK_S
from bergamotferry_host.group_commit import PROPOSE_PAUSE_S
from bergamotferry_host.group_reader import FETCH_WAIT_MS
from bergamotferry_host.leader_duties import (
    FOLLOW_UP_TICK_S,
    OWNERSHIP_TICK_S,
    PLACEMENT_TICK_S,
)
from bergamotferry_host.lease_renewal import REPORT_POLL_S
from bergamotferry_host.peer_network import KEEPALIVE_INTERVAL_S, KEEPALIVE_TIMEOUT_S

from .capacity_counts import (
    CLIENT_ONE_WAY_MS,
    DATA_CENTRES_ONE_WAY_MS,
    N_SHARDS,
    REGIONS_ONE_WAY_MS,
    REQUEST_TARGET_MS,
    Counts,
)
from .capacity_model import Slopes

IN_REGION_MS = DATA_CENTRES_ONE_WAY_MS[1]
TICK_MS = TICK_S * 1000
OWNERSHIP_TICK_MS = OWNERSHIP_TICK_S * 1000
DISPATCHER_TICK_MS = DISPATCHER_TICK_S * 1000
US_PER_MS = 1000


class Step(NamedTuple):
    """A step of a sequence, the module that runs it, and its longest duration."""

    description: str
    module: str
    duration_ms: float


class RequestKind(NamedTuple):
    """A kind of request and its network and disk time, without queueing and service."""

    description: str
    fixed_ms: float

    @property
    def remaining_ms(self) -> float:
        """The time left of the target for queueing, service and processors."""
        return REQUEST_TARGET_MS - self.fixed_ms


def total_ms(steps: list[Step]) -> float:
    """Return the longest duration of a sequence."""
    return sum(step.duration_ms for step in steps)


def commit_ms(slopes: Slopes, one_way_ms: float) -> float:
    """Return the time of a commit: the leader's sync, a follower's, and a round trip.

    The leader syncs before it sends, so the two syncs run one after the other.
    """
    sync_ms = slopes["sync_time"].intercept / US_PER_MS
    return 2 * sync_ms + 2 * one_way_ms


def host_loss_steps(slopes: Slopes) -> list[Step]:
    """Return the failover steps after the loss of a host that dispatches.

    The host leads no group.
    """
    return [
        Step("its lease runs out", "leases", _grantor_wait_ms(HOST_LEASE_MS)),
        *_assign_steps(slopes),
    ]


def leader_loss_steps(slopes: Slopes) -> list[Step]:
    """Return the failover steps after the loss of a host that dispatches and leads."""
    election_ms = ELECTION_MAX_NS / NS_PER_MS
    return [
        Step("followers lose patience", "replication", election_ms + TICK_MS),
        Step(
            "pre-vote and vote", "replication", 4 * IN_REGION_MS + 2 * _sync_ms(slopes)
        ),
        Step("first entry of the term", "replication", commit_ms(slopes, IN_REGION_MS)),
        Step(
            "leases taken as just granted run out",
            "leader_duties",
            _grantor_wait_ms(HOST_LEASE_MS),
        ),
        *_assign_steps(slopes),
    ]


def upstream_loss_steps(slopes: Slopes) -> list[Step]:
    """Return the failover steps after an upstream freezes or its machine is lost."""
    in_region_commit_ms = commit_ms(slopes, IN_REGION_MS)
    report_ms = REPORT_POLL_S * 1000 + IN_REGION_MS
    return [
        Step(
            "its session lease runs out", "leases", _grantor_wait_ms(SESSION_LEASE_MS)
        ),
        Step("ownership tick", "leader_duties", OWNERSHIP_TICK_MS),
        Step("commit of DrainSession", "replication", in_region_commit_ms),
        Step(
            "dispatcher reads and stops", "dispatch", IN_REGION_MS + DISPATCHER_TICK_MS
        ),
        Step("dispatcher reports it drained", "lease_renewal", report_ms),
        Step("ownership tick", "leader_duties", OWNERSHIP_TICK_MS),
        Step("commit of CloseSession", "replication", in_region_commit_ms),
        Step("next decision", "leader_duties", FOLLOW_UP_TICK_S * 1000),
        Step("commit of every GrantShards", "replication", in_region_commit_ms),
        Step(
            "dispatcher reads and orders",
            "orders",
            3 * IN_REGION_MS + DISPATCHER_TICK_MS,
        ),
        Step("a waiting request tries again", "retry_budget", BACKOFF_MAX_MS),
    ]


def data_centre_out_steps(slopes: Slopes, n_shards: int) -> list[Step]:
    """Return the steps until the shards of a data centre taken out are served again."""
    cross_region_commit_ms = commit_ms(slopes, REGIONS_ONE_WAY_MS)
    placement_tick_ms = PLACEMENT_TICK_S * 1000
    in_region_commit_ms = commit_ms(slopes, IN_REGION_MS)
    n_placement_ticks = math.ceil(n_shards / N_HANDOVERS_PER_TICK)
    begin_ms = n_placement_ticks * (placement_tick_ms + cross_region_commit_ms)
    release_ms = 2 * (OWNERSHIP_TICK_MS + in_region_commit_ms) + REPORT_POLL_S * 1000
    report_ms = placement_tick_ms + REGIONS_ONE_WAY_MS
    grant_ms = (
        OWNERSHIP_TICK_MS + in_region_commit_ms + 3 * IN_REGION_MS + DISPATCHER_TICK_MS
    )
    return [
        Step("the note is in force", "group", total_ms(in_force_steps(slopes))),
        Step(
            f"handovers begin, in {n_placement_ticks} ticks",
            "global_placement",
            begin_ms,
        ),
        Step("the data centre reads it", "group", 3 * REGIONS_ONE_WAY_MS),
        Step("it revokes and releases", "ownership", release_ms),
        Step("it reports", "leader_duties", report_ms),
        Step(
            "handovers end",
            "global_placement",
            placement_tick_ms + cross_region_commit_ms,
        ),
        Step("the new data centre reads it", "group", 3 * REGIONS_ONE_WAY_MS),
        Step("it grants and orders", "ownership", grant_ms),
    ]


def no_new_work_steps(slopes: Slopes) -> list[Step]:
    """Return the steps until a data centre taken out receives no new work."""
    return [
        Step("the note is in force", "group", total_ms(in_force_steps(slopes))),
        Step("time to hand over", "ownership", OUT_GRACE_MS),
        Step("ownership tick", "leader_duties", OWNERSHIP_TICK_MS),
        Step("commit of RevokeShards", "replication", commit_ms(slopes, IN_REGION_MS)),
        Step("dispatchers read it", "group", IN_REGION_MS),
    ]


def stranded_request_steps() -> list[Step]:
    """Return the steps until a lookup that was sent to a lost host is retried."""
    return [
        Step("the next ping is due", "peer_network", KEEPALIVE_INTERVAL_S * 1000),
        Step(
            "no pong comes, the link is closed",
            "peer_network",
            KEEPALIVE_TIMEOUT_S * 1000,
        ),
        Step("the request tries again", "retry_budget", BACKOFF_MAX_MS),
    ]


def in_force_steps(slopes: Slopes) -> list[Step]:
    """Return the steps of a release note until all hosts report it as applied."""
    return [
        Step("commit between regions", "replication", _cross_region_commit_ms(slopes)),
        Step("the voter that is read from learns of it", "group", REGIONS_ONE_WAY_MS),
        Step("a read on its way comes back empty", "group", 2 * REGIONS_ONE_WAY_MS),
        Step("the next read is answered", "group", TICK_MS + REGIONS_ONE_WAY_MS),
        Step("applied over all shards", "global_tables", _apply_ms(slopes)),
        Step("every host reports it", "operator_edge", 2 * REGIONS_ONE_WAY_MS),
    ]


def in_force_steps_silent_source(slopes: Slopes) -> list[Step]:
    """Return the steps of a release note when a reader's log source does not answer."""
    wait_ms = 2 * FETCH_WAIT_MS + PROPOSE_PAUSE_S * 1000
    silent_source_step = Step("a reader gives up its silent source", "group", wait_ms)
    return [
        *in_force_steps(slopes)[:1],
        silent_source_step,
        *in_force_steps(slopes)[1:],
    ]


def request_kinds(slopes: Slopes) -> list[RequestKind]:
    """Return the kinds of requests with their network and disk times."""
    in_data_centre_ms, in_region_ms = DATA_CENTRES_ONE_WAY_MS
    to_upstream_ms = 2 * in_data_centre_ms
    intent_ms = 2 * in_data_centre_ms + commit_ms(slopes, in_region_ms)
    client_round_trip_ms = 2 * CLIENT_ONE_WAY_MS
    return [
        RequestKind(
            "lookup, owner in the data centre", 2 * in_data_centre_ms + to_upstream_ms
        ),
        RequestKind(
            "lookup, owner elsewhere in the region", 2 * in_region_ms + to_upstream_ms
        ),
        RequestKind(
            "filing, owner in the data centre, its intent committed first",
            2 * in_data_centre_ms + to_upstream_ms + intent_ms,
        ),
        RequestKind(
            "lookup, owner in another region",
            2 * REGIONS_ONE_WAY_MS + to_upstream_ms,
        ),
        RequestKind(
            "the first of these, read at the caller",
            client_round_trip_ms + 2 * in_data_centre_ms + to_upstream_ms,
        ),
    ]


def grant_all_blocking_ms(slopes: Slopes, counts: Counts) -> float:
    """Return how long granting all its shards blocks a leader's event loop, in ms."""
    slope = slopes["regrant_cpu_per_shard"]
    return slope.slope * counts.shards_per_data_centre / US_PER_MS


def _assign_steps(slopes: Slopes) -> list[Step]:
    in_region_commit_ms = commit_ms(slopes, IN_REGION_MS)
    return [
        Step("ownership tick", "leader_duties", OWNERSHIP_TICK_MS),
        Step("commit of every AssignDispatcher", "replication", in_region_commit_ms),
        Step("new dispatcher reads it", "group", IN_REGION_MS + DISPATCHER_TICK_MS),
        Step("it orders the grants again", "orders", 2 * IN_REGION_MS),
        Step("a waiting request tries again", "retry_budget", BACKOFF_MAX_MS),
    ]


def _sync_ms(slopes: Slopes) -> float:
    return slopes["sync_time"].intercept / US_PER_MS


def _cross_region_commit_ms(slopes: Slopes) -> float:
    return commit_ms(slopes, REGIONS_ONE_WAY_MS) + TICK_MS


def _apply_ms(slopes: Slopes) -> float:
    return slopes["note_apply_cpu_per_shard"].slope * N_SHARDS / US_PER_MS


def _grantor_wait_ms(lease_ms: int) -> float:
    """Return how long the grantor waits for a lease, given the bound on clock rates."""
    return lease_ms * (100 + CLOCK_RATE_DIFFERENCE_MAX_PERCENT) / 100
