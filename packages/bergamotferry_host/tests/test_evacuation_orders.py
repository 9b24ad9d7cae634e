"""An evacuation order that was given up on never undoes a later, acknowledged one."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import pytest

from bergamotferry.fleet_commands import SetEvacuation
from bergamotferry.fleet_tables import FleetTables, apply_fleet_command
from bergamotferry.messages import OrderOrigin, Propose, ProposeReply
from bergamotferry.order_conflicts import find_order_conflict
from bergamotferry.outcomes import Accepted
from bergamotferry.result_codes import RESULT_CODE_TABLE, ResultCode
from bergamotferry_host import fleet_control
from bergamotferry_host.evacuation_orders import set_evacuation
from bergamotferry_host.fleet_control import COMMIT_TIMEOUT_S, ControlHost
from bergamotferry_host.fleet_settings import FleetSettings
from bergamotferry_host.group import transfer_leadership, wait_applied
from bergamotferry_host.group_commit import answer_propose
from bergamotferry_host.peer_link import PeerUnreachable
from bergamotferry_testkit.local_group import (
    NAMES,
    LocalGroup,
    LocalNetwork,
)

ZONE = "x"
GIVE_UP_S = 0.1
# The users' bound on the acknowledgement of an order, and an operator's pause.
ACK_S = 4.0
OPERATOR_PAUSE_S = 0.1


def is_waiting():
    """Return that the sender of an order has not left."""
    return False


def has_left():
    return True


@dataclass(slots=True)
class HeldNetwork(LocalNetwork):
    """Network that can hold back a host's proposals, or the replies to them.

    What is held back arrives later, although its caller has given up: bytes in a socket
    outlast the call that wrote them.
    """

    after_lost_reply: Callable[[], Awaitable[None]] | None = None
    can_propose: asyncio.Event = field(default_factory=asyncio.Event)
    can_reply: asyncio.Event = field(default_factory=asyncio.Event)
    proposals: list["asyncio.Task[ProposeReply]"] = field(default_factory=list)

    async def call(self, host, message, timeout_s):
        if not isinstance(message, Propose):
            return await LocalNetwork.call(self, host, message, timeout_s)
        proposal = asyncio.create_task(self._propose(host, message, timeout_s))
        self.proposals.append(proposal)
        try:
            return await asyncio.wait_for(asyncio.shield(proposal), timeout_s)
        except TimeoutError as error:
            raise PeerUnreachable(host) from error

    async def _propose(self, host, message, timeout_s):
        await self.can_propose.wait()
        reply = await LocalNetwork.call(self, host, message, timeout_s)
        after_lost_reply, self.after_lost_reply = self.after_lost_reply, None
        if after_lost_reply is not None:
            await after_lost_reply()
            raise PeerUnreachable(host)
        await self.can_reply.wait()
        return reply

    def release(self):
        """Let everything through, now and later."""
        self.can_propose.set()
        self.can_reply.set()


class World:
    """Three control hosts with logs on disk; ``leader`` leads, the others follow."""

    def __init__(self, cluster, monkeypatch):
        self.cluster = cluster
        self.monkeypatch = monkeypatch
        self.hosts = {
            name: ControlHost(
                FleetSettings(name, "c", ZONE, "n", {ZONE: "n"}, 1, NAMES),
                group.network,
                group,
                lambda source: [],
                f"p{name}",
            )
            for name, group in cluster.groups.items()
        }
        self.leader = self.other = self.cut_off = None

    @classmethod
    @contextlib.asynccontextmanager
    async def running(cls, folder, monkeypatch):
        cluster = LocalGroup.from_config(folder)
        for name, group in cluster.groups.items():
            group.tables = FleetTables()
            group.apply_command = apply_fleet_command
            group.find_conflict = find_order_conflict
            group.network = HeldNetwork(name, cluster.groups, group.network.addresses)
            group.network.release()
        async with cluster:
            world = cls(cluster, monkeypatch)
            leader = await cluster.leader()
            world.leader = world.hosts[leader.network.own_name]
            world.other, world.cut_off = (
                host for host in world.hosts.values() if host is not world.leader
            )
            yield world

    async def order(self, host, is_evacuated, give_up_s=COMMIT_TIMEOUT_S):
        with self.monkeypatch.context() as patch:
            patch.setattr(fleet_control, "COMMIT_TIMEOUT_S", give_up_s)
            return await set_evacuation(host, ZONE, is_evacuated, is_waiting)

    async def acknowledged_order(self, host, is_evacuated):
        """Order as an operator does, and wait until all hosts have read of it."""
        async with asyncio.timeout(ACK_S):
            outcome = await self.order(host, is_evacuated)
            while not isinstance(outcome, Accepted):
                assert RESULT_CODE_TABLE[outcome.code].http_status == 503
                await asyncio.sleep(OPERATOR_PAUSE_S)
                outcome = await self.order(host, is_evacuated)
        index = self.leader.group.replica.commit_index
        for other in self.hosts.values():
            await wait_applied(other.group, index, 5.0)

    async def abandoned_order(self, host, is_evacuated):
        """Order through a host whose proposal is held back until it gives up."""
        host.network.can_propose.clear()
        outcome = await self.order(host, is_evacuated, GIVE_UP_S)
        assert outcome.code == ResultCode.NO_LEADER

    async def release(self, host):
        """Let a host's proposals arrive, and return the replies to them."""
        host.network.release()
        return await asyncio.gather(*host.network.proposals)

    @property
    def is_evacuated(self):
        return ZONE in self.leader.tables.evacuated


