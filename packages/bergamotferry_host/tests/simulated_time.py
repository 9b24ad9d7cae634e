"""An event loop whose clock advances only while all tasks wait.

Tests of loops that run by the clock get the same result on every machine: no time
passes while code runs, and a pause ends at once, in the order of all pauses. Only code
that uses neither threads nor other processes can run here.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from types import SimpleNamespace

from bergamotferry_host import clock

# Any time at all; the code under test must not take a small one for "never".
START_NS = 1_000_000_000_000


class SimulatedClock:
    """A clock that stands still until it is advanced."""

    def __init__(self) -> None:
        self.now_ns = START_NS

    def install(self, monkeypatch) -> None:
        """Let `bergamotferry_host.clock.now_ns` return the time of this clock."""
        source = SimpleNamespace(clock_gettime_ns=lambda _: self.now_ns)
        monkeypatch.setattr(clock, "time", source)

    def run(self, coroutine: Coroutine[None, None, object]) -> None:
        """Run a coroutine in an event loop that uses this clock."""
        with asyncio.Runner(loop_factory=lambda: _SimulatedLoop(self)) as runner:
            runner.run(coroutine)


class _SimulatedSelector(selectors.SelectSelector):
    """Advances a clock by the time for which it would wait."""

    def __init__(self, simulated_clock: SimulatedClock) -> None:
        super().__init__()
        self._clock = simulated_clock

    def select(self, timeout=None):
        events = super().select(0)
        if events or timeout == 0:
            return events
        assert timeout is not None, "all tasks wait for something that never comes"
        # Rounded up, so that the time waited for has come.
        self._clock.now_ns += int(timeout * 1e9) + 1
        return events


class _SimulatedLoop(asyncio.SelectorEventLoop):
    def __init__(self, simulated_clock: SimulatedClock) -> None:
        super().__init__(_SimulatedSelector(simulated_clock))
        self._clock = simulated_clock

    def time(self) -> float:
        return self._clock.now_ns / 1e9
