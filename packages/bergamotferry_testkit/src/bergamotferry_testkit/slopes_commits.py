"""Slopes of a commit: three real replicas with real disk logs in one process.

Messages are encoded with the hosts' codec but pass through no socket, so that the
processor times of leader and follower can be measured separately. The commands are
those of a filing.
"""

import hashlib
import random
import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from bergamotferry.commands import DataCentreCommand, RecordIntent, RecordOutcome
from bergamotferry.data_centre_tables import (
    DataCentreTables,
    apply_data_centre_command,
)
from bergamotferry.messages import FetchLogReply, LogEntry, Member, Membership
from bergamotferry.records import ShardId
from bergamotferry.replication import (
    Replica,
    Unpersisted,
    entries_from,
    last_index,
    mark_persisted,
    propose,
    receive,
    start_replica,
    take_messages,
    take_unpersisted,
    tick,
)
from bergamotferry_host.codec import decode, encode
from bergamotferry_host.disk_log import DiskLog, persist

from .slope_fit import Slope, fit_slope
from .slopes_tables import US_PER_S, time_us

COMMIT_COUNTS = (100, 200, 400)
BATCH_SIZES = (1, 16, 64, 256)
READ_ENTRY_COUNTS = (64, 256, 512)
N_SYNCS = 25
N_VOTERS = 3
TICK_NS = 10_000_000


@dataclass(slots=True)
class Voter:
    """A replica with its tables and disk log, and its resource use so far."""

    replica: Replica
    tables: DataCentreTables
    disk_log: DiskLog
    n_applied: int = 0
    cpu_s: float = 0.0
    n_bytes_sent: int = 0
    outbox: list[tuple[str, bytes]] = field(default_factory=list)


def measure_commit_slopes(folder: Path) -> list[Slope]:
    """Measure all slopes of this module, with the logs below ``folder``."""
    leader_cpu: list[tuple[float, float]] = []
    follower_cpu: list[tuple[float, float]] = []
    bytes_sent: list[tuple[float, float]] = []
    bytes_on_disk: list[tuple[float, float]] = []
    for n_commits in COMMIT_COUNTS:
        voters = _start_voters(folder / f"commits-{n_commits}")
        leader, now_ns = _elect(voters)
        follower = next(v for v in voters.values() if v is not leader)
        _reset_usage(voters)
        size_before_bytes = leader.disk_log.path.stat().st_size
        for number in range(n_commits):
            _commit(voters, leader, _make_command(number), now_ns)
        leader_cpu.append((n_commits, leader.cpu_s * US_PER_S))
        follower_cpu.append((n_commits, follower.cpu_s * US_PER_S))
        bytes_sent.append((n_commits, leader.n_bytes_sent))
        size_bytes = leader.disk_log.path.stat().st_size - size_before_bytes
        bytes_on_disk.append((n_commits, size_bytes))
    method = "intents and outcomes of filings, one at a time, 3 voters with disks"
    return [
        fit_slope("commit_leader_cpu", "µs", "commit", method, leader_cpu),
        fit_slope("commit_follower_cpu", "µs", "commit", method, follower_cpu),
        fit_slope("commit_leader_sent", "B", "commit", method, bytes_sent),
        fit_slope("commit_log_bytes", "B", "commit", method, bytes_on_disk),
        reader_cpu_per_entry(),
        sync_time_per_entry(folder),
    ]


def sync_time_per_entry(folder: Path) -> Slope:
    """Measure the time of `persist` by the number of entries in one record."""
    folder.mkdir(parents=True, exist_ok=True)
    disk_log = DiskLog.from_path(folder, f"sync-{time.time_ns()}")
    points: list[tuple[float, float]] = []
    for n_entries in BATCH_SIZES:
        entries = tuple(LogEntry(n + 1, 1, _make_command(n)) for n in range(n_entries))
        record = Unpersisted(1, None, 1, entries)
        times = []
        for _ in range(N_SYNCS):
            started_s = time.perf_counter()
            persist(disk_log, record)
            times.append((time.perf_counter() - started_s) * US_PER_S)
        points.append((n_entries, statistics.median(times)))
    return fit_slope(
        "sync_time",
        "µs",
        "entry in one record",
        "persist with its fsync, median of 25; the intercept is one fsync",
        points,
    )


