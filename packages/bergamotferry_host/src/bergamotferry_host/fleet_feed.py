"""Sends changes to followers and to the other control hosts.

A follower uses long polling: its request is answered at the next change. Without a
change it is answered after a short wait, so that the follower knows that this host is
alive.

Control hosts notify each other of changed session rows. Notices may be lost. Therefore
a periodic digest, cheap enough to be repeated, lists all incarnations with heartbeats
since the last digest, and a receiver that lacks one of them fetches all rows.
"""

import asyncio

from bergamotferry.fleet_messages import (
    AskSessions,
    FleetChanges,
    FollowFleet,
    SessionNews,
    SessionsReply,
)
from bergamotferry.fleet_tables import ranges_after, retired_after
from bergamotferry.followers import (
    Follower,
    all_followers,
    own_followers,
    record_follower,
    record_reported_followers,
)
from bergamotferry.upstream_sessions import (
    Alive,
    SessionRow,
    expire_silent,
    record_alive,
    record_row,
    rows_after,
)

from .accounts.confirmation import reported_age_ms
from .background import start_task
from .clock import now_ns
from .crash_exchange import (
    RESYNC_INTERVAL_S,
    forget_old_records,
    start_exchanges,
    wait_for_change,
)
from .fleet_control import ControlHost, is_current, wake_followers
from .following.host_lists import HostLists, lists_to_send
from .hot_holders.naming import hot_holders_for
from .key_reports import forward_key_work
from .logs import log, log_warning
from .peer_link import PeerUnreachable
from .service_load.load_exchange import service_loads_for

SESSION_NEWS_INTERVAL_S = 0.2
N_ROUNDS_PER_DIGEST = 5
# Changes within this time of the first one share a reply.
BATCH_DELAY_S = 0.02
FETCH_SESSIONS_TIMEOUT_S = 1.0


async def answer_follow(host: ControlHost, message: FollowFleet) -> FleetChanges:
    """Return the changes since the state that a follower reports as known.

    Waits up to ``message.wait_ms`` for a change if there is none yet.
    """
    follower = Follower(message.host, message.data_centre)
    record_follower(host.followers, follower, now_ns())
    _record_unlisted(host, message.unlisted)
    is_same_source = message.source == host.process_id
    if is_same_source and not _has_changes(host, message):
        change_event = host.change_event
        try:
            async with asyncio.timeout(message.wait_ms / 1000):
                await change_event.wait()
            await asyncio.sleep(BATCH_DELAY_S)
        except TimeoutError:
            pass
    return _changes(host, message, is_same_source)


async def run_session_news(host: ControlHost) -> None:
    """Send session changes and digests to other control hosts, until cancelled."""
    n_rounds = 0
    while True:
        # At once, so that a leave that comes first finds whom to ask.
        _add_control_hosts(host)
        await asyncio.sleep(SESSION_NEWS_INTERVAL_S)
        n_rounds += 1
        forward_key_work(host)
        expire_silent(host.sessions, now_ns())
        is_digest = n_rounds % N_ROUNDS_PER_DIGEST == 0
        if not host.changed_rows and not is_digest:
            continue
        alive: tuple[Alive, ...] = ()
        followers: tuple[Follower, ...] = ()
        if is_digest:
            followers = own_followers(host.followers, now_ns())
            alive = tuple(
                Alive(name, born_ms)
                for name, born_ms in host.incarnations_since_digest.items()
            )
            host.incarnations_since_digest.clear()
        rows = tuple(host.changed_rows.values())
        host.changed_rows.clear()
        news = SessionNews(
            host.settings.name,
            rows,
            alive,
            followers,
            tuple(sorted(host.control_hosts)),
        )
        for other in host.control_hosts - {host.settings.name}:
            host.network.notify(other, news)


async def run_crash_exchanges(host: ControlHost) -> None:
    """Exchange crash records with the other control hosts, until cancelled."""
    tasks: set[asyncio.Task[None]] = set()
    while True:
        others = host.control_hosts - {host.settings.name}
        start_exchanges(host.crashes, host.network, others, tasks)
        await wait_for_change(host.crashes, RESYNC_INTERVAL_S)
        forget_old_records(host.crashes)


