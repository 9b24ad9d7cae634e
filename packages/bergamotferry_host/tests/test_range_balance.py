"""Busy keys are spread, and no key ever has two holders; upstreams are simulated."""

import asyncio
import random

import pytest
from range_harness import HOLD_S, RangeHarness, SimulatedHolder

from bergamotferry import key_balance
from bergamotferry.configuration import N_SHARD_KEYS
from bergamotferry.fleet_tables import range_key
from bergamotferry.key_load import (
    FIRST_REPORTED_BUCKET,
    KEYS_PER_BUCKET,
    KeyWork,
    bucket_of,
    record_key_work,
)
from bergamotferry.key_ranges import N_RANGES_PER_SERVICE
from bergamotferry_host import range_balance
from bergamotferry_host.clock import now_ns
from bergamotferry_host.range_assignment import run_range_assignment, start_move
from bergamotferry_host.range_balance import run_range_balance
from bergamotferry_host.range_calls import RangeAnswer, RangeCallNames
from bergamotferry_host.range_holds import Hold, RangeAssignments

N_BUCKETS = N_SHARD_KEYS // KEYS_PER_BUCKET
UPSTREAM_NAMES = ("u1", "u2", "u3", "u4")


class SimulatedBucketHolder(SimulatedHolder):
    """A simulated process that records its hold of each bucket, whatever the range.

    Like an upstream, it refuses a token older than the newest it has seen for a bucket.
    """

    def __init__(self, harness, name):
        super().__init__(harness, name)
        self.tokens = {}

    def grant(self, key_range, hold_ms):
        buckets = buckets_of(key_range)
        if any(self.tokens.get(bucket, 0) > key_range.token for bucket in buckets):
            return False
        for bucket in buckets:
            self.tokens[bucket] = key_range.token
            self.hold(bucket, hold_ms)
        return True


class BucketHarness(RangeHarness):
    """The harness with holders of buckets, which can release a part of a grant."""

    holder_class = SimulatedBucketHolder

    def __init__(self, monkeypatch, *names):
        super().__init__(monkeypatch, *names)
        monkeypatch.setattr(range_balance, "commit_as_leader", self.commit)

    async def call_release(self, http, call_names, key_range, headers):
        holder = self.holders[key_range.upstream]
        if holder.mode in ("answers", "answer_lost"):
            for bucket in buckets_of(key_range):
                holder.release(bucket)
            return RangeAnswer("done", f"from {holder.name}")
        return await super().call_release(http, call_names, key_range, headers)

    def record_load(self, rng, busy_key):
        """Record load on 20 buckets, half of them within 8 neighbouring ones."""
        buckets = [bucket_of(busy_key) + rng.randrange(8) for _ in range(10)]
        buckets += [rng.randrange(N_BUCKETS) for _ in range(10)]
        key_work = [
            KeyWork("s", FIRST_REPORTED_BUCKET + bucket % N_BUCKETS, 60)
            for bucket in buckets
        ]
        record_key_work(self.host.key_loads, key_work, now_ns())

    def count_unheld(self):
        held_buckets = {
            bucket
            for holder in self.holders.values()
            for bucket in holder.until_ns
            if holder.holds(bucket)
        }
        return N_BUCKETS - len(held_buckets)

    def holder_of(self, bucket):
        ranges = self.host.tables.ranges.values()
        return next(
            key_range.upstream
            for key_range in ranges
            if bucket in buckets_of(key_range)
        )


def buckets_of(key_range):
    return range(bucket_of(key_range.first_key), bucket_of(key_range.last_key) + 1)


@pytest.fixture(autouse=True)
def short_balance_interval(monkeypatch):
    monkeypatch.setattr(range_balance, "BALANCE_INTERVAL_S", 0.05)


async def run_both_loops(harness, steps):
    """Run assignment and balance while the steps run, each after its pause in s."""
    assignments = RangeAssignments()
    loop_arguments = (harness.host, None, RangeCallNames(), assignments)
    tasks = [asyncio.create_task(run_range_assignment(*loop_arguments))]
    tasks.append(asyncio.create_task(run_range_balance(*loop_arguments)))
    for pause_s, step in steps:
        await asyncio.sleep(pause_s)
        step()
    ended = [task for task in tasks if task.done()]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert not ended
    return assignments


def test_neighbouring_busy_keys_are_spread_over_several_upstreams(monkeypatch):
    harness = BucketHarness(monkeypatch, *UPSTREAM_NAMES)
    harness.send_heartbeats(*UPSTREAM_NAMES)
    rng = random.Random(1)
    first_bucket = bucket_of(10_240)
    load_steps = [(0.05, lambda: harness.record_load(rng, 10_240))] * 60
    harness.clock.run(run_both_loops(harness, [(0.3, lambda: None), *load_steps]))
    assert len({harness.holder_of(first_bucket + n) for n in range(8)}) >= 3
    assert harness.doubly_held == []
    assert harness.count_unheld() == 0
    handed_over_ranges = [
        key_range
        for key_range in harness.host.tables.ranges.values()
        if key_range.handover
    ]
    assert handed_over_ranges


