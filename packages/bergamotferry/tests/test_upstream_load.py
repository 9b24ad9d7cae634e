"""What a host learns of upstreams, and how many filings it loses to faulty ones."""

import heapq
import random

import pytest

from bergamotferry.direct_placement import Candidate, Placed, place_request
from bergamotferry.upstream_load import (
    FAILURE_HALF_LIFE_MS,
    OVERDUE_MIN_MS,
    LoadReport,
    UpstreamLoad,
    WorkTime,
    failure_probability,
    overdue_at_ns,
    record_answer,
    record_ended,
    record_failure,
    record_report,
    record_sent,
)

NS_PER_MS = 1_000_000


def test_relative_work_time_excludes_time_in_the_queue():
    load, work_time = UpstreamLoad(2), WorkTime()
    for _ in range(60):
        record_answer(load, work_time, 200.0, 0.0, 10)
        other_load = UpstreamLoad(2)
        record_answer(other_load, work_time, 100.0, 0.0, 10)
    assert load.relative_work_time > 1.2
    queued_load = UpstreamLoad(2)
    record_answer(queued_load, WorkTime(100.0, 0, 5), 200.0, 2.0, 10)
    assert queued_load.relative_work_time == pytest.approx(1.0)


def test_older_report_does_not_replace_a_newer_one():
    load = UpstreamLoad(2)
    record_report(load, LoadReport(2, 1, 2, 1.0), n_own=0, now_ns=200)
    record_report(load, LoadReport(0, 0, 2, 1.0), n_own=0, now_ns=100)
    assert (load.n_others, load.reported_ns) == (3, 200)


def test_overdue_request_raises_failure_probability_until_it_ends():
    load = UpstreamLoad(2)
    due_ns = overdue_at_ns(0, 50.0)
    assert due_ns == OVERDUE_MIN_MS * NS_PER_MS
    record_sent(load, due_ns)
    record_sent(load, overdue_at_ns(0, 1_000.0))
    assert failure_probability(load, due_ns - 1) == 0
    one_overdue = failure_probability(load, due_ns)
    assert one_overdue > 0
    assert failure_probability(load, 3_000 * NS_PER_MS) == 2 * one_overdue
    record_ended(load, due_ns)
    assert failure_probability(load, due_ns) == 0


def test_failure_probability_halves_after_the_half_life():
    load = UpstreamLoad(2)
    record_failure(load, 0)
    after_one_failure = failure_probability(load, 0)
    record_failure(load, 0)
    assert after_one_failure < failure_probability(load, 0) < 2 * after_one_failure
    after_half_life = failure_probability(load, int(FAILURE_HALF_LIFE_MS) * NS_PER_MS)
    assert after_half_life == pytest.approx(failure_probability(load, 0) / 2)


class FilingSimulation:
    """A seeded simulation of one host and 24 upstreams, some of which are faulty.

    The faulty upstreams hang or lose answers. All upstreams differ in speed, and other
    hosts keep them busy. Most requests may run more than once, and show how upstreams
    behave. The other requests, filings, are lost if their attempt fails.
    """

    def __init__(self, seed, fault, cost_ms, counts_overdue):
        self.rng = random.Random(seed)
        self.fault, self.counts_overdue = fault, counts_overdue
        self.loads = {f"u{n}": UpstreamLoad(2) for n in range(24)}
        for load in self.loads.values():
            load.relative_work_time = self.rng.uniform(0.6, 1.6)
        names = sorted(self.loads)
        self.faulty = set(self.rng.sample(names, 3 if fault == "hang" else 14))
        self.safe_work_time = WorkTime(150.0, 1_000.0, 10)
        self.unsafe_work_time = WorkTime(200.0, 500.0, 10, failure_cost_ms=cost_ms)
        self.n_lost = 0

    def run(self, until_ms=20_000.0, requests_per_s=16.0):
        ends = []
        at_ms, n_sent = 0.0, 0
        while at_ms < until_ms:
            at_ms += self.rng.expovariate(requests_per_s / 1000)
            n_sent += 1
            while ends and ends[0][0] <= at_ms:
                self.end(*heapq.heappop(ends))
            is_filing = self.rng.random() < 0.25
            work_time = self.unsafe_work_time if is_filing else self.safe_work_time
            name, expected_ms = self.choose(work_time, int(at_ms * NS_PER_MS))
            due_ns = overdue_at_ns(int(at_ms * NS_PER_MS), expected_ms)
            if not self.counts_overdue:
                due_ns = 10**18
            record_sent(self.loads[name], due_ns)
            took_ms = work_time.mean_ms * self.loads[name].relative_work_time
            fails = name in self.faulty
            if fails and self.fault == "hang":
                took_ms = 3_700.0
            elif fails:
                fails = self.rng.random() < 0.4
            self.n_lost += is_filing and fails
            heapq.heappush(
                ends, (at_ms + took_ms, n_sent, name, due_ns, work_time, fails)
            )

    def choose(self, work_time, now_ns):
        names = list(self.loads)
        self.rng.shuffle(names)
        for name in names:
            report = LoadReport(self.rng.randrange(3), 0, 2, 1.0)
            record_report(self.loads[name], report, 0, now_ns)
        candidates = [Candidate(name, self.loads[name], "here") for name in names]
        placed = place_request(candidates, work_time, 60_000.0, now_ns)
        assert isinstance(placed, Placed)
        return placed.name, placed.expected_ms

    def end(self, at_ms, number, name, due_ns, work_time, fails):
        load = self.loads[name]
        record_ended(load, due_ns)
        if fails:
            record_failure(load, int(at_ms * NS_PER_MS))


def count_lost(fault, cost_ms, counts_overdue=True):
    n_lost = 0
    for seed in range(8):
        simulation = FilingSimulation(seed, fault, cost_ms, counts_overdue)
        simulation.run()
        n_lost += simulation.n_lost
    return n_lost


def test_counting_overdue_requests_loses_fewer_filings_to_hung_upstreams():
    """An eighth of the upstreams hang, at a third of the load that the slots take."""
    cost_ms = WorkTime.from_kind("unsafe").failure_cost_ms
    assert count_lost("hang", cost_ms) < 0.75 * count_lost("hang", cost_ms, False)


def test_higher_failure_cost_loses_fewer_filings_to_lossy_upstreams():
    """14 of 24 upstreams lose four of ten answers, and report no fault."""
    n_lost_with_higher_cost = count_lost(
        "lose", WorkTime.from_kind("unsafe").failure_cost_ms
    )
    n_lost_with_same_cost = count_lost(
        "lose", WorkTime.from_kind("safe").failure_cost_ms
    )
    assert n_lost_with_higher_cost < 0.75 * n_lost_with_same_cost
