"""A proxy between one control host and all others, which can hold back all bytes.

The control host has peer ports of its own, and the proxy listens where either side
expects the other. While it holds, it reads nothing, so that bytes wait with their
sender; they are lost if the sender resets the connection, and go on if it doesn't.
"""

import asyncio
import contextlib

from fleet import PEER, Fleet, Host

CUT_PEER = PEER + 40


class Cut:
    """The links of one control host; ``begin`` and ``end`` cut and heal them."""

    def __init__(self, fleet: Fleet, host: Host) -> None:
        self.fleet, self.host = fleet, host
        self.is_open = asyncio.Event()
        self.is_open.set()
        host.more["internal-port-range"] = f"{CUT_PEER},{CUT_PEER + 15}"
        self.servers: list[asyncio.Server] = []
        self.transports: set[asyncio.Transport] = set()

    async def start(self) -> None:
        await self.listen(self.host.ip, PEER, CUT_PEER)
        for other in self.fleet.cores + self.fleet.edges:
            if other is not self.host:
                await self.listen(other.ip, CUT_PEER, PEER)

    async def listen(self, ip: str, port: int, target_port: int) -> None:
        async def serve(reader, writer) -> None:
            self.transports.add(writer.transport)
            await self.is_open.wait()
            try:
                far_reader, far_writer = await asyncio.open_connection(ip, target_port)
            except OSError:
                writer.transport.abort()
                return
            self.transports.add(far_writer.transport)
            pumps = [
                asyncio.create_task(self.pump(reader, far_writer)),
                asyncio.create_task(self.pump(far_reader, writer)),
            ]
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            for pump in pumps:
                pump.cancel()
            for transport in (writer.transport, far_writer.transport):
                transport.abort()
                self.transports.discard(transport)

        self.servers.append(await asyncio.start_server(serve, ip, port, limit=4096))

    async def pump(self, reader, writer) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(4096):
                await self.is_open.wait()
                if reader.exception() is not None:
                    return
                writer.write(data)
                await writer.drain()

    def begin(self) -> None:
        self.is_open.clear()

    def end(self) -> None:
        self.is_open.set()

    async def stop(self) -> None:
        for server in self.servers:
            server.close()
        for transport in self.transports:
            transport.abort()
        await asyncio.sleep(0.1)
