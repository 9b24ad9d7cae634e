"""A voter that is about to stop is replaced first, if there is a host to replace it."""

import asyncio

import pytest

from bergamotferry.messages import LeaveGroup, LeaveReply
from bergamotferry.replication.voter_choice import GLOBAL_GROUP
from bergamotferry_host import group_leave
from bergamotferry_host.group import transfer_leadership
from bergamotferry_host.group_commit import commit
from bergamotferry_host.group_leave import leave_voters
from bergamotferry_host.peer_link import PeerUnreachable
from bergamotferry_testkit.local_group import (
    LocalGroup,
    LocalNetwork,
    numbered_command,
    wait_until,
)

TIMEOUT_S = 5.0


def voters_of(group):
    return {voter.host for voter in group.replica.membership.voters}


async def stop(groups, leaving):
    """Take hosts out of the group as their planned stops do; return the results."""
    stopping = [groups[name] for name in leaving]
    await asyncio.gather(*map(transfer_leadership, stopping))
    return await asyncio.gather(*(leave_voters(group, TIMEOUT_S) for group in stopping))


@pytest.mark.parametrize(
    ("more_hosts", "n_leaving"), [(("d",), 1), (("d", "e"), 2), (("d", "e", "f"), 2)]
)
def test_votes_of_stopping_hosts_move_before_they_stop(more_hosts, n_leaving, tmp_path):
    """Guards against review case 11: stopped hosts whose votes are still needed.

    The leader is among those that stop.
    """

    async def run():
        cluster = LocalGroup.from_config(tmp_path, GLOBAL_GROUP, more_hosts)
        async with cluster:
            leader = await cluster.leader()
            names = set(cluster.groups)
            await wait_until(
                lambda: (
                    (
                        {m.host for m in leader.replica.membership.learners}
                        | voters_of(leader)
                    )
                    == names
                )
            )
            own_name = leader.replica.own_member.host
            others = sorted(voters_of(leader) - {own_name})
            leaving = [own_name, *others][:n_leaving]
            results = await stop(cluster.groups, leaving)
            staying = [cluster.groups[name] for name in names - set(leaving)]
            await wait_until(lambda: any(group.is_leader for group in staying))
            leader = next(group for group in staying if group.is_leader)
            outcome = await commit(leader, numbered_command(1))
            return results, voters_of(leader) & set(leaving), outcome

    results, still_voting, _ = asyncio.run(run())
    assert all(results)
    assert not still_voting


def test_stop_waits_for_nothing_if_no_host_can_take_the_vote(tmp_path, monkeypatch):
    """Guards against planned stops that take seconds longer in vain."""
    monkeypatch.setattr(group_leave, "LEAVE_TIMEOUT_S", 60.0)

    async def run():
        async with LocalGroup.from_config(tmp_path, GLOBAL_GROUP) as cluster:
            leader = await cluster.leader()
            others = voters_of(leader) - {leader.replica.own_member.host}
            leaving = cluster.groups[min(others)]
            async with asyncio.timeout(TIMEOUT_S):
                result = await leave_voters(leaving, 60.0)
            return result, voters_of(leader)

    assert asyncio.run(run()) == (False, {"a", "b", "c"})


def test_stop_ends_in_time_if_the_leader_is_of_an_older_version(tmp_path, monkeypatch):
    """Guards against an upgrade in which a host can't stop beside older ones."""

    async def run():
        async with LocalGroup.from_config(tmp_path, GLOBAL_GROUP, ("d",)) as cluster:
            leader = await cluster.leader()
            others = voters_of(leader) - {leader.replica.own_member.host}
            leaving = cluster.groups[min(others)]

            async def call(network, host, message, timeout_s):
                raise PeerUnreachable("older version")

            monkeypatch.setattr(LocalNetwork, "call", call)
            async with asyncio.timeout(TIMEOUT_S):
                return await leave_voters(leaving, 0.3)

    assert asyncio.run(run()) is False


def test_leave_is_asked_of_the_leader_only(tmp_path):
    async def run():
        async with LocalGroup.from_config(tmp_path, GLOBAL_GROUP) as cluster:
            leader = await cluster.leader()
            name = leader.replica.own_member.host
            follower = next(
                group for host, group in cluster.groups.items() if host != name
            )
            await wait_until(lambda: follower.leader == name)
            message = LeaveGroup(GLOBAL_GROUP, follower.replica.own_member)
            return group_leave.answer_leave(follower, message), name

    reply, name = asyncio.run(run())
    assert reply == LeaveReply(False, name, False, True)
