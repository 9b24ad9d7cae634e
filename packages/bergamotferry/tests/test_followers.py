import random

from bergamotferry.cold_rate import ColdRate, may_send_cold, record_send
from bergamotferry.followers import (
    FOLLOWER_EXPIRY_NS,
    REPORT_EXPIRY_NS,
    Follower,
    Followers,
    all_followers,
    own_followers,
    record_follower,
    record_reported_followers,
)

MS = 1_000_000
HOSTS = tuple(Follower(f"h{number:02}", "a") for number in range(18))


def test_followers_of_all_control_hosts_are_listed_once():
    followers = Followers()
    record_follower(followers, HOSTS[1], 0)
    record_reported_followers(followers, "c2", [HOSTS[0], HOSTS[1]], 0)
    record_reported_followers(followers, "c3", [HOSTS[2]], 0)
    assert all_followers(followers, 0) == HOSTS[:3]
    assert own_followers(followers, 0) == (HOSTS[1],)
    # A new report of a control host replaces its earlier one.
    record_reported_followers(followers, "c3", [], 0)
    assert all_followers(followers, 0) == HOSTS[:2]


def test_silent_followers_and_old_reports_expire():
    followers = Followers()
    record_follower(followers, HOSTS[0], 0)
    record_reported_followers(followers, "c2", [HOSTS[1]], 0)
    assert all_followers(followers, FOLLOWER_EXPIRY_NS + 1) == (HOSTS[1],)
    assert all_followers(followers, REPORT_EXPIRY_NS + 1) == ()


def test_hosts_behind_several_control_hosts_keep_the_rate_of_a_cold_upstream():
    """18 hosts that follow three control hosts may send 1.5 times the rate plus 8."""
    per_s = 3.0
    controls = [Followers() for _ in range(3)]
    groups = [HOSTS[0:9], HOSTS[9:14], HOSTS[14:18]]
    for followers, group in zip(controls, groups, strict=True):
        for row in group:
            record_follower(followers, row, 0)
    for number, followers in enumerate(controls):
        for other, group in enumerate(groups):
            if other != number:
                record_reported_followers(followers, f"c{other}", group, 0)
    rng = random.Random(1)
    rates = {row: ColdRate() for row in HOSTS}
    sent: list[int] = []
    for now in range(0, 3000 * MS, MS):
        for followers, group in zip(controls, groups, strict=True):
            known = all_followers(followers, 0)
            row = rng.choice(group)
            rank, rate = known.index(row), rates[row]
            if may_send_cold(rate, per_s, len(known), rank, now):
                record_send(rate, now)
                sent.append(now)
    busiest = max(
        sum(start_ns <= sent_ns < start_ns + 1000 * MS for sent_ns in sent)
        for start_ns in sent
    )
    assert 0 < busiest <= per_s * 1.5 + 8
    # All hosts know the same list here, so the rate itself is kept.
    assert busiest <= per_s
