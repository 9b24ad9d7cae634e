"""The ramp bounds the requests that a new upstream gets, and restarts if it is cold."""

from hypothesis import given
from hypothesis import strategies as st

from bergamotferry.slow_start import (
    BURST_STARTS,
    EARLY_END_MIN_S,
    INITIAL_RATE_PER_S,
    N_ANSWERS_PER_COMPARISON,
    RAMP_S,
    SlowStart,
    begin_ramp,
    compare_answer,
    is_ramping,
    n_slots_allowed,
    observe_answer,
    rate_per_s,
    take_start,
    warm_peers_ms,
)

NS_PER_S = 1_000_000_000


def test_ramp_raises_slots_and_rate_as_stated():
    ramp = SlowStart(0)
    limits = [
        (
            at_s,
            n_slots_allowed(ramp, 3, at_s * NS_PER_S),
            rate_per_s(ramp, at_s * NS_PER_S),
        )
        for at_s in (0, 1, 4, 7, 8)
    ]
    assert limits == [
        (0, 1, 20.0),
        (1, 1, 40.0),
        (4, 2, 320.0),
        (7, 2, 2560.0),
        (8, 3, float("inf")),
    ]


@given(
    st.lists(st.integers(0, NS_PER_S // 5), min_size=1, max_size=200),
    st.integers(0, NS_PER_S),
)
def test_starts_never_exceed_the_stated_rate(gaps_ns, began_ns):
    ramp = SlowStart(began_ns)
    starts_ns, now_ns = [], began_ns
    for gap_ns in gaps_ns:
        now_ns += gap_ns
        if is_ramping(ramp, now_ns) and take_start(ramp, now_ns):
            starts_ns.append(now_ns)
    for first in range(len(starts_ns)):
        for last in range(first, len(starts_ns)):
            window_s = (starts_ns[last] - starts_ns[first]) / NS_PER_S
            n_allowed = BURST_STARTS + window_s * rate_per_s(ramp, starts_ns[last])
            assert last - first + 1 <= n_allowed + 1e-6


WARM_NS = int(RAMP_S * NS_PER_S)


def warm_ramp(usual_ms=5.0):
    ramp = SlowStart(0)
    for _ in range(200):
        assert not observe_answer(ramp, "lookup", usual_ms, WARM_NS)
    assert n_slots_allowed(ramp, 2, WARM_NS) == 2
    return ramp


def test_lasting_latency_jump_restarts_the_ramp():
    ramp = warm_ramp()
    at_ns = [WARM_NS + number * 60 * NS_PER_S // 1000 for number in range(1, 9)]
    is_restart = [observe_answer(ramp, "lookup", 60.0, now_ns) for now_ns in at_ns]
    now_ns = at_ns[is_restart.index(True)]
    assert n_slots_allowed(ramp, 2, now_ns) == 1
    assert rate_per_s(ramp, now_ns) == INITIAL_RATE_PER_S
    # During the ramp, slow answers do not restart it.
    late_ns = now_ns + NS_PER_S
    assert not any(observe_answer(ramp, "lookup", 60.0, late_ns) for _ in range(100))


def test_answers_delayed_by_a_paused_host_do_not_restart_the_ramp():
    # After the pause, all answers in flight are late at once. Answers to later requests
    # are not.
    ramp = warm_ramp()
    for number in range(45):
        assert not observe_answer(
            ramp, "lookup", 150.0 - 2 * number, WARM_NS + NS_PER_S
        )
    for number in range(100):
        now_ns = WARM_NS + NS_PER_S + number * NS_PER_S // 100
        assert not observe_answer(ramp, "lookup", 5.0, now_ns)


def test_answers_delayed_by_a_busy_host_do_not_restart_the_ramp():
    ramp = warm_ramp()
    for number in range(200):
        now_ns = WARM_NS + number * NS_PER_S // 100
        assert not observe_answer(ramp, "lookup", 65.0, now_ns, own_delay_ms=8.0)


def test_jump_of_a_few_milliseconds_does_not_restart_the_ramp():
    ramp = warm_ramp(usual_ms=1.0)
    for number in range(200):
        now_ns = WARM_NS + number * NS_PER_S // 100
        assert not observe_answer(ramp, "lookup", 15.0, now_ns)


def test_answer_times_of_each_traffic_class_are_kept_separately():
    ramp = warm_ramp()
    for number in range(200):
        now_ns = WARM_NS + number * NS_PER_S // 10
        assert not observe_answer(ramp, "filing", 100.0, now_ns)
        # The duration of a bulk answer depends on how fast its caller reads.
        assert not observe_answer(ramp, "bulk", 50.0 * number, now_ns)


def test_single_slow_answers_do_not_restart_the_ramp():
    ramp = SlowStart(0)
    for number in range(400):
        took_ms = 45.0 if number % 40 == 39 else 5.0
        now_ns = WARM_NS + number * NS_PER_S // 100
        assert not observe_answer(ramp, "lookup", took_ms, now_ns)


def end_of_ramp(took_ms, first_s, n_answers):
    """Return the number of the answer that ended a ramp early, or None.

    The warm peers of the upstream answer in 5 ms.
    """
    ramp = SlowStart(0)
    for number in range(1, n_answers + 1):
        now_ns = int((first_s + number / 1000) * NS_PER_S)
        if compare_answer(ramp, took_ms, 5.0, now_ns):
            assert not is_ramping(ramp, now_ns)
            begin_ramp(ramp, now_ns)
            assert is_ramping(ramp, now_ns)
            return number
        assert is_ramping(ramp, now_ns)
    return None


def test_ramp_ends_early_for_an_upstream_about_as_fast_as_its_peers():
    assert end_of_ramp(6.0, EARLY_END_MIN_S, 100) == N_ANSWERS_PER_COMPARISON
    assert end_of_ramp(9.0, EARLY_END_MIN_S, 100) is None
    # The first seconds of the ramp are kept, however fast the upstream is.
    assert end_of_ramp(1.0, 0.0, 1000) is None


def test_usual_answer_time_comes_from_enough_warm_peers_only():
    warm_ramps = [warm_ramp(usual_ms) for usual_ms in (5.0, 7.0, 90.0)]
    assert warm_peers_ms(warm_ramps, "lookup", WARM_NS) == 7.0
    assert warm_peers_ms(warm_ramps, "filing", WARM_NS) is None
    assert warm_peers_ms(warm_ramps[:1], "lookup", WARM_NS) is None
    begin_ramp(warm_ramps[0], WARM_NS)
    begin_ramp(warm_ramps[1], WARM_NS)
    # Answer times during the ramp show nothing about a warm upstream.
    for _ in range(100):
        observe_answer(warm_ramps[0], "lookup", 5.0, WARM_NS)
    assert warm_peers_ms(warm_ramps, "lookup", WARM_NS) is None
