"""Looking only when something is due decides the same, at the same time."""

import random

import pytest

from bergamotferry import ownership_pace
from bergamotferry.commands import DrainSession
from bergamotferry.data_centre_tables import apply_data_centre_command
from bergamotferry.dispatcher_spread import note_bulk
from bergamotferry.leases import (
    NS_PER_MS,
    LeaseTable,
    note_reports,
    renew_host,
    renew_session,
)
from bergamotferry.ownership import run_ownership
from bergamotferry.ownership_pace import OwnershipPace, is_look_due, note_look
from bergamotferry_testkit import table_worlds as worlds

TICK_NS = 20_000_000
RENEW_TICKS = 5
N_TICKS = 2000
CENTRE = worlds.data_centre_names(1)[0]


class World:
    """A leader that looks at each tick, or when something is due only."""

    def __init__(self, is_paced):
        self.is_paced = is_paced
        self.global_tables = worlds.make_global_tables(24, 1)
        self.tables = worlds.make_sessions(4)
        self.leases = worlds.settle(self.tables, self.global_tables, CENTRE, 3)
        self.pace = OwnershipPace()
        self.n_applied = 0
        self.n_looks = 0
        self.now_ns = worlds.NOW_NS

    def apply(self, command):
        apply_data_centre_command(self.tables, command)
        self.n_applied += 1

    def renew(self, hosts, upstreams, bulk):
        """Renew as hosts do, with what they have stopped and given back."""
        for host, (incarnation, is_stopping) in hosts.items():
            renew_host(self.leases, host, incarnation, is_stopping, 1, self.now_ns)
            mine = [r for r in self.tables.dispatchers.values() if r.host == host]
            drained = [
                (row.upstream, row.epoch)
                for row in mine
                if row.state == "retiring"
                or self.tables.sessions[row.upstream].state == "expired"
            ]
            names = {row.upstream for row in mine}
            released = [
                (shard, grant.epoch)
                for shard, grant in self.tables.grants.items()
                if grant.state == "revoking" and grant.upstream in names
            ]
            note_reports(self.leases, drained, released)
            note_bulk(self.leases, host, bulk)
        for name in upstreams & self.tables.sessions.keys():
            renew_session(self.leases, self.tables.sessions[name], self.now_ns)

    def tick(self):
        self.now_ns += TICK_NS
        data_centre = self.global_tables.data_centres[CENTRE]
        seen = (self.n_applied, data_centre)
        is_due = is_look_due(self.pace, self.leases, seen, self.now_ns)
        if self.is_paced and not is_due:
            return
        self.n_looks += 1
        commands = run_ownership(
            self.tables, self.global_tables, self.leases, CENTRE, self.now_ns
        )
        note_look(self.pace, self.leases, bool(commands), self.now_ns)
        for command in commands:
            self.apply(command)

    def view(self):
        dispatchers = self.tables.dispatchers.values()
        sessions = self.tables.sessions.values()
        grants = self.tables.grants.values()
        return (
            [(row.upstream, row.host, row.state) for row in dispatchers],
            [(row.name, row.state) for row in sessions],
            sorted((grant.shard, grant.state) for grant in grants),
        )


def change(rng, hosts, upstreams, bulk, world_pair):
    """Let something happen."""
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
        for world in world_pair:
            if name in world.tables.sessions:
                world.apply(DrainSession(name, 1, False))
    elif event == 5:
        bulk ^= {rng.choice(sorted(upstreams))}
    elif event == 6:
        row = world_pair[0].global_tables.data_centres[CENTRE]
        state = "out" if row.state == "in" and rng.random() < 0.2 else "in"
        for world in world_pair:
            world.global_tables.data_centres[CENTRE] = row._replace(state=state)


@pytest.mark.parametrize("seed", range(6))
def test_a_paced_leader_decides_as_one_that_looks_at_each_tick(seed, monkeypatch):
    # The look that is taken whatever happened would hide one that is missed.
    monkeypatch.setattr(ownership_pace, "LOOK_INTERVAL_MS", 10**9)
    rng = random.Random(seed)
    pair = World(is_paced=False), World(is_paced=True)
    hosts = {f"host-{number}": ("1", False) for number in range(3)}
    upstreams = set(pair[0].tables.sessions)
    bulk = set()
    for number in range(N_TICKS):
        # Long quiet times let timers run out that nothing else calls for.
        if rng.random() < (0.01 if number % 1000 < 400 else 0.001):
            change(rng, hosts, upstreams, bulk, pair)
        for world in pair:
            if number % RENEW_TICKS == 0:
                world.renew(hosts, upstreams, bulk)
            world.tick()
        assert pair[0].view() == pair[1].view(), number
    assert pair[1].n_looks < N_TICKS // 4


@pytest.mark.parametrize(
    ("values", "due_ms"),
    [
        ({}, 1000),
        ({"spread_ns": 0}, 500),
        ({"out_since_ns": -800 * NS_PER_MS}, 700),
        ({"fill_checked_ns": -1, "tables_changed_ns": 0}, 300),
        ({"fill_checked_ns": -900 * NS_PER_MS, "tables_changed_ns": 0}, 100),
    ],
    ids=["whatever happened", "spread", "out", "fill", "fill is overdue"],
)
def test_each_timer_calls_for_a_look(values, due_ms):
    pace = OwnershipPace("tables")
    leases = LeaseTable(spread_ns=-(10**12), tables_changed_ns=-1)
    for name, value in values.items():
        setattr(leases, name, value)
    note_look(pace, leases, False, 0)
    assert round(pace.due_ns / NS_PER_MS) == due_ms
    assert not is_look_due(pace, leases, "tables", (due_ms - 1) * NS_PER_MS)
    assert is_look_due(pace, leases, "tables", due_ms * NS_PER_MS)
    note_bulk(leases, "host-0", ["testlog-0000"])
    assert is_look_due(pace, leases, "tables", 1)
    note_bulk(leases, "host-0", ["testlog-0000"])
    assert not is_look_due(pace, leases, "tables", 1)
    assert is_look_due(pace, leases, "other tables", 1)
    # What was decided may not come about, and is decided again.
    note_look(pace, leases, True, 1)
    assert is_look_due(pace, leases, "other tables", 1)


def test_upstreams_that_hold_too_little_are_looked_for_once_for_the_same_tables():
    world = World(is_paced=True)
    hosts = {f"host-{number}": ("1", False) for number in range(3)}

    def times_checked(n_ticks):
        checked = set()
        for number in range(n_ticks):
            if number % RENEW_TICKS == 0:
                world.renew(hosts, set(world.tables.sessions), ())
            world.tick()
            checked.add(world.leases.fill_checked_ns)
        return checked

    times_checked(100)
    (before_ns,) = times_checked(200)
    world.n_applied += 1
    (after_ns,) = times_checked(40)
    assert before_ns < after_ns
