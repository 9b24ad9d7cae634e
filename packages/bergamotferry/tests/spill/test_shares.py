"""Shares move in small steps, end, and are drawn as often as they say."""

from collections import Counter

import pytest

from bergamotferry.spill.plan import SpillPlan
from bergamotferry.spill.shares import (
    START_SHARE,
    STEP_DOWN,
    STEP_UP,
    ServiceShares,
    changes_to_log,
    draw_place,
    drop_share,
    update_shares,
)

OFFERED, N_SLOTS = 10.0, 12.0


def plan(n_sharing=1, room=0.0, **flows):
    by_pair = {("a", target): flow for target, flow in flows.items()}
    return SpillPlan(by_pair, {"a": 0.0, "b": room}, n_sharing)


def updated(shares, plan_, n_updates=1):
    for _ in range(n_updates):
        update_shares(shares, plan_, "a", OFFERED, N_SLOTS)
    return shares.planned.get("b", 0.0)


def test_share_rises_in_small_steps_and_stops_at_what_is_wanted():
    shares = ServiceShares()
    values = [updated(shares, plan(b=2.0)) for _ in range(12)]
    assert values[0] == pytest.approx(STEP_UP)
    steps = [after - before for before, after in zip(values, values[1:], strict=False)]
    assert max(steps) <= STEP_UP + 1e-9
    assert values[-1] == pytest.approx(0.2)


def test_share_goes_back_when_the_flow_or_the_rows_end():
    """Guards against requests that keep leaving on figures that nobody renews."""
    for ended in (plan(), None):
        shares = ServiceShares()
        before = updated(shares, plan(b=5.0), 20)
        after = updated(shares, ended)
        assert after == pytest.approx(before - STEP_DOWN)
        assert updated(shares, ended, 5) == 0.0
        assert shares.is_current == (ended is not None)
    assert shares.overflow == {}


def test_small_flow_starts_no_share_and_a_small_share_ends():
    shares = ServiceShares()
    assert updated(shares, plan(b=0.9 * START_SHARE * OFFERED), 5) == 0.0
    updated(shares, plan(b=2.0), 5)
    assert updated(shares, plan(b=0.5 * START_SHARE * OFFERED), 5) > 0.0
    assert updated(shares, plan(b=0.001), 5) == 0.0


def test_room_elsewhere_is_divided_among_those_who_use_it():
    shares = ServiceShares()
    updated(shares, plan(room=4.0))
    assert shares.overflow == {"b": pytest.approx(0.4)}
    updated(shares, plan(n_sharing=2, room=4.0))
    assert shares.overflow == {"b": pytest.approx(0.2)}
    # A row of no load does not let every request leave that finds no slot.
    update_shares(shares, plan(room=3.0), "a", 0.0, N_SLOTS)
    assert shares.overflow == {"b": pytest.approx(0.5)}
    # What the steps still keep at home may leave if it finds no slot there.
    updated(shares, plan(b=3.0))
    assert shares.overflow["b"] == pytest.approx(0.3 - STEP_UP)


def test_draws_follow_the_shares():
    shares = ServiceShares(planned={"b": 0.1, "c": 0.2}, overflow={"b": 0.3})
    draws = Counter(draw_place(shares, n / 1_000) for n in range(1_000))
    counts = {(draw.kind, draw.data_centre): n for draw, n in draws.items()}
    assert counts == {
        ("planned", "b"): pytest.approx(100, abs=1),
        ("planned", "c"): pytest.approx(200, abs=1),
        ("overflow", "b"): pytest.approx(300, abs=1),
        ("home", ""): pytest.approx(400, abs=1),
    }
    drop_share(shares, "b")
    assert draw_place(shares, 0.05).data_centre == "c"


def test_log_has_the_begin_the_end_and_large_changes_of_a_share_only():
    shares = ServiceShares()
    lines = []
    for plan_ in [plan(b=5.0)] * 20 + [plan()] * 5 + [None] * 5:
        update_shares(shares, plan_, "a", OFFERED, N_SLOTS)
        lines += list(changes_to_log(shares))
    assert lines[0][1:] == (pytest.approx(STEP_UP), 0.0)
    assert lines[-1][1] == 0.0
    assert len(lines) <= 9
