"""Processes with clocks of their own in simulated time, for seeded simulations.

Each process has a clock with its own zero and rate that counts freezes. What a process
is to do while it is frozen it does when it resumes, in order.
"""

import heapq
from itertools import count
from random import Random

NS_PER_S = 1_000_000_000
# The rates of two clocks differ by a hundredth at most.
RATE_ERROR = 0.005


class Process:
    """A process with its own clock, which may be frozen until some time."""

    def __init__(self, rng):
        self.zero_s = rng.uniform(0, 1e6)
        self.rate = 1 + rng.uniform(-RATE_ERROR, RATE_ERROR)
        self.frozen_until_s = 0.0

    def clock_ns(self, at_s):
        return int((self.zero_s + at_s * self.rate) * NS_PER_S)


class EventWorld:
    """The events to come, and the time of the present one."""

    def __init__(self, seed):
        self.rng = Random(seed)
        self.events = []
        self.numbers = count()
        self.now_s = 0.0

    def at(self, delay_s, process, act):
        """Let a process act after a delay, or as soon as it is no longer frozen."""
        entry = (self.now_s + delay_s, next(self.numbers), process, act)
        heapq.heappush(self.events, entry)

    def run_until(self, end_s):
        while self.events and self.events[0][0] < end_s:
            at_s, number, process, act = heapq.heappop(self.events)
            self.now_s = at_s
            if process is not None and process.frozen_until_s > at_s:
                entry = (process.frozen_until_s, number, process, act)
                heapq.heappush(self.events, entry)
                continue
            act()
