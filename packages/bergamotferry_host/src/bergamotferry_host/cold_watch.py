"""Detects from answer times that an upstream is cold again, or warm before expected.

The rules are in `bergamotferry.slow_start`. This module supplies them with the host's
clock, its event loop delay, and the other upstreams that the host dispatches for.
"""

import asyncio
from collections.abc import Iterable

from bergamotferry.admission import Ticket
from bergamotferry.slow_start import (
    compare_answer,
    is_ramping,
    observe_answer,
    warm_peers_ms,
)

from .clock import now_ns
from .dispatcher_table import UpstreamWork
from .host_state import HostState
from .logs import log

NS_PER_MS = 1_000_000
# A busy host wakes up late by less; one that is later than this did not run at all.
PAUSE_MIN_MS = 200.0
# Averages over about ten wake-ups: a single late one does not mean that the host is
# busy.
LOOP_DELAY_SMOOTHING = 0.1
# Error answers are ignored, because a cold upstream may return them quickly.
HTTP_ERROR_STATUS_MIN = 400


def record_answer(
    state: HostState, work: UpstreamWork, ticket: Ticket, took_ms: float, status: int
) -> None:
    """Restart the slow-start ramp, or end it early, if an answer justifies it."""
    record_slowness(state, work, ticket, took_ms)
    ramp, service = work.queue.ramp, work.session.service
    if status >= HTTP_ERROR_STATUS_MIN or not is_ramping(ramp, now_ns()):
        return
    peers = [
        other.queue.ramp
        for other in state.dispatchers.work_by_upstream.values()
        if other is not work and other.session.service == service
    ]
    peers_ms = warm_peers_ms(peers, ticket.traffic_class, now_ns())
    if peers_ms is not None and compare_answer(ramp, took_ms, peers_ms, now_ns()):
        log("ramp ended early", upstream=work.session.name, peers_ms=round(peers_ms, 2))


def record_slowness(
    state: HostState, work: UpstreamWork, ticket: Ticket, took_ms: float
) -> None:
    """Restart the slow-start ramp if answers have become much slower for a while."""
    ramp = work.queue.ramp
    own_delay_ms = state.dispatchers.loop_delay_ms
    if observe_answer(ramp, ticket.traffic_class, took_ms, now_ns(), own_delay_ms):
        log(
            "ramp began anew",
            upstream=work.session.name,
            took_ms=round(took_ms, 2),
            own_delay_ms=round(own_delay_ms, 2),
        )


def record_session_ages(
    state: HostState, session_ages: Iterable[tuple[str, int, int]]
) -> None:
    """Record since when upstreams run, from the session ages that the leader reports.

    A host that has just started does not know these ages.
    """
    table = state.dispatchers
    for name, incarnation, age_ms in session_ages:
        identity = (name, incarnation)
        seen_ns = now_ns() - age_ms * NS_PER_MS
        if identity in table.first_seen_ns:
            seen_ns = min(seen_ns, table.first_seen_ns[identity])
            table.first_seen_ns[identity] = seen_ns
        else:
            # This host has not yet applied the log entry of this incarnation.
            table.reported_seen_ns[identity] = seen_ns


def record_incarnations(state: HostState) -> None:
    """Record when each incarnation was first seen.

    A host that becomes an upstream's dispatcher then knows how long the upstream has
    run.
    """
    table = state.dispatchers
    known, reported = table.first_seen_ns, table.reported_seen_ns
    sessions = state.own_tables.sessions.values()
    present = {(row.name, row.incarnation) for row in sessions}
    for identity in present - known.keys():
        known[identity] = min(now_ns(), reported.pop(identity, now_ns()))
    for identity in known.keys() - present:
        del known[identity]
        table.latencies.rows.pop(identity[0], None)


def total_paused_ms(state: HostState) -> float:
    """Return for how long this host was paused since its start, in ms.

    That includes a pause that has just ended, before the dispatcher has woken up.
    """
    table = state.dispatchers
    late_ms = (now_ns() - table.wake_due_ns) / NS_PER_MS if table.wake_due_ns else 0.0
    return table.paused_ms + (late_ms if late_ms >= PAUSE_MIN_MS else 0.0)


async def sleep_and_record_delay(state: HostState, pause_s: float) -> None:
    """Sleep, and update the smoothed event loop delay with the wake-up's lateness."""
    table = state.dispatchers
    due_ns = table.wake_due_ns = now_ns() + int(pause_s * 1e9)
    await asyncio.sleep(pause_s)
    late_ms = max(0.0, (now_ns() - due_ns) / NS_PER_MS)
    table.paused_ms, table.wake_due_ns = total_paused_ms(state), 0
    smoothed_ms = state.dispatchers.loop_delay_ms
    step_ms = LOOP_DELAY_SMOOTHING * (late_ms - smoothed_ms)
    state.dispatchers.loop_delay_ms = smoothed_ms + step_ms
