"""Checks what load at a fixed rate counts as an answer, and its percentiles."""

import asyncio
import math

from aiohttp import web

from bergamotferry_testkit.fixed_rate_load import (
    FixedRateResult,
    Lookup,
    run_at_fixed_rate,
)


def test_wrong_bodies_and_refusals_count_as_failed():
    result = asyncio.run(_run_correct_wrong_and_refused())
    assert (len(result.latencies_ms), result.n_failed) == (10, 20)
    assert min(result.latencies_ms) > 0


def test_percentiles_use_only_answered_lookups():
    result = FixedRateResult([float(number) for number in range(100, 0, -1)])
    assert (result.percentile_ms(50), result.percentile_ms(99)) == (51.0, 100.0)
    assert math.isnan(FixedRateResult().percentile_ms(99))


async def _run_correct_wrong_and_refused():
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
    base_url = f"http://{ip}:{port}"
    lookups = [
        Lookup(f"{base_url}/right", {}, b"right"),
        Lookup(f"{base_url}/wrong", {}, b"another"),
        Lookup(f"{base_url}/refused", {}, b"right"),
    ]
    try:
        return await run_at_fixed_rate(lambda number: lookups[number % 3], 600.0, 0.05)
    finally:
        await runner.cleanup()
