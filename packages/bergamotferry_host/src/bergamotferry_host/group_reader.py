"""Fetches committed entries and snapshots for a replica that no leader sends them to.

A reader fetches all the time. A member fetches when it has had no contact with a leader
for ``LEADER_SILENCE_MAX_NS``: it may have been removed from the group without having
received the entry that removed it.
"""

import asyncio

from bergamotferry.messages import (
    FetchLog,
    FetchLogReply,
    FetchSnapshot,
    FetchSnapshotReply,
    Membership,
)
from bergamotferry.replication import (
    Replica,
    Snapshot,
    append_committed,
    entries_within,
    install_snapshot,
)

from .clock import now_ns
from .group import wait_applied
from .group_state import Group
from .peer_link import PeerUnreachable

FETCH_WAIT_MS = 1000
FETCH_TIMEOUT_S = 2.0
FETCH_MAX_BYTES = 512 * 1024
CHUNK_MAX_BYTES = 256 * 1024
FETCH_PAUSE_S = 0.05
MEMBER_POLL_S = 0.2
LEADER_SILENCE_MAX_NS = 700_000_000


async def run_reader(group: Group) -> None:
    """Fetch whenever no leader sends entries to this host, until cancelled."""
    source_number = 0
    while True:
        if has_leader_contact(group.replica) or not _should_fetch(group):
            await asyncio.sleep(MEMBER_POLL_S)
            continue
        others = [host for host in group.sources if host != group.network.own_name]
        if not others:
            await asyncio.sleep(MEMBER_POLL_S)
            continue
        source = others[source_number % len(others)]
        message = FetchLog(group.name, group.replica.commit_index, FETCH_WAIT_MS)
        try:
            reply = await group.network.call(source, message, FETCH_TIMEOUT_S)
            is_useful = await _apply_reply(group, source, reply)
        except PeerUnreachable:
            is_useful = False
        if not is_useful:
            source_number += 1
            await asyncio.sleep(FETCH_PAUSE_S)


def has_leader_contact(replica: Replica) -> bool:
    """Return whether this host is a member that leads or has recent leader contact."""
    members = replica.membership.voters + replica.membership.learners
    if replica.own_member not in members:
        return False
    is_recent = now_ns() - replica.leader_contact_ns < LEADER_SILENCE_MAX_NS
    return replica.role == "leader" or is_recent


async def answer_fetch(group: Group, message: FetchLog) -> FetchLogReply:
    """Return committed entries after an index.

    Waits up to ``message.wait_ms`` for the first entry. If the entries after the index
    are compacted, the reply has none and names the snapshot's index instead.
    """
    applied_index = await wait_applied(
        group, message.after_index + 1, message.wait_ms / 1000
    )
    replica = group.replica
    if message.after_index < replica.snapshot_index:
        return FetchLogReply(
            group.name, (), replica.snapshot_index, b"", applied_index, group.leader
        )
    entries = entries_within(
        replica, message.after_index + 1, applied_index, FETCH_MAX_BYTES
    )
    return FetchLogReply(group.name, entries, 0, b"", applied_index, group.leader)


def answer_fetch_snapshot(group: Group, message: FetchSnapshot) -> FetchSnapshotReply:
    """Return a chunk of the newest snapshot.

    The chunk starts at the requested offset, or at 0 if the request names another
    snapshot. Without a snapshot, all indexes of the reply are 0.
    """
    snapshot = group.replica.snapshot
    if snapshot is None:
        return FetchSnapshotReply(group.name, 0, 0, Membership((), ()), 0, 0, b"")
    is_same_snapshot = snapshot.last_index == message.last_index
    offset = message.offset_bytes if is_same_snapshot else 0
    return FetchSnapshotReply(
        group.name,
        snapshot.last_index,
        snapshot.last_term,
        snapshot.membership,
        len(snapshot.data),
        offset,
        snapshot.data[offset : offset + CHUNK_MAX_BYTES],
    )


def _should_fetch(group: Group) -> bool:
    """Return whether this host reads the group's log.

    A host of another data centre reads it only while the host is a member.
    """
    membership = group.replica.membership
    is_member = group.replica.own_member in membership.voters + membership.learners
    return group.reads_log or is_member


async def _apply_reply(group: Group, source: str, reply: object) -> bool:
    """Apply a source's reply; return whether to fetch from this source again."""
    if not isinstance(reply, FetchLogReply):
        return False
    group.leader_hint = reply.leader or group.leader_hint
    if reply.snapshot_index > group.replica.commit_index:
        return await _fetch_snapshot(group, source)
    append_committed(group.replica, reply.entries, reply.commit_index, now_ns())
    group.wake_event.set()
    # A source that knows no leader may be partitioned from the other members.
    return bool(reply.entries or reply.leader)


async def _fetch_snapshot(group: Group, source: str) -> bool:
    data = bytearray()
    last_index = 0
    while True:
        message = FetchSnapshot(group.name, last_index, len(data))
        reply = await group.network.call(source, message, FETCH_TIMEOUT_S)
        if not isinstance(reply, FetchSnapshotReply) or not reply.last_index:
            return False
        if reply.last_index != last_index:
            last_index = reply.last_index
            data.clear()
        if reply.offset_bytes != len(data):
            return False
        data += reply.data
        if len(data) >= reply.size_bytes:
            break
    snapshot = Snapshot(last_index, reply.last_term, reply.membership, bytes(data))
    install_snapshot(group.replica, snapshot, now_ns())
    group.wake_event.set()
    return True
