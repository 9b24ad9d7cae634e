"""Tests of what the disk log recovers, or refuses, after faults of the disk."""

import errno
import os

import pytest

from bergamotferry.commands import FinishHandover, Noop
from bergamotferry.messages import LogEntry, Member, Membership
from bergamotferry.records import ShardId
from bergamotferry.replication import Snapshot, Unpersisted
from bergamotferry_host import disk_log as disk_log_module
from bergamotferry_host.disk_log import (
    DiskFullError,
    DiskLog,
    DiskLogDamaged,
    persist,
    recover_log,
)

MEMBER = Member("a", "1", True)
MEMBERSHIP = Membership((MEMBER,), ())


def entry(index, term=1):
    return LogEntry(index, term, FinishHandover(ShardId("s", "", index), 1))


def write_entries(folder):
    log = DiskLog.from_path(folder, "g")
    persist(log, Unpersisted(1, MEMBER, 1, (entry(1),)))
    persist(log, Unpersisted(1, MEMBER, 2, (entry(2), entry(3))))
    persist(log, Unpersisted(2, None, 3, (entry(3, 2),)))
    return log


def write_snapshot(log):
    snapshot = Snapshot(2, 1, MEMBERSHIP, b"tables")
    persist(log, Unpersisted(2, None, 0, (entry(3, 2),), snapshot))
    return snapshot


def recover(folder):
    return recover_log(DiskLog.from_path(folder, "g"))


def test_recovery_returns_vote_entries_and_overwritten_entries(tmp_path):
    write_entries(tmp_path)
    assert recover(tmp_path) == (2, None, (entry(1), entry(2), entry(3, 2)), None)


def damage_nothing(data):
    return data


def remove_last_byte(data):
    return data[:-1]


def append_part_of_a_header(data):
    return data + b"\x05\x00"


def append_zeros(data):
    return data + bytes(4096)


def overwrite_end_with_zeros(data):
    return data[:-8] + bytes(8)


@pytest.mark.parametrize(
    ("damage", "is_last_lost"),
    [
        (damage_nothing, False),
        (remove_last_byte, True),
        (append_part_of_a_header, False),
        (append_zeros, False),
        (overwrite_end_with_zeros, True),
    ],
)
def test_torn_tail_is_truncated_and_appends_continue(tmp_path, damage, is_last_lost):
    log = write_entries(tmp_path)
    log.path.write_bytes(damage(log.path.read_bytes()))
    recovered = recover(tmp_path)
    last_entry = entry(3) if is_last_lost else entry(3, 2)
    assert recovered.entries == (entry(1), entry(2), last_entry)
    persist(DiskLog.from_path(tmp_path, "g"), Unpersisted(3, MEMBER, 4, (entry(4, 3),)))
    assert recover(tmp_path).entries == (entry(1), entry(2), last_entry, entry(4, 3))


@pytest.mark.parametrize("part", ["first header", "first payload", "last payload"])
def test_other_damage_raises(tmp_path, part):
    log = write_entries(tmp_path)
    data = bytearray(log.path.read_bytes())
    position = {"first header": 1, "first payload": 20, "last payload": -9}[part]
    data[position] ^= 0x40
    log.path.write_bytes(data)
    with pytest.raises(DiskLogDamaged, match="damaged"):
        recover(tmp_path)


def test_missing_entry_raises(tmp_path):
    log = DiskLog.from_path(tmp_path, "g")
    persist(log, Unpersisted(1, MEMBER, 2, (entry(2),)))
    with pytest.raises(DiskLogDamaged, match="entry 1 is missing"):
        recover(tmp_path)


def test_snapshot_starts_a_new_file_and_removes_the_old_one(tmp_path):
    log = write_entries(tmp_path)
    snapshot = write_snapshot(log)
    persist(log, Unpersisted(2, MEMBER, 4, (entry(4, 2),)))
    assert recover(tmp_path) == (2, MEMBER, (entry(3, 2), entry(4, 2)), snapshot)
    file_names = sorted(path.name for path in tmp_path.iterdir())
    assert file_names == ["g.00000002.log", "g.00000002.snapshot"]


