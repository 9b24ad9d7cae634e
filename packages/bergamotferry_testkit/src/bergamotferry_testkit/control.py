"""Asks a host's control address as an operator, for the testkit's own use."""

from collections.abc import Callable
from typing import Any

import aiohttp

from bergamotferry.shards import shard_of_key

from .local_deployment import OPERATOR_TOKEN

N_KEYS_TRIED = 400
_HEADERS = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}


async def ask_control(address: str, path: str) -> dict[str, Any]:
    """Return the JSON of a GET on an operators' path."""
    return await _ask("GET", address, path, None)


async def post_control(address: str, path: str, text: str) -> dict[str, Any]:
    """Return the JSON of a POST on an operators' path."""
    return await _ask("POST", address, path, text)


async def find_keys(
    address: str,
    service: str,
    n_shards: int,
    is_wanted: Callable[[dict[str, Any]], bool],
    n_keys: int,
) -> list[str]:
    """Return keys of a service whose grant, as a host reports it, is wanted."""
    keys: list[str] = []
    for number in range(N_KEYS_TRIED):
        shard = shard_of_key(service, n_shards, (), f"key-{number}")
        path = f"owner?service={service}&domain=&number={shard.number}"
        answer = await ask_control(address, path)
        if is_wanted(answer.get("grant") or {}):
            keys.append(f"key-{number}")
        if len(keys) == n_keys:
            break
    return keys


async def _ask(
    method: str, address: str, path: str, text: str | None
) -> dict[str, Any]:
    url = f"http://{address}/operators/v1/{path}"
    async with aiohttp.ClientSession(headers=_HEADERS) as http:
        async with http.request(method, url, data=text) as response:
            body: dict[str, Any] = await response.json()
            return body
