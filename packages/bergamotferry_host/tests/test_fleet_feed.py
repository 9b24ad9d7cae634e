"""Lists of hosts that followers receive, whichever control host they follow."""

import asyncio
from random import Random
from types import SimpleNamespace

from bergamotferry.fleet_commands import RetireUpstream
from bergamotferry.fleet_messages import FollowFleet, SessionNews
from bergamotferry.fleet_tables import FleetTables, apply_fleet_command
from bergamotferry.followers import Follower
from bergamotferry.messages import Member, Membership
from bergamotferry.replication import Replica
from bergamotferry.upstream_sessions import LOST_AFTER_NS, SessionRow, expire_silent
from bergamotferry_host.clock import now_ns
from bergamotferry_host.fleet_control import ControlHost
from bergamotferry_host.fleet_feed import answer_follow, apply_session_news
from bergamotferry_host.fleet_settings import FleetSettings

ROW = SessionRow("u", 5, 7, "lamps", "1.1.2.1:1", "a", 2, "ready", 0)


def control_host() -> ControlHost:
    settings = FleetSettings("1.1.1.1", "c", "a", "n", {"a": "n"}, 1, ("1.1.1.1",))
    member = Member("1.1.1.1", "1", True)
    replica = Replica("global", member, Membership((), ()), Random(1))
    group = SimpleNamespace(replica=replica, tables=FleetTables(), is_leader=False)
    return ControlHost(settings, None, group, lambda source: [], "p")


def follow(host: ControlHost, name: str, unlisted=()):
    message = FollowFleet(name, "a", "", 0, -1, 0, 0, unlisted)
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


def test_upstream_that_only_followers_know_is_listed_and_lost_by_its_silence():
    """Guards against rows that followers use and no control host ever ends."""
    host = control_host()
    assert follow(host, "h1", (ROW,)).sessions == (ROW,)
    assert follow(host, "h2").sessions == (ROW,)
    assert host.changed_rows == {"u": ROW}
    expire_silent(host.sessions, now_ns() + LOST_AFTER_NS)
    assert [row.phase for row in follow(host, "h2").sessions] == ["lost"]


def test_row_of_a_follower_revives_nothing_that_left_or_lost_its_address():
    host = control_host()
    apply_fleet_command(host.tables, RetireUpstream("u", 5, "gone"))
    next_user = ROW._replace(name="v", address="1.1.2.2:1")
    follow(host, "h1", (next_user,))
    former_user = next_user._replace(name="w", born_ms=9)
    older = next_user._replace(born_ms=4, address="1.1.2.3:1")
    reply = follow(host, "h2", (ROW, former_user, older))
    phases = [(row.name, row.born_ms, row.phase) for row in reply.sessions]
    assert phases == [("v", 5, "ready"), ("u", 5, "gone")]


def test_reply_without_news_repeats_no_lists_to_a_follower_that_has_them():
    """Guards against replies that are mostly names of hosts, several times a second."""

    async def run():
        host = control_host()
        unknown = FollowFleet("h1", "a", "", 0, -1, 0, 0)
        first = await answer_follow(host, unknown)
        assert first.local_hosts == ("h1",)
        known = unknown._replace(source="p", revision=first.revision)
        reply = await answer_follow(host, known)
        assert (reply.control_hosts, reply.local_hosts) == ((), ())
        assert reply.n_hosts_all == 1
        # A host that is new is told at once.
        await answer_follow(host, unknown._replace(host="h2"))
        assert (await answer_follow(host, known)).local_hosts == ("h1", "h2")

    asyncio.run(run())
