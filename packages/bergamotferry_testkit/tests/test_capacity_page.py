"""Checks the capacity page against the measurements and the constants of the code."""

import json
import re
from pathlib import Path

import pytest

from bergamotferry_testkit.capacity_checks import build_checks
from bergamotferry_testkit.capacity_counts import TARGET_COUNTS
from bergamotferry_testkit.capacity_model import coefficient_value, total
from bergamotferry_testkit.capacity_page import format_figure, read_slopes, render_page
from bergamotferry_testkit.capacity_terms import build_terms
from bergamotferry_testkit.slope_fit import Slope, fit_slope

ROOT = Path(__file__).parents[3]
DOCUMENT = json.loads((ROOT / "docs/capacity.json").read_text())
PAGE = (ROOT / "docs/CAPACITY.md").read_text()
SLOPES = read_slopes(DOCUMENT)
ROLES = {
    "entry",
    "dispatcher",
    "data-centre leader",
    "data-centre voter",
    "global leader",
    "global voter",
    "relay between data centres",
    "upstream",
}


def test_page_equals_page_rendered_from_measurements():
    assert render_page(PAGE, DOCUMENT) == PAGE, "run make capacity-page"


def test_page_changes_with_each_measurement():
    for name in sorted(_used_slopes()):
        changed = json.loads(json.dumps(DOCUMENT))
        changed["slopes"][name]["slope"] *= 3
        changed["slopes"][name]["intercept"] *= 3
        assert render_page(PAGE, changed) != PAGE, name


def test_page_has_all_tables_and_terms_have_all_roles():
    assert set(re.findall(r"<!-- table: ([a-z-]+) -->", PAGE)) == {
        "counts",
        "slopes",
        "roles",
        "checks",
        "latency",
        "overhead",
        "profile",
        "serve-again",
        "in-force",
        "hot-keys",
        "day",
        "cut",
    }
    assert {term.role for term in build_terms(TARGET_COUNTS)} == ROLES


def test_each_slope_is_the_fit_of_its_points():
    for name, slope in SLOPES.items():
        refitted = fit_slope(name, slope.unit, slope.per, slope.method, slope.points)
        assert refitted.slope == pytest.approx(slope.slope, rel=0.01), name
        assert len(slope.points) >= 3


def test_total_is_the_sum_of_coefficients_times_counts():
    terms = [
        term
        for term in build_terms(TARGET_COUNTS)
        if (term.role, term.resource, term.is_control)
        == ("data-centre leader", "cpu_us_per_s", True)
    ]
    expected = sum(coefficient_value(term, SLOPES) * term.multiplier for term in terms)
    total_us_per_s = total(
        build_terms(TARGET_COUNTS), SLOPES, "data-centre leader", "cpu_us_per_s", True
    )
    assert total_us_per_s == pytest.approx(expected)
    assert total_us_per_s > 0


def test_factor_is_usage_divided_by_limit():
    for check in build_checks(SLOPES, TARGET_COUNTS):
        assert check.factor == pytest.approx(check.required / check.limit)


def test_fit_returns_slope_and_intercept():
    points = [(1, 12.0), (2, 14.0), (4, 18.0)]
    expected = Slope("n", "B", "row", "m", ((1, 12), (2, 14), (4, 18)), 2.0, 10.0, 1.0)
    assert fit_slope("n", "B", "row", "m", points) == expected


def test_fit_of_fewer_than_three_sizes_is_refused():
    with pytest.raises(ValueError, match="3 different sizes"):
        fit_slope("n", "B", "row", "m", [(1, 1.0), (1, 2.0), (2, 3.0)])


@pytest.mark.parametrize(
    ("value", "text"),
    [(0, "0"), (0.012345, "0.0123"), (12.345, "12.3"), (1234567, "1,230,000")],
)
def test_figures_are_rounded_to_three_significant_digits(value, text):
    assert format_figure(value) == text


def _used_slopes():
    used = {term.coefficient for term in build_terms(TARGET_COUNTS) if term.coefficient}
    return used | {"sync_time", "regrant_cpu_per_shard"}
