"""How far a host that has just started must catch up before it serves.

A host that restarts knows an old configuration, or none. It asks the voters of the
global group and its neighbours, and serves no caller until it has applied all that the
leader knows to be committed, and the highest revision that any of them has in force. So
no answer of the host reverts what an earlier one told.

Only a leader's word counts, and only once it has applied an entry of its own term. A
majority of followers would not do: each of them may have restarted from a snapshot, and
know no more than that.
"""

from collections.abc import Iterable
from typing import NamedTuple

from .messages import HostStatus


class CatchUpTarget(NamedTuple):
    """The log index and the revision that must be applied first."""

    log_index: int
    revision: int


def catch_up_target(statuses: Iterable[HostStatus], group: str) -> CatchUpTarget | None:
    """Return how far to catch up, or None if no leader has answered.

    Parameters
    ----------
    statuses : iterable of HostStatus
        The answers that came.
    group : str
        Name of the global group.
    """
    answers = list(statuses)
    views = {
        status.host: view
        for status in answers
        for view in status.groups
        if view.group == group
    }
    settled = {status.host for status in answers if group in status.settled_groups}
    if not any(views[host].role == "leader" for host in settled & views.keys()):
        return None
    revision = max(status.revision for status in answers)
    log_index = max(view.commit_index for view in views.values())
    return CatchUpTarget(log_index, revision)


def is_caught_up(target: CatchUpTarget, applied_index: int, revision: int) -> bool:
    """Return whether a host has applied what it must before it serves."""
    return applied_index >= target.log_index and revision >= target.revision
