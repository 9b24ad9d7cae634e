"""Asks the leader for shares, through the control host that this host follows.

One question is under way at a time. It is sent at once when a request waits, and
otherwise at intervals, while there is something to report or to renew.
"""

import asyncio

from bergamotferry.quota.messages import AskShares, SharesReply
from bergamotferry.quota.questions import apply_reply, next_question

from ..clock import now_ns
from ..direct_host import DirectHost
from ..leader_calls import ask_followed
from ..logs import log, log_warning
from .spending import n_waiting, refuse_waiting, serve_waiting

NS_PER_MS = 1_000_000
# A stock lasts for longer, and a share for several times as long.
REPORT_INTERVAL_S = 0.5
# Pause after a question without a reply, and while no control host is followed.
RETRY_PAUSE_S = 0.05
# Pause while requests wait and the leader has nothing for them yet.
WAITING_PAUSE_S = 0.1
# Longer than a change of the followed control host takes.
OVERDUE_NS = 1_500_000_000


async def run_share_renewal(host: DirectHost) -> None:
    """Ask for shares until cancelled."""
    while True:
        pause_s = await ask_once(host)
        try:
            async with asyncio.timeout(pause_s):
                await host.quota.work_event.wait()
        except TimeoutError:
            pass


async def ask_once(host: DirectHost) -> float:
    """Ask once, if there is anything to ask; return the longest pause before the next.

    The pause ends when a request begins to wait.
    """
    state = host.quota
    state.work_event.clear()
    asked_ns = now_ns()
    if not host.followed:
        if n_waiting(state):
            _record_unanswered(host, asked_ns)
        await asyncio.sleep(RETRY_PAUSE_S)
        return 0.0
    question = next_question(state.shares, n_waiting(state), asked_ns)
    if question is None:
        state.unanswered_ns = 0
        return REPORT_INTERVAL_S
    reply = await _call(host, question)
    if reply is None:
        state.counts["no reply",] += 1
        _record_unanswered(host, asked_ns)
        await asyncio.sleep(RETRY_PAUSE_S)
        return REPORT_INTERVAL_S if not n_waiting(state) else 0.0
    _record_answered(host, asked_ns)
    if not apply_reply(state.shares, question, reply, asked_ns, now_ns()):
        state.counts["full report wanted",] += 1
        return 0.0
    state.counts["answered",] += 1
    for grant in reply.rows:
        serve_waiting(state, grant.account)
        if grant.retry_ms and grant.is_sure:
            refuse_waiting(state, grant.account)
    if n_waiting(state):
        await asyncio.sleep(0 if state.work_event.is_set() else WAITING_PAUSE_S)
        return 0.0
    return REPORT_INTERVAL_S


async def _call(host: DirectHost, question: AskShares) -> SharesReply | None:
    # Hosts of the version before close the link that carries this message.
    reply = await ask_followed(host, question)
    return reply if isinstance(reply, SharesReply) else None


def _record_unanswered(host: DirectHost, asked_ns: int) -> None:
    """Log once that questions get no answer, after a while."""
    state = host.quota
    state.unanswered_ns = state.unanswered_ns or asked_ns
    is_overdue = now_ns() - state.unanswered_ns > OVERDUE_NS
    if not is_overdue or state.is_overdue_logged:
        return
    state.is_overdue_logged = True
    age_ns = now_ns() - state.replied_ns if state.replied_ns else -NS_PER_MS
    log_warning(
        "shares not renewed",
        age_ms=age_ns // NS_PER_MS,
        followed=host.followed,
        n_waiting=sum(n_waiting(state).values()),
    )


def _record_answered(host: DirectHost, asked_ns: int) -> None:
    state = host.quota
    if state.is_overdue_logged:
        state.is_overdue_logged = False
        for_ms = (now_ns() - state.unanswered_ns) // NS_PER_MS
        log("shares renewed again", for_ms=for_ms, followed=host.followed)
    state.unanswered_ns = 0
    state.replied_ns = asked_ns
