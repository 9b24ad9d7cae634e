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

from .fleet_commands import UNKNOWN_BORN_MS
from .fleet_tables import FleetTables, Retired, find_retired, retired_after

NS_PER_S = 1_000_000_000
# An upstream that can't reach a control host may still serve, so it is marked as lost
# only after a long silence.
LOST_AFTER_NS = 30 * NS_PER_S
# Rows of gone and lost upstreams are kept until every host has received the change.
GONE_RETENTION_NS = 120 * NS_PER_S
# After a leave that named no incarnation, whatever is heard under that name may be what
# left. An upstream has ended this long after its leave.
UNNAMED_LEAVE_NS = 30 * NS_PER_S
# A host in touch hears of a leave this long before the next incarnation under the name
# can start. A row that is newer than this may be that of the next incarnation.
LEAVE_DELAY_MAX_NS = 1 * NS_PER_S

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
    """All known upstreams by name; ``change`` is the number of the last change.

    ``revision`` is that of the tables whose retirements were applied last, and
    ``unnamed_leave_ns`` when a leave that named no incarnation was applied, by name.
    """

    rows: dict[str, Session] = field(default_factory=dict)
    change: int = 0
    revision: int = 0
    unnamed_leave_ns: dict[str, int] = field(default_factory=dict)


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
    elif _may_have_left(sessions, row.name, now_ns):
        row = row._replace(phase="lost")
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
    """Set the phase of all incarnations that leave, or may have left, by the log."""
    for record in retired_after(tables, sessions.revision):
        if record.born_ms == UNKNOWN_BORN_MS:
            sessions.unnamed_leave_ns[record.name] = now_ns
    sessions.revision = tables.revision
    for session in list(sessions.rows.values()):
        row = session.row
        retired = find_retired(tables, row.name, row.born_ms)
        if retired is not None and row.phase != retired.state:
            _store_row(sessions, row._replace(phase=retired.state), now_ns)
        elif row.phase == "ready" and _may_have_left(sessions, row.name, now_ns):
            _store_row(sessions, row._replace(phase="lost"), now_ns)


def phase_after_retirement(
    row: SessionRow, record: Retired, known_for_ns: int
) -> UpstreamPhase:
    """Return the phase of a row that a follower knows, once it hears of a retirement.

    Parameters
    ----------
    row : SessionRow
        The row of the upstream that the record names.
    record : Retired
        What the log records.
    known_for_ns : int
        How long the follower has known the incarnation of the row.
    """
    if row.born_ms == record.born_ms:
        is_known = _LEAVING_ORDER.get(row.phase, 0) >= _LEAVING_ORDER[record.state]
        return row.phase if is_known else record.state
    if record.state != "gone" or known_for_ns < LEAVE_DELAY_MAX_NS:
        return row.phase
    if row.phase in _LEAVING_ORDER:
        return row.phase
    # The control host that recorded the leave did not know this incarnation. If it knew
    # none, the upstream is used again once control has heard of it long enough after.
    return "lost" if record.born_ms == UNKNOWN_BORN_MS else "draining"


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
    for name, leave_ns in list(sessions.unnamed_leave_ns.items()):
        if now_ns - leave_ns > UNNAMED_LEAVE_NS:
            del sessions.unnamed_leave_ns[name]


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


def _may_have_left(sessions: Sessions, name: str, now_ns: int) -> bool:
    """Return whether a leave that named no incarnation may be that of an upstream."""
    leave_ns = sessions.unnamed_leave_ns.get(name)
    return leave_ns is not None and now_ns - leave_ns <= UNNAMED_LEAVE_NS


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
