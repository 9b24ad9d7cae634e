"""Compares each capacity requirement with the cost that the model predicts.

Each check divides the predicted cost by its limit; a factor above 1 does not fit.
"""

from typing import NamedTuple

from bergamotferry.outcome_tables import N_OUTCOMES_MAX, OUTCOME_RETENTION_S
from bergamotferry.replication.state import LEADER_LEASE_NS, NS_PER_MS
from bergamotferry_host.group_compaction import LOG_MAX_BYTES
from bergamotferry_host.group_reader import FETCH_WAIT_MS
from bergamotferry_host.leader_duties import OWNERSHIP_TICK_S, PLACEMENT_TICK_S

from .capacity_counts import (
    CONTROL_BYTES_PER_S,
    CONTROL_CPU_PERCENT,
    CONTROL_MEMORY_MB,
    IN_FORCE_TARGET_MS,
    N_CONTROL_HOSTS_MAX,
    N_NODES,
    N_REQUESTS_PER_S,
    N_SHARDS,
    N_SHARDS_TODAY,
    N_SLOTS_PER_UPSTREAM,
    REGIONS_ONE_WAY_MS,
    REQUEST_TARGET_MS,
    SERVE_AGAIN_TARGET_MS,
    SERVICE_TIME_MS,
    Counts,
)
from .capacity_model import Resource, Slopes, commits_per_s, total
from .capacity_steps import (
    data_centre_out_steps,
    grant_all_blocking_ms,
    host_loss_steps,
    in_force_steps,
    in_force_steps_silent_source,
    leader_loss_steps,
    no_new_work_steps,
    stranded_request_steps,
    total_ms,
    upstream_loss_steps,
)
from .capacity_terms import build_terms

DATA_CENTRE_OUT_TARGET_MS = 3000.0
CORE_US_PER_S = 1e6
BYTES_PER_MB = 1e6
CONTROL_CPU_US_PER_S = CONTROL_CPU_PERCENT / 100 * CORE_US_PER_S


class Check(NamedTuple):
    """A requirement, its predicted cost at the target size, and its limit.

    ``required`` and ``limit`` are in ``unit``. ``required_change`` names the changes of
    the design that would make the cost fit.
    """

    requirement: str
    required: float
    limit: float
    unit: str
    required_change: str

    @property
    def factor(self) -> float:
        """The predicted cost divided by the limit; above 1 the cost does not fit."""
        return self.required / self.limit


def build_checks(slopes: Slopes, counts: Counts) -> list[Check]:
    """Return the check of every requirement, in the order of the page."""
    return [
        *_request_checks(slopes, counts),
        *_host_control_checks(slopes, counts),
        *_other_control_checks(slopes, counts),
        *_data_centre_leader_checks(slopes, counts),
        *_global_group_checks(slopes, counts),
        *_serve_again_checks(slopes),
        *_change_checks(slopes, counts),
        *_store_checks(slopes, counts),
    ]


def request_cpu_us_per_s(slopes: Slopes, counts: Counts) -> float:
    """Return a host's processor time for requests, as entry host and as dispatcher."""
    terms = build_terms(counts)
    roles = ("entry", "dispatcher")
    return sum(total(terms, slopes, role, "cpu_us_per_s", False) for role in roles)


def _request_checks(slopes: Slopes, counts: Counts) -> list[Check]:
    all_hosts = Counts(N_NODES)
    busy_slots = N_REQUESTS_PER_S * SERVICE_TIME_MS / 1000
    return [
        Check(
            "cores per host for requests; a process uses one",
            request_cpu_us_per_s(slopes, counts) / CORE_US_PER_S,
            1,
            "cores",
            "the request path leaves Python (a compiled data plane that reads the "
            "same tables), several processes per host, one HTTP hop less",
        ),
        Check(
            "the same if all nodes were hosts",
            request_cpu_us_per_s(slopes, all_hosts) / CORE_US_PER_S,
            1,
            "cores",
            "as above: the reading of 'node' does not decide it",
        ),
        Check(
            "slots busy at once",
            busy_slots,
            counts.n_upstreams * N_SLOTS_PER_UPSTREAM,
            "slots",
            "not ours: upstreams with more slots, or a service time of "
            f"{_service_time_ms(counts):.2f} ms",
        ),
        Check(
            "a lookup whose owner is in another region",
            2 * REGIONS_ONE_WAY_MS,
            REQUEST_TARGET_MS,
            "ms",
            "callers ask in the region that holds the key; placement by the region "
            "of a key's callers",
        ),
    ]


