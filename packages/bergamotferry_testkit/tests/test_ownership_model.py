"""A state machine of tables, leases and orders checks that ownership is exclusive.

Hosts lag in applying the log, lose their leases, pause between a check and a write, and
restart. Renewals, orders and replies are lost, late or resent. Upstreams restart,
leave and freeze. Leaders change and lose uncommitted entries. At any time, a shard has
at most one owner, and at most one host may send orders to an upstream. Hot keys get
shards of their own, which move and end; a key has at most one owner throughout.
"""

from collections.abc import Callable
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from bergamotferry.commands import (
    DrainSession,
    EndExceptions,
    OpenSession,
    RevokeShards,
)
from bergamotferry.data_centre_tables import DataCentreTables, apply_data_centre_command
from bergamotferry.global_tables import GlobalTables
from bergamotferry.hot_key_messages import KeyRate
from bergamotferry.hot_key_placement import run_key_exceptions
from bergamotferry.hot_keys import HOT_RATE_PER_S, HotKeyReports, record_hot_key_report
from bergamotferry.leases import (
    HOST_LEASE_MS,
    NS_PER_MS,
    SESSION_LEASE_MS,
    LeaseTable,
    assume_all_granted,
    record_reports,
    renew_host,
    renew_session,
)
from bergamotferry.outcomes import Refused
from bergamotferry.ownership import run_ownership
from bergamotferry.records import DataCentre, Service, ShardHome, ShardId
from bergamotferry.routing import find_owner
from bergamotferry_host.orders import (
    _may_order,
    _orders_due,
    completed_releases,
    drained_upstreams,
    release_fences,
    released_shards,
)
from bergamotferry_testkit.ownership_model import Clock, HostModel, Run, UpstreamModel

HOSTS = ("h1", "h2", "h3")
UPSTREAMS = ("u1", "u2", "u3")
# Upstreams that check the epochs of orders and of requests.
CHECKING_UPSTREAMS = frozenset({"u1", "u2"})
SHARDS = tuple(ShardId("s", "", number) for number in range(4))
KEYS = tuple((shard, key_hash) for shard in SHARDS for key_hash in range(2))
# Two hot keys of one shard, and one hot key of another shard.
HOT_KEYS = (KEYS[0], KEYS[1], KEYS[4])
ROUND_NS = 50 * NS_PER_MS
HOST_FAULTS = ("log stalled", "applies slowly", "partitioned", "renewals late")
UPSTREAM_FAULTS = ("partitioned", "renewals late", "deliveries late")
EVENTS = (
    "nothing",
    "upstream restarts",
    "upstream leaves",
    "upstream announces",
    "host restarts",
    "host stops",
    "leader changes",
    "orders time out",
    "keys become hot",
    "hot keys move",
    "hot keys become cold",
)
host_names = st.sampled_from(HOSTS)
upstream_names = st.sampled_from(UPSTREAMS)


