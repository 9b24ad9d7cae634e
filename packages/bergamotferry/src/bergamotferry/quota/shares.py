"""What a host may send for an account: its share, and the permits of requests.

The load is from one request a minute to some hundred a second for one account at one
host, which changes within seconds. A request takes a permit out of the share, and the
permit is used when the request is written to an upstream. A share expires on the host's
own clock, counted from when the host asked. So a host that was frozen, at any step, has
neither a share nor valid permits when it resumes.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from .leases import LEASE_NS, NS_PER_MS, NS_PER_S
from .messages import ShareGrant, ShareReport

# Sends within this time share an entry of a report.
SEND_INTERVAL_NS = 20 * NS_PER_MS
# The same for the report of a whole window, which is larger.
FULL_INTERVAL_NS = 200 * NS_PER_MS
# Reports contain no more than this many entries for an account.
N_ENTRIES_MAX = 32
# Demand counts for about this long.
DEMAND_MEAN_S = 1.0


@dataclass(slots=True)
class AccountShare:
    """What a host may send for one account, and what it has sent.

    ``n_left`` requests may still take a permit. ``n_taken`` permits have not been used,
    and ``n_under_way`` were used for requests that another host sends, which may not
    have happened yet. All of them are void from ``expires_ns`` on, in a new
    ``generation``. ``replied_ns`` is when the last question was asked whose reply has
    arrived. ``sends`` are the times and numbers of the last sends, ``n_sent`` counts
    all, and ``n_accepted`` are those that the leader has accepted a report of.
    """

    n_left: int = 0
    n_taken: int = 0
    n_under_way: int = 0
    expires_ns: int = 0
    replied_ns: int = 0
    generation: int = 0
    sends: deque[tuple[int, int]] = field(default_factory=deque)
    n_sent: int = 0
    n_accepted: int = 0
    demand_per_s: float = 0.0
    demand_ns: int = 0
    horizon_ms: int = 0
    refused_until_ns: int = 0

    @property
    def n_held(self) -> int:
        """How many sends the leader has to count as still possible."""
        return self.n_left + self.n_taken + self.n_under_way


def expire(share: AccountShare, now_ns: int) -> None:
    """Void the share and its permits if it has expired.

    Requests that another host sends may have been sent, so they count as sent.
    """
    if now_ns < share.expires_ns or not share.n_held:
        return
    _count_sends(share, share.n_under_way, now_ns)
    share.n_left = share.n_taken = share.n_under_way = 0
    share.generation += 1


def record_demand(share: AccountShare, now_ns: int) -> None:
    """Record the arrival of a request."""
    share.demand_per_s = _demand_per_s(share, now_ns) + 1 / DEMAND_MEAN_S
    share.demand_ns = now_ns


def take_permit(share: AccountShare, now_ns: int) -> int | None:
    """Take a permit; return the generation in which it is valid, or None."""
    expire(share, now_ns)
    if share.n_left <= 0:
        return None
    share.n_left -= 1
    share.n_taken += 1
    return share.generation


def return_permit(share: AccountShare, generation: int) -> None:
    """Return a permit that was not used."""
    if generation == share.generation:
        share.n_taken -= 1
        share.n_left += 1


def is_permit_valid(share: AccountShare, generation: int, now_ns: int) -> bool:
    """Return whether a permit that was taken may still be used."""
    expire(share, now_ns)
    return generation == share.generation


def use_permit(share: AccountShare, generation: int, now_ns: int) -> bool:
    """Use a permit for a request that is written now; return False if it is void."""
    if not is_permit_valid(share, generation, now_ns):
        return False
    share.n_taken -= 1
    _count_sends(share, 1, now_ns)
    return True


def begin_use(share: AccountShare, generation: int, now_ns: int) -> bool:
    """Use a permit for a request that another host sends; return False if void."""
    if not is_permit_valid(share, generation, now_ns):
        return False
    share.n_taken -= 1
    share.n_under_way += 1
    return True


def end_use(share: AccountShare, generation: int, now_ns: int) -> None:
    """Count a request as sent that another host has sent by now, or never will."""
    expire(share, now_ns)
    if generation == share.generation:
        share.n_under_way -= 1
        _count_sends(share, 1, now_ns)


def cancel_use(share: AccountShare, generation: int, now_ns: int) -> None:
    """Take a permit back from another host that has sent nothing and never will."""
    expire(share, now_ns)
    if generation == share.generation:
        share.n_under_way -= 1
        share.n_taken += 1


def is_renewal_due(share: AccountShare, now_ns: int) -> bool:
    """Return whether to renew a share, in time for a second question."""
    return share.n_held > 0 and share.expires_ns - now_ns < LEASE_NS * 2 // 3


def has_unreported(share: AccountShare) -> bool:
    """Return whether sends were made that the leader does not know of."""
    return share.n_sent > share.n_accepted


def begin_full_report(share: AccountShare, window_ns: int, now_ns: int) -> None:
    """Report all sends of the last window next, to a ledger that knows none."""
    _drop_old_sends(share, now_ns - window_ns)
    share.n_accepted = share.n_sent - _n_recent(share)


def skip_old_sends(share: AccountShare, window_ns: int, now_ns: int) -> None:
    """Leave sends that are out of the window unreported; they count nowhere.

    An account that has no cap any more gets no grant, so no report on it is accepted.
    """
    if has_unreported(share):
        _drop_old_sends(share, now_ns - window_ns)
        share.n_accepted = max(share.n_accepted, share.n_sent - _n_recent(share))


def report_share(
    share: AccountShare,
    account: str,
    n_waiting: int,
    window_ns: int,
    now_ns: int,
    is_full: bool,
) -> ShareReport:
    """Return the report on a share; what it holds beyond the demand is given back."""
    expire(share, now_ns)
    _drop_old_sends(share, now_ns - window_ns)
    demand = _demand_per_s(share, now_ns) * share.horizon_ms / 1000
    n_wanted = math.floor(demand + 0.5)
    share.n_left = min(share.n_left, n_wanted)
    interval_ns = FULL_INTERVAL_NS if is_full else SEND_INTERVAL_NS
    return ShareReport(
        account,
        share.n_sent,
        _recent_sends(share, interval_ns, now_ns),
        share.n_held,
        n_waiting,
        n_wanted - share.n_left,
    )


def apply_grant(
    share: AccountShare,
    report: ShareReport,
    grant: ShareGrant,
    asked_ns: int,
    now_ns: int,
) -> None:
    """Apply the leader's reply to a question that was asked at a time."""
    expire(share, now_ns)
    share.n_accepted = report.n_sent
    share.horizon_ms = grant.horizon_ms
    share.replied_ns = asked_ns
    if grant.retry_ms and grant.is_sure:
        share.refused_until_ns = asked_ns + grant.retry_ms * NS_PER_MS
    if report.n_held + grant.n_more <= 0 and not share.n_held:
        return
    share.n_left = max(0, share.n_left + grant.n_more)
    share.expires_ns = max(share.expires_ns, asked_ns + LEASE_NS)


