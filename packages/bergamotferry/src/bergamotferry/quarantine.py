"""Requests that end the upstreams that run them.

When an upstream ends, each request that ran on it is suspected. A suspected request
runs alone on its upstream: if that goes well it is cleared, and if the upstream ends
again nothing else can be to blame, and the request is quarantined. It is refused from
then on, until an operator or time releases it. The group's log carries the verdicts, so
they hold on every host of the data centre that owns the key, whoever dispatches.
"""

import hashlib
from typing import TYPE_CHECKING, Literal

from .commands import RecordCrash
from .outcomes import Accepted
from .records import QuarantineRecord

if TYPE_CHECKING:
    from .data_centre_tables import DataCentreTables

N_QUARANTINE_MAX = 10_000
QUARANTINE_KEPT_S = 900
# One end makes it suspected and one alone settles it.
N_UPSTREAMS_ENDED_MAX = 2

Verdict = Literal["clear", "suspected", "quarantined"]


def request_fingerprint(
    service: str, route: str, key: str, range_header: str, content: bytes | None
) -> str:
    """Return a digest that stands for the content of a request, whoever sends it."""
    parts = (service, route, key, range_header)
    digest = hashlib.sha256(b"\x00".join(part.encode() for part in parts))
    digest.update(b"\x00" + (content or b""))
    return digest.hexdigest()


def record_crash(tables: "DataCentreTables", command: RecordCrash) -> Accepted:
    """Record that an upstream's incarnation ended while a request ran on it."""
    known = tables.quarantine.get(command.fingerprint)
    ended = (command.upstream, command.incarnation)
    if known is not None and (known.upstream, known.incarnation) == ended:
        # The same end was reported before, perhaps by a command sent twice.
        return Accepted(known.n_crashes)
    if known is None and len(tables.quarantine) >= N_QUARANTINE_MAX:
        oldest = min(tables.quarantine.values(), key=lambda row: row.recorded_at_s)
        del tables.quarantine[oldest.fingerprint]
    n_crashes = (known.n_crashes if known else 0) + 1
    was_quarantined = known is not None and known.is_quarantined
    tables.quarantine[command.fingerprint] = QuarantineRecord(
        command.fingerprint,
        command.service,
        n_crashes,
        was_quarantined or (command.is_alone and known is not None),
        command.recorded_at_s,
        command.upstream,
        command.incarnation,
    )
    return Accepted(n_crashes)


def verdict_on(tables: "DataCentreTables", fingerprint: str, now_s: int) -> Verdict:
    """Return whether a request may run, and whether it must run alone."""
    known = tables.quarantine.get(fingerprint)
    if known is None:
        return "clear"
    if known.is_quarantined and known.recorded_at_s + QUARANTINE_KEPT_S > now_s:
        return "quarantined"
    return "suspected"
