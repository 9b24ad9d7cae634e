"""Notices from its answers that an upstream is cold again, or warm before its time.

The rules are in ``slow_start``; here they get this host's clock, the lateness of its
event loop, and the other upstreams that it dispatches for.
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
# Over about ten ticks: one late turn is no sign of a busy host.
LOOP_DELAY_SMOOTHING = 0.1
# An upstream that isn't warm may be quick to say so; errors tell nothing.
HTTP_ERROR_MIN = 400


def note_answer(
    state: HostState, work: UpstreamWork, ticket: Ticket, took_ms: float, status: int
) -> None:
    """Begin the ramp anew, or end it early, if the answer settles it."""
    note_slowness(state, work, ticket, took_ms)
    ramp, service = work.queue.ramp, work.session.service
    if status >= HTTP_ERROR_MIN or not is_ramping(ramp, now_ns()):
        return
    peers = [
        other.queue.ramp
        for other in state.dispatchers.works.values()
        if other is not work and other.session.service == service
    ]
    peers_ms = warm_peers_ms(peers, ticket.traffic_class, now_ns())
    if peers_ms is not None and compare_answer(ramp, took_ms, peers_ms, now_ns()):
        log("ramp ended early", upstream=work.session.name, peers_ms=round(peers_ms, 2))


def note_slowness(
    state: HostState, work: UpstreamWork, ticket: Ticket, took_ms: float
) -> None:
    """Begin the ramp anew if answers have taken far longer for a while."""
    ramp = work.queue.ramp
    own_delay_ms = state.dispatchers.loop_delay_ms
    if observe_answer(ramp, ticket.traffic_class, took_ms, now_ns(), own_delay_ms):
        log(
            "ramp began anew",
            upstream=work.session.name,
            took_ms=round(took_ms, 2),
            own_delay_ms=round(own_delay_ms, 2),
        )


def note_session_ages(
    state: HostState, session_ages: Iterable[tuple[str, int, int]]
) -> None:
    """Take from the leader how long upstreams have run, as a host that has started."""
    table = state.dispatchers
    for name, incarnation, age_ms in session_ages:
        place = (name, incarnation)
        seen_ns = now_ns() - age_ms * NS_PER_MS
        if place in table.first_seen_ns:
            seen_ns = min(seen_ns, table.first_seen_ns[place])
            table.first_seen_ns[place] = seen_ns
        else:
            # The log that names this incarnation has yet to be read.
            table.told_seen_ns[place] = seen_ns


def see_incarnations(state: HostState) -> None:
    """Note since when each incarnation is known, so that a new dispatcher knows too."""
    table = state.dispatchers
    known, told = table.first_seen_ns, table.told_seen_ns
    sessions = state.own_tables.sessions.values()
    present = {(row.name, row.incarnation) for row in sessions}
    for place in present - known.keys():
        known[place] = min(now_ns(), told.pop(place, now_ns()))
    for place in known.keys() - present:
        del known[place]
        table.latencies.rows.pop(place[0], None)


async def sleep_and_note_delay(state: HostState, pause_s: float) -> None:
    """Sleep, and note how late the event loop woke this up."""
    due_ns = now_ns() + int(pause_s * 1e9)
    await asyncio.sleep(pause_s)
    late_ms = max(0.0, (now_ns() - due_ns) / NS_PER_MS)
    usual_ms = state.dispatchers.loop_delay_ms
    step_ms = LOOP_DELAY_SMOOTHING * (late_ms - usual_ms)
    state.dispatchers.loop_delay_ms = usual_ms + step_ms
