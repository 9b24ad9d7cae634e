"""Quarantines requests that crash the upstreams that run them.

When an upstream crashes, each request that ran on it becomes suspected. A suspected
request runs alone on its upstream. If the request succeeds, it is cleared. If the
upstream crashes during this run, no other request can be the cause, and the request is
quarantined: it is refused until an operator releases it or the quarantine expires.
After the expiry the request is suspected again.

Crashes are recorded in the group's log. The verdicts therefore apply on every host of
the data centre that owns the key, whichever host dispatches.
"""

import hashlib
from typing import TYPE_CHECKING, Literal

from ..commands import RecordCrash
from ..outcomes import Accepted
from ..records import QuarantineRecord

if TYPE_CHECKING:
    from ..data_centre_tables import DataCentreTables

N_RECORDS_MAX = 10_000
QUARANTINE_DURATION_S = 900
# Number of upstreams that one request can crash: the first crash makes the request
# suspected, and a second crash, while the request runs alone, quarantines it.
N_UPSTREAMS_CRASHED_MAX = 2

Verdict = Literal["clear", "suspected", "quarantined"]


def request_fingerprint(
    service: str, route: str, key: str, range_header: str, content: bytes | None
) -> str:
    """Return a digest of the content of a request, the same for every caller."""
    parts = (service, route, key, range_header)
    digest = hashlib.sha256(b"\x00".join(part.encode() for part in parts))
    digest.update(b"\x00" + (content or b""))
    return digest.hexdigest()


def record_crash(tables: "DataCentreTables", command: RecordCrash) -> Accepted:
    """Record that an incarnation of an upstream crashed while a request ran on it."""
    record = tables.quarantine.get(command.fingerprint)
    crashed = (command.upstream, command.incarnation)
    if record is not None and (record.upstream, record.incarnation) == crashed:
        # The crash was already recorded, perhaps by a command that was proposed twice.
        return Accepted(record.n_crashes)
    if record is None and len(tables.quarantine) >= N_RECORDS_MAX:
        oldest = min(tables.quarantine.values(), key=lambda row: row.recorded_at_s)
        del tables.quarantine[oldest.fingerprint]
    n_crashes = (record.n_crashes if record else 0) + 1
    was_quarantined = record is not None and record.is_quarantined
    tables.quarantine[command.fingerprint] = QuarantineRecord(
        command.fingerprint,
        command.service,
        n_crashes,
        was_quarantined or (command.is_alone and record is not None),
        command.recorded_at_s,
        command.upstream,
        command.incarnation,
    )
    return Accepted(n_crashes)


def verdict_on(tables: "DataCentreTables", fingerprint: str, now_s: int) -> Verdict:
    """Return whether a request may run, must run alone, or is refused."""
    record = tables.quarantine.get(fingerprint)
    if record is None:
        return "clear"
    if record.is_quarantined and record.recorded_at_s + QUARANTINE_DURATION_S > now_s:
        return "quarantined"
    return "suspected"
