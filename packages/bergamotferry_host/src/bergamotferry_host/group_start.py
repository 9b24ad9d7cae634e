"""Starts a group's replica, from what its disk holds if it has one."""

import random
from typing import Any

from bergamotferry.data_centre_tables import (
    DataCentreTables,
    apply_data_centre_command,
)
from bergamotferry.global_tables import GlobalTables, apply_global_command
from bergamotferry.messages import Member, Membership
from bergamotferry.records import HostAddress
from bergamotferry.replication import Replica
from bergamotferry.replication_membership import may_join

from .bootstrap import GLOBAL_GROUP, data_centre_group, first_membership
from .data_folder import DataFolder
from .disk_log import recover_log
from .group import ApplyCommand, Group
from .peer_network import PeerNetwork


def start_group(
    name: str,
    host: HostAddress,
    seeds: tuple[HostAddress, ...],
    network: PeerNetwork,
    folder: DataFolder | None,
    incarnation: str,
) -> Group:
    """Return a group with its replica, recovered from the data folder if there is one.

    Only the first start of a deployment knows members; all others learn them from the
    log, so a host that lost its disk can't take itself for a voter.
    """
    me = Member(host.name, incarnation, folder is not None)
    first = first_membership(name, seeds)
    membership = first if me in first.voters else Membership((), ())
    rng = random.Random(f"{name} {me.host} {me.incarnation}")
    replica = Replica(name, me, membership, rng)
    tables: Any = DataCentreTables()
    apply_command: ApplyCommand = apply_data_centre_command
    if name == GLOBAL_GROUP:
        tables, apply_command = GlobalTables(), apply_global_command
    sources = [voter.host for voter in first.voters]
    group = Group(name, tables, apply_command, network, sources, replica)
    group.reads_log = name in (GLOBAL_GROUP, data_centre_group(host.data_centre))
    group.may_join = may_join(name, host, seeds)
    if folder is not None:
        recover_group(group, folder)
    return group


def recover_group(group: Group, folder: DataFolder) -> None:
    """Take over what the disk holds of a group."""
    group.disk_log = folder.open_log(group.name)
    recovered = recover_log(group.disk_log)
    replica = group.replica
    replica.term = recovered.term
    replica.voted_for = recovered.voted_for
    replica.log = list(recovered.entries)
    snapshot = recovered.snapshot
    if snapshot is not None:
        replica.snapshot = snapshot
        replica.snapshot_index = snapshot.last_index
        replica.snapshot_term = snapshot.last_term
        replica.membership = snapshot.membership
