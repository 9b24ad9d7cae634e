"""The ledger of shares on the leader, and questions of hosts on their way to it.

A control host that does not lead forwards a question to the leader. Only a leader with
a valid lease answers, and each term has a ledger of its own.
"""

import asyncio
from dataclasses import dataclass, field

from bergamotferry.quota.caps import Cap, QuotaRules, cap_of, has_cap
from bergamotferry.quota.ledger import (
    Ledger,
    answer_question,
    forget_accounts,
    settled_after_ns,
    unknown_until_ns,
)
from bergamotferry.quota.messages import AskShares, SharesReply
from bergamotferry.replication import Replica, term_at

from ..clock import now_ns
from ..fleet_control import ControlHost, is_caught_up_leader
from ..leader_calls import forward_to_leader
from ..logs import log
from .state import quota_rules

WATCH_INTERVAL_S = 0.05
# The term in force and the one before.
N_TERMS_KEPT = 2


@dataclass(slots=True)
class LeaderQuota:
    """What a control host knows of terms, and its ledger if it leads.

    ``terms_seen`` are the last terms of which an entry was applied here, each with when
    that was first seen. ``caps`` are the limits in the configuration ``caps_version``.
    """

    terms_seen: list[tuple[int, int]] = field(default_factory=list)
    ledger: Ledger | None = None
    caps: dict[str, Cap] = field(default_factory=dict)
    caps_version: int = -1


async def run_share_ledger(host: ControlHost, quota: LeaderQuota) -> None:
    """Observe terms, and begin a ledger as soon as this host leads, until cancelled."""
    while True:
        record_term(host, quota)
        current_ledger(host, quota)
        await asyncio.sleep(WATCH_INTERVAL_S)


async def answer_shares(
    host: ControlHost, quota: LeaderQuota, message: AskShares
) -> SharesReply | None:
    """Answer a host's question as the leader, or forward it to the leader.

    Returns None if no leader answers, or if the question is outdated.
    """
    # Read before the check of the lease: what is granted counts from then.
    now = now_ns()
    if is_caught_up_leader(host):
        ledger = current_ledger(host, quota)
        if ledger is None:
            return None
        _refresh_caps(host, quota, ledger)
        return answer_question(ledger, quota.caps, message, now)
    reply = await forward_to_leader(host, message)
    return reply if isinstance(reply, SharesReply) else None


def record_term(host: ControlHost, quota: LeaderQuota) -> None:
    """Record when entries of a term were first seen to be applied here.

    A ledger counts from the election of its leader, which is before any entry of its
    term. So it is at least as old as what is recorded here.
    """
    replica, applied_index = host.group.replica, host.group.applied_index
    term = term_at(replica, applied_index)
    last_term = quota.terms_seen[-1][0] if quota.terms_seen else 0
    if term is None or term <= last_term:
        return
    # Entries of several terms may have been applied since: a new leader often learns
    # only by its election that those of the previous one are committed.
    terms = {e.term for e in replica.log if e.log_index <= applied_index}
    terms.add(replica.snapshot_term)
    seen_ns = now_ns()
    quota.terms_seen += [(new, seen_ns) for new in sorted(terms) if new > last_term]
    del quota.terms_seen[:-N_TERMS_KEPT]


def current_ledger(host: ControlHost, quota: LeaderQuota) -> Ledger | None:
    """Return the ledger of the present term, which may begin now; None if none can."""
    replica = host.group.replica
    if not is_caught_up_leader(host):
        return None
    if quota.ledger is not None and quota.ledger.term == replica.term:
        return quota.ledger
    if host.configuration.version != host.tables.configuration_version:
        # Which accounts had a cap before is not known yet.
        return None
    record_term(host, quota)
    rules = quota_rules(host.settings.bounds)
    n_leaders_before = _n_leaders_before(replica)
    capped = _caps(host, rules) if n_leaders_before else {}
    before = [seen_ns for term, seen_ns in quota.terms_seen if term < replica.term]
    # By then the lease of any other leader had ended.
    began_ns = replica.elected_ns
    is_settled = bool(before) and began_ns - before[-1] >= settled_after_ns(rules)
    # The first leader of all has no unknown rest, so it needs no reserve.
    is_settled |= n_leaders_before == 1
    quota.ledger = Ledger(
        f"{host.process_id} {replica.term}",
        replica.term,
        began_ns,
        rules,
        frozenset(capped),
        is_settled,
    )
    quota.caps_version = -1
    if host.configuration.accounts:
        unknown_ns = unknown_until_ns(quota.ledger) - now_ns() if capped else 0
        log(
            "share ledger began",
            term=replica.term,
            n_unknown=len(capped),
            unknown_for_ms=max(0, unknown_ns) // 1_000_000,
            has_reserve=is_settled,
        )
    return quota.ledger


def _n_leaders_before(replica: Replica) -> int:
    """Return how many earlier leaders can have granted anything; 2 stands for more.

    Before one does, an entry of its term is committed, so it is in this log.
    """
    if replica.snapshot_index > 0:
        return 2
    return min(2, len({entry.term for entry in replica.log} - {replica.term}))


def _refresh_caps(host: ControlHost, quota: LeaderQuota, ledger: Ledger) -> None:
    version = host.configuration.version
    if quota.caps_version != version:
        quota.caps = _caps(host, ledger.rules)
        quota.caps_version = version
        forget_accounts(ledger, quota.caps)


def _caps(host: ControlHost, rules: QuotaRules) -> dict[str, Cap]:
    accounts = host.configuration.accounts
    return {row.name: cap_of(row, rules) for row in accounts if has_cap(row)}
