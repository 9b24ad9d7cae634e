"""Draws the faults of a soak from its seed."""

import random
from typing import NamedTuple

from platform_soak_state import CORES, EDGES, KEYED_UPSTREAMS, UPSTREAMS

FAULT_INTERVAL_S = (0.4, 1.6)
FAULTS = (
    ("kill", CORES),
    ("kill", EDGES),
    ("freeze", CORES),
    ("freeze", EDGES),
    ("stop", CORES),
    ("stop", EDGES),
    ("hangup", [*CORES, *EDGES]),
    ("crash", [*UPSTREAMS, *KEYED_UPSTREAMS]),
    ("replace", [*UPSTREAMS, *KEYED_UPSTREAMS]),
    ("slow link", UPSTREAMS),
    ("silent request link", UPSTREAMS),
    ("silent answer link", UPSTREAMS),
    ("reset link", UPSTREAMS),
    ("configure", [""]),
    ("configure many routes", [""]),
    ("kill all cores", [""]),
    ("lose disk", CORES),
)


HOST_LINK_FAULTS = ("cut host", "cut host one way", "slow host", "reset host")
HOST_LINK_INTERVAL_S = (0.5, 2.0)
HOST_LINK_DURATION_S = (0.8, 2.4)


class Fault(NamedTuple):
    """One fault: its kind, its target and its duration.

    ``delay_s`` counts from the start of the previous fault. ``target`` is the address
    of a host or the name of an upstream, or empty for faults of the whole deployment.
    """

    delay_s: float
    kind: str
    target: str
    duration_s: float


def draw_host_link_plan(seed: int, seconds: float) -> list[Fault]:
    """Draw the faults of links between hosts, apart from those of `draw_plan`.

    The plans of seeds that once failed stay as they were.
    """
    rng = random.Random(f"host links {seed}")
    plan: list[Fault] = []
    while sum(fault.delay_s for fault in plan) < seconds:
        kind, core = rng.choice(HOST_LINK_FAULTS), rng.choice(CORES)
        delay_s = rng.uniform(*HOST_LINK_INTERVAL_S)
        duration_s = rng.uniform(*HOST_LINK_DURATION_S)
        plan.append(Fault(delay_s, kind, core, duration_s))
    return plan


def draw_plan(seed: int, seconds: float) -> list[Fault]:
    """Draw the faults of a seed; they depend on the seed and the duration only."""
    rng = random.Random(f"plan {seed}")
    plan: list[Fault] = []
    while sum(fault.delay_s for fault in plan) < seconds:
        kind, targets = rng.choice(FAULTS)
        delay_s, duration_s = rng.uniform(*FAULT_INTERVAL_S), rng.uniform(0.1, 2.0)
        plan.append(Fault(delay_s, kind, rng.choice(targets), duration_s))
    return plan
