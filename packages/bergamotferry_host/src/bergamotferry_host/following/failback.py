"""Returns to a nearer control host once that one serves again.

When many control hosts start or fail together, hosts follow whichever is current first,
often one in another region. Each change that control hosts report would then cross
regions for as long as the remote one is there. A nearer one that was found current
twice in a row is followed again. One that comes and goes therefore costs no more than a
probe every `PROBE_INTERVAL_S`.
"""

import asyncio
import secrets
from collections.abc import Awaitable, Callable

from ..direct_host import DirectHost
from .nearness import nearer_than

PROBE_INTERVAL_S = 4.0
N_CURRENT_MIN = 2

# Returns whether a control host is current and does not lag.
ProbeCurrent = Callable[[str], Awaitable[bool]]


async def wait_for_nearer(host: DirectHost, followed: str, probe: ProbeCurrent) -> str:
    """Wait until a nearer control host has proved to be current; return its name."""
    n_current: dict[str, int] = {}
    while True:
        # The jitter spreads the probes of hosts that follow the same control host.
        await asyncio.sleep(PROBE_INTERVAL_S * (1 + secrets.randbelow(50) / 100))
        for name in nearer_than(host, host.control_hosts, followed):
            n_current[name] = n_current.get(name, 0) + 1 if await probe(name) else 0
            if n_current[name] >= N_CURRENT_MIN:
                return name
