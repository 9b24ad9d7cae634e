"""Tests that nothing is written to the upstream if the guard refuses."""

import asyncio

import pytest
from aiohttp import web

from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import ResultCode
from bergamotferry_host.write_guard import WriteRefusedError, guarded_client

REFUSAL = Refused(ResultCode.NOT_DISPATCHER, "the lease expired")


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_guard_is_called_after_connecting_and_before_writing(method: str) -> None:
    asyncio.run(_run(method))


async def _run(method: str) -> None:
    requests: list[str] = []

    async def handle(request: web.Request) -> web.Response:
        requests.append(request.method)
        return web.Response()

    app = web.Application()
    app.router.add_route("*", "/", handle)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    body = b"filing" if method == "POST" else None
    url = f"http://{host}:{port}/"
    async with guarded_client() as http:
        with pytest.raises(WriteRefusedError) as caught:
            await http.request(
                method, url, data=body, trace_request_ctx=lambda: REFUSAL
            )
        assert caught.value.refusal == REFUSAL
        await http.request(method, url, data=body, trace_request_ctx=lambda: None)
        await http.request(method, url, data=body)
    await runner.cleanup()
    assert requests == [method, method]
