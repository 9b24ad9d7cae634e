"""Systems that the leader of a data centre's group runs each tick.

Each takes the tables and the leases and returns commands to commit; none changes the
tables itself. Together they close what has expired, give every upstream one dispatcher,
grant free shards, and move shards away from upstreams that hold too many.
"""

from collections import Counter
from collections.abc import Mapping

from .commands import (
    AssignDispatcher,
    CloseSession,
    ConfirmRelease,
    DataCentreCommand,
    DrainSession,
    GrantShards,
    ReleaseHomes,
    RetireDispatcher,
    RevokeShards,
)
from .data_centre_tables import DataCentreTables
from .global_tables import GlobalTables
from .leases import (
    LeaseTable,
    follow_sessions,
    is_host_expired,
    is_session_expired,
    live_hosts,
)
from .placement import choose_targets, shards_over_share
from .records import ShardId, UpstreamSession

N_MOVES_PER_TICK = 8
N_MOVES_IN_FLIGHT = 16


def run_ownership(
    tables: DataCentreTables,
    global_tables: GlobalTables,
    leases: LeaseTable,
    data_centre: str,
    now_ns: int,
) -> list[DataCentreCommand]:
    """Run every system once and return the commands to commit, in order."""
    follow_sessions(leases, tables.sessions, now_ns)
    commands: list[DataCentreCommand] = []
    commands += close_sessions(tables, leases, now_ns)
    commands += assign_dispatchers(tables, leases, now_ns)
    commands += confirm_releases(tables, leases, now_ns)
    commands += release_homes(tables, global_tables, data_centre)
    commands += grant_free_shards(tables, global_tables, data_centre)
    commands += move_shards(tables, global_tables, data_centre)
    return commands


def close_sessions(
    tables: DataCentreTables, leases: LeaseTable, now_ns: int
) -> list[DataCentreCommand]:
    """Drain sessions whose lease has run out, and close those that are drained.

    A session closes only when its dispatcher has stopped sending to it, or can hold no
    lease, since closing frees its shards for another upstream.
    """
    commands: list[DataCentreCommand] = []
    for session in tables.sessions.values():
        is_expired = is_session_expired(leases, session.name, now_ns)
        if is_expired and session.state != "expired":
            commands.append(DrainSession(session.name, session.incarnation, True))
        elif session.state != "serving" and _is_drained(
            tables, leases, session, now_ns
        ):
            reason = "lease expired" if session.state == "expired" else "left"
            commands.append(CloseSession(session.name, session.incarnation, reason))
    return commands


def assign_dispatchers(
    tables: DataCentreTables, leases: LeaseTable, now_ns: int
) -> list[DataCentreCommand]:
    """Give each upstream one dispatcher, and replace those that stop or are lost."""
    live = live_hosts(leases, now_ns)
    loads = Counter({host: 0 for host in live})
    for dispatcher in tables.dispatchers.values():
        if dispatcher.host in loads:
            loads[dispatcher.host] += 1
    commands: list[DataCentreCommand] = []
    for session in tables.sessions.values():
        known = tables.dispatchers.get(session.name)
        if known is not None and known.host in loads and known.state == "serving":
            continue
        if not loads:
            break
        is_free = (
            known is None
            or is_host_expired(leases, known.host, now_ns)
            or leases.drained.get(session.name) == known.epoch
        )
        if is_free:
            host = min(loads, key=lambda name: (loads[name], name))
            loads[host] += 1
            epoch = known.epoch if known else 0
            commands.append(AssignDispatcher(session.name, host, epoch))
        elif known is not None and known.state == "serving":
            commands.append(RetireDispatcher(session.name, known.epoch))
    return commands


def confirm_releases(
    tables: DataCentreTables, leases: LeaseTable, now_ns: int
) -> list[DataCentreCommand]:
    """Free the shards whose dispatcher has stopped, or can hold no lease."""
    shards: list[ShardId] = []
    epochs: list[int] = []
    for grant in tables.grants.values():
        if grant.state != "revoking":
            continue
        if (grant.shard, grant.epoch) in leases.released:
            shards.append(grant.shard)
            epochs.append(grant.epoch)
    if not shards:
        return []
    return [ConfirmRelease(tuple(shards), tuple(epochs))]


