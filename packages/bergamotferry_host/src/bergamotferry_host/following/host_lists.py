"""Sends the lists of hosts to a follower when they change, and now and then again.

The lists make up most of a reply without news. A reply may be lost, so a follower gets
them again before it takes the hosts in them for gone (`fleet_changes.HOST_EXPIRY_NS`).
An empty list means that nothing has changed.
"""

from typing import NamedTuple

REPEAT_INTERVAL_NS = 2_000_000_000
# Followers that have left are forgotten, with all others, beyond this number.
N_FOLLOWERS_MAX = 8_192


class HostLists(NamedTuple):
    """The control hosts, and the hosts of a follower's data centre."""

    control_hosts: tuple[str, ...] = ()
    local_hosts: tuple[str, ...] = ()


class SentLists(NamedTuple):
    """The lists that a follower was sent last, and when."""

    lists: HostLists
    sent_ns: int


def lists_to_send(
    sent: dict[str, SentLists],
    follower: str,
    lists: HostLists,
    is_known_follower: bool,
    now_ns: int,
) -> HostLists:
    """Return the lists for a reply, which are empty if they need not be repeated.

    Parameters
    ----------
    sent : dict of str to SentLists
        What each follower was sent last; updated in place.
    follower : str
        Name of the follower.
    lists : HostLists
        The lists as they are now.
    is_known_follower : bool
        Whether the follower has a reply of this process. If not, it gets the lists.
    now_ns : int
        Current time in nanoseconds.
    """
    known = sent.get(follower)
    is_recent = known is not None and now_ns - known.sent_ns < REPEAT_INTERVAL_NS
    if is_known_follower and is_recent and known is not None and known.lists == lists:
        return HostLists()
    if len(sent) >= N_FOLLOWERS_MAX:
        sent.clear()
    sent[follower] = SentLists(lists, now_ns)
    return lists
