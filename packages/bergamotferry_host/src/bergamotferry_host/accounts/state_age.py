"""How old a host's configuration may be.

The host keeps the time on its own clock as of which its configuration held every
acknowledged change (see `bergamotferry.accounts.freshness`).
"""

from bergamotferry.accounts import NOT_CONFIRMED_MS, confirmed_at_ns
from bergamotferry.fleet_messages import FleetChanges

from ..direct_host import DirectHost

NS_PER_MS = 1_000_000


def record_confirmation(host: DirectHost, reply: FleetChanges, asked_ns: int) -> None:
    """Record as of when a reply, which was applied before, confirms the configuration.

    It does not if it lags behind what is known here, or if its configuration could not
    be decoded.
    """
    is_applied = (
        reply.revision == host.revision
        and reply.configuration_version <= host.configuration.version
    )
    if is_applied:
        confirmed_ns = confirmed_at_ns(asked_ns, reply.confirmed_age_ms)
        host.confirmed_ns = max(host.confirmed_ns, confirmed_ns)


def state_age_ms(host: DirectHost, now_ns: int) -> int:
    """Return how old the configuration may be; `NOT_CONFIRMED_MS` if unknown."""
    if not host.confirmed_ns:
        return NOT_CONFIRMED_MS
    return (now_ns - host.confirmed_ns) // NS_PER_MS


def is_older_than(host: DirectHost, bound_ms: float, now_ns: int) -> bool:
    """Return whether the configuration may be older than a bound."""
    is_known = host.confirmed_ns > 0
    return not is_known or now_ns - host.confirmed_ns > bound_ms * NS_PER_MS
