"""Metrics of a control host."""

from bergamotferry.fleet_metrics import MetricFamily, counted, single
from bergamotferry.followers import own_followers

from .answer_fetching import AnswerFetching
from .clock import now_ns
from .fleet_control import ControlHost, is_current

NS_PER_S = 1_000_000_000


def control_families(host: ControlHost, fetching: AnswerFetching) -> list[MetricFamily]:
    """Return the metric families of a control host and its answer fetches."""
    n_followers = len(own_followers(host.followers, now_ns()))
    replica = host.group.replica
    tables = host.tables
    is_leader = replica.role == "leader"
    leader_age_s = 0.0 if is_leader else (now_ns() - replica.heard_leader_ns) / NS_PER_S
    return [
        single("is_leader", "Whether this host leads the group.", "gauge", is_leader),
        single(
            "is_current", "Whether followers may trust it.", "gauge", is_current(host)
        ),
        single("term", "Of the group's leader.", "gauge", replica.term),
        single(
            "leader_age_seconds", "Since the leader was heard.", "gauge", leader_age_s
        ),
        single("commit_index", "Of the group's log.", "gauge", replica.commit_index),
        single("revision", "Of the tables applied here.", "gauge", tables.revision),
        single(
            "configuration_version",
            "Of the configuration in force.",
            "gauge",
            host.configuration.version,
        ),
        single("voters", "Of the group.", "gauge", len(replica.membership.voters)),
        single("learners", "Of the group.", "gauge", len(replica.membership.learners)),
        single("followers", "Hosts that follow this one.", "gauge", n_followers),
        single("evacuated", "Data centres evacuated.", "gauge", len(tables.evacuated)),
        counted(
            "sessions",
            "Upstreams known, by phase.",
            "phase",
            (session.row.phase for session in host.sessions.rows.values()),
        ),
        counted(
            "ranges",
            "Key ranges assigned, by service.",
            "service",
            (row.service for row in tables.ranges.values()),
        ),
        MetricFamily(
            "orders",
            "Operators' and upstreams' orders, by result code.",
            "counter",
            ("order", "code"),
            host.command_counts,
        ),
        single(
            "answers_held",
            "Large answers held for hosts with narrow links.",
            "gauge",
            fetching.n_held,
        ),
        single(
            "far_window",
            "Large answers that may come from other regions at once.",
            "gauge",
            fetching.remote_turns.window.size,
        ),
        MetricFamily(
            "answers_fetched",
            "Large answers asked for by hosts with narrow links, by result.",
            "counter",
            ("result",),
            fetching.counts,
        ),
        single("heartbeats", "Heartbeats taken.", "counter", host.n_heartbeats),
    ]
