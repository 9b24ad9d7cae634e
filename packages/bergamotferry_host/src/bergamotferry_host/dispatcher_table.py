"""In-memory state of a host for each upstream that it dispatches for."""

import asyncio
import itertools
from dataclasses import dataclass, field

import aiohttp

from bergamotferry.admission import UpstreamQueue
from bergamotferry.hot_keys import HotKeyCounts
from bergamotferry.link_budget import LinkBudget
from bergamotferry.outcomes import Refused
from bergamotferry.records import ShardId, UpstreamSession
from bergamotferry.retry_budget import RetryBudget
from bergamotferry.stragglers import LatencyTable


@dataclass(slots=True)
class UpstreamWork:
    """Queue, confirmed grants and requests in flight of one upstream's incarnation.

    ``epoch`` is the epoch of the dispatcher. ``confirmed`` maps a shard to the epoch of
    the grant that the upstream confirmed, ``released`` holds the grants that it gave
    back. ``in_flight`` counts requests by shard and epoch of the grant.
    ``slot_futures`` are the requests that wait for a slot, by ticket; the result is a
    refusal, or None once the slot is taken. ``send_tasks`` are the tasks that send to
    the upstream; they are cancelled when the host stops dispatching for it.
    ``unresolved_attempts`` are the ids of filings whose outcome this host may still
    record. ``fingerprints`` maps the id of a running ticket to its request's
    fingerprint. ``settled_index`` is the applied log index at which no order to the
    upstream was due and none could become due before the next entry.
    """

    session: UpstreamSession
    epoch: int
    queue: UpstreamQueue
    confirmed: dict[ShardId, int] = field(default_factory=dict)
    released: set[tuple[ShardId, int]] = field(default_factory=set)
    in_flight: dict[tuple[ShardId, int], int] = field(default_factory=dict)
    slot_futures: dict[str, "asyncio.Future[Refused | None]"] = field(
        default_factory=dict
    )
    send_tasks: set["asyncio.Task[object]"] = field(default_factory=set)
    unresolved_attempts: set[str] = field(default_factory=set)
    fingerprints: dict[str, str] = field(default_factory=dict)
    n_bulk_in_flight: int = 0
    has_crashed: bool = False
    is_ordering: bool = False
    settled_index: int = -1
    last_order_number: int = 0


@dataclass(slots=True)
class DispatcherTable:
    """All upstreams that this host dispatches for, by name, and what they share.

    ``background_tasks`` are tasks that continue after the request that started them:
    filings, withdrawals of intents and releases from quarantine. Requests are sent
    through ``kept_http`` and ``fresh_http`` only: "not run" relies on the tracing that
    both HTTP clients have. ``first_seen_ns`` is when each incarnation was first known,
    by name and incarnation. ``reported_seen_ns`` is the same time as reported by the
    leader, for incarnations that no log entry applied here names yet.
    ``loop_delay_ms`` is the smoothed delay with which this host's event loop resumes
    its tasks. ``paused_ms`` is for how long this host was paused altogether, and
    ``wake_due_ns`` when its dispatcher should wake up next, 0 while it is awake.
    """

    work_by_upstream: dict[str, UpstreamWork] = field(default_factory=dict)
    kept_http: aiohttp.ClientSession | None = None
    fresh_http: aiohttp.ClientSession | None = None
    background_tasks: set["asyncio.Task[object]"] = field(default_factory=set)
    first_seen_ns: dict[tuple[str, int], int] = field(default_factory=dict)
    reported_seen_ns: dict[tuple[str, int], int] = field(default_factory=dict)
    policies_off: frozenset[str] = frozenset()
    retry_budget: RetryBudget = field(default_factory=RetryBudget)
    link_budget: LinkBudget | None = None
    latencies: LatencyTable = field(default_factory=LatencyTable)
    hot_keys: HotKeyCounts = field(default_factory=HotKeyCounts)
    loop_delay_ms: float = 0.0
    paused_ms: float = 0.0
    wake_due_ns: int = 0
    ticket_numbers: "itertools.count[int]" = field(default_factory=itertools.count)
