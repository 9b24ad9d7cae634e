"""From what dispatchers observe to where shards lie, without processes."""

import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotferry.commands import RevokeShards
from bergamotferry.data_centre_tables import apply_data_centre_command
from bergamotferry.leases import note_reports
from bergamotferry.messages import RenewLeases
from bergamotferry.ownership import run_ownership
from bergamotferry.records import HostAddress
from bergamotferry.stragglers import GOOD_FACTOR, SLOW_FACTOR
from bergamotferry_host.host_state import StragglerState
from bergamotferry_host.straggler_duty import (
    JUDGE_INTERVAL_NS,
    judge_if_due,
    note_latencies,
)
from bergamotferry_testkit import table_worlds as worlds

CENTRE = worlds.data_centre_names(1)[0]
N_UPSTREAMS = 12
N_SHARDS = 96
SHARE = N_SHARDS // N_UPSTREAMS
STRAGGLER = 5
GOOD_MS = 5.0


class World:
    """A data centre of two hosts, a second at a time."""

    def __init__(self):
        self.global_tables = worlds.make_global_tables(N_SHARDS, 1)
        self.tables = worlds.make_sessions(N_UPSTREAMS)
        self.leases = worlds.settle(self.tables, self.global_tables, CENTRE, 2)
        self.stragglers = StragglerState()
        self.now_ns = worlds.NOW_NS
        self.names = list(self.tables.sessions)

    @property
    def straggler(self):
        return self.names[STRAGGLER]

    def n_held(self):
        grants = self.tables.grants.values()
        return sum(grant.upstream == self.straggler for grant in grants)

    def report(self, latencies_ms):
        for host in ("host-0", "host-1"):
            rows = tuple(
                (worlds.SERVICE, name, latency_ms)
                for name, latency_ms in zip(self.names, latencies_ms, strict=True)
                if self.tables.dispatchers[name].host == host and latency_ms is not None
            )
            address = HostAddress(host, CENTRE, "region-0", "", False)
            message = RenewLeases(address, "1", CENTRE, False, (), (), (), rows)
            note_latencies(self.stragglers, message)

    def second(self, latencies_ms):
        """Let a second pass; return the shards that were moved, by old owner."""
        self.report(latencies_ms)
        self.now_ns += JUDGE_INTERVAL_NS
        judge_if_due(self.stragglers, self.tables, CENTRE, self.now_ns)
        moved = Counter()
        while commands := run_ownership(
            self.tables,
            self.global_tables,
            self.leases,
            CENTRE,
            worlds.NOW_NS,
            self.stragglers.weights,
        ):
            for command in commands:
                apply_data_centre_command(self.tables, command)
                if isinstance(command, RevokeShards):
                    rows = list(zip(command.shards, command.epochs, strict=True))
                    moved.update(
                        self.tables.grants[shard].upstream for shard, _ in rows
                    )
                    note_reports(self.leases, (), rows)
            # Moves to upstreams that hold too little are looked for now and then.
            self.leases.fill_checked_ns = 0
        return moved


def latencies(straggler_ms, rng):
    """Return a latency for the straggler, and good ones with noise for the others."""
    good = [GOOD_MS * rng.uniform(0.9, 1.1) for _ in range(N_UPSTREAMS)]
    return [*good[:STRAGGLER], straggler_ms, *good[STRAGGLER + 1 :]]


@pytest.mark.parametrize("way_back", [GOOD_MS, None])
def test_shards_leave_a_straggler_little_by_little_and_come_back(way_back):
    world = World()
    rng = random.Random(4)
    n_before = world.n_held()
    moves = [world.second(latencies(50.0, rng)) for _ in range(12)]
    assert world.n_held() == 1
    assert set().union(*moves) == {world.straggler}
    # A quarter of what it held at each look, rounded up.
    assert max(moved.total() for moved in moves) <= (n_before + 3) // 4
    # With no answers at all it gets shards again too, to show what it is now.
    moves = [world.second(latencies(way_back, rng)) for _ in range(30)]
    assert world.n_held() >= SHARE // 2
    assert sum(moved.total() for moved in moves) <= 2 * SHARE
    assert [moved.total() for moved in moves[-5:]] == [0] * 5


@settings(derandomize=True, max_examples=25, deadline=None)
@given(
    threshold=st.sampled_from([SLOW_FACTOR, GOOD_FACTOR]),
    was_slow=st.booleans(),
    seed=st.integers(0, 1000),
)
def test_noise_around_a_threshold_moves_shards_once_at_most(threshold, was_slow, seed):
    world = World()
    rng = random.Random(seed)
    for _ in range(12 if was_slow else 0):
        world.second(latencies(50.0, rng))
    verdicts, ways = [], []
    for _ in range(60):
        straggler_ms = GOOD_MS * threshold * rng.uniform(0.75, 1.25)
        n_before = world.n_held()
        world.second(latencies(straggler_ms, rng))
        verdicts.append(world.stragglers.table.rows[world.straggler].is_slow)
        change = world.n_held() - n_before
        if change and (not ways or ways[-1] != (change > 0)):
            ways.append(change > 0)
    n_changes = sum(a != b for a, b in zip(verdicts, verdicts[1:], strict=False))
    assert n_changes <= 1
    assert len(ways) <= 1


def test_no_more_than_a_third_loses_shards():
    world = World()
    slow = [50.0] * 5 + [GOOD_MS] * 7
    moves = [world.second(slow) for _ in range(12)]
    assert len(set().union(*moves)) <= N_UPSTREAMS // 3


def test_a_host_that_does_not_dispatch_for_an_upstream_says_nothing_about_it():
    world = World()
    address = HostAddress("host-9", CENTRE, "region-0", "", False)
    rows = ((worlds.SERVICE, world.straggler, 5000.0),)
    message = RenewLeases(address, "1", CENTRE, False, (), (), (), rows)
    rng = random.Random(4)
    world.report(latencies(GOOD_MS, rng))
    note_latencies(world.stragglers, message)
    assert not any(world.second(latencies(GOOD_MS, rng)) for _ in range(9))
