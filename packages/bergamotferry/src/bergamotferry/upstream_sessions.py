"""What upstreams tell of themselves by heartbeats: soft state, rebuilt within seconds.

A host that serves control keeps a row for each upstream and passes changes to the other
such hosts, and to the hosts that take requests. Which incarnation is the newest follows
from its birth, and which heartbeat from its sequence number, so late ones change
nothing. That an incarnation leaves is in the log (see `fleet_tables`) and wins.
"""

from dataclasses import dataclass, field
from typing import Literal, NamedTuple

from .fleet_tables import FleetTables, is_retired

NS_PER_S = 1_000_000_000
# An upstream that can't reach control may still serve, so it is forgotten late.
FORGET_AFTER_NS = 30 * NS_PER_S
# Rows of upstreams that are gone stay until every host has heard of it.
KEEP_GONE_NS = 120 * NS_PER_S

# "lost" is one that was not heard of for long; unlike the others it may come back.
UpstreamPhase = Literal["ready", "draining", "gone", "lost"]


class Heartbeat(NamedTuple):
    """One message of an upstream about itself; ``cold_left_ms`` is 0 once warm."""

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
    """An upstream as the hosts tell each other of it."""

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
    """An incarnation that was heard of late, in a digest."""

    name: str
    born_ms: int


@dataclass(slots=True)
class Session:
    """A row with what this host adds: when it was heard, and its change's number."""

    row: SessionRow
    heard_ns: int
    changed_ns: int
    change: int


@dataclass(slots=True)
class Sessions:
    """All upstreams that this host knows of; ``change`` numbers the last change."""

    rows: dict[str, Session] = field(default_factory=dict)
    change: int = 0


def take_heartbeat(
    sessions: Sessions, tables: FleetTables, heartbeat: Heartbeat, now_ns: int
) -> bool:
    """Note a heartbeat; return whether it told anything that others must hear."""
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
    return take_row(sessions, tables, row, now_ns)


def take_row(
    sessions: Sessions, tables: FleetTables, row: SessionRow, now_ns: int
) -> bool:
    """Note what an upstream, or another host, told; return whether anything changed."""
    known = sessions.rows.get(row.name)
    if known is not None and _order(row) < _order(known.row):
        return False
    retired = is_retired(tables, row.name, row.born_ms)
    if retired is not None:
        row = row._replace(phase=retired.state)
    elif row.phase != "ready":
        # Until the log says so too, an answer to a heartbeat promises nothing.
        row = row._replace(phase="ready")
    if known is not None and known.row._replace(sequence=row.sequence) == row:
        known.row = row
        known.heard_ns = now_ns
        return False
    _drop_address(sessions, row, now_ns)
    _put(sessions, row, now_ns)
    return True


def take_retired(sessions: Sessions, tables: FleetTables, now_ns: int) -> None:
    """Apply to all rows what the log says of incarnations that leave."""
    for session in list(sessions.rows.values()):
        retired = is_retired(tables, session.row.name, session.row.born_ms)
        if retired is not None and session.row.phase != retired.state:
            _put(sessions, session.row._replace(phase=retired.state), now_ns)


def take_alive(sessions: Sessions, alive: tuple[Alive, ...], now_ns: int) -> bool:
    """Note that others heard of incarnations; return whether one is unknown here."""
    is_any_unknown = False
    for name, born_ms in alive:
        known = sessions.rows.get(name)
        if known is None or known.row.born_ms < born_ms:
            is_any_unknown = True
        elif known.row.born_ms == born_ms:
            known.heard_ns = max(known.heard_ns, now_ns)
    return is_any_unknown


def forget_silent(sessions: Sessions, now_ns: int) -> None:
    """Mark as lost what was not heard of for long, and drop what is long gone."""
    for name, session in list(sessions.rows.items()):
        if session.row.phase in ("gone", "lost"):
            if now_ns - session.changed_ns > KEEP_GONE_NS:
                del sessions.rows[name]
        elif now_ns - session.heard_ns > FORGET_AFTER_NS:
            _put(sessions, session.row._replace(phase="lost"), now_ns)


def rows_after(sessions: Sessions, change: int) -> tuple[SessionRow, ...]:
    """Return the rows that changed after a change."""
    return tuple(s.row for s in sessions.rows.values() if s.change > change)


def is_newer_row(row: SessionRow, known: SessionRow | None) -> bool:
    """Return whether a follower should take a row in place of the one it has.

    What was said to leave stays so for its incarnation: a control host that lags may
    still call it ready.
    """
    if known is None:
        return True
    if row.born_ms != known.born_ms:
        return row.born_ms > known.born_ms
    if known.phase in _FINAL_ORDER:
        return _FINAL_ORDER.get(row.phase, 0) >= _FINAL_ORDER[known.phase]
    if known.phase == "lost":
        return row.phase in _FINAL_ORDER or row.sequence > known.sequence
    return row.phase in _FINAL_ORDER or row.sequence >= known.sequence


_FINAL_ORDER = {"draining": 1, "gone": 2}


def _put(sessions: Sessions, row: SessionRow, now_ns: int) -> None:
    sessions.change += 1
    known = sessions.rows.get(row.name)
    is_over = row.phase in ("gone", "lost")
    heard_ns = known.heard_ns if known is not None and is_over else now_ns
    sessions.rows[row.name] = Session(row, heard_ns, now_ns, sessions.change)


def _drop_address(sessions: Sessions, row: SessionRow, now_ns: int) -> None:
    """Mark as gone who had an address before a later birth."""
    for session in list(sessions.rows.values()):
        other = session.row
        is_same = other.address == row.address and other.name != row.name
        if is_same and other.phase != "gone" and other.born_ms < row.born_ms:
            _put(sessions, other._replace(phase="gone"), now_ns)


def _order(row: SessionRow) -> tuple[int, int]:
    return row.born_ms, row.sequence
