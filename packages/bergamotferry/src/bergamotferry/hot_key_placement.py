"""Systems that give hot keys shards of their own, place these, and end them.

They run on the leader of a data centre's group after those of ``ownership``. An
exception is made on the owner of the key's home shard; what then moves is its shard,
to where the load that dispatchers report is least, so that hot keys lie apart.
"""

from collections import Counter
from collections.abc import Iterable

from .commands import (
    DataCentreCommand,
    DropExceptions,
    EndExceptions,
    GrantShards,
    MakeException,
    RevokeShards,
)
from .data_centre_tables import DataCentreTables
from .global_tables import GlobalTables
from .hot_keys import (
    HOT_RATE_PER_S,
    HotKeyReports,
    Place,
    cold_exceptions,
    key_rates,
    rates_by_upstream,
)
from .key_exceptions import N_EXCEPTIONS_MAX, exception_shard, home_epoch_of
from .leases import LeaseTable
from .ownership import is_movable
from .records import KeyException, ShardId

N_MADE_PER_TICK = 4
N_ENDED_PER_TICK = 8
# A move must lower the load of the more loaded of two upstreams by this much.
MOVE_GAIN = 0.8
# How long the reported loads take to follow a move.
MOVE_SETTLE_NS = 3_000_000_000


def run_key_exceptions(
    tables: DataCentreTables,
    global_tables: GlobalTables,
    leases: LeaseTable,
    reports: HotKeyReports,
    data_centre: str,
    now_ns: int,
) -> list[DataCentreCommand]:
    """Run the systems once and return the commands to commit, in order."""
    rates = key_rates(reports, now_ns)
    commands: list[DataCentreCommand] = []
    if tables.key_exceptions:
        loads = loads_by_upstream(tables, rates, rates_by_upstream(reports, now_ns))
        commands += drop_ended(tables)
        commands += end_exceptions_due(
            tables, global_tables, reports, rates, data_centre, now_ns
        )
        commands += grant_free_exceptions(tables, rates, loads)
        commands += move_exceptions(tables, leases, reports, rates, loads, now_ns)
    commands += make_exceptions(tables, global_tables, rates, data_centre)
    return commands


def drop_ended(tables: DataCentreTables) -> list[DataCentreCommand]:
    """Give keys back to their home shards once their own shards are free."""
    rows = [
        row
        for row in tables.key_exceptions.values()
        if row.is_ending and row.shard not in tables.grants
    ]
    if not rows:
        return []
    return [DropExceptions(*_names(rows))]


def end_exceptions_due(
    tables: DataCentreTables,
    global_tables: GlobalTables,
    reports: HotKeyReports,
    rates: dict[Place, float],
    data_centre: str,
    now_ns: int,
) -> list[DataCentreCommand]:
    """End the exceptions of keys that are cold, and of shards that leave."""
    open_rows = [row for row in tables.key_exceptions.values() if not row.is_ending]
    cold = cold_exceptions(reports, open_rows, rates, now_ns)
    leaving = [
        row for row in open_rows if not _is_staying(row, global_tables, data_centre)
    ]
    rows = [*leaving, *(row for row in cold if row not in leaving)][:N_ENDED_PER_TICK]
    return [EndExceptions(*_names(rows))] if rows else []


def grant_free_exceptions(
    tables: DataCentreTables, rates: dict[Place, float], loads: dict[str, float]
) -> list[DataCentreCommand]:
    """Grant free shards of single keys, the hottest first, where the load is least."""
    free = [
        row
        for row in tables.key_exceptions.values()
        if not row.is_ending and row.shard not in tables.grants
    ]
    free.sort(key=lambda row: -_rate(row, rates))
    commands: list[DataCentreCommand] = []
    for row in free:
        slots = _serving_slots(tables, row.shard.service)
        if not slots:
            continue
        rate = _rate(row, rates)
        target = min(slots, key=lambda name: (loads[name] + rate) / slots[name])
        loads[target] += rate
        incarnation = tables.sessions[target].incarnation
        epochs = (home_epoch_of(row),)
        commands.append(GrantShards(target, incarnation, (row.shard,), epochs))
    return commands


