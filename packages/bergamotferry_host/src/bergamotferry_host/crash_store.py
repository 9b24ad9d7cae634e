"""Keeps the quarantined requests of a control host in its data folder.

The records of requests that end upstreams are held in memory by all hosts, so they are
lost only if all hosts restart at once. For that case each control host also saves the
few that are quarantined. The file is no part of the replicated log: it may be missing
or old, and what is lost with it costs some more ended upstreams.
"""

import asyncio
import time
from pathlib import Path

from bergamotferry.protection.crash_records import (
    N_ENDS_MAX,
    CrashRecord,
    CrashTable,
    SavedCrash,
    record_row,
)

from .clock import now_ns
from .codec import DecodeError, decode, encode
from .crash_exchange import CrashExchange, wait_for_change
from .disk_log import write_file
from .logs import log, log_warning

FILE_NAME = "quarantine.cbor"
SAVE_INTERVAL_S = 1.0
NS_PER_MS = 1_000_000


def load_crash_records(table: CrashTable, folder: Path) -> None:
    """Add the saved records to a table; a file that can't be read counts as empty."""
    path = folder / FILE_NAME
    try:
        rows = decode(path.read_bytes())
    except FileNotFoundError:
        return
    except (OSError, DecodeError) as error:
        log_warning("crash records not read", why=str(error))
        return
    time_of_day_ms = time.time_ns() // NS_PER_MS
    saved_rows = rows if isinstance(rows, tuple) else ()
    for row in saved_rows:
        if isinstance(row, SavedCrash):
            age_ms = max(0, time_of_day_ms - row.changed_at_ms)
            record = CrashRecord(row.fingerprint, row.generation, row.n_ends, age_ms)
            record_row(table, record, now_ns())
    log("crash records read", n_records=len(table.entries))


async def run_crash_store(exchange: CrashExchange, folder: Path) -> None:
    """Save the quarantined requests whenever they change, until cancelled.

    A save that fails is repeated.
    """
    saved = _quarantined_rows(exchange.table)
    while True:
        await wait_for_change(exchange, SAVE_INTERVAL_S)
        rows = _quarantined_rows(exchange.table)
        if _identities(rows) != _identities(saved):
            if await _save(folder, rows):
                saved = rows
        await asyncio.sleep(SAVE_INTERVAL_S)


async def _save(folder: Path, rows: tuple[SavedCrash, ...]) -> bool:
    """Save rows; return whether they are on disk."""
    try:
        # In a thread, since a slow disk must not stop this host.
        await asyncio.to_thread(write_file, folder / FILE_NAME, encode(rows))
    except OSError as error:
        log_warning("crash records not saved", why=str(error))
        return False
    return True


def _quarantined_rows(table: CrashTable) -> tuple[SavedCrash, ...]:
    now, time_of_day_ms = now_ns(), time.time_ns() // NS_PER_MS
    return tuple(
        SavedCrash(
            fingerprint,
            entry.known.generation,
            entry.known.n_ends,
            time_of_day_ms - (now - entry.changed_ns) // NS_PER_MS,
        )
        for fingerprint, entry in table.entries.items()
        if entry.known.n_ends >= N_ENDS_MAX
    )


def _identities(rows: tuple[SavedCrash, ...]) -> set[tuple[str, int, int]]:
    return {row[:3] for row in rows}
