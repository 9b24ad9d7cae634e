"""How many routine log lines a process may write, so that no burst floods its log.

Lines about requests are written at the rate of the requests. Each kind of line has a
budget of its own, so that one kind never displaces another. Lines over the budget are
counted, and the count is written with the next line within the budget.
"""

from dataclasses import dataclass

NS_PER_S = 1_000_000_000
LINES_PER_S = 100.0
# Some seconds of a usual host's lines, so that short bursts are written completely.
BURST_LINES = 500.0


@dataclass(slots=True)
class LineBudget:
    """Lines of one kind that may still be written, and how many were left out.

    ``n_left`` is as of ``refilled_ns``.
    """

    n_left: float = BURST_LINES
    refilled_ns: int = 0
    n_left_out: int = 0


def take_line(budget: LineBudget, now_ns: int) -> bool:
    """Take one line out of the budget; return False if it must be left out."""
    passed_s = (now_ns - budget.refilled_ns) / NS_PER_S if budget.refilled_ns else 0.0
    budget.n_left = min(BURST_LINES, budget.n_left + LINES_PER_S * passed_s)
    budget.refilled_ns = now_ns
    if budget.n_left < 1.0:
        budget.n_left_out += 1
        return False
    budget.n_left -= 1.0
    return True


def take_n_left_out(budget: LineBudget) -> int:
    """Return how many lines were left out since the last call."""
    n_left_out, budget.n_left_out = budget.n_left_out, 0
    return n_left_out
