"""Ends the connections of callers that do not read their answers."""

import asyncio
from typing import cast

from aiohttp import web

from bergamotferry.memory.ledger import Holding, MemoryLedger, hold_anyway
from bergamotferry.memory.unread_answers import Unread, update_unread

from ..clock import now_ns
from ..edge_connection import EdgeServer
from ..logs import log_routine

WATCH_INTERVAL_S = 0.5


async def run_unread_watch(runner: web.AppRunner, ledger: MemoryLedger) -> None:
    """Count unread answers and end stalled ones until cancelled."""
    holding = Holding(ledger, "unread")
    known: dict[int, Unread] = {}
    while True:
        server = cast(EdgeServer, runner.server)
        known = check_unread(server, holding, known)
        await asyncio.sleep(WATCH_INTERVAL_S)


def check_unread(
    server: EdgeServer, holding: Holding, known: dict[int, Unread]
) -> dict[int, Unread]:
    """Count what callers have not read; end the connections that are stalled."""
    transports = {
        id(transport): transport
        for transport in server.transports
        if transport.get_write_buffer_size()
    }
    n_bytes = {
        name: transport.get_write_buffer_size()
        for name, transport in transports.items()
    }
    unread, ended = update_unread(known, n_bytes, now_ns())
    hold_anyway(holding, sum(n_bytes.values()))
    for name in ended:
        transports[name].abort()
        log_routine("unread answer ended", n_left=n_bytes[name])
    return unread
