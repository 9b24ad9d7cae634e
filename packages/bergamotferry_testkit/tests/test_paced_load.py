"""A paced load counts right answers only, and its percentiles are those of the list."""

import asyncio
import math

from aiohttp import web

from bergamotferry_testkit.paced_load import Lookup, PacedResult, run_paced


def test_wrong_bodies_and_refusals_are_failures():
    result = asyncio.run(_run_three_kinds())
    assert (len(result.latencies_ms), result.n_failed) == (10, 20)
    assert min(result.latencies_ms) > 0


def test_percentiles_are_of_the_answered():
    result = PacedResult([float(number) for number in range(100, 0, -1)])
    assert (result.percentile_ms(50), result.percentile_ms(99)) == (51.0, 100.0)
    assert math.isnan(PacedResult().percentile_ms(99))


async def _run_three_kinds():
    async def handle(request):
        is_refused = request.match_info["kind"] == "refused"
        return web.Response(text="right", status=503 if is_refused else 200)

    app = web.Application()
    app.router.add_get("/{kind}", handle)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    ip, port = runner.addresses[0]
    base = f"http://{ip}:{port}"
    lookups = [
        Lookup(f"{base}/right", {}, b"right"),
        Lookup(f"{base}/wrong", {}, b"another"),
        Lookup(f"{base}/refused", {}, b"right"),
    ]
    try:
        return await run_paced(lambda number: lookups[number % 3], 600.0, 0.05)
    finally:
        await runner.cleanup()
