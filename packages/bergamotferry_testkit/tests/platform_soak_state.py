"""State of a soak: requests, observations and faults, from which the check decides."""

import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

import aiohttp
from platform_fleet import Fleet
from platform_soak_keys import HeldKeys, KeyedUpstream
from platform_soak_upstream import SoakUpstream

from bergamotferry_testkit.fault_proxy import FaultProxy

CORES = [f"127.8.{number}.1" for number in (1, 2, 3)]
EDGES = [f"127.8.{number}.9" for number in (1, 2)]
KINDS = ("safe", "unsafe", "download", "keyed")
# Rate of each entry host's link. Downloads are large for it and other answers are not.
LINK_MBPS = 20.0
# Time after the acknowledgement of a configuration until all control hosts return it.
APPLY_S = 2.0


@dataclass
class Call:
    """One request of a caller; ``status`` is 0 if no whole answer came."""

    request_id: str
    kind: str
    edge: str
    began_s: float
    ended_s: float = 0.0
    status: int = 0
    body: bytes = b""

    @property
    def path(self) -> str:
        """Path of the request."""
        return f"/{self.kind}/1"


@dataclass
class Soak:
    """One run: its processes, requests, observations and injected faults.

    ``runs`` are the ids of the requests that upstreams began to run, and ``broken_off``
    those whose answers upstreams broke off. ``breaks`` are the times at which
    connections to upstreams were broken. ``acknowledged`` and ``reads`` pair a time
    with a configuration version: the time of the acknowledgement, and the start of the
    read. ``stops`` are planned stops (host, start, end, exit status), ``hard_faults``
    the kills, freezes and lost disks (host, time). ``versions`` yields the versions of
    further configurations. ``occupied`` are the targets that a running fault affects.
    """

    fleet: Fleet
    rng: random.Random
    http: aiohttp.ClientSession
    proxy: FaultProxy = field(default_factory=FaultProxy)
    upstreams: list[SoakUpstream] = field(default_factory=list)
    keyed_upstreams: list[KeyedUpstream] = field(default_factory=list)
    held: HeldKeys = field(default_factory=HeldKeys)
    runs: list[str] = field(default_factory=list)
    broken_off: list[str] = field(default_factory=list)
    breaks: list[float] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    acknowledged: list[tuple[float, int]] = field(default_factory=list)
    reads: list[tuple[float, int]] = field(default_factory=list)
    stops: list[tuple[str, float, float, int]] = field(default_factory=list)
    hard_faults: list[tuple[str, float]] = field(default_factory=list)
    versions: itertools.count = field(default_factory=lambda: itertools.count(2))
    n_faults_by_kind: Counter[str] = field(default_factory=Counter)
    occupied: set[str] = field(default_factory=set)
    is_finished: bool = False
