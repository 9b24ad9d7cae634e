"""Moves busy keys off overloaded upstreams while this host leads.

`key_balance` decides the moves from the reported load of buckets of keys. To move parts
of a range, the leader first commits a split, which changes neither the holder nor the
fencing token. Each part then moves like any other range (`range_assignment`): its
holder releases it and returns the handover state for the next holder. Idle neighbouring
ranges of one holder are joined again.
"""

import asyncio

import aiohttp

from bergamotferry.fleet_commands import JoinRanges, SplitRange
from bergamotferry.fleet_tables import KeyRange, range_key
from bergamotferry.key_balance import (
    LoadMove,
    RangePair,
    plan_joins,
    plan_load_moves,
)
from bergamotferry.key_load import busy_slots_by_bucket
from bergamotferry.key_ranges import WantedRange
from bergamotferry.outcomes import Accepted, result_code
from bergamotferry.upstream_sessions import SessionRow

from .background import start_task
from .clock import now_ns
from .fleet_control import ControlHost, is_caught_up_leader
from .group_commit import commit_as_leader
from .logs import log
from .range_assignment import start_move
from .range_calls import RangeCallNames
from .range_holders import eligible_upstreams
from .range_holds import Hold, RangeAssignments, record_split

# Hosts report key load twice a second; a plan between reports has no new input.
BALANCE_INTERVAL_S = 0.5


async def run_range_balance(
    host: ControlHost,
    http: aiohttp.ClientSession,
    call_names: RangeCallNames,
    assignments: RangeAssignments,
) -> None:
    """Plan and start load moves while this host leads, until cancelled."""
    while True:
        await asyncio.sleep(BALANCE_INTERVAL_S)
        is_current_term = assignments.term == host.group.replica.term
        if host.is_stopping or not is_current_term or not is_caught_up_leader(host):
            continue
        if not host.settings.splits_busy_ranges:
            continue
        eligible = eligible_upstreams(assignments, host)
        for service in host.configuration.services.values():
            # Load moves in progress change the load on which a plan is based.
            if service.is_sharded and not assignments.n_load_moves[service.name]:
                _start_moves_and_joins(
                    host, http, call_names, assignments, service.name, eligible
                )


def _start_moves_and_joins(
    host: ControlHost,
    http: aiohttp.ClientSession,
    call_names: RangeCallNames,
    assignments: RangeAssignments,
    service: str,
    eligible: dict[str, SessionRow],
) -> None:
    busy_slots = busy_slots_by_bucket(host.key_loads, service, now_ns())
    ranges = [row for row in host.tables.ranges.values() if row.service == service]
    receivers = {
        name: row
        for name, row in eligible.items()
        if row.service == service
        and row.phase == "ready"
        and not row.cold_left_ms
        and row.data_centre not in host.tables.evacuated
    }
    confirmed = [row for row in ranges if _confirmed_hold(assignments, row) is not None]
    moving = frozenset(row.first_key for row in set(ranges) - set(confirmed))
    for moves in _by_range(plan_load_moves(ranges, busy_slots, receivers, moving)):
        start_task(
            _move_parts(host, http, call_names, assignments, moves), assignments.tasks
        )
    for pair in plan_joins(confirmed, busy_slots):
        start_task(_join_ranges(host, assignments, pair), assignments.tasks)


def _confirmed_hold(assignments: RangeAssignments, row: KeyRange) -> Hold | None:
    """Return the hold of a range if its holder is certain to have it, else None."""
    hold = assignments.holds.get(range_key(row.service, row.first_key))
    if hold is None or hold.token != row.token or now_ns() < hold.uncertain_until_ns:
        return None
    is_present = not hold.has_ended and not hold.is_unreachable
    is_held = hold.is_granted and not hold.is_released and is_present
    return hold if is_held else None


def _by_range(moves: list[LoadMove]) -> list[list[LoadMove]]:
    """Return the moves, those of parts of one range together."""
    grouped: dict[int, list[LoadMove]] = {}
    for move in moves:
        grouped.setdefault(move.current.first_key, []).append(move)
    return list(grouped.values())


async def _move_parts(
    host: ControlHost,
    http: aiohttp.ClientSession,
    call_names: RangeCallNames,
    assignments: RangeAssignments,
    moves: list[LoadMove],
) -> None:
    """Move parts of one range, or the whole of it, to their next holders."""
    service = moves[0].current.service
    assignments.n_load_moves[service] += 1
    try:
        is_split = not moves[0].requires_split or await _split(host, assignments, moves)
        if not is_split:
            return
        tasks = []
        for move in moves:
            row = host.tables.ranges.get(range_key(service, move.first_key))
            if row is None or row.last_key != move.last_key:
                continue
            wanted = WantedRange(
                service, row.first_key, row.last_key, row, move.next_holder
            )
            task = start_move(assignments, host, http, call_names, wanted, "load")
            if task is not None:
                tasks.append(task)
        if tasks:
            await asyncio.wait(tasks)
    finally:
        assignments.n_load_moves[service] -= 1


async def _split(
    host: ControlHost, assignments: RangeAssignments, moves: list[LoadMove]
) -> bool:
    """Commit the split of a range into the parts to move and what is left of it."""
    row = moves[0].current
    hold = _confirmed_hold(assignments, row)
    if hold is None or hold.is_busy:
        return False
    # A renewal of the whole range during the commit would be missing from the holds
    # of the parts.
    hold.is_busy = True
    starts = {move.first_key for move in moves} | {move.last_key + 1 for move in moves}
    first_keys = tuple(
        start for start in sorted(starts) if row.first_key < start <= row.last_key
    )
    command = SplitRange(
        row.service, row.first_key, row.last_key, row.token, first_keys
    )
    try:
        outcome = await commit_as_leader(host.group, command, assignments.term)
    finally:
        hold.is_busy = False
    log(
        "range split",
        upstream=row.upstream,
        token=row.token,
        service=row.service,
        first_key=row.first_key,
        last_key=row.last_key,
        n_parts=len(first_keys) + 1,
        code=result_code(outcome),
    )
    if not isinstance(outcome, Accepted):
        return False
    keys = [range_key(row.service, first_key) for first_key in first_keys]
    record_split(assignments, hold, (host.tables.ranges[key] for key in keys))
    return True


async def _join_ranges(
    host: ControlHost, assignments: RangeAssignments, pair: RangePair
) -> None:
    lower, upper = pair
    holds = [
        hold
        for row in (lower, upper)
        if (hold := _confirmed_hold(assignments, row)) is not None and not hold.is_busy
    ]
    if len(holds) < 2:
        return
    for hold in holds:
        hold.is_busy = True
    joined_key = range_key(lower.service, lower.first_key)
    assignments.joined_hold_until_ns[joined_key] = max(hold.until_ns for hold in holds)
    command = JoinRanges(
        lower.service, lower.first_key, lower.token, upper.first_key, upper.token
    )
    try:
        outcome = await commit_as_leader(host.group, command, assignments.term)
    finally:
        for hold in holds:
            hold.is_busy = False
    log(
        "ranges joined",
        upstream=lower.upstream,
        service=lower.service,
        first_key=lower.first_key,
        last_key=upper.last_key,
        code=result_code(outcome),
    )
