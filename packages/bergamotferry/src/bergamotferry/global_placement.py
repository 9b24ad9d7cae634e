"""Decides which data centre holds which shard; run by the global group's leader.

Shards are placed in proportion to the slots that the data centres report. A data centre
in state "out" hands its shards over. During a network partition no shard moves, because
a handover needs the release by the old data centre itself. A data centre that joins or
returns gets its share a few shards at a time, and only once the imbalance has lasted
for a while, so that the restart of an upstream moves no shard.

Each placement system is a function that reads the tables and the reports, and returns
commands to commit.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from .commands import BeginHandover, FinishHandover, GlobalCommand, PlaceShards
from .global_tables import GlobalTables, regions_allowed_for_shard, unplaced_shards
from .messages import CapacityAfterOut, CapacityReport
from .placement import choose_targets, shards_over_share
from .records import ShardId

N_HANDOVERS_PER_TICK = 128
N_REBALANCED_PER_TICK = 8
N_REBALANCING_MAX = 16
# Rebalancing begins when a data centre has held more than this multiple of its share
# for REBALANCE_WAIT_NS, and ends when none exceeds the lower limit, LOAD_SLACK in
# ``placement``.
REBALANCE_SLACK = 1.25
REBALANCE_WAIT_NS = 2_000_000_000


@dataclass(slots=True)
class RebalanceState:
    """Since when the shards of each service and domain are unevenly placed.

    ``last_idle_inputs`` is the state that the placement systems read when they last
    found nothing to do.
    """

    uneven_since_ns: dict[tuple[str, str], int] = field(default_factory=dict)
    last_idle_inputs: object = None


def run_global_placement(
    tables: GlobalTables,
    reports: Mapping[str, CapacityReport],
    rebalance: RebalanceState,
    now_ns: int,
) -> list[GlobalCommand]:
    """Run every placement system once and return the commands to commit, in order."""
    commands: list[GlobalCommand] = []
    commands += place_shards(tables, reports)
    commands += begin_handovers(tables, reports)
    commands += finish_handovers(tables, reports)
    commands += rebalance_shards(tables, reports, rebalance, now_ns)
    return commands


def is_placement_due(rebalance: RebalanceState, inputs: object) -> bool:
    """Return whether the placement systems must run, given the state of their inputs.

    With unchanged inputs, only the duration of an imbalance can require a decision.
    """
    return bool(rebalance.uneven_since_ns) or inputs != rebalance.last_idle_inputs


def record_placement_run(
    rebalance: RebalanceState, inputs: object, has_acted: bool
) -> None:
    """Record that the placement systems ran on these inputs.

    The commands of a run are not certain to be committed, so a run that returned
    commands is repeated.
    """
    rebalance.last_idle_inputs = None if has_acted else inputs


def capacity_after_out(
    tables: GlobalTables, reports: Mapping[str, CapacityReport], name: str
) -> list[CapacityAfterOut]:
    """Return the capacity of each service and domain without one data centre.

    Slots are counted over the data centres that may hold the shards, with and without
    data centre ``name``. Shards without a place are those that data centre ``name``
    holds and no other one may take; requests for them would be refused.
    """
    capacities: list[CapacityAfterOut] = []
    for service, domain in _service_domains(tables):
        weights = _slots_by_data_centre(tables, reports, service, domain)
        n_slots_after = sum(n for other, n in weights.items() if other != name)
        n_held = sum(
            home.data_centre == name
            for shard, home in tables.shard_homes.items()
            if (shard.service, shard.domain) == (service, domain)
        )
        capacities.append(
            CapacityAfterOut(
                service,
                domain,
                sum(weights.values()),
                n_slots_after,
                0 if n_slots_after else n_held,
            )
        )
    return capacities


def rebalance_shards(
    tables: GlobalTables,
    reports: Mapping[str, CapacityReport],
    rebalance: RebalanceState,
    now_ns: int,
) -> list[GlobalCommand]:
    """Begin handovers from data centres that hold too many shards for their slots."""
    n_moving = sum(bool(home.next_data_centre) for home in tables.shard_homes.values())
    commands: list[GlobalCommand] = []
    for service_domain in _service_domains(tables):
        n_moves = min(
            N_REBALANCED_PER_TICK, N_REBALANCING_MAX - n_moving - len(commands)
        )
        weights = _slots_by_data_centre(tables, reports, *service_domain)
        owned = _movable_homes(tables, service_domain, weights)
        if (
            not _is_rebalance_due(rebalance, service_domain, owned, weights, now_ns)
            or n_moves <= 0
        ):
            continue
        moves = shards_over_share(owned, weights, n_moves)
        staying = {s: name for s, name in owned.items() if s not in moves}
        for shard, name in choose_targets(moves, staying, weights).items():
            if name != owned[shard]:
                epoch = tables.shard_homes[shard].epoch
                commands.append(BeginHandover(shard, epoch, name))
    return commands


def _is_rebalance_due(
    rebalance: RebalanceState,
    service_domain: tuple[str, str],
    owned: Mapping[ShardId, str],
    weights: Mapping[str, int],
    now_ns: int,
) -> bool:
    since_ns = rebalance.uneven_since_ns.setdefault(service_domain, now_ns)
    is_wait_over = now_ns - since_ns >= REBALANCE_WAIT_NS
    if is_wait_over:
        is_uneven = bool(shards_over_share(owned, weights, 1))
    else:
        is_uneven = bool(shards_over_share(owned, weights, 1, REBALANCE_SLACK))
    if not is_uneven:
        del rebalance.uneven_since_ns[service_domain]
    return is_wait_over and is_uneven


def _movable_homes(
    tables: GlobalTables, service_domain: tuple[str, str], weights: Mapping[str, int]
) -> dict[ShardId, str]:
    # A data centre that does not report may be partitioned away and keeps its shards.
    return {
        shard: home.next_data_centre or home.data_centre
        for shard, home in tables.shard_homes.items()
        if (shard.service, shard.domain) == service_domain
        and weights.get(home.next_data_centre or home.data_centre, 0)
        and not home.next_data_centre
    }


def place_shards(
    tables: GlobalTables, reports: Mapping[str, CapacityReport]
) -> list[GlobalCommand]:
    """Place each unplaced shard on a data centre that has slots for its service."""
    chosen = _choose_data_centres(tables, unplaced_shards(tables), reports)
    if not chosen:
        return []
    return [PlaceShards(tuple(chosen), tuple(chosen.values()))]


def begin_handovers(
    tables: GlobalTables, reports: Mapping[str, CapacityReport]
) -> list[GlobalCommand]:
    """Begin handovers from data centres that must not or cannot hold their shards.

    A data centre must not hold a shard if it is out or fenced, or if the shard's home
    region no longer names its region. It cannot if it reports no slot for the service.
    """
    leaving = [
        shard
        for shard, home in tables.shard_homes.items()
        if not home.next_data_centre
        and _must_leave(tables, reports, shard, home.data_centre)
    ][:N_HANDOVERS_PER_TICK]
    chosen = _choose_data_centres(tables, leaving, reports)
    return [
        BeginHandover(shard, tables.shard_homes[shard].epoch, data_centre)
        for shard, data_centre in chosen.items()
    ]


def finish_handovers(
    tables: GlobalTables, reports: Mapping[str, CapacityReport]
) -> list[GlobalCommand]:
    """Finish the handovers whose old data centre has committed the release.

    For a data centre that operators have declared fenced, no release is needed: the
    declaration replaces the release.
    """
    commands: list[GlobalCommand] = [
        FinishHandover(shard, home.epoch)
        for shard, home in tables.shard_homes.items()
        if home.next_data_centre
        and home.data_centre in tables.data_centres
        and tables.data_centres[home.data_centre].state == "fenced"
    ]
    for report in reports.values():
        for shard, epoch in report.released:
            home = tables.shard_homes.get(shard)
            if home and home.epoch == epoch and home.next_data_centre:
                commands.append(FinishHandover(shard, epoch))
    return commands


def _must_leave(
    tables: GlobalTables,
    reports: Mapping[str, CapacityReport],
    shard: ShardId,
    data_centre: str,
) -> bool:
    old_data_centre = tables.data_centres.get(data_centre)
    if old_data_centre is None or old_data_centre.state != "in":
        return True
    if shard.domain and old_data_centre.region not in regions_allowed_for_shard(
        tables, shard
    ):
        # The home region has changed since the shard was placed.
        return True
    report = reports.get(data_centre)
    return report is not None and not dict(report.n_slots).get(shard.service, 0)


def _choose_data_centres(
    tables: GlobalTables,
    shards: list[ShardId],
    reports: Mapping[str, CapacityReport],
) -> dict[ShardId, str]:
    chosen: dict[ShardId, str] = {}
    service_domains = sorted({(shard.service, shard.domain) for shard in shards})
    for service, domain in service_domains:
        to_place = [s for s in shards if (s.service, s.domain) == (service, domain)]
        weights = _slots_by_data_centre(tables, reports, service, domain)
        owned = {
            shard: home.data_centre
            for shard, home in tables.shard_homes.items()
            if (shard.service, shard.domain) == (service, domain)
            and shard not in to_place
        }
        chosen.update(choose_targets(to_place, owned, weights))
    return chosen


def _service_domains(tables: GlobalTables) -> list[tuple[str, str]]:
    return sorted({(shard.service, shard.domain) for shard in tables.shard_homes})


def _slots_by_data_centre(
    tables: GlobalTables,
    reports: Mapping[str, CapacityReport],
    service: str,
    domain: str,
) -> dict[str, int]:
    """Return the slots of each data centre that may hold these shards."""
    regions = regions_allowed_for_shard(tables, ShardId(service, domain, 0))
    return {
        name: dict(report.n_slots).get(service, 0)
        for name, report in reports.items()
        if name in tables.data_centres
        and tables.data_centres[name].state == "in"
        and tables.data_centres[name].region in regions
    }
