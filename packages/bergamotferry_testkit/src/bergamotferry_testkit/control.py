"""Client of the hosts' operator API for the testkit."""

import json
from collections.abc import Callable
from typing import Any

import aiohttp

from bergamotferry.shards import shard_of_key

from .local_deployment import OPERATOR_TOKEN, LocalDeployment

N_CANDIDATE_KEYS = 400
_HEADERS = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}


async def get_control(address: str, path: str) -> dict[str, Any]:
    """Send a GET to the operator API and return the JSON of the answer."""
    return await _request_json("GET", address, path, None)


async def post_control(address: str, path: str, text: str) -> dict[str, Any]:
    """Send a POST to the operator API and return the JSON of the answer."""
    return await _request_json("POST", address, path, text)


async def find_keys(
    address: str,
    service: str,
    n_shards: int,
    is_wanted: Callable[[dict[str, Any]], bool],
    n_keys: int,
) -> list[str]:
    """Return up to ``n_keys`` keys of a service whose grants satisfy ``is_wanted``.

    The host at ``address`` reports each grant as JSON values; a missing grant counts as
    an empty one. At most `N_CANDIDATE_KEYS` keys are tried.
    """
    keys: list[str] = []
    for number in range(N_CANDIDATE_KEYS):
        shard = shard_of_key(service, n_shards, (), f"key-{number}")
        path = f"owner?service={service}&domain=&number={shard.number}"
        answer = await get_control(address, path)
        if is_wanted(answer.get("grant") or {}):
            keys.append(f"key-{number}")
        if len(keys) == n_keys:
            break
    return keys


async def leader_of_group(deployment: LocalDeployment, group: str) -> str:
    """Return the name of a group's leader, as the first host reports it.

    Raises
    ------
    RuntimeError
        If the group has no leader.
    """
    status = await get_control(deployment.hosts[0].control_address, "status")
    for host in status["hosts"]:
        for group_status in host.get("groups", []):
            if group_status["group"] == group and group_status["role"] == "leader":
                return str(host["host"])
    raise RuntimeError(f"{group} has no leader")


async def set_data_centre_state(
    deployment: LocalDeployment, number: int, name: str, region: str, state: str
) -> None:
    """Set a data centre's state to "in" or "out" with release note ``number``.

    Raises
    ------
    RuntimeError
        If the note was refused.
    """
    data_centre = {"name": name, "region": region, "state": state}
    note = {
        "number": number,
        "based_on": number - 1,
        "changed": {"data_centres": [data_centre]},
    }
    address = deployment.hosts[-1].control_address
    answer = await post_control(address, "notes", json.dumps(note))
    if "revision" not in answer:
        raise RuntimeError(f"note {number} was refused: {answer}")


async def _request_json(
    method: str, address: str, path: str, text: str | None
) -> dict[str, Any]:
    url = f"http://{address}/operators/v1/{path}"
    async with aiohttp.ClientSession(headers=_HEADERS) as http:
        async with http.request(method, url, data=text) as response:
            body: dict[str, Any] = await response.json()
            return body
