"""The stated ramp, as a bound on what a fresh upstream is ever given."""

from hypothesis import given
from hypothesis import strategies as st

from bergamotferry.slow_start import (
    BURST_STARTS,
    FIRST_RATE_PER_S,
    RAMP_S,
    SlowStart,
    is_ramping,
    n_slots_allowed,
    observe_answer,
    rate_per_s,
    take_start,
)

S = 1_000_000_000


def test_the_ramp_in_numbers():
    ramp = SlowStart(0)
    table = [
        (at_s, n_slots_allowed(ramp, 3, at_s * S), rate_per_s(ramp, at_s * S))
        for at_s in (0, 1, 4, 7, 8)
    ]
    assert table == [
        (0, 1, 20.0),
        (1, 1, 40.0),
        (4, 2, 320.0),
        (7, 2, 2560.0),
        (8, 3, float("inf")),
    ]


@given(st.lists(st.integers(0, S // 5), min_size=1, max_size=200), st.integers(0, S))
def test_starts_never_exceed_the_stated_rate(gaps_ns, began_ns):
    ramp = SlowStart(began_ns)
    starts_ns, now_ns = [], began_ns
    for gap_ns in gaps_ns:
        now_ns += gap_ns
        if is_ramping(ramp, now_ns) and take_start(ramp, now_ns):
            starts_ns.append(now_ns)
    for first in range(len(starts_ns)):
        for last in range(first, len(starts_ns)):
            window_s = (starts_ns[last] - starts_ns[first]) / S
            allowed = BURST_STARTS + window_s * rate_per_s(ramp, starts_ns[last])
            assert last - first + 1 <= allowed + 1e-6


def test_full_load_comes_at_the_end_and_a_jump_begins_it_anew():
    ramp = SlowStart(0)
    warm_ns = int(RAMP_S * S)
    for _ in range(200):
        assert not observe_answer(ramp, 5.0, warm_ns)
    assert n_slots_allowed(ramp, 2, warm_ns) == 2
    jumps = [observe_answer(ramp, 60.0, warm_ns) for _ in range(3)]
    assert any(jumps)
    assert n_slots_allowed(ramp, 2, warm_ns) == 1
    assert rate_per_s(ramp, warm_ns) == FIRST_RATE_PER_S
    # While it warms up, slow answers do not begin the ramp once more.
    assert not any(observe_answer(ramp, 60.0, warm_ns + S) for _ in range(100))


def test_one_slow_answer_is_no_cold_start():
    ramp = SlowStart(0)
    for number in range(400):
        took_ms = 45.0 if number % 40 == 39 else 5.0
        assert not observe_answer(ramp, took_ms, int(RAMP_S * S))
