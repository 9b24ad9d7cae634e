"""Bodies of callers take no more room together than the host has memory for."""

import asyncio

from bergamotferry.result_codes import ResultCode
from bergamotferry_host.body_room import BodyRoom, HeldBody, give_back, hold_up_to
from bergamotferry_host.http_body import read_body


class FakeRequest:
    """A request whose body arrives in parts, with or without a stated length."""

    def __init__(self, parts, content_length=None):
        self.parts = list(parts)
        self.content_length = content_length
        self.content = self

    async def readany(self):
        return self.parts.pop(0) if self.parts else b""


def read(request, room):
    held = HeldBody(room)
    return held, asyncio.run(read_body(request, 10, held=held))


def test_body_takes_room_until_its_request_ends():
    room = BodyRoom(max_bytes=10)
    held, body = read(FakeRequest([b"abc", b"def"], 6), room)
    assert (body, room.held_bytes) == (b"abcdef", 6)
    give_back(held)
    give_back(held)
    assert room.held_bytes == 0


def test_body_without_room_is_refused_before_it_is_read():
    """Guards against a host that ends because it holds more bodies than it can."""
    room = BodyRoom(max_bytes=10)
    read(FakeRequest([b"abcdef"], 6), room)
    request = FakeRequest([b"ghijk"], 5)
    held, refusal = read(request, room)
    assert refusal.code == ResultCode.NO_ROOM_FOR_BODY and refusal.is_not_run
    assert request.parts == [b"ghijk"]
    assert (held.n_bytes, room.held_bytes) == (0, 6)


def test_body_of_unknown_length_takes_room_as_it_arrives():
    room = BodyRoom(max_bytes=10)
    read(FakeRequest([b"abcdef"]), room)
    held, refusal = read(FakeRequest([b"gh", b"ijk"]), room)
    assert refusal.code == ResultCode.NO_ROOM_FOR_BODY
    assert room.held_bytes == 8
    give_back(held)
    assert room.held_bytes == 6


def test_host_without_a_limit_of_memory_has_no_bound():
    room = BodyRoom.from_memory(0)
    assert hold_up_to(HeldBody(room), 2**40)
    assert not hold_up_to(HeldBody(BodyRoom.from_memory(300)), 151 * 1024 * 1024)
