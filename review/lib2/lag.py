"""Measures how late the event loop of a case runs, to tell its lag from the hosts'."""

import asyncio
import time

TICK_S = 0.01


class LagWatch:
    """The longest delay of this process's event loop, in ms."""

    most_ms = 0.0

    async def __aenter__(self) -> "LagWatch":
        self.task = asyncio.create_task(self.watch())
        return self

    async def __aexit__(self, *_) -> None:
        self.task.cancel()

    async def watch(self) -> None:
        while True:
            due_s = time.monotonic() + TICK_S
            await asyncio.sleep(TICK_S)
            self.most_ms = max(self.most_ms, (time.monotonic() - due_s) * 1000)
