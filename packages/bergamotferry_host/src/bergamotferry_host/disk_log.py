"""Stores a group member's durable state in numbered log files of checksummed records.

A record is a header (payload length, payload checksum, checksum of these two), a CBOR
payload and an end mark. Recovery truncates a torn record at the end of the file, since
nothing in it was acknowledged; any other damage stops the start with an error. Each
append ends with one ``fsync``, however many entries it contains.

A snapshot starts a new log file: ``GROUP.NUMBER.snapshot`` is written, synced and
renamed into place, then ``GROUP.NUMBER.log``, and only then are the previous files
removed. The log file with the highest number therefore always has its snapshot, unless
it is the first log file.
"""

import errno
import os
import struct
import zlib
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, NamedTuple

from bergamotferry.messages import LogEntry, Member
from bergamotferry.replication import Snapshot, Unpersisted

from .codec import DecodeError, decode, encode

_HEADER = struct.Struct("<III")
_HEADER_FIELDS = struct.Struct("<II")
_END_MARK = b"\xa5"
FIRST_FILE_NUMBER = 1
_NO_SPACE_ERRORS = frozenset({errno.ENOSPC, errno.EDQUOT})


class DiskLogDamaged(OSError):  # noqa: N818 - names the state of the file
    """A file has damage that an interrupted append does not explain."""


class DiskFullError(OSError):
    """The disk has no space; the call changed nothing and may be repeated."""


class RecoveredLog(NamedTuple):
    """The state that a member recovers from its disk."""

    term: int
    voted_for: Member | None
    entries: tuple[LogEntry, ...]
    snapshot: Snapshot | None


@dataclass(slots=True)
class DiskLog:
    """The open log file of a group.

    ``size_bytes`` is the size of the file up to its last whole record.
    """

    folder: Path
    name: str
    number: int
    descriptor: int
    size_bytes: int = 0
    n_syncs: int = 0
    n_entries: int = 0

    @classmethod
    def from_path(cls, folder: Path, name: str) -> "DiskLog":
        """Open the newest log file of a group, creating the first if there is none."""
        numbers = [_file_number(path) for path in folder.glob(f"{name}.*.log")]
        number = max(numbers, default=FIRST_FILE_NUMBER)
        flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
        descriptor = os.open(_log_path(folder, name, number), flags, 0o600)
        sync_folder(folder)
        size_bytes = os.fstat(descriptor).st_size
        return cls(folder, name, number, descriptor, size_bytes)

    @property
    def path(self) -> Path:
        """Path of the log file."""
        return _log_path(self.folder, self.name, self.number)

    @property
    def snapshot_path(self) -> Path:
        """Path of the snapshot that precedes the log file."""
        return self.folder / f"{self.name}.{self.number:08}.snapshot"


def recover_log(disk_log: DiskLog) -> RecoveredLog:
    """Read the snapshot and all records, and truncate a torn record at the end.

    Raises
    ------
    DiskLogDamaged
        If anything else is damaged or missing.
    """
    snapshot = _read_snapshot(disk_log)
    data = disk_log.path.read_bytes()
    term = 0
    voted_for: Member | None = None
    entries: list[LogEntry] = []
    offset = 0
    while offset < len(data):
        payload, end = _read_record(disk_log.path, data, offset)
        if payload is None:
            os.ftruncate(disk_log.descriptor, offset)
            os.fsync(disk_log.descriptor)
            disk_log.size_bytes = offset
            break
        term, voted_for, truncate_from, new_entries = _decode(
            disk_log.path, payload, offset
        )
        if truncate_from:
            entries = [entry for entry in entries if entry.log_index < truncate_from]
        entries.extend(new_entries)
        offset = end
    _check_contiguous(disk_log.path, snapshot, entries)
    _remove_other_files(disk_log)
    return RecoveredLog(term, voted_for, tuple(entries), snapshot)


def persist(disk_log: DiskLog, unpersisted: Unpersisted) -> None:
    """Write and sync a vote, entries or a snapshot.

    Raises
    ------
    DiskFullError
        If the disk has no space. What was persisted before is intact.
    OSError
        If writing or syncing fails otherwise; the files are unreliable afterwards.
    """
    try:
        if unpersisted.snapshot is not None:
            _begin_next_file(disk_log, unpersisted)
        else:
            _append_record(disk_log, unpersisted)
    except OSError as error:
        if error.errno in _NO_SPACE_ERRORS:
            raise DiskFullError(*error.args) from error
        raise


