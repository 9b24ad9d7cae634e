"""Decides how far a host that has just started must catch up before it serves.

A restarted host has an old configuration or none. It asks the voters of the global
group and the hosts of its own data centre for their status. It serves no caller until
it has applied all log entries that any of these hosts knows to be committed, and the
highest revision that any of them has in force. So its answers never fall back to an
older configuration than earlier answers had.

The status of a leader is required, and the leader must have applied an entry of its own
term. The statuses of a majority of followers aren't enough: each of these followers may
have restarted from an old snapshot and know no later entry.
"""

from collections.abc import Iterable
from typing import NamedTuple

from .messages import HostStatus


class CatchUpTarget(NamedTuple):
    """The log index and the revision that a host must apply before it serves."""

    log_index: int
    revision: int


def catch_up_target(statuses: Iterable[HostStatus], group: str) -> CatchUpTarget | None:
    """Return how far a host must catch up, or None if no settled leader has answered.

    A leader is settled once it has applied an entry of its own term.

    Parameters
    ----------
    statuses : iterable of HostStatus
        Statuses received so far.
    group : str
        Name of the global group.
    """
    received = list(statuses)
    group_statuses = {
        status.host: group_status
        for status in received
        for group_status in status.groups
        if group_status.group == group
    }
    settled_hosts = {
        status.host for status in received if group in status.settled_groups
    }
    if not any(
        group_statuses[host].role == "leader"
        for host in settled_hosts & group_statuses.keys()
    ):
        return None
    revision = max(status.revision for status in received)
    log_index = max(
        group_status.commit_index for group_status in group_statuses.values()
    )
    return CatchUpTarget(log_index, revision)


def is_caught_up(target: CatchUpTarget, applied_index: int, revision: int) -> bool:
    """Return whether a host has reached the index and the revision of its target."""
    return applied_index >= target.log_index and revision >= target.revision
