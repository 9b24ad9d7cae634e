"""Slopes of the decision logic: processor time and bytes per row of the tables.

Everything here runs in this process, without sockets or disks.
"""

import time
import tracemalloc
from collections.abc import Callable, Sequence
from functools import partial
from types import SimpleNamespace
from typing import Any

from bergamotferry.admission import UpstreamQueue
from bergamotferry.commands import ApplyNote
from bergamotferry.global_placement import run_global_placement
from bergamotferry.global_tables import apply_global_command
from bergamotferry.messages import LogEntry
from bergamotferry.ownership import grant_free_shards, run_ownership
from bergamotferry.records import Grant, OutcomeRecord, ShardHome, ShardId
from bergamotferry.release_note import canonical_content
from bergamotferry.routing import find_account, route_request
from bergamotferry_host.codec import encode
from bergamotferry_host.dispatcher_table import UpstreamWork
from bergamotferry_host.orders import order_grants

from .slope_fit import Slope, fit_slope
from .table_worlds import (
    NOW_NS,
    SERVICE,
    make_account,
    make_global_tables,
    make_reports,
    make_sessions,
    settle,
)

N_DATA_CENTRES = 17
N_HOSTS = 27
N_REPEATS = 5
US_PER_S = 1e6
SHARD_COUNTS = (2048, 8192, 32768)
UPSTREAM_COUNTS = (27, 54, 108)
ROW_COUNTS = (5000, 10_000, 20_000)
ENTRY_COUNTS = (10, 100, 1000)
N_SHARDS_SMALL = 512


def measure_table_slopes() -> list[Slope]:
    """Measure all slopes of this module."""
    return [
        ownership_tick_per_shard(),
        ownership_tick_per_upstream(),
        orders_tick_per_grant(),
        regrant_per_shard(),
        placement_tick_per_shard(),
        memory_per_row("shard_home", _shard_home),
        memory_per_row("grant", _grant),
        memory_per_row("account", make_account),
        memory_per_row("outcome", _outcome),
        snapshot_bytes_per_row("shard_home", _shard_home),
        snapshot_bytes_per_row("grant", _grant),
        snapshot_bytes_per_row("outcome", _outcome),
        note_cpu_per_entry(),
        note_cpu_per_shard(),
        note_bytes_per_entry(),
        token_lookup_per_account(),
        route_per_home_region(),
    ]


def time_us(work: Callable[[], Any], n_runs: int = 1) -> float:
    """Return the processor time of one run, the least of several rounds."""
    times: list[float] = []
    for _ in range(N_REPEATS):
        started_s = time.process_time()
        for _ in range(n_runs):
            work()
        times.append((time.process_time() - started_s) * US_PER_S / n_runs)
    return min(times)


def ownership_tick_per_shard() -> Slope:
    """Measure a tick of `run_ownership` against all shards of the deployment."""
    points: list[tuple[float, float]] = []
    for n_shards in SHARD_COUNTS:
        global_tables = make_global_tables(n_shards, N_DATA_CENTRES)
        tables = make_sessions(UPSTREAM_COUNTS[-1])
        leases = settle(tables, global_tables, "centre-00", N_HOSTS)

        def tick(t: Any = tables, g: Any = global_tables, le: Any = leases) -> None:
            run_ownership(t, g, le, "centre-00", NOW_NS)

        points.append((n_shards, time_us(tick)))
    return fit_slope(
        "ownership_tick_cpu_per_shard",
        "µs",
        "shard of the deployment, each tick",
        "run_ownership on settled tables, 108 upstreams, 1 of 17 data centres",
        points,
    )


def ownership_tick_per_upstream() -> Slope:
    """Measure a tick of `run_ownership` against the upstreams of a data centre."""
    points: list[tuple[float, float]] = []
    global_tables = make_global_tables(N_SHARDS_SMALL, 1)
    for n_upstreams in UPSTREAM_COUNTS:
        tables = make_sessions(n_upstreams)
        leases = settle(tables, global_tables, "centre-00", N_HOSTS)

        def tick(t: Any = tables, le: Any = leases) -> None:
            run_ownership(t, global_tables, le, "centre-00", NOW_NS)

        points.append((n_upstreams, time_us(tick, 60)))
    return fit_slope(
        "ownership_tick_cpu_per_upstream",
        "µs",
        "upstream of the data centre, each tick",
        "run_ownership on settled tables, 512 shards, one data centre",
        points,
    )


