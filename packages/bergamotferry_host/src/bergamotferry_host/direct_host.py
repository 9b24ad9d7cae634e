"""State of a host that accepts requests and sends them directly to upstreams.

The host follows one control host at a time and keeps what that one reports: the
configuration, upstreams, key ranges and evacuations. When no control host is reachable,
it continues with the state that it has.
"""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import count

from bergamotferry.accounts import trusts_keys
from bergamotferry.answer_link import AnswerLink
from bergamotferry.cold_rate import ColdRate
from bergamotferry.configuration import Configuration, DirectRoute
from bergamotferry.direct_placement import (
    Distance,
)
from bergamotferry.fleet_metrics import RequestMetrics
from bergamotferry.fleet_tables import KeyRange
from bergamotferry.key_load import reported_bucket, work_at_holder_ms
from bergamotferry.key_pause import KeyPause
from bergamotferry.key_ranges import range_of_key
from bergamotferry.memory.ledger import MemoryLedger
from bergamotferry.service_load.rows import ServiceLoad
from bergamotferry.service_load.work_counts import WorkCounts
from bergamotferry.stop_admission import AnswerTimes
from bergamotferry.upstream_load import (
    UpstreamLoad,
    WorkTime,
)
from bergamotferry.upstream_notice import Availability
from bergamotferry.upstream_sessions import SessionRow
from bergamotferry.window_budget import WindowBudget

from .clock import now_ns
from .crash_exchange import CrashExchange, count_end
from .fleet_settings import FleetSettings
from .fleet_start import DecodeConfiguration
from .peer_network import PeerNetwork
from .quota.state import QuotaState
from .spill.state import HostSpill
from .upstream_ends import EndWatch

# A host does not know the other hosts of its data centre for this long after its start.
HOST_DISCOVERY_NS = 2_000_000_000


@dataclass(slots=True)
class Upstream:
    """An upstream as this host knows it.

    ``probe_task`` is the load probe in flight, if any. ``rank`` is the rank of this
    host among the hosts of the upstream's data centre; it is None if this host is in
    another data centre. The host of rank 0 prefers the upstream. ``known_ns`` is when
    this host first heard of the incarnation. ``n_body_bytes`` counts the bytes of large
    bodies that are under way to it.
    """

    row: SessionRow
    load: UpstreamLoad
    cold: ColdRate = field(default_factory=ColdRate)
    availability: Availability = field(default_factory=Availability)
    rank: int | None = None
    probe_task: "asyncio.Task[None] | None" = None
    known_ns: int = field(default_factory=now_ns)
    n_body_bytes: int = 0


