"""A group of three voters in one process, with logs on disk and a network in memory.

It serves tests and measurements of the replicated log alone.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from bergamotferry.commands import Command, FinishHandover
from bergamotferry.messages import (
    FetchLog,
    FetchSnapshot,
    JoinGroup,
    LeaveGroup,
    Member,
    Membership,
    Propose,
)
from bergamotferry.outcomes import Accepted
from bergamotferry.records import HostAddress, ShardId
from bergamotferry.replication import Replica
from bergamotferry_host.disk_log import DiskLog
from bergamotferry_host.group import deliver_message
from bergamotferry_host.group_commit import answer_propose
from bergamotferry_host.group_leave import answer_leave
from bergamotferry_host.group_members import answer_join, run_group
from bergamotferry_host.group_reader import answer_fetch, answer_fetch_snapshot
from bergamotferry_host.group_state import Group
from bergamotferry_host.peer_link import PeerUnreachable

NAMES = ("a", "b", "c")
GROUP = "dc:x"
WAIT_S = 10.0
POLL_S = 0.02


@dataclass(slots=True)
class CountingTables:
    """Tables that only count applied commands."""

    n_applied: int = 0


@dataclass(slots=True)
class LocalNetwork:
    """Network of one member that delivers messages within the process."""

    own_name: str
    groups: dict[str, Group]
    addresses: dict[str, HostAddress]

    def address_of(self, host: str) -> HostAddress | None:
        """Return the address of a host, or None if it is unknown."""
        return self.addresses.get(host)

    def notify(self, host: str, message: Any) -> None:
        """Deliver a message in the next iteration of the event loop."""
        group = self.groups.get(host)
        if group is not None:
            asyncio.get_running_loop().call_soon(deliver_message, group, message)

    async def call(self, host: str, message: Any, timeout_s: float) -> Any:
        """Answer a call as the daemon does; ``timeout_s`` has no effect.

        Raises
        ------
        PeerUnreachable
            If the group has no such host.
        """
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
            case LeaveGroup():
                return answer_leave(group, message)


@dataclass(slots=True)
class LocalGroup:
    """Hosts of a group, three of them voters, which run while the context is open."""

    groups: dict[str, Group] = field(default_factory=dict)
    tasks: list["asyncio.Task[None]"] = field(default_factory=list)

    @classmethod
    def from_config(
        cls, folder: Path, name: str = GROUP, more_hosts: tuple[str, ...] = ()
    ) -> "LocalGroup":
        """Return a group of three voters that keep their logs in a folder.

        ``more_hosts`` are no members at first, and may join.
        """
        local_group = cls()
        hosts = (*NAMES, *more_hosts)
        members = tuple(Member(host, "1", True) for host in hosts)
        addresses = {host: HostAddress(host, "x", "r", "", True) for host in hosts}
        for member in members:
            is_voter = member.host in NAMES
            voters = members[: len(NAMES)] if is_voter else ()
            membership = Membership(voters, ())
            replica = Replica(name, member, membership, random.Random(member.host))
            network: Any = LocalNetwork(member.host, local_group.groups, addresses)
            group = Group(
                name, CountingTables(), count_command, network, list(NAMES), replica
            )
            group.is_eligible_member = not is_voter
            group.disk_log = DiskLog.from_path(folder, member.host)
            local_group.groups[member.host] = group
        return local_group

    async def __aenter__(self) -> "LocalGroup":
        self.tasks = [asyncio.create_task(run_group(g)) for g in self.groups.values()]
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def leader(self) -> Group:
        """Wait until a member is the leader and return that member."""
        groups = self.groups.values()
        await wait_until(lambda: any(group.is_leader for group in groups))
        return next(group for group in groups if group.is_leader)


def count_command(tables: CountingTables, command: Command) -> Accepted:
    """Apply a command by counting it."""
    tables.n_applied += 1
    return Accepted(tables.n_applied)


def numbered_command(number: int) -> Command:
    """Return a command that is different for each number."""
    return FinishHandover(ShardId("s", "", number), 1)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds.

    Raises
    ------
    TimeoutError
        If it does not hold within `WAIT_S`.
    """
    for _ in range(int(WAIT_S / POLL_S)):
        if condition():
            return
        await asyncio.sleep(POLL_S)
    raise TimeoutError("the condition was not met in time")
