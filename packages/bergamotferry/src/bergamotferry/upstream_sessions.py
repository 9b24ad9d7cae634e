"""Sessions of upstreams, which control hosts learn from the upstreams' heartbeats.

A control host keeps a row for each upstream and sends changes to the other control
hosts and to the hosts that take requests. The rows are soft state: heartbeats rebuild
them within seconds after a restart. The newest incarnation of an upstream is the one
with the latest start time, and its newest heartbeat is the one with the highest
sequence number, so late heartbeats change nothing. The log records which incarnations
leave (see `fleet_tables`) and takes precedence over heartbeats.
"""

from dataclasses import dataclass, field
from typing import Literal, NamedTuple

from .fleet_tables import FleetTables, find_retired

NS_PER_S = 1_000_000_000
# An upstream that can't reach a control host may still serve, so it is marked as lost
# only after a long silence.
LOST_AFTER_NS = 30 * NS_PER_S
# Rows of gone and lost upstreams are kept until every host has received the change.
GONE_RETENTION_NS = 120 * NS_PER_S

# A "lost" upstream has sent no heartbeat for a long time. Unlike one that is "draining"
# or "gone", it may become "ready" again.
UpstreamPhase = Literal["ready", "draining", "gone", "lost"]


class Heartbeat(NamedTuple):
    """Status message of an upstream.

    ``born_ms`` is the start time that identifies the incarnation. ``cold_left_ms`` is
    the time until the upstream is warm, or 0 once it is warm.
    """

    name: str
    born_ms: int
    sequence: int
    service: str
    address: str
    data_centre: str
    version: str
    n_slots: int
    phase: UpstreamPhase
    cold_left_ms: int


class SessionRow(NamedTuple):
    """State of an upstream as hosts exchange it."""

    name: str
    born_ms: int
    sequence: int
    service: str
    address: str
    data_centre: str
    n_slots: int
    phase: UpstreamPhase
    cold_left_ms: int


class Alive(NamedTuple):
    """An incarnation with a recent heartbeat, as an entry of a digest."""

    name: str
    born_ms: int


@dataclass(slots=True)
class Session:
    """A row with local data of this host.

    ``last_contact_ns`` is the time of the last heartbeat or digest entry,
    ``changed_ns`` the time of the last change, and ``change`` the number of that
    change.
    """

    row: SessionRow
    last_contact_ns: int
    changed_ns: int
    change: int


@dataclass(slots=True)
class Sessions:
    """All known upstreams by name; ``change`` is the number of the last change."""

    rows: dict[str, Session] = field(default_factory=dict)
    change: int = 0


def record_heartbeat(
    sessions: Sessions, tables: FleetTables, heartbeat: Heartbeat, now_ns: int
) -> bool:
    """Record a heartbeat; return whether it changed anything to send to other hosts."""
    row = SessionRow(
        heartbeat.name,
        heartbeat.born_ms,
        heartbeat.sequence,
        heartbeat.service,
        heartbeat.address,
        heartbeat.data_centre,
        heartbeat.n_slots,
        heartbeat.phase,
        heartbeat.cold_left_ms,
    )
    return record_row(sessions, tables, row, now_ns)


def record_row(
    sessions: Sessions, tables: FleetTables, row: SessionRow, now_ns: int
) -> bool:
    """Record a row from an upstream or a host; return whether it changed anything."""
    known = sessions.rows.get(row.name)
    if known is not None and _recency(row) < _recency(known.row):
        return False
    retired = find_retired(tables, row.name, row.born_ms)
    if retired is not None:
        row = row._replace(phase=retired.state)
    elif row.phase != "ready":
        # An upstream counts as leaving only once the log records it. Until then its
        # row stays "ready", and the answer to its heartbeat doesn't confirm that it
        # leaves.
        row = row._replace(phase="ready")
    if known is not None and known.row._replace(sequence=row.sequence) == row:
        known.row = row
        known.last_contact_ns = now_ns
        return False
    _end_older_users_of_address(sessions, row, now_ns)
    _store_row(sessions, row, now_ns)
    return True


def apply_retired(sessions: Sessions, tables: FleetTables, now_ns: int) -> None:
    """Set the phase of all incarnations that leave according to the log."""
    for session in list(sessions.rows.values()):
        retired = find_retired(tables, session.row.name, session.row.born_ms)
        if retired is not None and session.row.phase != retired.state:
            _store_row(sessions, session.row._replace(phase=retired.state), now_ns)


def record_alive(sessions: Sessions, alive: tuple[Alive, ...], now_ns: int) -> bool:
    """Record a digest of live incarnations; return whether any of them is unknown."""
    is_any_unknown = False
    for name, born_ms in alive:
        known = sessions.rows.get(name)
        if known is None or known.row.born_ms < born_ms:
            is_any_unknown = True
        elif known.row.born_ms == born_ms:
            known.last_contact_ns = max(known.last_contact_ns, now_ns)
    return is_any_unknown


def expire_silent(sessions: Sessions, now_ns: int) -> None:
    """Mark silent upstreams as lost, and delete rows that are long gone or lost."""
    for name, session in list(sessions.rows.items()):
        if session.row.phase in ("gone", "lost"):
            if now_ns - session.changed_ns > GONE_RETENTION_NS:
                del sessions.rows[name]
        elif now_ns - session.last_contact_ns > LOST_AFTER_NS:
            _store_row(sessions, session.row._replace(phase="lost"), now_ns)


def rows_after(sessions: Sessions, change: int) -> tuple[SessionRow, ...]:
    """Return the rows that changed after the change with the number ``change``."""
    return tuple(s.row for s in sessions.rows.values() if s.change > change)


def is_newer_row(row: SessionRow, known: SessionRow | None) -> bool:
    """Return whether a follower should replace the row ``known`` by ``row``.

    An incarnation that leaves never becomes ready again, although a control host that
    lags may still report the incarnation as ready.
    """
    if known is None:
        return True
    if row.born_ms != known.born_ms:
        return row.born_ms > known.born_ms
    if known.phase in _LEAVING_ORDER:
        return _LEAVING_ORDER.get(row.phase, 0) >= _LEAVING_ORDER[known.phase]
    if known.phase == "lost":
        return row.phase in _LEAVING_ORDER or row.sequence > known.sequence
    return row.phase in _LEAVING_ORDER or row.sequence >= known.sequence


_LEAVING_ORDER = {"draining": 1, "gone": 2}


def _store_row(sessions: Sessions, row: SessionRow, now_ns: int) -> None:
    sessions.change += 1
    known = sessions.rows.get(row.name)
    is_inactive = row.phase in ("gone", "lost")
    last_contact_ns = (
        known.last_contact_ns if known is not None and is_inactive else now_ns
    )
    sessions.rows[row.name] = Session(row, last_contact_ns, now_ns, sessions.change)


def _end_older_users_of_address(
    sessions: Sessions, row: SessionRow, now_ns: int
) -> None:
    """Mark as gone the older upstreams that had the address of a newer one."""
    for session in list(sessions.rows.values()):
        other = session.row
        is_same_address = other.address == row.address and other.name != row.name
        if is_same_address and other.phase != "gone" and other.born_ms < row.born_ms:
            _store_row(sessions, other._replace(phase="gone"), now_ns)


def _recency(row: SessionRow) -> tuple[int, int]:
    return row.born_ms, row.sequence
