"""Counters, gauges and timings by statsd; names are listed in docs/OPERATIONS.md.

Names hold no key, account or other content of a request.
"""

from typing import Protocol

import statsd

from .http_address import split_address

PREFIX = "bergamotferry"


class Metrics(Protocol):
    """What the host needs of a metrics client."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Count an event."""

    def gauge(self, stat: str, value: float) -> None:
        """Set a level."""

    def timing(self, stat: str, delta: float) -> None:
        """Report a duration in milliseconds."""


class NoMetrics:
    """Takes metrics and sends nothing."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Do nothing."""

    def gauge(self, stat: str, value: float) -> None:
        """Do nothing."""

    def timing(self, stat: str, delta: float) -> None:
        """Do nothing."""


def metrics_from_config(statsd_address: str, host: str) -> Metrics:
    """Return a client for an address, or one that sends nothing."""
    if not statsd_address:
        return NoMetrics()
    ip, port = split_address(statsd_address)
    client: Metrics = statsd.StatsClient(ip, port, prefix=f"{PREFIX}.{host}")
    return client
