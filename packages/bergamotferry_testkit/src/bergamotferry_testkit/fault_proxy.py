"""A TCP proxy between every pair of hosts, which injects network faults.

Each ordered pair of hosts (dialler, listener) has a port of its own on the proxy. Rules
apply to the bytes from one host to another, whichever of the two dialled: a delay, a
rate limit, or silence. Silence keeps connections open and holds bytes back, like a
router that has lost the connections' state. The held bytes are sent on when the silence
ends. A reset closes the open connections.

The proxy runs as a process. A small HTTP interface on a port of its own takes the
rules.
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
QUEUED_CHUNKS_MAX = 256
FROM_DIALLER = "dialled"
FROM_LISTENER = "answered"


class Pair(NamedTuple):
    """An ordered pair of hosts: ``source`` dials the proxy instead of ``target``.

    The proxy listens at its own IP address if ``listen_ip`` is empty.
    """

    source: str
    target: str
    listen_port: int
    target_address: str
    listen_ip: str = ""


@dataclass(slots=True)
class Rule:
    """Delay, rate limit and silence for the bytes from one host to another.

    ``next_free_s`` is when the rate limit admits further bytes, and ``n_bytes`` is the
    number of bytes read from the source so far.
    """

    delay_s: float = 0.0
    bytes_per_s: float = 0.0
    is_unblocked: asyncio.Event = field(default_factory=asyncio.Event)
    next_free_s: float = 0.0
    n_bytes: int = 0


@dataclass(slots=True)
class FaultProxy:
    """The rules and open connections of all pairs of hosts."""

    rules: dict[tuple[str, str], Rule] = field(default_factory=dict)
    # Rate limits that several directions share, such as all those between two regions.
    shared_rules: dict[str, Rule] = field(default_factory=dict)
    shared_rule_names: dict[tuple[str, str], str] = field(default_factory=dict)
    writers: dict[tuple[str, str], set[asyncio.StreamWriter]] = field(
        default_factory=dict
    )
    tasks: set["asyncio.Task[None]"] = field(default_factory=set)
    capture_folder: Path | None = None
    n_connections: int = 0
    listen_ip: str = "127.0.0.1"

    def rule(self, source: str, target: str) -> Rule:
        """Return the rule of a direction; a new one lets all bytes through at once."""
        rule = self.rules.get((source, target))
        if rule is None:
            rule = self.rules[(source, target)] = Rule()
            rule.is_unblocked.set()
        return rule

    def apply(self, change: dict[str, Any]) -> None:
        """Change the rules for the bytes from each source to each target."""
        for source in change["sources"]:
            for target in change["targets"]:
                if source == target:
                    continue
                rule = self.rule(source, target)
                rule.delay_s = change.get("delay_ms", rule.delay_s * 1000) / 1000
                rule.bytes_per_s = change.get("bytes_per_s", rule.bytes_per_s)
                if change.get("is_silent"):
                    rule.is_unblocked.clear()
                elif "is_silent" in change:
                    rule.is_unblocked.set()
                if change.get("share"):
                    self.shared_rule_names[(source, target)] = change["share"]
                    shared_rule = self.shared_rules.setdefault(change["share"], Rule())
                    shared_rule.bytes_per_s = change["bytes_per_s"]
                    rule.bytes_per_s = 0.0
                if change.get("reset"):
                    self.reset(source, target)

    def reset(self, source: str, target: str) -> None:
        """Abort every connection between two hosts, whichever of them dialled."""
        for direction in ((source, target), (target, source)):
            for writer in self.writers.pop(direction, set()):
                writer.transport.abort()

    async def listen(self, pair: Pair) -> asyncio.Server:
        """Start a server that relays the connections of a pair."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(pair, reader, writer)

        listen_ip = pair.listen_ip or self.listen_ip
        return await asyncio.start_server(serve, listen_ip, pair.listen_port)

    async def _serve(
        self, pair: Pair, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        ip, _, port = pair.target_address.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        direction = (pair.source, pair.target)
        open_writers = self.writers.setdefault(direction, set())
        open_writers.update((writer, target_writer))
        self.n_connections += 1
        name = f"{self.n_connections}~{pair.source}~{pair.target}"
        forward = self._relay(
            pair.source, pair.target, reader, target_writer, f"{name}~{FROM_DIALLER}"
        )
        backward = self._relay(
            pair.target, pair.source, target_reader, writer, f"{name}~{FROM_LISTENER}"
        )
        await asyncio.gather(forward, backward)
        open_writers.difference_update((writer, target_writer))

    async def _relay(
        self,
        source: str,
        target: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        capture_name: str,
    ) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(QUEUED_CHUNKS_MAX)

        async def read() -> None:
            try:
                while data := await reader.read(READ_BYTES):
                    self._capture(capture_name, data)
                    await queue.put((self._due_s(source, target, len(data)), data))
            except OSError:
                pass
            await queue.put((0.0, b""))

        task = asyncio.create_task(read())
        self.tasks.add(task)
        try:
            while True:
                due_s, data = await queue.get()
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
        shared_rule = self.shared_rules.get(
            self.shared_rule_names.get((source, target), "")
        )
        for limit in (rule, shared_rule):
            if limit is not None and limit.bytes_per_s:
                start_s = max(limit.next_free_s, time.monotonic())
                limit.next_free_s = start_s + n_bytes / limit.bytes_per_s
                due_s = max(due_s, limit.next_free_s + rule.delay_s)
        return due_s

    async def _wait(self, source: str, target: str, due_s: float) -> None:
        rule = self.rule(source, target)
        await rule.is_unblocked.wait()
        delay_s = due_s - time.monotonic()
        if delay_s > 0:
            await asyncio.sleep(delay_s)


async def run_proxy(
    pairs: list[Pair], control_port: int, capture_folder: Path | None
) -> None:
    """Run the proxy until cancelled."""
    proxy = FaultProxy(capture_folder=capture_folder)
    servers = [await proxy.listen(pair) for pair in pairs]

    async def change_rules(request: web.Request) -> web.Response:
        for rule_change in await request.json():
            proxy.apply(rule_change)
        return web.json_response({})

    async def get_byte_counts(request: web.Request) -> web.Response:
        rows = [[*direction, rule.n_bytes] for direction, rule in proxy.rules.items()]
        return web.json_response(rows)

    app = web.Application()
    app.router.add_post("/rules", change_rules)
    app.router.add_get("/counts", get_byte_counts)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", control_port).start()
    await asyncio.gather(*(server.serve_forever() for server in servers))


def main() -> None:
    """Run the proxy from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--pairs", type=Path, required=True, help="JSON list of pairs")
    parser.add_argument("--control-port", type=int, required=True)
    parser.add_argument("--capture", type=Path, help="folder for all relayed bytes")
    arguments = parser.parse_args()
    pairs = [Pair(*row) for row in json.loads(arguments.pairs.read_text())]
    asyncio.run(run_proxy(pairs, arguments.control_port, arguments.capture))


if __name__ == "__main__":
    main()