def orders_tick_per_grant() -> Slope:
    """Measure a dispatcher's look for due orders of one upstream, each tick."""
    points: list[tuple[float, float]] = []
    for n_shards in (512, 1024, 2048):
        global_tables = make_global_tables(n_shards, 1)
        tables = make_sessions(UPSTREAM_COUNTS[-1])
        settle(tables, global_tables, "centre-00", N_HOSTS)
        name = next(iter(tables.sessions))
        work = UpstreamWork(tables.sessions[name], 1, UpstreamQueue(2))
        mine = [g for g in tables.grants.values() if g.upstream == name]
        work.confirmed = {grant.shard: grant.epoch for grant in mine}
        state = SimpleNamespace(own_tables=tables)
        points.append((n_shards, time_us(partial(_look_for_orders, state, work))))
    return fit_slope(
        "orders_tick_cpu_per_grant",
        "µs",
        "grant of the data centre, for each upstream dispatched for, each tick",
        "order_grants for one of 108 upstreams when no order is due",
        points,
    )


def _look_for_orders(state: Any, work: UpstreamWork) -> None:
    # With no order due, neither the HTTP client nor the event loop is used.
    client: Any = None
    try:
        order_grants(state, client, work).send(None)
    except StopIteration:
        return
    raise RuntimeError("an order was due")


def regrant_per_shard() -> Slope:
    """Measure the choice of new owners for shards that lost theirs."""
    points: list[tuple[float, float]] = []
    global_tables = make_global_tables(SHARD_COUNTS[0], 1)
    tables = make_sessions(UPSTREAM_COUNTS[-1])
    settle(tables, global_tables, "centre-00", N_HOSTS)
    shards = sorted(tables.grants)
    for n_free in (32, 128, 512):
        kept = {s: g for s, g in tables.grants.items() if s not in shards[:n_free]}
        lost = type(tables)(sessions=tables.sessions, grants=kept)

        def grant(t: Any = lost) -> None:
            grant_free_shards(t, global_tables, "centre-00")

        points.append((n_free, time_us(grant)))
    return fit_slope(
        "regrant_cpu_per_shard",
        "µs",
        "shard that lost its owner",
        "grant_free_shards among 108 upstreams, 2,048 shards",
        points,
    )


def placement_tick_per_shard() -> Slope:
    """Measure a tick of `run_global_placement` against all shards."""
    points: list[tuple[float, float]] = []
    reports = make_reports(N_DATA_CENTRES)
    for n_shards in SHARD_COUNTS:
        tables = make_global_tables(n_shards, N_DATA_CENTRES)

        def tick(t: Any = tables) -> None:
            run_global_placement(t, reports)

        points.append((n_shards, time_us(tick)))
    return fit_slope(
        "placement_tick_cpu_per_shard",
        "µs",
        "shard of the deployment, each tick",
        "run_global_placement on settled tables, 17 reports",
        points,
    )


def memory_per_row(name: str, make_row: Callable[[int], Any]) -> Slope:
    """Measure the memory of a table's row, with its key, as CPython holds it."""
    points: list[tuple[float, float]] = []
    for n_rows in ROW_COUNTS:
        tracemalloc.start()
        table = {row_key(row): row for row in map(make_row, range(n_rows))}
        size_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        points.append((len(table), size_bytes))
    method = f"tracemalloc around a table of {name} rows"
    return fit_slope(f"{name}_row_memory", "B", "row", method, points)


def snapshot_bytes_per_row(name: str, make_row: Callable[[int], Any]) -> Slope:
    """Measure the bytes of a row, with its key, in the codec of the hosts."""
    points: list[tuple[float, float]] = []
    for n_rows in ROW_COUNTS:
        rows = [make_row(number) for number in range(n_rows)]
        points.append((n_rows, len(encode(rows))))
    method = f"codec.encode of a table of {name} rows"
    return fit_slope(f"{name}_snapshot_bytes", "B", "row", method, points)


def note_cpu_per_entry() -> Slope:
    """Measure the application of a release note against its entries."""
    points: list[tuple[float, float]] = []
    for n_entries in ENTRY_COUNTS:
        command = _note(n_entries)
        times = []
        for _ in range(N_REPEATS):
            tables = make_global_tables(N_SHARDS_SMALL, 1)
            started_s = time.process_time()
            apply_global_command(tables, command)
            times.append((time.process_time() - started_s) * US_PER_S)
        points.append((n_entries, min(times)))
    return fit_slope(
        "note_apply_cpu_per_entry",
        "µs",
        "entry of a release note, on each host",
        "apply_global_command of a note that adds accounts, 512 shards",
        points,
    )