class OwnershipMachine(RuleBasedStateMachine):
    """The group of a data centre with its hosts and upstreams, in simulated time."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = Clock()
        self.log: list[Any] = []
        self.tables = DataCentreTables()
        self.n_committed = 0
        self.leases = LeaseTable()
        self.hosts = {name: HostModel(name, self.clock) for name in HOSTS}
        self.processes = {
            name: UpstreamModel(name, name in CHECKING_UPSTREAMS) for name in UPSTREAMS
        }
        self.upstream_faults: dict[str, set[str]] = {name: set() for name in UPSTREAMS}
        self.late_messages: list[Any] = []
        self.reports = HotKeyReports()
        self.are_keys_hot = False
        self.idle_upstream = UPSTREAMS[0]
        self.commits_late = False
        self.global_tables = GlobalTables(revision=1)
        self.global_tables.services["s"] = Service("s", len(SHARDS))
        self.global_tables.data_centres["a"] = DataCentre("a", "r", "in")
        for shard in SHARDS:
            self.global_tables.shard_homes[shard] = ShardHome("a", 1, "")

    @initialize()
    def begin(self) -> None:
        assume_all_granted(self.leases, HOSTS, {}, self.clock.now_ns)
        for name in UPSTREAMS:
            self.announce(name)
        self.settle(14)

    def settle(self, n_rounds: int) -> None:
        """Advance the simulation by rounds, except for the steps that faults block."""
        for _ in range(n_rounds):
            if self.commits_late:
                self.commit_all()
            self.leader_tick()
            if not self.commits_late:
                self.commit_all()
            for name, host in self.hosts.items():
                if "log stalled" not in host.faults:
                    is_slow = "applies slowly" in host.faults
                    self.apply(name, 1 if is_slow else len(self.log))
                if "partitioned" not in host.faults:
                    self.renew_host(name, "renewals late" in host.faults)
            for name in UPSTREAMS:
                faults = self.upstream_faults[name]
                if "partitioned" not in faults:
                    self.renew_upstream(name, "renewals late" in faults)
                for host_name in HOSTS:
                    self.order(host_name, name, "deliveries late" in faults)
            self.check()
            self.clock.now_ns += ROUND_NS
            self.check()

    @rule(
        host_name=host_names,
        host_faults=st.sets(st.sampled_from(HOST_FAULTS)),
        name=upstream_names,
        faults=st.sets(st.sampled_from(UPSTREAM_FAULTS)),
        event=st.sampled_from(EVENTS),
        n_before=st.sampled_from((0, 1, 14)),
        n_after=st.sampled_from((0, 1, 14)),
        commits_late=st.booleans(),
    )
    def inject_faults(
        self,
        host_name: str,
        host_faults: set[str],
        name: str,
        faults: set[str],
        event: str,
        n_before: int,
        n_after: int,
        commits_late: bool,
    ) -> None:
        """Set faults on a host and an upstream, and apply an event between rounds."""
        self.write_requests()
        self.hosts[host_name].faults = host_faults
        self.upstream_faults[name] = faults
        self.commits_late = commits_late
        self.settle(n_before)
        match event:
            case "upstream restarts":
                incarnation = self.processes[name].incarnation + 1
                self.processes[name] = UpstreamModel(
                    name, name in CHECKING_UPSTREAMS, incarnation
                )
                self.announce(name)
            case "upstream leaves":
                incarnation = self.processes[name].incarnation
                self.log.append(DrainSession(name, incarnation, False))
            case "upstream announces":
                self.announce(name)
            case "host restarts":
                self.hosts[host_name].restart()
            case "host stops":
                self.hosts[host_name].is_stopping = True
            case "leader changes":
                self.change_leader()
            case "orders time out":
                self.time_out_orders()
            case "keys become hot":
                self.are_keys_hot = True
                self.idle_upstream = name
            case "hot keys move":
                self.idle_upstream = name
                self.move_hot_keys()
            case "hot keys become cold":
                self.are_keys_hot = False
                self.end_exceptions()
        self.settle(n_after)

    @rule(name=host_names, n_rounds=st.sampled_from((0, 1, 14)))
    def clear_host_faults(self, name: str, n_rounds: int) -> None:
        self.hosts[name].faults = set()
        self.settle(n_rounds)

    @rule(name=upstream_names, n_rounds=st.sampled_from((0, 1, 14)))
    def clear_upstream_faults(self, name: str, n_rounds: int) -> None:
        self.upstream_faults[name] = set()
        self.settle(n_rounds)

    def write_requests(self) -> None:
        for host_name in HOSTS:
            for key in KEYS:
                self.write_request(host_name, key)

    def leader_tick(self) -> None:
        now_ns = self.clock.now_ns
        self.log += run_ownership(
            self.tables, self.global_tables, self.leases, "a", now_ns
        )
        rates = [KeyRate(*key, HOT_RATE_PER_S) for key in HOT_KEYS]
        loads = [
            (name, HOT_RATE_PER_S * 3 * (name != self.idle_upstream))
            for name in UPSTREAMS
        ]
        reported_rates = rates if self.are_keys_hot else []
        record_hot_key_report(self.reports, "h1", reported_rates, loads, now_ns)
        self.log += run_key_exceptions(
            self.tables, self.global_tables, self.leases, self.reports, "a", now_ns
        )

    def move_hot_keys(self) -> None:
        held_grants = [
            grant
            for shard, grant in self.tables.grants.items()
            if shard in self.tables.key_exceptions and grant.state == "held"
        ]
        epochs = tuple(grant.epoch for grant in held_grants)
        self.log.append(
            RevokeShards(tuple(grant.shard for grant in held_grants), epochs)
        )

    def end_exceptions(self) -> None:
        exceptions = self.tables.key_exceptions.values()
        epochs = tuple(exception.first_epoch for exception in exceptions)
        self.log.append(
            EndExceptions(tuple(exception.shard for exception in exceptions), epochs)
        )

    def commit_all(self) -> None:
        while self.n_committed < len(self.log):
            apply_data_centre_command(self.tables, self.log[self.n_committed])
            self.n_committed += 1

    def change_leader(self) -> None:
        # With late commits, the new leader lacks the uncommitted entries.
        if self.commits_late:
            del self.log[self.n_committed :]
        self.commit_all()
        hosts = set(HOSTS)
        assume_all_granted(self.leases, hosts, self.tables.sessions, self.clock.now_ns)

    def apply(self, name: str, n_entries: int) -> None:
        host = self.hosts[name]
        target_index = min(self.n_committed, host.applied_index + n_entries)
        while host.applied_index < target_index:
            apply_data_centre_command(host.own_tables, self.log[host.applied_index])
            host.applied_index += 1
            host.update_dispatchers()

    def renew_host(self, name: str, is_late: bool) -> None:
        host, sent_ns = self.hosts[name], self.clock.now_ns
        host.n_renewals += 1
        identity = (host.n_starts, host.n_renewals)
        reports = (drained_upstreams(host), released_shards(host))
        is_stopping = host.is_stopping

        def receive() -> None:
            lease = renew_host(
                self.leases,
                name,
                str(identity[0]),
                is_stopping,
                len(self.log),
                self.clock.now_ns,
            )
            record_reports(self.leases, *reports)
            self.deliver(lambda: answer(lease.since_index), is_late)

        def answer(since_index: int) -> None:
            if (host.n_starts, host.n_renewals) == identity:
                host.since_index = since_index
                host.lease_until_ns = sent_ns + HOST_LEASE_MS * NS_PER_MS

        self.deliver(receive, is_late)

    def renew_upstream(self, name: str, is_late: bool) -> None:
        process, sent_ns = self.processes[name], self.clock.now_ns

        def receive() -> None:
            session = self.tables.sessions.get(name)
            is_known = (
                session is not None and session.incarnation == process.incarnation
            )
            is_renewed = is_known and renew_session(
                self.leases, session, self.clock.now_ns
            )
            self.deliver(lambda: answer(bool(is_renewed)), is_late)

        def answer(is_renewed: bool) -> None:
            if self.processes[name] is not process:
                return
            if is_renewed:
                lease_until_ns = sent_ns + SESSION_LEASE_MS * NS_PER_MS
                process.lease_until_ns = max(process.lease_until_ns, lease_until_ns)
            elif not is_late:
                self.announce(name)

        self.deliver(receive, is_late)

    def announce(self, name: str) -> None:
        process, sent_ns = self.processes[name], self.clock.now_ns
        command = OpenSession(
            name,
            "s",
            f"{name}:1",
            process.incarnation,
            2,
            9,
            name in CHECKING_UPSTREAMS,
        )
        self.log.append(command)
        self.commit_all()
        session = self.tables.sessions.get(name)
        # The leader refuses an incarnation that has left, and a newer incarnation may
        # have the session.
        if session is not None and session.incarnation == process.incarnation:
            if renew_session(self.leases, session, self.clock.now_ns):
                process.adopt_session(session.opened_epoch)
                process.lease_until_ns = sent_ns + SESSION_LEASE_MS * NS_PER_MS

    def order(self, host_name: str, name: str, is_late: bool) -> None:
        host = self.hosts[host_name]
        work = host.dispatchers.work_by_upstream.get(name)
        if work is None or work.is_ordering:
            return
        granted, released = _orders_due(host, work)
        if not granted and not released:
            return
        fences = release_fences(host, released)
        work.last_order_number += 1
        work.is_ordering = True
        order = {
            "dispatcher_epoch": work.epoch,
            "session_epoch": work.session.opened_epoch,
            "order": work.last_order_number,
            "incarnation": work.session.incarnation,
            "granted": granted,
            "released": [*released, *fences.values()],
        }
        process = self.processes[name]

        def receive() -> None:
            if self.processes[name] is process:
                answer(process.apply_order(order))

        def answer(busy: set[str] | None) -> None:
            work.is_ordering = False
            if busy is not None:
                work.confirmed.update(granted)
                work.released.update(completed_releases(released, fences, busy))

        # Orders to an upstream that checks no epochs are never late: nothing protects
        # against a host process that is frozen between its last check and the write.
        self.deliver(receive, is_late and name in CHECKING_UPSTREAMS)

    def time_out_orders(self) -> None:
        """Abandon pending orders, which upstreams that check epochs may still get."""
        for host in self.hosts.values():
            for work in host.dispatchers.work_by_upstream.values():
                work.is_ordering = False

    def write_request(self, host_name: str, key: tuple[ShardId, int]) -> None:
        host = self.hosts[host_name]
        shard = host.shard_of(key)
        owner = find_owner(host.own_tables, shard)
        if host.upstream_to_send_to(key) is None or isinstance(owner, Refused):
            return
        name = owner.session.name
        work = host.dispatchers.work_by_upstream[name]
        if work.confirmed.get(shard) != owner.grant.epoch:
            return
        grant_id = (shard, owner.grant.epoch)
        work.in_flight[grant_id] = work.in_flight.get(grant_id, 0) + 1
        process = self.processes[name]

        def receive() -> None:
            if self.processes[name] is not process:
                return
            is_accepted = process.lease_until_ns > self.clock.now_ns
            if name in CHECKING_UPSTREAMS:
                is_accepted = (
                    is_accepted and process.grants.get(shard) == owner.grant.epoch
                )
                is_accepted = is_accepted and process.dispatcher_epoch <= work.epoch
            if is_accepted:
                process.running.append(Run(key, *grant_id))

        is_late = "deliveries late" in self.upstream_faults[name]
        self.deliver(receive, is_late and name in CHECKING_UPSTREAMS)

    @rule(name=upstream_names)
    def finish_requests(self, name: str) -> None:
        self.processes[name].running.clear()
        for host in self.hosts.values():
            if name in host.dispatchers.work_by_upstream:
                host.dispatchers.work_by_upstream[name].in_flight.clear()

    @precondition(lambda self: self.late_messages)
    @rule(data=st.data())
    def deliver_late(self, data: Any) -> None:
        index = data.draw(st.integers(0, len(self.late_messages) - 1))
        self.late_messages.pop(index)()

    @precondition(lambda self: self.late_messages)
    @rule()
    def deliver_all_late(self) -> None:
        late_messages, self.late_messages = self.late_messages, []
        for deliver_message in late_messages:
            deliver_message()

    def deliver(self, deliver_message: Callable[[], None], is_late: bool) -> None:
        if is_late:
            self.late_messages.append(deliver_message)
        else:
            deliver_message()

    @invariant()
    def check(self) -> None:
        self.check_one_upstream_owns_a_shard()
        self.check_one_host_may_order_an_upstream()
        self.check_one_upstream_may_be_sent_a_key()
        self.check_no_other_upstream_is_sent_a_running_key()

    def check_one_upstream_owns_a_shard(self) -> None:
        for shard in {*SHARDS, *self.tables.key_exceptions}:
            owners = [
                process.name
                for process in self.processes.values()
                if process.name in CHECKING_UPSTREAMS
                and shard in process.grants
                and process.lease_until_ns > self.clock.now_ns
            ]
            assert len(owners) <= 1, (shard, owners)

    def check_one_host_may_order_an_upstream(self) -> None:
        for name in UPSTREAMS:
            sending_hosts = [
                host.host.name
                for host in self.hosts.values()
                if name in host.dispatchers.work_by_upstream
                and _may_order(host, host.dispatchers.work_by_upstream[name])
            ]
            assert len(sending_hosts) <= 1, (name, sending_hosts)

    def check_one_upstream_may_be_sent_a_key(self) -> None:
        for key in KEYS:
            targets = {
                host.upstream_to_send_to(key) for host in self.hosts.values()
            } - {None}
            assert len(targets) <= 1, (key, targets)

    def check_no_other_upstream_is_sent_a_running_key(self) -> None:
        for process in self.processes.values():
            if process.lease_until_ns <= self.clock.now_ns:
                continue
            for run in process.running:
                targets = {
                    host.upstream_to_send_to(run.key) for host in self.hosts.values()
                }
                assert targets <= {None, process.name}, (run, targets)


OwnershipMachine.TestCase.settings = settings(
    max_examples=400, stateful_step_count=12, deadline=None
)
TestOwnership = OwnershipMachine.TestCase
