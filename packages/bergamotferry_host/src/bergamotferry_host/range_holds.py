"""State that the leader keeps about the holders of ranges, for one term.

A range may move only when its holder can no longer hold the keys. The times after which
this is certain are kept here for each assignment. They are carried over when a range is
split or joined: a call for a whole range granted its holder every part, and the holder
of a joined range may still hold the keys under the old tokens.
"""

import asyncio
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from bergamotferry.fleet_tables import KeyRange, range_key

from .clock import now_ns
from .range_calls import CallResult


@dataclass(slots=True)
class Hold:
    """State of one assignment under its fencing token.

    The holder may hold the range until ``until_ns``; by then, the holds of all calls
    made under the token have expired. Until ``uncertain_until_ns``, the holder may
    acquire the range again after a release: an unanswered call may take effect late,
    and its hold counts from its arrival. ``confirmed_ns`` is the time of the last
    grant that the holder confirmed. ``is_busy`` is set while a call or a commit for
    the range is in progress. ``has_ended`` is whether the holder's process is known to
    have ended, and ``is_unreachable`` whether the last call's connection was refused.
    """

    token: int
    until_ns: int
    uncertain_until_ns: int = 0
    next_renewal_ns: int = 0
    next_release_ns: int = 0
    confirmed_ns: int = 0
    is_granted: bool = False
    is_busy: bool = False
    is_released: bool = False
    has_ended: bool = False
    is_unreachable: bool = False
    release_result: CallResult = "done"
    handover: str = ""


@dataclass(slots=True)
class RangeAssignments:
    """State of range assignment, valid for one term of leadership."""

    term: int = 0
    holds: dict[str, Hold] = field(default_factory=dict)
    first_seen_ns: dict[str, int] = field(default_factory=dict)
    # When a call last found no process of an incarnation, or no listener.
    absent_ns: dict[tuple[str, int], int] = field(default_factory=dict)
    # Number of load moves in progress, by service.
    n_load_moves: Counter[str] = field(default_factory=Counter)
    # Until when the holder of a joined range may hold its keys under the old tokens.
    joined_hold_until_ns: dict[str, int] = field(default_factory=dict)
    # How long after its send a grant may let its holder hold the keys.
    grant_effect_ns: int = 0
    tasks: set[asyncio.Task[None]] = field(default_factory=set)


def current_hold(assignments: RangeAssignments, key: str, row: KeyRange) -> Hold:
    """Return the hold of a range under its current token."""
    hold = assignments.holds.get(key)
    if hold is None or hold.token != row.token:
        hold = assignments.holds[key] = _initial_hold(assignments, row)
    return hold


def _initial_hold(assignments: RangeAssignments, row: KeyRange) -> Hold:
    """Return the first hold of a range under its token.

    A range that was split off another range shares its token. Calls under that token
    may have granted these keys too, and a call for the whole range may be in flight. A
    joined range has a new token, and its holder may hold the keys of both parts under
    the old tokens. In all other cases nothing was sent yet, since only this leader
    could have sent it.
    """
    for other in assignments.holds.values():
        if other.token == row.token:
            hold = replace(other, next_renewal_ns=0, is_busy=False, is_released=False)
            if other.is_busy:
                effect_until_ns = now_ns() + assignments.grant_effect_ns
                hold.until_ns = max(hold.until_ns, effect_until_ns)
                hold.uncertain_until_ns = max(hold.uncertain_until_ns, effect_until_ns)
            return hold
    until_ns = assignments.joined_hold_until_ns.get(
        range_key(row.service, row.first_key), 0
    )
    return Hold(row.token, until_ns)


def record_split(
    assignments: RangeAssignments, parent: Hold, parts: Iterable[KeyRange]
) -> None:
    """Copy the hold of a split range to its parts.

    No call for the range may have been in flight during the split.
    """
    for row in parts:
        key = range_key(row.service, row.first_key)
        known = assignments.holds.get(key)
        if row.token == parent.token and (known is None or known.token != row.token):
            assignments.holds[key] = replace(parent, next_renewal_ns=0, is_busy=False)