def move_exceptions(
    tables: DataCentreTables,
    leases: LeaseTable,
    reports: HotKeyReports,
    rates: dict[Place, float],
    loads: dict[str, float],
    now_ns: int,
) -> list[DataCentreCommand]:
    """Revoke a hot key's shard from each upstream that would do better without it.

    An upstream loses one at a time, until the reports have followed.
    """
    reports.moved_ns = {
        name: moved_ns
        for name, moved_ns in reports.moved_ns.items()
        if now_ns - moved_ns < MOVE_SETTLE_NS
    }
    best: dict[str, tuple[float, KeyException]] = {}
    for row in tables.key_exceptions.values():
        grant = tables.grants.get(row.shard)
        if grant is None or row.is_ending or _rate(row, rates) < HOT_RATE_PER_S:
            continue
        if not is_movable(tables, leases, row.shard):
            continue
        if grant.upstream in reports.moved_ns:
            continue
        gain = _gain(tables, grant.upstream, _rate(row, rates), loads)
        known = best.get(grant.upstream)
        if gain < MOVE_GAIN and (known is None or gain < known[0]):
            best[grant.upstream] = (gain, row)
    for upstream in best:
        reports.moved_ns[upstream] = now_ns
    shards = tuple(row.shard for _, row in best.values())
    epochs = tuple(tables.grants[shard].epoch for shard in shards)
    return [RevokeShards(shards, epochs)] if shards else []


def make_exceptions(
    tables: DataCentreTables,
    global_tables: GlobalTables,
    rates: dict[Place, float],
    data_centre: str,
) -> list[DataCentreCommand]:
    """Make exceptions for the hottest keys, one a tick for each home shard."""
    counts = Counter(shard.service for shard in tables.key_exceptions)
    commands: dict[ShardId, DataCentreCommand] = {}
    for place in sorted(rates, key=lambda place: (-rates[place], place)):
        home, key_hash = place
        if rates[place] < HOT_RATE_PER_S or len(commands) >= N_MADE_PER_TICK:
            break
        if place in tables.exception_shards or home in commands:
            continue
        service = global_tables.services.get(home.service)
        grant = tables.grants.get(home)
        if service is None or grant is None or grant.state != "held":
            continue
        is_here = _is_home_here(home, global_tables, data_centre)
        # With one upstream there is nothing to part.
        if not is_here or len(_serving_slots(tables, home.service)) < 2:
            continue
        shard = _free_shard(tables, home, service.n_shards)
        if shard is None or counts[home.service] >= N_EXCEPTIONS_MAX:
            continue
        counts[home.service] += 1
        commands[home] = MakeException(
            home, grant.epoch, key_hash, shard, round(rates[place])
        )
    return list(commands.values())


def loads_by_upstream(
    tables: DataCentreTables,
    rates: dict[Place, float],
    observed: dict[str, float],
) -> dict[str, float]:
    """Return the requests per second to expect at each upstream.

    Reports follow a move with a delay, so an upstream that has just got a hot key is
    counted with the whole of it.
    """
    loads = {name: observed.get(name, 0.0) for name in tables.sessions}
    own: dict[str, float] = {}
    for row in tables.key_exceptions.values():
        grant = tables.grants.get(row.shard)
        if grant is not None:
            name = grant.upstream
            own[name] = own.get(name, 0.0) + _rate(row, rates)
    return {name: max(load, own.get(name, 0.0)) for name, load in loads.items()}


def _gain(
    tables: DataCentreTables, source: str, rate: float, loads: dict[str, float]
) -> float:
    """Return the least load that a move can bring, as a share of the source's."""
    slots = _serving_slots(tables, tables.sessions[source].service)
    others = [name for name in slots if name != source]
    if source not in slots or not others or loads[source] <= 0 or rate <= 0:
        return 1.0
    after = min((loads[name] + rate) / slots[name] for name in others)
    left = (loads[source] - rate) / slots[source]
    return max(after, left) / (loads[source] / slots[source])


def _is_staying(
    row: KeyException, global_tables: GlobalTables, data_centre: str
) -> bool:
    home = global_tables.shard_homes.get(row.home)
    if home is not None and home.epoch < home_epoch_of(row):
        # The global tables here lag and say nothing about it.
        return True
    return _is_home_here(row.home, global_tables, data_centre)


def _is_home_here(
    shard: ShardId, global_tables: GlobalTables, data_centre: str
) -> bool:
    home = global_tables.shard_homes.get(shard)
    own = global_tables.data_centres.get(data_centre)
    if home is None or own is None or own.state != "in":
        return False
    return home.data_centre == data_centre and not home.next_data_centre


def _free_shard(
    tables: DataCentreTables, home: ShardId, n_shards: int
) -> ShardId | None:
    for index in range(N_EXCEPTIONS_MAX):
        shard = exception_shard(home, n_shards, index)
        if shard not in tables.key_exceptions and shard not in tables.grants:
            return shard
    return None


def _rate(row: KeyException, rates: dict[Place, float]) -> float:
    return rates.get((row.home, row.key_hash), 0.0)


def _names(
    rows: Iterable[KeyException],
) -> tuple[tuple[ShardId, ...], tuple[int, ...]]:
    listed = list(rows)
    return (
        tuple(row.shard for row in listed),
        tuple(row.first_epoch for row in listed),
    )


def _serving_slots(tables: DataCentreTables, service: str) -> dict[str, int]:
    return {
        session.name: session.n_slots
        for session in tables.sessions.values()
        if session.service == service and session.state == "serving"
    }
