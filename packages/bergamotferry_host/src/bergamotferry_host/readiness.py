"""Keeps a host that has just started from serving until it has caught up."""

import asyncio

from bergamotferry.messages import HostStatus, HostStatusRequest
from bergamotferry.readiness import CatchUpTarget, catch_up_target, is_caught_up

from .bootstrap import GLOBAL_GROUP
from .group import group_status, wait_applied
from .group_state import Group, has_applied_own_term
from .host_state import HostState
from .logs import log
from .peer_link import PeerUnreachable
from .peer_network import hosts_of_data_centre

STATUS_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.1
CATCH_UP_WAIT_S = 0.5


async def run_readiness(state: HostState) -> None:
    """Poll hosts until enough have answered, catch up, then let the host serve."""
    target: CatchUpTarget | None = None
    while target is None:
        target = await _poll_target(state)
        if target is None:
            await asyncio.sleep(POLL_INTERVAL_S)
    group = state.global_group
    while not is_caught_up(target, group.applied_index, state.global_tables.revision):
        next_index = max(target.log_index, group.applied_index + 1)
        await wait_applied(group, next_index, CATCH_UP_WAIT_S)
    state.is_caught_up = True
    log(
        "caught up",
        target_index=target.log_index,
        target_revision=target.revision,
        revision=state.global_tables.revision,
    )
    # This task never ends, since the daemon stops once a background task ends.
    await asyncio.Event().wait()


def own_status(state: HostState) -> HostStatus:
    """Return the status that this host reports to others."""
    return HostStatus(
        state.host.name,
        state.host.data_centre,
        state.host.region,
        state.incarnation,
        state.global_tables.revision,
        state.is_stopping,
        tuple(group_status(group) for group in state.groups.values()),
        tuple(name for name, group in state.groups.items() if _is_settled(group)),
        is_ready(state),
    )


def is_ready(state: HostState) -> bool:
    """Return whether the platform's balancer should send callers to this host."""
    data_centre = state.global_tables.data_centres.get(state.host.data_centre)
    is_in = data_centre is not None and data_centre.state == "in"
    return has_configuration(state) and is_in and not state.is_stopping


def has_configuration(state: HostState) -> bool:
    """Return whether the host knows the configuration in force."""
    return state.is_caught_up and state.global_tables.revision > 0


async def _poll_target(state: HostState) -> CatchUpTarget | None:
    voters = state.global_group.sources
    local_hosts = hosts_of_data_centre(state.network.addresses, state.host.data_centre)
    # The host polls itself too: as the only voter, it is a majority on its own.
    names = sorted({*voters, *local_hosts})
    replies = await asyncio.gather(*(_request_status(state, name) for name in names))
    statuses = [reply for reply in replies if reply is not None]
    return catch_up_target(statuses, GLOBAL_GROUP)


async def _request_status(state: HostState, host: str) -> HostStatus | None:
    try:
        reply = await state.network.call(
            host, HostStatusRequest(0, 0), STATUS_TIMEOUT_S
        )
    except PeerUnreachable:
        return None
    return reply if isinstance(reply, HostStatus) else None


def _is_settled(group: Group) -> bool:
    """Return whether this host has applied an entry of a group's current term."""
    replica = group.replica
    if replica is None or group.applied_index == 0:
        return False
    # A leader whose lease has expired may have been replaced without knowing it.
    if replica.role == "leader" and not group.is_leader:
        return False
    return has_applied_own_term(group)
