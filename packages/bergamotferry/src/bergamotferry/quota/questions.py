"""What a host asks the leader for its shares, and what it does with the reply.

The load is one question under way for each of up to 90 hosts: at once when a request
waits, and otherwise a few times a second while the host sends or holds anything.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from .messages import AskShares, SharesReply
from .shares import (
    AccountShare,
    apply_grant,
    begin_full_report,
    expire,
    has_unreported,
    is_renewal_due,
    report_share,
    skip_old_sends,
)


@dataclass(slots=True)
class HostShares:
    """The shares of one process of a host, and its place in the leader's ledger.

    A share is kept as long as the process, since the ledger knows its total of sends.
    ``ledger`` and ``stamp_ns`` are those of the last reply. While ``is_full_due``, the
    ledger does not know what this host has sent and holds.
    """

    host: str
    process: str
    window_ns: int
    shares: dict[str, AccountShare] = field(default_factory=dict)
    number: int = 0
    ledger: str = ""
    stamp_ns: int = 0
    is_full_due: bool = True


def share_of(state: HostShares, account: str) -> AccountShare:
    """Return the share of an account."""
    return state.shares.setdefault(account, AccountShare())


def next_question(
    state: HostShares, n_waiting: Mapping[str, int], now_ns: int
) -> AskShares | None:
    """Return the next question, or None if there is nothing to ask or to report.

    Parameters
    ----------
    state : HostShares
        The shares of this host.
    n_waiting : mapping of str to int
        How many requests wait for a permit, by account.
    now_ns : int
        Current time; the reply counts from then on.
    """
    is_full = state.is_full_due
    rows = []
    for account, share in state.shares.items():
        expire(share, now_ns)
        if is_full:
            begin_full_report(share, state.window_ns, now_ns)
        else:
            skip_old_sends(share, state.window_ns, now_ns)
        n_asking = n_waiting.get(account, 0)
        is_due = has_unreported(share) or is_renewal_due(share, now_ns)
        if n_asking or is_due or (is_full and share.n_held):
            rows.append(
                report_share(share, account, n_asking, state.window_ns, now_ns, is_full)
            )
    if not rows:
        return None
    state.number += 1
    return AskShares(
        state.host,
        state.process,
        state.number,
        state.ledger,
        state.stamp_ns,
        is_full,
        tuple(rows),
    )


def apply_reply(
    state: HostShares,
    question: AskShares,
    reply: SharesReply,
    asked_ns: int,
    now_ns: int,
) -> bool:
    """Apply a reply; return False if the leader needs a full report first.

    Parameters
    ----------
    state : HostShares
        The shares of this host.
    question : AskShares
        The last question; a reply to an earlier one must not be applied.
    reply : SharesReply
        The leader's reply to it.
    asked_ns : int
        When the question was sent, read before it was.
    now_ns : int
        Current time.
    """
    state.ledger, state.stamp_ns = reply.ledger, reply.stamp_ns
    state.is_full_due = not reply.is_accepted
    grants = {grant.account: grant for grant in reply.rows}
    for report in question.rows:
        grant = grants.get(report.account)
        if grant is not None:
            share = share_of(state, report.account)
            apply_grant(share, report, grant, asked_ns, now_ns)
    return reply.is_accepted
