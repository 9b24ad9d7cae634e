"""Detects stragglers at the leader of a data centre's group, once a second.

Only latencies that an upstream's current dispatcher observed are used. A host's reports
about upstreams for which it does not dispatch, or no longer does, are ignored. Until a
new dispatcher has observed enough answers, what the former one reported last stands for
a while: that nothing is known after a handover is no sign of a recovery.
"""

from collections import defaultdict

from bergamotferry.data_centre_tables import DataCentreTables
from bergamotferry.messages import RenewLeases
from bergamotferry.stragglers import (
    LATENCY_MAX_AGE_NS,
    Verdict,
    evaluate_stragglers,
    placement_weights,
    set_latencies,
    step_weights,
)

from .decision_log import log_straggler
from .host_state import ReportedLatency, StragglerState

EVALUATION_INTERVAL_NS = 1_000_000_000


def record_latencies(stragglers: StragglerState, message: RenewLeases) -> None:
    """Replace a host's previous latencies by those in its renewal message."""
    stragglers.reports[message.host.name] = message.latencies


def evaluate_if_due(
    stragglers: StragglerState, tables: DataCentreTables, group: str, now_ns: int
) -> bool:
    """Evaluate all upstreams if ``EVALUATION_INTERVAL_NS`` has passed since last time.

    Returns
    -------
    bool
        Whether placement weights have changed, so that shards should be placed anew.
    """
    if now_ns - stragglers.evaluated_ns < EVALUATION_INTERVAL_NS:
        return False
    stragglers.evaluated_ns = now_ns
    _update_latencies(stragglers, tables, now_ns)
    verdicts: list[Verdict] = evaluate_stragglers(stragglers.table)
    old_weights = stragglers.weights
    stragglers.weights = step_weights(old_weights, placement_weights(stragglers.table))
    for verdict in verdicts:
        log_straggler(group, verdict)
    return stragglers.weights != old_weights


def _update_latencies(
    stragglers: StragglerState, tables: DataCentreTables, now_ns: int
) -> None:
    rows = stragglers.table.rows
    for name in rows.keys() - tables.sessions.keys():
        del rows[name]
    _record_current_reports(stragglers, tables, now_ns)
    latencies: dict[str, dict[str, float]] = defaultdict(dict)
    for row in rows.values():
        latencies[row.service] = {}
    for name, reported in stragglers.reported.items():
        latencies[reported.service][name] = reported.latency_ms
    for service, latencies_ms in latencies.items():
        set_latencies(stragglers.table, service, latencies_ms)


def _record_current_reports(
    stragglers: StragglerState, tables: DataCentreTables, now_ns: int
) -> None:
    """Replace the latencies that stand by those that current dispatchers report."""
    current: dict[str, ReportedLatency] = {}
    for host, report in stragglers.reports.items():
        for service, name, latency_ms in report:
            dispatcher, session = (
                tables.dispatchers.get(name),
                tables.sessions.get(name),
            )
            if dispatcher is None or dispatcher.host != host or session is None:
                continue
            current[name] = ReportedLatency(
                service, latency_ms, host, session.incarnation, now_ns
            )
    former = {
        name: reported
        for name, reported in stragglers.reported.items()
        if _stands_after_handover(reported, name, tables, now_ns)
    }
    stragglers.reported = {**former, **current}


def _stands_after_handover(
    reported: ReportedLatency, name: str, tables: DataCentreTables, now_ns: int
) -> bool:
    dispatcher, session = tables.dispatchers.get(name), tables.sessions.get(name)
    if session is None or session.incarnation != reported.incarnation:
        return False
    if dispatcher is not None and dispatcher.host == reported.host:
        return False
    return now_ns - reported.reported_ns <= LATENCY_MAX_AGE_NS
