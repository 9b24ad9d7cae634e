"""Permits to run a request under suspicion, which the leader grants one at a time.

A caller may send a request that ends its upstreams at many hosts at once. Each host
knows the same earlier ends, so all of these runs would count as one end. A run
therefore needs a permit as soon as one end is known, and the next permit is granted
when the result of the run before is known, or after a while without one.

Permits are soft state of the leader. A new leader may grant one beside that of the
leader before, so a change of the leader costs one more run at most.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from .crash_records import (
    N_ENDS_MAX,
    NS_PER_MS,
    CrashTable,
    KnownEnds,
    is_trial_due,
    known_ends,
)

# Longer than the proof that an upstream has ended takes to arrive.
PERMIT_NS = 6_000 * NS_PER_MS
# How long the next run waits after one that showed nothing, since the proof that its
# upstream has ended may still come.
RESULT_WAIT_NS = 300 * NS_PER_MS
N_PERMITS_MAX = 1_000


class RunPermit(NamedTuple):
    """A run under way at ``host``, the ends known when it began, and its expiry."""

    host: str
    known: KnownEnds
    until_ns: int


@dataclass(slots=True)
class PermitTable:
    """The permits that this leader granted, by the fingerprint of the request."""

    permits: dict[str, RunPermit] = field(default_factory=dict)


def take_permit(
    permits: PermitTable, table: CrashTable, fingerprint: str, host: str, now_ns: int
) -> bool:
    """Grant a run to a host, unless another one is under way; return whether it may.

    Parameters
    ----------
    permits : PermitTable
        The permits of this leader.
    table : CrashTable
        The records of this leader.
    fingerprint : str
        The fingerprint of the request.
    host : str
        Name of the host that asks.
    now_ns : int
        The present time.
    """
    known = known_ends(table, fingerprint)
    permit = permits.permits.get(fingerprint)
    # Once the ends have changed, the result of the run is known.
    if permit is not None and permit.known == known and now_ns < permit.until_ns:
        return False
    if not is_trial_due(table, fingerprint, now_ns):
        return False
    if len(permits.permits) >= N_PERMITS_MAX:
        _drop_expired(permits, now_ns)
    permits.permits[fingerprint] = RunPermit(host, known, now_ns + PERMIT_NS)
    return True


def end_permit(
    permits: PermitTable,
    fingerprint: str,
    host: str,
    has_lost_upstream: bool,
    now_ns: int,
) -> None:
    """Record that the run of a host is over.

    If it lost the connection to its upstream, the proof that this one has ended may
    still come. After a trial the permit stays until then.
    """
    permit = permits.permits.get(fingerprint)
    if permit is None or permit.host != host:
        return
    if not has_lost_upstream:
        del permits.permits[fingerprint]
        return
    if permit.known.n_ends >= N_ENDS_MAX:
        return
    until_ns = min(permit.until_ns, now_ns + RESULT_WAIT_NS)
    permits.permits[fingerprint] = permit._replace(until_ns=until_ns)


def _drop_expired(permits: PermitTable, now_ns: int) -> None:
    for fingerprint, permit in list(permits.permits.items()):
        if now_ns >= permit.until_ns:
            del permits.permits[fingerprint]
