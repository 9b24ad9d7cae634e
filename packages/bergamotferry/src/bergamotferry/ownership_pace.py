"""When the ownership systems need to look at the tables again.

They read every row, and find the same as before unless the tables, what hosts reported,
or the weights have changed, or a lease or a timer has run out. Renewals only put a
lease's end off, so the earliest end that was seen stays a safe time to look again.
"""

from collections.abc import Hashable, Iterator
from dataclasses import dataclass

from .dispatcher_spread import SPREAD_INTERVAL_MS, SPREAD_LIVE_MS
from .leases import NS_PER_MS, LeaseTable
from .ownership import FILL_INTERVAL_MS, OUT_GRACE_MS, is_fill_open

# Whatever is missed here is found by a look after so long.
LOOK_INTERVAL_MS = 1000
PLACING_INTERVAL_MS = 100


@dataclass(slots=True)
class OwnershipPace:
    """What was looked at last, and when to look again."""

    seen: Hashable = None
    n_changes: int = 0
    due_ns: int = 0


def is_look_due(
    pace: OwnershipPace, leases: LeaseTable, seen: Hashable, now_ns: int
) -> bool:
    """Return whether the systems must run; ``seen`` is the state of the tables."""
    has_changed = leases.tables_changed_ns is None or seen != pace.seen
    if has_changed:
        pace.seen = seen
        leases.tables_changed_ns = now_ns
    has_changed = has_changed or pace.n_changes != leases.n_changes
    pace.n_changes = leases.n_changes
    return has_changed or now_ns >= pace.due_ns


def note_look(
    pace: OwnershipPace, leases: LeaseTable, has_acted: bool, now_ns: int
) -> None:
    """Note that the systems ran, and when they must at the latest run again."""
    # What was decided may not come about, as when the group loses its leader.
    pace.due_ns = now_ns if has_acted else min(_timers(leases, now_ns))


def _timers(leases: LeaseTable, now_ns: int) -> Iterator[int]:
    yield now_ns + LOOK_INTERVAL_MS * NS_PER_MS
    ends = [lease.expires_ns for lease in leases.hosts.values()]
    ends += [lease.expires_ns for lease in leases.sessions.values()]
    ends += [
        since_ns + SPREAD_LIVE_MS * NS_PER_MS
        for since_ns in leases.live_since_ns.values()
    ]
    ends.append(leases.spread_ns + SPREAD_INTERVAL_MS * NS_PER_MS)
    if leases.out_since_ns is not None:
        ends.append(leases.out_since_ns + OUT_GRACE_MS * NS_PER_MS)
    yield from (end_ns for end_ns in ends if end_ns > now_ns)
    if is_fill_open(leases):
        fill_ns = leases.fill_checked_ns + FILL_INTERVAL_MS * NS_PER_MS
        yield max(fill_ns, now_ns + PLACING_INTERVAL_MS * NS_PER_MS)
