"""Three replicas of a group in one process, with disks and an in-memory network."""

import asyncio
import errno
import shutil

import pytest

from bergamotferry.outcomes import Accepted, Refused
from bergamotferry.result_codes import ResultCode
from bergamotferry_host import group as group_module
from bergamotferry_host.disk_log import (
    DiskFullError,
    DiskLog,
    persist,
    recover_log,
)
from bergamotferry_host.group import transfer_leadership
from bergamotferry_host.group_commit import commit, commit_as_leader
from bergamotferry_host.group_members import should_join
from bergamotferry_testkit.local_group import (
    NAMES,
    WAIT_S,
    LocalGroup,
    numbered_command,
    wait_until,
)


def test_concurrent_commits_share_syncs(tmp_path):
    async def run():
        async with LocalGroup.from_config(tmp_path) as cluster:
            leader = await cluster.leader()
            n_before = leader.disk_log.n_syncs
            outcomes = await asyncio.gather(
                *(commit(leader, numbered_command(number)) for number in range(200))
            )
            assert all(isinstance(outcome, Accepted) for outcome in outcomes)
            return leader.disk_log.n_syncs - n_before

    assert asyncio.run(run()) <= 20


def test_commit_is_on_two_disks_when_it_is_acknowledged(tmp_path):
    live, copy = tmp_path / "live", tmp_path / "copy"
    live.mkdir()

    async def run():
        async with LocalGroup.from_config(live) as cluster:
            leader = await cluster.leader()
            for number in range(5):
                await commit(leader, numbered_command(number))
                # The third member may still be writing, so the test reads a copy.
                shutil.copytree(live, copy, dirs_exist_ok=True)
                n_disks_with_command = 0
                for name in NAMES:
                    entries = recover_log(DiskLog.from_path(copy, name)).entries
                    n_disks_with_command += any(
                        entry.payload == numbered_command(number) for entry in entries
                    )
                assert n_disks_with_command >= 2

    asyncio.run(run())


def test_command_of_an_earlier_term_or_of_a_follower_is_not_committed(tmp_path):
    """Guards against a former leader whose command the next leader commits."""

    async def run():
        async with LocalGroup.from_config(tmp_path) as cluster:
            leader = await cluster.leader()
            term = leader.replica.term
            follower = next(
                group for group in cluster.groups.values() if group is not leader
            )
            outcomes = [
                await commit_as_leader(follower, numbered_command(1), term),
                await commit_as_leader(leader, numbered_command(2), term - 1),
                await commit_as_leader(leader, numbered_command(3), term),
            ]
            return [isinstance(outcome, Accepted) for outcome in outcomes]

    assert asyncio.run(run()) == [False, False, True]


def simulate_full_disks(monkeypatch, full_hosts):
    """Let the disks of ``full_hosts`` refuse every write while they are in the set."""

    def persist_if_there_is_space(disk_log, unpersisted):
        if disk_log.name in full_hosts:
            raise DiskFullError(errno.ENOSPC, "No space left on device")
        persist(disk_log, unpersisted)

    monkeypatch.setattr(group_module, "persist", persist_if_there_is_space)
    monkeypatch.setattr(group_module, "DISK_FULL_RETRY_S", 0.02)


def test_full_disks_one_after_the_other_leave_every_voter_in_place(
    tmp_path, monkeypatch
):
    """Guards against a group that acknowledges no order after full disks in turn.

    Each disk has space again before the next one is full, as in the users' record.
    """
    full_hosts = set()
    simulate_full_disks(monkeypatch, full_hosts)

    async def run():
        async with LocalGroup.from_config(tmp_path) as cluster:
            groups = cluster.groups
            n_committed = 0
            for name in NAMES * 2:
                full_hosts.add(name)
                other = groups[next(other for other in NAMES if other != name)]
                outcome = await commit(other, numbered_command(n_committed), WAIT_S)
                assert isinstance(outcome, Accepted)
                n_committed += 1
                await wait_until(lambda name=name: groups[name].is_disk_full)
                full_hosts.clear()
                await wait_until(lambda name=name: not groups[name].is_disk_full)
            leader = await cluster.leader()
            assert isinstance(await commit(leader, numbered_command(99)), Accepted)
            voters = {
                member.host: member.incarnation
                for member in leader.replica.membership.voters
            }
            assert voters == dict.fromkeys(NAMES, "1")
            # Each voter's log holds what the group committed.
            await wait_until(
                lambda: all(
                    group.replica.persisted_index >= leader.replica.commit_index
                    for group in groups.values()
                )
            )
        for name in NAMES:
            entries = recover_log(DiskLog.from_path(tmp_path, name)).entries
            assert any(entry.payload == numbered_command(99) for entry in entries)

    asyncio.run(run())


