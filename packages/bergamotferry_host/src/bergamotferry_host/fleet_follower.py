"""Follows one control host, and fails over to another when that one is lost.

If a nearer one serves again, it is followed instead (`following.failback`).

The follower leaves a control host that does not answer, has no contact with its leader,
or lags behind the revision known here. It then probes all control hosts concurrently:
after a fault, most of the unreachable ones accept no connection, and sequential probes
would wait a second for each of them.
"""

import asyncio
import secrets
from itertools import count

from bergamotferry.fleet_messages import (
    AskCurrent,
    CurrentReply,
    FleetChanges,
    FollowFleet,
)
from bergamotferry.upstream_sessions import SessionRow

from .accounts.state_age import record_confirmation
from .clock import now_ns
from .direct_host import DirectHost
from .fleet_changes import apply_changes, rows_not_listed
from .following.failback import wait_for_nearer
from .following.nearness import nearest_first
from .logs import log, log_warning
from .peer_link import PeerUnreachable
from .service_load.work_reports import apply_service_loads

FOLLOW_WAIT_MS = 250
# Long enough for a reply over a busy link. This timeout and the probes that follow it
# together take less time than a drain may take.
FOLLOW_TIMEOUT_S = 0.9
PROBE_TIMEOUT_S = 0.9
RETRY_PAUSE_S = 0.05
# After so many replies a new control process has listed the upstreams that it knows.
N_LISTING_REPLIES = 2
# Delay of each probe after that of the next nearer control host, so that a remote
# control host is followed only if no nearer one is current.
PROBE_STAGGER_S = 0.03


async def run_follower(host: DirectHost) -> None:
    """Follow one control host at a time until cancelled."""
    host.control_hosts = list(host.settings.seeds)
    while True:
        control_host = await find_current_control_host(host)
        if control_host:
            _close_other_links(host, control_host)
            host.followed = control_host
            await _follow_until_lost(host, control_host)
            host.followed = ""
        # The jitter keeps hosts that lose the same control host from probing the others
        # at the same moment.
        await asyncio.sleep(RETRY_PAUSE_S * (1 + secrets.randbelow(100) / 100))


async def find_current_control_host(host: DirectHost) -> str:
    """Return the first control host that a probe finds current, or an empty string."""
    names = nearest_first(host, host.control_hosts)
    probes = {
        asyncio.create_task(_probe(host, name, number * PROBE_STAGGER_S))
        for number, name in enumerate(names)
    }
    try:
        for finished in asyncio.as_completed(probes):
            control_host = await finished
            if control_host:
                return control_host
    finally:
        for probe in probes:
            probe.cancel()
        await asyncio.gather(*probes, return_exceptions=True)
    return ""


async def _probe(host: DirectHost, control_host: str, delay_s: float) -> str:
    """Return the control host's name if it is current and not lagging, else empty."""
    await asyncio.sleep(delay_s)
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            reply = await host.network.call(
                control_host, AskCurrent(host.settings.name), PROBE_TIMEOUT_S
            )
    except (PeerUnreachable, TimeoutError):
        # Not logged: other control hosts are probed too, and one line names the control
        # host that is followed in the end.
        return ""
    is_current = isinstance(reply, CurrentReply) and reply.is_current
    return control_host if is_current and reply.revision >= host.revision else ""


def _close_other_links(host: DirectHost, control_host: str) -> None:
    """Close idle links to all other hosts, which would only cost heartbeats."""
    for (name, link_class), link in list(host.network.links.items()):
        if name != control_host and link_class != "request" and not link.is_closed:
            link.connection.transport.abort()


async def _follow_until_lost(host: DirectHost, control_host: str) -> None:
    try:
        if await _follow_until_nearer(host, control_host):
            return
        reason = "it is not current"
    except PeerUnreachable as error:
        reason = str(error)
        link = host.network.links.get((control_host, "control"))
        if link is not None and not link.is_closed:
            link.connection.transport.abort()
    log_warning("control host lost", peer=control_host, why=reason)


async def _follow_until_nearer(host: DirectHost, control_host: str) -> bool:
    """Follow a control host; return whether a nearer one is current instead."""

    async def probe(name: str) -> bool:
        return bool(await _probe(host, name, 0.0))

    following = asyncio.create_task(_follow(host, control_host))
    nearer = asyncio.create_task(wait_for_nearer(host, control_host, probe))
    try:
        await asyncio.wait({following, nearer}, return_when=asyncio.FIRST_COMPLETED)
        if following.done():
            following.result()
            return False
        log("nearer control host", peer=nearer.result(), before=control_host)
        return True
    finally:
        following.cancel()
        nearer.cancel()
        await asyncio.gather(following, nearer, return_exceptions=True)


async def _follow(host: DirectHost, control_host: str) -> None:
    """Poll one control host for changes while it is current and not lagging.

    A control process that is new to this host lists all upstreams that it knows. It
    then hears of those in use here that it lacks. It may have just started, and no
    other control host may know them either.
    """
    source = host.source
    listed_born_ms: dict[str, int] = {}
    unlisted: tuple[SessionRow, ...] = ()
    wait_ms = 0
    for number in count():
        message = _follow_message(host, wait_ms, unlisted)
        asked_ns = now_ns()
        reply = await host.network.call(control_host, message, FOLLOW_TIMEOUT_S)
        if not isinstance(reply, FleetChanges):
            return
        apply_service_loads(host, reply, (now_ns() - asked_ns) / 1e6, wait_ms)
        is_lagging = reply.revision < host.revision
        if number == 0 and not is_lagging and reply.is_current:
            log("control host followed", peer=control_host, revision=reply.revision)
        apply_changes(host, reply)
        record_confirmation(host, reply, asked_ns)
        if not reply.is_current or is_lagging:
            return
        host.control_reported_ns = now_ns()
        listed_born_ms |= {row.name: row.born_ms for row in reply.sessions}
        is_listed = number == N_LISTING_REPLIES - 1 and reply.source != source
        unlisted = rows_not_listed(host, listed_born_ms) if is_listed else ()
        # The hosts report at different times, so most have heard of what the first of
        # them reported.
        is_listing = number < N_LISTING_REPLIES - 1
        wait_ms = secrets.randbelow(FOLLOW_WAIT_MS) if is_listing else FOLLOW_WAIT_MS


def _follow_message(
    host: DirectHost, wait_ms: int, unlisted: tuple[SessionRow, ...]
) -> FollowFleet:
    return FollowFleet(
        host.settings.name,
        host.settings.data_centre,
        host.source,
        host.session_change,
        host.revision,
        host.configuration.version,
        wait_ms,
        unlisted,
    )
