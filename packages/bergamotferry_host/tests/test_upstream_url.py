"""Any key survives encoding in a URL and reaches an upstream unchanged over HTTP."""

import asyncio

import aiohttp
from aiohttp import web
from aiohttp.test_utils import TestServer
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotferry_host.caller_request import Target, read_target
from bergamotferry_host.upstream_call import upstream_url

KEYS = st.text(
    st.characters(exclude_categories=("Cs", "Cc"))
    | st.sampled_from(list("/%?#.+;=& ~\\:@")),
    min_size=1,
    max_size=20,
).filter(lambda key: not {".", ".."} & set(key.split("/")))


@given(KEYS)
def test_upstream_url_round_trips_any_key(key):
    url = upstream_url("127.0.0.1:1", "read", key)
    assert read_target(f"/v1/log{url.raw_path}") == Target("log", "read", key)


@settings(max_examples=1)
@given(st.lists(KEYS, min_size=40, max_size=40))
def test_any_key_reaches_an_upstream_unchanged(keys):
    keys_received = []

    async def handle(request):
        keys_received.append(request.match_info["key"])
        return web.Response()

    async def scenario():
        app = web.Application()
        app.router.add_get("/{route}/{key:.+}", handle)
        async with TestServer(app) as server, aiohttp.ClientSession() as http:
            address = f"127.0.0.1:{server.port}"
            for key in [*keys, "a/b", "//", "%2F", "é", "a?b#c", "...", "%"]:
                async with http.get(upstream_url(address, "read", key)) as response:
                    assert response.status == 200, key

    asyncio.run(scenario())
    assert keys_received == [*keys, "a/b", "//", "%2F", "é", "a?b#c", "...", "%"]
