"""Bodies of callers take no more room together than the host has memory for."""

import asyncio

from bergamotferry.memory.ledger import MIB, Holding, MemoryLedger, give_back, hold
from bergamotferry.result_codes import ResultCode
from bergamotferry_host.clock import now_ns
from bergamotferry_host.http_body import ARRIVING_BYTES, read_body

MAX_BYTES = 8 * MIB


class FakeRequest:
    """A request whose body arrives in parts, with or without a stated length."""

    def __init__(self, parts, content_length=None, stalls=False):
        self.parts = list(parts)
        self.content_length = content_length
        self.content = self
        self.transport = None
        self.stalls = stalls

    async def readany(self):
        if self.stalls and not self.parts:
            await asyncio.sleep(60)
        return self.parts.pop(0) if self.parts else b""


def read(request, ledger):
    holding = Holding(ledger, "body")
    return holding, asyncio.run(read_body(request, MAX_BYTES, holding=holding))


def test_body_takes_room_until_its_request_ends():
    ledger = MemoryLedger(MIB)
    holding, body = read(FakeRequest([b"abc", b"def"], 6), ledger)
    assert (body, ledger.held_bytes["body"]) == (b"abcdef", 6)
    give_back(holding)
    give_back(holding)
    assert ledger.held_bytes["body"] == 0


def test_body_without_room_is_refused_before_it_is_read():
    """Guards against a host that ends because it holds more bodies than it can."""
    ledger = MemoryLedger(MIB)
    request = FakeRequest([b"ghijk"], MIB)
    holding, refusal = read(request, ledger)
    assert refusal.code == ResultCode.NO_ROOM_FOR_BODY and refusal.is_not_run
    assert request.parts == [b"ghijk"]
    assert (holding.n_bytes, ledger.held_bytes["body"]) == (0, 0)


def test_body_of_unknown_length_takes_room_as_it_arrives():
    ledger = MemoryLedger(MIB)
    holding, refusal = read(FakeRequest([bytes(400_000)] * 4), ledger)
    assert refusal.code == ResultCode.NO_ROOM_FOR_BODY
    assert ledger.held_bytes["body"] == 800_000 + ARRIVING_BYTES
    give_back(holding)
    assert ledger.held_bytes["body"] == 0


def test_body_that_arrives_counts_what_the_library_holds_of_it():
    ledger = MemoryLedger(MIB)
    held_bytes = []

    class Watched(FakeRequest):
        async def readany(self):
            held_bytes.append(ledger.held_bytes["body"])
            return await super().readany()

    read(Watched([b"abc"], 3), ledger)
    assert held_bytes == [3 + ARRIVING_BYTES] * 2


def test_stalled_body_is_refused_once_memory_is_short(monkeypatch):
    """Guards against clients that hold all room by stopping short of their end."""
    monkeypatch.setattr("bergamotferry.memory.ledger.STALLED_NS", 0)

    async def scenario():
        ledger = MemoryLedger(MIB)
        stalled = Holding(ledger, "body")
        request = FakeRequest([bytes(100)], 500_000, stalls=True)
        reading = asyncio.create_task(read_body(request, MAX_BYTES, holding=stalled))
        await asyncio.sleep(0)
        assert not hold(Holding(ledger, "body"), 500_000, now_ns())
        refusal = await asyncio.wait_for(reading, 5)
        give_back(stalled)
        assert hold(Holding(ledger, "body"), 500_000, now_ns())
        return refusal

    refusal = asyncio.run(scenario())
    assert refusal.code == ResultCode.NO_ROOM_FOR_BODY and refusal.is_not_run
