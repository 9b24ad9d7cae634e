"""Compacts a group's log: replaces applied entries by a snapshot of the tables.

The tables are copied on the event loop, so that no command changes them during the
copy, and the copy is encoded on a thread.
"""

import asyncio

from bergamotferry.replication import (
    Replica,
    Snapshot,
    compact_log,
    membership_at,
    term_at,
)

from .background import report_failure
from .group_state import Group
from .logs import log
from .table_snapshot import encode_tables, freeze_tables

# The log is compacted when its size exceeds LOG_TO_SNAPSHOT_RATIO times the snapshot's,
# clamped to LOG_MIN_BYTES and LOG_MAX_BYTES, or when it has more than LOG_MAX_ENTRIES
# applied entries.
LOG_MIN_BYTES = 64 * 1024
LOG_MAX_BYTES = 8 * 1024 * 1024
LOG_MAX_ENTRIES = 16_384
LOG_TO_SNAPSHOT_RATIO = 4


def compact_if_over_limit(group: Group, replica: Replica) -> None:
    """Start to compact a log over its limits, unless a compaction is running."""
    snapshot_bytes = len(replica.snapshot.data) if replica.snapshot else 0
    limit_bytes = min(
        LOG_MAX_BYTES, max(LOG_MIN_BYTES, LOG_TO_SNAPSHOT_RATIO * snapshot_bytes)
    )
    n_entries = group.applied_index - replica.snapshot_index
    is_over_limit = replica.log_size_bytes > limit_bytes or n_entries > LOG_MAX_ENTRIES
    if is_over_limit and n_entries > 0 and group.compaction_task is None:
        compaction = _compact(group, replica)
        group.compaction_task = asyncio.get_running_loop().create_task(compaction)
        group.compaction_task.add_done_callback(report_failure)


async def _compact(group: Group, replica: Replica) -> None:
    """Replace the applied entries by a snapshot, which is encoded on a thread."""
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
        group.compaction_task = None
        group.wake_event.set()
