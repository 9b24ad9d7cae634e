"""A host's share: permits, expiry, demand, and what it reports and asks."""

import pytest

from bergamotferry.quota.leases import LEASE_NS
from bergamotferry.quota.messages import ShareGrant, ShareReport, SharesReply
from bergamotferry.quota.questions import (
    HostShares,
    apply_reply,
    next_question,
    share_of,
)
from bergamotferry.quota.shares import (
    N_ENTRIES_MAX,
    AccountShare,
    apply_grant,
    begin_full_report,
    begin_use,
    cancel_use,
    end_use,
    record_demand,
    report_share,
    return_permit,
    take_permit,
    use_permit,
)

MS = 1_000_000
NS_PER_S = 1_000_000_000
NOW_NS = 1_000 * NS_PER_S
WINDOW_NS = 5 * NS_PER_S


def share_with(n_left, asked_ns=NOW_NS):
    return AccountShare(n_left=n_left, expires_ns=asked_ns + LEASE_NS)


def report(share, now_ns, n_waiting=0, is_full=False):
    return report_share(share, "a", n_waiting, WINDOW_NS, now_ns, is_full)


def test_permit_counts_when_its_request_is_written_and_not_before():
    share = share_with(2)
    generation = take_permit(share, NOW_NS)
    assert (share.n_left, share.n_held, share.n_sent) == (1, 2, 0)
    assert use_permit(share, generation, NOW_NS + MS)
    assert (share.n_left, share.n_held, share.n_sent) == (1, 1, 1)
    second = take_permit(share, NOW_NS)
    assert take_permit(share, NOW_NS) is None
    return_permit(share, second)
    assert (share.n_left, share.n_held, share.n_sent) == (1, 1, 1)


def test_share_and_permits_are_void_once_the_share_has_expired():
    """Guards against a host that was frozen between a permit and its send."""
    share = share_with(3)
    expired_ns = NOW_NS + LEASE_NS
    generation = take_permit(share, NOW_NS)
    assert not use_permit(share, generation, expired_ns)
    assert take_permit(share, expired_ns) is None
    assert (share.n_held, share.n_sent) == (0, 0)
    # Neither does it come back with the next share.
    apply_grant(
        share,
        ShareReport("a", 0, (), 0, 1, 0),
        ShareGrant("a", 1, 0, 0),
        expired_ns,
        expired_ns,
    )
    return_permit(share, generation)
    assert share.n_left == 1
    assert not use_permit(share, generation, expired_ns)


def test_request_that_another_host_sends_counts_when_that_is_over():
    """Guards against a fetch that waits at a control host and counts as long ago."""
    share = share_with(2)
    generation = take_permit(share, NOW_NS)
    assert begin_use(share, generation, NOW_NS)
    assert (share.n_held, share.n_sent) == (2, 0)
    end_use(share, generation, NOW_NS + 300 * MS)
    assert (share.n_held, share.n_sent) == (1, 1)
    assert share.sends[-1] == (NOW_NS + 300 * MS, 1)


def test_request_under_way_elsewhere_counts_as_sent_when_the_share_expires():
    share = share_with(2)
    generation = take_permit(share, NOW_NS)
    begin_use(share, generation, NOW_NS)
    assert report(share, NOW_NS + LEASE_NS).n_sent == 1
    end_use(share, generation, NOW_NS + LEASE_NS + MS)
    assert share.n_sent == 1


def test_request_that_another_host_did_not_send_keeps_its_permit():
    share = share_with(1)
    generation = take_permit(share, NOW_NS)
    begin_use(share, generation, NOW_NS)
    cancel_use(share, generation, NOW_NS + MS)
    assert (share.n_held, share.n_sent) == (1, 0)
    assert use_permit(share, generation, NOW_NS + MS)


def test_host_refuses_without_a_question_only_if_the_leader_is_sure():
    """Guards against 429 for requests below the cap while a leader is new."""
    for is_sure in (True, False):
        share = AccountShare()
        sent = ShareReport("a", 0, (), 0, 1, 0)
        apply_grant(share, sent, ShareGrant("a", 0, 0, 200, is_sure), NOW_NS, NOW_NS)
        assert (share.refused_until_ns > 0) is is_sure


