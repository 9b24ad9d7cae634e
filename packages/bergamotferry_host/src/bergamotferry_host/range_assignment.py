"""Assigns ranges of keys of sharded services, so that each key has one holder at most.

The leader commits an assignment before it calls the upstream. The revision of the fleet
tables at which the assignment is applied becomes the fencing token, so a later
assignment always has a higher token. A grant lets the holder serve the keys for a
limited time, its hold. The leader renews holds well before they expire. A range moves
only after its holder released it or can no longer hold it: another process answers at
the holder's address, or the hold of every call that may still take effect has expired.
A refused connection does not prove that the holder's process has ended. A later start
under the holder's name does, but the new process may have accepted a renewal that was
meant for the old one, so it is asked to release the range too.

A new leader does not know which calls of the previous leader are still in flight, so it
waits for one full hold before it moves a range. A ready holder keeps serving its keys
during that wait, since released keys would have no holder at all.
"""

import asyncio
from typing import Literal

import aiohttp

from bergamotferry.fleet_commands import AssignRange
from bergamotferry.fleet_tables import KeyRange, range_key
from bergamotferry.key_ranges import WantedRange, plan_ranges
from bergamotferry.outcomes import result_code

from .background import start_task
from .clock import now_ns
from .fleet_control import ControlHost, is_caught_up_leader
from .group_commit import commit_as_leader
from .logs import log, log_warning
from .range_calls import (
    GRANT_TIMEOUT_S,
    CallResult,
    RangeCallNames,
    call_grant,
    call_release,
)
from .range_holders import (
    can_reassign,
    eligible_upstreams,
    keeps_serving,
    may_be_reached_again,
    released_first_keys,
    should_keep_range,
    should_release,
)
from .range_holds import Hold, RangeAssignments, current_hold

TICK_S = 0.1
# Granted holds last for this share of the longest permitted hold. With this share, no
# holder loses its keys when there is no leader for five seconds.
HOLD_SHARE_OF_MAX = 0.75
RENEW_EVERY_S = 1.5
# Pause after a call that failed, before the next one for the same range.
RETRY_CALL_EVERY_S = 0.5
# An upstream's clock may run slow by this factor. By the leader's clock, its holds then
# last longer.
CLOCK_RATE_BOUND = 1.02
HOLD_MARGIN_S = 0.3
# No further assigned range starts to move while this many ranges are busy.
N_BUSY_MAX = 16
NS_PER_S = 1_000_000_000
NS_PER_MS = 1_000_000
# "holder": a holder leaves, is lost or joins; "load": the holder is overloaded.
MoveReason = Literal["holder", "load"]
_RESULTS_WITHOUT_EFFECT = frozenset(
    {"newer_token", "no_process", "no_listener", "refused", "not_sent"}
)


async def run_range_assignment(
    host: ControlHost,
    http: aiohttp.ClientSession,
    call_names: RangeCallNames,
    assignments: RangeAssignments,
) -> None:
    """Assign, renew and move ranges while this host leads, until cancelled."""
    hold_ms = int(host.settings.bounds.hold_max_ms * HOLD_SHARE_OF_MAX)
    while True:
        await asyncio.sleep(TICK_S)
        if host.is_stopping or not is_caught_up_leader(host):
            # The recorded holds stay valid for the whole term, also while the leader's
            # lease lapses for a moment.
            continue
        if assignments.term != host.group.replica.term:
            _start_term(assignments, host, hold_ms)
        for key, row in list(host.tables.ranges.items()):
            _renew_if_due(assignments, host, http, call_names, key, row, hold_ms)
        _start_planned_moves(assignments, host, http, call_names)


def _start_term(assignments: RangeAssignments, host: ControlHost, hold_ms: int) -> None:
    assignments.term = host.group.replica.term
    # The previous leader sent its last calls before its lease expired. These calls may
    # arrive until they time out.
    assignments.grant_effect_ns = int(GRANT_TIMEOUT_S * NS_PER_S) + _longest_hold_ns(
        hold_ms
    )
    until_ns = now_ns() + assignments.grant_effect_ns
    assignments.holds = {
        key: Hold(row.token, until_ns, until_ns)
        for key, row in host.tables.ranges.items()
    }