@dataclass(slots=True)
class DirectHost:
    """State of one host that sends requests directly to upstreams.

    ``host_reported_ns`` is when each host of the data centre was last reported, and
    ``n_hosts_reported_ns`` when ``n_hosts_all``, the number of all hosts, was.
    ``followed`` names the control host that this host follows; ``source`` and
    ``session_change`` are the position in the changes that it reports.
    ``control_reported_ns`` is when a control host last reported, and ``confirmed_ns``
    as of when the configuration held every acknowledged change (0 if that is not
    known). ``ranges`` holds the
    key ranges of each service, in order of keys. ``key_work`` is the requested work by
    service and bucket of keys, in slot-milliseconds, since the last report to the
    control host. ``services_without_load`` are the services whose upstreams report no
    load. ``stop_end_ns`` is set in a planned stop: by then all answers must be ready.
    Until ``rotation_end_ns`` the load balancer may not have noticed the stop.
    ``answer_times`` are the recent answer times by route. ``configured`` is set once a
    configuration is known. ``link_turns`` are the requests that wait for a turn on
    ``link`` or hold one. ``link_timer`` is set while the next request waits for the
    start of its turn. ``fetch_pauses_ns`` is, by control host, until when it is not
    asked to fetch answers. ``crashes`` are the records of requests that end upstreams,
    ``run_locks`` let those under suspicion run one at a time, by fingerprint, and
    ``end_watch`` the connection losses that may be such ends. ``notice_tasks`` are
    reports to control that an upstream leaves. ``memory`` counts and bounds the bytes
    that are held. ``work_counts`` is the work that arrived since the last
    report. ``service_loads`` are the newest rows of service load, by service and data
    centre, which arrived at ``service_loads_ns``. ``spill`` is what this host decides
    by them. ``hot_holders`` are the overloaded holders of keys. ``quota`` is what this
    host may send for accounts with a cap.
    """

    settings: FleetSettings
    network: PeerNetwork
    decode_configuration: DecodeConfiguration
    configuration: Configuration = field(default_factory=lambda: Configuration(0))
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    ready_by_service: dict[str, list[Upstream]] = field(default_factory=dict)
    ranges: dict[str, list[KeyRange]] = field(default_factory=dict)
    evacuated: frozenset[str] = frozenset()
    work_times: dict[str, WorkTime] = field(default_factory=dict)
    retry_budgets: dict[str, WindowBudget] = field(default_factory=dict)
    followed: str = ""
    source: str = ""
    session_change: int = 0
    revision: int = -1
    control_hosts: list[str] = field(default_factory=list)
    local_hosts: tuple[str, ...] = ()
    host_reported_ns: dict[str, int] = field(default_factory=dict)
    n_hosts_all: int = 1
    n_hosts_reported_ns: int = 0
    control_reported_ns: int = 0
    confirmed_ns: int = 0
    services_without_load: set[str] = field(default_factory=set)
    key_pauses: dict[int, KeyPause] = field(default_factory=dict)
    key_work: dict[tuple[str, int], float] = field(default_factory=dict)
    began_ns: int = field(default_factory=now_ns)
    n_in_flight: int = 0
    configured: asyncio.Event = field(default_factory=asyncio.Event)
    stop_end_ns: int | None = None
    rotation_end_ns: int = 0
    answer_times: dict[str, AnswerTimes] = field(default_factory=dict)
    metrics: RequestMetrics = field(default_factory=RequestMetrics)
    memory: MemoryLedger = field(init=False)
    quota: QuotaState = field(init=False)
    link: AnswerLink = field(default_factory=lambda: AnswerLink(0.0))
    link_turns: dict[int, "asyncio.Future[None]"] = field(default_factory=dict)
    link_timer: asyncio.TimerHandle | None = None
    link_numbers: Iterator[int] = field(default_factory=count)
    fetch_pauses_ns: dict[str, int] = field(default_factory=dict)
    crashes: CrashExchange = field(default_factory=CrashExchange)
    run_locks: dict[str, asyncio.Lock] = field(default_factory=dict)
    end_watch: EndWatch = field(init=False)
    notice_tasks: set[asyncio.Task[None]] = field(default_factory=set)
    work_counts: WorkCounts = field(default_factory=lambda: WorkCounts(now_ns()))
    service_loads: dict[tuple[str, str], ServiceLoad] = field(default_factory=dict)
    service_loads_ns: int = 0
    hot_holders: frozenset[str] = frozenset()
    spill: HostSpill = field(default_factory=HostSpill)

    def __post_init__(self) -> None:
        self.memory = MemoryLedger.from_memory(self.settings.memory_mb)
        self.quota = QuotaState.from_settings(self.settings)
        self.end_watch = EndWatch(
            lambda run: count_end(self.crashes, run.fingerprint, run.known)
        )

    @property
    def is_stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self.stop_end_ns is not None

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send callers to this host.

        A host that would refuse them all is not ready: the next host may serve them.
        """
        serves_any = self.trusts_keys or not self.configuration.needs_keys
        return self.configuration.version > 0 and not self.is_stopping and serves_any

    @property
    def trusts_keys(self) -> bool:
        """Whether the configuration is recent enough to serve API keys."""
        bounds = self.settings.bounds
        if not bounds.is_fail_closed:
            return True
        return trusts_keys(self.confirmed_ns, bounds.revoke_ms, now_ns())


def retry_budget_of(host: DirectHost, service: str) -> WindowBudget:
    """Return this host's part of a service's retry budget."""
    budget = host.retry_budgets.get(service)
    if budget is None:
        bounds = host.settings.bounds
        budget = host.retry_budgets[service] = WindowBudget(
            bounds.retry_budget_ratio,
            bounds.retry_budget_reserve,
            bounds.retry_window_s,
            host.began_ns,
        )
    budget.n_hosts = host.n_hosts_all
    return budget


def work_time_of(host: DirectHost, route: DirectRoute) -> WorkTime:
    """Return the work time and answer size that this host expects of a route."""
    work = host.work_times.get(route.name)
    if work is None:
        work = host.work_times[route.name] = WorkTime.from_kind(route.kind)
    return work


def answer_times_of(host: DirectHost, route: DirectRoute) -> AnswerTimes:
    """Return the recent answer times of a route at this host."""
    return host.answer_times.setdefault(route.name, AnswerTimes())


def distance_of(settings: FleetSettings, data_centre: str) -> Distance:
    """Return the distance of a data centre: this one, same region or cross-region."""
    if data_centre == settings.data_centre:
        return "here"
    is_near = settings.regions.get(data_centre, "") == settings.region
    return "near" if is_near else "far"


def assigned_range(host: DirectHost, service: str, key: int) -> KeyRange | None:
    """Return the assigned range that contains a key; None if none is known."""
    return range_of_key(host.ranges.get(service, []), key)


def record_key_request(
    host: DirectHost, service: str, key: int, work_ms: float
) -> None:
    """Count the work of a request for a key, for the report to the control host."""
    key_range = assigned_range(host, service, key)
    holder = host.upstreams.get(key_range.upstream) if key_range else None
    if holder is not None:
        work_ms = work_at_holder_ms(work_ms, holder.load.relative_work_time)
    bucket = service, reported_bucket(key)
    host.key_work[bucket] = host.key_work.get(bucket, 0.0) + work_ms


def knows_local_hosts(host: DirectHost, now: int) -> bool:
    """Return whether this host has run long enough to know its data centre's hosts."""
    return now - host.began_ns >= HOST_DISCOVERY_NS
