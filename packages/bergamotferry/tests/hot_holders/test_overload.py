"""Which holders count as overloaded, and what their callers get.

The load is a key that gets 0.42 of 60 requests a second for some seconds, of which each
keeps a slot of its holder busy for 310 ms, as at a nominations office with 84 hosts.
"""

import heapq
import random

import pytest

from bergamotferry.fleet_tables import KeyRange
from bergamotferry.hot_holders.overload import (
    find_hot_holders,
    may_queue,
    queue_at,
)
from bergamotferry.key_load import bucket_of
from bergamotferry.upstream_load import LoadReport, UpstreamLoad, record_report
from bergamotferry.upstream_sessions import SessionRow

N_HOSTS, N_SLOTS, N_WAITING_MAX = 84, 2, 8
WORK_MS, OBJECTIVE_MS, DEADLINE_MS = 310.0, 1_000.0, 4_000.0
REQUESTS_PER_S = 25.0
LINK_MS = 24.0
NS_PER_MS = 1_000_000


def upstream(name, n_slots=N_SLOTS):
    return SessionRow(name, 1, 1, "s", f"{name}:1", "dc", n_slots, "ready", 0)


def make_range(first_key, last_key, name):
    return KeyRange("s", first_key, last_key, name, 1, f"{name}:1", 1, "")


RANGES = [
    make_range(0, 999, "u1"),
    make_range(1_000, 1_999, "u2"),
    make_range(2_000, 65_535, "u1"),
]


@pytest.mark.parametrize(
    ("slots_by_key", "expected"),
    [
        ({}, ()),
        ({10: 0.9, 3_000: 0.8}, ()),
        # The ranges of a holder count together.
        ({10: 1.0, 3_000: 0.9}, ("u1",)),
        ({10: 3.0, 1_500: 2.0}, ("u1", "u2")),
        ({1_500: 1.7}, ()),
    ],
)
def test_holder_is_overloaded_once_its_slots_are_nearly_all_busy(
    slots_by_key, expected
):
    busy_slots = {bucket_of(key): slots for key, slots in slots_by_key.items()}
    known = {name: upstream(name) for name in ("u1", "u2")}
    assert find_hot_holders(RANGES, busy_slots, known) == expected


def test_holder_without_a_session_is_not_named():
    assert find_hot_holders(RANGES, {bucket_of(10): 9.0}, {}) == ()


@pytest.mark.parametrize(
    ("n_running", "n_waiting", "objective_left_ms", "expected"),
    [
        (2, 0, 1_000.0, True),
        (2, 2, 1_000.0, False),
        # Late answers take free slots only.
        (1, 0, 300.0, True),
        (1, 0, -1.0, True),
        (2, 0, 300.0, False),
    ],
)
def test_answer_in_time_may_wait_and_a_late_one_may_not(
    n_running, n_waiting, objective_left_ms, expected
):
    load = UpstreamLoad(N_SLOTS)
    report = LoadReport(n_running, n_waiting, N_SLOTS, 1.0)
    record_report(load, report, 0, NS_PER_MS)
    queue = queue_at(load, WORK_MS, LINK_MS, NS_PER_MS)
    assert may_queue(queue, objective_left_ms, DEADLINE_MS, 2) is expected
    assert not may_queue(queue, objective_left_ms, WORK_MS / 2, 0)


class HotKey:
    """Callers of one key, its holder, and hosts that each get some of the requests.

    A caller that is refused comes back once, at another host. A request that finds the
    holder's queue full is shed, or its connection is reset.
    """

    def __init__(self, seed, is_named):
        self.rng = random.Random(seed)
        self.is_named = is_named
        self.free_ms = [0.0] * N_SLOTS
        self.queue: list[float] = []
        self.n_in_time = self.n_late = self.n_lost = 0

    def run(self, seconds=30):
        arrivals = []
        now_ms = 0.0
        while now_ms < seconds * 1_000:
            now_ms += self.rng.expovariate(REQUESTS_PER_S / 1_000)
            arrivals.append((now_ms, 0.0))
        heapq.heapify(arrivals)
        while arrivals:
            at_ms, elapsed_ms = heapq.heappop(arrivals)
            pause_ms = self.send(at_ms, elapsed_ms)
            if pause_ms is not None and elapsed_ms == 0.0:
                heapq.heappush(arrivals, (at_ms + pause_ms, pause_ms))
            elif pause_ms is not None:
                self.n_lost += 1

    def send(self, now_ms, elapsed_ms):
        """Return when a refused caller comes back, in ms, or None if it is served."""
        self.queue = [begin_ms for begin_ms in self.queue if begin_ms > now_ms]
        n_running = sum(free_ms > now_ms for free_ms in self.free_ms)
        n_waiting = len(self.queue)
        if self.is_named and not self.is_admitted(n_running, n_waiting, elapsed_ms):
            return self.rng.uniform(100.0, 600.0)
        if n_waiting >= N_WAITING_MAX:
            return self.rng.uniform(100.0, 600.0)
        begin_ms = max(now_ms, self.free_ms[0])
        end_ms = begin_ms + WORK_MS * self.rng.uniform(0.6, 1.4)
        heapq.heapreplace(self.free_ms, end_ms)
        if begin_ms > now_ms:
            self.queue.append(begin_ms)
        took_ms = end_ms - now_ms + elapsed_ms + LINK_MS
        if took_ms <= OBJECTIVE_MS:
            self.n_in_time += 1
        elif took_ms <= DEADLINE_MS:
            self.n_late += 1
        else:
            self.n_lost += 1
        return None

    def is_admitted(self, n_running, n_waiting, elapsed_ms):
        load = UpstreamLoad(N_SLOTS)
        report = LoadReport(n_running, n_waiting, N_SLOTS, 1.0)
        record_report(load, report, 0, NS_PER_MS)
        queue = queue_at(load, WORK_MS, LINK_MS, NS_PER_MS)
        left_ms = OBJECTIVE_MS - elapsed_ms, DEADLINE_MS - elapsed_ms
        return may_queue(queue, *left_ms, 2)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_holder_of_a_hot_key_answers_in_time_whatever_it_answers(seed):
    """Guards against a holder whose every answer is late."""
    unnamed, named = HotKey(seed, is_named=False), HotKey(seed, is_named=True)
    unnamed.run()
    named.run()
    n_served = unnamed.n_in_time + unnamed.n_late
    # The holder's slots are full in both cases, and serve about as many callers.
    assert named.n_in_time + named.n_late > 0.9 * n_served
    assert unnamed.n_in_time < 0.1 * n_served
    assert named.n_late < 0.15 * named.n_in_time
