"""Upstreams for tests whose process ends when it runs a certain request.

Each upstream listens at an address of its own. When it ends, it closes its listening
socket and all connections at once, as the kernel does for a process that has crashed,
and comes back later under a new name.
"""

import asyncio
import time
from collections.abc import Callable

from aiohttp import web
from platform_fleet import heartbeat, not_run_answer

BACK_AFTER_S = 1.0


class EndingUpstream:
    """An upstream that ends under every request for which ``ends_under`` is true.

    ``ends_s`` are the times at which it ended, and ``runs`` the ids of all requests
    that it began to run.
    """

    def __init__(
        self, number: int, address: str, ends_under: Callable[[web.Request], bool]
    ) -> None:
        self.number = number
        self.address = address
        self.ends_under = ends_under
        self.incarnation = 1
        self.sequence = 0
        self.ends_s: list[float] = []
        self.runs: list[str] = []
        self.runner: web.AppRunner | None = None
        self.restart: asyncio.Task[None] | None = None

    @property
    def name(self) -> str:
        return f"i-{self.number}-{self.incarnation}"

    def next_heartbeat(self) -> dict[str, object]:
        self.sequence += 1
        return heartbeat(
            self.sequence, address=self.address, incarnation=self.incarnation
        )

    async def start(self) -> None:
        app = web.Application()
        app.router.add_get("/health", self.on_health)
        app.router.add_route("*", "/{path:.*}", self.on_request)
        self.runner = web.AppRunner(app, shutdown_timeout=0.01)
        await self.runner.setup()
        ip, port = self.address.split(":")
        await web.TCPSite(self.runner, ip, int(port), reuse_address=True).start()

    async def stop(self) -> None:
        if self.restart is not None:
            await self.restart
        await self.runner.cleanup()

    async def on_health(self, request: web.Request) -> web.Response:
        headers = {"X-Instance-Id": self.name, "X-Server-Load": "0,0,2,100"}
        return web.Response(headers=headers)

    async def on_request(self, request: web.Request) -> web.Response:
        if request.headers.get("X-Expected-Instance") != self.name:
            return not_run_answer(request)
        request_id = request.headers["X-Request-Id"]
        self.runs.append(request_id)
        await asyncio.sleep(0.02)
        if self.ends_under(request):
            self.end()
        headers = {"X-Request-Id": request_id, "X-Response-Seal": "s"}
        return web.Response(text="whole", headers=headers)

    def end(self) -> None:
        """End as a crashed process does, and come back later under a new name."""
        if self.restart is not None and not self.restart.done():
            return
        self.ends_s.append(time.monotonic())
        for site in list(self.runner.sites):
            site._server.close()
        for connection in self.runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        self.restart = asyncio.create_task(self._restart())

    async def _restart(self) -> None:
        await self.runner.cleanup()
        await asyncio.sleep(BACK_AFTER_S)
        self.incarnation += 1
        self.sequence = 0
        await self.start()
