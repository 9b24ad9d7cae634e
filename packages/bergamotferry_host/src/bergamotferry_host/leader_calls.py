"""Questions that only the leader answers, asked by way of a control host.

An entry host asks the control host that it follows, which passes the question on to the
leader once. A question without an answer in time counts as unanswered.
"""

import asyncio
from typing import Any

from .direct_host import DirectHost
from .fleet_control import ControlHost
from .peer_link import PeerUnreachable
from .peer_network import PeerNetwork

# Longer than a reply across regions over a busy link takes.
ASK_TIMEOUT_S = 0.4
# Less than the host that asks waits.
FORWARD_TIMEOUT_S = 0.35


async def ask_followed(host: DirectHost, message: Any) -> Any:
    """Return the reply of the control host that a host follows, or None."""
    if not host.followed:
        return None
    return await _call(host.network, host.followed, message, ASK_TIMEOUT_S)


async def forward_to_leader(host: ControlHost, message: Any) -> Any:
    """Pass a question on to the leader; return its reply, or None.

    ``message`` has a field ``is_forwarded``, which keeps it from being passed on again.
    """
    leader = host.group.leader
    if message.is_forwarded or not leader or leader == host.settings.name:
        return None
    forwarded = message._replace(is_forwarded=True)
    return await _call(host.network, leader, forwarded, FORWARD_TIMEOUT_S)


async def _call(network: PeerNetwork, name: str, message: Any, timeout_s: float) -> Any:
    try:
        async with asyncio.timeout(timeout_s):
            return await network.call(name, message, timeout_s, "records")
    except (PeerUnreachable, TimeoutError):
        return None
