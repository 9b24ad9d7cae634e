"""What each role costs at the letter's size: measured slopes times counts.

A role's loads are lists of terms. Those marked as control count against the budget
that the letter sets for a node; the others grow with the requests.
"""

from collections.abc import Mapping
from typing import Literal, NamedTuple

from .capacity_counts import DAY_S, N_NOTES_PER_DAY, Counts
from .slope_fit import Slope

Resource = Literal["cpu_us_per_s", "memory_bytes", "bytes_per_s", "messages_per_s"]
Part = Literal["slope", "intercept"]
Slopes = Mapping[str, Slope]

N_COMMITS_PER_FILING = 2


class Term(NamedTuple):
    """A measured coefficient times a count; a term without one is a plain count."""

    role: str
    resource: Resource
    is_control: bool
    what: str
    module: str
    multiplier: float
    coefficient: str = ""
    part: Part = "slope"


def term_value(term: Term, slopes: Slopes) -> float:
    """Return a term's value in the unit of its resource."""
    return coefficient_value(term, slopes) * term.multiplier


def coefficient_value(term: Term, slopes: Slopes) -> float:
    """Return the measured coefficient of a term."""
    if not term.coefficient:
        return 1.0
    slope = slopes[term.coefficient]
    return slope.slope if term.part == "slope" else slope.intercept


def total(
    terms: list[Term], slopes: Slopes, role: str, resource: Resource, is_control: bool
) -> float:
    """Return the sum of a role's terms of one resource."""
    return sum(
        term_value(term, slopes)
        for term in terms
        if (term.role, term.resource, term.is_control) == (role, resource, is_control)
    )


def commits_per_s(counts: Counts) -> float:
    """Return the commits of a data centre's group for its filings."""
    return N_COMMITS_PER_FILING * counts.filings_per_data_centre_s


def notes_per_s() -> float:
    """Return the release notes per second, over the day."""
    return N_NOTES_PER_DAY / DAY_S
