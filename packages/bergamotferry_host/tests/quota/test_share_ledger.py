"""The ledger of a control host: when it begins, and who answers a question."""

import asyncio
from random import Random
from types import SimpleNamespace

import pytest

from bergamotferry.accounts import Account
from bergamotferry.configuration import CallerLimits, Configuration
from bergamotferry.fleet_tables import FleetTables
from bergamotferry.messages import LogEntry, Member, Membership
from bergamotferry.quota.leases import LEASE_LEDGER_NS
from bergamotferry.quota.ledger import settled_after_ns
from bergamotferry.quota.messages import AskShares, ShareReport, SharesReply
from bergamotferry.replication import Replica
from bergamotferry_host import fleet_control
from bergamotferry_host.fleet_control import ControlHost
from bergamotferry_host.fleet_settings import FleetSettings
from bergamotferry_host.peer_link import PeerUnreachable
from bergamotferry_host.quota import ledger_metrics, share_ledger
from bergamotferry_host.quota.ledger_metrics import ledger_families
from bergamotferry_host.quota.share_ledger import (
    LeaderQuota,
    answer_shares,
    current_ledger,
    record_term,
)
from bergamotferry_host.quota.state import quota_rules

OWN, OTHER = "1.1.1.1", "1.1.1.2"
NS_PER_S = 1_000_000_000
START_NS = 1_000 * NS_PER_S
SETTINGS = FleetSettings(OWN, "c", "a", "n", {"a": "n"}, 1, (OWN,))
RULES = quota_rules(SETTINGS.bounds)
ANN = Account("ann", (), None, (), 10.0, 0.0)
QUESTION = AskShares("h", "h.1", 1, "", 0, True, (ShareReport("ann", 0, (), 0, 1, 0),))


class ControlWorld:
    """A control host whose clock, lease and log the test sets."""

    def __init__(self, monkeypatch, *accounts):
        self.now_ns = START_NS
        self.calls = []
        for module in (share_ledger, fleet_control, ledger_metrics):
            monkeypatch.setattr(module, "now_ns", lambda: self.now_ns)
        replica = Replica(
            "global", Member(OWN, "1", True), Membership((), ()), Random(1)
        )
        self.group = SimpleNamespace(
            replica=replica,
            tables=FleetTables(),
            is_leader=False,
            leader=OTHER,
            applied_index=0,
        )
        network = SimpleNamespace(call=self.call)
        self.host = ControlHost(SETTINGS, network, self.group, lambda source: [], "p")
        self.quota = LeaderQuota()
        self.configure(1, *accounts)

    async def call(self, name, message, timeout_s, link_class):
        self.calls.append((name, message, link_class))
        if name != OTHER:
            raise PeerUnreachable(name)
        return SharesReply("other", 1, True, ())

    def configure(self, version, *accounts, is_decoded=True):
        self.host.tables.configuration_version = version
        if is_decoded:
            self.host.configuration = Configuration.from_rows(
                version, [], [], CallerLimits(), accounts
            )

    def see(self, term):
        """Apply an entry of a term."""
        replica = self.group.replica
        index = replica.snapshot_index + len(replica.log) + 1
        replica.log.append(LogEntry(index, term, None))
        self.group.applied_index = index
        self.group.replica.term = term
        record_term(self.host, self.quota)

    def lead(self, term):
        self.group.replica.elected_ns = self.now_ns
        self.see(term)
        self.group.is_leader, self.group.leader = True, OWN

    def answer(self, question=QUESTION):
        return asyncio.run(answer_shares(self.host, self.quota, question))

    def ledger(self):
        return current_ledger(self.host, self.quota)


def test_leader_answers_with_a_ledger_of_its_term(monkeypatch):
    world = ControlWorld(monkeypatch, ANN)
    world.lead(3)
    first = world.answer()
    assert [grant.account for grant in first.rows] == ["ann"]
    assert world.ledger().ledger_id == first.ledger
    world.lead(4)
    assert world.ledger().ledger_id != first.ledger


def test_leader_without_a_lease_grants_nothing(monkeypatch):
    """Guards against a deposed leader that grants beside the next one."""
    world = ControlWorld(monkeypatch, ANN)
    world.lead(3)
    world.answer()
    world.group.is_leader = False
    assert world.answer(QUESTION._replace(number=2)) is None
    # Nor does one that has not applied an entry of its own term.
    world.group.is_leader = True
    world.group.replica.term = 4
    assert world.answer(QUESTION._replace(number=2)) is None


def test_other_hosts_forward_a_question_once(monkeypatch):
    """Guards against questions that control hosts send around."""
    world = ControlWorld(monkeypatch, ANN)
    assert world.answer().ledger == "other"
    assert world.calls == [(OTHER, QUESTION._replace(is_forwarded=True), "records")]
    assert world.answer(QUESTION._replace(is_forwarded=True)) is None
    for leader in ("", OWN, "1.1.1.3"):
        world.group.leader = leader
        assert world.answer() is None


