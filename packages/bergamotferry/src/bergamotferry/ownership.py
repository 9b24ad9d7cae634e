"""Decides who owns which shard and which host dispatches, within one data centre.

The leader of the data centre's group runs these functions, which are called systems.
Each system reads the tables and the leases and returns commands to commit; only
committed commands change the tables. Together the systems close expired sessions,
assign one dispatcher to every upstream, grant free shards, and move shards away from
upstreams that hold too many.
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
# How long a data centre that operators have taken out keeps serving shards that cannot
# be handed over.
OUT_GRACE_MS = 1500
# Placement takes integer capacities. The scale keeps the fraction that remains when the
# slots of a slow upstream are multiplied by its weight.
CAPACITY_SCALE = 100
EQUAL_WEIGHTS: Mapping[str, float] = {}


def run_ownership(
    tables: DataCentreTables,
    global_tables: GlobalTables,
    leases: LeaseTable,
    data_centre: str,
    now_ns: int,
    share_weights: Mapping[str, float] = EQUAL_WEIGHTS,
) -> list[DataCentreCommand]:
    """Run the systems once and return the commands to commit, in order.

    ``share_weights`` maps a slow upstream to the factor by which its share is
    multiplied; upstreams that it does not name have factor 1. ``ownership_schedule``
    decides when to run.
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
    commands += revoke_draining_upstreams(tables)
    if not _is_data_centre_out(global_tables, data_centre):
        commands += grant_free_shards(tables, global_tables, data_centre, share_weights)
        commands += move_shards(tables, global_tables, leases, now_ns, share_weights)
    return commands


