"""Stops a host gracefully: hands over what it holds, and lets its work finish.

When every other host is stopping too, nobody can take over. Then a host neither waits
for a successor nor gives its leadership up before its work is done, since the outcomes
of filings in flight could not be committed without a leader.
"""

import asyncio
from collections.abc import Iterable

from bergamotferry.messages import HostStatus, HostStatusRequest

from .clock import now_ns
from .group import Group, hand_over_leadership
from .host_state import HostState
from .logs import log
from .peer_link import PeerUnreachable
from .peer_network import hosts_of_data_centre

DRAIN_NOTICE_S = 1.0
DRAIN_POLL_S = 0.02
REFUSE_NOTICE_S = 0.3
SUCCESSOR_WAIT_NS = 3_000_000_000
# A host that does not say within this time that it stays is taken as gone.
STATUS_TIMEOUT_S = 1.0
STATUS_PAUSE_NS = 300_000_000


async def drain(state: HostState) -> None:
    """Hand over what this host holds, and let work in flight finish.

    The host goes on serving while it is no longer ready, until the balancer has seen
    that and its upstreams have other dispatchers; only then does it refuse.
    """
    log("stopping", n_in_flight=state.n_in_flight)
    deadline_ns = now_ns() + int(state.settings.stop_grace_s * 1e9)
    state.is_stopping = True
    await asyncio.sleep(DRAIN_NOTICE_S)
    await _wait_handed_over(state, deadline_ns)
    left = await _hand_over_to_staying(state)
    state.is_refusing = True
    await asyncio.sleep(REFUSE_NOTICE_S)
    while now_ns() < deadline_ns:
        if not _has_work(state):
            break
        await asyncio.sleep(DRAIN_POLL_S)
    await asyncio.gather(*map(hand_over_leadership, left))


async def _hand_over_to_staying(state: HostState) -> list[Group]:
    """Hand over each group that a staying voter can lead; return the others."""
    voters = {
        name: {voter.host for voter in group.replica.membership.voters}
        for name, group in state.groups.items()
    }
    staying = await _staying(state, set().union(*voters.values()))
    led_on = [name for name in state.groups if voters[name] & staying]
    await asyncio.gather(*(hand_over_leadership(state.groups[n]) for n in led_on))
    return [group for name, group in state.groups.items() if name not in led_on]


async def _wait_handed_over(state: HostState, deadline_ns: int) -> None:
    """Wait until other hosts of the data centre dispatch for this host's upstreams."""
    started_ns = now_ns()
    siblings = hosts_of_data_centre(state.network.addresses, state.host.data_centre)
    asked_ns = started_ns - STATUS_PAUSE_NS
    while now_ns() < deadline_ns:
        mine = [
            row
            for row in state.own_tables.dispatchers.values()
            if row.host == state.host.name
        ]
        is_idle = not any(w.in_flight for w in state.dispatchers.works.values())
        if not mine or (is_idle and now_ns() - started_ns > SUCCESSOR_WAIT_NS):
            return
        if now_ns() - asked_ns >= STATUS_PAUSE_NS:
            if not await _staying(state, siblings):
                log("stopping without a successor", n_upstreams=len(mine))
                return
            asked_ns = now_ns()
        await asyncio.sleep(DRAIN_POLL_S)


async def _staying(state: HostState, hosts: Iterable[str]) -> set[str]:
    """Return those of other hosts that answer and are not stopping."""
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
    is_dispatching = any(w.in_flight for w in state.dispatchers.works.values())
    return bool(state.n_in_flight) or is_dispatching
