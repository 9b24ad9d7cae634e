"""The scale on which a late answer, a saved moment and bytes are compared."""

import math

import pytest

from bergamotferry.spill.value import (
    LATE_VALUE,
    bytes_price,
    leaving_price,
    response_value,
)


def test_answer_is_worth_most_in_time_a_third_when_late_and_nothing_after():
    assert response_value(50, 300, 1_200) > 0.99
    assert response_value(600, 300, 1_000_000) == pytest.approx(LATE_VALUE, abs=0.06)
    assert response_value(5_000, 300, 1_200) < 0.01
    assert response_value(math.inf, 300, 1_200) == 0.0
    assert response_value(50, -5, -5) == 0.0
    # The caller is still there, but its objective has passed.
    assert response_value(50, -5, 900) == pytest.approx(LATE_VALUE, abs=0.01)


def test_few_ms_never_outweigh_bytes_and_a_lost_answer_always_does():
    """Guards against requests that leave for a slightly faster upstream."""
    gain = response_value(70, 300, 1_200) - response_value(100, 300, 1_200)
    assert 0 < gain < leaving_price("near", 0) < leaving_price("far", 0)
    for distance in ("near", "far"):
        assert leaving_price(distance, 10**9) < LATE_VALUE
        assert bytes_price(distance, 10**9) < 1
    assert bytes_price("here", 10**9) == leaving_price("here", 10**9) == 0.0
