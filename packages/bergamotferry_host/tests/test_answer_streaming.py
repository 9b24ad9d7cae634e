"""Large answers that are streamed during the download, and those that break off."""

import asyncio

import aiohttp
import pytest
from aiohttp import web
from direct_harness import HEADER_NAMES, failed, reset, route, run_with_harness, served

from bergamotferry.answer_link import AnswerLink
from bergamotferry.fleet_tables import KeyRange
from bergamotferry.upstream_load import (
    WorkTime,
)
from bergamotferry_host import answer_streaming
from bergamotferry_host.clock import now_ns

BODY = bytes(range(256)) * 400
HALF = len(BODY) // 2
# The whole answer takes 819 ms on the link.
LINK_MBPS = 1.0


class HalvedUpstream:
    """An upstream that sends half of a large answer, then waits for ``may_finish``.

    ``then`` selects how the answer ends after that: with the rest, a reset or a close.
    """

    def __init__(self, then="rest", status=200) -> None:
        self.may_finish = asyncio.Event()
        self.then = then
        self.status = status

    async def __call__(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers[HEADER_NAMES.request_id]
        headers = {HEADER_NAMES.request_id: request_id, HEADER_NAMES.seal: "s"}
        answer = web.StreamResponse(status=self.status, headers=headers)
        answer.content_length = len(BODY)
        await answer.prepare(request)
        await answer.write(BODY[:HALF])
        await self.may_finish.wait()
        if self.then == "reset":
            request.transport.abort()
        elif self.then == "close":
            request.transport.close()
        else:
            await answer.write(BODY[HALF:])
        return answer


def configure_route(harness, is_sharded=True, link_mbps=LINK_MBPS) -> None:
    """Set up a narrow link and a route; its requests are sent once if it is sharded."""
    harness.host.link = AnswerLink.from_config(link_mbps)
    long_timeout_route = route(timeout_ms=5_000, latency_objective_ms=5_000)
    harness.configure(long_timeout_route, is_sharded=is_sharded)


def assign_all_keys(harness, name) -> None:
    session = harness.host.upstreams[name].row
    key_range = KeyRange("lamps", 0, 65_535, name, 1, session.address, 1, "")
    harness.host.ranges = {"lamps": [key_range]}


def request(harness, request_id="r1"):
    headers = {
        "Host": "a.example",
        HEADER_NAMES.request_id: request_id,
        HEADER_NAMES.shard_key: "5",
    }
    return harness.http.get(f"http://{harness.url}/safe/1", headers=headers)


def test_first_part_reaches_the_caller_before_the_download_ends():
    async def scenario(harness):
        configure_route(harness)
        upstream = HalvedUpstream()
        await harness.add("u1", upstream)
        assign_all_keys(harness, "u1")
        async with request(harness) as answer:
            first_half = await answer.content.readexactly(HALF)
            assert not upstream.may_finish.is_set()
            upstream.may_finish.set()
            rest = await answer.read()
        assert first_half + rest == BODY
        assert answer.status == 200
        assert answer.headers[HEADER_NAMES.seal] == "s"
        assert answer.headers["Content-Length"] == str(len(BODY))
        await asyncio.sleep(0.05)
        assert harness.host.n_in_flight == 0
        assert harness.host.upstreams["u1"].load.n_in_flight == 0
        assert harness.host.work_times["safe"].answer_bytes == len(BODY)

    assert len(run_with_harness(scenario).sends) == 1


@pytest.mark.parametrize("then", ["reset", "close"])
def test_broken_streamed_answer_is_an_error_for_the_caller_and_not_retried(then):
    async def scenario(harness):
        configure_route(harness)
        upstream = HalvedUpstream(then)
        await harness.add("u1", upstream)
        await harness.add("u2", served)
        assign_all_keys(harness, "u1")
        with pytest.raises((aiohttp.ClientPayloadError, ConnectionError)):
            async with request(harness) as answer:
                await answer.content.readexactly(HALF)
                upstream.may_finish.set()
                await answer.read()
        await asyncio.sleep(0.05)
        assert harness.host.n_in_flight == 0
        assert harness.host.upstreams["u1"].load.failure_share > 0

    assert [name for name, _ in run_with_harness(scenario).sends] == ["u1"]


def test_stalled_streamed_answer_is_broken_off_at_the_deadline():
    async def scenario(harness):
        configure_route(harness)
        short_timeout_route = route(timeout_ms=400, latency_objective_ms=400)
        harness.configure(short_timeout_route, is_sharded=True)
        await harness.add("u1", HalvedUpstream())
        assign_all_keys(harness, "u1")
        began_s = asyncio.get_running_loop().time()
        with pytest.raises((aiohttp.ClientPayloadError, ConnectionError)):
            async with request(harness) as answer:
                await answer.read()
        assert 0.3 < asyncio.get_running_loop().time() - began_s < 0.9

    run_with_harness(scenario)


def test_caller_that_leaves_ends_the_streamed_answer():
    async def scenario(harness):
        configure_route(harness)
        await harness.add("u1", HalvedUpstream())
        assign_all_keys(harness, "u1")
        async with request(harness) as answer:
            await answer.content.readexactly(1_000)
            answer.close()
        await asyncio.sleep(0.3)
        assert harness.cancelled == ["u1"]
        assert harness.host.n_in_flight == 0

    run_with_harness(scenario)


def test_failed_answer_is_held_and_retried_at_another_upstream():
    async def scenario(harness):
        configure_route(harness, is_sharded=False)
        failing = HalvedUpstream(status=500)
        failing.may_finish.set()
        await harness.add("u1", failing)
        await harness.add("u2", served)
        async with request(harness) as answer:
            assert (answer.status, await answer.text()) == (200, "whole")

    assert [name for name, _ in run_with_harness(scenario).sends] == ["u1", "u2"]


def test_answer_is_held_if_a_hedge_may_be_sent():
    async def scenario(harness):
        configure_route(harness, is_sharded=False)
        upstream = HalvedUpstream("reset")
        upstream.may_finish.set()
        await harness.add("u1", upstream)
        await harness.add("u2", served)
        async with request(harness) as answer:
            assert (answer.status, await answer.text()) == (200, "whole")

    assert [name for name, _ in run_with_harness(scenario).sends] == ["u1", "u2"]


def test_known_large_answer_is_streamed_after_retries_of_failures():
    async def scenario(harness):
        configure_route(harness, is_sharded=False)
        harness.host.work_times["safe"] = WorkTime(answer_bytes=len(BODY))
        upstream = HalvedUpstream()
        await harness.add("u1", reset)
        await harness.add("u2", failed)
        await harness.add("u3", upstream)
        harness.configure(route(timeout_ms=5_000, n_attempts_max=3))
        async with request(harness) as answer:
            first_half = await answer.content.readexactly(HALF)
            upstream.may_finish.set()
            assert first_half + await answer.read() == BODY

    assert [name for name, _ in run_with_harness(scenario).sends] == ["u1", "u2", "u3"]


def test_caller_that_leaves_during_a_held_answer_ends_only_that_answer():
    """Answers of a route without earlier answers are held and then sent in parts."""

    async def scenario(harness):
        configure_route(harness, is_sharded=False)
        upstream = HalvedUpstream()
        upstream.may_finish.set()
        await harness.add("u1", upstream)
        async with request(harness) as answer:
            await answer.content.readexactly(1_000)
            answer.close()
        await asyncio.sleep(0.3)
        assert harness.host.n_in_flight == 0
        async with request(harness, "r2") as answer:
            assert await answer.read() == BODY

    run_with_harness(scenario)


def test_answers_are_held_until_complete_on_a_fast_link():
    async def scenario(harness):
        configure_route(harness, link_mbps=1_000.0)
        upstream = HalvedUpstream("reset")
        upstream.may_finish.set()
        await harness.add("u1", upstream)
        assign_all_keys(harness, "u1")
        async with request(harness) as answer:
            assert answer.status == 502

    run_with_harness(scenario)


def test_stopping_host_closes_the_connection_after_a_streamed_answer():
    async def scenario(harness):
        configure_route(harness)
        upstream = HalvedUpstream()
        upstream.may_finish.set()
        await harness.add("u1", upstream)
        assign_all_keys(harness, "u1")
        harness.host.stop_end_ns = now_ns() + 60_000_000_000
        async with request(harness) as answer:
            assert await answer.read() == BODY
            assert answer.headers["Connection"] == "close"

    run_with_harness(scenario)


def test_downloads_of_unknown_size_take_turns():
    """Guards against concurrent downloads that fill the link of a new host.

    A host that has just started does not know how large the answers of a route are.
    """

    async def scenario(harness):
        configure_route(harness)
        download_route = route("download", timeout_ms=5_000, latency_objective_ms=5_000)
        harness.configure(download_route)
        upstreams = [HalvedUpstream() for _ in range(3)]
        for number, upstream in enumerate(upstreams):
            await harness.add(f"u{number}", upstream)

        async def send_request(number):
            headers = {"Host": "a.example", HEADER_NAMES.request_id: f"r{number}"}
            url = f"http://{harness.url}/download/1"
            async with harness.http.get(url, headers=headers) as answer:
                return await answer.read()

        downloads = [asyncio.create_task(send_request(number)) for number in range(3)]
        await asyncio.sleep(0.2)
        assert len(harness.sends) == 1
        for upstream in upstreams:
            upstream.may_finish.set()
        assert await asyncio.gather(*downloads) == [BODY] * 3

    assert len(run_with_harness(scenario).sends) == 3


def test_answer_too_large_to_hold_is_streamed_on_a_wide_link(monkeypatch):
    monkeypatch.setattr(answer_streaming, "ANSWER_MAX_BYTES", len(BODY) - 1)

    async def scenario(harness):
        configure_route(harness, link_mbps=0.0)
        upstream = HalvedUpstream()
        await harness.add("u1", upstream)
        assign_all_keys(harness, "u1")
        async with request(harness) as answer:
            assert await answer.content.readexactly(HALF) == BODY[:HALF]
            upstream.may_finish.set()
            assert await answer.read() == BODY[HALF:]

    run_with_harness(scenario)
