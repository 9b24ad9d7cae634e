"""Decides from sessions and holds which upstreams may have, keep or get ranges of keys.

The leader knows an upstream by its heartbeats and by how it answers calls. Nothing here
calls an upstream or commits; `range_assignment` does.
"""

from bergamotferry.fleet_tables import KeyRange
from bergamotferry.upstream_sessions import SessionRow

from .clock import now_ns
from .fleet_control import ControlHost
from .range_holds import Hold, RangeAssignments

# The first assignment of a service waits this long, so that upstreams that start
# together all get keys in it.
SETTLE_S = 1.5
# An upstream without a heartbeat for this long is silent: it has missed several in a
# row.
HEARTBEAT_TIMEOUT_NS = 3_500_000_000
# A heartbeat sent before the process ended may arrive this much later.
HEARTBEAT_DELAY_MAX_NS = 1_000_000_000
NS_PER_S = 1_000_000_000


def eligible_upstreams(
    assignments: RangeAssignments, host: ControlHost
) -> dict[str, SessionRow]:
    """Return the upstreams that may be given ranges.

    The upstreams of a new service are eligible only after `SETTLE_S`. Upstreams that
    are silent, whose process has ended, that refuse connections, or that should lose a
    range are left out.
    """
    now = now_ns()
    for session in host.sessions.rows.values():
        assignments.first_seen_ns.setdefault(session.row.service, now)
    settled_before_ns = now - int(SETTLE_S * NS_PER_S)
    assignments.absent_ns = {
        incarnation: absent_ns
        for incarnation, absent_ns in assignments.absent_ns.items()
        if now - absent_ns < HEARTBEAT_TIMEOUT_NS + HEARTBEAT_DELAY_MAX_NS
    }
    excluded = {
        (name, session.row.born_ms)
        for name, session in host.sessions.rows.items()
        if session.last_contact_ns
        < assignments.absent_ns.get(
            (name, session.row.born_ms), -HEARTBEAT_DELAY_MAX_NS
        )
        + HEARTBEAT_DELAY_MAX_NS
    }
    excluded |= {
        (row.upstream, row.born_ms)
        for key, row in host.tables.ranges.items()
        if key in assignments.holds
        and not should_keep_range(host, row, assignments.holds[key])
    }
    excluded |= {
        (row.upstream, row.born_ms)
        for key, row in host.tables.ranges.items()
        if key in assignments.holds
        if assignments.holds[key].has_ended or assignments.holds[key].is_unreachable
    }
    return {
        name: session.row
        for name, session in host.sessions.rows.items()
        if assignments.first_seen_ns[session.row.service] <= settled_before_ns
        and now - session.last_contact_ns < HEARTBEAT_TIMEOUT_NS
        and (name, session.row.born_ms) not in excluded
    }


def should_keep_range(host: ControlHost, row: KeyRange, hold: Hold) -> bool:
    """Return whether the holder should keep its range.

    It should not if it is silent, draining, gone or replaced by a newer process.
    """
    session = host.sessions.rows.get(row.upstream)
    if session is None or session.row.born_ms != row.born_ms:
        return False
    last_contact_ns = max(session.last_contact_ns, hold.confirmed_ns)
    is_recent = now_ns() - last_contact_ns < HEARTBEAT_TIMEOUT_NS
    return session.row.phase in ("ready", "lost") and is_recent


def keeps_serving(host: ControlHost, row: KeyRange, hold: Hold) -> bool:
    """Return whether a ready holder keeps its range for now.

    The holder keeps the range while the range could not move immediately after a
    release. The released keys would have no holder until the move.
    """
    session = host.sessions.rows.get(row.upstream)
    if session is None or hold.is_released or now_ns() >= hold.uncertain_until_ns:
        return False
    is_allowed = session.row.data_centre not in host.tables.evacuated
    is_ready = session.row.phase == "ready" and is_allowed
    return is_ready and should_keep_range(host, row, hold) and not hold.has_ended


def may_be_reached_again(host: ControlHost, row: KeyRange, hold: Hold) -> bool:
    """Return whether a renewal may still reach a holder that refuses connections.

    The range could not move before its hold ends, so until then it is not released.
    """
    is_held = now_ns() < hold.until_ns and not hold.is_released
    return hold.is_unreachable and is_held and should_keep_range(host, row, hold)


def should_release(hold: Hold) -> bool:
    """Return whether to ask the holder to release its range before it moves.

    A process that started again under the holder's name is asked too: it accepts
    renewals that were meant for the process before it.
    """
    is_held = not hold.is_released and not hold.has_ended
    return is_held and now_ns() >= hold.next_release_ns


def can_reassign(hold: Hold) -> bool:
    """Return whether the holder neither holds the range nor can acquire it again."""
    if hold.has_ended or now_ns() >= hold.until_ns:
        return True
    # An unanswered grant may still take effect after the release.
    return hold.is_released and now_ns() >= hold.uncertain_until_ns


def released_first_keys(
    assignments: RangeAssignments, host: ControlHost, service: str
) -> frozenset[int]:
    """Return the first keys of ranges that their holders released."""
    return frozenset(
        row.first_key
        for key, row in host.tables.ranges.items()
        if row.service == service and key in assignments.holds
        if assignments.holds[key].is_released
        and assignments.holds[key].token == row.token
    )
