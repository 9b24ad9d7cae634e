"""Detects crashes of upstreams and records the requests that were running on them.

A reset connection alone does not prove that the upstream's process ended. It counts as
a crash only if the upstream then refuses a new connection. The records are committed in
the data centre's group, where they decide which requests are quarantined.
"""

import asyncio
import time

from bergamotferry.admission import Ticket
from bergamotferry.commands import RecordCrash, ReleaseQuarantine
from bergamotferry.protection.quarantine import Verdict, verdict_on
from bergamotferry.slow_start import begin_ramp

from .address_check import refuses_connections
from .background import start_task
from .clock import now_ns
from .dispatcher_table import UpstreamWork
from .group_commit import commit
from .host_state import HostState
from .logs import log

CONNECT_CHECK_TIMEOUT_S = 0.2


def current_verdict(state: HostState, fingerprint: str) -> Verdict:
    """Return the verdict on a request, by this host's copy of the tables."""
    if "isolation" in state.dispatchers.policies_off:
        return "clear"
    return verdict_on(state.own_tables, fingerprint, int(time.time()))


async def record_crash_if_down(state: HostState, work: UpstreamWork) -> None:
    """Record a crash of every running request if the upstream refuses connections.

    The upstream's slow-start ramp begins again.
    """
    address = work.session.address
    if work.has_crashed or not await refuses_connections(
        address, CONNECT_CHECK_TIMEOUT_S
    ):
        return
    # All connections to the upstream break together, and the request on each of them
    # may reach this point. The first request records the crash for all requests that
    # were running.
    if work.has_crashed:
        return
    work.has_crashed = True
    begin_ramp(work.queue.ramp, now_ns())
    fingerprints = set(work.fingerprints.values())
    log("upstream ended", upstream=work.session.name, n_running=len(fingerprints))
    commands = [
        RecordCrash(
            fingerprint,
            work.session.service,
            int(time.time()),
            work.session.name,
            work.session.incarnation,
            len(work.fingerprints) == 1,
        )
        for fingerprint in fingerprints
    ]
    await asyncio.gather(*(commit(state.own_group, command) for command in commands))


def record_good_run(state: HostState, work: UpstreamWork, ticket: Ticket) -> None:
    """Mark the upstream as up, and clear a suspected request that it served alone."""
    work.has_crashed = False
    fingerprint = work.fingerprints.get(ticket.request_id)
    if not ticket.is_exclusive or fingerprint is None:
        return
    release = commit(state.own_group, ReleaseQuarantine(fingerprint))
    start_task(release, state.dispatchers.background_tasks)
