"""Feeds a replica that no leader feeds: committed entries and snapshots are fetched.

Readers fetch always; a member does so when it has heard no leader for a while, since it
may have been removed from the group without having learnt of it.
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
    accept_committed,
    entries_within,
    install_snapshot,
)

from .clock import now_ns
from .group import Group, wait_applied
from .peer_link import PeerUnreachable

FETCH_WAIT_MS = 1000
FETCH_TIMEOUT_S = 2.0
FETCH_MAX_BYTES = 512 * 1024
CHUNK_MAX_BYTES = 256 * 1024
FETCH_PAUSE_S = 0.05
MEMBER_POLL_S = 0.2
LEADER_SILENCE_NS = 700_000_000


async def run_reader(group: Group) -> None:
    """Fetch whenever no leader feeds this host, until cancelled."""
    position = 0
    while True:
        if is_fed(group.replica) or not _should_fetch(group):
            await asyncio.sleep(MEMBER_POLL_S)
            continue
        others = [host for host in group.sources if host != group.network.own_name]
        if not others:
            await asyncio.sleep(MEMBER_POLL_S)
            continue
        source = others[position % len(others)]
        message = FetchLog(group.name, group.replica.commit_index, FETCH_WAIT_MS)
        try:
            reply = await group.network.call(source, message, FETCH_TIMEOUT_S)
            is_useful = await _take(group, source, reply)
        except PeerUnreachable:
            is_useful = False
        if not is_useful:
            position += 1
            await asyncio.sleep(FETCH_PAUSE_S)


def is_fed(replica: Replica) -> bool:
    """Return whether this host is a member that leads or hears its leader."""
    members = replica.membership.voters + replica.membership.learners
    if replica.me not in members:
        return False
    is_recent = now_ns() - replica.heard_leader_ns < LEADER_SILENCE_NS
    return replica.role == "leader" or is_recent


async def answer_fetch(group: Group, message: FetchLog) -> FetchLogReply:
    """Return committed entries after an index, waiting a little for the first."""
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
    """Return a part of the newest snapshot; from its start if it is another."""
    snapshot = group.replica.snapshot
    if snapshot is None:
        return FetchSnapshotReply(group.name, 0, 0, Membership((), ()), 0, 0, b"")
    is_same = snapshot.last_index == message.last_index
    start = message.offset_bytes if is_same else 0
    return FetchSnapshotReply(
        group.name,
        snapshot.last_index,
        snapshot.last_term,
        snapshot.membership,
        len(snapshot.data),
        start,
        snapshot.data[start : start + CHUNK_MAX_BYTES],
    )


def _should_fetch(group: Group) -> bool:
    """Hosts of other data centres read a group only while they are its members."""
    membership = group.replica.membership
    is_member = group.replica.me in membership.voters + membership.learners
    return group.reads_log or is_member


async def _take(group: Group, source: str, reply: object) -> bool:
    """Take what a source answered; return whether to go on with it."""
    if not isinstance(reply, FetchLogReply):
        return False
    group.leader_hint = reply.leader or group.leader_hint
    if reply.snapshot_index > group.replica.commit_index:
        return await _fetch_snapshot(group, source)
    accept_committed(group.replica, reply.entries, reply.commit_index, now_ns())
    group.woken.set()
    # A source without a leader may be cut off from the rest.
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
    group.woken.set()
    return True
