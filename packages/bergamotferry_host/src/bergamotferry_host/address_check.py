"""Checks whether a process listens at an upstream's address."""

import asyncio

from .http_address import split_address


async def refuses_connections(address: str, timeout_s: float) -> bool:
    """Return whether an address refuses a connection, so that no process listens there.

    An address that does not answer within ``timeout_s`` seconds proves nothing.
    """
    ip, port = split_address(address)
    try:
        async with asyncio.timeout(timeout_s):
            _, writer = await asyncio.open_connection(ip, port)
    except ConnectionRefusedError:
        return True
    except (TimeoutError, OSError):
        return False
    writer.close()
    return False
