"""How old a host's configuration may be.

The host keeps the time on its own clock as of which its configuration held every
acknowledged change. A reply of a control host proves this as of the time at which it
was asked for, so a slow reply makes the state look older and never younger.
"""

from bergamotferry.fleet_messages import FleetChanges

from ..direct_host import DirectHost

NS_PER_MS = 1_000_000
# Logged instead of an age while nothing has been confirmed.
UNKNOWN_AGE_MS = -1


def record_confirmation(host: DirectHost, reply: FleetChanges, asked_ns: int) -> None:
    """Record that a reply, which was applied before, confirms the configuration.

    It does not if its sender is not current or lags behind what is known here, or if
    its configuration could not be decoded.
    """
    is_applied = (
        reply.revision == host.revision
        and reply.configuration_version <= host.configuration.version
    )
    if reply.is_current and is_applied:
        host.confirmed_ns = max(host.confirmed_ns, asked_ns)


def state_age_ms(host: DirectHost, now_ns: int) -> int:
    """Return how old the configuration may be; `UNKNOWN_AGE_MS` if that is unknown."""
    if not host.confirmed_ns:
        return UNKNOWN_AGE_MS
    return (now_ns - host.confirmed_ns) // NS_PER_MS


def is_older_than(host: DirectHost, bound_ms: float, now_ns: int) -> bool:
    """Return whether the configuration may be older than a bound."""
    is_known = host.confirmed_ns > 0
    return not is_known or now_ns - host.confirmed_ns > bound_ms * NS_PER_MS
