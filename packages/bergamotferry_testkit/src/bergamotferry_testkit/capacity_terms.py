"""The terms of every role: which slope is multiplied by which count.

Each term names the module whose code causes the cost.
"""

from functools import partial

from bergamotferry.leases import RENEW_INTERVAL_MS
from bergamotferry.outcome_tables import N_OUTCOMES_MAX
from bergamotferry.replication.state import HEARTBEAT_NS
from bergamotferry_host.dispatch import DISPATCHER_TICK_S
from bergamotferry_host.group_reader import FETCH_WAIT_MS
from bergamotferry_host.leader_duties import OWNERSHIP_TICK_S, PLACEMENT_TICK_S
from bergamotferry_host.upstream_edge import RENEW_EVERY_MS

from .capacity_counts import (
    N_ACCOUNTS,
    N_CONNECTIONS_PER_HOST,
    N_DATA_CENTRES,
    N_ENTRIES_PER_NOTE,
    N_REGIONS,
    N_SHARDS,
    Counts,
)
from .capacity_model import Term, commits_per_s, notes_per_s

N_LOGS_READ = 2
N_VOTERS = 3
DATA_CENTRE_LEADER = "data-centre leader"


def build_terms(counts: Counts) -> list[Term]:
    """Return the terms of every role."""
    return [
        *_entry_cpu_terms(counts),
        *_entry_memory_terms(counts),
        *_entry_traffic_terms(counts),
        *_dispatcher_terms(counts),
        *_dispatcher_traffic_terms(counts),
        *_leader_cpu_terms(counts),
        *_leader_traffic_terms(counts),
        *_voter_terms(counts),
        *_global_terms(counts),
        *_relay_terms(counts),
        *_upstream_terms(),
    ]


def _entry_cpu_terms(counts: Counts) -> list[Term]:
    requests_per_s = counts.requests_per_host_s
    note_rate_per_s = notes_per_s()
    request_cpu = partial(Term, "entry", "cpu_us_per_s", False)
    cpu = partial(Term, "entry", "cpu_us_per_s", True)
    accounts_scanned_per_s = requests_per_s * N_ACCOUNTS / 2
    note_entries_per_s = note_rate_per_s * N_ENTRIES_PER_NOTE
    commit_rate_per_s = commits_per_s(counts)
    return [
        request_cpu(
            "requests taken", "request_path", requests_per_s, "request_entry_cpu"
        ),
        request_cpu(
            "token scan",
            "routing.find_account",
            accounts_scanned_per_s,
            "token_lookup_cpu_per_account",
        ),
        request_cpu(
            "home regions",
            "routing",
            requests_per_s * N_REGIONS,
            "route_cpu_per_home_region",
        ),
        request_cpu("own group's log", "group", commit_rate_per_s, "reader_entry_cpu"),
        cpu(
            "ticks, renewals, log reading", "daemon", 1, "idle_reader_cpu", "intercept"
        ),
        cpu(
            "notes, per entry",
            "global_tables",
            note_entries_per_s,
            "note_apply_cpu_per_entry",
        ),
        cpu(
            "notes, per shard",
            "global_tables",
            note_rate_per_s * N_SHARDS,
            "note_apply_cpu_per_shard",
        ),
    ]


def _entry_memory_terms(counts: Counts) -> list[Term]:
    request_memory = partial(Term, "entry", "memory_bytes", False)
    memory = partial(Term, "entry", "memory_bytes", True)
    n_own_shards = counts.shards_per_data_centre
    return [
        memory("process", "daemon", 1, "idle_host_memory", "intercept"),
        memory("shard homes", "global_tables", N_SHARDS, "shard_home_row_memory"),
        memory("own grants", "data_centre_tables", n_own_shards, "grant_row_memory"),
        memory("accounts", "global_tables", N_ACCOUNTS, "account_row_memory"),
        memory(
            "outcomes, at their bound",
            "data_centre_tables",
            N_OUTCOMES_MAX,
            "outcome_row_memory",
        ),
        request_memory(
            "requests held",
            "request_path",
            counts.in_flight_per_host,
            "held_entry_memory",
        ),
        request_memory(
            "callers' connections",
            "caller_edge",
            N_CONNECTIONS_PER_HOST,
            "idle_connection_memory",
        ),
    ]


