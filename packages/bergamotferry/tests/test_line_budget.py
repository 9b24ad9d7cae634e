from bergamotferry.line_budget import (
    LINES_PER_S,
    N_LINES_AT_ONCE,
    LineBudget,
    take_left_out,
    take_line,
)

MS = 1_000_000


def test_usual_load_is_written_whole():
    budget = LineBudget()
    assert all(take_line(budget, 1 + n * 20 * MS) for n in range(2_000))
    assert take_left_out(budget) == 0


def test_a_burst_that_lasts_is_held_to_the_rate_and_counted():
    budget = LineBudget()
    n_asked, length_s = 30_000, 30
    step = length_s * 1_000 * MS // n_asked
    n_written = sum(take_line(budget, 1 + n * step) for n in range(n_asked))
    assert n_written <= N_LINES_AT_ONCE + LINES_PER_S * length_s
    assert n_written >= N_LINES_AT_ONCE + LINES_PER_S * (length_s - 1)
    assert take_left_out(budget) == n_asked - n_written
    assert take_left_out(budget) == 0


def test_after_a_pause_a_burst_fits_again():
    budget = LineBudget()
    while take_line(budget, 1):
        pass
    assert not take_line(budget, 2)
    later = 1 + 60_000 * MS
    assert sum(take_line(budget, later) for _ in range(1_000)) == N_LINES_AT_ONCE
