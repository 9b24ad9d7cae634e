"""Keeps this host's state of upstreams in step with sessions and dispatchers.

The state of an upstream is its `UpstreamWork`: its queue, its running requests and what
waits for a slot.
"""

from bergamotferry.admission import UpstreamQueue, clear_waiting
from bergamotferry.outcomes import Refused
from bergamotferry.records import UpstreamSession
from bergamotferry.result_codes import ResultCode
from bergamotferry.slow_start import SlowStart

from .cold_watch import record_incarnations
from .dispatcher_table import UpstreamWork
from .host_state import HostState


def sync_with_tables(state: HostState) -> None:
    """Create, abort and drop the state of upstreams as their sessions change."""
    tables = state.own_tables
    work_by_upstream = state.dispatchers.work_by_upstream
    record_incarnations(state)
    for name, dispatcher in tables.dispatchers.items():
        session = tables.sessions.get(name)
        if session is None or dispatcher.host != state.host.name:
            continue
        work = work_by_upstream.get(name)
        if work is None or work.epoch != dispatcher.epoch:
            _drop_work(state, name)
            queue = _new_queue(state, session)
            work_by_upstream[name] = UpstreamWork(session, dispatcher.epoch, queue)
        is_replaced = (
            session.opened_epoch != work_by_upstream[name].session.opened_epoch
        )
        if session.state == "expired" or is_replaced:
            abort_work(work_by_upstream[name])
        elif session.state != "serving" or dispatcher.state != "serving":
            _refuse_waiting(work_by_upstream[name])
    for name in list(work_by_upstream):
        current = tables.dispatchers.get(name)
        if current is None or current.host != state.host.name:
            _drop_work(state, name)


def abort_work(work: UpstreamWork) -> None:
    """Refuse what waits for an upstream, and abort what it runs."""
    _refuse_waiting(work)
    for task in list(work.send_tasks):
        task.cancel()


def resolve_wait(work: UpstreamWork, ticket_id: str, refusal: Refused | None) -> None:
    """Let a waiting request have its slot, or refuse it."""
    future = work.slot_futures.get(ticket_id)
    if future is not None and not future.done():
        future.set_result(refusal)


def _new_queue(state: HostState, session: UpstreamSession) -> UpstreamQueue:
    began_ns = state.dispatchers.first_seen_ns[session.name, session.incarnation]
    policies_off = state.dispatchers.policies_off
    ramp = SlowStart(began_ns, is_enabled="slow-start" not in policies_off)
    return UpstreamQueue(session.n_slots, ramp, "early-refusal" not in policies_off)


def _drop_work(state: HostState, name: str) -> None:
    work = state.dispatchers.work_by_upstream.pop(name, None)
    if work is not None:
        abort_work(work)


def _refuse_waiting(work: UpstreamWork) -> None:
    clear_waiting(work.queue)
    for ticket_id in list(work.slot_futures):
        resolve_wait(work, ticket_id, Refused(ResultCode.NOT_DISPATCHER, ""))
