"""Decides when the ownership systems must run again.

A run reads every row of the tables, so the systems run only when their result can
differ from that of the last run. This is the case if the tables, the hosts' reports or
the share weights have changed, or if a lease or a timer has expired. Renewals only
postpone the expiry of a lease, so the earliest expiry that was known at the last run is
never too late for the next run.
"""

from collections.abc import Hashable, Iterator
from dataclasses import dataclass

from .dispatcher_spread import SPREAD_INTERVAL_MS, SPREAD_MIN_LIVE_MS
from .leases import NS_PER_MS, LeaseTable
from .ownership import FILL_INTERVAL_MS, OUT_GRACE_MS, is_fill_check_needed

# Longest time between two runs. It bounds the delay of a change that
# `record_tables_and_check_due` does not notice.
RUN_INTERVAL_MAX_MS = 1000
# Shortest time from a run to the next one if a fill check is overdue.
FILL_RUN_DELAY_MIN_MS = 100


@dataclass(slots=True)
class OwnershipSchedule:
    """The inputs of the last run, and the time at which the next run is due.

    ``seen`` identifies the state of the tables and weights. ``n_changes`` is the number
    of changes that the lease table had counted.
    """

    seen: Hashable = None
    n_changes: int = 0
    due_ns: int = 0


def record_tables_and_check_due(
    schedule: OwnershipSchedule, leases: LeaseTable, seen: Hashable, now_ns: int
) -> bool:
    """Record the state of the tables, and return whether the systems must run.

    ``seen`` identifies the state of the tables and weights. A state that differs from
    the last one is recorded, with its time.
    """
    has_changed = leases.tables_changed_ns is None or seen != schedule.seen
    if has_changed:
        schedule.seen = seen
        leases.tables_changed_ns = now_ns
    has_changed = has_changed or schedule.n_changes != leases.n_changes
    schedule.n_changes = leases.n_changes
    return has_changed or now_ns >= schedule.due_ns


def record_run(
    schedule: OwnershipSchedule, leases: LeaseTable, has_acted: bool, now_ns: int
) -> None:
    """Record that the systems ran, and by when they must run again."""
    # A decision may not be committed, for example if the group loses its leader. So a
    # run that decided something is followed by another one at once.
    schedule.due_ns = now_ns if has_acted else min(_next_run_times_ns(leases, now_ns))


def _next_run_times_ns(leases: LeaseTable, now_ns: int) -> Iterator[int]:
    yield now_ns + RUN_INTERVAL_MAX_MS * NS_PER_MS
    due_times_ns = [lease.expires_ns for lease in leases.hosts.values()]
    due_times_ns += [lease.expires_ns for lease in leases.sessions.values()]
    due_times_ns += [
        since_ns + SPREAD_MIN_LIVE_MS * NS_PER_MS
        for since_ns in leases.live_since_ns.values()
    ]
    due_times_ns.append(leases.last_spread_ns + SPREAD_INTERVAL_MS * NS_PER_MS)
    if leases.out_since_ns is not None:
        due_times_ns.append(leases.out_since_ns + OUT_GRACE_MS * NS_PER_MS)
    yield from (due_time_ns for due_time_ns in due_times_ns if due_time_ns > now_ns)
    if is_fill_check_needed(leases):
        fill_ns = leases.fill_checked_ns + FILL_INTERVAL_MS * NS_PER_MS
        yield max(fill_ns, now_ns + FILL_RUN_DELAY_MIN_MS * NS_PER_MS)
