"""Batches of log entries fit in a peer frame, whatever entries the log holds."""

import random

import pytest

from bergamotferry.commands import ApplyNote, ReleaseQuarantine
from bergamotferry.messages import (
    AppendEntries,
    FetchLogReply,
    LogEntry,
    Member,
    Membership,
)
from bergamotferry.release_note import NOTE_MAX_BYTES
from bergamotferry.replication import Replica
from bergamotferry.replication.state import (
    BYTES_PER_MESSAGE_MAX,
    append_entry,
    entries_within,
)
from bergamotferry_host.codec import encode
from bergamotferry_host.group_reader import FETCH_MAX_BYTES
from bergamotferry_host.peer_link import FRAME_MAX_BYTES, FrameKind

OWN_MEMBER = Member("h" * 63, "1" * 16, True)
# By case: the number of entries, and the command that each of them holds.
CASES = {
    "largest notes": (3, ApplyNote(1, 0, "x" * NOTE_MAX_BYTES)),
    "notes of wide characters": (4, ApplyNote(1, 0, "\U0001f3ee" * 131_060)),
    "many small commands": (5000, ReleaseQuarantine("f")),
}


@pytest.mark.parametrize(("n_entries", "command"), CASES.values(), ids=CASES)
def test_append_and_fetch_batches_fit_in_a_frame(n_entries, command):
    replica = Replica(
        "global", OWN_MEMBER, Membership((OWN_MEMBER,), ()), random.Random(0)
    )
    for index in range(1, n_entries + 1):
        append_entry(replica, LogEntry(index, 1, command))
    first_index, frame_sizes_bytes = 1, []
    while first_index <= n_entries:
        entries = entries_within(replica, first_index, n_entries, BYTES_PER_MESSAGE_MAX)
        append = AppendEntries("global", 1, OWN_MEMBER, 1, 1, entries, 1, 1 << 62)
        frame_sizes_bytes.append(len(encode((0, int(FrameKind.NOTICE), append))))
        fetched = entries_within(replica, first_index, n_entries, FETCH_MAX_BYTES)
        reply = FetchLogReply("global", fetched, 0, b"", 1 << 62, OWN_MEMBER.host)
        frame_sizes_bytes.append(len(encode((1 << 40, int(FrameKind.REPLY), reply))))
        first_index += len(entries)
    assert max(frame_sizes_bytes) <= FRAME_MAX_BYTES