def run_world(tmp_path, monkeypatch, scenario):
    async def run():
        async with World.running(tmp_path, monkeypatch) as world:
            return await scenario(world)

    return asyncio.run(run())


def test_abandoned_order_undoes_no_later_one(tmp_path, monkeypatch):
    """Guards against a late order that undoes an acknowledged one (review/9, EVAC)."""

    async def scenario(world):
        await world.acknowledged_order(world.other, True)
        await world.abandoned_order(world.cut_off, False)
        await world.acknowledged_order(world.other, False)
        await world.acknowledged_order(world.other, True)
        await world.release(world.cut_off)
        assert world.is_evacuated

    run_world(tmp_path, monkeypatch, scenario)


def test_abandoned_evacuation_does_not_come_back(tmp_path, monkeypatch):
    """Guards against a sound data centre that stands empty: the other direction."""

    async def scenario(world):
        await world.acknowledged_order(world.other, False)
        await world.abandoned_order(world.cut_off, True)
        await world.acknowledged_order(world.other, True)
        await world.acknowledged_order(world.other, False)
        await world.release(world.cut_off)
        assert not world.is_evacuated

    run_world(tmp_path, monkeypatch, scenario)


@pytest.mark.parametrize("is_evacuated", [True, False])
def test_order_that_changed_nothing_counts_as_a_later_one(
    is_evacuated, tmp_path, monkeypatch
):
    """Guards against a late order after one that found its state in force already."""

    async def scenario(world):
        await world.acknowledged_order(world.other, is_evacuated)
        await world.abandoned_order(world.cut_off, not is_evacuated)
        await world.acknowledged_order(world.other, is_evacuated)
        await world.release(world.cut_off)
        assert world.is_evacuated is is_evacuated

    run_world(tmp_path, monkeypatch, scenario)


def test_resend_of_a_host_undoes_no_later_order(tmp_path, monkeypatch):
    """Guards against a host that proposes an order again, with another one between.

    The first proposal is committed, and the link breaks before its reply.
    """

    async def scenario(world):
        await world.acknowledged_order(world.other, True)
        world.cut_off.network.after_lost_reply = lambda: world.acknowledged_order(
            world.other, True
        )
        outcome = await world.order(world.cut_off, False)
        assert len(world.cut_off.network.proposals) == 2
        assert world.is_evacuated
        # The operator is told to come again, and then gets what it wants.
        assert RESULT_CODE_TABLE[outcome.code].http_status == 503
        await world.acknowledged_order(world.cut_off, False)
        assert not world.is_evacuated

    run_world(tmp_path, monkeypatch, scenario)


def test_committed_order_whose_answer_was_lost_is_acknowledged_when_sent_again(
    tmp_path, monkeypatch
):
    """Guards against a refusal of an order that is in force already."""

    async def scenario(world):
        host = world.cut_off
        host.network.can_reply.clear()
        await world.order(host, True, GIVE_UP_S)
        host.network.release()
        for again in (host, world.other, world.leader):
            await world.acknowledged_order(again, True)

    run_world(tmp_path, monkeypatch, scenario)


def test_order_whose_sender_has_left_is_not_proposed(tmp_path, monkeypatch):
    """Guards against an order that waited in its own connection (review/9, EVAC)."""

    async def scenario(world):
        await world.acknowledged_order(world.other, True)
        outcome = await set_evacuation(world.leader, ZONE, False, has_left)
        assert outcome.code == ResultCode.CALLER_GONE
        assert world.is_evacuated

    run_world(tmp_path, monkeypatch, scenario)


def test_order_through_a_host_that_lags_is_taken_once_the_host_has_caught_up(
    tmp_path, monkeypatch
):
    """Guards against a host whose fresh orders are refused for good."""

    async def scenario(world):
        await world.acknowledged_order(world.other, False)
        await world.acknowledged_order(world.other, True)
        with monkeypatch.context() as patch:
            patch.setattr(world.cut_off.group, "tables", FleetTables(revision=1))
            outcome = await world.order(world.cut_off, False)
        assert outcome.code == ResultCode.ORDERED_SINCE
        assert world.is_evacuated
        await world.acknowledged_order(world.cut_off, False)
        assert not world.is_evacuated
        assert world.leader.group.n_conflicts == 1

    run_world(tmp_path, monkeypatch, scenario)


def test_new_leader_refuses_what_was_ordered_since_in_an_earlier_term(
    tmp_path, monkeypatch
):
    """Guards against a late order that a new leader commits (review/9, EVAC)."""

    async def scenario(world):
        await world.acknowledged_order(world.other, True)
        host = world.cut_off
        await world.abandoned_order(host, False)
        proposal = host.network.proposals[0]
        await world.acknowledged_order(world.other, True)
        former = world.leader
        await transfer_leadership(former.group)
        leader = await world.cluster.leader()
        host.network.release()
        await proposal
        # The order reaches whoever leads; the host knows it as soon as it is asked.
        origin = OrderOrigin("late", host.settings.name, 2, 0)
        message = Propose("dc:x", SetEvacuation(ZONE, False), origin)
        reply = await answer_propose(leader, message)
        assert reply.code == ResultCode.ORDERED_SINCE
        assert ZONE in leader.tables.evacuated

    run_world(tmp_path, monkeypatch, scenario)


def test_two_operators_who_order_at_once_both_get_their_way_in_turn(
    tmp_path, monkeypatch
):
    """Guards against operators whose orders refuse each other without end."""

    async def scenario(world):
        for _ in range(10):
            await asyncio.gather(
                world.acknowledged_order(world.cut_off, True),
                world.acknowledged_order(world.other, False),
            )

    run_world(tmp_path, monkeypatch, scenario)
