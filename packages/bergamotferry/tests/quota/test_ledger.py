"""The leader's ledger: what it counts, what it grants, and what it can't know."""

import pytest

from bergamotferry.accounts import Account
from bergamotferry.quota.caps import (
    Cap,
    QuotaRules,
    allowed_in_window,
    cap_of,
    has_cap,
)
from bergamotferry.quota.leases import LEASE_LEDGER_NS, counted_window_ns
from bergamotferry.quota.ledger import (
    Ledger,
    answer_question,
    book_of,
    forget_accounts,
    n_counted,
    n_free,
    n_unknown,
    settled_after_ns,
    unknown_until_ns,
)
from bergamotferry.quota.messages import AskShares, ShareReport

MS = 1_000_000
NS_PER_S = 1_000_000_000
BEGAN_NS = 1_000 * NS_PER_S
RULES = QuotaRules()
CAP = Cap(40, 50)
WINDOW_NS = counted_window_ns(RULES)
# The ledger counts a send until the end of its interval has left the window.
ROUNDING_NS = 40 * MS


class LedgerHarness:
    """A ledger with one account, and hosts that ask it."""

    def __init__(self, is_old=False, is_reserve_free=False, cap=CAP):
        self.cap = cap
        before = frozenset({"a"} if is_old else ())
        self.ledger = Ledger("l", 3, BEGAN_NS, RULES, before, is_reserve_free)
        self.numbers = {}

    def ask(
        self,
        now_ns,
        host="h",
        n_sent=0,
        recent=(),
        n_held=0,
        n_waiting=0,
        n_stock=0,
        **changes,
    ):
        """Return what the host is granted; None or False if it is not accepted."""
        process = changes.get("process", f"{host}.1")
        number = self.numbers[host] = self.numbers.get(host, 0) + 1
        row = ShareReport("a", n_sent, recent, n_held, n_waiting, n_stock)
        question = AskShares(host, process, number, "l", now_ns, True, (row,))
        question = question._replace(**changes)
        reply = answer_question(self.ledger, {"a": self.cap}, question, now_ns)
        if reply is None or not reply.is_accepted:
            return reply and False
        assert [grant.account for grant in reply.rows] == ["a"]
        return reply.rows[0]

    @property
    def book(self):
        return book_of(self.ledger, "a")

    def counted(self, now_ns):
        return n_counted(self.ledger, self.book, now_ns)

    def free(self, now_ns):
        return n_free(self.ledger, self.book, self.cap, now_ns)


def test_limits_follow_from_rate_burst_and_the_rules():
    account = Account("a", (), None, (), 10.0, 4.0)
    assert allowed_in_window(account, RULES) == pytest.approx(54 * 1.1 + 20)
    cap = cap_of(account, RULES)
    assert 54 <= cap.n_normal < cap.n_full < 54 * 1.1 + 20
    assert has_cap(account)
    assert not has_cap(account._replace(rate_per_s=0.0))
    strict = cap_of(account, QuotaRules(5.0, 0.0, 0.0))
    assert strict == Cap(54, 54)


@pytest.mark.parametrize(("rate_per_s", "burst"), [(1.7e308, 0.0), (1.0, 1.7e308)])
def test_cap_of_any_rate_is_a_number(rate_per_s, burst):
    """Guards against a configuration that ends each control host that leads."""
    cap = cap_of(Account("a", (), None, (), rate_per_s, burst), RULES)
    assert 10**9 < cap.n_normal <= cap.n_full
    harness = LedgerHarness(cap=cap)
    assert harness.ask(BEGAN_NS, n_waiting=3, n_stock=2).n_more == 5


def test_hosts_get_what_they_wait_for_until_nothing_is_left():
    """Guards against more sends in a window than the limit."""
    harness = LedgerHarness()
    now_ns = BEGAN_NS
    assert harness.ask(now_ns, "h1", n_waiting=30).n_more == 30
    second = harness.ask(now_ns, "h2", n_waiting=30)
    assert (second.n_more, second.retry_ms > 0) == (10, True)
    third = harness.ask(now_ns, "h3", n_waiting=1)
    assert (third.n_more, third.retry_ms > 0) == (0, True)
    assert harness.counted(now_ns) == 40


