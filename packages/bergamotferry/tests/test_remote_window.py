"""How the window changes, and what it does for hosts that share a link."""

import heapq
import random
from collections import deque

import pytest

from bergamotferry.remote_window import (
    RATE_SAMPLE_MIN_BYTES,
    SIZE_INITIAL,
    SIZE_MAX,
    SIZE_MIN,
    RemoteWindow,
    may_fetch_remote,
    record_remote_answer,
    remote_wait_ms,
)

LARGE_BYTES, SMALL_BYTES = 90_000, 5_000
# Rate of the link between regions in a grown deployment, in bytes per millisecond.
LINK_BYTES_PER_MS = 1_940.0
WORK_MS, DEADLINE_MS = 330.0, 5_000.0
SMALL_PER_S = 140.0
N_HOSTS = 3
LENGTH_MS = 40_000
PACKET_BYTES = 10_000


def test_window_shrinks_on_slow_answers_and_grows_on_fast_ones():
    window = RemoteWindow()
    assert may_fetch_remote(window, int(SIZE_INITIAL) - 1)
    assert not may_fetch_remote(window, int(SIZE_INITIAL))
    record_remote_answer(window, LARGE_BYTES, 45.0, 400.0)
    assert window.size > SIZE_INITIAL
    for _ in range(40):
        record_remote_answer(window, LARGE_BYTES, 400.0, 900.0)
    assert window.size == SIZE_MIN
    assert may_fetch_remote(window, 0)
    for _ in range(2_000):
        record_remote_answer(window, LARGE_BYTES, 50.0, 400.0)
    assert window.size == SIZE_MAX


def test_small_and_instant_answers_barely_change_the_window():
    window = RemoteWindow()
    record_remote_answer(window, RATE_SAMPLE_MIN_BYTES - 1, 1e6, 400.0)
    assert window == RemoteWindow(mean_fetch_ms=400.0)
    record_remote_answer(window, LARGE_BYTES, 0.0, 400.0)
    assert window.size < SIZE_INITIAL + 1


def test_wait_grows_with_the_queue_and_with_a_smaller_window():
    window = RemoteWindow(size=2.0, mean_fetch_ms=300.0)
    assert remote_wait_ms(window, 1, 0) == 0.0
    assert remote_wait_ms(window, 2, 0) == 150.0
    assert remote_wait_ms(window, 2, 3) == 600.0
    # The answer that waits already starts before the new one.
    assert remote_wait_ms(window, 1, 1) == 300.0


def simulate_link(
    large_per_s: float, seed: int, has_window: bool
) -> tuple[float, float]:
    """Return the mean delay of small answers, and the rate of large ones in time.

    The delay is in ms, and the rate counts large answers per second that are complete
    before their deadline. Packets of all answers on the link take turns, like those of
    connections whose windows are larger than the answers. A small answer is a single
    packet.
    """
    rng = random.Random(seed)
    windows = [RemoteWindow() for _ in range(N_HOSTS)]
    queued_since_ms: dict[int, float] = {}
    n_in_flight, waiting = [0] * N_HOSTS, [deque() for _ in range(N_HOSTS)]
    events: list[tuple[float, int, str, int]] = []
    number = 0

    def add(at_ms: float, kind: str, host: int) -> None:
        nonlocal number
        number += 1
        heapq.heappush(events, (at_ms, number, kind, host))

    for kind, rate_per_s in (("large", large_per_s), ("small", SMALL_PER_S)):
        at_ms = 0.0
        while at_ms < LENGTH_MS:
            at_ms += rng.expovariate(rate_per_s / 1000)
            add(at_ms, kind, rng.randrange(N_HOSTS))
    # For each answer on the link: its kind, its host, the time at which it was ready to
    # be sent, its bytes left, its size in bytes, and the time of its request.
    link: deque[list] = deque()
    delays_ms, n_served, free_ms = [], 0, 0.0

    def start(host: int, now_ms: float) -> None:
        while waiting[host] and (
            not has_window or may_fetch_remote(windows[host], n_in_flight[host])
        ):
            queued_ms = waiting[host].popleft()
            if now_ms - queued_ms > DEADLINE_MS / 2:
                continue
            n_in_flight[host] += 1
            add(now_ms + WORK_MS * rng.lognormvariate(-0.18, 0.6), "ready", host)
            queued_since_ms[number] = queued_ms

    while events:
        now_ms, event_number, kind, host = heapq.heappop(events)
        if kind == "large":
            waiting[host].append(now_ms)
            start(host, now_ms)
        elif kind == "ready":
            n_bytes = LARGE_BYTES * rng.lognormvariate(-0.18, 0.6)
            link.append(
                ["large", host, now_ms, n_bytes, n_bytes, queued_since_ms[event_number]]
            )
        elif kind == "small":
            link.append(["small", host, now_ms, SMALL_BYTES, SMALL_BYTES, now_ms])
        while link and free_ms <= (events[0][0] if events else 1e18):
            free_ms = max(free_ms, min(transfer[2] for transfer in link))
            transfer = link.popleft()
            sent_bytes = min(PACKET_BYTES, transfer[3])
            free_ms += sent_bytes / LINK_BYTES_PER_MS
            transfer[3] -= sent_bytes
            if transfer[3] > 0:
                link.append(transfer)
            elif transfer[0] == "small":
                delays_ms.append(free_ms - transfer[2])
            else:
                n_served += free_ms - transfer[5] <= DEADLINE_MS
                n_in_flight[transfer[1]] -= 1
                transfer_ms = free_ms - transfer[2]
                record_remote_answer(
                    windows[transfer[1]], int(transfer[4]), transfer_ms, transfer_ms
                )
                start(transfer[1], free_ms)
    return sum(delays_ms) / len(delays_ms), n_served / LENGTH_MS * 1000


@pytest.mark.parametrize("large_per_s", [14.0, 18.0, 24.0])
def test_window_cuts_delay_of_filings_and_keeps_large_answers_served(
    large_per_s,
):
    """Without the window, large answers fill the link, and filings queue behind them.

    The load is about 1, 1 1/3 and nearly 2 times what the link carries beside filings.
    """
    limited = [simulate_link(large_per_s, seed, True) for seed in range(3)]
    unlimited = [simulate_link(large_per_s, seed, False) for seed in range(3)]
    delay_ms, served_per_s = (
        sum(run[index] for run in limited) / 3 for index in (0, 1)
    )
    delay_unlimited_ms, served_unlimited_per_s = (
        sum(run[index] for run in unlimited) / 3 for index in (0, 1)
    )
    assert delay_ms < 0.5 * delay_unlimited_ms
    assert served_per_s > 0.9 * served_unlimited_per_s
    if large_per_s > 16:
        assert delay_ms < 0.1 * delay_unlimited_ms
        assert served_per_s > 1.5 * served_unlimited_per_s
