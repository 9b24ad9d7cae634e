"""A control host confirms its state as of before it asked the leader."""

import asyncio
from random import Random
from types import SimpleNamespace

import pytest

from bergamotferry.accounts import Account
from bergamotferry.configuration import CallerLimits, Configuration
from bergamotferry.fleet_messages import FollowFleet, ReadIndex, ReadIndexReply
from bergamotferry.fleet_tables import FleetTables
from bergamotferry.messages import LogEntry, Member, Membership
from bergamotferry.replication import Replica
from bergamotferry_host import fleet_control
from bergamotferry_host.accounts import confirmation
from bergamotferry_host.accounts.confirmation import confirm_state, reported_age_ms
from bergamotferry_host.fleet_control import ControlHost
from bergamotferry_host.fleet_feed import answer_follow
from bergamotferry_host.fleet_settings import FleetBounds, FleetSettings
from bergamotferry_host.peer_link import PeerUnreachable

OWN, LEADER = "1.1.1.1", "1.1.1.2"
MS = 1_000_000
START_NS = 50_000 * MS
SETTINGS = FleetSettings(
    OWN, "c", "a", "n", {"a": "n"}, 1, (OWN,), bounds=FleetBounds(is_fail_closed=True)
)
ANN = Account("ann", (b"1",), None, (), 0.0, 0.0)


class ControlWorld:
    """A control host with a clock that moves only when the test says so.

    ``reply`` is what the leader answers, after ``took_ms``; None is no answer.
    """

    def __init__(self, monkeypatch, settings=SETTINGS):
        self.now_ns = START_NS
        self.reply = ReadIndexReply(7, LEADER)
        self.took_ms = 0
        self.asked = []
        monkeypatch.setattr(confirmation, "now_ns", lambda: self.now_ns)
        monkeypatch.setattr(fleet_control, "now_ns", lambda: self.now_ns)
        monkeypatch.setattr(confirmation, "CONFIRM_TIMEOUT_S", 0.01)
        member = Member(OWN, "1", True)
        replica = Replica("global", member, Membership((), ()), Random(1))
        replica.term = 3
        replica.log = [LogEntry(number, 3, None) for number in range(1, 8)]
        self.group = SimpleNamespace(
            replica=replica,
            tables=FleetTables(),
            is_leader=False,
            leader=LEADER,
            applied_index=7,
            applied=asyncio.Condition(),
        )
        network = SimpleNamespace(call=self.call)
        self.host = ControlHost(settings, network, self.group, lambda source: [], "p")

    async def call(self, name, message, timeout_s):
        assert (name, type(message)) == (LEADER, ReadIndex)
        self.asked.append(self.now_ns)
        self.now_ns += self.took_ms * MS
        if self.reply is None:
            raise PeerUnreachable(name)
        return self.reply

    def confirm(self):
        """Let the control host ask once; return as of when its state is confirmed."""
        asyncio.run(confirm_state(self.host))
        return self.host.confirmed_ns


def test_confirmation_counts_from_before_the_leader_was_asked(monkeypatch):
    """Guards against changes acknowledged while the reply was on its way."""
    world = ControlWorld(monkeypatch)
    world.took_ms = 3_000
    assert world.confirm() == START_NS
    assert world.asked == [START_NS]
    assert reported_age_ms(world.host) == 3_000


@pytest.mark.parametrize(
    ("reply", "applied_index"),
    [
        (None, 7),
        (ReadIndexReply(-1, ""), 7),
        (ReadIndexReply(8, LEADER), 7),
        ("something else", 7),
    ],
)
def test_nothing_is_confirmed_without_the_leaders_index_applied_here(
    monkeypatch, reply, applied_index
):
    world = ControlWorld(monkeypatch)
    world.confirm()
    world.now_ns += 1_000 * MS
    world.reply = reply
    world.group.applied_index = applied_index
    assert world.confirm() == START_NS
    # The age goes on to grow, also if the process was frozen meanwhile.
    world.now_ns += 60_000 * MS
    assert reported_age_ms(world.host) == 61_000


def test_leader_confirms_by_its_lease_only(monkeypatch):
    """Guards against a deposed leader that goes on to vouch for its state."""
    world = ControlWorld(monkeypatch)
    world.group.is_leader = True
    world.group.replica.commit_index = 7
    assert world.confirm() == START_NS
    assert world.asked == []
    world.now_ns += 1_000 * MS
    world.group.is_leader, world.group.leader = False, OWN
    assert world.confirm() == START_NS


def follow(host):
    message = FollowFleet("h", "a", "", 0, -1, 0, 0)
    return asyncio.run(answer_follow(host, message))


def test_reply_to_a_follower_has_the_age_as_of_its_tables(monkeypatch):
    world = ControlWorld(monkeypatch)
    assert follow(world.host).confirmed_age_ms == -1
    world.confirm()
    world.now_ns += 250 * MS + 1
    assert follow(world.host).confirmed_age_ms == 251


def test_age_is_reported_only_where_the_settings_or_accounts_call_for_it(monkeypatch):
    """Guards against messages that hosts of the version before can't read."""
    world = ControlWorld(monkeypatch, SETTINGS._replace(bounds=FleetBounds()))
    world.host.confirmed_ns = START_NS
    assert follow(world.host).confirmed_age_ms == -1
    world.host.configuration = Configuration.from_rows(1, [], [], CallerLimits(), [ANN])
    assert follow(world.host).confirmed_age_ms == 0


def test_loss_and_return_of_confirmation_are_logged_once(monkeypatch, caplog):
    caplog.set_level("INFO", "bergamotferry")
    world = ControlWorld(monkeypatch)
    world.confirm()
    world.reply = None
    for _ in range(12):
        world.now_ns += 200 * MS
        world.confirm()
    world.reply = ReadIndexReply(7, LEADER)
    world.confirm()
    lines = [(record.message, record.age_ms) for record in caplog.records]
    assert lines == [("state not confirmed", 1_200), ("state confirmed again", 2_400)]
