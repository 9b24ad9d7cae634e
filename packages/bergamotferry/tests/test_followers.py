"""Control hosts together list every live follower once, and drop silent ones."""

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

NS_PER_MS = 1_000_000
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
    rate_per_s = 3.0
    control_hosts = [Followers() for _ in range(3)]
    groups = [HOSTS[0:9], HOSTS[9:14], HOSTS[14:18]]
    for followers, group in zip(control_hosts, groups, strict=True):
        for host in group:
            record_follower(followers, host, 0)
    for number, followers in enumerate(control_hosts):
        for other_number, group in enumerate(groups):
            if other_number != number:
                record_reported_followers(followers, f"c{other_number}", group, 0)
    rng = random.Random(1)
    rates = {host: ColdRate() for host in HOSTS}
    sends_ns: list[int] = []
    for now_ns in range(0, 3000 * NS_PER_MS, NS_PER_MS):
        for followers, group in zip(control_hosts, groups, strict=True):
            known_hosts = all_followers(followers, 0)
            host = rng.choice(group)
            rank, rate = known_hosts.index(host), rates[host]
            if may_send_cold(rate, rate_per_s, len(known_hosts), rank, now_ns):
                record_send(rate, now_ns)
                sends_ns.append(now_ns)
    n_in_busiest_second = max(
        sum(start_ns <= sent_ns < start_ns + 1000 * NS_PER_MS for sent_ns in sends_ns)
        for start_ns in sends_ns
    )
    assert 0 < n_in_busiest_second <= rate_per_s * 1.5 + 8
    # All hosts know the same list here, so their sends stay within the rate itself.
    assert n_in_busiest_second <= rate_per_s