@pytest.mark.parametrize("n_renames", [0, 1, 2])
def test_crash_during_a_snapshot_keeps_the_old_or_the_new_state(
    tmp_path, monkeypatch, n_renames
):
    log = write_entries(tmp_path)
    state_before = recover(tmp_path)
    n_renames_left = [n_renames]
    write_file = disk_log_module.write_file

    def crash_after_renames(path, data):
        if n_renames_left[0] == 0:
            path.with_name(path.name + ".new").write_bytes(data[:5])
            raise OSError(errno.EIO, "crash")
        n_renames_left[0] -= 1
        write_file(path, data)

    monkeypatch.setattr(disk_log_module, "write_file", crash_after_renames)
    monkeypatch.setattr(disk_log_module, "_remove_other_files", lambda disk_log: None)
    try:
        write_snapshot(log)
    except OSError:
        assert n_renames < 2
    monkeypatch.undo()
    recovered = recover(tmp_path)
    if n_renames < 2:
        assert recovered == state_before
    else:
        assert recovered.snapshot == Snapshot(2, 1, MEMBERSHIP, b"tables")
        assert recovered.entries == (entry(3, 2),)
    assert len(list(tmp_path.glob("g.*"))) == (1 if n_renames < 2 else 2)


@pytest.mark.parametrize("damage", ["missing", "cut", "flipped"])
def test_damaged_snapshot_raises(tmp_path, damage):
    log = write_entries(tmp_path)
    write_snapshot(log)
    data = bytearray(log.snapshot_path.read_bytes())
    if damage == "missing":
        log.snapshot_path.unlink()
    elif damage == "cut":
        log.snapshot_path.write_bytes(data[:-3])
    else:
        data[15] ^= 1
        log.snapshot_path.write_bytes(data)
    with pytest.raises(DiskLogDamaged):
        recover(tmp_path)


@pytest.mark.parametrize("call", ["write", "fsync"])
@pytest.mark.parametrize("error_number", [errno.ENOSPC, errno.EROFS, errno.EIO])
def test_failing_disk_raises_and_keeps_acknowledged_entries(
    tmp_path, monkeypatch, call, error_number
):
    log = write_entries(tmp_path)
    os_write = os.write

    def fail(descriptor, *arguments):
        if call == "write":
            os_write(descriptor, bytes(arguments[0])[:7])
        raise OSError(error_number, os.strerror(error_number))

    monkeypatch.setattr(os, call, fail)
    with pytest.raises(OSError, match=os.strerror(error_number)):
        persist(log, Unpersisted(2, None, 4, (LogEntry(4, 2, Noop()),)))
    monkeypatch.undo()
    assert recover(tmp_path).entries[:3] == (entry(1), entry(2), entry(3, 2))


@pytest.mark.parametrize(
    ("call", "has_snapshot"),
    [
        ("write", False),
        ("fsync", False),
        ("write", True),
        ("fsync", True),
        ("rename", True),
    ],
)
@pytest.mark.parametrize("error_number", [errno.ENOSPC, errno.EDQUOT])
def test_call_refused_by_a_full_disk_can_be_repeated(
    tmp_path, monkeypatch, call, error_number, has_snapshot
):
    """Guards against a host that votes no more after its disk was full."""
    log = write_entries(tmp_path)
    before = recover(tmp_path)
    snapshot = Snapshot(2, 1, MEMBERSHIP, b"tables") if has_snapshot else None
    first = (entry(3, 2),) if has_snapshot else ()
    unpersisted = Unpersisted(3, MEMBER, 4, (*first, entry(4, 3)), snapshot)
    os_write = os.write

    def refuse(*arguments):
        if call == "write":
            os_write(arguments[0], bytes(arguments[1])[:7])
        raise OSError(error_number, os.strerror(error_number))

    for _ in range(3):
        with monkeypatch.context() as patched:
            patched.setattr(os, call, refuse)
            with pytest.raises(DiskFullError, match=os.strerror(error_number)):
                persist(log, unpersisted)
        if call == "write":
            assert recover(tmp_path) == before
    persist(log, unpersisted)
    persist(log, Unpersisted(3, MEMBER, 5, (entry(5, 3),)))
    recovered = recover(tmp_path)
    assert (recovered.term, recovered.voted_for) == (3, MEMBER)
    assert recovered.entries[-3:] == (entry(3, 2), entry(4, 3), entry(5, 3))
    assert recovered.snapshot == snapshot
