"""Sends counters, gauges and timings to statsd; docs/OPERATIONS.md lists the names.

Metric names contain no key, account or other request content.
"""

from typing import Protocol

import statsd

from .http_address import split_address

PREFIX = "bergamotferry"


class Metrics(Protocol):
    """The methods of a metrics client that the host uses."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Report a duration in milliseconds."""


class NoMetrics:
    """A client that discards all metrics."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Do nothing."""

    def gauge(self, stat: str, value: float) -> None:
        """Do nothing."""

    def timing(self, stat: str, delta: float) -> None:
        """Do nothing."""


def metrics_from_config(statsd_address: str, host: str) -> Metrics:
    """Return a client for an address; an empty address discards all metrics."""
    if not statsd_address:
        return NoMetrics()
    ip, port = split_address(statsd_address)
    client: Metrics = statsd.StatsClient(ip, port, prefix=f"{PREFIX}.{host}")
    return client