def _service_time_ms(counts: Counts) -> float:
    return 1000 * counts.n_upstreams * N_SLOTS_PER_UPSTREAM / N_REQUESTS_PER_S


def _host_control_checks(slopes: Slopes, counts: Counts) -> list[Check]:
    terms = build_terms(counts)

    def host_load(resource: Resource) -> float:
        roles = ("entry", "dispatcher")
        return sum(total(terms, slopes, role, resource, True) for role in roles)

    return [
        Check(
            "control, a host's processor time",
            host_load("cpu_us_per_s") / CORE_US_PER_S * 100,
            CONTROL_CPU_PERCENT,
            "% of a core",
            "wake on events in place of ticks of 20 ms; an index of grants by "
            "upstream in place of a scan for each upstream",
        ),
        Check(
            "control, a host that votes, at rest",
            slopes["idle_voter_cpu"].intercept / CORE_US_PER_S * 100,
            CONTROL_CPU_PERCENT,
            "% of a core",
            "one heartbeat for all groups that two hosts share; ticks only while a "
            "timer is due",
        ),
        Check(
            "control, a host's memory",
            host_load("memory_bytes") / BYTES_PER_MB,
            CONTROL_MEMORY_MB,
            "MB",
            "outcomes on the hosts that dispatch for their shard only; shard homes as "
            "two arrays for each service in place of a tuple each",
        ),
        Check(
            "control, a host's bytes",
            host_load("bytes_per_s"),
            CONTROL_BYTES_PER_S,
            "B/s",
            "renewals every 200 ms as fixed records of 32 bytes without names, over "
            "UDP; logs pushed in place of two polls a second; pings only when silent",
        ),
    ]


def _other_control_checks(slopes: Slopes, counts: Counts) -> list[Check]:
    terms = build_terms(counts)
    return [
        Check(
            "control, an upstream's bytes",
            total(terms, slopes, "upstream", "bytes_per_s", True),
            CONTROL_BYTES_PER_S,
            "B/s",
            "renew with HTTP headers of a few bytes less often, or let the "
            "dispatcher's own traffic and probes carry the renewal",
        ),
        Check(
            "hosts set aside for control",
            0,
            N_CONTROL_HOSTS_MAX,
            "hosts",
            "none is needed by today's shape: voters are entry hosts",
        ),
    ]


def _control_cpu_percent(slopes: Slopes, counts: Counts, role: str) -> float:
    us_per_s = total(build_terms(counts), slopes, role, "cpu_us_per_s", True)
    return us_per_s / CORE_US_PER_S * 100


def _data_centre_leader_checks(slopes: Slopes, counts: Counts) -> list[Check]:
    commit_cpu_us = slopes["commit_leader_cpu"].slope
    return [
        Check(
            "control, the leader of a data centre",
            _control_cpu_percent(slopes, counts, "data-centre leader"),
            CONTROL_CPU_PERCENT,
            "% of a core",
            "rows of the data centre and of those in motion kept by index, so that a "
            "tick costs what has changed and not all shards",
        ),
        Check(
            "one ownership tick within its interval",
            slopes["ownership_tick_cpu_per_shard"].slope * N_SHARDS / 1000,
            OWNERSHIP_TICK_S * 1000,
            "ms",
            "as above",
        ),
        Check(
            "cores of a data centre's leader for commits of filings",
            commits_per_s(counts) * commit_cpu_us / CORE_US_PER_S,
            1,
            "cores",
            "many groups per data centre, by ranges of shards; many commands to an "
            "entry; outcomes in files of their own",
        ),
        Check(
            "all shards granted in one tick, within the leader lease",
            grant_all_blocking_ms(slopes, counts),
            LEADER_LEASE_NS / NS_PER_MS,
            "ms",
            "rank targets once per upstream set; grant in parts over several ticks",
        ),
    ]