def note_cpu_per_shard() -> Slope:
    """Measure the application of a note of one entry against the shards."""
    points: list[tuple[float, float]] = []
    command = _note(1)
    for n_shards in SHARD_COUNTS:
        tables = make_global_tables(n_shards, N_DATA_CENTRES)
        times = []
        for _ in range(N_REPEATS):
            tables.revision, tables.notes = 1, {}
            tables.accounts.pop("account-1000", None)
            started_s = time.process_time()
            apply_global_command(tables, command)
            times.append((time.process_time() - started_s) * US_PER_S)
        points.append((n_shards, min(times)))
    return fit_slope(
        "note_apply_cpu_per_shard",
        "µs",
        "shard of the deployment, each note, on each host",
        "apply_global_command of a note that adds one account",
        points,
    )


def note_bytes_per_entry() -> Slope:
    """Measure the bytes of a note in the log, which every reader is sent as well."""
    points = [
        (n_entries, len(encode(LogEntry(1, 1, _note(n_entries)))))
        for n_entries in ENTRY_COUNTS
    ]
    method = "codec.encode of the log entry of a note that adds accounts"
    return fit_slope("note_bytes_per_entry", "B", "entry", method, points)


def token_lookup_per_account() -> Slope:
    """Measure `find_account` for the last of the accounts."""
    points: list[tuple[float, float]] = []
    for n_accounts in (100, 1000, 4000):
        tables = make_global_tables(1, 1, n_accounts)
        token = f"token-{n_accounts - 1}"

        def find(t: Any = tables, to: str = token) -> None:
            find_account(t, to)

        points.append((n_accounts, time_us(find, 200)))
    return fit_slope(
        "token_lookup_cpu_per_account",
        "µs",
        "account, each request",
        "find_account for the last account of the table",
        points,
    )


def route_per_home_region() -> Slope:
    """Measure `route_request` against the number of home regions."""
    points: list[tuple[float, float]] = []
    for n_homes in (1, 50, 200):
        tables = make_global_tables(1024, 1, 300, n_homes)
        account = make_account(299)

        def route(t: Any = tables, a: Any = account) -> None:
            route_request(t, a, SERVICE, "lookup", "GET", "key-17", "region-0")

        points.append((n_homes, time_us(route, 200)))
    return fit_slope(
        "route_cpu_per_home_region",
        "µs",
        "home region, each request",
        "route_request for an account that no home region binds",
        points,
    )


def row_key(row: Any) -> Any:
    """Return the key under which a row stands in its table."""
    if isinstance(row, tuple) and isinstance(row[0], ShardId):
        return row[0]
    if isinstance(row, OutcomeRecord):
        return (row.account, row.idempotency_key)
    return row[0]


def _shard(number: int) -> ShardId:
    # Names are shared between rows, as they are after decoding one command.
    return ShardId(SERVICE, "", number)


def _shard_home(number: int) -> tuple[ShardId, ShardHome]:
    return _shard(number), ShardHome("centre-03", 1, "")


def _grant(number: int) -> Grant:
    return Grant(_shard(number), "testlog-0042", 1, (1 << 40) + number, "held")


def _outcome(number: int) -> OutcomeRecord:
    return OutcomeRecord(
        "account-17",
        f"{number:032x}",
        _shard(number),
        f"{number:064x}",
        "done",
        200,
        "application/json",
        bytes(128),
        1_700_000_000 + number,
    )


def _note(n_entries: int) -> ApplyNote:
    accounts = [
        {
            "name": account.name,
            "token_sha256": account.token_sha256,
            "services": list(account.services),
            "max_in_flight": account.max_in_flight,
        }
        for account in map(make_account, range(1000, 1000 + n_entries))
    ]
    note: dict[str, Any] = {"number": 2, "based_on": 1, "added": {"accounts": accounts}}
    return ApplyNote(2, 1, canonical_content(note))


def print_slopes(slopes: Sequence[Slope]) -> None:
    """Print slopes as a table."""
    for row in slopes:
        points = " ".join(f"{x:g}:{y:g}" for x, y in row.points)
        print(
            f"{row.name:<34}{row.slope:>11g} {row.unit:<4} + {row.intercept:<10g}"
            f"r²={row.r_squared:<7g} {points}",
            flush=True,
        )
