"""Orders that may have waited while a host was suspended are not committed."""

import asyncio
import time
from types import SimpleNamespace

import pytest

from bergamotferry.fleet_tables import FleetTables, apply_fleet_command
from bergamotferry.outcomes import Accepted
from bergamotferry.result_codes import ResultCode
from bergamotferry_host import fleet_control
from bergamotferry_host.clock import now_ns
from bergamotferry_host.evacuation_orders import set_evacuation
from bergamotferry_host.fleet_control import ControlHost
from bergamotferry_host.fleet_settings import FleetSettings
from bergamotferry_host.suspension import (
    RESUME_NS,
    SUSPENDED_MIN_NS,
    TICK_S,
    SuspensionWatch,
    has_just_resumed,
    record_tick,
    run_suspension_watch,
)

NOW_NS = 100 * SUSPENDED_MIN_NS


@pytest.mark.parametrize(
    ("since_tick_ns", "is_recorded", "since_resumed_ns", "is_stale"),
    [
        (SUSPENDED_MIN_NS - 1, False, 0, False),
        # Nothing has recorded the suspension yet.
        (SUSPENDED_MIN_NS, False, 0, True),
        (SUSPENDED_MIN_NS, True, 0, True),
        (SUSPENDED_MIN_NS, True, RESUME_NS - 1, True),
        (SUSPENDED_MIN_NS, True, RESUME_NS, False),
        # A busy host runs late, and was not suspended.
        (SUSPENDED_MIN_NS - 1, True, 0, False),
    ],
)
def test_orders_are_stale_for_a_moment_after_a_suspension(
    since_tick_ns, is_recorded, since_resumed_ns, is_stale
):
    watch = SuspensionWatch(ticked_ns=NOW_NS)
    now = NOW_NS + since_tick_ns
    if is_recorded:
        record_tick(watch, now)
    assert has_just_resumed(watch, now + since_resumed_ns) is is_stale


def stop_for_a_while():
    """Keep the event loop from running, like a suspension of the process."""
    time.sleep(SUSPENDED_MIN_NS / 1e9 + 0.05)


async def order(host, is_evacuated):
    """Order as a sender that waits for its answer does."""
    return await set_evacuation(host, "a", is_evacuated, lambda: False)


def test_host_without_a_watch_refuses_nothing():
    assert not has_just_resumed(SuspensionWatch(), NOW_NS)


def test_order_that_waited_during_a_suspension_is_refused_and_a_later_one_taken(
    monkeypatch,
):
    """Guards against an order that takes effect after a newer one on its object."""
    settings = FleetSettings("1.1.1.1", "c", "a", "n", {"a": "n"}, 1, ("1.1.1.1",))

    async def commit(group, command, timeout_s, origin):
        return apply_fleet_command(group.tables, command)

    monkeypatch.setattr(fleet_control, "commit", commit)

    async def run():
        group = SimpleNamespace(tables=FleetTables(), applied=asyncio.Condition())
        host = ControlHost(settings, None, group, lambda source: [], "p")
        watch_task = asyncio.create_task(run_suspension_watch(host.suspension))
        await asyncio.sleep(2 * TICK_S)
        assert isinstance(await order(host, True), Accepted)
        # The order is read in the same turn of the event loop in which it goes on.
        late_order = asyncio.create_task(order(host, False))
        stop_for_a_while()
        outcome = await late_order
        assert outcome.code == ResultCode.HOST_NOT_READY
        await asyncio.sleep(TICK_S)
        outcome = await order(host, False)
        assert outcome.code == ResultCode.HOST_NOT_READY
        assert host.tables.evacuated == {"a"}
        await asyncio.sleep(RESUME_NS / 1e9)
        assert isinstance(await order(host, False), Accepted)
        watch_task.cancel()
        assert now_ns() > host.suspension.resumed_ns

    asyncio.run(run())
