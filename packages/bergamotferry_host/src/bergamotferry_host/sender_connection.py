"""Tells whether the sender of a request has given up on it by now.

A request may wait in its connection before this host reads it. A sender that gives up
meanwhile closes the connection, and the end waits behind the request. The kernel knows
of the end before the event loop has read up to it.
"""

import select
from collections.abc import Callable

from aiohttp import web


def watch_sender(request: web.Request) -> Callable[[], bool]:
    """Return a function that tells whether the sender of a request has left."""

    def has_left() -> bool:
        return _has_closed(request)

    return has_left


def _has_closed(request: web.Request) -> bool:
    """Return whether the sender of a request has closed its connection.

    The HTTP library answers nothing on a connection of which the sender has closed its
    side only, so such a sender counts as gone too.
    """
    transport = request.transport
    if transport is None or transport.is_closing():
        return True
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