def reader_cpu_per_entry() -> Slope:
    """Measure the processor time per log entry of a host that only reads the log."""
    points: list[tuple[float, float]] = []
    for n_entries in READ_ENTRY_COUNTS:
        entries = tuple(LogEntry(n + 1, 1, _make_command(n)) for n in range(n_entries))
        data = encode(FetchLogReply("dc:a", entries, 0, b"", n_entries, "host-0"))
        points.append((n_entries, time_us(partial(_read_reply, data))))
    return fit_slope(
        "reader_entry_cpu",
        "µs",
        "entry of a log, at each reader",
        "decode of a reply to FetchLog and apply_data_centre_command of its entries",
        points,
    )


def _read_reply(data: bytes) -> None:
    tables = DataCentreTables()
    for entry in decode(data).entries:
        apply_data_centre_command(tables, entry.payload)


def _make_command(number: int) -> DataCentreCommand:
    key = f"{number // 2:032x}"
    digest = hashlib.sha256(key.encode()).hexdigest()
    if number % 2:
        return RecordOutcome(
            "account-17",
            key,
            "done",
            200,
            "application/json",
            bytes(128),
            key,
            128,
            digest,
        )
    shard = ShardId("testlog", "", number % 256)
    return RecordIntent("account-17", key, shard, digest, 1_700_000_000, key, 1, 1)


def _start_voters(folder: Path) -> dict[str, Voter]:
    folder.mkdir(parents=True, exist_ok=True)
    members = tuple(Member(f"host-{n}", "1", True) for n in range(N_VOTERS))
    membership = Membership(members, ())
    voters: dict[str, Voter] = {}
    for member in members:
        rng = random.Random(member.host)
        replica = Replica("dc:a", member, membership, rng)
        start_replica(replica, 0)
        voter = Voter(
            replica,
            DataCentreTables(),
            DiskLog.from_path(folder, f"{member.host}-{time.time_ns()}"),
        )
        voters[member.host] = voter
    return voters


def _elect(voters: dict[str, Voter]) -> tuple[Voter, int]:
    now_ns = 0
    while True:
        now_ns += TICK_NS
        for voter in voters.values():
            _run_step(voter, last_index, now_ns)
        _deliver(voters, now_ns)
        for voter in voters.values():
            if voter.replica.role == "leader":
                return voter, now_ns


def _commit(
    voters: dict[str, Voter], leader: Voter, command: DataCentreCommand, now_ns: int
) -> None:
    _run_step(leader, lambda replica: propose(replica, command, now_ns), now_ns)
    _deliver(voters, now_ns)
    if leader.n_applied != last_index(leader.replica):
        raise RuntimeError("the command was not committed")


def _deliver(voters: dict[str, Voter], now_ns: int) -> None:
    while any(voter.outbox for voter in voters.values()):
        for voter in voters.values():
            outbox, voter.outbox = voter.outbox, []
            for host, data in outbox:
                _receive_message(voters[host], data, now_ns)


def _receive_message(voter: Voter, data: bytes, now_ns: int) -> None:
    _run_step(voter, lambda replica: receive(replica, decode(data), now_ns), now_ns)


def _run_step(voter: Voter, step: Callable[[Replica], Any], now_ns: int) -> None:
    """Run a step as `run_group` does: persist, send, apply.

    The processor time and the bytes sent are added to those of the voter.
    """
    started_s = time.process_time()
    replica = voter.replica
    step(replica)
    tick(replica, now_ns)
    unpersisted = take_unpersisted(replica)
    term, persisted_index = replica.term, last_index(replica)
    if unpersisted is not None:
        persist(voter.disk_log, unpersisted)
        mark_persisted(replica, term, persisted_index, now_ns)
    for outgoing in take_messages(replica):
        data = encode(outgoing.message)
        voter.n_bytes_sent += len(data)
        voter.outbox.append((outgoing.host, data))
    for entry in entries_from(replica, voter.n_applied + 1):
        if entry.log_index > replica.commit_index:
            break
        if not isinstance(entry.payload, Membership):
            apply_data_centre_command(voter.tables, entry.payload)
        voter.n_applied = entry.log_index
    voter.cpu_s += time.process_time() - started_s


def _reset_usage(voters: dict[str, Voter]) -> None:
    for voter in voters.values():
        voter.cpu_s = 0.0
        voter.n_bytes_sent = 0
