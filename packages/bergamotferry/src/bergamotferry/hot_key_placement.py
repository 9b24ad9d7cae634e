"""Gives hot keys shards of their own, places these shards, and ends them.

A key with a shard of its own is an exception (see ``key_exceptions``). The owner of the
key's home shard owns a new exception's shard at first. The shard then moves to the
upstream with the least load, as reported by the dispatchers, so that hot keys are
spread over the upstreams. These systems run on the leader of a data centre's group,
after those of ``ownership``.
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
    KeyId,
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
# A move must leave the more loaded of the two upstreams with less than this part of the
# load per slot that the source had before the move.
MOVE_LOAD_RATIO_MAX = 0.8
# How long the reported loads take to reflect a move.
REPORT_SETTLE_NS = 3_000_000_000


def run_key_exceptions(
    tables: DataCentreTables,
    global_tables: GlobalTables,
    leases: LeaseTable,
    reports: HotKeyReports,
    data_centre: str,
    now_ns: int,
) -> list[DataCentreCommand]:
    """Run the systems for exceptions once; return the commands to commit, in order."""
    rates = key_rates(reports, now_ns)
    commands: list[DataCentreCommand] = []
    if tables.key_exceptions:
        loads = loads_by_upstream(tables, rates, rates_by_upstream(reports, now_ns))
        commands += drop_ended_exceptions(tables)
        commands += end_due_exceptions(
            tables, global_tables, reports, rates, data_centre, now_ns
        )
        commands += grant_free_exceptions(tables, rates, loads)
        commands += move_exceptions(tables, leases, reports, rates, loads, now_ns)
    commands += make_exceptions(tables, global_tables, rates, data_centre)
    return commands


def drop_ended_exceptions(tables: DataCentreTables) -> list[DataCentreCommand]:
    """Return keys to their home shards once their own shards are free."""
    ended = [
        exception
        for exception in tables.key_exceptions.values()
        if exception.is_ending and exception.shard not in tables.grants
    ]
    if not ended:
        return []
    return [DropExceptions(*_shards_and_first_epochs(ended))]


def end_due_exceptions(
    tables: DataCentreTables,
    global_tables: GlobalTables,
    reports: HotKeyReports,
    rates: dict[KeyId, float],
    data_centre: str,
    now_ns: int,
) -> list[DataCentreCommand]:
    """End exceptions of cold keys, and of home shards that leave the data centre."""
    open_exceptions = [
        exception
        for exception in tables.key_exceptions.values()
        if not exception.is_ending
    ]
    cold = cold_exceptions(reports, open_exceptions, rates, now_ns)
    leaving = [
        exception
        for exception in open_exceptions
        if not _is_staying(exception, global_tables, data_centre)
    ]
    due = [*leaving, *(exception for exception in cold if exception not in leaving)][
        :N_ENDED_PER_TICK
    ]
    return [EndExceptions(*_shards_and_first_epochs(due))] if due else []


def grant_free_exceptions(
    tables: DataCentreTables, rates: dict[KeyId, float], loads: dict[str, float]
) -> list[DataCentreCommand]:
    """Grant free shards of exceptions, hottest first, to the least loaded upstream."""
    free = [
        exception
        for exception in tables.key_exceptions.values()
        if not exception.is_ending and exception.shard not in tables.grants
    ]
    free.sort(key=lambda exception: -_rate(exception, rates))
    commands: list[DataCentreCommand] = []
    for exception in free:
        slots = _serving_slots(tables, exception.shard.service)
        if not slots:
            continue
        rate = _rate(exception, rates)
        target = min(slots, key=lambda name: (loads[name] + rate) / slots[name])
        loads[target] += rate
        incarnation = tables.sessions[target].incarnation
        epochs = (home_epoch_of(exception),)
        commands.append(GrantShards(target, incarnation, (exception.shard,), epochs))
    return commands


def move_exceptions(
    tables: DataCentreTables,
    leases: LeaseTable,
    reports: HotKeyReports,
    rates: dict[KeyId, float],
    loads: dict[str, float],
    now_ns: int,
) -> list[DataCentreCommand]:
    """Revoke one hot key's shard from each upstream whose load a move would lower.

    At most one such shard is revoked from each upstream at a time, and the next one
    only after `REPORT_SETTLE_NS`, when the reported loads reflect the last move.
    """
    reports.moved_ns = {
        name: moved_ns
        for name, moved_ns in reports.moved_ns.items()
        if now_ns - moved_ns < REPORT_SETTLE_NS
    }
    best: dict[str, tuple[float, KeyException]] = {}
    for exception in tables.key_exceptions.values():
        grant = tables.grants.get(exception.shard)
        if (
            grant is None
            or exception.is_ending
            or _rate(exception, rates) < HOT_RATE_PER_S
        ):
            continue
        if not is_movable(tables, leases, exception.shard):
            continue
        if grant.upstream in reports.moved_ns:
            continue
        ratio = _load_ratio_after_move(
            tables, grant.upstream, _rate(exception, rates), loads
        )
        known = best.get(grant.upstream)
        if ratio < MOVE_LOAD_RATIO_MAX and (known is None or ratio < known[0]):
            best[grant.upstream] = (ratio, exception)
    for upstream in best:
        reports.moved_ns[upstream] = now_ns
    shards = tuple(exception.shard for _, exception in best.values())
    epochs = tuple(tables.grants[shard].epoch for shard in shards)
    return [RevokeShards(shards, epochs)] if shards else []


def make_exceptions(
    tables: DataCentreTables,
    global_tables: GlobalTables,
    rates: dict[KeyId, float],
    data_centre: str,
) -> list[DataCentreCommand]:
    """Make exceptions for the hottest keys, at most one per home shard and tick."""
    counts = Counter(shard.service for shard in tables.key_exceptions)
    commands: dict[ShardId, DataCentreCommand] = {}
    for key_id in sorted(rates, key=lambda key_id: (-rates[key_id], key_id)):
        home, key_hash = key_id
        if rates[key_id] < HOT_RATE_PER_S or len(commands) >= N_MADE_PER_TICK:
            break
        if key_id in tables.exception_shards or home in commands:
            continue
        service = global_tables.services.get(home.service)
        grant = tables.grants.get(home)
        if service is None or grant is None or grant.state != "held":
            continue
        is_here = _is_home_here(home, global_tables, data_centre)
        # With a single upstream, hot keys cannot be separated.
        if not is_here or len(_serving_slots(tables, home.service)) < 2:
            continue
        shard = _unused_exception_shard(tables, home, service.n_shards)
        if shard is None or counts[home.service] >= N_EXCEPTIONS_MAX:
            continue
        counts[home.service] += 1
        commands[home] = MakeException(
            home, grant.epoch, key_hash, shard, round(rates[key_id])
        )
    return list(commands.values())


def loads_by_upstream(
    tables: DataCentreTables,
    rates: dict[KeyId, float],
    observed_rates: dict[str, float],
) -> dict[str, float]:
    """Return the rate of requests to expect at each upstream, per second.

    Reports reflect a move with a delay. So an upstream's load is never taken as less
    than the sum of the rates of the single keys whose shards it holds.
    """
    loads = {name: observed_rates.get(name, 0.0) for name in tables.sessions}
    exception_loads: dict[str, float] = {}
    for exception in tables.key_exceptions.values():
        grant = tables.grants.get(exception.shard)
        if grant is not None:
            name = grant.upstream
            exception_loads[name] = exception_loads.get(name, 0.0) + _rate(
                exception, rates
            )
    return {
        name: max(load, exception_loads.get(name, 0.0)) for name, load in loads.items()
    }


def _load_ratio_after_move(
    tables: DataCentreTables, source: str, rate: float, loads: dict[str, float]
) -> float:
    """Return the load per slot after the best move, divided by the source's now.

    The load after a move is that of the more loaded of source and target. The result
    is 1.0 if no move is possible.
    """
    slots = _serving_slots(tables, tables.sessions[source].service)
    others = [name for name in slots if name != source]
    if source not in slots or not others or loads[source] <= 0 or rate <= 0:
        return 1.0
    after = min((loads[name] + rate) / slots[name] for name in others)
    left = (loads[source] - rate) / slots[source]
    return max(after, left) / (loads[source] / slots[source])


def _is_staying(
    exception: KeyException, global_tables: GlobalTables, data_centre: str
) -> bool:
    home = global_tables.shard_homes.get(exception.home)
    if home is not None and home.epoch < home_epoch_of(exception):
        # The global tables lag behind the exception, so their row is ignored.
        return True
    return _is_home_here(exception.home, global_tables, data_centre)


def _is_home_here(
    shard: ShardId, global_tables: GlobalTables, data_centre: str
) -> bool:
    home = global_tables.shard_homes.get(shard)
    own_data_centre = global_tables.data_centres.get(data_centre)
    if home is None or own_data_centre is None or own_data_centre.state != "in":
        return False
    return home.data_centre == data_centre and not home.next_data_centre


def _unused_exception_shard(
    tables: DataCentreTables, home: ShardId, n_shards: int
) -> ShardId | None:
    for index in range(N_EXCEPTIONS_MAX):
        shard = exception_shard(home, n_shards, index)
        if shard not in tables.key_exceptions and shard not in tables.grants:
            return shard
    return None


def _rate(exception: KeyException, rates: dict[KeyId, float]) -> float:
    return rates.get((exception.home, exception.key_hash), 0.0)


def _shards_and_first_epochs(
    exceptions: Iterable[KeyException],
) -> tuple[tuple[ShardId, ...], tuple[int, ...]]:
    listed = list(exceptions)
    return (
        tuple(exception.shard for exception in listed),
        tuple(exception.first_epoch for exception in listed),
    )


def _serving_slots(tables: DataCentreTables, service: str) -> dict[str, int]:
    return {
        session.name: session.n_slots
        for session in tables.sessions.values()
        if session.service == service and session.state == "serving"
    }