def test_a_send_counts_for_a_window_from_when_it_may_have_happened_last():
    harness = LedgerHarness()
    harness.ask(BEGAN_NS, n_waiting=40)
    # Asked 1 s later: 25 were sent up to 0.4 s before, 15 are given back.
    now_ns = BEGAN_NS + NS_PER_S
    harness.ask(now_ns, n_sent=25, recent=((25, 400, 900),))
    sent_ns = now_ns - 400 * MS
    assert harness.counted(now_ns) == 25
    assert harness.counted(sent_ns + WINDOW_NS) == 25
    assert harness.counted(sent_ns + WINDOW_NS + 8 * MS + ROUNDING_NS) == 0


def test_sends_without_an_age_count_from_the_report():
    """Guards against sends of a host whose report leaves some of them out."""
    harness = LedgerHarness()
    harness.ask(BEGAN_NS, n_waiting=40)
    now_ns = BEGAN_NS + NS_PER_S
    harness.ask(now_ns, n_sent=25, recent=((5, 400, 900),))
    assert harness.counted(now_ns - 1 + WINDOW_NS) == 20


def test_share_without_a_report_counts_as_sent_when_it_expires():
    """Guards against a lost host whose share is granted twice."""
    harness = LedgerHarness()
    harness.ask(BEGAN_NS, n_waiting=40)
    expired_ns = BEGAN_NS + LEASE_LEDGER_NS
    assert harness.counted(expired_ns + WINDOW_NS) == 40
    assert harness.counted(expired_ns + WINDOW_NS + ROUNDING_NS) == 0


def test_sends_that_a_returning_host_reports_late_count_once():
    """Guards against refusals for sends that were counted at the expiry already."""
    harness = LedgerHarness()
    harness.ask(BEGAN_NS, n_waiting=30)
    now_ns = BEGAN_NS + LEASE_LEDGER_NS + NS_PER_S
    assert harness.counted(now_ns) == 30
    grant = harness.ask(now_ns, n_sent=20, recent=((20, 1_500, 2_000),), n_waiting=3)
    assert grant.n_more == 3
    assert harness.counted(now_ns) == 33


def test_report_replaces_what_its_host_held_and_voids_a_lost_grant():
    """Guards against grants whose reply was lost, which nobody can use."""
    harness = LedgerHarness()
    harness.ask(BEGAN_NS, n_waiting=40)
    assert harness.ask(BEGAN_NS + 400 * MS, n_waiting=5).n_more == 5
    assert harness.counted(BEGAN_NS + 400 * MS) == 5


def test_outdated_question_changes_nothing():
    """Guards against a question that its host gave up, and that arrives after all."""
    harness = LedgerHarness()
    assert harness.ask(BEGAN_NS, number=2, n_waiting=5).n_more == 5
    for number in (1, 2):
        assert harness.ask(BEGAN_NS, number=number, n_held=0, n_waiting=9) is None
    assert harness.counted(BEGAN_NS) == 5


def test_restarted_host_has_nothing_and_its_share_counts_on():
    """Guards against a process that inherits, or forgets, what the one before held."""
    harness = LedgerHarness()
    harness.ask(BEGAN_NS, n_waiting=30)
    grant = harness.ask(BEGAN_NS + 500 * MS, process="h.2", n_waiting=20)
    assert grant.n_more == 10
    assert harness.counted(BEGAN_NS + 500 * MS) == 40


def test_late_first_report_of_an_earlier_process_proves_nothing_a_second_time():
    """Guards against sends of the previous ledger that are taken for known twice.

    A control host that was frozen passes on what a process reported before its end.
    """
    harness = LedgerHarness(is_old=True)
    now_ns = BEGAN_NS + 300 * MS
    harness.ask(now_ns, number=2, n_sent=5, recent=((5, 0, 100),), n_held=5)
    harness.ask(now_ns, process="h.2", number=1, n_waiting=1)
    harness.ask(now_ns, number=1, n_sent=5, recent=((5, 0, 100),), n_held=5)
    assert n_unknown(harness.ledger, harness.book, CAP, now_ns) == CAP.n_full - 10


