"""Systems that the global group's leader runs: which data centre holds which shard.

Shards are placed by the slots that the data centres report. A data centre that is taken
out hands its shards over; under a cut nothing moves, because a handover needs the old
data centre's own release. One that joins or comes back gets its share little by little,
and only once the unevenness has lasted, so that an upstream's restart moves nothing.
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
# Rebalancing begins when a data centre holds this much over its share for a while, and
# goes on until none is over the limit of placement, which is lower.
REBALANCE_SLACK = 1.25
REBALANCE_WAIT_NS = 2_000_000_000


@dataclass(slots=True)
class RebalanceState:
    """Since when shards of a service and home domain are unevenly spread.

    ``looked_at`` is what the systems read when they last found nothing to do.
    """

    uneven_since_ns: dict[tuple[str, str], int] = field(default_factory=dict)
    looked_at: object = None


def run_global_placement(
    tables: GlobalTables,
    reports: Mapping[str, CapacityReport],
    rebalance: RebalanceState,
    now_ns: int,
) -> list[GlobalCommand]:
    """Run every system once and return the commands to commit."""
    commands: list[GlobalCommand] = []
    commands += place_shards(tables, reports)
    commands += begin_handovers(tables, reports)
    commands += finish_handovers(tables, reports)
    commands += rebalance_shards(tables, reports, rebalance, now_ns)
    return commands


def is_placement_due(rebalance: RebalanceState, seen: object) -> bool:
    """Return whether the systems must run; ``seen`` is the state of what they read.

    Only unevenness calls for something by the time that it lasts.
    """
    return bool(rebalance.uneven_since_ns) or seen != rebalance.looked_at


def note_placement(rebalance: RebalanceState, seen: object, has_acted: bool) -> None:
    """Note that the systems ran; what they decided may not come about."""
    rebalance.looked_at = None if has_acted else seen


def capacity_after_out(
    tables: GlobalTables, reports: Mapping[str, CapacityReport], name: str
) -> list[CapacityAfterOut]:
    """Return what each service and home domain would have left without a data centre.

    Shards without a place are those that the data centre holds and that no other one
    may take: their requests would be refused.
    """
    rows: list[CapacityAfterOut] = []
    for service, domain in _spaces(tables):
        weights = _weights(tables, reports, service, domain)
        n_slots_after = sum(n for other, n in weights.items() if other != name)
        n_held = sum(
            home.data_centre == name
            for shard, home in tables.shard_homes.items()
            if (shard.service, shard.domain) == (service, domain)
        )
        rows.append(
            CapacityAfterOut(
                service,
                domain,
                sum(weights.values()),
                n_slots_after,
                0 if n_slots_after else n_held,
            )
        )
    return rows


def rebalance_shards(
    tables: GlobalTables,
    reports: Mapping[str, CapacityReport],
    rebalance: RebalanceState,
    now_ns: int,
) -> list[GlobalCommand]:
    """Hand some shards over from data centres that hold too many for their slots."""
    n_moving = sum(bool(home.next_data_centre) for home in tables.shard_homes.values())
    commands: list[GlobalCommand] = []
    for space in _spaces(tables):
        n_moves = min(
            N_REBALANCED_PER_TICK, N_REBALANCING_MAX - n_moving - len(commands)
        )
        weights = _weights(tables, reports, *space)
        owned = _movable_homes(tables, space, weights)
        if not _is_due(rebalance, space, owned, weights, now_ns) or n_moves <= 0:
            continue
        moves = shards_over_share(owned, weights, n_moves)
        staying = {s: name for s, name in owned.items() if s not in moves}
        for shard, name in choose_targets(moves, staying, weights).items():
            if name != owned[shard]:
                epoch = tables.shard_homes[shard].epoch
                commands.append(BeginHandover(shard, epoch, name))
    return commands


def _is_due(
    rebalance: RebalanceState,
    space: tuple[str, str],
    owned: Mapping[ShardId, str],
    weights: Mapping[str, int],
    now_ns: int,
) -> bool:
    since_ns = rebalance.uneven_since_ns.setdefault(space, now_ns)
    has_begun = now_ns - since_ns >= REBALANCE_WAIT_NS
    if has_begun:
        is_uneven = bool(shards_over_share(owned, weights, 1))
    else:
        is_uneven = bool(shards_over_share(owned, weights, 1, REBALANCE_SLACK))
    if not is_uneven:
        del rebalance.uneven_since_ns[space]
    return has_begun and is_uneven


def _movable_homes(
    tables: GlobalTables, space: tuple[str, str], weights: Mapping[str, int]
) -> dict[ShardId, str]:
    # A data centre that does not report may be cut off and keeps what it has.
    return {
        shard: home.next_data_centre or home.data_centre
        for shard, home in tables.shard_homes.items()
        if (shard.service, shard.domain) == space
        and weights.get(home.next_data_centre or home.data_centre, 0)
        and not home.next_data_centre
    }


def place_shards(
    tables: GlobalTables, reports: Mapping[str, CapacityReport]
) -> list[GlobalCommand]:
    """Give each shard without a data centre one that has slots for its service."""
    chosen = _choose_data_centres(tables, unplaced_shards(tables), reports)
    if not chosen:
        return []
    return [PlaceShards(tuple(chosen), tuple(chosen.values()))]


def begin_handovers(
    tables: GlobalTables, reports: Mapping[str, CapacityReport]
) -> list[GlobalCommand]:
    """Hand over the shards of data centres that are out or may not or can't hold them.

    A data centre may not if the shard's home region no longer names its region.
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
    """Complete the handovers whose old data centre has committed the release.

    For one that operators have declared fenced, that declaration is the release.
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
    row = tables.data_centres.get(data_centre)
    if row is None or row.state != "in":
        return True
    if shard.domain and row.region not in regions_allowed_for_shard(tables, shard):
        # The home region was changed since the shard was placed.
        return True
    report = reports.get(data_centre)
    return report is not None and not dict(report.n_slots).get(shard.service, 0)


def _choose_data_centres(
    tables: GlobalTables,
    shards: list[ShardId],
    reports: Mapping[str, CapacityReport],
) -> dict[ShardId, str]:
    chosen: dict[ShardId, str] = {}
    spaces = sorted({(shard.service, shard.domain) for shard in shards})
    for service, domain in spaces:
        mine = [s for s in shards if (s.service, s.domain) == (service, domain)]
        weights = _weights(tables, reports, service, domain)
        owned = {
            shard: home.data_centre
            for shard, home in tables.shard_homes.items()
            if (shard.service, shard.domain) == (service, domain) and shard not in mine
        }
        chosen.update(choose_targets(mine, owned, weights))
    return chosen


def _spaces(tables: GlobalTables) -> list[tuple[str, str]]:
    return sorted({(shard.service, shard.domain) for shard in tables.shard_homes})


def _weights(
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
