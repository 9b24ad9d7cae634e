"""Asks a host's control address as an operator, for the testkit's own use."""

from typing import Any

import aiohttp

from .local_deployment import OPERATOR_TOKEN

_HEADERS = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}


async def ask_control(address: str, path: str) -> dict[str, Any]:
    """Return the JSON of a GET on an operators' path."""
    return await _ask("GET", address, path, None)


async def post_control(address: str, path: str, text: str) -> dict[str, Any]:
    """Return the JSON of a POST on an operators' path."""
    return await _ask("POST", address, path, text)


async def _ask(
    method: str, address: str, path: str, text: str | None
) -> dict[str, Any]:
    url = f"http://{address}/operators/v1/{path}"
    async with aiohttp.ClientSession(headers=_HEADERS) as http:
        async with http.request(method, url, data=text) as response:
            body: dict[str, Any] = await response.json()
            return body
