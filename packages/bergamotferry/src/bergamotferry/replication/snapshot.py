"""Transfer of a snapshot from the leader to a member that needs compacted entries.

A snapshot is sent in parts. The leader sends the next part when the last one was
acknowledged, and resends the current part with each heartbeat, so a lost part delays
the transfer by one heartbeat.
"""

from ..messages import InstallSnapshot, Member, SnapshotReply
from .state import (
    SNAPSHOT_PART_BYTES,
    IncomingSnapshot,
    Peer,
    Replica,
    Snapshot,
    become_follower,
    compact_log,
    queue_message,
    term_at,
)


def send_snapshot(replica: Replica, member: Member, peer: Peer, now_ns: int) -> None:
    """Send the next part of the snapshot that a member needs."""
    snapshot = replica.snapshot
    if snapshot is None:
        return
    if peer.snapshot_index != snapshot.last_index:
        peer.snapshot_index = snapshot.last_index
        peer.snapshot_offset_bytes = 0
    start = peer.snapshot_offset_bytes
    end = start + SNAPSHOT_PART_BYTES
    message = InstallSnapshot(
        replica.group,
        replica.term,
        replica.own_member,
        snapshot.last_index,
        snapshot.last_term,
        snapshot.membership,
        start,
        snapshot.data[start:end],
        end >= len(snapshot.data),
        now_ns,
    )
    queue_message(replica, member.host, message)


def on_install_snapshot(
    replica: Replica, message: InstallSnapshot, now_ns: int
) -> None:
    """Store a part of a snapshot, and install the snapshot after its last part."""
    if message.term < replica.term:
        refused_request = message._replace(sent_ns=0)
        _reply(replica, refused_request, 0, is_installed=False)
        return
    become_follower(replica, message.term, now_ns)
    replica.leader = message.leader
    replica.leader_contact_ns = now_ns
    if message.last_index <= replica.commit_index:
        replica.incoming = None
        _reply(replica, message, 0, is_installed=True)
        return
    incoming = replica.incoming
    position = (message.last_index, message.last_term)
    if incoming is None or (incoming.last_index, incoming.last_term) != position:
        incoming = replica.incoming = IncomingSnapshot(*position)
    if message.offset_bytes != len(incoming.data):
        _reply(replica, message, len(incoming.data), is_installed=False)
        return
    incoming.data += message.data
    if not message.is_last:
        _reply(replica, message, len(incoming.data), is_installed=False)
        return
    snapshot = Snapshot(*position, message.membership, bytes(incoming.data))
    install_snapshot(replica, snapshot, now_ns)
    _reply(replica, message, 0, is_installed=True)


def install_snapshot(replica: Replica, snapshot: Snapshot, now_ns: int) -> None:
    """Replace the log entries that a complete snapshot covers by the snapshot."""
    replica.incoming = None
    if snapshot.last_index <= replica.commit_index:
        return
    if snapshot.last_term > replica.term:
        # A reader may fetch a snapshot of a term that it has not seen yet.
        become_follower(replica, snapshot.last_term, now_ns)
    if term_at(replica, snapshot.last_index) != snapshot.last_term:
        # The snapshot replaces the whole log, so no entry is left to persist.
        replica.next_write_index = 0
    compact_log(replica, snapshot)
    replica.is_snapshot_dirty = True


def on_snapshot_reply(replica: Replica, peer: Peer, message: SnapshotReply) -> bool:
    """Record how much of a snapshot a member holds.

    Returns
    -------
    bool
        Whether to send the next part or entry now.
    """
    if message.is_installed:
        peer.match_index = max(peer.match_index, message.last_index)
        peer.next_index = max(peer.next_index, peer.match_index + 1)
        peer.snapshot_offset_bytes = 0
        return True
    if message.last_index != peer.snapshot_index:
        return False
    is_progress = message.received_bytes > peer.snapshot_offset_bytes
    peer.snapshot_offset_bytes = message.received_bytes
    return is_progress


def _reply(
    replica: Replica, request: InstallSnapshot, received_bytes: int, is_installed: bool
) -> None:
    reply = SnapshotReply(
        replica.group,
        replica.term,
        replica.own_member,
        request.last_index,
        received_bytes,
        is_installed,
        request.sent_ns,
    )
    queue_message(replica, request.leader.host, reply)