def _renew_if_due(
    assignments: RangeAssignments,
    host: ControlHost,
    http: aiohttp.ClientSession,
    call_names: RangeCallNames,
    key: str,
    row: KeyRange,
    hold_ms: int,
) -> None:
    hold = current_hold(assignments, key, row)
    is_idle = not hold.is_busy and not hold.is_released and not hold.has_ended
    if (
        is_idle
        and now_ns() >= hold.next_renewal_ns
        and should_keep_range(host, row, hold)
    ):
        hold.is_busy = True
        renewal = _renew(assignments, host, http, call_names, row, hold, hold_ms)
        start_task(renewal, assignments.tasks)


async def _renew(
    assignments: RangeAssignments,
    host: ControlHost,
    http: aiohttp.ClientSession,
    call_names: RangeCallNames,
    row: KeyRange,
    hold: Hold,
    hold_ms: int,
) -> None:
    term = assignments.term
    try:
        if host.group.replica.term != term or not is_caught_up_leader(host):
            return
        answer = await call_grant(http, call_names, row, hold_ms, host.settings.headers)
        _record_presence(assignments, row, hold, answer.result)
        if answer.result not in _RESULTS_WITHOUT_EFFECT:
            # The grant may have taken effect at any time until the call ended just now.
            hold.until_ns = max(hold.until_ns, now_ns() + _longest_hold_ns(hold_ms))
        if answer.result == "unsure":
            hold.uncertain_until_ns = hold.until_ns
        if answer.result == "done":
            hold.confirmed_ns = now_ns()
        hold.next_renewal_ns = now_ns() + int(RENEW_EVERY_S * NS_PER_S)
        if answer.result == "done" and not hold.is_granted:
            hold.is_granted = True
            log(
                "range granted",
                upstream=row.upstream,
                token=row.token,
                **_range_fields(row),
            )
        elif answer.result != "done":
            hold.next_renewal_ns = now_ns() + int(RETRY_CALL_EVERY_S * NS_PER_S)
            log_warning(
                "range not renewed",
                upstream=row.upstream,
                token=row.token,
                result=answer.result,
                **_range_fields(row),
            )
    finally:
        hold.is_busy = False


def _start_planned_moves(
    assignments: RangeAssignments,
    host: ControlHost,
    http: aiohttp.ClientSession,
    call_names: RangeCallNames,
) -> None:
    upstreams = eligible_upstreams(assignments, host)
    for service in host.configuration.services.values():
        if not service.is_sharded:
            continue
        wanted = plan_ranges(
            service.name,
            host.tables.ranges.values(),
            upstreams,
            frozenset(host.tables.evacuated),
            released_first_keys(assignments, host, service.name),
        )
        for move in wanted:
            start_move(assignments, host, http, call_names, move)


def start_move(
    assignments: RangeAssignments,
    host: ControlHost,
    http: aiohttp.ClientSession,
    call_names: RangeCallNames,
    move: WantedRange,
    reason: MoveReason = "holder",
) -> "asyncio.Task[None] | None":
    """Start a task that releases and reassigns a range.

    Returns None if the range can't move yet or too many other ranges are busy.
    """
    key = range_key(move.service, move.first_key)
    if move.current is None:
        hold = assignments.holds.setdefault(key, Hold(0, 0))
    else:
        hold = current_hold(assignments, key, move.current)
    if hold.is_busy:
        return None
    if move.current is not None and keeps_serving(host, move.current, hold):
        return None
    if move.current is not None and may_be_reached_again(host, move.current, hold):
        return None
    n_busy = sum(1 for other in assignments.holds.values() if other.is_busy)
    if move.current is not None and n_busy >= N_BUSY_MAX:
        return None
    hold.is_busy = True
    return start_task(
        _execute_move(assignments, host, http, call_names, move, hold, reason),
        assignments.tasks,
    )


