"""Logs why a group has no leader, as long as it has none."""

from dataclasses import dataclass, field

from bergamotferry.messages import Member, Membership
from bergamotferry.replication import is_voter
from bergamotferry.replication.quorum import describe_standstill

from .clock import now_ns
from .group_state import Group
from .logs import log_warning

# Ordinary elections take less.
REPORT_AFTER_NS = 3_000_000_000
REPORT_INTERVAL_NS = 10_000_000_000


@dataclass(slots=True)
class StandstillWatch:
    """Since when a voter knows no leader, and who granted it votes since the report."""

    since_ns: int = 0
    report_due_ns: int = 0
    granted: set[Member] = field(default_factory=set)


def watch_standstill(group: Group, watch: StandstillWatch) -> None:
    """Log a warning if this voter has known no leader for `REPORT_AFTER_NS`.

    Call this several times per election timeout.
    """
    replica = group.replica
    if replica.leader is not None or not is_voter(replica):
        watch.since_ns = 0
        watch.granted.clear()
        return
    if not watch.since_ns:
        watch.since_ns = now_ns()
        watch.report_due_ns = watch.since_ns + REPORT_AFTER_NS
    if replica.role in ("pre_candidate", "candidate"):
        watch.granted |= replica.votes
    if now_ns() < watch.report_due_ns:
        return
    standstill = describe_standstill(replica, frozenset(watch.granted))
    log_warning(
        "no leader",
        group=group.name,
        n_needed=standstill.n_needed,
        voters=member_names(standstill.voters),
        no_vote_from=member_names(standstill.missing),
        uncommitted_voters=_voters_of(standstill.uncommitted),
    )
    watch.granted.clear()
    watch.report_due_ns = now_ns() + REPORT_INTERVAL_NS


def member_names(members: tuple[Member, ...]) -> list[str]:
    """Return members as texts of host and incarnation."""
    return [f"{member.host}/{member.incarnation}" for member in members]


def _voters_of(membership: Membership | None) -> list[str] | None:
    return None if membership is None else member_names(membership.voters)
