"""Starts a group's replica from what its disk holds."""

import random

from bergamotferry.messages import Member
from bergamotferry.records import HostAddress
from bergamotferry.replication import Replica

from .bootstrap import first_membership
from .data_folder import DataFolder
from .disk_log import recover_log
from .group import Group


def start_member(
    group: Group, me: Member, seeds: tuple[HostAddress, ...], folder: DataFolder
) -> None:
    """Give a group its replica, recovered from the data folder."""
    group.disk_log = folder.open_log(group.name)
    recovered = recover_log(group.disk_log)
    replica = Replica(
        group.name,
        me,
        first_membership(group.name, seeds),
        random.Random(f"{group.name} {me.host} {me.incarnation}"),
        term=recovered.term,
        voted_for=recovered.voted_for,
        log=list(recovered.entries),
    )
    group.replica = replica