def apply_session_news(
    host: ControlHost, message: SessionNews, tasks: set[asyncio.Task[None]]
) -> None:
    """Apply a control host's notice; fetch its rows if an upstream is unknown."""
    host.control_hosts.add(message.host)
    if message.followers:
        record_reported_followers(
            host.followers, message.host, message.followers, now_ns()
        )
    is_changed = False
    for row in message.rows:
        is_changed |= record_row(host.sessions, host.tables, row, now_ns())
    if record_alive(host.sessions, message.alive, now_ns()):
        start_task(fetch_sessions(host, message.host), tasks)
    if is_changed:
        wake_followers(host)


async def fetch_sessions(host: ControlHost, other: str) -> bool:
    """Fetch and apply all session rows of another control host.

    Returns
    -------
    bool
        Whether the other host answered.
    """
    try:
        reply = await host.network.call(
            other, AskSessions(host.settings.name), FETCH_SESSIONS_TIMEOUT_S
        )
    except PeerUnreachable as error:
        log_warning("sessions not fetched", peer=other, why=str(error))
        return False
    if not isinstance(reply, SessionsReply):
        return False
    is_changed = False
    for row in reply.rows:
        is_changed |= record_row(host.sessions, host.tables, row, now_ns())
    if is_changed:
        wake_followers(host)
    return True


def answer_sessions(host: ControlHost) -> SessionsReply:
    """Return the session rows of all upstreams that are not gone."""
    rows = (session.row for session in host.sessions.rows.values())
    return SessionsReply(tuple(row for row in rows if row.phase != "gone"))


def _record_unlisted(host: ControlHost, rows: tuple[SessionRow, ...]) -> None:
    """Record upstreams that a follower uses and this host doesn't know.

    If they have ended, they become lost by their silence. Until then followers keep
    what they had before.
    """
    if not rows:
        return
    addresses = {session.row.address for session in host.sessions.rows.values()}
    for row in rows:
        if row.address in addresses and row.name not in host.sessions.rows:
            # Another upstream has this address now.
            continue
        if record_row(host.sessions, host.tables, row, now_ns()):
            host.changed_rows[row.name] = host.sessions.rows[row.name].row
            log("upstream known from a follower", upstream=row.name)
    wake_followers(host)


def _has_changes(host: ControlHost, message: FollowFleet) -> bool:
    return (
        message.session_change < host.sessions.change
        or message.revision < host.tables.revision
    )


def _changes(
    host: ControlHost, message: FollowFleet, is_same_source: bool
) -> FleetChanges:
    tables = host.tables
    session_change = message.session_change if is_same_source else 0
    has_new_tables = not is_same_source or message.revision < tables.revision
    is_newer = message.configuration_version < tables.configuration_version
    followers = all_followers(host.followers, now_ns())
    local_hosts = [
        row.host for row in followers if row.data_centre == message.data_centre
    ]
    lists = lists_to_send(
        host.sent_lists,
        message.host,
        HostLists(tuple(sorted(host.control_hosts)), tuple(local_hosts)),
        is_same_source,
        now_ns(),
    )
    return FleetChanges(
        host.process_id,
        is_current(host),
        host.sessions.change,
        rows_after(host.sessions, session_change),
        tables.revision,
        tables.configuration_version,
        tables.configuration_source if is_newer else b"",
        tuple(sorted(tables.evacuated)),
        ranges_after(tables, message.revision) if has_new_tables else (),
        lists.control_hosts,
        lists.local_hosts,
        len(followers),
        # A host that has just started knows no upstream that could have left.
        retired_after(tables, message.revision) if message.revision >= 0 else (),
        service_loads_for(host, message.host),
        hot_holders_for(host, message.host),
        confirmed_age_ms=reported_age_ms(host),
    )


def _add_control_hosts(host: ControlHost) -> None:
    membership = host.group.replica.membership
    members = membership.voters + membership.learners
    host.control_hosts.update(member.host for member in members)
    host.control_hosts.update(host.settings.seeds)
    host.control_hosts.add(host.settings.name)
