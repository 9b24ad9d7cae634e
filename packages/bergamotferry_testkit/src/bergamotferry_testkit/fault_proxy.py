"""A TCP proxy between every pair of hosts, which can be told to misbehave.

Each pair of hosts (who dials, who listens) has a port of its own here. Rules hold per
direction of bytes, from one host to another, whichever of the two dialled: a delay, a
rate, silence. Silence keeps connections open and holds bytes back, as a router does
that has lost track of them; healing lets held bytes go on. A reset closes what is open.

Run it as a process; a small HTTP interface on a port of its own takes the rules.
"""

import argparse
import asyncio
import json
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

from aiohttp import web

READ_BYTES = 64 * 1024
HELD_CHUNKS_MAX = 256
DIALLED = "dialled"
ANSWERED = "answered"


class Pair(NamedTuple):
    """A pair of hosts in the direction of a dial, and its addresses."""

    source: str
    target: str
    listen_port: int
    target_address: str


@dataclass(slots=True)
class Rule:
    """What happens to bytes from one host to another."""

    delay_s: float = 0.0
    bytes_per_s: float = 0.0
    lets_through: asyncio.Event = field(default_factory=asyncio.Event)
    next_free_s: float = 0.0
    n_bytes: int = 0


@dataclass(slots=True)
class FaultProxy:
    """All pairs, their rules and their open connections."""

    rules: dict[tuple[str, str], Rule] = field(default_factory=dict)
    # Links that share a rate, such as all those between two regions.
    shared: dict[str, Rule] = field(default_factory=dict)
    share_of: dict[tuple[str, str], str] = field(default_factory=dict)
    writers: dict[tuple[str, str], set[asyncio.StreamWriter]] = field(
        default_factory=dict
    )
    tasks: set["asyncio.Task[None]"] = field(default_factory=set)
    capture_folder: Path | None = None
    n_connections: int = 0

    def rule(self, source: str, target: str) -> Rule:
        """Return the rule of a direction."""
        rule = self.rules.get((source, target))
        if rule is None:
            rule = self.rules[(source, target)] = Rule()
            rule.lets_through.set()
        return rule

    def apply(self, change: dict[str, Any]) -> None:
        """Change the rules of the directions between two sets of hosts."""
        for source in change["sources"]:
            for target in change["targets"]:
                if source == target:
                    continue
                rule = self.rule(source, target)
                rule.delay_s = change.get("delay_ms", rule.delay_s * 1000) / 1000
                rule.bytes_per_s = change.get("bytes_per_s", rule.bytes_per_s)
                if change.get("is_silent"):
                    rule.lets_through.clear()
                elif "is_silent" in change:
                    rule.lets_through.set()
                if change.get("share"):
                    self.share_of[(source, target)] = change["share"]
                    shared = self.shared.setdefault(change["share"], Rule())
                    shared.bytes_per_s = change["bytes_per_s"]
                    rule.bytes_per_s = 0.0
                if change.get("reset"):
                    self.reset(source, target)

    def reset(self, source: str, target: str) -> None:
        """Close every connection between two hosts."""
        for place in ((source, target), (target, source)):
            for writer in self.writers.pop(place, set()):
                writer.transport.abort()

    async def listen(self, pair: Pair) -> asyncio.Server:
        """Accept connections of a pair."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(pair, reader, writer)

        return await asyncio.start_server(serve, "127.0.0.1", pair.listen_port)

    async def _serve(
        self, pair: Pair, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        ip, _, port = pair.target_address.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        place = (pair.source, pair.target)
        open_writers = self.writers.setdefault(place, set())
        open_writers.update((writer, far_writer))
        self.n_connections += 1
        name = f"{self.n_connections}~{pair.source}~{pair.target}"
        there = self._pass(
            pair.source, pair.target, reader, far_writer, f"{name}~{DIALLED}"
        )
        back = self._pass(
            pair.target, pair.source, far_reader, writer, f"{name}~{ANSWERED}"
        )
        await asyncio.gather(there, back)
        open_writers.difference_update((writer, far_writer))

    async def _pass(
        self,
        source: str,
        target: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        capture_name: str,
    ) -> None:
        held: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(HELD_CHUNKS_MAX)

        async def read() -> None:
            try:
                while data := await reader.read(READ_BYTES):
                    self._capture(capture_name, data)
                    await held.put((self._due_s(source, target, len(data)), data))
            except OSError:
                pass
            await held.put((0.0, b""))

        task = asyncio.create_task(read())
        self.tasks.add(task)
        try:
            while True:
                due_s, data = await held.get()
                await self._wait(source, target, due_s)
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            task.cancel()
            self.tasks.discard(task)
            writer.close()

    def _capture(self, name: str, data: bytes) -> None:
        if self.capture_folder is not None:
            with (self.capture_folder / name).open("ab") as file:
                file.write(data)

    def _due_s(self, source: str, target: str, n_bytes: int) -> float:
        rule = self.rule(source, target)
        rule.n_bytes += n_bytes
        due_s = time.monotonic() + rule.delay_s
        shared = self.shared.get(self.share_of.get((source, target), ""))
        for each in (rule, shared):
            if each is not None and each.bytes_per_s:
                start_s = max(each.next_free_s, time.monotonic())
                each.next_free_s = start_s + n_bytes / each.bytes_per_s
                due_s = max(due_s, each.next_free_s + rule.delay_s)
        return due_s

    async def _wait(self, source: str, target: str, due_s: float) -> None:
        rule = self.rule(source, target)
        await rule.lets_through.wait()
        delay_s = due_s - time.monotonic()
        if delay_s > 0:
            await asyncio.sleep(delay_s)


async def run_proxy(
    pairs: list[Pair], control_port: int, capture_folder: Path | None
) -> None:
    """Run the proxy until cancelled."""
    proxy = FaultProxy(capture_folder=capture_folder)
    servers = [await proxy.listen(pair) for pair in pairs]

    async def change(request: web.Request) -> web.Response:
        for row in await request.json():
            proxy.apply(row)
        return web.json_response({})

    async def counts(request: web.Request) -> web.Response:
        rows = [[*place, rule.n_bytes] for place, rule in proxy.rules.items()]
        return web.json_response(rows)

    app = web.Application()
    app.router.add_post("/rules", change)
    app.router.add_get("/counts", counts)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", control_port).start()
    await asyncio.gather(*(server.serve_forever() for server in servers))


def main() -> None:
    """Run the proxy from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--pairs", type=Path, required=True, help="JSON list of pairs")
    parser.add_argument("--control-port", type=int, required=True)
    parser.add_argument("--capture", type=Path, help="folder for all bytes that pass")
    arguments = parser.parse_args()
    pairs = [Pair(*row) for row in json.loads(arguments.pairs.read_text())]
    asyncio.run(run_proxy(pairs, arguments.control_port, arguments.capture))


if __name__ == "__main__":
    main()
