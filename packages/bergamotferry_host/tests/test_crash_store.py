"""Saved crash records, and files that can't be read or written."""

import asyncio

import pytest

from bergamotferry.protection.crash_records import (
    N_ENDS_MAX,
    PAUSE_FIRST_S,
    CrashTable,
    KnownEnds,
    known_ends,
    quarantine_left_s,
    record_end,
    record_success,
)
from bergamotferry_host import crash_store
from bergamotferry_host.clock import now_ns
from bergamotferry_host.codec import encode
from bergamotferry_host.crash_exchange import (
    CrashExchange,
    count_end,
    count_success,
    wait_for_change,
)
from bergamotferry_host.crash_store import (
    FILE_NAME,
    load_crash_records,
    run_crash_store,
)
from bergamotferry_host.disk_log import write_file

# The store is given up after this time, which is no measure of its speed.
STORE_TIMEOUT_S = 60.0
# Enough rounds of the store for a change that is saved at its third attempt.
N_ROUNDS_PER_CHANGE = 6


def run_store(monkeypatch, folder, *changes):
    """Apply changes to an exchange one by one while its records are saved.

    Each change is followed by the same number of rounds of the store, however long
    they take.
    """
    monkeypatch.setattr(crash_store, "SAVE_INTERVAL_S", 0.02)
    round_began = asyncio.Event()

    async def note_round(exchange, timeout_s):
        round_began.set()
        await wait_for_change(exchange, timeout_s)

    monkeypatch.setattr(crash_store, "wait_for_change", note_round)

    async def run():
        exchange = CrashExchange()
        store = asyncio.create_task(run_crash_store(exchange, folder))
        for change in (lambda exchange: None, *changes):
            change(exchange)
            async with asyncio.timeout(STORE_TIMEOUT_S):
                # A round that has begun may end without having seen the change.
                for _ in range(1 + N_ROUNDS_PER_CHANGE):
                    round_began.clear()
                    await round_began.wait()
        store.cancel()

    asyncio.run(run())


def quarantine(exchange):
    for _ in range(N_ENDS_MAX):
        count_end(exchange, "a", known_ends(exchange.table, "a"))
    count_end(exchange, "suspected only", KnownEnds())


def loaded(folder):
    table = CrashTable()
    load_crash_records(table, folder)
    return table


def test_quarantined_requests_are_read_again_after_a_restart(monkeypatch, tmp_path):
    run_store(monkeypatch, tmp_path, quarantine)
    table = loaded(tmp_path)
    assert set(table.entries) == {"a"}
    assert known_ends(table, "a") == KnownEnds(0, N_ENDS_MAX)
    assert quarantine_left_s(table, "a", "h", now_ns()) > PAUSE_FIRST_S - 5


def test_cleared_request_is_not_read_again(monkeypatch, tmp_path):
    run_store(
        monkeypatch, tmp_path, quarantine, lambda exchange: count_success(exchange, "a")
    )
    assert loaded(tmp_path).entries == {}


@pytest.mark.parametrize(
    "content", [b"", b"\xff\xff", encode("text"), encode(((1, 2),)), encode(None)]
)
def test_damaged_file_counts_as_empty(tmp_path, content):
    (tmp_path / FILE_NAME).write_bytes(content)
    assert loaded(tmp_path).entries == {}


def test_missing_file_counts_as_empty(tmp_path):
    assert loaded(tmp_path).entries == {}


def test_records_that_a_full_disk_refused_are_saved_once_it_has_space(
    monkeypatch, tmp_path
):
    """Guards against records that are given up after one failed write."""
    n_writes = 0

    def refuse_the_first_writes(path, data):
        nonlocal n_writes
        n_writes += 1
        if n_writes <= 2:
            raise OSError("no space left")
        write_file(path, data)

    monkeypatch.setattr(crash_store, "write_file", refuse_the_first_writes)
    run_store(monkeypatch, tmp_path, quarantine)
    # The third write succeeds, and what is saved is not written again.
    assert n_writes == 3
    assert set(loaded(tmp_path).entries) == {"a"}


def test_older_saved_record_does_not_replace_a_newer_one(monkeypatch, tmp_path):
    run_store(monkeypatch, tmp_path, quarantine)
    table = CrashTable()
    record_end(table, "a", KnownEnds(), now_ns())
    record_success(table, "a", now_ns())
    load_crash_records(table, tmp_path)
    assert known_ends(table, "a") == KnownEnds(1, 0)
