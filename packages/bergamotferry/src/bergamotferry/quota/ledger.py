"""The leader's ledger: what was sent for each account, and what hosts may still send.

The load is up to 85 accounts at 90 hosts: a few large ones whose demand moves between
hosts within seconds, and many whose requests come to any host, one a minute. A share is
therefore a number of sends, which may be one, and goes to the host that has a request.

The ledger counts what was sent in the last window, each send at the latest time at
which it can have happened, and all sends that hosts may still make. It grants only
while the sum is within the limit. Then no window contains more sends than the limit:
when the last one of them was granted, all others were in the sum.

A new ledger does not know what the previous one granted. The previous sum was within
its limit, so what hosts report of it leaves an unknown rest, which counts until its
shares have expired and their sends have left the window.
"""

import zlib
from collections.abc import Collection
from dataclasses import dataclass, field

from .account_book import (
    HOST_RETENTION_NS,
    AccountBook,
    expire_shares,
    record_report,
    set_held,
)
from .caps import Cap, QuotaRules
from .leases import (
    CLOCK_MARGIN_SHARE,
    LEASE_LEDGER_NS,
    NS_PER_MS,
    NS_PER_S,
    counted_window_ns,
)
from .messages import AskShares, ShareGrant, ShareReport, SharesReply
from .send_counts import drop_before

# Demand that a host holds in stock: all of it below the first use of the limit, nothing
# above the last one.
HORIZON_MAX_MS = 1_500
STOCK_USE_FIRST, STOCK_USE_LAST = 0.6, 0.95
# Stock is granted from this share of what requests that wait leave.
STOCK_GRANT_SHARE = 0.25
# How long hosts refuse without a question after they were told that nothing is left.
# The time until each host that asks can get a send lies between: longer pauses leave
# sends that become free to nobody, and shorter ones cost questions in vain.
# The pauses of hosts are spread by half of the mean, so that not all ask at once.
RETRY_MEAN_MIN_MS, RETRY_MEAN_MAX_MS = 100, 270
N_PROCESSES_MAX = 4_096


@dataclass(slots=True)
class ProcessEntry:
    """The last question of a host's process."""

    number: int
    asked_ns: int


@dataclass(slots=True)
class Ledger:
    """The ledger of one leader for one term.

    ``began_ns`` is when no previous leader could grant any more. ``capped_before`` are
    the accounts that had a cap then. ``is_reserve_free`` is whether the previous leader
    surely used no more than the limit of normal times. ``processes`` are those whose
    first report was accepted; two may have the name of one host, after a restart.
    """

    ledger_id: str
    term: int
    began_ns: int
    rules: QuotaRules
    capped_before: frozenset[str]
    is_reserve_free: bool
    processes: dict[str, ProcessEntry] = field(default_factory=dict)
    books: dict[str, AccountBook] = field(default_factory=dict)


def unknown_until_ns(ledger: Ledger) -> int:
    """Return until when sends of the previous ledger may be in the window."""
    return ledger.began_ns + LEASE_LEDGER_NS + counted_window_ns(ledger.rules)


def settled_after_ns(rules: QuotaRules) -> int:
    """Return after how long a ledger surely counts no more than in normal times."""
    return 2 * (LEASE_LEDGER_NS + counted_window_ns(rules))


def answer_question(
    ledger: Ledger, caps: dict[str, Cap], message: AskShares, now_ns: int
) -> SharesReply | None:
    """Record a host's report and grant shares; None if the question is outdated.

    Parameters
    ----------
    ledger : Ledger
        The ledger of the leader that answers.
    caps : dict of str to Cap
        The limits for the accounts that have a cap.
    message : AskShares
        The question.
    now_ns : int
        Current time, at which the leader's lease was valid.
    """
    entry = ledger.processes.get(message.process)
    if entry is not None:
        if message.number <= entry.number:
            return None
        if message.ledger != ledger.ledger_id:
            return SharesReply(ledger.ledger_id, now_ns, False, ())
    elif not _may_register(ledger, message):
        return SharesReply(ledger.ledger_id, now_ns, False, ())
    else:
        _record_known_before(ledger, message, now_ns)
    ledger.processes[message.process] = ProcessEntry(message.number, now_ns)
    _forget_old_processes(ledger, now_ns)
    rows = []
    for row in message.rows:
        cap = caps.get(row.account)
        if cap is None:
            continue
        book = book_of(ledger, row.account)
        record_report(book, message.process, row, now_ns)
        rows.append(_grant(ledger, book, cap, message.process, row, now_ns))
    return SharesReply(ledger.ledger_id, now_ns, True, tuple(rows))


def book_of(ledger: Ledger, account: str) -> AccountBook:
    """Return the book of an account."""
    book = ledger.books.get(account)
    if book is None:
        is_old = account in ledger.capped_before
        book = ledger.books[account] = AccountBook(is_old)
    return book


def forget_accounts(ledger: Ledger, accounts: Collection[str]) -> None:
    """Forget the accounts other than these; they have no cap any more."""
    for name in ledger.books.keys() - accounts:
        del ledger.books[name]