def test_two_processes_under_one_name_are_both_known():
    """Guards against processes that make each other report in full for ever."""
    harness = LedgerHarness()
    for number in range(1, 4):
        for process in ("h.1", "h.2"):
            is_first = {"is_full": number == 1, "process": process, "number": number}
            assert harness.ask(BEGAN_NS, n_waiting=1, **is_first) is not False


@pytest.mark.parametrize(
    ("changes", "is_accepted"),
    [
        ({}, True),
        ({"ledger": "other", "n_held": 0}, True),
        ({"ledger": "other", "n_held": 1}, False),
        ({"ledger": "other", "recent": ((1, 5, 6),)}, False),
        ({"is_full": False}, False),
        ({"is_full": False, "ledger": "other"}, False),
    ],
)
def test_first_report_must_be_full_and_its_ages_need_a_stamp(changes, is_accepted):
    """Guards against a ledger that misses what a host sent or holds from before."""
    harness = LedgerHarness()
    row = {"n_held": 2, "recent": ()} | changes
    assert (harness.ask(BEGAN_NS, **row) is not False) is is_accepted


def test_known_host_that_names_another_ledger_must_report_in_full_again():
    harness = LedgerHarness()
    harness.ask(BEGAN_NS, n_waiting=5)
    assert harness.ask(BEGAN_NS, ledger="other", n_waiting=5) is False


def test_new_leader_counts_an_unknown_rest_until_old_shares_are_out_of_the_window():
    """Guards against a new leader that grants what an old one may have granted."""
    harness = LedgerHarness(is_old=True)
    until_ns = unknown_until_ns(harness.ledger)
    assert until_ns == BEGAN_NS + LEASE_LEDGER_NS + WINDOW_NS
    assert harness.free(BEGAN_NS) == 0
    assert harness.free(until_ns - 1) == 0
    assert harness.free(until_ns) == CAP.n_normal
    # An account that had no cap before can have no old shares.
    book = book_of(harness.ledger, "new")
    assert n_unknown(harness.ledger, book, CAP, BEGAN_NS) == 0


def test_reserve_is_for_a_leader_whose_predecessor_did_not_use_it():
    """Guards against leaders in a row that each grant the reserve."""
    assert LedgerHarness(is_old=True).free(BEGAN_NS) == 0
    harness = LedgerHarness(is_old=True, is_reserve_free=True)
    assert harness.free(BEGAN_NS) == CAP.n_full - CAP.n_normal
    assert settled_after_ns(RULES) == 2 * (LEASE_LEDGER_NS + WINDOW_NS)


def test_new_leader_is_not_sure_that_nothing_is_left():
    """Guards against 429 for requests below the cap while a leader is new."""
    harness = LedgerHarness(is_old=True)
    assert not harness.ask(BEGAN_NS, n_waiting=1).is_sure
    settled = LedgerHarness()
    assert settled.ask(BEGAN_NS, n_waiting=40).is_sure
    assert settled.ask(BEGAN_NS, "other", n_waiting=1).is_sure


def test_reports_of_hosts_replace_the_unknown_rest():
    """Guards against a new leader that refuses what is known to be free."""
    harness = LedgerHarness(is_old=True)
    now_ns = BEGAN_NS + 300 * MS
    harness.ask(now_ns, n_sent=30, recent=((10, 0, 100), (20, 2_000, 2_600)), n_held=8)
    assert n_unknown(harness.ledger, harness.book, CAP, now_ns) == CAP.n_full - 38
    assert harness.free(now_ns) == 0
    # When the first sends have left the window, others may be granted.
    later_ns = now_ns - 2_000 * MS + WINDOW_NS + ROUNDING_NS + 40 * MS
    harness.ask(later_ns - 1, n_sent=38, recent=((8, 1_500, 1_900),))
    assert harness.free(later_ns) == 20


