"""Notices that an upstream ended, and tells the fleet what ran on it.

A reset connection alone does not mean that an upstream ended. It is taken for one only
if the upstream then takes no connection either.
"""

import asyncio
import time

from bergamotferry.admission import Ticket
from bergamotferry.commands import RecordCrash, ReleaseQuarantine
from bergamotferry.quarantine import Verdict, verdict_on
from bergamotferry.slow_start import begin_ramp

from .background import start_task
from .clock import now_ns
from .dispatcher_table import UpstreamWork
from .group_commit import commit
from .host_state import HostState
from .http_address import split_address
from .logs import log

CONNECT_CHECK_S = 0.2


def verdict_now(state: HostState, fingerprint: str) -> Verdict:
    """Return whether a request may run, as far as this host knows."""
    if "isolation" in state.dispatchers.policies_off:
        return "clear"
    return verdict_on(state.own_tables, fingerprint, int(time.time()))


async def note_end(state: HostState, work: UpstreamWork) -> None:
    """Suspect all that runs on an upstream, if it really ended."""
    if work.has_crashed or not await _is_down(work.session.address):
        return
    # The other connections break as well; one of them tells of the end for all.
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


def note_good_run(state: HostState, work: UpstreamWork, ticket: Ticket) -> None:
    """Clear a suspected request that ran well alone; the upstream is up."""
    work.has_crashed = False
    fingerprint = work.fingerprints.get(ticket.request_id)
    if not ticket.is_alone or fingerprint is None:
        return
    clearing = commit(state.own_group, ReleaseQuarantine(fingerprint))
    start_task(clearing, state.dispatchers.filings)


async def _is_down(address: str) -> bool:
    ip, port = split_address(address)
    try:
        async with asyncio.timeout(CONNECT_CHECK_S):
            _, writer = await asyncio.open_connection(ip, port)
    except ConnectionRefusedError:
        return True
    except (TimeoutError, OSError):
        return False
    writer.close()
    return False
