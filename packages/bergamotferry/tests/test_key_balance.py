"""Which keys move if some are far busier than others, and the effect for callers."""

import heapq
import random

from bergamotferry.configuration import N_SHARD_KEYS
from bergamotferry.fleet_tables import KeyRange
from bergamotferry.key_balance import (
    BUSY_FACTOR,
    N_RANGES_JOIN_THRESHOLD,
    N_RANGES_MAX,
    busy_slots_of,
    plan_joins,
    plan_load_moves,
)
from bergamotferry.key_load import (
    FIRST_REPORTED_BUCKET,
    KEYS_PER_BUCKET,
    N_BUCKETS,
    KeyLoads,
    KeyWork,
    bucket_of,
    busy_slots_by_bucket,
    record_key_work,
    work_at_holder_ms,
)
from bergamotferry.upstream_sessions import SessionRow

N_UPSTREAMS = 12
N_SLOTS = 2
N_EVEN_RANGES = 32


def upstream(name: str, **changes) -> SessionRow:
    session = SessionRow(name, 1, 1, "s", f"{name}:1", "dc", N_SLOTS, "ready", 0)
    return session._replace(**changes)


UPSTREAMS = {f"u{n:02}": upstream(f"u{n:02}") for n in range(N_UPSTREAMS)}


def make_range(first_key, last_key, name, token=1) -> KeyRange:
    return KeyRange("s", first_key, last_key, name, 1, f"{name}:1", token, "")


def even_ranges() -> list[KeyRange]:
    """Return ranges of equal size, assigned to the upstreams in turn."""
    keys_per_range = N_SHARD_KEYS // N_EVEN_RANGES
    names = sorted(UPSTREAMS)
    return [
        make_range(
            n * keys_per_range, (n + 1) * keys_per_range - 1, names[n % N_UPSTREAMS]
        )
        for n in range(N_EVEN_RANGES)
    ]


def after_moves(ranges: list[KeyRange], moves) -> list[KeyRange]:
    """Return the ranges after the moves, with ranges split where needed."""
    result = list(ranges)
    for move in moves:
        old = next(row for row in result if row.last_key >= move.first_key)
        assert old.upstream == move.current.upstream
        assert old.first_key <= move.first_key <= move.last_key <= old.last_key
        moved = make_range(move.first_key, move.last_key, move.next_holder.name, 2)
        parts = [
            old._replace(last_key=move.first_key - 1),
            moved,
            old._replace(first_key=move.last_key + 1),
        ]
        index = result.index(old)
        result[index : index + 1] = [
            part for part in parts if part.first_key <= part.last_key
        ]
    return result


def utilizations(ranges, busy_slots, upstreams=UPSTREAMS) -> dict[str, float]:
    utilization = dict.fromkeys(upstreams, 0.0)
    for key_range in ranges:
        utilization[key_range.upstream] += (
            busy_slots_of(key_range, busy_slots) / N_SLOTS
        )
    return utilization


def clustered_keys(rng, n=1, cluster_start=10_240):
    """Return random keys, a quarter of them within 1,024 neighbouring keys."""
    return [
        cluster_start + rng.randrange(1_024)
        if rng.random() < 0.25
        else rng.randrange(N_SHARD_KEYS)
        for _ in range(n)
    ]


def busy_slots_of_keys(keys, slots: float) -> dict[int, float]:
    """Return the busy slots by bucket if all the keys are requested equally often."""
    busy_slots: dict[int, float] = {}
    for key in keys:
        bucket = bucket_of(key)
        busy_slots[bucket] = busy_slots.get(bucket, 0.0) + slots / len(keys)
    return busy_slots


def even_load_of_keys(slots_per_key: float) -> dict[int, float]:
    return dict.fromkeys(range(N_BUCKETS), slots_per_key * KEYS_PER_BUCKET)


def test_busy_key_cluster_is_distributed_until_no_upstream_is_overloaded():
    busy_slots = busy_slots_of_keys(
        clustered_keys(random.Random(1), 4_000), 0.5 * N_SLOTS * N_UPSTREAMS
    )
    ranges = even_ranges()
    assert max(utilizations(ranges, busy_slots).values()) > 1.5
    n_moved_keys = 0
    for _ in range(6):
        moves = plan_load_moves(ranges, busy_slots, UPSTREAMS)
        n_moved_keys += sum(move.last_key - move.first_key + 1 for move in moves)
        ranges = after_moves(ranges, moves)
    assert plan_load_moves(ranges, busy_slots, UPSTREAMS) == []
    assert max(utilizations(ranges, busy_slots).values()) <= 0.5 * BUSY_FACTOR + 0.1
    # Few keys move, and every key still has a holder.
    assert n_moved_keys < N_SHARD_KEYS / 8
    ends = [key_range.last_key + 1 for key_range in ranges]
    assert [key_range.first_key for key_range in ranges] == [0, *ends[:-1]]
    assert ends[-1] == N_SHARD_KEYS
    assert all(key_range.first_key % KEYS_PER_BUCKET == 0 for key_range in ranges)