def _global_group_checks(slopes: Slopes, counts: Counts) -> list[Check]:
    terms = build_terms(counts)
    return [
        Check(
            "control, the global leader",
            _control_cpu_percent(slopes, counts, "global leader"),
            CONTROL_CPU_PERCENT,
            "% of a core",
            "unplaced shards kept as a set; run when a report or a note changes",
        ),
        Check(
            "one placement tick within its interval",
            slopes["placement_tick_cpu_per_shard"].slope * N_SHARDS / 1000,
            PLACEMENT_TICK_S * 1000,
            "ms",
            "as above",
        ),
        Check(
            "control, the voter that all hosts read the global log from",
            _control_cpu_percent(slopes, counts, "global voter"),
            CONTROL_CPU_PERCENT,
            "% of a core",
            "a tree: one relay per data centre reads, its hosts read from it",
        ),
        Check(
            "control, bytes of that voter",
            total(terms, slopes, "global voter", "bytes_per_s", True),
            CONTROL_BYTES_PER_S,
            "B/s",
            f"as above, and polls longer than {FETCH_WAIT_MS} ms",
        ),
    ]


def _serve_again_checks(slopes: Slopes) -> list[Check]:
    return [
        Check(
            "serve again, a dispatching host lost",
            total_ms(host_loss_steps(slopes)),
            SERVE_AGAIN_TARGET_MS,
            "ms",
            "nothing, while ticks keep their intervals",
        ),
        Check(
            "serve again, the leader's host lost, which dispatches too",
            total_ms(leader_loss_steps(slopes)),
            SERVE_AGAIN_TARGET_MS,
            "ms",
            "leaders dispatch for no upstream; or followers hear renewals too, so "
            "that a new leader need not wait for them again",
        ),
        Check(
            "serve again, an upstream lost",
            total_ms(upstream_loss_steps(slopes)),
            SERVE_AGAIN_TARGET_MS,
            "ms",
            "nothing, while ticks keep their intervals",
        ),
        Check(
            "a request sent to a host just before its loss is sent elsewhere",
            total_ms(stranded_request_steps()),
            SERVE_AGAIN_TARGET_MS,
            "ms",
            "break links to a host as soon as the tables take its dispatching away; "
            "shorter pings",
        ),
    ]


def _change_checks(slopes: Slopes, counts: Counts) -> list[Check]:
    return [
        Check(
            "a data centre taken out receives no new work",
            total_ms(no_new_work_steps(slopes)),
            DATA_CENTRE_OUT_TARGET_MS,
            "ms",
            "nothing",
        ),
        Check(
            "all its shards served elsewhere",
            total_ms(data_centre_out_steps(slopes, counts.shards_per_data_centre)),
            DATA_CENTRE_OUT_TARGET_MS,
            "ms",
            "more handovers in a tick, one command for many; a report at once in place "
            "of each 200 ms",
        ),
        Check(
            f"the same at a first user's size, {N_SHARDS_TODAY} shards",
            total_ms(data_centre_out_steps(slopes, N_SHARDS_TODAY)),
            DATA_CENTRE_OUT_TARGET_MS,
            "ms",
            "nothing",
        ),
        Check(
            "in force everywhere",
            total_ms(in_force_steps(slopes)),
            IN_FORCE_TARGET_MS,
            "ms",
            "nothing",
        ),
        Check(
            "in force everywhere, a reader's source silent",
            total_ms(in_force_steps_silent_source(slopes)),
            IN_FORCE_TARGET_MS,
            "ms",
            "three silent sources one after another would not fit",
        ),
    ]


def _store_checks(slopes: Slopes, counts: Counts) -> list[Check]:
    n_outcomes = counts.filings_per_data_centre_s * OUTCOME_RETENTION_S
    return [
        Check(
            "outcomes kept for a day in a data centre",
            n_outcomes,
            N_OUTCOMES_MAX,
            "rows",
            "outcomes on disk, in segments by hour, found by an index of 16 bytes a "
            "row; a shorter time, agreed with the callers",
        ),
        Check(
            "a log between two snapshots, also in an hour's cut",
            LOG_MAX_BYTES / BYTES_PER_MB,
            CONTROL_MEMORY_MB,
            "MB",
            "nothing",
        ),
    ]