def test_lease_counts_from_the_question():
    """Guards against a share that is valid longer than the leader counts it."""
    share = AccountShare()
    sent = ShareReport("a", 0, (), 0, 1, 0)
    replied_ns = NOW_NS + 700 * MS
    apply_grant(share, sent, ShareGrant("a", 5, 0, 0), NOW_NS, replied_ns)
    assert share.expires_ns == NOW_NS + LEASE_NS
    # A reply that waited for longer than the lease grants nothing.
    late = AccountShare()
    replied_ns = NOW_NS + LEASE_NS
    apply_grant(late, sent, ShareGrant("a", 5, 0, 0), NOW_NS, replied_ns)
    assert take_permit(late, replied_ns) is None


def test_what_is_taken_back_is_what_no_request_has():
    share = share_with(5)
    take_permit(share, NOW_NS)
    sent = ShareReport("a", 0, (), 5, 0, 0)
    apply_grant(share, sent, ShareGrant("a", -9, 0, 300), NOW_NS, NOW_NS)
    assert (share.n_left, share.n_taken) == (0, 1)
    assert share.refused_until_ns == NOW_NS + 300 * MS


def test_reported_ages_bound_the_true_ones():
    """Guards against sends that the leader drops from its window too early."""
    share = share_with(100)
    times_ns = [NOW_NS + offset * MS for offset in (0, 3, 15, 22, 300, 301, 999)]
    for sent_ns in times_ns:
        use_permit(share, take_permit(share, sent_ns), sent_ns)
    now_ns = NOW_NS + 1_200 * MS
    recent = report(share, now_ns).recent
    assert sum(n_sends for n_sends, _, _ in recent) == len(times_ns)
    left = sorted(times_ns, reverse=True)
    for n_sends, newest_ms, oldest_ms in recent:
        ages_ns = [now_ns - left.pop(0) for _ in range(n_sends)]
        assert newest_ms * MS <= min(ages_ns)
        assert max(ages_ns) <= oldest_ms * MS
    assert left == []


def test_reports_are_short_however_many_sends_they_contain():
    share = share_with(10_000)
    for number in range(4_000):
        sent_ns = NOW_NS + number * MS
        share.expires_ns = sent_ns + LEASE_NS
        use_permit(share, take_permit(share, sent_ns), sent_ns)
    for is_full in (False, True):
        recent = report(share, NOW_NS + 4_000 * MS, is_full=is_full).recent
        assert len(recent) <= N_ENTRIES_MAX
        assert sum(n_sends for n_sends, _, _ in recent) == 4_000


def test_sends_are_reported_once_and_again_to_a_new_ledger():
    share = share_with(10)
    use_permit(share, take_permit(share, NOW_NS), NOW_NS)
    first = report(share, NOW_NS + 100 * MS)
    assert first.n_sent == 1 and len(first.recent) == 1
    apply_grant(share, first, ShareGrant("a", 0, 0, 0), NOW_NS, NOW_NS + 100 * MS)
    again = report(share, NOW_NS + 200 * MS)
    assert (again.n_sent, again.recent) == (1, ())
    begin_full_report(share, WINDOW_NS, NOW_NS + 300 * MS)
    assert len(report(share, NOW_NS + 300 * MS, is_full=True).recent) == 1
    # Sends that have left the window are of no use to it.
    later_ns = NOW_NS + WINDOW_NS + NS_PER_S
    begin_full_report(share, WINDOW_NS, later_ns)
    assert report(share, later_ns, is_full=True).recent == ()


def test_stock_follows_demand_and_horizon():
    """Guards against shares that stay where requests came from a moment ago."""
    share = share_with(0)
    for number in range(40):
        record_demand(share, NOW_NS + number * 50 * MS)
    now_ns = NOW_NS + 2_000 * MS
    share.expires_ns = now_ns + LEASE_NS
    assert report(share, now_ns).n_stock == 0
    share.horizon_ms = 500
    assert 8 <= report(share, now_ns).n_stock <= 10
    share.n_left = 30
    assert 8 <= report(share, now_ns).n_held <= 10
    assert report(share, now_ns + 4_000 * MS).n_held == 0


