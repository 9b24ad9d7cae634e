"""Three groups in one process, with disks and a network in memory."""

import asyncio
import errno
import random

import pytest

from bergamotferry.commands import FinishHandover
from bergamotferry.messages import (
    FetchLog,
    FetchSnapshot,
    JoinGroup,
    Member,
    Membership,
    Propose,
)
from bergamotferry.outcomes import Accepted
from bergamotferry.records import HostAddress, ShardId
from bergamotferry.replication import Replica
from bergamotferry_host import group as group_module
from bergamotferry_host.disk_log import DiskLog, persist, recover_log
from bergamotferry_host.group import (
    Group,
    answer_propose,
    commit,
    hand_over_leadership,
    post,
)
from bergamotferry_host.group_members import answer_join, run_group
from bergamotferry_host.group_reader import answer_fetch, answer_fetch_snapshot
from bergamotferry_host.peer_link import PeerUnreachable

NAMES = ("a", "b", "c")
SEEDS = {name: HostAddress(name, "x", "r", "", True) for name in NAMES}
WAIT_S = 10.0


class Tables:
    """Counts the commands; a dataclass in all but name for the snapshots."""

    def __init__(self):
        self.n_applied = 0


def apply_command(tables, command):
    tables.n_applied += 1
    return Accepted(tables.n_applied)


class Network:
    """Delivers within the process."""

    addresses = SEEDS

    def __init__(self, own_name, groups):
        self.own_name = own_name
        self.groups = groups

    def notify(self, host, message):
        if host in self.groups:
            asyncio.get_running_loop().call_soon(post, self.groups[host], message)

    async def call(self, host, message, timeout_s):
        group = self.groups.get(host)
        if group is None:
            raise PeerUnreachable(host)
        match message:
            case Propose():
                return await answer_propose(group, message)
            case FetchLog():
                return await answer_fetch(group, message)
            case FetchSnapshot():
                return answer_fetch_snapshot(group, message)
            case JoinGroup():
                return answer_join(group, message)


class Cluster:
    """Three running groups."""

    def __init__(self, folder):
        self.folder = folder
        self.groups = {}
        members = tuple(Member(name, "1", True) for name in NAMES)
        for me in members:
            replica = Replica(
                "dc:x", me, Membership(members, ()), random.Random(me.host)
            )
            network = Network(me.host, self.groups)
            group = Group(
                "dc:x", Tables(), apply_command, network, list(NAMES), replica
            )
            group.disk_log = DiskLog.from_path(folder, me.host)
            self.groups[me.host] = group

    async def __aenter__(self):
        self.tasks = [
            asyncio.create_task(run_group(group)) for group in self.groups.values()
        ]
        return self

    async def __aexit__(self, *_):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def leader(self):
        groups = self.groups.values()
        await wait_until(lambda: any(group.is_leader for group in groups))
        return next(group for group in groups if group.is_leader)


def command(number):
    return FinishHandover(ShardId("s", "", number), 1)


async def wait_until(condition):
    for _ in range(int(WAIT_S / 0.02)):
        if condition():
            return
        await asyncio.sleep(0.02)
    raise TimeoutError


def test_many_commits_share_a_sync(tmp_path):
    async def run():
        async with Cluster(tmp_path) as cluster:
            leader = await cluster.leader()
            n_before = leader.disk_log.n_syncs
            outcomes = await asyncio.gather(
                *(commit(leader, command(number)) for number in range(200))
            )
            assert all(isinstance(outcome, Accepted) for outcome in outcomes)
            return leader.disk_log.n_syncs - n_before

    assert asyncio.run(run()) <= 20


def test_commit_is_on_two_disks_when_it_is_acknowledged(tmp_path, monkeypatch):
    """Also when the commit races the write: the disk is slow and fails no test."""

    async def run():
        async with Cluster(tmp_path) as cluster:
            leader = await cluster.leader()
            for number in range(5):
                await commit(leader, command(number))
                n_holding = 0
                for name in NAMES:
                    found = recover_log(DiskLog.from_path(tmp_path, name)).entries
                    n_holding += any(e.payload == command(number) for e in found)
                assert n_holding >= 2

    asyncio.run(run())


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EROFS, errno.EIO])
def test_voter_whose_disk_fails_stops_voting_and_goes_on_as_a_reader(
    tmp_path, monkeypatch, number
):
    async def run():
        async with Cluster(tmp_path) as cluster:
            broken = await cluster.leader()
            old = broken.replica.me

            def fail_on_one(disk_log, unpersisted):
                if disk_log.name == old.host:
                    raise OSError(number, "disk failed")
                persist(disk_log, unpersisted)

            monkeypatch.setattr(group_module, "persist", fail_on_one)
            others = [group for group in cluster.groups.values() if group != broken]
            await commit(others[0], command(1))
            await wait_until(lambda: broken.has_failed_disk)
            outcome = await commit(others[0], command(2), WAIT_S)
            assert isinstance(outcome, Accepted)
            assert broken.replica.me != old and not broken.is_leader
            # It reads on, so that its host can serve.
            await wait_until(
                lambda: broken.tables.n_applied == others[0].tables.n_applied
            )

    asyncio.run(run())


def test_leadership_is_handed_over_without_an_election_timeout(tmp_path):
    async def run():
        async with Cluster(tmp_path) as cluster:
            old = await cluster.leader()
            await commit(old, command(1))
            term = old.replica.term
            assert await hand_over_leadership(old)
            new = await cluster.leader()
            assert new is not old and new.replica.term == term + 1
            assert isinstance(await commit(old, command(2)), Accepted)

    asyncio.run(run())
