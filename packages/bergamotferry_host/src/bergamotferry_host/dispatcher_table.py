"""What this host holds in memory for each upstream that it dispatches for."""

import asyncio
from dataclasses import dataclass, field

from bergamotferry.admission import UpstreamQueue
from bergamotferry.records import ShardId, UpstreamSession


@dataclass(slots=True)
class UpstreamWork:
    """Queue, confirmed grants and work in flight of one upstream's incarnation."""

    session: UpstreamSession
    epoch: int
    queue: UpstreamQueue
    confirmed: dict[ShardId, int] = field(default_factory=dict)
    released: set[tuple[ShardId, int]] = field(default_factory=set)
    in_flight: dict[ShardId, int] = field(default_factory=dict)
    started: dict[str, "asyncio.Future[bool]"] = field(default_factory=dict)
    tasks: set["asyncio.Task[object]"] = field(default_factory=set)
    is_ordering: bool = False
    n_orders: int = 0


@dataclass(slots=True)
class DispatcherTable:
    """All upstreams that this host dispatches for, by name."""

    works: dict[str, UpstreamWork] = field(default_factory=dict)