def _demand_per_s(share: AccountShare, now_ns: int) -> float:
    passed_s = (now_ns - share.demand_ns) / NS_PER_S
    return share.demand_per_s * math.exp(-passed_s / DEMAND_MEAN_S)


def _count_sends(share: AccountShare, n_sends: int, now_ns: int) -> None:
    if n_sends <= 0:
        return
    share.n_sent += n_sends
    if share.sends and now_ns - share.sends[-1][0] < SEND_INTERVAL_NS:
        began_ns, n_before = share.sends.pop()
        share.sends.append((began_ns, n_before + n_sends))
    else:
        share.sends.append((now_ns, n_sends))


def _n_recent(share: AccountShare) -> int:
    return sum(n_sends for _, n_sends in share.sends)


def _drop_old_sends(share: AccountShare, before_ns: int) -> None:
    while share.sends and share.sends[0][0] + SEND_INTERVAL_NS < before_ns:
        share.sends.popleft()


def _recent_sends(
    share: AccountShare, interval_ns: int, now_ns: int
) -> tuple[tuple[int, int, int], ...]:
    """Return numbers and ages of the sends that were not accepted, the newest first.

    Each time in ``share.sends`` is that of the first of its sends.
    """
    n_left = share.n_sent - share.n_accepted
    entries: list[tuple[int, int, int]] = []
    first_ns = 0
    for sent_ns, n_sends in reversed(share.sends):
        if n_left <= 0:
            break
        n_taken = min(n_sends, n_left)
        n_left -= n_taken
        oldest_ms = -((sent_ns - now_ns) // NS_PER_MS)
        is_near = entries and first_ns - sent_ns < interval_ns
        if is_near or len(entries) == N_ENTRIES_MAX:
            n_before, newest_ms, _ = entries[-1]
            entries[-1] = n_before + n_taken, newest_ms, oldest_ms
            continue
        newest_ms = max(0, now_ns - sent_ns - SEND_INTERVAL_NS) // NS_PER_MS
        entries.append((n_taken, newest_ms, oldest_ms))
        first_ns = sent_ns
    return tuple(entries)
