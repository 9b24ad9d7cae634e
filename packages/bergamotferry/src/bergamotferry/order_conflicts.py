"""Finds the orders that a proposed one must not undo, because its proposer knew none.

An operator gives up on an order that is not answered, and orders something else through
another host. The first order may wait for its leader meanwhile, in a host or in a link,
and nothing about it tells how long. So a proposal names the revision that its proposer
had read when it took the order. The leader refuses it if the log holds a later order on
the same object that demands something else: that one was sent beside the proposed order
or after it, and is acknowledged or about to be. The sender of a fresh order is told to
come again, and by then its host has read what it had not.

The leader decides as it appends, which is when the order of the log is decided. What it
has not applied yet is part of the decision.
"""

from collections.abc import Iterable
from typing import NamedTuple

from .commands import Command
from .fleet_commands import SetEvacuation
from .fleet_tables import FleetTables, evacuation_ordered_at


class OrderConflict(NamedTuple):
    """The latest order on an object, which a proposer had not read.

    ``is_evacuated`` is what that order demands.
    """

    data_centre: str
    is_evacuated: bool
    revision: int


def find_order_conflict(
    tables: FleetTables,
    unapplied: Iterable[Command],
    command: Command,
    read_revision: int,
) -> OrderConflict | None:
    """Return the later order that a proposed command would undo, or None.

    An order that demands what is in force conflicts with none: it changes nothing.

    Parameters
    ----------
    tables : FleetTables
        Tables of the leader.
    unapplied : iterable of Command
        The commands in the leader's log that are not applied to the tables, in order.
    command : Command
        The proposed command.
    read_revision : int
        Revision that the proposer had read when it took the order.
    """
    if not isinstance(command, SetEvacuation):
        return None
    latest = OrderConflict(
        command.data_centre,
        command.data_centre in tables.evacuated,
        evacuation_ordered_at(tables, command.data_centre),
    )
    for revision, other in enumerate(unapplied, tables.revision + 1):
        if isinstance(other, SetEvacuation) and other[0] == command.data_centre:
            latest = OrderConflict(*other, revision)
    is_same = latest.is_evacuated == command.is_evacuated
    return None if is_same or latest.revision <= read_revision else latest
