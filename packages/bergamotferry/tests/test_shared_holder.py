"""Seeded simulation of hosts that share the one holder of some keys.

Only the holder can run their requests, and it serves its queue in order. The simulated
load is that of a busy holder: short urgent requests beside others that take six times
as long. What is checked is what callers of each kind get.
"""

import heapq
import itertools
import random
from collections import deque
from typing import NamedTuple

import pytest

from bergamotferry.direct_placement import (
    N_QUEUED_LESS_URGENT_MAX,
    N_QUEUED_MAX,
    Candidate,
    NoCapacity,
    Placed,
    place_request,
    shortlist,
)
from bergamotferry.upstream_load import (
    LoadReport,
    UpstreamLoad,
    WorkTime,
    record_ended,
    record_report,
    record_sent,
)

N_SLOTS = 4
N_HOLDER_QUEUE = 16
UNTIL_MS = 60_000.0
PATH_MS = 1.0


class Kind(NamedTuple):
    """Requests of one kind; ``share`` is their share of the holder's work."""

    work_ms: float
    objective_ms: float
    deadline_ms: float
    share: float
    n_queued_max: int


URGENT = Kind(84.0, 300.0, 1_200.0, 0.2, N_QUEUED_MAX)
LESS_URGENT = Kind(480.0, 1_500.0, 3_000.0, 0.8, N_QUEUED_LESS_URGENT_MAX)


class Result(NamedTuple):
    """Shares of one kind's requests, and the number of load probes a request."""

    in_aim: float
    in_time: float
    n_probes: float


class Simulation:
    """Hosts that place requests of two kinds at one holder."""

    def __init__(self, seed: int, n_hosts: int, load: float, is_ordered: bool) -> None:
        self.rng = random.Random(seed)
        self.is_ordered = is_ordered
        self.loads = [UpstreamLoad(N_SLOTS) for _ in range(n_hosts)]
        self.running = 0
        self.queue: deque[tuple] = deque()
        self.events: list[tuple] = []
        self.order = itertools.count()
        self.counts = {URGENT: [0, 0, 0], LESS_URGENT: [0, 0, 0]}
        self.n_probes = 0
        for kind in (URGENT, LESS_URGENT):
            per_ms = load * kind.share * N_SLOTS / kind.work_ms
            now_ms = self.rng.expovariate(per_ms)
            while now_ms < UNTIL_MS:
                self.at(now_ms, self.place, self.rng.randrange(n_hosts), kind, now_ms)
                now_ms += self.rng.expovariate(per_ms)

    def at(self, now_ms: float, call, *arguments) -> None:
        heapq.heappush(self.events, (now_ms, next(self.order), call, arguments))

    def run(self) -> dict[Kind, Result]:
        while self.events:
            now_ms, _, call, arguments = heapq.heappop(self.events)
            call(now_ms, *arguments)
        return {
            kind: Result(n_aim / n, n_time / n, self.n_probes / n)
            for kind, (n, n_aim, n_time) in self.counts.items()
        }

    def place(self, now_ms, host, kind, arrived_ms, is_probed=False) -> None:
        """Place a request, after a probe of the holder if the host asks for one."""
        if arrived_ms == now_ms:
            self.counts[kind][0] += 1
        load, now_ns = self.loads[host], int(now_ms * 1e6)
        candidates = [Candidate("holder", load, "here")]
        work = WorkTime(mean_ms=kind.work_ms, n_answers=9)
        left_ms = arrived_ms + kind.deadline_ms - now_ms
        limit = kind.n_queued_max if self.is_ordered else N_QUEUED_MAX
        chosen = shortlist(candidates, work, left_ms, now_ns, n_queued_max=limit)
        if chosen.to_probe and self.is_ordered and not is_probed:
            self.n_probes += 1
            self.report(host, load.n_in_flight, now_ms + PATH_MS)
            self.at(now_ms + 2 * PATH_MS, self.place, host, kind, arrived_ms, True)
            return
        placed = place_request(candidates, work, left_ms, now_ns, limit)
        if isinstance(placed, Placed):
            due_ns = now_ns + 10**12
            record_sent(load, due_ns)
            request = (host, kind, arrived_ms, due_ns)
            self.at(now_ms + PATH_MS, self.arrive, request)
        elif not isinstance(placed, NoCapacity):
            self.at(now_ms + placed.wait_ms, self.place, host, kind, arrived_ms)

    def report(self, host: int, n_own: int, now_ms: float) -> None:
        report = LoadReport(self.running, len(self.queue), N_SLOTS, 1.0)
        record_report(self.loads[host], report, n_own, int(now_ms * 1e6))

    def arrive(self, now_ms, request) -> None:
        if self.running < N_SLOTS:
            self.begin(now_ms, request)
        elif len(self.queue) < N_HOLDER_QUEUE:
            self.queue.append(request)
        else:
            self.leave(now_ms, request)

    def begin(self, now_ms, request) -> None:
        self.running += 1
        work_ms = request[1].work_ms * self.rng.uniform(0.5, 1.5)
        self.at(now_ms + work_ms, self.end, request)

    def end(self, now_ms, request) -> None:
        _, kind, arrived_ms, _ = request
        self.running -= 1
        took_ms = now_ms + PATH_MS - arrived_ms
        self.counts[kind][1] += took_ms <= kind.objective_ms
        self.counts[kind][2] += took_ms <= kind.deadline_ms
        while self.queue and self.running < N_SLOTS:
            waiting = self.queue.popleft()
            if now_ms < waiting[2] + waiting[1].deadline_ms:
                self.begin(now_ms, waiting)
            else:
                self.leave(now_ms, waiting)
        self.leave(now_ms, request)

    def leave(self, now_ms, request) -> None:
        host, _, _, due_ns = request
        load = self.loads[host]
        self.report(host, load.n_in_flight - 1, now_ms + PATH_MS)
        record_ended(load, due_ns)


