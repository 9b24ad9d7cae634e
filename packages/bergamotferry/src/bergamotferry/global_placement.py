"""Systems that the global group's leader runs: which data centre holds which shard.

Shards are placed by the slots that the data centres report. A data centre that is taken
out hands its shards over; under a cut nothing moves, because a handover needs the old
data centre's own release.
"""

from collections.abc import Mapping

from .commands import BeginHandover, FinishHandover, GlobalCommand, PlaceShards
from .global_tables import GlobalTables, regions_allowed_for_shard, unplaced_shards
from .messages import CapacityReport
from .placement import choose_targets
from .records import ShardId

N_HANDOVERS_PER_TICK = 64


def run_global_placement(
    tables: GlobalTables, reports: Mapping[str, CapacityReport]
) -> list[GlobalCommand]:
    """Run every system once and return the commands to commit."""
    commands: list[GlobalCommand] = []
    commands += place_shards(tables, reports)
    commands += begin_handovers(tables, reports)
    commands += finish_handovers(tables, reports)
    return commands


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
    """Hand over the shards of data centres that are out or have no slots for them."""
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
    """Complete the handovers whose old data centre has committed the release."""
    commands: list[GlobalCommand] = []
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
        regions = regions_allowed_for_shard(tables, mine[0])
        weights = {
            name: dict(report.n_slots).get(service, 0)
            for name, report in reports.items()
            if name in tables.data_centres
            and tables.data_centres[name].state == "in"
            and tables.data_centres[name].region in regions
        }
        owned = {
            shard: home.data_centre
            for shard, home in tables.shard_homes.items()
            if (shard.service, shard.domain) == (service, domain) and shard not in mine
        }
        chosen.update(choose_targets(mine, owned, weights))
    return chosen
