"""Tests of the load on upstreams when many requests are placed at the same moment."""

import asyncio
import logging

import aiohttp
import pytest
from aiohttp import web
from direct_harness import HEADER_NAMES, DirectHarness, route, run_with_harness, served

from bergamotferry.cold_rate import record_cold, record_uncertain
from bergamotferry.fleet_tables import KeyRange
from bergamotferry.upstream_load import record_unreachable
from bergamotferry_host.clock import now_ns

N_CONCURRENT = 30
# Number of upstreams in one data centre of a large deployment.
N_LOST = 36
# The cold rate of the harness's upstreams, 3 requests a second, with slack.
COLD_BOUND = 3.0 * 1.5 + 5


async def send_at_once(harness: DirectHarness, n_requests: int) -> list[int]:
    headers = {HEADER_NAMES.shard_key: "5"}
    sends = (
        harness.send_request("/safe/1", f"r{n}", **headers) for n in range(n_requests)
    )
    answers = await asyncio.gather(*sends)
    return [answer.status for answer, _ in answers]


@pytest.mark.parametrize("n_warm", [0, 1])
def test_burst_does_not_exceed_rate_of_cold_upstream(n_warm):
    async def scenario(harness):
        harness.configure(route(timeout_ms=900, latency_objective_ms=900))
        await harness.add("cold", served)
        for n in range(n_warm):
            await harness.add(f"warm{n}", served)
        upstream = harness.host.upstreams["cold"]
        upstream.rank = 0
        record_cold(upstream.cold, 5_000, now_ns())
        await send_at_once(harness, N_CONCURRENT)

    names = [name for name, _ in run_with_harness(scenario).sends]
    assert 0 < names.count("cold") <= COLD_BOUND


@pytest.mark.parametrize("n_cold", [1, 3])
@pytest.mark.parametrize("is_sharded", [False, True])
def test_possibly_cold_upstreams_are_probed_before_a_burst(n_cold, is_sharded):
    """Guards against a burst at upstreams that became cold during an evacuation.

    When their data centre returns, the upstreams are idle and attract all requests.
    """

    async def scenario(harness):
        harness.configure(
            route(timeout_ms=900, latency_objective_ms=900), is_sharded=is_sharded
        )
        harness.host.began_ns -= 10**10
        for n in range(n_cold):
            await harness.add(f"cold{n}", served)
            harness.cold_left_ms[f"cold{n}"] = 5_000
        for upstream in harness.host.upstreams.values():
            upstream.rank = 0
            record_uncertain(upstream.cold, now_ns())
        if is_sharded:
            session = harness.host.upstreams["cold0"].row
            harness.host.ranges["lamps"] = [
                KeyRange(
                    "lamps",
                    0,
                    65_535,
                    session.name,
                    session.born_ms,
                    session.address,
                    1,
                    "",
                )
            ]
        await send_at_once(harness, N_CONCURRENT)

    names = [name for name, _ in run_with_harness(scenario).sends]
    for n in range(n_cold):
        assert names.count(f"cold{n}") <= COLD_BOUND
    assert names


def test_uncertain_upstream_that_probes_as_warm_serves_immediately():
    async def scenario(harness):
        harness.configure(route(timeout_ms=900, latency_objective_ms=900))
        await harness.add("warm", served)
        record_uncertain(harness.host.upstreams["warm"].cold, now_ns())
        assert await send_at_once(harness, 4) == [200] * 4

    assert len(run_with_harness(scenario).sends) == 4


def test_requests_that_share_a_load_probe_are_spread_over_upstreams():
    n_running = dict.fromkeys(("u0", "u1", "u2"), 0)
    max_running = dict(n_running)

    def counting_upstream(name):
        async def behave(request: web.Request) -> web.StreamResponse:
            n_running[name] += 1
            max_running[name] = max(max_running[name], n_running[name])
            await asyncio.sleep(0.1)
            n_running[name] -= 1
            return await served(request)

        return behave

    async def scenario(harness):
        # Answers have bodies of a fixed length and the deadline is long, so that the
        # outcome does not depend on speed.
        harness.configure(route(timeout_ms=5_000, latency_objective_ms=5_000))
        for name in max_running:
            await harness.add(name, counting_upstream(name))
            harness.host.upstreams[name].load.relative_work_time = 1.0
        assert await send_at_once(harness, 6) == [200] * 6

    run_with_harness(scenario)
    # Each of the three upstreams has two slots.
    assert max(max_running.values()) <= 2


def test_caller_disconnect_at_any_moment_leaves_nothing_in_flight():
    async def scenario(harness):
        harness.configure(route(timeout_ms=5_000, latency_objective_ms=5_000))
        for name in ("u0", "u1"):
            await harness.add(name, served)
        for n in range(40):
            with pytest.raises((TimeoutError, aiohttp.ClientError, AssertionError)):
                async with asyncio.timeout(n * 0.0005):
                    answer, _ = await harness.send_request(
                        "/safe/1", f"r{n}", **{HEADER_NAMES.load: ""}
                    )
                    raise AssertionError(answer.status)
        await asyncio.sleep(0.3)
        for upstream in harness.host.upstreams.values():
            assert upstream.load.n_in_flight == 0

    run_with_harness(scenario)


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
def test_upstream_that_answers_load_probe_late_is_avoided(kind):
    """Without a load report, the late upstream looks idle and therefore the fastest."""

    async def scenario(harness):
        harness.configure(
            route(kind, timeout_ms=5_000, latency_objective_ms=5_000),
        )
        for name in ("silent", "u1", "u2"):
            await harness.add(name, served)
        harness.health_delay_s["silent"] = 0.3
        answer, _ = await harness.send_request(f"/{kind}/1")
        assert answer.status == 200

    ((name, _),) = run_with_harness(scenario).sends
    assert name == "u1"


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
def test_every_request_is_served_right_after_the_loss_of_a_data_centre(kind):
    """Guards against requests refused right after a data centre is lost.

    All upstreams of this host's data centre refuse connections, but their heartbeats
    have not been missed yet. Other data centres have free slots.
    """

    async def scenario(harness):
        harness.configure(route(kind, timeout_ms=5_000, latency_objective_ms=5_000))
        for n in range(N_LOST):
            harness.add_at(f"lost{n}", "127.0.0.1:1")
        for n in range(8):
            await harness.add(f"other{n}", served, "b")
        sends = (
            harness.send_request(f"/{kind}/1", f"r{n}") for n in range(N_CONCURRENT)
        )
        answers = await asyncio.gather(*sends)
        assert [answer.status for answer, _ in answers] == [200] * N_CONCURRENT

    assert {name[:5] for name, _ in run_with_harness(scenario).sends} == {"other"}


def test_refusal_reports_number_of_unreachable_upstreams(caplog):
    caplog.set_level(logging.INFO, "bergamotferry")

    async def scenario(harness):
        harness.configure(route(timeout_ms=900, latency_objective_ms=900))
        for n in range(N_LOST):
            harness.add_at(f"lost{n}", "127.0.0.1:1")
            # The upstream has just refused a connection.
            record_unreachable(harness.host.upstreams[f"lost{n}"].load, now_ns())
        answer, _ = await harness.send_request("/safe/1")
        assert answer.status == 503

    run_with_harness(scenario)
    (refused,) = [record for record in caplog.records if record.message == "refused"]
    assert refused.detail == f"none of {N_LOST} upstreams can be reached"
