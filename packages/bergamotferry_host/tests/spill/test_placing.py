"""Where requests go by shares, and by what their host finds, with real upstreams."""

import asyncio
from collections import Counter

import pytest
from direct_harness import (
    HEADER_NAMES,
    SETTINGS,
    DirectHarness,
    route,
    run_with_harness,
    served,
)

from bergamotferry.fleet_tables import KeyRange
from bergamotferry.service_load.rows import ServiceLoad
from bergamotferry_host.clock import now_ns
from bergamotferry_host.spill.updates import update_spill

REGIONS = {"a": "north", "b": "north", "c": "south"}
N_REQUESTS = 20


def configure(harness: DirectHarness, *routes, is_sharded=False) -> None:
    harness.host.settings = SETTINGS._replace(regions=REGIONS)
    routes = routes or (route(timeout_ms=2_000, latency_objective_ms=1_000),)
    harness.configure(*routes, is_sharded=is_sharded)


def take_rows(harness: DirectHarness, age_ms=300, **offered_slots: float) -> None:
    """Give the host rows of load, by data centre, and update its shares once."""
    host = harness.host
    host.service_loads = {
        ("lamps", name): ServiceLoad("lamps", name, 4.0, ((1, offered),), age_ms)
        for name, offered in offered_slots.items()
    }
    host.service_loads_ns = now_ns()
    update_spill(host)


async def add_upstreams(harness: DirectHarness, behaviours=None) -> None:
    """Add two upstreams in each data centre; those of c are the fastest."""
    for data_centre in "cba":
        behaviour = (behaviours or {}).get(data_centre, served)
        for number in range(2):
            await harness.add(f"{data_centre}{number}", behaviour, data_centre)


async def send_each(harness: DirectHarness, path="/safe/1", **headers) -> Counter:
    """Send requests one after the other; return how many got each status."""
    statuses: Counter = Counter()
    for number in range(N_REQUESTS):
        answer, _ = await harness.send_request(path, f"r{number}", **headers)
        statuses[answer.status] += 1
    return statuses


def n_by_data_centre(harness: DirectHarness) -> Counter:
    return Counter(name[0] for name, _ in harness.sends)


def test_without_rows_requests_are_placed_by_estimates_as_before():
    async def scenario(harness):
        configure(harness)
        await add_upstreams(harness)
        update_spill(harness.host)
        assert await send_each(harness) == {200: N_REQUESTS}

    harness = run_with_harness(scenario)
    assert harness.host.spill.services == {}
    reasons = {reason for _, _, reason in harness.host.spill.sends}
    assert reasons == {"estimate"}


def test_nothing_leaves_for_faster_upstreams_while_there_is_room_at_home():
    """Guards against requests that cross data centres to save a few ms."""

    async def scenario(harness):
        configure(harness)
        await add_upstreams(harness)
        take_rows(harness, a=1.0, b=0.2, c=0.2)
        assert await send_each(harness) == {200: N_REQUESTS}

    harness = run_with_harness(scenario)
    assert n_by_data_centre(harness) == {"a": N_REQUESTS}
    assert harness.host.spill.sends == {("lamps", "here", "home"): N_REQUESTS}


def test_row_of_a_data_centre_that_the_settings_lack_breaks_no_request():
    """Guards against requests that fail while a data centre is added, host by host."""

    async def scenario(harness):
        configure(harness)
        await add_upstreams(harness, {"a": served})
        await harness.add("d0", served, "d")
        take_rows(harness, a=4.0, d=0.0)
        assert await send_each(harness) == {200: N_REQUESTS}
        assert "d" not in harness.host.spill.services["lamps"].shares.overflow

    run_with_harness(scenario)


def test_route_without_a_latency_objective_looks_at_no_other_data_centre():
    """Guards against load probes elsewhere for answers that are in time at home."""

    async def scenario(harness):
        configure(harness, route(timeout_ms=2_000, latency_objective_ms=0))
        await add_upstreams(harness)
        take_rows(harness, a=1.0, b=0.2, c=0.2)
        assert await send_each(harness) == {200: N_REQUESTS}
        assert harness.host.metrics.probes["near",] == 0

    assert n_by_data_centre(run_with_harness(scenario)) == {"a": N_REQUESTS}


def test_requests_follow_a_share_until_its_data_centre_is_lost():
    """Guards against a share that sends requests to a data centre that has just ended.

    Its upstreams refuse connections, and the rows still say that it has room.
    """

    async def scenario(harness):
        configure(harness)
        await add_upstreams(harness)
        take_rows(harness, a=4.0, b=0.2, c=0.2)
        harness.host.spill.services["lamps"].shares.planned = {"b": 1.0}
        assert await send_each(harness) == {200: N_REQUESTS}
        assert n_by_data_centre(harness) == {"b": N_REQUESTS}
        harness.sends.clear()
        for name in ("b0", "b1"):
            upstream = harness.host.upstreams[name]
            upstream.row = upstream.row._replace(address="127.0.0.1:1")
        assert await send_each(harness) == {200: N_REQUESTS}

    harness = run_with_harness(scenario)
    assert n_by_data_centre(harness) == {"a": N_REQUESTS}
    assert harness.host.spill.sends["lamps", "here", "override"] > 0


def test_request_leaves_for_the_nearest_data_centre_if_its_own_is_full():
    async def scenario(harness):
        configure(harness)
        await add_upstreams(harness)
        take_rows(harness, a=1.0, b=0.2, c=0.2)
        for name in ("a0", "a1"):
            # All slots and the queue are taken by this host's own requests.
            harness.host.upstreams[name].load.n_in_flight = 4
        answer, _ = await harness.send_request("/safe/1")
        assert answer.status == 200
        for name in ("a0", "a1"):
            harness.host.upstreams[name].load.n_in_flight = 0

    harness = run_with_harness(scenario)
    assert n_by_data_centre(harness) == {"b": 1}
    assert harness.host.spill.sends == {("lamps", "near", "overflow"): 1}


