"""A cancellation that arrives in the same loop step as a call's reply is not lost.

A background task that calls a peer in a loop would otherwise never end.
"""

import asyncio

import pytest

from bergamotferry_host.peer_link import (
    FrameKind,
    PeerHandlers,
    PeerLink,
    PeerUnreachable,
)


class _SilentConnection:
    async def send(self, data):
        return None


def _link():
    return PeerLink(_SilentConnection(), "peer", PeerHandlers(None, None, None))


def test_cancellation_that_coincides_with_the_reply_is_kept():
    assert asyncio.run(_cancel_as_the_reply_arrives()) is True


def test_call_without_a_reply_ends_at_its_timeout():
    with pytest.raises(PeerUnreachable, match="no reply in time"):
        asyncio.run(_link().call(("question",), 0.01))


async def _cancel_as_the_reply_arrives():
    link = _link()

    async def call_forever():
        while True:
            await link.call(("question",), 5.0)

    calling_task = asyncio.create_task(call_forever())
    await asyncio.sleep(0)
    (call_id,) = link.replies
    link._on_frame((call_id, int(FrameKind.REPLY), "answer"))
    calling_task.cancel()
    await asyncio.wait([calling_task], timeout=5.0)
    return calling_task.cancelled()
