"""How far a host that has just started must catch up before it serves.

A host that restarts knows an old configuration, or none. It asks the voters of the
global group and its neighbours, and serves no caller until it has applied all that a
leader, or a majority of the voters, knows to be committed, and the highest revision
that any of them has in force. So no answer of the host reverts what an earlier one
told.

A voter's word counts only once it has applied an entry of its own term: before that,
after a restart of the whole deployment, it does not know what its predecessors
committed.
"""

from collections.abc import Iterable
from typing import NamedTuple

from .messages import GroupStatus, HostStatus


class CatchUpTarget(NamedTuple):
    """The log index and the revision that must be applied first."""

    log_index: int
    revision: int


def catch_up_target(
    statuses: Iterable[HostStatus], group: str, voters: Iterable[str]
) -> CatchUpTarget | None:
    """Return how far to catch up, or None if too few hosts have answered.

    Parameters
    ----------
    statuses : iterable of HostStatus
        The answers that came.
    group : str
        Name of the global group.
    voters : iterable of str
        Names of its voters as far as this host knows; an answer that knows a later
        membership goes before them.
    """
    answers = list(statuses)
    views = {
        status.host: view
        for status in answers
        for view in status.groups
        if view.group == group
    }
    revision = max((status.revision for status in answers), default=0)
    log_index = max((view.commit_index for view in views.values()), default=0)
    settled = {status.host for status in answers if group in status.settled_groups}
    if any(views[host].role == "leader" for host in settled & views.keys()):
        return CatchUpTarget(log_index, revision)
    members = _latest_voters(views, tuple(voters))
    if 2 * len(settled.intersection(members)) > len(members):
        return CatchUpTarget(log_index, revision)
    return None


def is_caught_up(target: CatchUpTarget, applied_index: int, revision: int) -> bool:
    """Return whether a host has applied what it must before it serves."""
    return applied_index >= target.log_index and revision >= target.revision


def _latest_voters(
    views: dict[str, GroupStatus], voters: tuple[str, ...]
) -> tuple[str, ...]:
    known = [view for view in views.values() if view.voters]
    if not known:
        return voters
    return max(known, key=lambda view: view.commit_index).voters
