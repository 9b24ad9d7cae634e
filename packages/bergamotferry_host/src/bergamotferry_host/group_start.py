"""Starts a group's replica, with the state on disk if the host has a data folder."""

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
from bergamotferry.replication.voter_choice import is_eligible_member

from .bootstrap import GLOBAL_GROUP, data_centre_group, first_membership
from .data_folder import DataFolder
from .disk_log import recover_log
from .group_state import ApplyCommand, Group
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

    The initial members are known only at the first start of a deployment. At any other
    start a host learns the members from the log, so a host that lost its disk can't
    consider itself a voter.
    """
    own_member = Member(host.name, incarnation, folder is not None)
    initial = first_membership(name, seeds)
    membership = initial if own_member in initial.voters else Membership((), ())
    rng = random.Random(f"{name} {own_member.host} {own_member.incarnation}")
    replica = Replica(name, own_member, membership, rng)
    tables: Any = DataCentreTables()
    apply_command: ApplyCommand = apply_data_centre_command
    if name == GLOBAL_GROUP:
        tables, apply_command = GlobalTables(), apply_global_command
    sources = [voter.host for voter in initial.voters]
    group = Group(name, tables, apply_command, network, sources, replica)
    group.reads_log = name in (GLOBAL_GROUP, data_centre_group(host.data_centre))
    group.is_eligible_member = is_eligible_member(name, host, seeds)
    if folder is not None:
        recover_group(group, folder)
    return group


def recover_group(group: Group, folder: DataFolder) -> None:
    """Restore a group's term, vote, log and snapshot from its disk."""
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