async def _execute_move(
    assignments: RangeAssignments,
    host: ControlHost,
    http: aiohttp.ClientSession,
    call_names: RangeCallNames,
    move: WantedRange,
    hold: Hold,
    reason: MoveReason,
) -> None:
    # The next leader may renew what was released here, so the release moves the range
    # in this term only.
    term = assignments.term
    try:
        row = move.current
        if row is not None and should_release(hold):
            await _release(assignments, host, http, call_names, row, hold)
        if row is not None and not can_reassign(hold):
            return
        await _assign(host, move, hold, reason, term)
    finally:
        hold.is_busy = False


async def _release(
    assignments: RangeAssignments,
    host: ControlHost,
    http: aiohttp.ClientSession,
    call_names: RangeCallNames,
    row: KeyRange,
    hold: Hold,
) -> None:
    answer = await call_release(http, call_names, row, host.settings.headers)
    if answer.result == "done":
        hold.is_released = True
        hold.handover = answer.handover
        _log_released(row, hold)
    else:
        _record_presence(assignments, row, hold, answer.result)
        _log_not_released(row, hold, answer.result)
        hold.next_release_ns = now_ns() + int(RETRY_CALL_EVERY_S * NS_PER_S)
    hold.release_result = answer.result


def _record_presence(
    assignments: RangeAssignments, row: KeyRange, hold: Hold, result: CallResult
) -> None:
    """Record whether a call found the holder's process, or at least a listener."""
    incarnation = (row.upstream, row.born_ms)
    hold.is_unreachable = result == "no_listener"
    if result == "no_process":
        hold.has_ended = True
    if result in ("no_process", "no_listener"):
        assignments.absent_ns[incarnation] = now_ns()
    elif result == "done":
        assignments.absent_ns.pop(incarnation, None)


def _log_released(row: KeyRange, hold: Hold) -> None:
    """Log a release, and within what time the released keys can move."""
    uncertain_ms = max(0, (hold.uncertain_until_ns - now_ns()) // NS_PER_MS)
    log(
        "range released",
        upstream=row.upstream,
        token=row.token,
        moves_within_ms=uncertain_ms,
        **_range_fields(row),
    )


def _log_not_released(row: KeyRange, hold: Hold, result: CallResult) -> None:
    """Log a failed release, and within what time the keys can move without it.

    A release that fails again with the same result is not logged again.
    """
    if result == hold.release_result:
        return
    log_warning(
        "range not released",
        upstream=row.upstream,
        token=row.token,
        result=result,
        moves_within_ms=max(0, (hold.until_ns - now_ns()) // NS_PER_MS),
        **_range_fields(row),
    )


async def _assign(
    host: ControlHost, move: WantedRange, hold: Hold, reason: MoveReason, term: int
) -> None:
    row = move.current
    command = AssignRange(
        move.service,
        move.first_key,
        move.last_key,
        move.next_holder.name,
        move.next_holder.born_ms,
        move.next_holder.address,
        hold.handover,
        row.token if row is not None else 0,
    )
    outcome = await commit_as_leader(host.group, command, term)
    log(
        "range assigned",
        upstream=move.next_holder.name,
        before=row.upstream if row is not None else "",
        is_handed_over=bool(hold.handover),
        first_key=move.first_key,
        last_key=move.last_key,
        service=move.service,
        why=reason,
        code=result_code(outcome),
    )


def _longest_hold_ns(hold_ms: int) -> int:
    """Return how long a hold may last by the leader's clock."""
    return int((hold_ms / 1000 * CLOCK_RATE_BOUND + HOLD_MARGIN_S) * NS_PER_S)


def _range_fields(row: KeyRange) -> dict[str, object]:
    return {"service": row.service, "first_key": row.first_key}
