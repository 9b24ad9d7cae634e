"""Metrics of a control host."""

from bergamotferry.fleet_metrics import MetricFamily, count_family, single_value_family
from bergamotferry.followers import own_followers
from bergamotferry.replication.membership import ALIVE_MAX_SILENCE_NS
from bergamotferry.replication.quorum import vote_margin

from .accounts.confirmation import needs_confirmation, reported_age_ms
from .answer_fetching import AnswerFetching
from .clock import now_ns
from .fleet_control import ControlHost, is_current
from .quota.ledger_metrics import ledger_families
from .quota.share_ledger import LeaderQuota
from .service_load.load_metrics import control_load_families

NS_PER_S = 1_000_000_000


def control_families(
    host: ControlHost, fetching: AnswerFetching, quota: LeaderQuota
) -> list[MetricFamily]:
    """Return the metric families of a control host, its fetches and its ledger."""
    n_followers = len(own_followers(host.followers, now_ns()))
    replica = host.group.replica
    tables = host.tables
    is_leader = replica.role == "leader"
    leader_age_s = (
        0.0 if is_leader else (now_ns() - replica.leader_contact_ns) / NS_PER_S
    )
    return [
        single_value_family(
            "is_leader", "Whether this host leads the group.", "gauge", is_leader
        ),
        single_value_family(
            "is_current", "Whether followers may trust it.", "gauge", is_current(host)
        ),
        single_value_family("term", "Of the group's leader.", "gauge", replica.term),
        single_value_family(
            "leader_age_seconds", "Since the leader was heard.", "gauge", leader_age_s
        ),
        *_confirmation(host),
        *ledger_families(host, quota),
        single_value_family(
            "is_disk_full",
            "Whether writes wait for space on the disk.",
            "gauge",
            host.group.is_disk_full,
        ),
        single_value_family(
            "commit_index", "Of the group's log.", "gauge", replica.commit_index
        ),
        single_value_family(
            "revision", "Of the tables applied here.", "gauge", tables.revision
        ),
        single_value_family(
            "configuration_version",
            "Of the configuration in force.",
            "gauge",
            host.configuration.version,
        ),
        single_value_family(
            "voters", "Of the group.", "gauge", len(replica.membership.voters)
        ),
        single_value_family(
            "spare_votes",
            "Voters heard lately beyond a majority; on the leader only.",
            "gauge",
            vote_margin(replica, now_ns(), ALIVE_MAX_SILENCE_NS) if is_leader else 0,
        ),
        single_value_family(
            "learners", "Of the group.", "gauge", len(replica.membership.learners)
        ),
        single_value_family(
            "followers", "Hosts that follow this one.", "gauge", n_followers
        ),
        single_value_family(
            "orders_ordered_since",
            "Orders refused by this leader: a later one on the object was not known.",
            "counter",
            host.group.n_conflicts,
        ),
        single_value_family(
            "evacuated", "Data centres evacuated.", "gauge", len(tables.evacuated)
        ),
        count_family(
            "sessions",
            "Upstreams known, by phase.",
            "phase",
            (session.row.phase for session in host.sessions.rows.values()),
        ),
        count_family(
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
        single_value_family(
            "answers_held",
            "Large answers held for hosts with narrow links.",
            "gauge",
            fetching.n_held,
        ),
        single_value_family(
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
        single_value_family(
            "heartbeats", "Heartbeats taken.", "counter", host.n_heartbeats
        ),
        *control_load_families(host),
    ]


def _confirmation(host: ControlHost) -> list[MetricFamily]:
    """Return the age of the last confirmation of the state, where there are any."""
    if not needs_confirmation(host):
        return []
    return [
        single_value_family(
            "confirmed_age_seconds",
            "Since the tables surely held every acknowledged change; negative: never.",
            "gauge",
            reported_age_ms(host) / 1000,
        )
    ]
