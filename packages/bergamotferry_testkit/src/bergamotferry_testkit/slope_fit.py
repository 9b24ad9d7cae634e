"""Slopes: the measured cost of one more host, shard or request.

Each cost is measured at three sizes or more and fitted with a straight line, which
separates the fixed cost (the intercept) from the cost per unit of size.
"""

import math
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple

import numpy as np

N_POINTS_MIN = 3
N_SIGNIFICANT_DIGITS = 4
N_POINT_DIGITS = 6


class Slope(NamedTuple):
    """The points of one measurement and the line fitted to them.

    The line is ``y = intercept + slope x``, with the slope in ``unit`` per ``per`` and
    the intercept in ``unit``.
    """

    name: str
    unit: str
    per: str
    method: str
    points: tuple[tuple[float, float], ...]
    slope: float
    intercept: float
    r_squared: float


def fit_slope(
    name: str,
    unit: str,
    per: str,
    method: str,
    points: Sequence[tuple[float, float]],
) -> Slope:
    """Fit a line by least squares.

    Parameters
    ----------
    name : str
        Name under which the capacity page looks up the slope.
    unit, per : str
        The slope is in ``unit`` per ``per``.
    method : str
        What was run, in one line.
    points : sequence of (float, float)
        Size and cost, at three different sizes or more.

    Raises
    ------
    ValueError
        If there are fewer than three different sizes.
    """
    if len({x for x, _ in points}) < N_POINTS_MIN:
        raise ValueError(f"{name}: needs {N_POINTS_MIN} different sizes")
    x, y = np.array(points, dtype=float).T
    slope, intercept = np.polyfit(x, y, 1)
    residual = float(np.sum((y - (slope * x + intercept)) ** 2))
    total = float(np.sum((y - y.mean()) ** 2))
    r_squared = 1.0 - residual / total if total else 1.0
    rounded = tuple(
        (round_significant(a, N_POINT_DIGITS), round_significant(b, N_POINT_DIGITS))
        for a, b in points
    )
    return Slope(
        name,
        unit,
        per,
        method,
        rounded,
        round_significant(float(slope)),
        round_significant(float(intercept)),
        round(r_squared, 4),
    )


def measure_slope(
    name: str,
    unit: str,
    per: str,
    method: str,
    sizes: Iterable[int],
    cost_of: Callable[[int], float],
) -> Slope:
    """Measure the cost at each size and fit a line; see `fit_slope`."""
    points = [(size, cost_of(size)) for size in sizes]
    return fit_slope(name, unit, per, method, points)


def round_significant(value: float, n_digits: int = N_SIGNIFICANT_DIGITS) -> float:
    """Round to ``n_digits`` significant digits."""
    if value == 0 or not math.isfinite(value):
        return value
    n_decimals = n_digits - 1 - math.floor(math.log10(abs(value)))
    return round(value, n_decimals)


def slope_to_json(slope: Slope) -> dict[str, Any]:
    """Return a slope as a JSON object."""
    return {**slope._asdict(), "points": [list(point) for point in slope.points]}


def slope_from_json(values: dict[str, Any]) -> Slope:
    """Return the slope of a JSON object; the inverse of `slope_to_json`."""
    points = tuple((point[0], point[1]) for point in values["points"])
    return Slope(**{**values, "points": points})
