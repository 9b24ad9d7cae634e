"""Asks a host's control address, trying the given ones in order."""

import json
from collections.abc import Sequence
from typing import Any, NamedTuple

import aiohttp

REQUEST_TIMEOUT_S = 20.0


class Answer(NamedTuple):
    """A host's answer: HTTP status and decoded JSON; status 0 if none was reached."""

    status: int
    body: dict[str, Any]


async def ask(
    addresses: Sequence[str], token: str, method: str, path: str, text: str = ""
) -> Answer:
    """Ask the first host that can be reached.

    A host that answered is not left for another, since its answer holds for all.
    """
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S, sock_connect=1.0)
    failures: list[str] = []
    async with aiohttp.ClientSession(timeout=timeout) as http:
        for address in addresses:
            url = f"http://{address}/operators/v1/{path}"
            headers = {"Authorization": f"Bearer {token}"}
            try:
                async with http.request(
                    method, url, headers=headers, data=text or None
                ) as response:
                    return Answer(response.status, json.loads(await response.text()))
            except (aiohttp.ClientError, TimeoutError, ValueError) as error:
                failures.append(f"{address}: {type(error).__name__}")
    return Answer(0, {"detail": "no host reached: " + "; ".join(failures)})
