"""How many routine log lines a process may write, lest a burst floods its log.

Lines that touch a request come as fast as requests do. Each kind of line has a budget
of its own, so that one kind never displaces another; what does not fit is counted, and
the count is written with the next line that does.
"""

from dataclasses import dataclass

NS_PER_S = 1_000_000_000
LINES_PER_S = 100.0
# Some seconds of a usual host's lines, so that short bursts are kept whole.
N_LINES_AT_ONCE = 500.0


@dataclass(slots=True)
class LineBudget:
    """Lines that may still be written of one kind, and how many were left out."""

    n_left: float = N_LINES_AT_ONCE
    since_ns: int = 0
    n_left_out: int = 0


def take_line(budget: LineBudget, now_ns: int) -> bool:
    """Take the right to write one line; False if it must be left out."""
    passed_s = (now_ns - budget.since_ns) / NS_PER_S if budget.since_ns else 0.0
    budget.n_left = min(N_LINES_AT_ONCE, budget.n_left + LINES_PER_S * passed_s)
    budget.since_ns = now_ns
    if budget.n_left < 1.0:
        budget.n_left_out += 1
        return False
    budget.n_left -= 1.0
    return True


def take_left_out(budget: LineBudget) -> int:
    """Return how many lines were left out since this was asked last."""
    n_left_out, budget.n_left_out = budget.n_left_out, 0
    return n_left_out
