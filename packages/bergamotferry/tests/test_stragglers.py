"""Slow upstreams are detected against their peers, stably and a share at a time."""

import pytest

from bergamotferry.stragglers import (
    LATENCY_MAX_AGE_NS,
    N_ANSWERS_MIN,
    N_CHECKS_RECOVERED,
    N_CHECKS_SLOW,
    RECOVERED_FACTOR,
    LatencyTable,
    evaluate_stragglers,
    known_latencies,
    observe_latency,
    placement_weights,
    set_latencies,
    step_weights,
)


def run_checks(table, latencies_ms, n_checks):
    """Return the names of the slow upstreams after each check."""
    slow = []
    for _ in range(n_checks):
        set_latencies(table, "testlog", latencies_ms)
        evaluate_stragglers(table)
        slow.append({name for name, upstream in table.rows.items() if upstream.is_slow})
    return slow


def latencies(**slow):
    return {f"u{number}": 5.0 for number in range(10)} | slow


def test_straggler_is_detected_gets_a_lower_weight_and_recovers_slowly():
    table = LatencyTable()
    slow_names = run_checks(table, latencies(u3=50.0), N_CHECKS_SLOW)
    assert slow_names == [set()] * (N_CHECKS_SLOW - 1) + [{"u3"}]
    assert placement_weights(table) == latencies(u3=50.0) | {
        f"u{number}": 0.1 if number == 3 else 1.0 for number in range(10)
    }
    recovered = run_checks(table, latencies(u3=6.0), N_CHECKS_RECOVERED)
    assert recovered == [{"u3"}] * (N_CHECKS_RECOVERED - 1) + [set()]


@pytest.mark.parametrize("other_ms", [5.0, 14.0])
def test_alternating_latency_does_not_flap(other_ms):
    table = LatencyTable()
    verdicts = []
    for _ in range(20):
        verdicts += run_checks(table, latencies(u3=50.0), 1)
        verdicts += run_checks(table, latencies(u3=other_ms), 1)
    assert verdicts == [set()] * 40


def test_at_most_a_share_of_upstreams_is_classified_as_slow():
    table = LatencyTable()
    slow = {f"u{number}": 50.0 + number for number in range(4)}
    assert run_checks(table, latencies(**slow), 5)[-1] == {"u1", "u2", "u3"}


def test_too_few_peers_or_answers_give_no_verdict():
    table = LatencyTable()
    assert run_checks(table, {"u0": 5.0, "u1": 90.0}, 9)[-1] == set()
    table = LatencyTable()
    for number in range(5):
        for _ in range(9):
            observe_latency(table, "testlog", f"u{number}", 90.0 if number else 5.0)
    for _ in range(9):
        evaluate_stragglers(table)
    assert not any(upstream.is_slow for upstream in table.rows.values())


def test_single_hung_answer_gives_no_verdict():
    table = LatencyTable()
    for _ in range(N_ANSWERS_MIN):
        for number in range(5):
            observe_latency(table, "testlog", f"u{number}", 5.0)
    observe_latency(table, "testlog", "u0", 30_000.0)
    for _ in range(N_CHECKS_SLOW):
        evaluate_stragglers(table)
    assert not table.rows["u0"].is_slow


def test_latency_is_known_only_with_enough_recent_answers():
    table = LatencyTable()
    for number in range(N_ANSWERS_MIN):
        assert known_latencies(table, 0) == ()
        observe_latency(table, "testlog", "u0", 5.0, number)
    last_ns = N_ANSWERS_MIN - 1
    late_ns = last_ns + LATENCY_MAX_AGE_NS
    assert known_latencies(table, late_ns) == (("testlog", "u0", 5.0),)
    assert known_latencies(table, late_ns + 1) == ()
    # Earlier latencies are not mixed with the new one.
    observe_latency(table, "testlog", "u0", 50.0, late_ns + 1)
    assert (table.rows["u0"].n_answers, table.rows["u0"].latency_ms) == (1, 50.0)


def test_weights_change_in_bounded_steps_and_weights_of_1_are_left_out():
    weights = {}
    applied_weights = []
    for target_weight in [0.1] * 4 + [1.0] * 9:
        weights = step_weights(weights, {"u0": target_weight, "u1": 1.0})
        applied_weights.append(weights.get("u0", 1.0))
    assert applied_weights == [0.75, 0.5, 0.25, 0.1, *(n / 10 for n in range(2, 11))]
    assert weights == {}


def test_sparse_answers_show_a_recovery_within_seconds():
    table = LatencyTable()
    for _ in range(N_ANSWERS_MIN):
        observe_latency(table, "testlog", "u0", 50.0)
    for second in range(0, 30, 5):
        observe_latency(table, "testlog", "u0", 5.0, second * 1_000_000_000)
    assert table.rows["u0"].latency_ms < RECOVERED_FACTOR * 5.0