def test_nothing_moves_under_low_or_even_load():
    rng = random.Random(2)
    low_load = busy_slots_of_keys(
        clustered_keys(rng, 4_000), 0.1 * N_SLOTS * N_UPSTREAMS
    )
    assert plan_load_moves(even_ranges(), low_load, UPSTREAMS) == []
    even_load = even_load_of_keys(0.02 / 64)
    assert plan_load_moves(even_ranges(), even_load, UPSTREAMS) == []
    assert plan_load_moves([], {}, {}) == []


def test_keys_beside_a_key_that_overloads_any_upstream_move_away():
    hot_bucket = bucket_of(20_000)
    busy_slots = even_load_of_keys(0.01 / 64)
    busy_slots[hot_bucket] = 3.0
    ranges = even_ranges()
    for _ in range(8):
        moves = plan_load_moves(ranges, busy_slots, UPSTREAMS)
        assert not any(
            move.first_key <= 20_000 <= move.last_key
            and utilizations(ranges, busy_slots)[move.next_holder.name] > 0.4
            for move in moves
        )
        ranges = after_moves(ranges, moves)
    holder = next(
        key_range
        for key_range in ranges
        if key_range.first_key <= 20_000 <= key_range.last_key
    )
    busy_slots_left = sum(
        busy_slots_of(key_range, busy_slots)
        for key_range in ranges
        if key_range.upstream == holder.upstream
    )
    assert busy_slots_left < 3.0 + 0.35


def test_keys_move_only_to_allowed_upstreams_and_moving_ranges_stay():
    busy_slots = busy_slots_of_keys(clustered_keys(random.Random(3), 4_000), 12.0)
    allowed_upstreams = {name: UPSTREAMS[name] for name in ("u05", "u07")}
    moves = plan_load_moves(even_ranges(), busy_slots, allowed_upstreams)
    assert {move.next_holder.name for move in moves} <= {"u07"}
    # The plan moves no range of an earlier incarnation.
    restarted_upstreams = {**UPSTREAMS, "u05": upstream("u05", born_ms=2)}
    moves_after_restart = plan_load_moves(
        even_ranges(), busy_slots, restarted_upstreams
    )
    assert all(move.current.upstream != "u05" for move in moves_after_restart)
    all_moving = frozenset(key_range.first_key for key_range in even_ranges())
    assert plan_load_moves(even_ranges(), busy_slots, UPSTREAMS, all_moving) == []


