"""How many voters a group needs, and why it has no leader.

An operator who sees a group without a leader has to tell three causes apart: too few
voters run, voters don't grant their votes, or a membership that is not committed needs
other voters than the one before.
"""

from typing import NamedTuple

from ..messages import Member, Membership
from .state import Replica


class Standstill(NamedTuple):
    """Why a group has no leader, as one of its voters sees it.

    ``n_needed`` votes of ``voters`` are needed; ``missing`` are the voters that granted
    none. ``uncommitted`` is the membership that counts although it is not known to be
    committed, or None.
    """

    n_needed: int
    voters: tuple[Member, ...]
    missing: tuple[Member, ...]
    uncommitted: Membership | None


def quorum_size(n_voters: int) -> int:
    """Return how many of a number of voters are a majority."""
    return n_voters // 2 + 1


def vote_margin(replica: Replica, now_ns: int, max_silence_ns: int) -> int:
    """Return how many voters more than a majority the leader has heard recently.

    Parameters
    ----------
    replica : Replica
        The leader's replica.
    now_ns : int
        Current time.
    max_silence_ns : int
        Age in ns of the newest acknowledgement of a voter that counts.
    """
    voters = replica.membership.voters
    n_heard = sum(
        voter == replica.own_member
        or now_ns - replica.peers[voter].acknowledged_ns < max_silence_ns
        for voter in voters
    )
    return n_heard - quorum_size(len(voters))


def describe_standstill(replica: Replica, granted: frozenset[Member]) -> Standstill:
    """Return why a voter of a group without a leader can't be elected.

    Parameters
    ----------
    replica : Replica
        The voter's replica.
    granted : frozenset of Member
        The voters that granted it a vote or a pre-vote lately.
    """
    voters = replica.membership.voters
    index, newest = replica.memberships[-1]
    return Standstill(
        quorum_size(len(voters)),
        voters,
        tuple(voter for voter in voters if voter not in granted),
        newest if index > replica.commit_index else None,
    )
