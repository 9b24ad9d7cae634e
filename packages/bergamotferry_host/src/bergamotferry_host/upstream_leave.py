"""Commits that an upstream is gone, also if this host has not heard of it yet.

An upstream that leaves names only itself, and its incarnation is looked up in the
sessions. These are soft state: a host that has just started lacks some of them for
about a second, and one that was cut off may lack them for longer. Such a host asks the
other control hosts first, and acknowledges nothing that it can't look up.
"""

import asyncio

from bergamotferry.outcomes import Accepted, Refused
from bergamotferry.result_codes import ResultCode

from .clock import now_ns
from .fleet_control import ControlHost, commit_retirement
from .fleet_feed import fetch_sessions

# Every upstream has sent a heartbeat to some control host by then, also if all of them
# started at once.
SETTLE_NS = 3_000_000_000
# Short enough to answer before an upstream turns to another control host.
LOOKUP_TIMEOUT_S = 0.3


async def retire_upstream(host: ControlHost, name: str) -> Accepted | Refused:
    """Commit that the newest known incarnation of an upstream is gone.

    Refuses with ``HOST_NOT_READY`` if this host can't know whether there is one.
    """
    is_settled = now_ns() - host.began_ns >= SETTLE_NS
    if name not in host.sessions.rows or not is_settled:
        is_complete = await _look_up_sessions(host)
        if name not in host.sessions.rows and not (is_settled and is_complete):
            return Refused(ResultCode.HOST_NOT_READY, f"{name} is not known yet")
    session = host.sessions.rows.get(name)
    if session is None:
        return Accepted(0)
    return await commit_retirement(host, name, session.row.born_ms)


async def _look_up_sessions(host: ControlHost) -> bool:
    """Fetch the sessions of the other control hosts; return whether any answered.

    A host that knows of no other is alone, and its own sessions are complete.
    """
    others = host.control_hosts - {host.settings.name}
    if not others:
        return True
    lookups = [asyncio.create_task(fetch_sessions(host, other)) for other in others]
    done, pending = await asyncio.wait(lookups, timeout=LOOKUP_TIMEOUT_S)
    for lookup in pending:
        lookup.cancel()
    await asyncio.gather(*pending, return_exceptions=True)
    return any(lookup.result() for lookup in done)