def test_no_range_is_split_while_some_hosts_do_not_support_splits(monkeypatch):
    harness = BucketHarness(monkeypatch, *UPSTREAM_NAMES)
    harness.host.settings = harness.host.settings._replace(splits_busy_ranges=False)
    harness.send_heartbeats(*UPSTREAM_NAMES)
    rng = random.Random(1)
    load_steps = [(0.05, lambda: harness.record_load(rng, 10_240))] * 30
    harness.clock.run(run_both_loops(harness, [(0.3, lambda: None), *load_steps]))
    assert len(harness.host.tables.ranges) == N_RANGES_PER_SERVICE
    assert not any(
        key_range.handover for key_range in harness.host.tables.ranges.values()
    )


@pytest.mark.parametrize("seed", range(4))
def test_no_key_has_two_holders_while_ranges_move_and_holders_fail(monkeypatch, seed):
    harness = BucketHarness(monkeypatch, *UPSTREAM_NAMES)
    harness.send_heartbeats(*UPSTREAM_NAMES)
    rng = random.Random(seed)
    busy_key = [10_240]
    modes = ("answers", "answers", "silent", "answer_lost", "unreachable")

    def step():
        harness.send_heartbeats(*UPSTREAM_NAMES)
        harness.record_load(rng, busy_key[0])
        chance = rng.random()
        if chance < 0.05:
            busy_key[0] = rng.randrange(N_SHARD_KEYS - 1_024)
        elif chance < 0.15:
            harness.holders[rng.choice(UPSTREAM_NAMES)].mode = rng.choice(modes)
        elif chance < 0.17:
            harness.replica.term += 1
            harness.replica.snapshot_term = harness.replica.term

    def restore_all():
        for holder in harness.holders.values():
            holder.mode = "answers"

    steps = [(0.03, step)] * 90
    heartbeat_steps = [(0.1, lambda: harness.send_heartbeats(*UPSTREAM_NAMES))] * int(
        3 * HOLD_S / 0.1
    )
    harness.clock.run(
        run_both_loops(
            harness, [(0.3, lambda: None), *steps, (0.0, restore_all), *heartbeat_steps]
        )
    )
    assert harness.doubly_held == []
    assert harness.count_unheld() == 0


def test_part_of_a_range_moves_only_after_the_hold_of_the_whole_expired(monkeypatch):
    """Guards against a part that moves while its holder still has the whole range.

    A grant of the whole range also grants its parts. If the grant is not answered, it
    may still take effect late.
    """
    harness = BucketHarness(monkeypatch, "u1", "u2")
    harness.send_heartbeats("u1", "u2")
    split_parts = []

    def split_and_silence_holder():
        key, key_range = next(
            item
            for item in harness.host.tables.ranges.items()
            if item[1].upstream == "u1"
        )
        harness.holders["u1"].mode = "silent"
        middle_key = key_range.first_key + KEYS_PER_BUCKET
        harness.host.tables.ranges[key] = key_range._replace(last_key=middle_key - 1)
        part = key_range._replace(first_key=middle_key)
        harness.host.tables.ranges[range_key("s", middle_key)] = part
        session = harness.host.sessions.rows["u1"]
        session.row = session.row._replace(phase="draining")
        split_parts.append(part)

    harness.clock.run(
        run_both_loops(
            harness, [(0.3, split_and_silence_holder), (2 * HOLD_S, lambda: None)]
        )
    )
    assert harness.doubly_held == []
    part = harness.host.tables.ranges[range_key("s", split_parts[0].first_key)]
    assert part.upstream == "u2"


def test_joined_range_moves_only_after_both_old_holds_expired(monkeypatch):
    """Guards against a joined range that moves while the old holds still run.

    No call was sent under the new token, but the holder holds the keys under the old
    tokens.
    """
    harness = BucketHarness(monkeypatch, "u1", "u2")
    harness.send_heartbeats("u1")
    n_ranges = []

    def make_holder_unreachable():
        harness.holders["u1"].mode = "unreachable"
        monkeypatch.setattr(key_balance, "N_RANGES_JOIN_THRESHOLD", 8)

    def leave():
        n_ranges.append(len(harness.host.tables.ranges))
        session = harness.host.sessions.rows["u1"]
        session.row = session.row._replace(phase="draining")
        harness.send_heartbeats("u2")

    steps = [(0.3, make_holder_unreachable), (0.3, leave), (2 * HOLD_S, lambda: None)]
    harness.clock.run(run_both_loops(harness, steps))
    assert n_ranges[0] == N_RANGES_PER_SERVICE // 2
    assert harness.doubly_held == []
    assert {
        key_range.upstream for key_range in harness.host.tables.ranges.values()
    } == {"u2"}


def test_no_move_starts_while_a_call_for_the_range_is_in_flight(monkeypatch):
    harness = BucketHarness(monkeypatch, "u1", "u2")
    harness.send_heartbeats("u1", "u2")
    harness.clock.run(run_both_loops(harness, [(0.3, lambda: None)]))
    key_range = next(iter(harness.host.tables.ranges.values()))
    assignments = RangeAssignments()
    assignments.holds[range_key("s", key_range.first_key)] = Hold(
        key_range.token, 0, is_busy=True
    )
    move = range_balance.WantedRange(
        "s",
        key_range.first_key,
        key_range.last_key,
        key_range,
        harness.host.sessions.rows["u2"].row,
    )
    assert start_move(assignments, harness.host, None, RangeCallNames(), move) is None