def release_homes(
    tables: DataCentreTables, global_tables: GlobalTables, data_centre: str
) -> list[DataCentreCommand]:
    """Revoke shards that are handed to another data centre, then give them up."""
    revoked: list[ShardId] = []
    epochs: list[int] = []
    given_up: list[ShardId] = []
    home_epochs: list[int] = []
    for shard, home in global_tables.shard_homes.items():
        if home.data_centre != data_centre or not home.next_data_centre:
            continue
        grant = tables.grants.get(shard)
        if grant is not None and grant.state == "held":
            revoked.append(shard)
            epochs.append(grant.epoch)
        elif grant is None and tables.released_homes.get(shard, 0) < home.epoch:
            given_up.append(shard)
            home_epochs.append(home.epoch)
    commands: list[DataCentreCommand] = []
    if revoked:
        commands.append(RevokeShards(tuple(revoked), tuple(epochs)))
    if given_up:
        commands.append(ReleaseHomes(tuple(given_up), tuple(home_epochs)))
    return commands


def grant_free_shards(
    tables: DataCentreTables, global_tables: GlobalTables, data_centre: str
) -> list[DataCentreCommand]:
    """Grant the shards that belong here and have no owner."""
    commands: list[DataCentreCommand] = []
    for service in global_tables.services:
        weights = _serving_slots(tables, service)
        homes = {
            shard: home.epoch
            for shard, home in global_tables.shard_homes.items()
            if shard.service == service
            and home.data_centre == data_centre
            and not home.next_data_centre
        }
        owned = _owners(tables, service)
        free = [shard for shard in homes if shard not in owned]
        if not free:
            continue
        chosen = choose_targets(free, owned, weights)
        for upstream in sorted(set(chosen.values())):
            shards = tuple(s for s, name in chosen.items() if name == upstream)
            epochs = tuple(homes[shard] for shard in shards)
            incarnation = tables.sessions[upstream].incarnation
            commands.append(GrantShards(upstream, incarnation, shards, epochs))
    return commands


def move_shards(
    tables: DataCentreTables, global_tables: GlobalTables, data_centre: str
) -> list[DataCentreCommand]:
    """Revoke some shards of upstreams that leave or hold more than their share."""
    n_moving = sum(grant.state == "revoking" for grant in tables.grants.values())
    n_moves = min(N_MOVES_PER_TICK, N_MOVES_IN_FLIGHT - n_moving)
    if n_moves <= 0:
        return []
    shards: list[ShardId] = []
    for service in global_tables.services:
        weights = _serving_slots(tables, service)
        if weights:
            owned = _owners(tables, service)
            shards += shards_over_share(owned, weights, n_moves)
    held = [s for s in shards if tables.grants[s].state == "held"][:n_moves]
    if not held:
        return []
    epochs = tuple(tables.grants[shard].epoch for shard in held)
    return [RevokeShards(tuple(held), epochs)]


def _is_drained(
    tables: DataCentreTables, leases: LeaseTable, session: UpstreamSession, now_ns: int
) -> bool:
    dispatcher = tables.dispatchers.get(session.name)
    if dispatcher is None:
        return True
    return leases.drained.get(session.name) == dispatcher.epoch or is_host_expired(
        leases, dispatcher.host, now_ns
    )


def _serving_slots(tables: DataCentreTables, service: str) -> dict[str, int]:
    return {
        session.name: session.n_slots
        for session in tables.sessions.values()
        if session.service == service and session.state == "serving"
    }


def _owners(tables: DataCentreTables, service: str) -> Mapping[ShardId, str]:
    return {
        shard: grant.upstream
        for shard, grant in tables.grants.items()
        if shard.service == service
    }