def _entry_traffic_terms(counts: Counts) -> list[Term]:
    control_bytes = partial(Term, "entry", "bytes_per_s", True)
    request_bytes = partial(Term, "entry", "bytes_per_s", False)
    messages = partial(Term, "entry", "messages_per_s", True)
    commit_rate_per_s = commits_per_s(counts)
    polls_per_s = N_LOGS_READ * 1000 / FETCH_WAIT_MS
    return [
        control_bytes(
            "renewals, log reading", "lease_renewal, group", 1, "idle_host_bytes"
        ),
        request_bytes(
            "own group's log", "group", commit_rate_per_s, "commit_log_bytes"
        ),
        messages("renewals", "lease_renewal", 1000 / RENEW_INTERVAL_MS),
        messages("reads of two logs", "group", polls_per_s),
    ]


def _dispatcher_terms(counts: Counts) -> list[Term]:
    requests_per_s = counts.requests_per_host_s
    ticks_per_s = counts.upstreams_per_host / DISPATCHER_TICK_S
    request_cpu = partial(Term, "dispatcher", "cpu_us_per_s", False)
    cpu = partial(Term, "dispatcher", "cpu_us_per_s", True)
    memory = partial(Term, "dispatcher", "memory_bytes", False)
    return [
        request_cpu(
            "requests sent", "dispatch", requests_per_s, "request_dispatcher_cpu"
        ),
        cpu(
            "scan for orders, per grant",
            "orders.order_grants",
            ticks_per_s * counts.shards_per_data_centre,
            "orders_tick_cpu_per_grant",
        ),
        cpu(
            "scan for orders, fixed",
            "orders.order_grants",
            ticks_per_s,
            "orders_tick_cpu_per_grant",
            "intercept",
        ),
        cpu(
            "renewals of upstreams at this host",
            "upstream_edge",
            counts.upstreams_per_host,
            "upstream_host_cpu",
        ),
        memory(
            "requests held",
            "dispatch",
            counts.in_flight_per_host,
            "held_dispatcher_memory",
        ),
    ]


def _dispatcher_traffic_terms(counts: Counts) -> list[Term]:
    requests_per_s = counts.requests_per_host_s
    request_bytes = partial(Term, "dispatcher", "bytes_per_s", False)
    return [
        request_bytes(
            "requests, all four legs", "peer_link", requests_per_s, "request_bytes"
        ),
        Term(
            "dispatcher",
            "bytes_per_s",
            True,
            "renewals of upstreams at this host",
            "upstream_edge",
            counts.upstreams_per_host,
            "upstream_bytes",
        ),
        Term(
            "dispatcher",
            "messages_per_s",
            True,
            "renewals of upstreams at this host",
            "upstream_edge",
            counts.upstreams_per_host * 1000 / RENEW_EVERY_MS,
        ),
    ]


def _leader_cpu_terms(counts: Counts) -> list[Term]:
    role = DATA_CENTRE_LEADER
    ticks_per_s = 1 / OWNERSHIP_TICK_S
    n_hosts = counts.hosts_per_data_centre
    n_upstreams = counts.upstreams_per_data_centre
    renewals_per_s = n_upstreams * 1000 / RENEW_EVERY_MS
    commit_rate_per_s = commits_per_s(counts)
    cpu = partial(Term, role, "cpu_us_per_s", True)
    return [
        cpu("hosts' renewals and reads", "leader_duties", n_hosts, "peer_leader_cpu"),
        cpu(
            "sessions' renewals",
            "leader_duties",
            renewals_per_s,
            "renewal_cpu_per_session",
        ),
        cpu(
            "ownership tick, per shard",
            "ownership.run_ownership",
            ticks_per_s * N_SHARDS,
            "ownership_tick_cpu_per_shard",
        ),
        cpu(
            "ownership tick, per upstream",
            "ownership.run_ownership",
            ticks_per_s * n_upstreams,
            "ownership_tick_cpu_per_upstream",
        ),
        Term(
            role,
            "cpu_us_per_s",
            False,
            "commits of filings",
            "replication, disk_log",
            commit_rate_per_s,
            "commit_leader_cpu",
        ),
    ]


