"""What the ledger counts for one account: sends of the last window, and shares.

The load is an account of which up to 90 hosts hold shares and report sends, several
times a second each, late or for the last time.
"""

from dataclasses import dataclass, field

from .leases import CLOCK_MARGIN_SHARE, LEASE_LEDGER_NS, NS_PER_MS, NS_PER_S
from .messages import ShareReport
from .send_counts import SendCounts, add_sends

# Hosts that have not asked for this long hold nothing, and must report in full again.
HOST_RETENTION_NS = 60 * NS_PER_S


@dataclass(slots=True)
class HostShare:
    """What one process of a host may still send for an account, and until when.

    ``n_sent`` is its last reported total. ``n_assumed`` are sends that were counted
    when the share expired, and that may be in a later report.
    """

    n_held: int = 0
    expires_ns: int = 0
    n_sent: int = 0
    n_assumed: int = 0


@dataclass(slots=True)
class AccountBook:
    """Sends and shares of one account.

    ``n_known_before`` is how many sends of the sum of the previous ledger were
    reported. ``is_old`` is whether the previous ledger may have granted any.
    """

    is_old: bool
    sent: SendCounts = field(default_factory=SendCounts)
    shares: dict[str, HostShare] = field(default_factory=dict)
    n_held: int = 0
    next_expiry_ns: int = 0
    n_known_before: int = 0


def record_report(
    book: AccountBook, process: str, row: ShareReport, now_ns: int
) -> None:
    """Count the sends that are new in a report, and what the host still holds."""
    share = book.shares.get(process)
    n_reported = sum(n_sends for n_sends, _, _ in row.recent)
    n_new = n_reported if share is None else row.n_sent - share.n_sent
    if share is None:
        share = book.shares[process] = HostShare()
    # After its share had expired, the host could send no more.
    n_new = max(0, n_new - share.n_assumed)
    share.n_assumed = 0
    n_dated = 0
    for n_sends, newest_ms, _ in row.recent:
        n_sends = min(n_sends, n_new - n_dated)
        age_ns = int(newest_ms * NS_PER_MS * (1 - CLOCK_MARGIN_SHARE))
        add_sends(book.sent, n_sends, now_ns - age_ns)
        n_dated += max(0, n_sends)
    add_sends(book.sent, n_new - n_dated, now_ns)
    share.n_sent = row.n_sent
    set_held(book, share, row.n_held, now_ns)


def set_held(book: AccountBook, share: HostShare, n_held: int, now_ns: int) -> None:
    """Set what a host may still send; its share is valid for a lease from now on."""
    book.n_held += n_held - share.n_held
    share.n_held = n_held
    share.expires_ns = now_ns + LEASE_LEDGER_NS
    if not book.next_expiry_ns:
        book.next_expiry_ns = share.expires_ns


def expire_shares(book: AccountBook, now_ns: int) -> None:
    """Count what expired shares held as sent when they expired."""
    for process, share in list(book.shares.items()):
        if share.expires_ns > now_ns:
            continue
        add_sends(book.sent, share.n_held, share.expires_ns)
        share.n_assumed += share.n_held
        book.n_held -= share.n_held
        share.n_held = 0
        if now_ns - share.expires_ns > HOST_RETENTION_NS:
            del book.shares[process]
    book.next_expiry_ns = min(
        (share.expires_ns for share in book.shares.values() if share.n_held),
        default=now_ns + LEASE_LEDGER_NS,
    )
