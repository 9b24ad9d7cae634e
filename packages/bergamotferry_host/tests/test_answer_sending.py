"""Complete answers are sent to callers, large ones at the rate of the link."""

import asyncio
import time

import aiohttp
from aiohttp import web

from bergamotferry.answer_link import AnswerLink
from bergamotferry_host.answer_sending import send_answer
from bergamotferry_host.answer_streaming import CallerAnswer
from bergamotferry_host.direct_call import SendOutcome
from bergamotferry_host.edge_connection import EdgeLimits
from bergamotferry_host.http_edge import edge_runner

SMALL, LARGE = b"s" * 500, bytes(range(256)) * 160
# The large answer takes 328 ms on the link.
LINK_MBPS = 1.0
LARGE_MS = len(LARGE) / AnswerLink.from_config(LINK_MBPS).bytes_per_ms


def serve_answers(link_mbps, scenario, ends_connection=False):
    """Serve both answers on a link; return the result of ``scenario`` at their URL."""

    async def run():
        link = AnswerLink.from_config(link_mbps)

        async def answer(request):
            body = LARGE if request.path == "/large" else SMALL
            outcome = SendOutcome("answered", "", 200, {"X-Way": "1"}, body)
            caller = CallerAnswer(link, request, lambda: ends_connection)
            return await send_answer(caller, outcome)

        app = web.Application()
        app.router.add_get("/{name}", answer)
        runner = edge_runner(app, EdgeLimits(50), 0.1, lambda: ends_connection)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        url = f"http://127.0.0.1:{runner.addresses[0][1]}"
        try:
            async with aiohttp.ClientSession() as http:
                return await scenario(http, url)
        finally:
            await runner.cleanup()

    return asyncio.run(run())


async def get(http, url):
    """Return the response, its body and the time in ms until it was complete."""
    began_s = time.monotonic()
    async with http.get(url) as response:
        body = await response.read()
    return response, body, (time.monotonic() - began_s) * 1000


def test_large_answer_is_complete_and_sent_at_the_rate_of_the_link():
    async def scenario(http, url):
        return await get(http, f"{url}/large")

    response, body, took_ms = serve_answers(LINK_MBPS, scenario)
    assert body == LARGE
    assert response.headers["Content-Length"] == str(len(LARGE))
    assert response.headers["X-Way"] == "1"
    # All parts but the last have crossed the link by then.
    assert took_ms >= 0.7 * LARGE_MS


def test_two_large_answers_share_the_rate_of_the_link():
    async def scenario(http, url):
        return await asyncio.gather(*(get(http, f"{url}/large") for _ in range(2)))

    results = serve_answers(LINK_MBPS, scenario)
    assert [result[1] for result in results] == [LARGE] * 2
    # There is no wait after the last part of each answer.
    assert max(result[2] for result in results) >= 1.5 * LARGE_MS


def test_small_answer_is_not_delayed_by_a_large_one():
    async def scenario(http, url):
        large_task = asyncio.create_task(get(http, f"{url}/large"))
        await asyncio.sleep(LARGE_MS / 4000)
        small_result = await get(http, f"{url}/small")
        assert not large_task.done()
        return small_result[1], (await large_task)[1]

    assert serve_answers(LINK_MBPS, scenario) == (SMALL, LARGE)


def test_large_answer_is_complete_on_a_fast_link():
    async def scenario(http, url):
        return await get(http, f"{url}/large")

    response, body, _ = serve_answers(1000.0, scenario)
    assert body == LARGE
    assert response.headers["Content-Length"] == str(len(LARGE))


def test_caller_that_leaves_ends_only_its_own_answer():
    async def scenario(http, url):
        async with http.get(f"{url}/large") as response:
            await response.content.readexactly(10_000)
            response.close()
        return (await get(http, f"{url}/large"))[1]

    assert serve_answers(LINK_MBPS, scenario) == LARGE


def test_stopping_host_closes_the_connection_after_small_and_large_answers():
    async def scenario(http, url):
        results = [await get(http, f"{url}/{name}") for name in ("small", "large")]
        return [result[0].headers["Connection"] for result in results]

    assert serve_answers(LINK_MBPS, scenario, ends_connection=True) == [
        "close",
        "close",
    ]
