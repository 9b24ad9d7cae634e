"""The cost of each role at the target size: measured slopes times counts.

The load of a role is a list of terms. Terms marked as control count against the budget
that is required of each node; the other terms grow with the request rate.
"""

from collections.abc import Mapping
from typing import Literal, NamedTuple

from .capacity_counts import DAY_S, N_NOTES_PER_DAY, Counts
from .slope_fit import Slope

Resource = Literal["cpu_us_per_s", "memory_bytes", "bytes_per_s", "messages_per_s"]
FitPart = Literal["slope", "intercept"]
Slopes = Mapping[str, Slope]

N_COMMITS_PER_FILING = 2


class Term(NamedTuple):
    """A measured coefficient times a count; without a coefficient, the count alone."""

    role: str
    resource: Resource
    is_control: bool
    load: str
    module: str
    multiplier: float
    coefficient: str = ""
    part: FitPart = "slope"


def term_value(term: Term, slopes: Slopes) -> float:
    """Return the value of a term, in the unit of its resource."""
    return coefficient_value(term, slopes) * term.multiplier


def coefficient_value(term: Term, slopes: Slopes) -> float:
    """Return the measured coefficient of a term; 1 if the term is a plain count.

    Raises
    ------
    KeyError
        If the term's coefficient was not measured.
    """
    if not term.coefficient:
        return 1.0
    slope = slopes[term.coefficient]
    return slope.slope if term.part == "slope" else slope.intercept


def total(
    terms: list[Term], slopes: Slopes, role: str, resource: Resource, is_control: bool
) -> float:
    """Return the sum of a role's terms of one resource, either control or requests."""
    return sum(
        term_value(term, slopes)
        for term in terms
        if (term.role, term.resource, term.is_control) == (role, resource, is_control)
    )


def commits_per_s(counts: Counts) -> float:
    """Return the commits per second of a data centre's group for its filings."""
    return N_COMMITS_PER_FILING * counts.filings_per_data_centre_s


def notes_per_s() -> float:
    """Return the release notes per second, averaged over a day."""
    return N_NOTES_PER_DAY / DAY_S
