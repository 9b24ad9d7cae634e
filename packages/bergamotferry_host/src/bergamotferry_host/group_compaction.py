"""Cuts a group's log: a snapshot of the tables takes the place of applied entries.

The tables are copied on the loop, where no command can change them meanwhile, and
encoded on a thread.
"""

import asyncio
from typing import TYPE_CHECKING

from bergamotferry.replication import (
    Replica,
    Snapshot,
    compact_log,
    membership_at,
    term_at,
)

from .background import report_failure
from .logs import log
from .table_snapshot import encode_tables, freeze_tables

if TYPE_CHECKING:
    from .group import Group

# The log is cut when it outweighs the snapshot, within these bounds.
LOG_MIN_BYTES = 64 * 1024
LOG_MAX_BYTES = 8 * 1024 * 1024
LOG_MAX_ENTRIES = 16_384
LOG_PER_SNAPSHOT = 4


def compact_if_long(group: "Group", replica: Replica) -> None:
    """Begin to replace a long log by a snapshot, unless that is under way."""
    snapshot_bytes = len(replica.snapshot.data) if replica.snapshot else 0
    limit_bytes = min(
        LOG_MAX_BYTES, max(LOG_MIN_BYTES, LOG_PER_SNAPSHOT * snapshot_bytes)
    )
    n_entries = group.applied_index - replica.snapshot_index
    is_long = replica.log_size_bytes > limit_bytes or n_entries > LOG_MAX_ENTRIES
    if is_long and n_entries > 0 and group.compacting is None:
        work = _compact(group, replica)
        group.compacting = asyncio.get_running_loop().create_task(work)
        group.compacting.add_done_callback(report_failure)


async def _compact(group: "Group", replica: Replica) -> None:
    """Take a snapshot of the tables and cut the log; encoding is off the loop."""
    try:
        index = group.applied_index
        term = term_at(replica, index)
        membership = membership_at(replica, index)
        frozen = freeze_tables(group.tables)
        data = await asyncio.to_thread(encode_tables, frozen)
        if term is None or index <= replica.snapshot_index:
            return
        compact_log(replica, Snapshot(index, term, membership, data))
        replica.is_snapshot_dirty = group.disk_log is not None
        log("log compacted", group=group.name, index=index, size_bytes=len(data))
    finally:
        group.compacting = None
        group.woken.set()