def hosts_question(state, now_ns=NOW_NS, **n_waiting):
    return next_question(state, n_waiting, now_ns)


def accepted(question, ledger="l", n_more=0):
    rows = tuple(ShareGrant(row.account, n_more, 0, 0) for row in question.rows)
    return SharesReply(ledger, 77, True, rows)


@pytest.fixture
def state():
    return HostShares("h", "p", WINDOW_NS)


def test_host_with_nothing_to_say_asks_nothing(state):
    share_of(state, "a")
    assert hosts_question(state) is None


def test_sends_of_an_account_without_a_cap_are_reported_for_a_window_only(state):
    """Guards against questions without end on accounts that no longer have a cap."""
    state.is_full_due = False
    share = share_of(state, "a")
    share.n_left, share.expires_ns = 1, NOW_NS + LEASE_NS
    use_permit(share, take_permit(share, NOW_NS), NOW_NS)
    question = hosts_question(state, NOW_NS + MS)
    assert [row.recent[0][0] for row in question.rows] == [1]
    reply = SharesReply("l", 77, True, ())
    assert apply_reply(state, question, reply, NOW_NS + MS, NOW_NS + MS)
    assert hosts_question(state, NOW_NS + WINDOW_NS // 2) is not None
    assert hosts_question(state, NOW_NS + WINDOW_NS + 100 * MS) is None


def test_first_question_is_full_and_later_ones_name_the_ledger(state):
    share_of(state, "a")
    question = hosts_question(state, a=1)
    assert (question.number, question.is_full, question.ledger) == (1, True, "")
    assert apply_reply(state, question, accepted(question, n_more=1), NOW_NS, NOW_NS)
    use_permit(state.shares["a"], take_permit(state.shares["a"], NOW_NS), NOW_NS)
    question = hosts_question(state, NOW_NS + MS)
    assert (question.number, question.is_full, question.ledger) == (2, False, "l")
    assert question.stamp_ns == 77


def test_full_report_has_all_accounts_and_is_repeated_until_it_is_accepted(state):
    """Guards against a new leader that hears of the account asked for only."""
    for name in ("a", "b"):
        share = share_of(state, name)
        share.n_left, share.expires_ns = 2, NOW_NS + LEASE_NS
        use_permit(share, take_permit(share, NOW_NS), NOW_NS)
        share.n_accepted = 1
    state.is_full_due = False
    share_of(state, "c")
    question = hosts_question(state, c=1)
    assert [row.account for row in question.rows] == ["c"]
    refused = SharesReply("l2", 99, False, ())
    assert not apply_reply(state, question, refused, NOW_NS, NOW_NS)
    for _ in range(2):
        question = hosts_question(state, c=1)
        assert question.is_full and question.ledger == "l2"
        assert question.stamp_ns == 99
        rows = {row.account: row for row in question.rows}
        assert rows.keys() == {"a", "b", "c"}
        assert rows["a"].recent == ((1, 0, 0),)
    assert apply_reply(state, question, accepted(question, "l2"), NOW_NS, NOW_NS)
    assert not state.is_full_due


def test_shares_are_renewed_in_time_for_a_second_question(state):
    share = share_of(state, "a")
    state.is_full_due = False
    share.n_left, share.expires_ns = 1, NOW_NS + LEASE_NS
    assert hosts_question(state, NOW_NS) is None
    due_ns = NOW_NS + LEASE_NS // 3 + MS
    share.horizon_ms, share.demand_per_s, share.demand_ns = 1_500, 1.0, due_ns
    question = hosts_question(state, due_ns)
    assert [row.n_held for row in question.rows] == [1]
    apply_reply(state, question, accepted(question), due_ns, due_ns)
    assert share.expires_ns == due_ns + LEASE_NS