def sync_folder(folder: Path) -> None:
    """Sync a folder, which makes created, renamed and removed names durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_file(path: Path, data: bytes) -> None:
    """Replace a file atomically: write, sync, rename, and sync the folder."""
    temporary_path = path.with_name(path.name + ".new")
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
    descriptor = os.open(temporary_path, flags, 0o600)
    try:
        _write_all(descriptor, data)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    temporary_path.rename(path)
    sync_folder(path.parent)


def _append_record(disk_log: DiskLog, unpersisted: Unpersisted) -> None:
    """Append a record, after removing what an earlier failed call left of one.

    The record is written anew rather than synced again: after a failed sync, the next
    one would report success although data may be lost.
    """
    record = _encode_record(tuple(unpersisted)[:4])
    if os.fstat(disk_log.descriptor).st_size != disk_log.size_bytes:
        os.ftruncate(disk_log.descriptor, disk_log.size_bytes)
    _write_all(disk_log.descriptor, record)
    os.fsync(disk_log.descriptor)
    disk_log.size_bytes += len(record)
    disk_log.n_syncs += 1
    disk_log.n_entries += len(unpersisted.entries)


def _begin_next_file(disk_log: DiskLog, unpersisted: Unpersisted) -> None:
    """Write a snapshot and the next log file; only then change ``disk_log``."""
    if unpersisted.snapshot is None:
        raise ValueError("a new log file needs a snapshot")
    next_log = replace(disk_log, number=disk_log.number + 1)
    write_file(next_log.snapshot_path, _encode_record(tuple(unpersisted.snapshot)))
    first_record = _encode_record(
        (unpersisted.term, unpersisted.voted_for, 0, unpersisted.entries)
    )
    write_file(next_log.path, first_record)
    old_descriptor = disk_log.descriptor
    disk_log.descriptor = os.open(next_log.path, os.O_RDWR | os.O_APPEND)
    disk_log.number = next_log.number
    disk_log.size_bytes = len(first_record)
    os.close(old_descriptor)
    disk_log.n_syncs += 4
    disk_log.n_entries += len(unpersisted.entries)
    _remove_other_files(disk_log)


def _remove_other_files(disk_log: DiskLog) -> None:
    keep = {disk_log.path, disk_log.snapshot_path}
    obsolete_paths = [
        path for path in disk_log.folder.glob(f"{disk_log.name}.*") if path not in keep
    ]
    for path in obsolete_paths:
        path.unlink()
    if obsolete_paths:
        sync_folder(disk_log.folder)


def _encode_record(value: tuple[Any, ...]) -> bytes:
    payload = encode(value)
    header_fields = _HEADER_FIELDS.pack(len(payload), zlib.crc32(payload))
    header = header_fields + struct.pack("<I", zlib.crc32(header_fields))
    return header + payload + _END_MARK


def _read_record(path: Path, data: bytes, offset: int) -> tuple[bytes | None, int]:
    """Return a record's payload, None if the record is torn, and its end offset."""
    start = offset + _HEADER.size
    rest = data[offset:]
    if len(rest) < _HEADER.size or not any(rest):
        return None, offset
    length, checksum, header_checksum = _HEADER.unpack_from(data, offset)
    if zlib.crc32(data[offset : offset + _HEADER_FIELDS.size]) != header_checksum:
        raise DiskLogDamaged(f"{path}: damaged header at byte {offset}")
    end = start + length + len(_END_MARK)
    payload = data[start : start + length]
    if len(data) < end:
        return None, offset
    if zlib.crc32(payload) == checksum and data[end - 1 : end] == _END_MARK:
        return payload, end
    # The unwritten end of a torn record is missing from the file or reads as zeros.
    if end == len(data) and data[end - 1] == 0:
        return None, offset
    raise DiskLogDamaged(f"{path}: damaged record at byte {offset}")


def _read_snapshot(disk_log: DiskLog) -> Snapshot | None:
    if disk_log.number == FIRST_FILE_NUMBER:
        return None
    path = disk_log.snapshot_path
    if not path.exists():
        raise DiskLogDamaged(f"{path}: snapshot is missing, its log file can't be used")
    payload, _ = _read_record(path, path.read_bytes(), 0)
    if payload is None:
        raise DiskLogDamaged(f"{path}: snapshot is truncated")
    return Snapshot(*_decode(path, payload, 0))


def _check_contiguous(
    path: Path, snapshot: Snapshot | None, entries: list[LogEntry]
) -> None:
    expected = snapshot.last_index + 1 if snapshot else 1
    for entry in entries:
        if entry.log_index != expected:
            raise DiskLogDamaged(f"{path}: entry {expected} is missing")
        expected += 1


def _decode(path: Path, payload: bytes, offset: int) -> Any:
    try:
        return decode(payload)
    except DecodeError as error:
        raise DiskLogDamaged(f"{path}: unreadable record at byte {offset}") from error


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def _log_path(folder: Path, name: str, number: int) -> Path:
    return folder / f"{name}.{number:08}.log"


def _file_number(path: Path) -> int:
    return int(path.name.split(".")[-2])
