"""Ownership scans that run only when due decide the same as a scan at every tick.

Guards against a change, lease or timer that calls for a scan but is missed, which
would delay an ownership decision.
"""

import random

import pytest

from bergamotferry import ownership_schedule
from bergamotferry.commands import DrainSession
from bergamotferry.data_centre_tables import apply_data_centre_command
from bergamotferry.dispatcher_spread import record_bulk_upstreams
from bergamotferry.leases import (
    NS_PER_MS,
    LeaseTable,
    record_reports,
    renew_host,
    renew_session,
)
from bergamotferry.ownership import run_ownership
from bergamotferry.ownership_schedule import (
    OwnershipSchedule,
    record_run,
    record_tables_and_check_due,
)
from bergamotferry_testkit import settled_tables

TICK_NS = 20_000_000
TICKS_PER_RENEWAL = 5
N_TICKS = 2000
DATA_CENTRE = settled_tables.data_centre_names(1)[0]


class SimulatedLeader:
    """A leader that scans its tables at every tick, or only when a scan is due."""

    def __init__(self, scans_when_due):
        self.scans_when_due = scans_when_due
        self.global_tables = settled_tables.make_global_tables(24, 1)
        self.tables = settled_tables.make_sessions(4)
        self.leases = settled_tables.settle_ownership(
            self.tables, self.global_tables, DATA_CENTRE, 3
        )
        self.schedule = OwnershipSchedule()
        self.n_applied = 0
        self.n_scans = 0
        self.now_ns = settled_tables.NOW_NS

    def apply(self, command):
        apply_data_centre_command(self.tables, command)
        self.n_applied += 1

    def renew(self, hosts, upstreams, bulk_upstreams):
        """Renew leases as hosts do; report drained upstreams and released shards."""
        for host, (incarnation, is_stopping) in hosts.items():
            renew_host(self.leases, host, incarnation, is_stopping, 1, self.now_ns)
            own_dispatchers = [
                dispatcher
                for dispatcher in self.tables.dispatchers.values()
                if dispatcher.host == host
            ]
            drained = [
                (dispatcher.upstream, dispatcher.epoch)
                for dispatcher in own_dispatchers
                if dispatcher.state == "retiring"
                or self.tables.sessions[dispatcher.upstream].state == "expired"
            ]
            names = {dispatcher.upstream for dispatcher in own_dispatchers}
            released = [
                (shard, grant.epoch)
                for shard, grant in self.tables.grants.items()
                if grant.state == "revoking" and grant.upstream in names
            ]
            record_reports(self.leases, drained, released)
            record_bulk_upstreams(self.leases, host, bulk_upstreams)
        for name in upstreams & self.tables.sessions.keys():
            renew_session(self.leases, self.tables.sessions[name], self.now_ns)

    def tick(self):
        self.now_ns += TICK_NS
        data_centre = self.global_tables.data_centres[DATA_CENTRE]
        tables_state = (self.n_applied, data_centre)
        is_due = record_tables_and_check_due(
            self.schedule, self.leases, tables_state, self.now_ns
        )
        if self.scans_when_due and not is_due:
            return
        self.n_scans += 1
        commands = run_ownership(
            self.tables, self.global_tables, self.leases, DATA_CENTRE, self.now_ns
        )
        record_run(self.schedule, self.leases, bool(commands), self.now_ns)
        for command in commands:
            self.apply(command)

    def ownership_state(self):
        dispatchers = self.tables.dispatchers.values()
        sessions = self.tables.sessions.values()
        grants = self.tables.grants.values()
        return (
            [
                (dispatcher.upstream, dispatcher.host, dispatcher.state)
                for dispatcher in dispatchers
            ],
            [(session.name, session.state) for session in sessions],
            sorted((grant.shard, grant.state) for grant in grants),
        )


