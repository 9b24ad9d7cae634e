"""Grants permits to run requests under suspicion, on the leader."""

import asyncio

from bergamotferry.fleet_messages import AskRunPermit, RunPermitReply
from bergamotferry.protection.crash_records import (
    logged_fingerprint,
    row_of,
)
from bergamotferry.protection.run_permits import PermitTable, end_permit, take_permit

from ..clock import now_ns
from ..crash_exchange import record_rows
from ..fleet_control import ControlHost
from ..logs import log
from ..peer_link import PeerUnreachable

FORWARD_TIMEOUT_S = 0.3


async def answer_run_permit(
    host: ControlHost, permits: PermitTable, message: AskRunPermit
) -> RunPermitReply | None:
    """Grant or refuse a permit as the leader, or pass the question on to the leader.

    Returns None if no leader answers.
    """
    if not host.group.is_leader:
        return await _forward(host, message)
    record_rows(host.crashes, [message.row])
    fingerprint, now = message.row.fingerprint, now_ns()
    table, is_granted = host.crashes.table, False
    if message.is_end:
        has_lost_upstream = message.has_lost_upstream
        end_permit(permits, fingerprint, message.host, has_lost_upstream, now)
    else:
        is_granted = take_permit(permits, table, fingerprint, message.host, now)
    known = row_of(table, fingerprint, now)
    if is_granted and known.n_ends:
        log(
            "run permitted",
            fingerprint=logged_fingerprint(fingerprint),
            n_ends=known.n_ends,
            to_host=message.host,
        )
    return RunPermitReply(is_granted, known)


async def _forward(host: ControlHost, message: AskRunPermit) -> RunPermitReply | None:
    leader = host.group.leader
    if message.is_forwarded or not leader or leader == host.settings.name:
        return None
    forwarded = message._replace(is_forwarded=True)
    try:
        async with asyncio.timeout(FORWARD_TIMEOUT_S):
            reply = await host.network.call(
                leader, forwarded, FORWARD_TIMEOUT_S, "records"
            )
    except (PeerUnreachable, TimeoutError):
        return None
    return reply if isinstance(reply, RunPermitReply) else None
