"""Slots, turns, classes and early refusal, on a clock that the tests control."""

import heapq
import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotferry.admission import (
    N_WAITING_MAX,
    N_WAITING_PER_ACCOUNT_MAX,
    Ticket,
    UpstreamQueue,
    enqueue,
    finish,
    take_ready,
    withdraw,
)
from bergamotferry.result_codes import ResultCode as Code
from bergamotferry.slow_start import SlowStart

NS_PER_MS = 1_000_000
NO_DEADLINE_NS = 10**15


def make_queue(n_slots=2, **options):
    return UpstreamQueue(n_slots, SlowStart(0, is_enabled=False), **options)


def make_ticket(
    name,
    account="a",
    traffic_class="lookup",
    deadline_ns=NO_DEADLINE_NS,
    is_exclusive=False,
):
    return Ticket(name, account, deadline_ns, traffic_class, is_exclusive)


def serve_in_turn(queue, count):
    """Run one request after another; return the tickets in the order of their start."""
    order = []
    for _ in range(count):
        for started in take_ready(queue, 0)[0]:
            order.append(started)
            finish(queue, started.request_id, None)
    return order


def test_flooding_account_does_not_delay_another_account():
    queue = make_queue(1)
    for number in range(50):
        enqueue(queue, make_ticket(f"a{number}"), 0)
    for name in ("b0", "b1"):
        enqueue(queue, make_ticket(name, "b"), 0)
    order = [ticket.request_id for ticket in serve_in_turn(queue, 6)]
    assert order == ["a0", "b0", "a1", "b1", "a2", "a3"]


def test_classes_share_slots_by_weight_and_none_starves():
    queue = make_queue(1, is_early_refusal=False)
    for number in range(60):
        for name in ("bulk", "filing", "lookup"):
            enqueue(queue, make_ticket(f"{name}{number}", name, name), 0)
    order = [ticket.traffic_class for ticket in serve_in_turn(queue, 63)]
    assert Counter(order) == {"lookup": 48, "filing": 12, "bulk": 3}


def test_bulk_leaves_one_slot_to_other_classes():
    queue = make_queue(3)
    enqueue(queue, make_ticket("l"), 0)
    for number in range(3):
        enqueue(queue, make_ticket(f"b{number}", traffic_class="bulk"), 0)
    started = [ticket.request_id for ticket in take_ready(queue, 0)[0]]
    assert sorted(started) == ["b0", "b1", "l"]
    finish(queue, "l", None)
    assert take_ready(queue, 0)[0] == []


def test_queues_are_bounded_per_account_and_in_total():
    queue = make_queue(1)
    codes = Counter()
    for account in "abc":
        for number in range(200):
            refusal = enqueue(queue, make_ticket(f"{account}{number}", account), 0)
            codes[account, refusal and refusal.code] += 1
    assert codes["a", None] == N_WAITING_PER_ACCOUNT_MAX
    assert queue.n_waiting == N_WAITING_MAX
    assert codes["c", Code.QUEUE_FULL] == 200


def test_request_that_cannot_meet_its_deadline_is_refused_at_once():
    queue = make_queue(1)
    for number in range(5):
        enqueue(queue, make_ticket(f"r{number}"), 0)
    take_ready(queue, 0)
    refusal = enqueue(queue, make_ticket("late", deadline_ns=40 * NS_PER_MS), 0)
    assert refusal.code is Code.DEADLINE_TOO_SHORT
    # Another account is served sooner, because accounts take turns.
    assert (
        enqueue(queue, make_ticket("other", "b", deadline_ns=45 * NS_PER_MS), 0) is None
    )


def test_idle_upstream_with_slow_history_accepts_a_request():
    queue = make_queue(1)
    queue.classes["lookup"].service_time_ms = 9000.0
    assert enqueue(queue, make_ticket("r", deadline_ns=100 * NS_PER_MS), 0) is None


def test_expired_and_withdrawn_requests_leave_the_queue():
    queue = make_queue(1)
    for name, deadline_ns in (
        ("run", NO_DEADLINE_NS),
        ("old", 50 * NS_PER_MS),
        ("gone", NO_DEADLINE_NS),
    ):
        enqueue(queue, make_ticket(name, deadline_ns=deadline_ns), 0)
    take_ready(queue, 0)
    withdraw(queue, "gone")
    started, expired = take_ready(queue, 60 * NS_PER_MS)
    assert (started, [ticket.request_id for ticket in expired]) == ([], ["old"])
    assert queue.n_waiting == 0


@given(st.lists(st.tuples(st.booleans(), st.booleans()), max_size=60))
def test_slots_are_never_exceeded_and_exclusive_requests_run_alone(steps):
    queue = make_queue(2, is_early_refusal=False)
    for number, (is_exclusive, is_finish) in enumerate(steps):
        enqueue(queue, make_ticket(f"r{number}", is_exclusive=is_exclusive), 0)
        if is_finish and queue.running:
            finish(queue, next(iter(queue.running)), 1.0)
        take_ready(queue, 0)
        assert len(queue.running) <= 2
        if any(ticket.is_exclusive for ticket in queue.running.values()):
            assert len(queue.running) == 1
    # Every request runs in the end.
    for _ in steps:
        for request_id in list(queue.running):
            finish(queue, request_id, 1.0)
        take_ready(queue, 0)
    assert queue.n_waiting == 0


def goodput(load, is_early_refusal, seed=5):
    """Return answers in time as a share of capacity, over 20 s of simulated time."""
    n_slots, service_ms, timeout_ms = 2, 10.0, 150
    rng = random.Random(seed)
    queue = make_queue(n_slots, is_early_refusal=is_early_refusal)
    capacity_per_s = n_slots * 1000 / service_ms
    events, at_s, n_in_time = [], 0.0, 0
    while (at_s := at_s + rng.expovariate(load * capacity_per_s)) < 20.0:
        events.append((int(at_s * 1e9), "arrive", None, 0))
    heapq.heapify(events)
    number = 0
    while events:
        now_ns, kind, ticket, began_ns = heapq.heappop(events)
        if kind == "finish":
            finish(queue, ticket.request_id, (now_ns - began_ns) / NS_PER_MS)
            n_in_time += now_ns <= ticket.deadline_ns
        else:
            number += 1
            deadline_ns = now_ns + timeout_ms * NS_PER_MS
            enqueue(queue, make_ticket(str(number), deadline_ns=deadline_ns), now_ns)
        for started in take_ready(queue, now_ns)[0]:
            took_ns = int(rng.expovariate(1 / service_ms) * NS_PER_MS)
            heapq.heappush(events, (now_ns + took_ns, "finish", started, now_ns))
    return n_in_time / (20.0 * capacity_per_s)


@pytest.mark.parametrize("load", [1.0, 3.0])
def test_goodput_holds_under_overload(load):
    with_refusal, without_refusal = goodput(load, True), goodput(load, False)
    print(f"load {load}: goodput {with_refusal:.3f}, without {without_refusal:.3f}")
    assert with_refusal > 0.85
    assert with_refusal >= without_refusal - 0.02