def n_counted(ledger: Ledger, book: AccountBook, now_ns: int) -> int:
    """Return what was sent in the window and may still be sent, as far as is known."""
    if book.shares and now_ns >= book.next_expiry_ns:
        expire_shares(book, now_ns)
    drop_before(book.sent, now_ns - counted_window_ns(ledger.rules))
    return book.sent.n_total + book.n_held


def n_unknown(ledger: Ledger, book: AccountBook, cap: Cap, now_ns: int) -> int:
    """Return how much of the previous ledger's sum may be in use and unreported."""
    if not book.is_old or now_ns >= unknown_until_ns(ledger):
        return 0
    n_before = cap.n_normal if ledger.is_reserve_free else cap.n_full
    return max(0, n_before - book.n_known_before)


def n_free(ledger: Ledger, book: AccountBook, cap: Cap, now_ns: int) -> int:
    """Return how many more sends may be granted; negative if too many are counted."""
    n_unreported = n_unknown(ledger, book, cap, now_ns)
    is_new = book.is_old and now_ns < unknown_until_ns(ledger)
    limit = cap.n_full if is_new else cap.n_normal
    return limit - n_unreported - n_counted(ledger, book, now_ns)


def _may_register(ledger: Ledger, message: AskShares) -> bool:
    """Return whether a report tells all that the ledger must know of a process.

    Ages of sends need a stamp of this ledger, before which the report was not written.
    """
    is_empty = not any(row.recent or row.n_held for row in message.rows)
    return message.is_full and (is_empty or message.ledger == ledger.ledger_id)


def _record_known_before(ledger: Ledger, message: AskShares, now_ns: int) -> None:
    """Record what a first report proves to be in the sum of the previous ledger."""
    if now_ns >= unknown_until_ns(ledger):
        return
    window_ns = int(ledger.rules.window_s * NS_PER_S)
    for row in message.rows:
        n_known = row.n_held
        for n_sends, _, oldest_ms in row.recent:
            age_ns = oldest_ms * NS_PER_MS * (1 + CLOCK_MARGIN_SHARE)
            # The earliest time at which they can have happened.
            if message.stamp_ns - age_ns >= ledger.began_ns - window_ns:
                n_known += n_sends
        book_of(ledger, row.account).n_known_before += n_known


def _grant(
    ledger: Ledger,
    book: AccountBook,
    cap: Cap,
    process: str,
    row: ShareReport,
    now_ns: int,
) -> ShareGrant:
    n_left = n_free(ledger, book, cap, now_ns)
    if n_left < 0:
        # After a lowered cap. The host may use what is taken back before it has the
        # reply, so the ledger counts that until the next report.
        n_excess = n_counted(ledger, book, now_ns) - cap.n_full
        retry_ms = _retry_ms(ledger, book, process, now_ns)
        is_sure = not n_unknown(ledger, book, cap, now_ns)
        return ShareGrant(row.account, -max(0, n_excess), 0, retry_ms, is_sure)
    n_more = min(row.n_waiting, n_left)
    horizon_ms = _horizon_ms(1 - (n_left - n_more) / max(1, cap.n_normal))
    if horizon_ms:
        n_more += min(row.n_stock, int((n_left - n_more) * STOCK_GRANT_SHARE))
    share = book.shares[process]
    set_held(book, share, row.n_held + n_more, now_ns)
    retry_ms = 0
    if n_more < row.n_waiting:
        retry_ms = _retry_ms(ledger, book, f"{process} {row.n_sent}", now_ns)
    is_sure = n_more >= row.n_waiting or not n_unknown(ledger, book, cap, now_ns)
    return ShareGrant(row.account, n_more, horizon_ms, retry_ms, is_sure)


def _horizon_ms(use: float) -> int:
    """Return how much demand a host may hold in stock at a use of the limit."""
    left = (STOCK_USE_LAST - use) / (STOCK_USE_LAST - STOCK_USE_FIRST)
    return int(HORIZON_MAX_MS * min(1.0, max(0.0, left)))


def _retry_ms(ledger: Ledger, book: AccountBook, seed: str, now_ns: int) -> int:
    """Return for how long a host that got nothing should refuse without a question."""
    n_asking = sum(share.expires_ns > now_ns for share in book.shares.values())
    window_ms = counted_window_ns(ledger.rules) / NS_PER_MS
    mean_ms = window_ms * n_asking / max(1, book.sent.n_total)
    mean_ms = max(RETRY_MEAN_MIN_MS, min(RETRY_MEAN_MAX_MS, mean_ms))
    return int(mean_ms * (0.5 + zlib.crc32(seed.encode()) / 2**32))


def _forget_old_processes(ledger: Ledger, now_ns: int) -> None:
    if len(ledger.processes) <= N_PROCESSES_MAX:
        return
    for name, entry in list(ledger.processes.items()):
        if now_ns - entry.asked_ns > HOST_RETENTION_NS:
            del ledger.processes[name]