def close_sessions(
    tables: DataCentreTables, leases: LeaseTable, now_ns: int
) -> list[DataCentreCommand]:
    """Drain sessions whose lease has expired, and close drained sessions.

    Closing a session frees its shards for another upstream. Therefore every shard of an
    upstream that leaves is released before its session closes. No session closes before
    its dispatcher has stopped sending to the upstream or can no longer hold a lease.
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
    """Assign one dispatcher to each upstream; replace stopping and lost dispatchers."""
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
            # A host that has not yet renewed with a new leader keeps its dispatchers.
            commands.append(RetireDispatcher(session.name, known.epoch))
    return commands


def confirm_releases(
    tables: DataCentreTables, leases: LeaseTable, now_ns: int
) -> list[DataCentreCommand]:
    """Free the revoked shards whose release a host has reported."""
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
    """Revoke shards whose home is elsewhere, and release homes in handover.

    Shards of a withdrawn service or home region have no home and are revoked too.

    While the data centre is out, each shard is served here until its handover begins;
    shards that no other data centre may take are served until `OUT_GRACE_MS` ends. A
    shard home with an epoch older than the grant comes from global tables that lag, and
    is ignored.
    """
    is_grace_over = _update_out_grace(global_tables, leases, data_centre, now_ns)
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
        if grant.state == "held" and (is_grace_over or not is_staying):
            revoked.append(grant)
    homes_in_use = homes_with_exceptions(tables)
    to_release = [
        (shard, home.epoch)
        for shard, home in global_tables.shard_homes.items()
        if home.data_centre == data_centre
        and home.next_data_centre
        and shard not in tables.grants
        and shard not in homes_in_use
        and tables.released_homes.get(shard, 0) < home.epoch
    ]
    commands: list[DataCentreCommand] = []
    if revoked:
        commands.append(_revoke(revoked))
    if to_release:
        shards, epochs = zip(*to_release, strict=True)
        commands.append(ReleaseHomes(shards, epochs))
    return commands


def revoke_draining_upstreams(tables: DataCentreTables) -> list[DataCentreCommand]:
    """Revoke every shard of draining upstreams, which get no new requests anyway.

    The shards of an upstream without a dispatcher stay, because only a dispatcher can
    release a shard.
    """
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
    share_weights: Mapping[str, float] = EQUAL_WEIGHTS,
) -> list[DataCentreCommand]:
    """Grant the shards whose home is this data centre and that have no owner."""
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
        owners = _owners_by_shard(tables, service)
        free = [shard for shard in homes if shard not in owners]
        if not free:
            continue
        chosen = choose_targets(free, owners, weights)
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
    share_weights: Mapping[str, float] = EQUAL_WEIGHTS,
) -> list[DataCentreCommand]:
    """Revoke some shards of upstreams that hold more than their share.

    If there are no such shards, shards are revoked in favour of upstreams that hold far
    less than their share, such as one that has just joined. This is done at intervals
    of at least `FILL_INTERVAL_MS`.
    """
    n_moving = sum(grant.state == "revoking" for grant in tables.grants.values())
    n_moves = min(N_MOVES_PER_TICK, N_MOVES_IN_FLIGHT - n_moving)
    if n_moves <= 0:
        return []
    is_fill_due = now_ns - leases.fill_checked_ns >= FILL_INTERVAL_MS * NS_PER_MS
    is_fill_due = is_fill_due and is_fill_check_needed(leases)
    if is_fill_due:
        leases.fill_checked_ns = now_ns
    shards: list[ShardId] = []
    for service in global_tables.services:
        weights = _serving_capacity(tables, service, share_weights)
        if weights:
            owners = _owners_by_shard(tables, service)
            shards += shards_over_share(owners, weights, n_moves)
            if is_fill_due and not shards:
                shards += shards_to_fill(owners, weights, n_moves)
    movable = [
        tables.grants[shard] for shard in shards if is_movable(tables, leases, shard)
    ][:n_moves]
    return [_revoke(movable)] if movable else []


def is_fill_check_needed(leases: LeaseTable) -> bool:
    """Return whether the tables changed since the last check for underfull upstreams.

    The check ranks all upstreams for each shard, so it is not repeated for unchanged
    tables.
    """
    changed_ns = leases.tables_changed_ns
    return changed_ns is None or leases.fill_checked_ns < changed_ns


def is_movable(tables: DataCentreTables, leases: LeaseTable, shard: ShardId) -> bool:
    """Return whether a shard is held, and its dispatcher is serving and not stopping.

    Only a live dispatcher can release a shard. Without a live dispatcher, the shard
    stays with its upstream, which then serves it longer. Whether the lease of the
    dispatcher's host has expired is not checked here.
    """
    grant = tables.grants[shard]
    dispatcher = tables.dispatchers.get(grant.upstream)
    if grant.state != "held" or dispatcher is None or dispatcher.state != "serving":
        return False
    return not is_host_stopping(leases, dispatcher.host)


def _has_stopped(dispatcher: Dispatcher, leases: LeaseTable, now_ns: int) -> bool:
    """Return whether a dispatcher can no longer send requests under its epoch."""
    is_drained = leases.drained.get(dispatcher.upstream) == dispatcher.epoch
    return is_drained or is_host_expired(leases, dispatcher.host, now_ns)


def _update_out_grace(
    global_tables: GlobalTables, leases: LeaseTable, data_centre: str, now_ns: int
) -> bool:
    """Return whether the data centre has been out for `OUT_GRACE_MS`.

    The time at which the data centre was first seen out is recorded in ``leases``.
    """
    if not _is_data_centre_out(global_tables, data_centre):
        leases.out_since_ns = None
        return False
    if leases.out_since_ns is None:
        leases.out_since_ns = now_ns
    return now_ns - leases.out_since_ns >= OUT_GRACE_MS * NS_PER_MS


def _is_data_centre_out(global_tables: GlobalTables, data_centre: str) -> bool:
    row = global_tables.data_centres.get(data_centre)
    return row is None or row.state != "in"


def _revoke(grants: list[Grant]) -> RevokeShards:
    return RevokeShards(
        tuple(grant.shard for grant in grants), tuple(grant.epoch for grant in grants)
    )


def _serving_capacity(
    tables: DataCentreTables, service: str, share_weights: Mapping[str, float]
) -> dict[str, int]:
    """Return the weighted slots of each serving upstream, in hundredths of a slot.

    Every capacity is at least 1, so that a straggler keeps a shard: the latencies of
    that shard's requests show when the upstream has recovered.
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


def _owners_by_shard(tables: DataCentreTables, service: str) -> Mapping[ShardId, str]:
    # The shards of key exceptions are left out: ``hot_key_placement`` places them, by
    # load.
    return {
        shard: grant.upstream
        for shard, grant in tables.grants.items()
        if shard.service == service and shard not in tables.key_exceptions
    }
