"""Grants permits to run requests under suspicion, on the leader."""

from bergamotferry.fleet_messages import AskRunPermit, RunPermitReply
from bergamotferry.protection.crash_records import (
    logged_fingerprint,
    row_of,
)
from bergamotferry.protection.run_permits import PermitTable, end_permit, take_permit

from ..clock import now_ns
from ..crash_exchange import record_rows
from ..fleet_control import ControlHost
from ..leader_calls import forward_to_leader
from ..logs import log


async def answer_run_permit(
    host: ControlHost, permits: PermitTable, message: AskRunPermit
) -> RunPermitReply | None:
    """Grant or refuse a permit as the leader, or pass the question on to the leader.

    Returns None if no leader answers.
    """
    if not host.group.is_leader:
        reply = await forward_to_leader(host, message)
        return reply if isinstance(reply, RunPermitReply) else None
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
