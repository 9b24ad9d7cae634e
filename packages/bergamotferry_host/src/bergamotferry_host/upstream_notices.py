"""Records the notices in answers of upstreams, and tells control of a leaving holder.

The host's own memory keeps requests away from such an upstream (`direct_candidates`).
Only the keys of a sharded service need more: the leader has to give them another
holder. The host therefore proposes once that the incarnation drains, like the heartbeat
by which an upstream says so itself. The proposal has the same effect however many hosts
make it, and a lost one leaves what the upstream's own heartbeats say.
"""

import asyncio
import math
from collections.abc import Iterable

from bergamotferry.commands import Command
from bergamotferry.fleet_commands import RetireUpstream
from bergamotferry.messages import Propose, ProposeReply
from bergamotferry.replication.voter_choice import GLOBAL_GROUP
from bergamotferry.result_codes import ResultCode
from bergamotferry.upstream_notice import (
    NO_NOTICE,
    UpstreamNotice,
    pause_left_ms,
    record_notice,
)
from bergamotferry.upstream_sessions import SessionRow

from .background import start_task
from .clock import now_ns
from .direct_host import DirectHost, Upstream
from .logs import log, log_warning
from .peer_link import PeerUnreachable

PROPOSE_TIMEOUT_S = 1.0
# A control host that does not lead names the leader.
N_PROPOSALS_MAX = 2


def record_upstream_notice(
    host: DirectHost, upstream: Upstream, notice: UpstreamNotice
) -> None:
    """Record what an answer of an upstream says, and report a leaving holder."""
    if notice == NO_NOTICE:
        return
    now = now_ns()
    availability = upstream.availability
    was_leaving = availability.leaving_ns > 0
    was_paused = now < availability.paused_until_ns
    record_notice(availability, notice, now)
    if notice.pause_s and not was_paused:
        host.metrics.n_pauses += 1
        log(
            "upstream asks for a pause",
            upstream=upstream.row.name,
            pause_s=notice.pause_s,
        )
    if notice.is_leaving and not was_leaving:
        host.metrics.n_leaving += 1
        log("upstream says that it leaves", upstream=upstream.row.name)
        service = host.configuration.services.get(upstream.row.service)
        is_holder = service is not None and service.is_sharded
        if is_holder and upstream.row.phase == "ready":
            report_leaving(host, upstream)


def report_leaving(host: DirectHost, upstream: Upstream) -> None:
    """Tell control, by a task, that an incarnation leaves that control may not know."""
    start_task(_report_leaving(host, upstream.row), host.notice_tasks)


def shortest_pause_ms(upstreams: Iterable[Upstream], now: int) -> float:
    """Return after what time the first of some upstreams takes requests, in ms.

    It is 0 if one of them takes requests now, or if there are none.
    """
    shortest_ms = math.inf
    for upstream in upstreams:
        shortest_ms = min(shortest_ms, pause_left_ms(upstream.availability, now))
        if shortest_ms == 0:
            return 0.0
    return shortest_ms if math.isfinite(shortest_ms) else 0.0


async def _report_leaving(host: DirectHost, row: SessionRow) -> None:
    """Propose that the incarnation drains."""
    command: Command = RetireUpstream(row.name, row.born_ms, "draining")
    control_host = host.followed
    for _ in range(N_PROPOSALS_MAX):
        if not control_host:
            return
        try:
            async with asyncio.timeout(PROPOSE_TIMEOUT_S):
                reply = await host.network.call(
                    control_host, Propose(GLOBAL_GROUP, command), PROPOSE_TIMEOUT_S
                )
        except (PeerUnreachable, TimeoutError) as error:
            log_warning("leave not reported", upstream=row.name, why=str(error))
            return
        if not isinstance(reply, ProposeReply) or reply.code != ResultCode.NO_LEADER:
            return
        control_host = reply.leader
