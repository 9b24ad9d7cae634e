"""Logs when a host begins and ends to refuse requests with API keys."""

import asyncio

from ..clock import now_ns
from ..direct_host import DirectHost
from ..logs import log, log_warning
from .state_age import state_age_ms

KEY_WATCH_INTERVAL_S = 0.1
# A host that has just started has heard nothing yet, and is not ready either.
STARTUP_NS = 2_000_000_000


async def run_key_watch(host: DirectHost) -> None:
    """Log each change of whether the host serves keys, until cancelled."""
    refused_ns = 0
    while True:
        now = now_ns()
        is_starting = not host.confirmed_ns and now - host.began_ns < STARTUP_NS
        if not host.trusts_keys and not refused_ns and not is_starting:
            refused_ns = now
            log_warning(
                "keys refused",
                state_age_ms=state_age_ms(host, now),
                revoke_ms=host.settings.bounds.revoke_ms,
                followed=host.followed,
                is_ready=host.is_ready,
            )
        elif host.trusts_keys and refused_ns:
            log(
                "keys served again",
                for_ms=(now - refused_ns) // 1_000_000,
                state_age_ms=state_age_ms(host, now),
                followed=host.followed,
            )
            refused_ns = 0
        await asyncio.sleep(KEY_WATCH_INTERVAL_S)
