"""Commits that an upstream is gone, also if control has not heard of it yet.

An upstream that leaves names only itself, and its incarnation is looked up in the
sessions. These are soft state, and all control hosts may lack it at once, while hosts
that send to the upstream still know it. A leave is therefore always committed, for the
newest incarnation that a control host knows or for none, and the hosts that hear of it
apply it to whichever incarnation they know (see `fleet_changes`).
"""

import asyncio
from typing import NamedTuple

from bergamotferry.fleet_commands import UNKNOWN_BORN_MS, RetireUpstream
from bergamotferry.fleet_tables import find_retired
from bergamotferry.outcomes import Accepted, Refused, result_code

from .clock import now_ns
from .fleet_control import ControlHost, commit_and_count
from .fleet_feed import fetch_sessions
from .logs import log

# An upstream that was heard of within this time is the newest under its name.
RECENT_NS = 3_000_000_000
# Short enough to answer before an upstream turns to another control host.
LOOKUP_TIMEOUT_S = 0.3


class _Known(NamedTuple):
    """The newest incarnation of an upstream that control knows, and from where."""

    born_ms: int
    source: str


async def retire_upstream(host: ControlHost, name: str) -> Accepted | Refused:
    """Commit that an upstream is gone.

    The newest incarnation that control knows is retired. If this host had not heard of
    it lately by itself, a newer one may leave, and the leave is also committed without
    an incarnation.

    Returns
    -------
    Accepted or Refused
        Refused if a commit failed; then the leave may or may not be recorded.
    """
    is_recent = _is_recent(host, name)
    known = await _find_newest(host, name)
    incarnations = [known.born_ms]
    is_repeat = find_retired(host.tables, name, known.born_ms) is not None
    is_any_known = known.born_ms != UNKNOWN_BORN_MS
    if is_any_known and not is_repeat and not is_recent:
        incarnations.append(UNKNOWN_BORN_MS)
    for born_ms in incarnations:
        outcome = await commit_and_count(host, RetireUpstream(name, born_ms, "gone"))
        log(
            "upstream leaves",
            upstream=name,
            born_ms=born_ms,
            known_from=known.source,
            revision=outcome.revision if isinstance(outcome, Accepted) else 0,
            code=result_code(outcome),
        )
        if isinstance(outcome, Refused):
            break
    return outcome


async def _find_newest(host: ControlHost, name: str) -> _Known:
    """Return the newest incarnation in sessions and key ranges, or the unknown one."""
    own = _Known(_session_born_ms(host, name), "own session")
    found = [_Known(UNKNOWN_BORN_MS, "nobody"), own]
    if not _is_recent(host, name):
        await _look_up_sessions(host)
        found.append(_Known(_session_born_ms(host, name), "session of another host"))
    found += [
        _Known(key_range.born_ms, "key range")
        for key_range in host.tables.ranges.values()
        if key_range.upstream == name
    ]
    return max(found, key=lambda known: known.born_ms)


def _is_recent(host: ControlHost, name: str) -> bool:
    session = host.sessions.rows.get(name)
    return session is not None and now_ns() - session.last_contact_ns < RECENT_NS


def _session_born_ms(host: ControlHost, name: str) -> int:
    session = host.sessions.rows.get(name)
    return session.row.born_ms if session is not None else UNKNOWN_BORN_MS


async def _look_up_sessions(host: ControlHost) -> None:
    """Fetch the sessions of the other control hosts, as far as they answer in time."""
    others = host.control_hosts - {host.settings.name}
    lookups = [asyncio.create_task(fetch_sessions(host, other)) for other in others]
    if not lookups:
        return
    _, pending = await asyncio.wait(lookups, timeout=LOOKUP_TIMEOUT_S)
    for lookup in pending:
        lookup.cancel()
    await asyncio.gather(*pending, return_exceptions=True)
