"""Models of hosts and upstreams for the state-machine test of ownership.

`HostModel` has the part of a host's state that `bergamotferry_host.orders` reads, and
does no I/O. `UpstreamModel` follows the rules that the interface sets for upstreams.
"""

from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, NamedTuple

from bergamotferry.data_centre_tables import DataCentreTables
from bergamotferry.outcomes import Refused
from bergamotferry.records import ShardId
from bergamotferry.routing import find_owner
from bergamotferry_host.orders import shard_text


@dataclass(slots=True)
class Clock:
    """Simulated time, shared by all models of one test run, in nanoseconds."""

    now_ns: int = 0


class Run(NamedTuple):
    """A request that an upstream runs, and the grant that it was sent with."""

    key: tuple[ShardId, int]
    shard: ShardId
    epoch: int


@dataclass(slots=True)
class UpstreamModel:
    """The process of an upstream, which follows the rules of the interface."""

    name: str
    checks_epochs: bool
    incarnation: int = 1
    lease_until_ns: int = 0
    session_epoch: int = 0
    dispatcher_epoch: int = 0
    last_order: int = 0
    grants: dict[ShardId, int] = field(default_factory=dict)
    running: list["Run"] = field(default_factory=list)

    def adopt_session(self, session_epoch: int) -> None:
        """Adopt a session; drop the grants and the requests of earlier sessions."""
        if session_epoch > self.session_epoch:
            self.session_epoch = session_epoch
            self.grants.clear()
            # An upstream ends the requests of a session before it opens another one.
            self.running.clear()

    def apply_order(self, order: dict[str, Any]) -> set[str] | None:
        """Apply an order; return the released shards that still run requests.

        Returns None if the order was refused. Only an upstream that checks epochs
        refuses an order, as stale or for another incarnation.
        """
        order_position = (order["dispatcher_epoch"], order["order"])
        is_stale = order_position <= (self.dispatcher_epoch, self.last_order)
        is_stale = is_stale or order["session_epoch"] < self.session_epoch
        is_other_incarnation = order["incarnation"] != self.incarnation
        if self.checks_epochs and (is_stale or is_other_incarnation):
            return None
        self.dispatcher_epoch, self.last_order = order_position
        self.adopt_session(order["session_epoch"])
        self.grants.update(order["granted"])
        busy: set[str] = set()
        for shard, epoch in order["released"]:
            if any(run.shard == shard and run.epoch <= epoch for run in self.running):
                busy.add(shard_text(shard))
            elif self.grants.get(shard) == epoch:
                del self.grants[shard]
        return busy


class HostModel:
    """The part of a host's state that `orders` reads; it does no I/O."""

    def __init__(self, name: str, clock: Clock) -> None:
        self.host = SimpleNamespace(name=name)
        self.clock = clock
        self.n_starts = 0
        self.n_renewals = 0
        self.faults: set[str] = set()
        self.restart()

    def restart(self) -> None:
        """Start as a new process with empty tables."""
        self.n_starts += 1
        self.own_tables = DataCentreTables()
        self.applied_index = 0
        self.lease_until_ns = 0
        self.since_index = 0
        self.is_stopping = False
        self.dispatchers = SimpleNamespace(work_by_upstream={})

    @property
    def has_host_lease(self) -> bool:
        """Whether this host may send requests, by the rule of `HostState`."""
        is_current = self.applied_index >= self.since_index
        return is_current and self.clock.now_ns < self.lease_until_ns

    def update_dispatchers(self) -> None:
        """Update the dispatchers from the tables, as `run_dispatcher` does."""
        work_by_upstream = self.dispatchers.work_by_upstream
        tables = self.own_tables
        for name, row in tables.dispatchers.items():
            session = tables.sessions.get(name)
            if session is None or row.host != self.host.name:
                continue
            if (
                name not in work_by_upstream
                or work_by_upstream[name].epoch != row.epoch
            ):
                work_by_upstream[name] = SimpleNamespace(
                    session=session,
                    epoch=row.epoch,
                    confirmed={},
                    released=set(),
                    in_flight={},
                    is_ordering=False,
                    last_order_number=0,
                )
            is_replaced = (
                session.opened_epoch != work_by_upstream[name].session.opened_epoch
            )
            if session.state == "expired" or is_replaced:
                work_by_upstream[name].in_flight.clear()
        for name in list(work_by_upstream):
            dispatcher = tables.dispatchers.get(name)
            if dispatcher is None or dispatcher.host != self.host.name:
                del work_by_upstream[name]

    def shard_of(self, key: tuple[ShardId, int]) -> ShardId:
        """Return the shard that serves a key by the tables of this host."""
        return self.own_tables.exception_shards.get(key, key[0])

    def upstream_to_send_to(self, key: tuple[ShardId, int]) -> str | None:
        """Return the upstream that this host would send a request for a key to.

        Returns None if the host may not send: it has no lease, knows no owner of the
        key, or is not the owner's dispatcher.
        """
        owner = find_owner(self.own_tables, self.shard_of(key))
        if isinstance(owner, Refused) or owner.dispatcher.host != self.host.name:
            return None
        return owner.session.name if self.has_host_lease else None
