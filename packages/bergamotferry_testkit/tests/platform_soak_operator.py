"""The operator of the soak, who changes the configuration and reads it."""

import asyncio
import time

from platform_fleet import (
    CONTROL_PORT,
    manifest,
    manifest_version,
    route,
    send_http_request,
)
from platform_soak_accounts import CAPPED_PREFIX, PATH_PREFIX, tenants
from platform_soak_keys import SERVICE
from platform_soak_state import (
    AHEAD_KIND,
    APPLY_S,
    CORES,
    KEYED_KINDS,
    KINDS,
    RECOVERY_TIMEOUT_S,
    Soak,
)


async def poll_configuration(soak: Soak) -> None:
    while not soak.is_finished:
        await read_configuration(soak, soak.rng.choice(CORES))
        await asyncio.sleep(0.1)


async def read_configuration(soak: Soak, core: str) -> bool:
    """Read the configuration from a control host; return whether it answered."""
    began_s = time.monotonic()
    url = f"http://{core}:{CONTROL_PORT}/api/config"
    status, body = await send_http_request(soak.http, "GET", url)
    if status == 200:
        soak.reads.append((began_s, manifest_version(body)))
    return status == 200


async def read_final_configuration(soak: Soak) -> None:
    """Read the configuration from every control host after the last fault."""
    await asyncio.sleep(APPLY_S + 0.1)
    async with asyncio.timeout(RECOVERY_TIMEOUT_S):
        for core in CORES:
            is_read = False
            while not is_read:
                is_read = await read_configuration(soak, core)
                await asyncio.sleep(0.1)


async def apply_configuration(soak: Soak, version: int, n_routes: int = 1) -> None:
    """Send a configuration to random control hosts until one acknowledges it."""
    routes = [route(f"/{kind}/", kind) for kind in KINDS if kind not in KEYED_KINDS]
    routes.append(route(f"/{AHEAD_KIND}/", "safe"))
    routes.append(route("/keyed/", "safe", SERVICE))
    routes.append(route("/keyed-once/", "unsafe", SERVICE))
    routes += [route(f"/v{version}-{number}/") for number in range(n_routes)]
    # Only the requests with keys need one.
    routes = [{**spec, "allow-anonymous": True} for spec in routes]
    routes += [route(prefix, "safe") for prefix in (PATH_PREFIX, CAPPED_PREFIX)]
    async with asyncio.timeout(RECOVERY_TIMEOUT_S):
        while True:
            url = f"http://{soak.rng.choice(CORES)}:{CONTROL_PORT}/api/config"
            body = manifest(version, *routes, sharded=(SERVICE,))
            body["resources"] += tenants(version)
            status, _ = await send_http_request(soak.http, "PUT", url, json=body)
            if status == 200:
                soak.acknowledged.append((time.monotonic(), version))
                return
            await asyncio.sleep(0.1)
