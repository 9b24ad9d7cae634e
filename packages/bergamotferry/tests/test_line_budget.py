"""Log lines above the budget are left out and counted."""

from bergamotferry.line_budget import (
    BURST_LINES,
    LINES_PER_S,
    LineBudget,
    take_line,
    take_n_left_out,
)

NS_PER_MS = 1_000_000


def test_usual_load_loses_no_lines():
    budget = LineBudget()
    assert all(take_line(budget, 1 + n * 20 * NS_PER_MS) for n in range(2_000))
    assert take_n_left_out(budget) == 0


def test_long_burst_is_limited_to_the_rate_and_counted():
    budget = LineBudget()
    n_requested, length_s = 30_000, 30
    step_ns = length_s * 1_000 * NS_PER_MS // n_requested
    n_written = sum(take_line(budget, 1 + n * step_ns) for n in range(n_requested))
    assert n_written <= BURST_LINES + LINES_PER_S * length_s
    assert n_written >= BURST_LINES + LINES_PER_S * (length_s - 1)
    assert take_n_left_out(budget) == n_requested - n_written
    assert take_n_left_out(budget) == 0


def test_burst_after_a_pause_is_written():
    budget = LineBudget()
    while take_line(budget, 1):
        pass
    assert not take_line(budget, 2)
    later_ns = 1 + 60_000 * NS_PER_MS
    assert sum(take_line(budget, later_ns) for _ in range(1_000)) == BURST_LINES
