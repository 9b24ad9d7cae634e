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
from .dispatcher_spread import spread_dispatchers
from .global_tables import GlobalTables, is_withdrawn
from .key_exceptions import homes_with_exceptions
from .leases import (
    NS_PER_MS,
    LeaseTable,
    follow_sessions,
    forget_reports,
    is_host_expired,
    is_host_stopping,
    is_session_expired,
    live_hosts,
)
from .placement import choose_targets, shards_over_share, shards_to_fill
from .records import HOME_EPOCH_SHIFT, Dispatcher, Grant, ShardId

N_MOVES_PER_TICK = 8
N_MOVES_IN_FLIGHT = 16
FILL_INTERVAL_MS = 300
# How long a data centre that is taken out goes on with shards that no other may take.
OUT_GRACE_MS = 1500
# Capacity is counted in whole numbers, and a slow upstream's is a part of its slots.
CAPACITY_SCALE = 100
EVEN: Mapping[str, float] = {}


def run_ownership(
    tables: DataCentreTables,
    global_tables: GlobalTables,
    leases: LeaseTable,
    data_centre: str,
    now_ns: int,
    share_weights: Mapping[str, float] = EVEN,
) -> list[DataCentreCommand]:
    """Run the systems once and return the commands to commit, in order.

    ``share_weights`` is what the share of some upstreams is multiplied by, because they
    are slow. See ``ownership_pace`` for when to run.
    """
    follow_sessions(leases, tables.sessions, now_ns)
    forget_reports(leases, tables.dispatchers, tables.grants)
    commands: list[DataCentreCommand] = []
    commands += close_sessions(tables, leases, now_ns)
    commands += assign_dispatchers(tables, leases, now_ns)
    commands += confirm_releases(tables, leases, now_ns)
    if not commands:
        commands += spread_dispatchers(tables, leases, now_ns)
    commands += release_homes(tables, global_tables, leases, data_centre, now_ns)
    commands += revoke_leaving(tables)
    if not _is_out(global_tables, data_centre):
        commands += grant_free_shards(tables, global_tables, data_centre, share_weights)
        commands += move_shards(tables, global_tables, leases, now_ns, share_weights)
    return commands


def close_sessions(
    tables: DataCentreTables, leases: LeaseTable, now_ns: int
) -> list[DataCentreCommand]:
    """Drain sessions whose lease has run out, and close those that are drained.

    Closing frees the shards for another upstream. So an upstream that leaves first
    gives back every shard; and no session closes before its dispatcher has stopped
    sending to it, or can hold no lease.
    """
    commands: list[DataCentreCommand] = []
    n_grants = Counter(grant.upstream for grant in tables.grants.values())
    for session in tables.sessions.values():
        is_expired = session.state == "expired"
        if not is_expired and is_session_expired(leases, session, now_ns):
            commands.append(
                DrainSession(
                    session.name, session.incarnation, True, session.opened_epoch
                )
            )
            continue
        if session.state == "serving" or (n_grants[session.name] and not is_expired):
            continue
        dispatcher = tables.dispatchers.get(session.name)
        if dispatcher is None or _has_stopped(dispatcher, leases, now_ns):
            reason = "lease expired" if is_expired else "left"
            commands.append(
                CloseSession(
                    session.name, session.incarnation, reason, session.opened_epoch
                )
            )
        elif dispatcher.state == "serving" and not is_expired:
            commands.append(RetireDispatcher(session.name, dispatcher.epoch))
    return commands


def assign_dispatchers(
    tables: DataCentreTables, leases: LeaseTable, now_ns: int
) -> list[DataCentreCommand]:
    """Give each upstream one dispatcher, and replace those that stop or are lost."""
    live = live_hosts(leases, now_ns)
    if not live:
        return []
    loads = Counter({host: 0 for host in live})
    for dispatcher in tables.dispatchers.values():
        if dispatcher.host in loads:
            loads[dispatcher.host] += 1
    n_grants = Counter(grant.upstream for grant in tables.grants.values())
    commands: list[DataCentreCommand] = []
    for session in tables.sessions.values():
        is_leaving = session.state == "draining" and not n_grants[session.name]
        if session.state == "expired" or is_leaving:
            continue
        known = tables.dispatchers.get(session.name)
        if known is not None and known.host in loads and known.state == "serving":
            continue
        if known is None or _has_stopped(known, leases, now_ns):
            host = min(loads, key=lambda name: (loads[name], name))
            loads[host] += 1
            epoch = known.epoch if known else 0
            commands.append(AssignDispatcher(session.name, host, epoch))
        elif known.state == "serving" and is_host_stopping(leases, known.host):
            # A host that a new leader has not heard from yet keeps its dispatchers.
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
    tables: DataCentreTables,
    global_tables: GlobalTables,
    leases: LeaseTable,
    data_centre: str,
    now_ns: int,
) -> list[DataCentreCommand]:
    """Revoke shards that do not belong here, and give up those that are handed over.

    Those of a withdrawn service or home region belong nowhere.

    While operators take the data centre out, a shard is served here until its handover
    begins; what can go nowhere else stops with the end of `OUT_GRACE_MS`. Homes older
    than a grant come from global tables that lag, and say nothing about it.
    """
    is_over = _is_out_for_long(global_tables, leases, data_centre, now_ns)
    revoked: list[Grant] = []
    for grant in tables.grants.values():
        home = global_tables.shard_homes.get(grant.shard)
        if home is None:
            if grant.state == "held" and is_withdrawn(global_tables, grant.shard):
                revoked.append(grant)
            continue
        if home.epoch < grant.epoch >> HOME_EPOCH_SHIFT:
            continue
        is_staying = home.data_centre == data_centre and not home.next_data_centre
        if grant.state == "held" and (is_over or not is_staying):
            revoked.append(grant)
    kept = homes_with_exceptions(tables)
    given_up = [
        (shard, home.epoch)
        for shard, home in global_tables.shard_homes.items()
        if home.data_centre == data_centre
        and home.next_data_centre
        and shard not in tables.grants
        and shard not in kept
        and tables.released_homes.get(shard, 0) < home.epoch
    ]
    commands: list[DataCentreCommand] = []
    if revoked:
        commands.append(_revoke(revoked))
    if given_up:
        shards, epochs = zip(*given_up, strict=True)
        commands.append(ReleaseHomes(shards, epochs))
    return commands


