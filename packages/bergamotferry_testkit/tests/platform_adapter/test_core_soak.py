"""Losses of control hosts in series, with real processes."""

import asyncio

import pytest
from platform_core_soak import KINDS, Round, draw_series, run_series


@pytest.mark.parametrize(
    "rounds",
    [
        # Review case 12: the frozen host counts as lost at about 5 s.
        [Round("freeze", 5.05, 3.0, freeze_s=6.1)],
        # Review case 11, and one disk more.
        [Round("two leaves", 1.5, 2.0, gap_s=0.5)],
        [Round("sudden end", 1.0, 2.0), Round("leave", 1.0, 2.0, pick=1)],
    ],
)
def test_core_takes_changes_after_each_loss_within_the_tolerance(rounds, tmp_path):
    """Guards against a core that has lost its majority for good."""
    assert asyncio.run(run_series(rounds, tmp_path)) == []


def test_series_depends_on_the_seed_only_and_draws_each_kind():
    series = [draw_series(seed) for seed in range(10)]
    assert series == [draw_series(seed) for seed in range(10)]
    assert {round_.kind for rounds in series for round_ in rounds} == set(KINDS)
