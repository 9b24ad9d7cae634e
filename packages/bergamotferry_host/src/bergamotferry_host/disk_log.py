"""Durable state of one group's member: an append-only file of checksummed records.

A record is its length, a CRC-32 and CBOR bytes. A torn record at the very end is cut
off, since nothing in it was acknowledged; damage anywhere else stops the start with an
error. Every append ends with ``fsync``.
"""

import os
import struct
import zlib
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

from bergamotferry.messages import LogEntry, Member
from bergamotferry.replication import Unpersisted

from .codec import decode, encode

_HEADER = struct.Struct("<II")
RECORD_MAX_BYTES = 64 * 1024 * 1024


class DiskLogDamaged(OSError):  # noqa: N818 - names the state of the file
    """A record before the end of the file is damaged."""


class RecoveredLog(NamedTuple):
    """What a member finds on its disk."""

    term: int
    voted_for: Member | None
    entries: tuple[LogEntry, ...]


@dataclass(slots=True)
class DiskLog:
    """An open log file."""

    path: Path
    descriptor: int

    @classmethod
    def from_path(cls, path: Path) -> "DiskLog":
        """Open a log for appending, creating it if there is none."""
        flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
        descriptor = os.open(path, flags, 0o600)
        sync_folder(path.parent)
        return cls(path, descriptor)


def recover_log(disk_log: DiskLog) -> RecoveredLog:
    """Read every record, cutting off a torn one at the end.

    Raises
    ------
    DiskLogDamaged
        If a record is damaged that is not the last.
    """
    data = disk_log.path.read_bytes()
    term = 0
    voted_for: Member | None = None
    entries: list[LogEntry] = []
    offset = 0
    while offset < len(data):
        record, end = _read_record(data, offset)
        if record is None:
            _cut_torn_tail(disk_log, data, offset)
            break
        term, voted_for, truncate_from, new_entries = decode(record)
        if truncate_from:
            entries = [e for e in entries if e.log_index < truncate_from]
        entries.extend(new_entries)
        offset = end
    return RecoveredLog(term, voted_for, tuple(entries))


def append_record(disk_log: DiskLog, unpersisted: Unpersisted) -> None:
    """Write a record and sync it.

    Raises
    ------
    OSError
        If writing or syncing fails; the file can't be relied on afterwards.
    """
    payload = encode(tuple(unpersisted))
    record = _HEADER.pack(len(payload), zlib.crc32(payload)) + payload
    view = memoryview(record)
    while view:
        view = view[os.write(disk_log.descriptor, view) :]
    os.fsync(disk_log.descriptor)


def sync_folder(folder: Path) -> None:
    """Sync a folder, so that the names in it are durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _read_record(data: bytes, offset: int) -> tuple[bytes | None, int]:
    start = offset + _HEADER.size
    if start > len(data):
        return None, offset
    length, checksum = _HEADER.unpack_from(data, offset)
    payload = data[start : start + length]
    if len(payload) < length or zlib.crc32(payload) != checksum:
        return None, offset
    return payload, start + length


def _cut_torn_tail(disk_log: DiskLog, data: bytes, offset: int) -> None:
    length = 0
    if offset + _HEADER.size <= len(data):
        length, _ = _HEADER.unpack_from(data, offset)
    is_tail = offset + _HEADER.size + length >= len(data)
    if not is_tail or length > RECORD_MAX_BYTES:
        raise DiskLogDamaged(f"{disk_log.path}: damaged record at byte {offset}")
    os.ftruncate(disk_log.descriptor, offset)
    os.fsync(disk_log.descriptor)
