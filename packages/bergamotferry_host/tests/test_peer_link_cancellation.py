"""A duty that is cancelled in the step in which its peer answers ends all the same."""

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


def test_cancellation_that_meets_the_reply_is_kept():
    assert asyncio.run(_cancel_as_the_reply_comes()) is True


def test_a_call_without_a_reply_ends_at_its_timeout():
    with pytest.raises(PeerUnreachable, match="no reply in time"):
        asyncio.run(_link().call(("question",), 0.01))


async def _cancel_as_the_reply_comes():
    link = _link()

    async def ask_forever():
        while True:
            await link.call(("question",), 5.0)

    duty = asyncio.create_task(ask_forever())
    await asyncio.sleep(0)
    (call_id,) = link.replies
    link._on_frame((call_id, int(FrameKind.REPLY), "answer"))
    duty.cancel()
    await asyncio.wait([duty], timeout=5.0)
    return duty.cancelled()