@pytest.mark.parametrize(
    ("known_for_ns", "is_free"),
    [
        (settled_after_ns(RULES), True),
        (settled_after_ns(RULES) - 1, False),
    ],
)
def test_reserve_needs_a_settled_leader_before(monkeypatch, known_for_ns, is_free):
    """Guards against two new leaders in a row that both grant the reserve."""
    world = ControlWorld(monkeypatch, ANN)
    world.see(1)
    world.see(2)
    world.now_ns += known_for_ns
    world.lead(3)
    assert world.ledger().is_reserve_free is is_free


def test_first_leader_of_all_used_no_reserve(monkeypatch):
    """Guards against refusals if a deployment loses its leader soon after its start."""
    world = ControlWorld(monkeypatch, ANN)
    world.see(2)
    world.lead(3)
    assert world.ledger().is_reserve_free
    world.lead(4)
    assert not world.ledger().is_reserve_free


def test_term_counts_from_when_it_was_seen_first(monkeypatch):
    world = ControlWorld(monkeypatch, ANN)
    world.see(1)
    world.see(2)
    world.now_ns += settled_after_ns(RULES)
    # Entries of the same term change nothing, those of one more term do.
    world.see(2)
    world.see(5)
    world.lead(6)
    assert not world.ledger().is_reserve_free
    # A process that has just started has seen nothing before its own term.
    started = ControlWorld(monkeypatch, ANN)
    started.group.replica.snapshot_index = 5
    started.lead(6)
    assert not started.ledger().is_reserve_free


def test_term_whose_commit_was_learned_late_counts_as_just_seen(monkeypatch):
    """Guards against the reserve beside a previous leader that was new itself.

    This host has the entry of the previous leader, and learns only with the one of its
    own term that it is committed.
    """
    world = ControlWorld(monkeypatch, ANN)
    world.see(1)
    world.see(2)
    world.now_ns += settled_after_ns(RULES)
    index = len(world.group.replica.log) + 1
    world.group.replica.log.append(LogEntry(index, 3, None))
    world.lead(4)
    assert not world.ledger().is_reserve_free


@pytest.mark.parametrize(
    ("terms_before", "snapshot_index", "capped_before"),
    [((), 0, set()), ((2,), 0, {"ann"}), ((), 9, {"ann"})],
)
def test_first_leader_of_all_has_nothing_that_it_does_not_know(
    monkeypatch, terms_before, snapshot_index, capped_before
):
    """Guards against refusals in the first seconds of a deployment.

    Its first configuration may be in force before the ledger begins.
    """
    world = ControlWorld(monkeypatch, ANN)
    world.group.replica.snapshot_index = snapshot_index
    for term in terms_before:
        world.see(term)
    world.lead(3)
    assert world.ledger().capped_before == capped_before


def test_accounts_capped_before_the_election_have_an_unknown_rest(monkeypatch):
    world = ControlWorld(monkeypatch, ANN)
    world.see(1)
    world.see(2)
    world.lead(3)
    assert world.ledger().capped_before == {"ann"}
    assert world.ledger().began_ns == START_NS
    bob = ANN._replace(name="bob")
    world.configure(2, ANN, bob)
    row = ShareReport("bob", 0, (), 0, 1, 0)
    reply = world.answer(QUESTION._replace(rows=(*QUESTION.rows, row)))
    granted = {grant.account: (grant.n_more, grant.is_sure) for grant in reply.rows}
    assert granted == {"ann": (0, False), "bob": (1, True)}


def test_no_ledger_begins_before_its_configuration_is_known(monkeypatch):
    """Guards against accounts that look as if they had had no cap before."""
    world = ControlWorld(monkeypatch, ANN)
    world.configure(2, is_decoded=False)
    world.lead(3)
    assert world.answer() is None
    world.configure(2, ANN)
    assert world.answer() is not None


def test_limits_follow_the_configuration(monkeypatch):
    world = ControlWorld(monkeypatch)
    world.lead(3)
    reply = world.answer()
    assert reply.rows == ()
    question = QUESTION._replace(ledger=reply.ledger)
    world.configure(2, ANN)
    row = QUESTION.rows[0]._replace(n_waiting=1_000)
    reply = world.answer(question._replace(number=2, rows=(row,)))
    assert 50 <= reply.rows[0].n_more < 75
    world.configure(3, ANN._replace(rate_per_s=1.0))
    row = row._replace(n_held=reply.rows[0].n_more)
    reply = world.answer(question._replace(number=3, rows=(row,)))
    assert reply.rows[0].n_more < -30
    world.configure(4, ANN._replace(rate_per_s=0.0))
    assert world.answer(question._replace(number=4)).rows == ()
    assert world.ledger().books == {}


def test_gauges_show_what_counts_on_the_leader_only(monkeypatch):
    world = ControlWorld(monkeypatch, ANN)
    assert ledger_families(world.host, world.quota) == []
    world.see(1)
    world.see(2)
    world.lead(3)
    world.answer()
    families = {f.name: f.rows for f in ledger_families(world.host, world.quota)}
    assert families["cap_counted"] == {("ann",): 0}
    assert families["cap_unknown"]["ann",] > families["cap_limit"]["ann",] - 1
    world.now_ns += settled_after_ns(RULES) + LEASE_LEDGER_NS
    families = {f.name: f.rows for f in ledger_families(world.host, world.quota)}
    assert families["cap_unknown"] == {("ann",): 0}
    world.group.is_leader = False
    assert ledger_families(world.host, world.quota) == []
