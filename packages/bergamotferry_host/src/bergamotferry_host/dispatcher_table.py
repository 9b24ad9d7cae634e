"""What this host holds in memory for each upstream that it dispatches for."""

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
    """Queue, confirmed grants and work in flight of one upstream's incarnation.

    ``in_flight`` counts by shard and epoch of the grant.
    ``sends`` are the tasks that talk to the upstream; they are cancelled when the host
    loses it. ``attempts`` names the filings that this host may still resolve, and
    ``fingerprints`` tells what runs by the id of its ticket. ``settled_index`` is the
    index of the applied log at which no order was due, and none could become so.
    """

    session: UpstreamSession
    epoch: int
    queue: UpstreamQueue
    confirmed: dict[ShardId, int] = field(default_factory=dict)
    released: set[tuple[ShardId, int]] = field(default_factory=set)
    in_flight: dict[tuple[ShardId, int], int] = field(default_factory=dict)
    started: dict[str, "asyncio.Future[Refused | None]"] = field(default_factory=dict)
    sends: set["asyncio.Task[object]"] = field(default_factory=set)
    attempts: set[str] = field(default_factory=set)
    fingerprints: dict[str, str] = field(default_factory=dict)
    n_bulk_in_flight: int = 0
    has_crashed: bool = False
    is_ordering: bool = False
    settled_index: int = -1
    n_orders: int = 0


@dataclass(slots=True)
class DispatcherTable:
    """All upstreams that this host dispatches for, by name.

    Requests go over these two sessions only, whose tracing "not run" rests on.
    ``loop_delay_ms`` is how late this host's own event loop was of late.
    """

    works: dict[str, UpstreamWork] = field(default_factory=dict)
    kept_http: aiohttp.ClientSession | None = None
    fresh_http: aiohttp.ClientSession | None = None
    filings: set["asyncio.Task[object]"] = field(default_factory=set)
    first_seen_ns: dict[tuple[str, int], int] = field(default_factory=dict)
    told_seen_ns: dict[tuple[str, int], int] = field(default_factory=dict)
    policies_off: frozenset[str] = frozenset()
    retry_budget: RetryBudget = field(default_factory=RetryBudget)
    link_budget: LinkBudget | None = None
    latencies: LatencyTable = field(default_factory=LatencyTable)
    hot_keys: HotKeyCounts = field(default_factory=HotKeyCounts)
    loop_delay_ms: float = 0.0
    ticket_numbers: "itertools.count[int]" = field(default_factory=itertools.count)