def test_ranges_move_whole_once_there_are_too_many_to_split():
    keys_per_range = N_SHARD_KEYS // N_RANGES_MAX
    names = sorted(UPSTREAMS)
    ranges = [
        make_range(
            n * keys_per_range,
            (n + 1) * keys_per_range - 1,
            names[n * N_UPSTREAMS // N_RANGES_MAX],
        )
        for n in range(N_RANGES_MAX)
    ]
    busy_slots = busy_slots_of_keys(clustered_keys(random.Random(4), 4_000), 12.0)
    moves = plan_load_moves(ranges, busy_slots, UPSTREAMS)
    assert moves and not any(move.requires_split for move in moves)


def test_idle_neighbouring_ranges_are_joined_above_the_threshold():
    keys_per_range = N_SHARD_KEYS // (2 * N_RANGES_JOIN_THRESHOLD)
    ranges = [
        make_range(
            n * keys_per_range,
            (n + 1) * keys_per_range - 1,
            "u00" if n % 8 < 4 else "u01",
            n + 1,
        )
        for n in range(2 * N_RANGES_JOIN_THRESHOLD)
    ]
    busy_slots = {bucket_of(ranges[0].first_key): 1.0}
    pairs = plan_joins(ranges, busy_slots)
    assert pairs
    for lower, upper in pairs:
        assert lower.last_key + 1 == upper.first_key
        assert lower.upstream == upper.upstream
        assert lower != ranges[0]
    joined_ranges = [key_range for pair in pairs for key_range in pair]
    assert len(joined_ranges) == len(set(joined_ranges))
    assert plan_joins(ranges[:N_RANGES_JOIN_THRESHOLD], {}) == []


class KeyLoadSimulation:
    """Seeded simulation of Poisson arrivals for keys whose holders queue and shed.

    Holder number n takes ``relative_work_times[n % 4]`` times the mean for a request.
    With ``learns_speed`` hosts learn this from answers, queueing included.
    """

    def __init__(
        self, seed, is_balanced, relative_work_times=(1.0,) * 4, learns_speed=True
    ):
        self.rng = random.Random(seed)
        self.is_balanced = is_balanced
        self.ranges = even_ranges()
        self.free_ms = {name: [0.0] * N_SLOTS for name in UPSTREAMS}
        self.loads = KeyLoads()
        self.pending_work_ms: dict[int, float] = {}
        self.relative_work_times = {
            name: relative_work_times[n % 4] for n, name in enumerate(sorted(UPSTREAMS))
        }
        self.learns_speed = learns_speed
        self.learnt = dict.fromkeys(UPSTREAMS, 1.0)
        self.n_requests = self.n_in_time = self.n_shed = 0
        self.n_moved_keys = 0

    def run(
        self, until_ms=30_000, work_ms=130.0, requests_per_s=90.0, objective_ms=500.0
    ):
        now_ms = planned_ms = reported_ms = 0.0
        while now_ms < until_ms:
            now_ms += self.rng.expovariate(requests_per_s / 1000)
            if now_ms - reported_ms >= 500:
                reported_ms = now_ms
                self.report(now_ms)
            if self.is_balanced and now_ms - planned_ms >= 1_000:
                planned_ms = now_ms
                self.balance(now_ms)
            # The busy keys change halfway.
            cluster_start = 10_240 if now_ms < until_ms / 2 else 50_000
            key = clustered_keys(self.rng, 1, cluster_start)[0]
            self.send(key, now_ms, work_ms * self.rng.uniform(0.7, 1.3), objective_ms)

    def send(self, key, now_ms, work_ms, objective_ms):
        bucket = bucket_of(key)
        holder = next(
            key_range for key_range in self.ranges if key <= key_range.last_key
        ).upstream
        counted_ms = work_at_holder_ms(work_ms, self.learnt[holder])
        self.pending_work_ms[bucket] = (
            self.pending_work_ms.get(bucket, 0.0) + counted_ms
        )
        mean_ms = work_ms
        work_ms *= self.relative_work_times[holder]
        slots_free_ms = self.free_ms[holder]
        self.n_requests += 1
        begin_ms = max(now_ms, slots_free_ms[0])
        if begin_ms - now_ms > 2 * work_ms:
            self.n_shed += 1
            return
        heapq.heapreplace(slots_free_ms, begin_ms + work_ms)
        if self.learns_speed:
            ratio = (begin_ms + work_ms - now_ms) / mean_ms
            self.learnt[holder] += 0.2 * (ratio - self.learnt[holder])
        self.n_in_time += begin_ms + work_ms - now_ms <= objective_ms

    def report(self, now_ms):
        key_work = [
            KeyWork("s", FIRST_REPORTED_BUCKET + bucket, round(work_ms))
            for bucket, work_ms in self.pending_work_ms.items()
        ]
        record_key_work(self.loads, key_work, int(now_ms * 1e6))
        self.pending_work_ms.clear()

    def balance(self, now_ms):
        busy_slots = busy_slots_by_bucket(self.loads, "s", int(now_ms * 1e6))
        moves = plan_load_moves(self.ranges, busy_slots, UPSTREAMS)
        self.n_moved_keys += sum(move.last_key - move.first_key + 1 for move in moves)
        self.ranges = after_moves(self.ranges, moves)


def test_balancing_serves_callers_of_busy_keys_in_time_at_half_load():
    """The load is that of the larger deployment, a quarter of it on 1,024 keys."""
    for seed in range(3):
        unbalanced = KeyLoadSimulation(seed, is_balanced=False)
        unbalanced.run()
        balanced = KeyLoadSimulation(seed, is_balanced=True)
        balanced.run()
        assert balanced.n_shed < unbalanced.n_shed / 3
        assert balanced.n_in_time > 0.9 * balanced.n_requests > unbalanced.n_in_time


def test_learnt_speeds_serve_callers_of_slow_holders_in_time():
    """The load is half of all slots, on upstreams at 0.5 to 1.5 of the mean speed."""
    speeds = (2.0, 1.0, 1.0, 0.67)
    n_late = {True: 0, False: 0}
    n_moved = {True: 0, False: 0}
    for learns_speed in (True, False):
        for seed in range(6):
            simulation = KeyLoadSimulation(seed, True, speeds, learns_speed)
            simulation.run()
            n_late[learns_speed] += simulation.n_requests - simulation.n_in_time
            n_moved[learns_speed] += simulation.n_moved_keys
    assert n_late[True] < 0.7 * n_late[False]
    assert n_moved[True] < 6 * N_SHARD_KEYS


def test_few_hundred_neighbouring_keys_keep_no_upstream_full():
    """Guards against a range that no split relieves.

    200 neighbouring keys get 0.42 of the requests of a service whose upstreams are a
    sixth full in the mean, as at a nominations office.
    """
    upstreams = {f"u{n:02}": upstream(f"u{n:02}") for n in range(57)}
    keys_per_range = N_SHARD_KEYS // len(upstreams) + 1
    ranges = [
        make_range(
            n * keys_per_range, min(N_SHARD_KEYS, (n + 1) * keys_per_range) - 1, name
        )
        for n, name in enumerate(upstreams)
    ]
    rng = random.Random(3)
    hot_keys = [30_000 + rng.randrange(200) for _ in range(4_200)]
    other_keys = [rng.randrange(N_SHARD_KEYS) for _ in range(5_800)]
    busy_slots = busy_slots_of_keys(hot_keys + other_keys, 18.6)
    assert max(utilizations(ranges, busy_slots, upstreams).values()) > 3.0
    for _ in range(4):
        ranges = after_moves(ranges, plan_load_moves(ranges, busy_slots, upstreams))
    assert max(utilizations(ranges, busy_slots, upstreams).values()) < 0.6
