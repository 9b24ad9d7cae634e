"""Slopes of the decision logic: processor time and bytes per row of the tables.

All measurements run in this process, without sockets or disks.
"""

import time
import tracemalloc
from collections.abc import Callable, Sequence
from functools import partial
from types import SimpleNamespace
from typing import Any

from bergamotferry.admission import UpstreamQueue
from bergamotferry.commands import ApplyNote
from bergamotferry.data_centre_tables import DataCentreTables
from bergamotferry.global_placement import RebalanceState, run_global_placement
from bergamotferry.global_tables import GlobalTables, apply_global_command
from bergamotferry.messages import LogEntry
from bergamotferry.ownership import grant_free_shards, run_ownership
from bergamotferry.records import Grant, OutcomeRecord, ShardHome, ShardId
from bergamotferry.release_note import canonical_content
from bergamotferry.routing import find_account, route_request
from bergamotferry.slow_start import SlowStart
from bergamotferry_host.codec import encode
from bergamotferry_host.dispatcher_table import UpstreamWork
from bergamotferry_host.orders import order_grants

from .settled_tables import (
    NOW_NS,
    SERVICE,
    make_account,
    make_global_tables,
    make_reports,
    make_sessions,
    settle_ownership,
)
from .slope_fit import Slope, measure_slope

N_DATA_CENTRES = 17
OWN_DATA_CENTRE = "centre-00"
N_HOSTS = 27
N_TIMING_ROUNDS = 5
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
        memory_per_row("shard_home", _make_shard_home),
        memory_per_row("grant", _make_grant),
        memory_per_row("account", make_account),
        memory_per_row("outcome", _make_outcome),
        snapshot_bytes_per_row("shard_home", _make_shard_home),
        snapshot_bytes_per_row("grant", _make_grant),
        snapshot_bytes_per_row("outcome", _make_outcome),
        note_cpu_per_entry(),
        note_cpu_per_shard(),
        note_bytes_per_entry(),
        token_lookup_per_account(),
        route_per_home_region(),
    ]


def time_us(function: Callable[[], Any], n_runs: int = 1) -> float:
    """Return the processor time of one run in µs.

    It is the minimum of `N_TIMING_ROUNDS` rounds, each of which calls ``function``
    ``n_runs`` times.
    """
    times: list[float] = []
    for _ in range(N_TIMING_ROUNDS):
        started_s = time.process_time()
        for _ in range(n_runs):
            function()
        times.append((time.process_time() - started_s) * US_PER_S / n_runs)
    return min(times)


def ownership_tick_per_shard() -> Slope:
    """Measure a tick of `run_ownership` by the number of shards of the deployment."""

    def cost_us(n_shards: int) -> float:
        global_tables = make_global_tables(n_shards, N_DATA_CENTRES)
        return _ownership_tick_us(global_tables, UPSTREAM_COUNTS[-1], 1)

    return measure_slope(
        "ownership_tick_cpu_per_shard",
        "µs",
        "shard of the deployment, each tick",
        "run_ownership on settled tables, 108 upstreams, 1 of 17 data centres",
        SHARD_COUNTS,
        cost_us,
    )


def ownership_tick_per_upstream() -> Slope:
    """Measure a tick of `run_ownership` by the number of upstreams."""
    global_tables = make_global_tables(N_SHARDS_SMALL, 1)
    return measure_slope(
        "ownership_tick_cpu_per_upstream",
        "µs",
        "upstream of the data centre, each tick",
        "run_ownership on settled tables, 512 shards, one data centre",
        UPSTREAM_COUNTS,
        lambda n_upstreams: _ownership_tick_us(global_tables, n_upstreams, 60),
    )


