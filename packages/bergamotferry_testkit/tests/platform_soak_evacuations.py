"""An operator of the soak who evacuates a data centre and changes its mind.

It asks a control host, gives up after a second, asks another one for the opposite, and
then orders nothing for a while. What was acknowledged last must then be in force, and
stay so: an order that was given up may still wait in a link, but takes no effect.
"""

import asyncio
import contextlib
import random
import time

from platform_fleet import CONTROL_PORT, send_http_request
from platform_soak_state import CORES, RECOVERY_TIMEOUT_S, Soak

EVACUATED_ZONE = "b"
# The upstream of the service without shards that is in the data centre.
ZONE_UPSTREAM = 3
GIVE_UP_S = 1.0
PAUSE_S = 0.1
# Longer than any disturbance of a link, so that all that waited has arrived.
SETTLE_S = 3.0
OBSERVED_S = 1.0
# With fewer runs elsewhere, a data centre without any proves nothing.
N_RUNS_ELSEWHERE_MIN = 10
POLL_INTERVAL_S = 0.05
N_POLLS_MAX = 100
METHODS = {True: "POST", False: "DELETE"}


async def order_evacuations(soak: Soak) -> None:
    """Order, and observe what is in force, until the soak ends."""
    rng = random.Random(f"evacuations {soak.rng.random()}")
    while not soak.is_ending:
        is_evacuated = rng.random() < 0.5
        await _order_until_acknowledged(soak, rng, is_evacuated)
        core = await _wait_disturbed(soak, rng)
        await _order(soak, core, not is_evacuated)
        await _order_until_acknowledged(soak, rng, is_evacuated)
        await _check_in_force(soak, is_evacuated)


async def _wait_disturbed(soak: Soak, rng: random.Random) -> str:
    """Wait until links of a control host are disturbed; return the host.

    After a time without any, or at the end of the soak, any host is returned.
    """
    for _ in range(N_POLLS_MAX):
        if soak.disturbed_cores or soak.is_ending:
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    return rng.choice(sorted(soak.disturbed_cores) or CORES)


async def _order(soak: Soak, core: str, is_evacuated: bool) -> int:
    """Send an order once; return its status, or 0 if it was given up on."""
    url = f"http://{core}:{CONTROL_PORT}/api/evacuations/{EVACUATED_ZONE}"
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(GIVE_UP_S):
            status, _ = await send_http_request(soak.http, METHODS[is_evacuated], url)
            return status
    return 0


async def _order_until_acknowledged(
    soak: Soak, rng: random.Random, is_evacuated: bool
) -> None:
    async with asyncio.timeout(RECOVERY_TIMEOUT_S):
        status = 0
        while status != 200:
            others = sorted(set(CORES) - soak.disturbed_cores) or CORES
            status = await _order(soak, rng.choice(others), is_evacuated)
            if status not in (0, 200, 503):
                soak.evacuation_faults.append(f"an evacuation was answered {status}")
            await asyncio.sleep(PAUSE_S)
    soak.n_evacuations += 1


async def _check_in_force(soak: Soak, is_evacuated: bool) -> None:
    """Wait until upstreams show what is in force; record if they never do."""
    await asyncio.sleep(SETTLE_S)
    try:
        async with asyncio.timeout(RECOVERY_TIMEOUT_S):
            is_shown = False
            while not is_shown:
                await asyncio.sleep(PAUSE_S)
                is_shown = shows_evacuation(soak, is_evacuated)
    except TimeoutError:
        soak.evacuation_faults.append(
            f"{METHODS[is_evacuated]} of an evacuation was acknowledged and undone"
        )


def shows_evacuation(soak: Soak, is_evacuated: bool) -> bool:
    """Return whether the runs of the last second fit what was acknowledged."""
    since_s = time.monotonic() - OBSERVED_S
    names = [run.upstream for run in soak.runs if run.at_s >= since_s]
    n_there = sum(name.startswith(f"i-{ZONE_UPSTREAM}-") for name in names)
    if not is_evacuated:
        return n_there > 0
    return n_there == 0 and len(names) >= N_RUNS_ELSEWHERE_MIN
