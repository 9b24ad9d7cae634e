"""Tests of hedges: second sends of requests whose first upstream is late."""

import asyncio

import aiohttp
import pytest
from aiohttp import web
from direct_harness import HEADER_NAMES, route, run_with_harness, served

from bergamotferry.answer_link import AnswerLink, InFlightAnswer
from bergamotferry_host.clock import now_ns

# Long enough that a slow machine does not change the outcome.
TIMEOUT_MS = 4_000


async def hang(request: web.Request) -> web.StreamResponse:
    await asyncio.sleep(TIMEOUT_MS / 500)
    return await served(request)


@pytest.mark.parametrize(
    ("objective_ms", "is_link_busy"), [(1_000, False), (1_000, True), (1, False)]
)
def test_lookup_at_a_hanging_upstream_is_served_by_another(objective_ms, is_link_busy):
    """This also holds if large answers occupy the link or the objective has passed."""

    async def scenario(harness):
        lookup_route = route(timeout_ms=TIMEOUT_MS, latency_objective_ms=objective_ms)
        harness.configure(lookup_route)
        await harness.add("u1", hang)
        await harness.add("u2", served)
        if is_link_busy:
            harness.host.link = AnswerLink.from_config(2.6)
            large_answer = InFlightAnswer(90_000.0, 1e12, 1e12)
            harness.host.link.in_flight[99] = large_answer
        answer, text = await harness.send_request("/safe/1")
        assert (answer.status, text) == (200, "whole")

    assert [name for name, _ in run_with_harness(scenario).sends] == ["u1", "u2"]


def test_no_hedge_is_sent_if_the_first_upstream_is_fast():
    async def scenario(harness):
        lookup_route = route(timeout_ms=TIMEOUT_MS, latency_objective_ms=2_000)
        harness.configure(lookup_route)
        await harness.add("u1", served)
        await harness.add("u2", served)
        assert (await harness.send_request("/safe/1"))[0].status == 200

    harness = run_with_harness(scenario)
    assert len(harness.sends) == 1
    assert harness.host.metrics.n_hedges == 0


@pytest.mark.parametrize("is_leaving", [False, True])
def test_no_hedge_is_sent_to_an_upstream_that_leaves(is_leaving):
    """Guards against requests for a leaving upstream that another one already has."""
    answer_s = 1.0

    async def answer_late(request: web.Request) -> web.StreamResponse:
        await asyncio.sleep(answer_s)
        return await served(request)

    async def scenario(harness):
        harness.configure(route(timeout_ms=TIMEOUT_MS, latency_objective_ms=300))
        await harness.add("u1", answer_late)
        await harness.add("u2", served)
        if is_leaving:
            harness.host.upstreams["u2"].availability.leaving_ns = now_ns()
        assert (await harness.send_request("/safe/1"))[0].status == 200

    names = [name for name, _ in run_with_harness(scenario).sends]
    assert names == (["u1"] if is_leaving else ["u1", "u2"])


@pytest.mark.parametrize("is_broken", [False, True])
def test_answer_that_has_begun_is_followed_by_none_of_a_hedge(is_broken):
    """Guards against two answers on one connection, when memory is short."""
    body = bytes(300_000)

    async def scenario(harness):
        is_hedged, has_begun = asyncio.Event(), asyncio.Event()

        async def begin_late(request):
            request_id = request.headers[HEADER_NAMES.request_id]
            headers = {HEADER_NAMES.request_id: request_id, HEADER_NAMES.seal: "s"}
            answer = web.StreamResponse(headers=headers)
            answer.content_length = len(body)
            await is_hedged.wait()
            await answer.prepare(request)
            await answer.write(body[:200_000])
            await asyncio.sleep(0.1)
            has_begun.set()
            await asyncio.sleep(0.2)
            if is_broken:
                request.transport.abort()
            else:
                await answer.write(body[200_000:])
            return answer

        async def answer_behind(request):
            is_hedged.set()
            await has_begun.wait()
            return await served(request)

        harness.configure(route(timeout_ms=TIMEOUT_MS, latency_objective_ms=300))
        await harness.add("u1", begin_late)
        await harness.add("u2", answer_behind)
        harness.host.memory.max_bytes = 100_000
        try:
            answer, text = await harness.send_request("/safe/1")
            assert not is_broken
            assert (answer.status, len(text)) == (200, len(body))
        except aiohttp.ClientPayloadError:
            assert is_broken

    assert [name for name, _ in run_with_harness(scenario).sends] == ["u1", "u2"]
