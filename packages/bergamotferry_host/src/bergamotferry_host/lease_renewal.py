"""Renews this host's lease, and forwards the renewals of upstreams' sessions.

One message to the leader contains all renewals of an interval, so the leader's load
grows with the number of hosts and not with the number of upstreams.
"""

import asyncio

from bergamotferry.hot_keys import hottest_keys, upstream_rates
from bergamotferry.leases import NS_PER_MS, RENEW_INTERVAL_MS, SESSION_LEASE_MS
from bergamotferry.messages import RenewLeases, RenewLeasesReply
from bergamotferry.outcomes import Accepted, Refused
from bergamotferry.result_codes import ResultCode

from .clock import now_ns
from .cold_watch import record_session_ages
from .host_state import HostState, SessionRenewal
from .observations import bulk_upstreams, observed_latencies
from .orders import drained_upstreams, released_shards
from .peer_link import PeerUnreachable

RENEW_TIMEOUT_S = 0.4
REPORT_POLL_S = 0.02


async def run_lease_renewal(state: HostState) -> None:
    """Renew every ``RENEW_INTERVAL_MS``, and as soon as a report changes.

    The reports are the drained upstreams and the released shards. Runs until cancelled.
    """
    reported: tuple[object, ...] = ()
    while True:
        started_ns = now_ns()
        reported = (drained_upstreams(state), released_shards(state))
        await renew_once(state)
        while now_ns() - started_ns < RENEW_INTERVAL_MS * NS_PER_MS:
            await asyncio.sleep(REPORT_POLL_S)
            if reported != (drained_upstreams(state), released_shards(state)):
                break


async def renew_session(
    state: HostState, name: str, incarnation: int
) -> Accepted | Refused:
    """Renew an upstream's session with the next renewal message to the leader.

    Returns
    -------
    Accepted or Refused
        ``revision`` is the length of the lease in ms. The upstream counts the lease
        from the time at which it sent its request.
    """
    future: asyncio.Future[Accepted | Refused] = (
        asyncio.get_running_loop().create_future()
    )
    renewal = state.renewals.get(name)
    if renewal is None or renewal.incarnation < incarnation:
        renewal = SessionRenewal(incarnation)
        state.renewals[name] = renewal
    renewal.waiters.append(future)
    try:
        # `asyncio.wait_for` may lose a cancellation that coincides with the result.
        async with asyncio.timeout(SESSION_LEASE_MS / 1000):
            return await future
    except TimeoutError:
        return Refused(ResultCode.NO_LEADER, "the leader did not answer in time")


async def renew_once(state: HostState) -> None:
    """Send one renewal message and distribute the result to the waiting requests."""
    renewals, state.renewals = state.renewals, {}
    sessions = tuple((name, renewal.incarnation) for name, renewal in renewals.items())
    message = RenewLeases(
        state.host,
        state.incarnation,
        state.host.data_centre,
        state.is_stopping,
        sessions,
        drained_upstreams(state),
        released_shards(state),
        observed_latencies(state),
        bulk_upstreams(state),
        hottest_keys(state.dispatchers.hot_keys, now_ns()),
        upstream_rates(state.dispatchers.hot_keys, now_ns()),
    )
    sent_ns = now_ns()
    reply = await _send_to_leader(state, message)
    if reply is None:
        _requeue(state, renewals)
        return
    record_session_ages(state, reply.session_ages)
    state.host_lease_since_index = reply.since_index
    state.host_lease_until_ns = sent_ns + reply.host_lease_ms * NS_PER_MS
    lost = set(reply.lost_sessions)
    for name, renewal in renewals.items():
        outcome: Accepted | Refused = Accepted(reply.session_lease_ms)
        if name in lost:
            outcome = Refused(ResultCode.SESSION_UNKNOWN, "announce again")
        for future in renewal.waiters:
            if not future.done():
                future.set_result(outcome)


async def _send_to_leader(
    state: HostState, message: RenewLeases
) -> RenewLeasesReply | None:
    group = state.own_group
    candidates = [group.leader] if group.leader else list(group.sources)
    for host in candidates:
        try:
            reply = await state.network.call(host, message, RENEW_TIMEOUT_S)
        except PeerUnreachable:
            group.leader_hint = ""
            continue
        if not isinstance(reply, RenewLeasesReply):
            continue
        if reply.is_leader:
            group.leader_hint = host
            return reply
        group.leader_hint = reply.leader if reply.leader != host else ""
    return None


def _requeue(state: HostState, renewals: dict[str, SessionRenewal]) -> None:
    for name, renewal in renewals.items():
        waiters = [future for future in renewal.waiters if not future.done()]
        if not waiters:
            continue
        newer = state.renewals.setdefault(name, SessionRenewal(renewal.incarnation))
        newer.waiters.extend(waiters)
