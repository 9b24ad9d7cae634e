"""State of a soak: requests, observations and faults, from which the check decides."""

import itertools
import random
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import aiohttp
from host_mesh import HostMesh
from platform_fleet import Fleet
from platform_soak_keys import HeldKeys, KeyedUpstream
from platform_soak_upstream import NETWORK, PROXY_IP, Run, SoakUpstream

from bergamotferry_testkit.fault_proxy import FaultProxy

CORES = [f"{NETWORK}.{number}.1" for number in (1, 2, 3)]
EDGES = [f"{NETWORK}.{number}.9" for number in (1, 2)]
N_UPSTREAMS = 4
UPSTREAMS = [str(number) for number in range(N_UPSTREAMS)]
N_KEYED_UPSTREAMS = 4
KEYED_UPSTREAMS = [f"holder {number}" for number in range(N_KEYED_UPSTREAMS)]
KINDS = ("safe", "unsafe", "download", "keyed", "keyed-once")
KEYED_KINDS = ("keyed", "keyed-once")
# Requests that are sent ahead on one connection; they are safe.
AHEAD_KIND = "ahead"
# Answers of these kinds may be large, and are then sent in parts.
LARGE_KINDS = ("download", AHEAD_KIND)
# Requests of these kinds may run once at most.
ONCE_KINDS = ("unsafe", "keyed-once")
# Rate of each entry host's link. Answers of over 40,000 bytes are large for it.
LINK_MBPS = 8.0
# Time after the acknowledgement of a configuration until all control hosts return it.
APPLY_S = 2.0
RECOVERY_TIMEOUT_S = 30.0


@dataclass
class Call:
    """One request of a caller; ``status`` is 0 if no whole answer came.

    ``is_unreadable`` is set if bytes came in place of an answer.
    """

    request_id: str
    kind: str
    edge: str
    began_s: float
    ended_s: float = 0.0
    status: int = 0
    body: bytes = b""
    content: str = "1"
    method: str = "POST"
    is_unreadable: bool = False

    @property
    def path(self) -> str:
        """Path of the request."""
        return f"/{self.kind}/{self.content}"


class End(NamedTuple):
    """The end of an upstream that ran a request which ends its upstreams."""

    at_s: float
    path: str
    request_id: str


@dataclass
class Soak:
    """One run: its processes, requests, observations and injected faults.

    ``runs`` are the requests that upstreams began to run, and ``broken_off`` the ids of
    those whose answers upstreams broke off. ``breaks`` are the times at which
    connections to upstreams were broken. ``acknowledged`` and ``reads`` pair a time
    with a configuration version: the time of the acknowledgement, and the start of the
    read. ``stops`` are planned stops (host, start, end, exit status), ``hard_faults``
    the kills, freezes and lost disks (host, time). ``versions`` yields the versions of
    further configurations. ``occupied`` are the targets that a running fault affects.
    ``ends`` are the ends of upstreams under requests. ``down`` are the hosts that are
    killed or frozen, and ``returns`` when a host ran again (host, time). ``blackouts``
    are the spans (start, end) in which no control host ran. ``n_odd_by_kind`` counts
    the odd answers of the upstreams. ``account_calls`` and ``account_runs`` are the
    requests with API keys, as callers sent and upstreams ran them. ``disturbed_cores``
    are the control hosts whose links to other hosts ``mesh`` disturbs. With
    ``is_ending`` the operator of evacuations orders nothing more, and
    ``evacuation_faults`` has a line for each order that did not hold.
    """

    fleet: Fleet
    rng: random.Random
    http: aiohttp.ClientSession
    proxy: FaultProxy = field(default_factory=lambda: FaultProxy(listen_ip=PROXY_IP))
    upstreams: list[SoakUpstream] = field(default_factory=list)
    keyed_upstreams: list[KeyedUpstream] = field(default_factory=list)
    held: HeldKeys = field(default_factory=HeldKeys)
    runs: list[Run] = field(default_factory=list)
    broken_off: list[str] = field(default_factory=list)
    breaks: list[float] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    acknowledged: list[tuple[float, int]] = field(default_factory=list)
    reads: list[tuple[float, int]] = field(default_factory=list)
    stops: list[tuple[str, float, float, int]] = field(default_factory=list)
    hard_faults: list[tuple[str, float]] = field(default_factory=list)
    versions: itertools.count = field(default_factory=lambda: itertools.count(2))
    n_faults_by_kind: Counter[str] = field(default_factory=Counter)
    n_odd_by_kind: Counter[str] = field(default_factory=Counter)
    occupied: set[str] = field(default_factory=set)
    ends: list[End] = field(default_factory=list)
    down: set[str] = field(default_factory=set)
    returns: list[tuple[str, float]] = field(default_factory=list)
    blackouts: list[tuple[float, float]] = field(default_factory=list)
    blackout_began_s: float = 0.0
    account_calls: list[Any] = field(default_factory=list)
    account_runs: list[Any] = field(default_factory=list)
    mesh: HostMesh = field(default_factory=lambda: HostMesh([*CORES, *EDGES]))
    disturbed_cores: set[str] = field(default_factory=set)
    n_evacuations: int = 0
    evacuation_faults: list[str] = field(default_factory=list)
    is_ending: bool = False

    def record_down(self, ip: str) -> None:
        """Record that a host was killed, stopped or frozen."""
        self.down.add(ip)
        if self.down.issuperset(CORES):
            self.blackout_began_s = time.monotonic()

    def record_return(self, ip: str) -> None:
        """Record that a host runs again."""
        if ip not in self.down:
            return
        if self.down.issuperset(CORES) and ip in CORES:
            self.blackouts.append((self.blackout_began_s, time.monotonic()))
        self.down.remove(ip)
        self.returns.append((ip, time.monotonic()))

    is_finished: bool = False