def test_sends_that_may_be_older_than_the_window_prove_nothing():
    """Guards against a rest that is taken for smaller than it may be."""
    harness = LedgerHarness(is_old=True)
    now_ns = BEGAN_NS + 300 * MS
    # The report may have been written at any time after its stamp.
    stamp_ns = BEGAN_NS + 100 * MS
    recent = ((10, 4_900, 4_950), (5, 4_900, 5_050))
    harness.ask(now_ns, n_sent=15, recent=recent, stamp_ns=stamp_ns)
    assert n_unknown(harness.ledger, harness.book, CAP, now_ns) == CAP.n_full - 10
    # What a host holds may be reported later, but not twice.
    harness.ask(now_ns, n_sent=15, n_held=5)
    assert n_unknown(harness.ledger, harness.book, CAP, now_ns) == CAP.n_full - 10


def test_lowered_cap_takes_shares_back_and_grants_nothing():
    harness = LedgerHarness(cap=Cap(100, 120))
    harness.ask(BEGAN_NS, "h1", n_waiting=60)
    harness.ask(BEGAN_NS, "h2", n_waiting=30)
    harness.cap = CAP
    now_ns = BEGAN_NS + 100 * MS
    grant = harness.ask(now_ns, "h1", n_held=60, n_waiting=1)
    assert (grant.n_more, grant.horizon_ms) == (-40, 0)
    assert harness.ask(now_ns, "h1", n_held=20).n_more == 0
    assert harness.ask(now_ns, "h2", n_held=30, n_waiting=1).n_more == 0


def test_stock_is_granted_while_little_of_the_limit_is_used():
    harness = LedgerHarness()
    grant = harness.ask(BEGAN_NS, "h1", n_waiting=2, n_stock=5)
    assert (grant.n_more, grant.horizon_ms) == (7, 1_500)
    # No host gets more than a part of what is left at once.
    assert harness.ask(BEGAN_NS, "h2", n_stock=30).n_more == 8
    harness.ask(BEGAN_NS, "h3", n_waiting=18)
    grant = harness.ask(BEGAN_NS, "h4", n_waiting=1, n_stock=5)
    assert 0 < grant.horizon_ms < 1_500
    harness.ask(BEGAN_NS, "h5", n_waiting=5)
    grant = harness.ask(BEGAN_NS, "h6", n_waiting=1, n_stock=5)
    assert (grant.n_more, grant.horizon_ms) == (0, 0)


def test_pauses_of_refused_hosts_differ():
    """Guards against hosts that all ask again at the same moment."""
    harness = LedgerHarness()
    for number in range(20):
        harness.ask(BEGAN_NS, f"h{number}", n_waiting=2)
    now_ns = BEGAN_NS + 10 * MS
    pauses = {
        harness.ask(now_ns, f"h{number}", n_held=2, n_waiting=1).retry_ms
        for number in range(20)
    }
    assert len(pauses) > 3
    assert all(50 <= pause_ms <= 405 for pause_ms in pauses)


def test_accounts_without_a_cap_are_left_out_and_forgotten():
    harness = LedgerHarness()
    harness.ask(BEGAN_NS, n_waiting=1)
    row = ShareReport("uncapped", 0, (), 0, 1, 0)
    question = AskShares("h", "h.1", 9, "l", BEGAN_NS, False, (row,))
    reply = answer_question(harness.ledger, {"a": CAP}, question, BEGAN_NS)
    assert reply.rows == ()
    forget_accounts(harness.ledger, ())
    assert harness.ledger.books == {}


def test_account_that_was_idle_for_days_costs_the_leader_no_pause():
    """Guards against a step for each 20 ms that nobody sent anything."""

    class CountedDict(dict):
        n_steps = 0

        def pop(self, *args):
            CountedDict.n_steps += 1
            return super().pop(*args)

    harness = LedgerHarness()
    harness.ask(BEGAN_NS, n_sent=1, recent=((1, 0, 0),))
    harness.book.sent.by_interval = CountedDict(harness.book.sent.by_interval)
    later_ns = BEGAN_NS + 3_600 * NS_PER_S
    harness.ask(later_ns, n_sent=2, recent=((1, 0, 0),))
    assert harness.counted(later_ns) == 1
    assert CountedDict.n_steps < 10