def revoke_leaving(tables: DataCentreTables) -> list[DataCentreCommand]:
    """Revoke every shard of upstreams that leave: they get no new work as it is."""
    revoked = [
        grant
        for grant in tables.grants.values()
        if grant.state == "held"
        and tables.sessions[grant.upstream].state == "draining"
        and grant.upstream in tables.dispatchers
    ]
    return [_revoke(revoked)] if revoked else []


def grant_free_shards(
    tables: DataCentreTables,
    global_tables: GlobalTables,
    data_centre: str,
    share_weights: Mapping[str, float] = EVEN,
) -> list[DataCentreCommand]:
    """Grant the shards that belong here and have no owner."""
    commands: list[DataCentreCommand] = []
    for service in global_tables.services:
        weights = _serving_capacity(tables, service, share_weights)
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
    tables: DataCentreTables,
    global_tables: GlobalTables,
    leases: LeaseTable,
    now_ns: int,
    share_weights: Mapping[str, float] = EVEN,
) -> list[DataCentreCommand]:
    """Revoke some shards of upstreams that hold more than their share.

    Now and then, some go to upstreams that hold far less, such as one that has joined.
    """
    n_moving = sum(grant.state == "revoking" for grant in tables.grants.values())
    n_moves = min(N_MOVES_PER_TICK, N_MOVES_IN_FLIGHT - n_moving)
    if n_moves <= 0:
        return []
    is_fill_due = now_ns - leases.fill_checked_ns >= FILL_INTERVAL_MS * NS_PER_MS
    is_fill_due = is_fill_due and is_fill_open(leases)
    if is_fill_due:
        leases.fill_checked_ns = now_ns
    shards: list[ShardId] = []
    for service in global_tables.services:
        weights = _serving_capacity(tables, service, share_weights)
        if weights:
            owned = _owners(tables, service)
            shards += shards_over_share(owned, weights, n_moves)
            if is_fill_due and not shards:
                shards += shards_to_fill(owned, weights, n_moves)
    held = [
        tables.grants[shard] for shard in shards if is_movable(tables, leases, shard)
    ][:n_moves]
    return [_revoke(held)] if held else []


def is_fill_open(leases: LeaseTable) -> bool:
    """Return whether upstreams may hold too little that were not looked for yet.

    That ranks all upstreams for each shard, so it isn't done again for the same tables.
    """
    changed_ns = leases.tables_changed_ns
    return changed_ns is None or leases.fill_checked_ns < changed_ns


def is_movable(tables: DataCentreTables, leases: LeaseTable, shard: ShardId) -> bool:
    """Return whether a held shard can be got back, and so be moved, just now.

    Only a live dispatcher can get a shard back, so without one it is served longer
    where it is.
    """
    grant = tables.grants[shard]
    dispatcher = tables.dispatchers.get(grant.upstream)
    if grant.state != "held" or dispatcher is None or dispatcher.state != "serving":
        return False
    return not is_host_stopping(leases, dispatcher.host)


def _has_stopped(dispatcher: Dispatcher, leases: LeaseTable, now_ns: int) -> bool:
    """Return whether a dispatcher can give no order any more under its epoch."""
    is_drained = leases.drained.get(dispatcher.upstream) == dispatcher.epoch
    return is_drained or is_host_expired(leases, dispatcher.host, now_ns)


def _is_out_for_long(
    global_tables: GlobalTables, leases: LeaseTable, data_centre: str, now_ns: int
) -> bool:
    if not _is_out(global_tables, data_centre):
        leases.out_since_ns = None
        return False
    if leases.out_since_ns is None:
        leases.out_since_ns = now_ns
    return now_ns - leases.out_since_ns >= OUT_GRACE_MS * NS_PER_MS


def _is_out(global_tables: GlobalTables, data_centre: str) -> bool:
    row = global_tables.data_centres.get(data_centre)
    return row is None or row.state != "in"


def _revoke(grants: list[Grant]) -> RevokeShards:
    return RevokeShards(
        tuple(grant.shard for grant in grants), tuple(grant.epoch for grant in grants)
    )


def _serving_capacity(
    tables: DataCentreTables, service: str, share_weights: Mapping[str, float]
) -> dict[str, int]:
    """Return the slots of each upstream in hundredths, with its weight if it is slow.

    None is nothing: a straggler keeps a shard, by whose requests its return is seen.
    """
    return {
        session.name: max(
            1,
            round(
                session.n_slots * CAPACITY_SCALE * share_weights.get(session.name, 1.0)
            ),
        )
        for session in tables.sessions.values()
        if session.service == service and session.state == "serving"
    }


def _owners(tables: DataCentreTables, service: str) -> Mapping[ShardId, str]:
    # Shards of single keys are placed by their load, see ``hot_key_placement``.
    return {
        shard: grant.upstream
        for shard, grant in tables.grants.items()
        if shard.service == service and shard not in tables.key_exceptions
    }