@pytest.mark.parametrize("age_ms", [300, 9_000])
def test_lost_home_is_left_whether_the_rows_are_current_or_not(age_ms):
    """Guards against refusals while other data centres have free slots."""

    async def scenario(harness):
        configure(harness)
        await add_upstreams(harness)
        take_rows(harness, a=1.0, b=0.2, c=0.2)
        take_rows(harness, age_ms, a=1.0, b=0.2, c=0.2)
        for name in ("a0", "a1", "b0", "b1"):
            upstream = harness.host.upstreams[name]
            upstream.row = upstream.row._replace(address="127.0.0.1:1")
        assert await send_each(harness) == {200: N_REQUESTS}

    assert n_by_data_centre(run_with_harness(scenario)) == {"c": N_REQUESTS}


def test_evacuated_data_centre_gets_nothing_although_it_has_a_share():
    async def scenario(harness):
        configure(harness)
        await add_upstreams(harness)
        take_rows(harness, a=4.0, b=0.2, c=0.2)
        harness.host.spill.services["lamps"].shares.planned = {"b": 1.0}
        harness.host.evacuated = frozenset("b")
        assert await send_each(harness) == {200: N_REQUESTS}
        assert "b" not in n_by_data_centre(harness)
        update_spill(harness.host)
        assert "b" not in harness.host.spill.services["lamps"].shares.planned

    run_with_harness(scenario)


def test_requests_of_an_evacuated_home_are_served_elsewhere():
    async def scenario(harness):
        configure(harness)
        await add_upstreams(harness)
        take_rows(harness, a=1.0, b=0.2, c=0.2)
        harness.host.evacuated = frozenset("a")
        assert await send_each(harness) == {200: N_REQUESTS}

    assert "a" not in n_by_data_centre(run_with_harness(scenario))


def test_requests_with_home_regions_or_keys_follow_no_share():
    async def scenario(harness):
        bound = route(
            timeout_ms=2_000, latency_objective_ms=1_000, home_regions=("south",)
        )
        configure(harness, bound)
        await add_upstreams(harness)
        take_rows(harness, a=4.0, b=0.2, c=0.2)
        update_spill(harness.host)
        harness.host.spill.services["lamps"].shares.planned = {"b": 1.0}
        assert await send_each(harness) == {200: N_REQUESTS}
        assert n_by_data_centre(harness) == {"c": N_REQUESTS}
        harness.sends.clear()
        configure(harness, is_sharded=True)
        row = harness.host.upstreams["a1"].row
        key_range = KeyRange("lamps", 0, 65_535, "a1", row.born_ms, row.address, 1, "")
        harness.host.ranges["lamps"] = [key_range]
        headers = {HEADER_NAMES.shard_key: "5"}
        assert await send_each(harness, **headers) == {200: N_REQUESTS}

    harness = run_with_harness(scenario)
    assert n_by_data_centre(harness) == {"a": N_REQUESTS}
    assert {reason for _, _, reason in harness.host.spill.sends} == {"bound"}


def test_cold_upstreams_elsewhere_get_nothing_by_a_share():
    """Guards against a share that exceeds the cold rate of another data centre."""

    async def scenario(harness):
        configure(harness)
        await add_upstreams(harness)
        take_rows(harness, a=4.0, b=0.2, c=0.2)
        harness.host.spill.services["lamps"].shares.planned = {"b": 1.0}
        for name in ("b0", "b1"):
            harness.host.upstreams[name].cold.cold_until_ns = now_ns() + 10**10
        statuses = await asyncio.gather(
            *(harness.send_request("/safe/1", f"r{n}") for n in range(N_REQUESTS))
        )
        assert {answer.status for answer, _ in statuses} == {200}

    harness = run_with_harness(scenario)
    assert "b" not in n_by_data_centre(harness)


def test_request_waits_for_a_slot_elsewhere_if_home_takes_none():
    """Guards against a refusal while another data centre's queue moves on."""

    async def scenario(harness):
        configure(harness)
        await add_upstreams(harness)
        take_rows(harness, a=1.0, b=0.2)
        harness.host.evacuated = frozenset("c")
        for name in ("a0", "a1"):
            harness.host.upstreams[name].cold.cold_until_ns = now_ns() + 10**10
        busy = [harness.host.upstreams[name].load for name in ("b0", "b1")]
        for load in busy:
            load.n_in_flight = 4
        sent = asyncio.create_task(harness.send_request("/safe/1"))
        await asyncio.sleep(0.1)
        for load in busy:
            load.n_in_flight = 0
        answer, _ = await sent
        assert answer.status == 200

    assert n_by_data_centre(run_with_harness(scenario)) == {"b": 1}


def test_sent_line_names_the_reason_of_the_place(caplog):
    caplog.set_level("INFO", "bergamotferry")

    async def scenario(harness):
        configure(harness)
        await add_upstreams(harness)
        await harness.send_request("/safe/1", "r1")
        take_rows(harness, a=1.0, b=0.2, c=0.2)
        await harness.send_request("/safe/1", "r2")

    run_with_harness(scenario)
    lines = [record for record in caplog.records if record.message == "sent"]
    assert [line.place for line in lines] == ["estimate", "home"]
    assert lines[0].loads_age_ms == -1 and 300 <= lines[1].loads_age_ms < 5_000
