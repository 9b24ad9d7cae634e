"""Sound targets, as PROTOCOL.md describes them, for review cases."""

import asyncio
import json
import time

from fleet import http, read_body, read_head

HEARTBEAT_S = 0.87


class Target:
    """One target of a service: echoes ids, seals answers, runs what it is sent.

    ``work(method, path)`` returns how long a run lasts in seconds and the bytes of its
    answer.
    """

    def __init__(
        self, fleet, record, name, ip, service, work, slots=64, zone="ishikari-a"
    ):
        self.fleet = fleet
        self.record = record
        self.name = name
        self.ip = ip
        self.service = service
        self.work = work
        self.slots = slots
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.n_running = 0
        self.runs = {}
        self.arrivals = {}
        self.server = None
        self.beating = None

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.ip, 8080, limit=1 << 20
        )
        self.beating = asyncio.create_task(self._beat())

    def stop(self):
        self.beating.cancel()
        self.server.close()

    async def _beat(self):
        while True:
            self.sequence += 1
            body = {
                "service": self.service,
                "address": f"{self.ip}:8080",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "warmup-left-ms": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
            for core, _ in self.fleet.cores:
                status, _, _ = await http(
                    core,
                    self.fleet.control,
                    "PUT",
                    f"/api/instances/{self.name}",
                    json.dumps(body).encode(),
                    [("Content-Type", "application/json")],
                )
                if status == 200:
                    break
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                await read_body(reader, headers)
                method, path, _ = first.split(" ", 2)
                await self._answer(writer, method, path, headers)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, writer, method, path, headers):
        load = f"X-Server-Load: {self.n_running},0,{self.slots}\r\n"
        if path == "/health":
            head = f"HTTP/1.1 200 OK\r\nX-Instance-Id: {self.name}\r\n{load}"
            writer.write(f"{head}Content-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return
        request_id = headers.get("x-request-id", "")
        head = f"X-Request-Id: {request_id}\r\n{load}"
        if headers.get("x-expected-instance", self.name) != self.name:
            refusal = f"HTTP/1.1 421 Other\r\n{head}X-Not-Executed: 1\r\n"
            writer.write(f"{refusal}Content-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return
        self.arrivals[request_id] = self.arrivals.get(request_id, 0) + 1
        work_s, data = self.work(method, path)
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.record(f"{self.name} runs {request_id}")
        self.n_running += 1
        try:
            await asyncio.sleep(work_s)
        finally:
            self.n_running -= 1
        head = f"HTTP/1.1 200 OK\r\n{head}X-Response-Seal: {self.name}.{request_id}\r\n"
        writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode())
        for start in range(0, len(data), 65536):
            writer.write(data[start : start + 65536])
            await writer.drain()
