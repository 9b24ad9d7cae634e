"""Shares of several data centres that each solve for all flows by themselves."""

import pytest

from bergamotferry.service_load.rows import ServiceLoad
from bergamotferry.spill.loads import USABLE_SLOTS_SHARE
from bergamotferry.spill.plan import ServiceTraffic
from bergamotferry.spill.service import ServiceSpill, update_service

N_STEPS = 80


def shares_after(regions, n_slots, offered, traffic, n_steps=N_STEPS):
    """Return the shares of each data centre once all have taken the same rows."""
    spills = {name: ServiceSpill() for name in regions}
    for step in range(n_steps):
        rows = [
            # Rows differ from those before, so that each counts.
            ServiceLoad("s", name, n_slots, ((0, load),), 300 + step % 2)
            for name, load in offered.items()
        ]
        for name, spill in spills.items():
            update_service(
                spill,
                rows,
                0.0,
                name,
                regions,
                traffic,
                {},
                lambda _: n_slots,
                far_slots_max=1e9,
            )
    return {name: spill.shares.planned for name, spill in spills.items()}


@pytest.mark.parametrize("n_slots", [20.0, 120.0, 540.0])
@pytest.mark.parametrize("load", [1.2, 1.5])
@pytest.mark.parametrize("regions", ["nnn", "nns", "nms"])
@pytest.mark.parametrize("n_body_bytes", [500.0, 20_000.0])
def test_busy_data_centres_together_do_not_overload_an_idle_one(
    n_slots, load, regions, n_body_bytes
):
    """Guards against two that each take all the room of a third one.

    Both have sent there for long, so that the flows exist already.
    """
    usable = USABLE_SLOTS_SHARE * n_slots
    offered = {"a": load * usable, "b": load * usable, "c": 0.5 * usable}
    shares = shares_after(
        dict(zip("abc", regions, strict=True)),
        n_slots,
        offered,
        ServiceTraffic(100.0, 400.0, n_body_bytes),
    )
    arriving = sum(shares[name].get("c", 0.0) * offered[name] for name in "ab")
    assert offered["c"] + arriving <= usable
    # Yet they do use it.
    assert arriving > 0.2 * usable


def test_flow_that_exists_continues_at_less_gain_than_it_needs_to_begin():
    """Guards against shares that begin and end with each swing of the load."""
    regions = {"a": "n", "b": "s"}
    traffic = ServiceTraffic(100.0, 400.0, 2_000.0)
    spill = ServiceSpill()

    def play(load, n_steps=20):
        for step in range(n_steps):
            rows = [
                ServiceLoad("s", "a", 100.0, ((0, load),), 300 + step % 2),
                ServiceLoad("s", "b", 100.0, ((0, 10.0),), 300 + step % 2),
            ]
            update_service(
                spill, rows, 0.0, "a", regions, traffic, {}, lambda _: 100.0, 1e9
            )
        return spill.shares.planned.get("b", 0.0)

    loads = [load / 2 for load in range(120, 200)]
    begins = next(load for load in loads if play(load) > 0)
    assert begins < 95
    ends = next(
        load for load in reversed(loads[: loads.index(begins)]) if not play(load)
    )
    assert begins - ends >= 2.0
