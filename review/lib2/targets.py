"""A target that follows the users' pages: it serves requests and sends pings."""

import asyncio
import contextlib
import itertools
import time
from collections.abc import Callable
from typing import NamedTuple

from fleet import CONTROL, Fleet, Record, call

PORT = 18099
HEARTBEAT_S = 0.87


class Head(NamedTuple):
    method: str
    path: str
    headers: dict[str, str]


# Changes an answer before it is written; a shorter one ends with its connection.
Spoil = Callable[[Head, bytes], bytes]


class Run(NamedTuple):
    request_id: str
    target: str
    at_s: float


async def read_request(reader) -> tuple[Head, bytes] | None:
    """Return the next request of a connection, None at its end."""
    try:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        method, path, _ = lines[0].split(" ")
        pairs = (line.partition(": ") for line in lines[1:] if line)
        headers = {name.lower(): value for name, _, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Head(method, path, headers), body


class Target:
    """One target at an address of its own; ``runs`` gets each request that it runs.

    ``spoil`` may change the bytes of an answer before they are written.
    """

    numbers = itertools.count(30)

    def __init__(
        self,
        fleet: Fleet,
        record: Record,
        name: str,
        service: str,
        zone: str,
        runs: list[Run],
        slots: int = 4,
        work_s: float = 0.05,
        body_of: Callable[[Head], bytes] = lambda head: b"x" * 2000,
        spoil: Spoil | None = None,
    ) -> None:
        self.fleet, self.record, self.name = fleet, record, name
        self.service, self.zone, self.runs = service, zone, runs
        self.slots, self.work_s, self.body_of, self.spoil = (
            slots,
            work_s,
            body_of,
            spoil,
        )
        self.address = f"{fleet.network}.1.{next(self.numbers)}:{PORT}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.n_running = 0
        self.state = "ready"
        self.turn = asyncio.Semaphore(slots)
        self.tasks: list[asyncio.Task] = []
        self.server = None

    async def start(self, http) -> None:
        ip, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, ip, int(port))
        self.tasks.append(asyncio.create_task(self.ping(http)))

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        if self.server is not None:
            self.server.close()

    async def ping(self, http) -> None:
        hosts = itertools.cycle(self.fleet.cores)
        host = next(hosts)
        while True:
            self.sequence += 1
            body = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "warmup-left-ms": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
            url = f"http://{host.ip}:{CONTROL}/api/instances/{self.name}"
            status, _, _ = await call(http, "PUT", url, json=body)
            if status // 100 != 2:
                host = next(hosts)
            await asyncio.sleep(HEARTBEAT_S if status // 100 == 2 else 0.2)

    async def serve(self, reader, writer) -> None:
        with contextlib.suppress(ConnectionError):
            while (read := await read_request(reader)) is not None:
                answer = await self.answer(*read)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
                if self.is_cut(answer):
                    break
        writer.close()

    async def answer(self, head: Head, body: bytes) -> bytes | None:
        load = f"X-Server-Load: {self.n_running},0,{self.slots},100"
        if head.path == "/health":
            return self.encode(200, [f"X-Instance-Id: {self.name}", load], b"")
        request_id = head.headers.get("x-request-id", "")
        about = [f"X-Request-Id: {request_id}", load]
        if head.headers.get("x-expected-instance", self.name) != self.name:
            return self.encode(421, [*about, "X-Not-Executed: 1"], b"")
        async with self.turn:
            self.n_running += 1
            self.runs.append(Run(request_id, self.name, time.monotonic()))
            self.record.write("runs", id=request_id, target=self.name)
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self.n_running -= 1
        seal = f"X-Response-Seal: {self.name}.{request_id}"
        answer = self.encode(
            200, [*about, seal, "X-Served-By: hall 7"], self.body_of(head)
        )
        return answer if self.spoil is None else self.spoil(head, answer)

    @staticmethod
    def is_cut(answer: bytes) -> bool:
        """Return whether an answer is shorter than its head says."""
        head, _, body = answer.partition(b"\r\n\r\n")
        return len(body) < int(head.rpartition(b"Content-Length: ")[2])

    def encode(self, status: int, lines: list[str], body: bytes) -> bytes:
        head = [f"HTTP/1.1 {status} X", *lines, f"Content-Length: {len(body)}", "", ""]
        return "\r\n".join(head).encode() + body


INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n" * 2_500


class Endless:
    """Mixed into a target: while told so, it answers calls with interim answers only.

    It writes them until its caller closes. Its health path answers as usual.
    """

    is_endless = False

    async def serve(self, reader, writer) -> None:
        with contextlib.suppress(ConnectionError):
            while (read := await read_request(reader)) is not None:
                head, body = read
                if self.is_endless and head.path != "/health":
                    await self.write_endless(head, writer)
                writer.write(await self.answer(head, body))
                await writer.drain()
        writer.close()

    async def write_endless(self, head: Head, writer) -> None:
        self.record.write(
            "endless",
            target=self.name,
            path=head.path,
            id=head.headers.get("x-request-id", ""),
        )
        while True:
            writer.write(INTERIM)
            await writer.drain()
            await asyncio.sleep(0)
