"""Lists of hosts that followers receive, whichever control host they follow."""

import asyncio
from random import Random
from types import SimpleNamespace

from bergamotferry.fleet_messages import FollowFleet, SessionNews
from bergamotferry.fleet_tables import FleetTables
from bergamotferry.followers import Follower
from bergamotferry.messages import Member, Membership
from bergamotferry.replication import Replica
from bergamotferry_host.fleet_control import ControlHost
from bergamotferry_host.fleet_feed import answer_follow, apply_session_news
from bergamotferry_host.fleet_settings import FleetSettings


def control_host() -> ControlHost:
    settings = FleetSettings("1.1.1.1", "c", "a", "n", {"a": "n"}, 1, ("1.1.1.1",))
    member = Member("1.1.1.1", "1", True)
    replica = Replica("global", member, Membership((), ()), Random(1))
    group = SimpleNamespace(replica=replica, tables=FleetTables(), is_leader=False)
    return ControlHost(settings, None, group, lambda source: [], "p")


def follow(host: ControlHost, name: str):
    message = FollowFleet(name, "a", "", 0, -1, 0, 0)
    return asyncio.run(answer_follow(host, message))


def test_follow_reply_lists_followers_of_other_control_hosts():
    host = control_host()
    follow(host, "h1")
    other_followers = (Follower("h2", "a"), Follower("h3", "b"))
    apply_session_news(host, SessionNews("1.1.1.2", (), (), other_followers, ()), set())
    reply = follow(host, "h1")
    assert reply.local_hosts == ("h1", "h2")
    assert reply.n_hosts_all == 3
    # Notices between digests list no followers; the last digest stays valid.
    apply_session_news(host, SessionNews("1.1.1.2", (), (), (), ()), set())
    assert follow(host, "h1").local_hosts == ("h1", "h2")