def test_group_tolerates_the_loss_of_another_member_after_a_full_disk(
    tmp_path, monkeypatch
):
    """Guards against a group without a majority after one full disk and one loss.

    The users saw it with real processes: one full disk, then no leader any more.
    """
    full_hosts = set()
    simulate_full_disks(monkeypatch, full_hosts)

    async def run():
        async with LocalGroup.from_config(tmp_path) as cluster:
            leader = await cluster.leader()
            own_name = leader.replica.own_member.host
            full_name, lost_name = (name for name in NAMES if name != own_name)
            full_hosts.add(full_name)
            await commit(leader, numbered_command(1), WAIT_S)
            await wait_until(lambda: cluster.groups[full_name].is_disk_full)
            full_hosts.clear()
            await wait_until(lambda: not cluster.groups[full_name].is_disk_full)
            cluster.tasks[NAMES.index(lost_name)].cancel()
            del cluster.groups[lost_name]
            outcome = await commit(leader, numbered_command(2), WAIT_S)
            assert isinstance(outcome, Accepted)

    asyncio.run(run())


def test_group_with_two_full_disks_commits_nothing_until_one_has_space(
    tmp_path, monkeypatch
):
    """Guards against an acknowledgement of what is on one disk only."""
    full_hosts = set()
    simulate_full_disks(monkeypatch, full_hosts)

    async def run():
        async with LocalGroup.from_config(tmp_path) as cluster:
            leader = await cluster.leader()
            assert isinstance(await commit(leader, numbered_command(1)), Accepted)
            own_name = leader.replica.own_member.host
            follower = next(name for name in NAMES if name != own_name)
            full_hosts.update((own_name, follower))
            outcome = await commit(leader, numbered_command(2), 1.5)
            assert isinstance(outcome, Refused)
            assert outcome.code == ResultCode.NO_LEADER
            full_hosts.discard(follower)
            outcome = await commit(leader, numbered_command(3), WAIT_S)
            assert isinstance(outcome, Accepted)

    asyncio.run(run())


def test_host_with_a_full_disk_queues_no_messages_and_requests_no_vote(
    tmp_path, monkeypatch
):
    full_hosts = set()
    simulate_full_disks(monkeypatch, full_hosts)

    async def run():
        async with LocalGroup.from_config(tmp_path) as cluster:
            leader = await cluster.leader()
            term = leader.replica.term
            follower = next(g for g in cluster.groups.values() if g is not leader)
            full_hosts.add(follower.replica.own_member.host)
            await commit(leader, numbered_command(1), WAIT_S)
            await wait_until(lambda: follower.is_disk_full)
            # The leader sends some 16 messages a second.
            await asyncio.sleep(1.0)
            assert len(follower.replica.outgoing) < 16
            assert not should_join(follower)
            assert leader.replica.term == term and leader.is_leader

    asyncio.run(run())


@pytest.mark.parametrize("error_number", [errno.EROFS, errno.EIO])
def test_voter_whose_disk_fails_stops_voting_and_continues_as_a_reader(
    tmp_path, monkeypatch, error_number
):
    async def run():
        async with LocalGroup.from_config(tmp_path) as cluster:
            broken_group = await cluster.leader()
            old_member = broken_group.replica.own_member

            def fail_on_broken_host(disk_log, unpersisted):
                if disk_log.name == old_member.host:
                    raise OSError(error_number, "disk failed")
                persist(disk_log, unpersisted)

            monkeypatch.setattr(group_module, "persist", fail_on_broken_host)
            other_groups = [
                group for group in cluster.groups.values() if group != broken_group
            ]
            await commit(other_groups[0], numbered_command(1))
            await wait_until(lambda: broken_group.has_failed_disk)
            outcome = await commit(other_groups[0], numbered_command(2), WAIT_S)
            assert isinstance(outcome, Accepted)
            assert (
                broken_group.replica.own_member != old_member
                and not broken_group.is_leader
            )
            # The replica still applies entries as a reader, so that its host can serve.
            await wait_until(
                lambda: (
                    broken_group.tables.n_applied == other_groups[0].tables.n_applied
                )
            )

    asyncio.run(run())


def test_leadership_is_handed_over_without_an_election_timeout(tmp_path):
    async def run():
        async with LocalGroup.from_config(tmp_path) as cluster:
            old_leader = await cluster.leader()
            await commit(old_leader, numbered_command(1))
            term = old_leader.replica.term
            assert await transfer_leadership(old_leader)
            new_leader = await cluster.leader()
            assert new_leader is not old_leader and new_leader.replica.term == term + 1
            assert isinstance(await commit(old_leader, numbered_command(2)), Accepted)

    asyncio.run(run())
