"""A request whose sender has closed its connection is known as abandoned."""

import asyncio
import socket
import struct

import pytest
from aiohttp import web

from bergamotferry_host.sender_connection import watch_sender
from bergamotferry_testkit.local_group import wait_until

REQUEST = b"DELETE /x HTTP/1.1\r\nHost: h\r\n\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def leave_open(connection):
    """Wait for the answer, as the sender of a proper request does."""


def close(connection):
    connection.close()


def reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    connection.close()


def close_own_side(connection):
    connection.shutdown(socket.SHUT_WR)


@pytest.mark.parametrize(
    ("leave", "is_closed"),
    [(leave_open, False), (close, True), (reset, True), (close_own_side, True)],
)
def test_request_that_waited_with_the_end_of_its_connection_is_abandoned(
    leave, is_closed
):
    """Guards against an order that waited longer than its sender (review/9, EVAC)."""
    handled = []

    async def on_request(request):
        handled.append(watch_sender(request)())
        return web.Response()

    async def run():
        app = web.Application()
        app.router.add_delete("/x", on_request)
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        # The event loop reads nothing until the sender has done all this.
        connection = socket.create_connection(runner.addresses[0])
        connection.sendall(REQUEST)
        leave(connection)
        if leave is not reset:
            await wait_until(lambda: bool(handled))
        await asyncio.sleep(0.05)
        connection.close()
        await runner.cleanup()

    asyncio.run(run())
    # A reset also discards the request, if it comes before the request is read.
    assert handled == [is_closed] or (leave is reset and not handled)
