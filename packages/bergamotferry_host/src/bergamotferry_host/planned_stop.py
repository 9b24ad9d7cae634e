"""Stops a host gracefully: hands over upstreams and leadership, and finishes requests.

When every other host is stopping too, no host can take over. The host then does not
wait for a successor, and it keeps its leadership until its work is done, since the
outcomes of filings in flight could not be committed without a leader.
"""

import asyncio
from collections.abc import Iterable

from bergamotferry.messages import HostStatus, HostStatusRequest

from .clock import now_ns
from .group import transfer_leadership
from .group_state import Group
from .host_state import HostState
from .logs import log
from .peer_link import PeerUnreachable
from .peer_network import hosts_of_data_centre

DRAIN_NOTICE_S = 1.0
DRAIN_POLL_S = 0.02
REFUSE_NOTICE_S = 0.3
SUCCESSOR_WAIT_NS = 3_000_000_000
# A host that does not report its status within this time counts as gone.
STATUS_TIMEOUT_S = 1.0
STATUS_POLL_INTERVAL_NS = 300_000_000


async def drain(state: HostState) -> None:
    """Hand over upstreams and leadership, and let the requests in flight finish.

    The host first reports that it is no longer ready. It continues to serve until the
    balancer has seen that and the host's upstreams have other dispatchers. Only then
    does it refuse requests.
    """
    log("stopping", n_in_flight=state.n_in_flight)
    deadline_ns = now_ns() + int(state.settings.stop_grace_s * 1e9)
    state.is_stopping = True
    await asyncio.sleep(DRAIN_NOTICE_S)
    await _wait_for_successors(state, deadline_ns)
    remaining = await _hand_over_to_staying(state)
    state.is_refusing_requests = True
    await asyncio.sleep(REFUSE_NOTICE_S)
    while now_ns() < deadline_ns:
        if not _has_work(state):
            break
        await asyncio.sleep(DRAIN_POLL_S)
    await asyncio.gather(*map(transfer_leadership, remaining))


async def _hand_over_to_staying(state: HostState) -> list[Group]:
    """Hand over each group that has a voter on a staying host; return the others."""
    voters = {
        name: {voter.host for voter in group.replica.membership.voters}
        for name, group in state.groups.items()
    }
    staying = await _hosts_that_stay(state, set().union(*voters.values()))
    handed_over = [name for name in state.groups if voters[name] & staying]
    await asyncio.gather(
        *(transfer_leadership(state.groups[name]) for name in handed_over)
    )
    return [group for name, group in state.groups.items() if name not in handed_over]


async def _wait_for_successors(state: HostState, deadline_ns: int) -> None:
    """Wait until other hosts of the data centre dispatch to this host's upstreams.

    The wait ends at once if no other host stays. After `SUCCESSOR_WAIT_NS`, it ends as
    soon as this host's dispatchers have no requests in flight.
    """
    started_ns = now_ns()
    local_hosts = hosts_of_data_centre(state.network.addresses, state.host.data_centre)
    polled_ns = started_ns - STATUS_POLL_INTERVAL_NS
    while now_ns() < deadline_ns:
        own_dispatchers = [
            dispatcher
            for dispatcher in state.own_tables.dispatchers.values()
            if dispatcher.host == state.host.name
        ]
        is_idle = not any(
            work.in_flight for work in state.dispatchers.work_by_upstream.values()
        )
        if not own_dispatchers or (
            is_idle and now_ns() - started_ns > SUCCESSOR_WAIT_NS
        ):
            return
        if now_ns() - polled_ns >= STATUS_POLL_INTERVAL_NS:
            if not await _hosts_that_stay(state, local_hosts):
                log("stopping without a successor", n_upstreams=len(own_dispatchers))
                return
            polled_ns = now_ns()
        await asyncio.sleep(DRAIN_POLL_S)


async def _hosts_that_stay(state: HostState, hosts: Iterable[str]) -> set[str]:
    """Return the other hosts that answer and are not stopping."""
    others = sorted(set(hosts) - {state.host.name})

    async def stays(host: str) -> bool:
        try:
            request = HostStatusRequest(0, 0)
            reply = await state.network.call(host, request, STATUS_TIMEOUT_S)
        except PeerUnreachable:
            return False
        return isinstance(reply, HostStatus) and not reply.is_stopping

    answers = await asyncio.gather(*map(stays, others))
    return {
        host for host, is_staying in zip(others, answers, strict=True) if is_staying
    }


def _has_work(state: HostState) -> bool:
    is_dispatching = any(
        work.in_flight for work in state.dispatchers.work_by_upstream.values()
    )
    return bool(state.n_in_flight) or is_dispatching