def orders_tick_per_grant() -> Slope:
    """Measure a scan for the due orders of one upstream, by the number of grants."""

    def cost_us(n_shards: int) -> float:
        global_tables = make_global_tables(n_shards, 1)
        tables = make_sessions(UPSTREAM_COUNTS[-1])
        settle_ownership(tables, global_tables, OWN_DATA_CENTRE, N_HOSTS)
        name = next(iter(tables.sessions))
        dispatcher = tables.dispatchers[name]
        queue = UpstreamQueue(2, SlowStart(0))
        work = UpstreamWork(tables.sessions[name], dispatcher.epoch, queue)
        upstream_grants = [g for g in tables.grants.values() if g.upstream == name]
        work.confirmed = {grant.shard: grant.epoch for grant in upstream_grants}
        host = SimpleNamespace(name=dispatcher.host)
        state = SimpleNamespace(
            own_tables=tables,
            own_group=SimpleNamespace(applied_index=0),
            host=host,
            has_host_lease=True,
        )
        return time_us(partial(_scan_for_due_orders, state, work))

    return measure_slope(
        "orders_tick_cpu_per_grant",
        "µs",
        "grant of the data centre, for each upstream dispatched for, each tick",
        "order_grants for one of 108 upstreams when no order is due",
        (512, 1024, 2048),
        cost_us,
    )


def regrant_per_shard() -> Slope:
    """Measure the choice of new owners by the number of shards that lost theirs."""
    global_tables = make_global_tables(SHARD_COUNTS[0], 1)
    tables = make_sessions(UPSTREAM_COUNTS[-1])
    settle_ownership(tables, global_tables, OWN_DATA_CENTRE, N_HOSTS)
    shards = sorted(tables.grants)

    def cost_us(n_lost: int) -> float:
        kept_grants = {shard: tables.grants[shard] for shard in shards[n_lost:]}
        tables_after_loss = DataCentreTables(
            sessions=tables.sessions, grants=kept_grants
        )
        return time_us(
            partial(
                grant_free_shards, tables_after_loss, global_tables, OWN_DATA_CENTRE
            )
        )

    return measure_slope(
        "regrant_cpu_per_shard",
        "µs",
        "shard that lost its owner",
        "grant_free_shards among 108 upstreams, 2,048 shards",
        (32, 128, 512),
        cost_us,
    )


def placement_tick_per_shard() -> Slope:
    """Measure a tick of `run_global_placement` by the number of shards."""
    reports = make_reports(N_DATA_CENTRES)

    def cost_us(n_shards: int) -> float:
        tables = make_global_tables(n_shards, N_DATA_CENTRES)
        arguments = (tables, reports, RebalanceState(), NOW_NS)
        return time_us(partial(run_global_placement, *arguments))

    return measure_slope(
        "placement_tick_cpu_per_shard",
        "µs",
        "shard of the deployment, each tick",
        "run_global_placement on settled tables, 17 reports",
        SHARD_COUNTS,
        cost_us,
    )


def memory_per_row(name: str, make_row: Callable[[int], Any]) -> Slope:
    """Measure the memory of a table row with its key, as CPython allocates it."""

    def size_bytes(n_rows: int) -> float:
        tracemalloc.start()
        table = {row_key(row): row for row in map(make_row, range(n_rows))}
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        return size if len(table) == n_rows else 0.0

    method = f"tracemalloc around a table of {name} rows"
    return measure_slope(
        f"{name}_row_memory", "B", "row", method, ROW_COUNTS, size_bytes
    )


def snapshot_bytes_per_row(name: str, make_row: Callable[[int], Any]) -> Slope:
    """Measure the bytes of a row with its key, as the hosts' codec encodes it."""
    method = f"codec.encode of a table of {name} rows"
    return measure_slope(
        f"{name}_snapshot_bytes",
        "B",
        "row",
        method,
        ROW_COUNTS,
        lambda n_rows: len(encode([make_row(number) for number in range(n_rows)])),
    )


def note_cpu_per_entry() -> Slope:
    """Measure the application of a release note by the number of its entries."""
    return measure_slope(
        "note_apply_cpu_per_entry",
        "µs",
        "entry of a release note, on each host",
        "apply_global_command of a note that adds accounts, 512 shards",
        ENTRY_COUNTS,
        lambda n_entries: _apply_note_us(N_SHARDS_SMALL, n_entries),
    )


def note_cpu_per_shard() -> Slope:
    """Measure the application of a one-entry release note by the number of shards."""
    return measure_slope(
        "note_apply_cpu_per_shard",
        "µs",
        "shard of the deployment, each note, on each host",
        "apply_global_command of a note that adds one account",
        SHARD_COUNTS,
        lambda n_shards: _apply_note_us(n_shards, 1),
    )


