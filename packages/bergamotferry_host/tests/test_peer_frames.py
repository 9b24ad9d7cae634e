"""How many frames and bytes a request costs between two hosts."""

import asyncio
from collections import Counter
from types import SimpleNamespace

import pytest
from request_fakes import KeepingSink, make_head, make_route

from bergamotferry.messages import ResponseHead
from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import ResultCode as Code
from bergamotferry_host import request_path
from bergamotferry_host.codec import decode
from bergamotferry_host.exchange import RequestBody, Served
from bergamotferry_host.peer_link import FrameKind, PeerHandlers, PeerLink
from bergamotferry_host.slow_link import SlowLink

HEADERS = (("Content-Type", "application/json"), ("Content-Length", "100"))
HEAD = ResponseHead(0, "", 200, HEADERS, "ishikari-a-1", 7, False)
MIB = 1 << 20


class Side:
    """One end of a connection; what it sends is counted and handed to the other."""

    def __init__(self):
        self.frames = asyncio.Queue()
        self.sent = Counter()
        self.n_bytes = 0
        self.transport = self

    def __aiter__(self):
        return self

    async def __anext__(self):
        return await self.frames.get()

    async def send(self, data):
        self.sent[FrameKind(decode(data)[1]).name] += 1
        self.n_bytes += len(data)
        self.other.frames.put_nowait(data)

    async def ping(self):
        pong = asyncio.get_running_loop().create_future()
        pong.set_result(0.0)
        return pong

    async def close(self):
        pass


async def body_of(*parts):
    for part in parts:
        yield part


async def forward(monkeypatch, head, body, dispatch, sink):
    """Forward a request over a link; return the outcome and both ends of the link."""

    async def on_stream(stream, head, peer):
        await request_path.serve_peer(far_state, stream, head)

    monkeypatch.setattr(request_path, "dispatch_here", dispatch)
    monkeypatch.setattr(
        SlowLink, "from_request", lambda *_: SlowLink(None, None, "bulk")
    )
    far_state = SimpleNamespace(is_refusing=False)
    near, far = Side(), Side()
    near.other, far.other = far, near
    links = [
        PeerLink(near, "far", PeerHandlers(None, None, None)),
        PeerLink(far, "near", PeerHandlers(None, None, on_stream)),
    ]
    running = [asyncio.create_task(link.run()) for link in links]

    async def open_stream(host, *arguments):
        return await links[0].open_stream(*arguments)

    network = SimpleNamespace(open_stream=open_stream, note_unreachable=lambda _: None)
    tables = SimpleNamespace(
        routes={"testlog/lookup": make_route("lookup", "GET", True, "bulk")}
    )
    near_state = SimpleNamespace(network=network, global_tables=tables)
    outcome = await request_path._forward(near_state, "far", head, body, sink)
    for _ in range(20):
        await asyncio.sleep(0)
    left = [len(link.streams) for link in links]
    for task in running:
        task.cancel()
    # Every byte counts for the class of the request's route.
    assert links[0].sent_bytes == {("far", "bulk"): near.n_bytes}
    assert links[1].sent_bytes == {("near", "bulk"): far.n_bytes}
    return outcome, near, far, left


async def answer(state, head, body, sink):
    async for _ in body.chunks():
        pass
    await sink.head(HEAD)
    await sink.data(b"x" * 100)
    await sink.end()
    return Served(200, 100, "u1")


async def answer_bulk(state, head, body, sink):
    await sink.head(HEAD)
    for _ in range(16):
        await sink.data(bytes(MIB // 16))
    await sink.end()
    return Served(200, MIB, "u1")


async def refuse(state, head, body, sink):
    return Refused(Code.NO_OWNER, "")


ANSWER = {"OPEN": 1, "DATA": 1, "END": 1}
# Request, dispatch, frames of the entry host and of the dispatcher.
TABLE = {
    "lookup": ((), answer, {"OPEN_ENDED": 1}, ANSWER),
    "refusal": ((), refuse, {"OPEN_ENDED": 1}, {"OPEN_ENDED": 1}),
    "filing": ((b"filing",), answer, {"OPEN": 1, "DATA": 1, "END": 1}, ANSWER),
    # Half of the window is 128 KiB, so 1 MiB is granted in at most 8 parts; none is
    # needed once the end has come.
    "bulk": ((), answer_bulk, {"OPEN_ENDED": 1, "CREDIT": 7}, {**ANSWER, "DATA": 16}),
}


@pytest.mark.parametrize(
    ("parts", "dispatch", "there", "back"), TABLE.values(), ids=TABLE
)
def test_frames_of_a_request(parts, dispatch, there, back, monkeypatch):
    body = RequestBody(body_of(*parts)) if parts else RequestBody.empty()
    forwarding = forward(monkeypatch, make_head(), body, dispatch, KeepingSink())
    _, near, far, left = asyncio.run(forwarding)
    assert near.sent.pop("CREDIT", 0) <= there.get("CREDIT", 0)
    there = {kind: count for kind, count in there.items() if kind != "CREDIT"}
    assert (near.sent, far.sent, left) == (there, back, [0, 0])


def test_bytes_of_a_lookup_stay_within_a_bound(monkeypatch):
    body = RequestBody.empty()
    forwarding = forward(monkeypatch, make_head(), body, answer, KeepingSink())
    _, near, far, _ = asyncio.run(forwarding)
    # The heads' own fields, 100 bytes of answer, and little else.
    assert (near.n_bytes <= 128, far.n_bytes <= 100 + 192) == (True, True)


@pytest.mark.parametrize("is_ended", [False, True])
def test_caller_that_leaves_cancels_only_what_still_runs(is_ended, monkeypatch):
    leaving = asyncio.Event()

    class LeavingSink(KeepingSink):
        async def head(self, head):
            if is_ended:
                await asyncio.sleep(0.01)
            raise ConnectionError

    async def dispatch(state, head, body, sink):
        await sink.head(HEAD)
        if is_ended:
            await sink.end()
            return Served(200, 0, "u1")
        try:
            await asyncio.Event().wait()
        finally:
            leaving.set()

    body = RequestBody.empty()
    forwarding = forward(monkeypatch, make_head(), body, dispatch, LeavingSink())
    outcome, near, _, left = asyncio.run(forwarding)
    assert (outcome.code, left) == (Code.CALLER_GONE, [0, 0])
    assert (near.sent["CANCEL"], leaving.is_set()) == (
        (0, False) if is_ended else (1, True)
    )