def compare(n_hosts: int, load: float) -> tuple[dict, dict]:
    """Return the mean results of three seeds, without and with the order."""
    means = []
    for is_ordered in (False, True):
        runs = [Simulation(seed, n_hosts, load, is_ordered).run() for seed in range(3)]
        means.append(
            {
                kind: Result(
                    *(sum(run[kind][n] for run in runs) / len(runs) for n in range(3))
                )
                for kind in (URGENT, LESS_URGENT)
            }
        )
    return means[0], means[1]


@pytest.mark.parametrize("n_hosts", [11, 89])
def test_urgent_requests_of_a_busy_holder_are_served_in_aim(n_hosts):
    """The holder is nine tenths busy, with a fifth of the work urgent."""
    before, after = compare(n_hosts, 0.9)
    assert after[URGENT].in_aim > 1.3 * before[URGENT].in_aim
    assert after[URGENT].in_time > before[URGENT].in_time
    # The others keep most of theirs.
    assert after[LESS_URGENT].in_time > 0.9
    assert after[LESS_URGENT].in_aim > 0.8 * before[LESS_URGENT].in_aim


@pytest.mark.parametrize("n_hosts", [11, 89])
def test_less_urgent_requests_are_not_starved_under_overload(n_hosts):
    before, after = compare(n_hosts, 1.2)
    assert after[URGENT].in_time > 0.95 > before[URGENT].in_time
    assert after[LESS_URGENT].in_time > 0.8 * before[LESS_URGENT].in_time


@pytest.mark.parametrize("n_hosts", [11, 89])
def test_holder_with_free_slots_is_not_probed_for_nothing(n_hosts):
    before, after = compare(n_hosts, 0.4)
    for kind in (URGENT, LESS_URGENT):
        assert after[kind].in_aim > before[kind].in_aim - 0.01
        assert after[kind].n_probes < 0.3
