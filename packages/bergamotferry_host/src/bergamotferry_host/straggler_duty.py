"""Judges stragglers at the leader of a data centre's group, once a second.

Only what dispatchers observed is gone by: what a host reports about an upstream that it
does not dispatch for, or no longer, is left out.
"""

from collections import defaultdict

from bergamotferry.data_centre_tables import DataCentreTables
from bergamotferry.messages import RenewLeases
from bergamotferry.stragglers import (
    Verdict,
    judge_stragglers,
    placement_weights,
    set_latencies,
    step_weights,
)

from .decision_log import log_straggler
from .host_state import StragglerState

JUDGE_INTERVAL_NS = 1_000_000_000


def note_latencies(stragglers: StragglerState, message: RenewLeases) -> None:
    """Keep what a host observed, instead of what it reported before."""
    stragglers.reports[message.host.name] = message.latencies


def judge_if_due(
    stragglers: StragglerState, tables: DataCentreTables, group: str, now_ns: int
) -> bool:
    """Look at all upstreams if it is time; return whether placement is to follow."""
    if now_ns - stragglers.judged_ns < JUDGE_INTERVAL_NS:
        return False
    stragglers.judged_ns = now_ns
    _take_reports(stragglers, tables)
    verdicts: list[Verdict] = judge_stragglers(stragglers.table)
    before = stragglers.weights
    stragglers.weights = step_weights(before, placement_weights(stragglers.table))
    for verdict in verdicts:
        log_straggler(group, verdict)
    return stragglers.weights != before


def _take_reports(stragglers: StragglerState, tables: DataCentreTables) -> None:
    rows = stragglers.table.rows
    for name in rows.keys() - tables.sessions.keys():
        del rows[name]
    latencies: dict[str, dict[str, float]] = defaultdict(dict)
    for row in rows.values():
        latencies[row.service] = {}
    for host, report in stragglers.reports.items():
        for service, name, latency_ms in report:
            dispatcher = tables.dispatchers.get(name)
            if dispatcher is not None and dispatcher.host == host:
                if name in tables.sessions:
                    latencies[service][name] = latency_ms
    for service, latencies_ms in latencies.items():
        set_latencies(stragglers.table, service, latencies_ms)