def _leader_traffic_terms(counts: Counts) -> list[Term]:
    role = DATA_CENTRE_LEADER
    n_hosts = counts.hosts_per_data_centre
    commit_rate_per_s = commits_per_s(counts)
    request_bytes = partial(Term, role, "bytes_per_s", False)
    return [
        Term(
            role,
            "bytes_per_s",
            True,
            "hosts' renewals and reads",
            "leader_duties",
            n_hosts,
            "peer_leader_bytes",
        ),
        request_bytes(
            "commits to voters", "replication", commit_rate_per_s, "commit_leader_sent"
        ),
        request_bytes(
            "log to readers",
            "group",
            commit_rate_per_s * (n_hosts - N_VOTERS),
            "commit_log_bytes",
        ),
        Term(
            role,
            "messages_per_s",
            True,
            "hosts' renewals",
            "leader_duties",
            n_hosts * 1000 / RENEW_INTERVAL_MS,
        ),
    ]


def _voter_terms(counts: Counts) -> list[Term]:
    role = "data-centre voter"
    commit_rate_per_s = commits_per_s(counts)
    messages = partial(Term, role, "messages_per_s", True)
    return [
        Term(
            role,
            "cpu_us_per_s",
            False,
            "commits of filings",
            "replication, disk_log",
            commit_rate_per_s,
            "commit_follower_cpu",
        ),
        Term(
            role,
            "cpu_us_per_s",
            True,
            "at rest, entry host's work included",
            "daemon",
            1,
            "idle_voter_cpu",
            "intercept",
        ),
        Term(
            role,
            "bytes_per_s",
            False,
            "log to disk",
            "disk_log",
            commit_rate_per_s,
            "commit_log_bytes",
        ),
        messages("heartbeats", "replication", 1e9 / HEARTBEAT_NS),
    ]


def _global_terms(counts: Counts) -> list[Term]:
    leader, voter = "global leader", "global voter"
    ticks_per_s = 1 / PLACEMENT_TICK_S
    note_rate_per_s = notes_per_s()
    note_entries_per_s = note_rate_per_s * N_ENTRIES_PER_NOTE
    n_hosts = counts.n_hosts
    cpu = partial(Term, leader, "cpu_us_per_s", True)
    messages = partial(Term, leader, "messages_per_s", True)
    voter_cpu = partial(Term, voter, "cpu_us_per_s", True)
    voter_sent = partial(Term, voter, "bytes_per_s", True)
    polls_per_s = n_hosts * 1000 / FETCH_WAIT_MS
    return [
        cpu(
            "placement tick, per shard",
            "global_placement",
            ticks_per_s * N_SHARDS,
            "placement_tick_cpu_per_shard",
        ),
        cpu("commits of notes", "replication", note_rate_per_s, "commit_leader_cpu"),
        messages("capacity reports", "leader_duties", N_DATA_CENTRES * ticks_per_s),
        # All readers read from the first voter as long as that voter answers.
        voter_cpu("readers of the log", "group", n_hosts, "reader_source_cpu"),
        voter_cpu(
            "commits of notes", "replication", note_rate_per_s, "commit_follower_cpu"
        ),
        voter_sent("readers at rest", "group", n_hosts, "reader_source_bytes"),
        voter_sent(
            "notes to readers",
            "group",
            n_hosts * note_entries_per_s,
            "note_bytes_per_entry",
        ),
        Term(
            voter,
            "memory_bytes",
            True,
            "shard homes",
            "global_tables",
            N_SHARDS,
            "shard_home_row_memory",
        ),
        Term(voter, "messages_per_s", True, "reads of the log", "group", polls_per_s),
    ]


def _relay_terms(counts: Counts) -> list[Term]:
    """Return the terms of the traffic between data centres, with no relay in use."""
    role = "relay between data centres"
    note_entries_per_s = notes_per_s() * N_ENTRIES_PER_NOTE
    n_remote_hosts = counts.n_hosts - counts.hosts_per_data_centre
    control_bytes = partial(Term, role, "bytes_per_s", True)
    return [
        control_bytes(
            "hosts' reads at rest", "group", n_remote_hosts, "reader_source_bytes"
        ),
        control_bytes(
            "notes to each host",
            "group",
            n_remote_hosts * note_entries_per_s,
            "note_bytes_per_entry",
        ),
        Term(
            role,
            "messages_per_s",
            True,
            "hosts' reads",
            "group",
            n_remote_hosts * 1000 / FETCH_WAIT_MS,
        ),
    ]


def _upstream_terms() -> list[Term]:
    role = "upstream"
    return [
        Term(
            role, "bytes_per_s", True, "renewals", "upstream_edge", 1, "upstream_bytes"
        ),
        Term(
            role,
            "messages_per_s",
            True,
            "renewals",
            "upstream_edge",
            1000 / RENEW_EVERY_MS,
        ),
    ]