def apply_random_event(rng, hosts, upstreams, bulk_upstreams, leaders):
    """Apply one random event to the hosts, the upstreams and both leaders."""
    event = rng.randrange(7)
    host = rng.choice(["host-0", "host-1", "host-2"])
    if event == 0 and len(hosts) > 1:
        hosts.pop(host, None)
    elif event == 1:
        hosts[host] = (str(rng.randrange(3)), False)
    elif event == 2 and len(hosts) > 1 and host in hosts:
        hosts[host] = (hosts[host][0], True)
    elif event == 3 and len(upstreams) > 2:
        upstreams.pop()
    elif event == 4 and len(upstreams) > 2:
        name = max(upstreams)
        for leader in leaders:
            if name in leader.tables.sessions:
                leader.apply(DrainSession(name, 1, False))
    elif event == 5:
        bulk_upstreams ^= {rng.choice(sorted(upstreams))}
    elif event == 6:
        data_centre = leaders[0].global_tables.data_centres[DATA_CENTRE]
        state = "out" if data_centre.state == "in" and rng.random() < 0.2 else "in"
        for leader in leaders:
            leader.global_tables.data_centres[DATA_CENTRE] = data_centre._replace(
                state=state
            )


@pytest.mark.parametrize("seed", range(6))
def test_scanning_only_when_due_decides_the_same_as_every_tick(seed, monkeypatch):
    # The unconditional scan at a fixed interval would hide a missed scan.
    monkeypatch.setattr(ownership_schedule, "RUN_INTERVAL_MAX_MS", 10**9)
    rng = random.Random(seed)
    leaders = (
        SimulatedLeader(scans_when_due=False),
        SimulatedLeader(scans_when_due=True),
    )
    hosts = {f"host-{number}": ("1", False) for number in range(3)}
    upstreams = set(leaders[0].tables.sessions)
    bulk_upstreams = set()
    for number in range(N_TICKS):
        # In long quiet periods, timers expire without any other trigger of a scan.
        if rng.random() < (0.01 if number % 1000 < 400 else 0.001):
            apply_random_event(rng, hosts, upstreams, bulk_upstreams, leaders)
        for leader in leaders:
            if number % TICKS_PER_RENEWAL == 0:
                leader.renew(hosts, upstreams, bulk_upstreams)
            leader.tick()
        assert leaders[0].ownership_state() == leaders[1].ownership_state(), number
    assert leaders[1].n_scans < N_TICKS // 4


@pytest.mark.parametrize(
    ("lease_fields", "due_ms"),
    [
        ({}, 1000),
        ({"last_spread_ns": 0}, 500),
        ({"out_since_ns": -800 * NS_PER_MS}, 700),
        ({"fill_checked_ns": -1, "tables_changed_ns": 0}, 300),
        ({"fill_checked_ns": -900 * NS_PER_MS, "tables_changed_ns": 0}, 100),
    ],
    ids=["fixed interval", "spread", "out", "fill", "fill overdue"],
)
def test_each_timer_makes_a_scan_due(lease_fields, due_ms):
    schedule = OwnershipSchedule("tables")
    leases = LeaseTable(last_spread_ns=-(10**12), tables_changed_ns=-1)
    for name, value in lease_fields.items():
        setattr(leases, name, value)
    record_run(schedule, leases, False, 0)
    assert round(schedule.due_ns / NS_PER_MS) == due_ms
    assert not record_tables_and_check_due(
        schedule, leases, "tables", (due_ms - 1) * NS_PER_MS
    )
    assert record_tables_and_check_due(schedule, leases, "tables", due_ms * NS_PER_MS)
    record_bulk_upstreams(leases, "host-0", ["testlog-0000"])
    assert record_tables_and_check_due(schedule, leases, "tables", 1)
    record_bulk_upstreams(leases, "host-0", ["testlog-0000"])
    assert not record_tables_and_check_due(schedule, leases, "tables", 1)
    assert record_tables_and_check_due(schedule, leases, "other tables", 1)
    # Commands of a scan may not commit, so another scan is due at once.
    record_run(schedule, leases, True, 1)
    assert record_tables_and_check_due(schedule, leases, "other tables", 1)


def test_underloaded_upstreams_are_searched_once_per_state_of_the_tables():
    leader = SimulatedLeader(scans_when_due=True)
    hosts = {f"host-{number}": ("1", False) for number in range(3)}

    def fill_check_times(n_ticks):
        check_times_ns = set()
        for number in range(n_ticks):
            if number % TICKS_PER_RENEWAL == 0:
                leader.renew(hosts, set(leader.tables.sessions), ())
            leader.tick()
            check_times_ns.add(leader.leases.fill_checked_ns)
        return check_times_ns

    fill_check_times(100)
    (before_ns,) = fill_check_times(200)
    leader.n_applied += 1
    (after_ns,) = fill_check_times(40)
    assert before_ns < after_ns
