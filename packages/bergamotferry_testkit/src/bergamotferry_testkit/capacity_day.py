"""Costs of hot keys, of a day's failures and of an hour's partition between regions."""

import math

from bergamotferry.ownership import N_MOVES_PER_TICK
from bergamotferry_host.group_reader import FETCH_WAIT_MS

from .capacity_counts import (
    HOST_SHARE,
    N_DATA_CENTRES,
    N_ENTRIES_PER_NOTE,
    N_FAILURES_PER_DAY,
    N_HOT_KEYS,
    N_KEYS,
    N_NOTES_PER_DAY,
    N_REGIONS,
    N_RESTARTS_PER_DAY,
    N_SHARDS,
    PARTITION_S,
    Counts,
)
from .capacity_model import Slopes

N_NODES_PER_RACK = 40
N_SESSION_COMMANDS = 3
N_DISPATCHER_COMMANDS = 2
N_MEMBER_COMMANDS = 2
N_COMMANDS_PER_MOVE = 3
US_PER_MS = 1000

Row = tuple[str, str]


def hot_key_rows(slopes: Slopes, counts: Counts) -> list[Row]:
    """Return the cost of 73 hot keys with and without a table of single keys."""
    row_bytes = slopes["shard_home_row_memory"].slope + slopes["grant_row_memory"].slope
    n_keys_moved = N_HOT_KEYS * N_KEYS / N_SHARDS
    n_commits = N_HOT_KEYS * N_COMMANDS_PER_MOVE
    return [
        ("shards for all keys", f"{N_SHARDS:,}"),
        (
            "rows of a table of single keys, priced as shards",
            f"{N_HOT_KEYS} rows, {N_HOT_KEYS * row_bytes / 1000:,.0f} kB on each host",
        ),
        (
            "commits to move them once (revoke, confirm, grant)",
            f"{n_commits}, {_commit_ms(slopes, n_commits):,.0f} ms of the leaders",
        ),
        (
            "today, without the table: other keys that move with them",
            f"{n_keys_moved:,.0f}, {n_keys_moved / N_KEYS:.2%} of all",
        ),
    ]


def day_rows(slopes: Slopes, counts: Counts) -> list[Row]:
    """Return the commits and shard moves that the failures of an ordinary day cause."""
    n_events = N_FAILURES_PER_DAY + N_RESTARTS_PER_DAY
    n_host_events = n_events * HOST_SHARE
    n_upstream_events = n_events - n_host_events
    n_shards = math.ceil(counts.shards_per_upstream)
    n_return_batches = math.ceil(n_shards / N_MOVES_PER_TICK)
    host_commits = N_DISPATCHER_COMMANDS * counts.upstreams_per_host + N_MEMBER_COMMANDS
    upstream_commits = (
        N_SESSION_COMMANDS + n_shards + N_COMMANDS_PER_MOVE * n_return_batches
    )
    n_commits = n_host_events * host_commits + n_upstream_events * upstream_commits
    n_moves = 2 * n_shards * n_upstream_events
    return [
        ("hosts lost or restarted", f"{n_host_events:.0f} a day"),
        (
            "commits for each: retire and assign each dispatcher, leave and rejoin",
            f"{host_commits}",
        ),
        ("upstreams lost or restarted", f"{n_upstream_events:.0f} a day"),
        (
            "commits for each: session, a grant for each shard, moves back",
            f"{upstream_commits}",
        ),
        (
            "commits in all, over all groups",
            f"{n_commits:,.0f} a day, {_commit_ms(slopes, n_commits) / 1000:.1f} s of "
            "processor time of leaders",
        ),
        (
            "moves of shards, away and back",
            f"{n_moves:,.0f} a day, {n_moves * N_KEYS / N_SHARDS / N_KEYS:.1%} of all "
            "keys change owner",
        ),
        *_location_loss_rows(slopes, counts),
    ]


def _location_loss_rows(slopes: Slopes, counts: Counts) -> list[Row]:
    n_shards = math.ceil(counts.shards_per_upstream)
    n_rack_shards = n_shards * N_NODES_PER_RACK * (1 - HOST_SHARE)
    regrant_us = slopes["regrant_cpu_per_shard"].slope
    return [
        (
            f"a rack of {N_NODES_PER_RACK} nodes in one data centre: its leader's loop "
            "stands still to choose new owners",
            f"{n_rack_shards * regrant_us / US_PER_MS:,.0f} ms for "
            f"{n_rack_shards:,.0f} shards",
        ),
        (
            "a data centre: its shards have no owner until operators fence it",
            f"{counts.shards_per_data_centre:,} shards, "
            f"{1 / N_DATA_CENTRES:.1%} of all keys",
        ),
    ]


def partition_rows(slopes: Slopes, counts: Counts) -> list[Row]:
    """Return what an hour's partition from the other regions costs and refuses."""
    n_notes = N_NOTES_PER_DAY * PARTITION_S / 86_400
    note = slopes["note_bytes_per_entry"]
    note_bytes = note.slope * N_ENTRIES_PER_NOTE + note.intercept
    snapshot_bytes = N_SHARDS * slopes["shard_home_snapshot_bytes"].slope
    n_hosts_behind = counts.n_hosts / N_REGIONS
    return [
        (
            "global log that a region misses",
            f"{n_notes:.0f} notes, {n_notes * note_bytes / 1000:,.0f} kB",
        ),
        (
            "its hosts fetch it afterwards, each for itself",
            f"{n_hosts_behind:.0f} hosts, "
            f"{n_hosts_behind * n_notes * note_bytes / 1e6:,.1f} MB in all",
        ),
        (
            "a snapshot of the shard map, if the entries are gone",
            f"{snapshot_bytes / 1e6:.1f} MB for each host, "
            f"{snapshot_bytes * n_hosts_behind * 8 / 30e6:,.0f} s of a 30 Mbit/s link "
            "without a relay",
        ),
        (
            "requests for keys of the other side",
            "refused as not run, owner unreachable; at an even spread of keys "
            f"{(N_REGIONS - 1) / N_REGIONS:.0%} of the keys for a region cut off alone",
        ),
        ("release notes on the side without the global quorum", "refused, no leader"),
        (
            "reads that fail on each host cut off from every source",
            f"{PARTITION_S * 1000 / (2 * FETCH_WAIT_MS):,.0f} at most",
        ),
    ]


def _commit_ms(slopes: Slopes, n_commits: float) -> float:
    return n_commits * slopes["commit_leader_cpu"].slope / US_PER_MS
