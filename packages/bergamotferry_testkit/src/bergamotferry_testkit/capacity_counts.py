"""The counts at the target size: required, derived from required ones, or assumed.

Every term of the capacity page multiplies a measured slope by counts of this module, so
that each assumption is changed in one place.
"""

import math
from dataclasses import dataclass
from typing import NamedTuple

N_NODES = 2300
N_KEYS = 2_200_000_000
N_HOT_KEYS = 73
N_REQUESTS_PER_S = 17_000_000
REQUEST_TARGET_MS = 17.0
SERVE_AGAIN_TARGET_MS = 1000.0
IN_FORCE_TARGET_MS = 5000.0
N_DATA_CENTRES = 17
N_REGIONS = 7
N_NOTES_PER_DAY = 2000
CONTROL_CPU_PERCENT = 3.9
CONTROL_MEMORY_MB = 128.0
CONTROL_BYTES_PER_S = 2000.0
N_CONTROL_HOSTS_MAX = 7
N_FAILURES_PER_DAY = 4
N_RESTARTS_PER_DAY = 170

HOST_SHARE = 0.2
N_SLOTS_PER_UPSTREAM = 2
SERVICE_TIME_MS = 5.0
N_SHARDS = 32_768
# Shards of one data centre in `make demo`: (256 + 256 + 64) / 4 data centres.
N_SHARDS_TODAY = 144
FILING_SHARE = 0.12
N_ENTRIES_PER_NOTE = 2
N_ACCOUNTS = 1000
N_CONNECTIONS_PER_HOST = 2000
PARTITION_S = 3600
DAY_S = 86_400

# One-way latencies. Between data centres of a region they range from 0.5 to 1.4 ms; the
# lower value also serves as the upper bound within a data centre.
DATA_CENTRES_ONE_WAY_MS = (0.5, 1.4)
REGIONS_ONE_WAY_MS = 12.0
CLIENT_ONE_WAY_MS = 8.0


@dataclass(frozen=True, slots=True)
class Counts:
    """Counts derived from the number of nodes that are hosts."""

    n_hosts: int

    @property
    def n_upstreams(self) -> int:
        """Nodes that are not hosts."""
        return N_NODES - self.n_hosts

    @property
    def hosts_per_data_centre(self) -> int:
        """Hosts per data centre, rounded up."""
        return math.ceil(self.n_hosts / N_DATA_CENTRES)

    @property
    def upstreams_per_data_centre(self) -> int:
        """Upstreams per data centre, rounded up."""
        return math.ceil(self.n_upstreams / N_DATA_CENTRES)

    @property
    def upstreams_per_host(self) -> int:
        """Upstreams that a host dispatches for, rounded up."""
        return math.ceil(self.n_upstreams / self.n_hosts)

    @property
    def shards_per_data_centre(self) -> int:
        """Shards per data centre, rounded up."""
        return math.ceil(N_SHARDS / N_DATA_CENTRES)

    @property
    def shards_per_upstream(self) -> float:
        """Shards that an upstream owns on average."""
        return N_SHARDS / self.n_upstreams

    @property
    def requests_per_host_s(self) -> float:
        """Requests per second that a host takes from callers; it dispatches as many."""
        return N_REQUESTS_PER_S / self.n_hosts

    @property
    def in_flight_per_host(self) -> float:
        """Requests in flight in each of a host's two roles, at the 17 ms target."""
        return self.requests_per_host_s * REQUEST_TARGET_MS / 1000

    @property
    def filings_per_data_centre_s(self) -> float:
        """Non-idempotent requests per second that reach one data centre."""
        return N_REQUESTS_PER_S * FILING_SHARE / N_DATA_CENTRES


TARGET_COUNTS = Counts(round(N_NODES * HOST_SHARE))


class CountRow(NamedTuple):
    """A row in the table of counts: what is counted, its value, where it comes from."""

    subject: str
    value: str
    source: str


def count_rows(counts: Counts) -> list[CountRow]:
    """Return the rows of the table of counts, the required counts first."""
    return [*_required_rows(), *_node_rows(counts), *_shard_rows(counts), *_load_rows()]


def _required_rows() -> list[CountRow]:
    return [
        CountRow("nodes", f"{N_NODES:,}", "letter"),
        CountRow("keys", f"{N_KEYS:,}", "letter"),
        CountRow("requests per s", f"{N_REQUESTS_PER_S:,}", "letter"),
        CountRow("regions, data centres", f"{N_REGIONS}, {N_DATA_CENTRES}", "letter"),
        CountRow("changes of configuration", f"{N_NOTES_PER_DAY:,} a day", "letter"),
    ]


def _node_rows(counts: Counts) -> list[CountRow]:
    return [
        CountRow(
            "hosts",
            f"{counts.n_hosts}",
            f"assumed {HOST_SHARE:.0%} of the nodes: today 8 to 12 hosts stand beside "
            "30 or 41 upstreams, and no process of ours runs on an upstream",
        ),
        CountRow("upstreams", f"{counts.n_upstreams:,}", "the other nodes"),
        CountRow(
            "hosts, upstreams per data centre",
            f"{counts.hosts_per_data_centre}, {counts.upstreams_per_data_centre}",
            "even split, rounded up",
        ),
        CountRow(
            "upstreams per dispatcher",
            f"{counts.upstreams_per_host}",
            "even split, rounded up",
        ),
    ]


def _shard_rows(counts: Counts) -> list[CountRow]:
    return [
        CountRow(
            "shards",
            f"{N_SHARDS:,}",
            f"chosen: {counts.shards_per_upstream:.1f} per upstream, so that the 10% "
            "slack of placement is more than one shard; below the limit of 65,536",
        ),
        CountRow(
            "shards per data centre",
            f"{counts.shards_per_data_centre:,}",
            "even split, rounded up",
        ),
        CountRow(
            "keys per shard",
            f"{N_KEYS / N_SHARDS:,.0f}",
            "no state depends on it",
        ),
        CountRow(
            "requests per host and s",
            f"{counts.requests_per_host_s:,.0f}",
            "even split; each is taken by one host and dispatched by another",
        ),
        CountRow(
            "requests held per host and role",
            f"{counts.in_flight_per_host:,.0f}",
            f"at {REQUEST_TARGET_MS:g} ms each",
        ),
    ]


def _load_rows() -> list[CountRow]:
    return [
        CountRow(
            "callers' connections per host", f"{N_CONNECTIONS_PER_HOST:,}", "assumed"
        ),
        CountRow("accounts", f"{N_ACCOUNTS:,}", "assumed"),
        CountRow("home regions", f"{N_REGIONS}", "assumed, one for each region"),
        CountRow(
            "non-idempotent requests",
            f"{FILING_SHARE:.0%}",
            "assumed, the share of `make demo`; costs a commit before and one after",
        ),
        CountRow(
            "slots, service time",
            f"{N_SLOTS_PER_UPSTREAM}, {SERVICE_TIME_MS:g} ms",
            "today's slots; the time is assumed",
        ),
        CountRow("entries in a release note", f"{N_ENTRIES_PER_NOTE}", "assumed"),
    ]
