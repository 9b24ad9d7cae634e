"""State that the parts of one running host share."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from bergamotferry.data_centre_tables import DataCentreTables
from bergamotferry.global_placement import RebalanceState
from bergamotferry.global_tables import GlobalTables
from bergamotferry.hot_keys import HotKeyReports
from bergamotferry.leases import LeaseTable
from bergamotferry.messages import CapacityReport
from bergamotferry.outcomes import Accepted, Refused
from bergamotferry.ownership_schedule import OwnershipSchedule
from bergamotferry.records import HostAddress, ShardId
from bergamotferry.stragglers import LatencyTable

from .bootstrap import GLOBAL_GROUP, data_centre_group
from .clock import now_ns
from .dispatcher_table import DispatcherTable
from .grant_history import GrantHistory
from .group_state import Group
from .metrics import Metrics
from .peer_network import PeerNetwork
from .settings import Settings


@dataclass(slots=True)
class SessionRenewal:
    """Renewals of one upstream's session that await the leader's reply."""

    incarnation: int
    waiters: list["asyncio.Future[Accepted | Refused]"] = field(default_factory=list)


class ReportedLatency(NamedTuple):
    """Latency of an upstream's incarnation, and which dispatcher reported it last."""

    service: str
    latency_ms: float
    host: str
    incarnation: int
    reported_ns: int


@dataclass(slots=True)
class StragglerState:
    """Latencies that hosts last reported, straggler verdicts, and weights in use.

    ``reported`` has the latencies in use by upstream, and ``evaluated_ns`` is the time
    of the last evaluation.
    """

    reports: dict[str, tuple[tuple[str, str, float], ...]] = field(default_factory=dict)
    reported: dict[str, ReportedLatency] = field(default_factory=dict)
    table: LatencyTable = field(default_factory=LatencyTable)
    weights: dict[str, float] = field(default_factory=dict)
    evaluated_ns: int = 0


@dataclass(slots=True)
class LeaderState:
    """In-memory state of a group's leader, invalid once leadership is lost.

    ``exported_home_epochs`` holds the shards in handover whose outcomes have all been
    transferred, with the epochs of their old homes.
    """

    term: int = -1
    leases: LeaseTable = field(default_factory=LeaseTable)
    capacity_reports: dict[str, CapacityReport] = field(default_factory=dict)
    report_times_ns: dict[str, int] = field(default_factory=dict)
    rebalance: RebalanceState = field(default_factory=RebalanceState)
    exported_home_epochs: dict[ShardId, int] = field(default_factory=dict)
    ownership_schedule: OwnershipSchedule = field(default_factory=OwnershipSchedule)
    stragglers: StragglerState = field(default_factory=StragglerState)
    hot_keys: HotKeyReports = field(default_factory=HotKeyReports)


@dataclass(slots=True)
class HostState:
    """Settings, groups, leases and requests in flight of this host.

    ``is_stopping`` is set when a planned stop begins, ``is_refusing_requests`` once the
    host refuses new requests. ``renewals`` holds the pending renewals by upstream.
    ``dispatcher_hints`` holds, by data centre and shard, the dispatcher that a refusal
    named last.
    """

    settings: Settings
    incarnation: str
    network: PeerNetwork
    groups: dict[str, Group]
    metrics: Metrics
    dispatchers: DispatcherTable
    host_lease_until_ns: int = 0
    host_lease_since_index: int = 0
    is_stopping: bool = False
    is_caught_up: bool = False
    is_refusing_requests: bool = False
    n_in_flight: int = 0
    in_flight_by_account: Counter[str] = field(default_factory=Counter)
    grant_history: GrantHistory = field(default_factory=GrantHistory)
    renewals: dict[str, SessionRenewal] = field(default_factory=dict)
    leaders: dict[str, LeaderState] = field(default_factory=dict)
    dispatcher_hints: dict[tuple[str, object], str] = field(default_factory=dict)

    @property
    def host(self) -> HostAddress:
        """Name and addresses of the host, from its settings."""
        return self.settings.host

    @property
    def global_group(self) -> Group:
        """The global group on this host."""
        return self.groups[GLOBAL_GROUP]

    @property
    def own_group(self) -> Group:
        """The group of this host's data centre."""
        return self.groups[data_centre_group(self.host.data_centre)]

    @property
    def global_tables(self) -> GlobalTables:
        """Configuration as applied on this host."""
        tables: GlobalTables = self.global_group.tables
        return tables

    @property
    def own_tables(self) -> DataCentreTables:
        """Tables of this host's data centre as applied on this host."""
        tables: DataCentreTables = self.own_group.tables
        return tables

    @property
    def has_host_lease(self) -> bool:
        """Whether this host may currently send orders and requests to upstreams.

        While a host has no lease, its upstreams may get other dispatchers. A new lease
        is therefore valid only once the host has applied all entries that were
        committed while it had none.
        """
        is_current = self.own_group.applied_index >= self.host_lease_since_index
        return is_current and now_ns() < self.host_lease_until_ns
