"""HTTP client of the operator API: uses the first control address that answers."""

import json
from collections.abc import Sequence
from typing import Any, NamedTuple

import aiohttp

REQUEST_TIMEOUT_S = 20.0


class Answer(NamedTuple):
    """HTTP status and decoded JSON body of a host's answer.

    Status 0 means that no host was reached; ``detail`` then has the errors.
    """

    status: int
    body: dict[str, Any]


async def send_request(
    addresses: Sequence[str], token: str, method: str, path: str, text: str = ""
) -> Answer:
    """Send a request to the first host that can be reached.

    Addresses are tried in order. The first answer in JSON is final, whatever its
    status, because one host answers for the whole deployment.
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