def note_bytes_per_entry() -> Slope:
    """Measure the bytes of a release note in the log; each reader is sent as many."""
    return measure_slope(
        "note_bytes_per_entry",
        "B",
        "entry",
        "codec.encode of the log entry of a note that adds accounts",
        ENTRY_COUNTS,
        lambda n_entries: len(encode(LogEntry(1, 1, _make_note(n_entries)))),
    )


def token_lookup_per_account() -> Slope:
    """Measure `find_account` for the last account, by the number of accounts."""

    def cost_us(n_accounts: int) -> float:
        tables = make_global_tables(1, 1, n_accounts)
        return time_us(partial(find_account, tables, f"token-{n_accounts - 1}"), 200)

    return measure_slope(
        "token_lookup_cpu_per_account",
        "µs",
        "account, each request",
        "find_account for the last account of the table",
        (100, 1000, 4000),
        cost_us,
    )


def route_per_home_region() -> Slope:
    """Measure `route_request` by the number of home regions."""
    account = make_account(299)
    request = (account, SERVICE, "lookup", "GET", "key-17", "region-0")

    def cost_us(n_homes: int) -> float:
        tables = make_global_tables(1024, 1, 300, n_homes)
        return time_us(partial(route_request, tables, *request), 200)

    return measure_slope(
        "route_cpu_per_home_region",
        "µs",
        "home region, each request",
        "route_request for an account that no home region binds",
        (1, 50, 200),
        cost_us,
    )


def _ownership_tick_us(
    global_tables: GlobalTables, n_upstreams: int, n_runs: int
) -> float:
    tables = make_sessions(n_upstreams)
    leases = settle_ownership(tables, global_tables, OWN_DATA_CENTRE, N_HOSTS)
    arguments = (tables, global_tables, leases, OWN_DATA_CENTRE, NOW_NS)
    return time_us(partial(run_ownership, *arguments), n_runs)


def _scan_for_due_orders(state: Any, work: UpstreamWork) -> None:
    # `order_grants` uses the HTTP client and the event loop only when an order is due.
    client: Any = None
    try:
        order_grants(state, client, work).send(None)
    except StopIteration:
        return
    raise RuntimeError("an order was due")


def _apply_note_us(n_shards: int, n_entries: int) -> float:
    command = _make_note(n_entries)
    times: list[float] = []
    for _ in range(N_TIMING_ROUNDS):
        tables = make_global_tables(n_shards, N_DATA_CENTRES)
        started_s = time.process_time()
        apply_global_command(tables, command)
        times.append((time.process_time() - started_s) * US_PER_S)
    return min(times)


def row_key(row: Any) -> Any:
    """Return the key of a row in its table."""
    if isinstance(row, tuple) and isinstance(row[0], ShardId):
        return row[0]
    if isinstance(row, OutcomeRecord):
        return (row.account, row.idempotency_key)
    return row[0]


def _make_shard(number: int) -> ShardId:
    # Rows share the string of the service name, as rows decoded from one command do.
    return ShardId(SERVICE, "", number)


def _make_shard_home(number: int) -> tuple[ShardId, ShardHome]:
    return _make_shard(number), ShardHome("centre-03", 1, "")


def _make_grant(number: int) -> Grant:
    return Grant(_make_shard(number), "testlog-0042", 1, (1 << 40) + number, "held")


def _make_outcome(number: int) -> OutcomeRecord:
    return OutcomeRecord(
        "account-17",
        f"{number:032x}",
        _make_shard(number),
        f"{number:064x}",
        "done",
        200,
        "application/json",
        bytes(128),
        1_700_000_000 + number,
        f"{number:016x}",
        (1 << 40) + number,
        number,
        128,
        f"{number:064x}",
    )


def _make_note(n_entries: int) -> ApplyNote:
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
    """Print one line for each slope."""
    for slope in slopes:
        points = " ".join(f"{x:g}:{y:g}" for x, y in slope.points)
        print(
            f"{slope.name:<34}{slope.slope:>11g} {slope.unit:<4} + "
            f"{slope.intercept:<10g}r²={slope.r_squared:<7g} {points}",
            flush=True,
        )
