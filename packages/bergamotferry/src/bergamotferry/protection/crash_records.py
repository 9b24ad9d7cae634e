"""Records which requests upstreams ended under, and decides which may still run.

A request may end the process of each upstream that runs it. Its callers send the same
content again, at any host, so the hosts share what they saw. A request is identified by
a digest of its content; the content itself never leaves the host.

Upstreams also end for other reasons, and every request that they were running is then
under suspicion. Two rules protect requests that are innocent:

- An end counts only if the run began when the earlier ends were known. Upstreams that
  end at the same time, each with a run of a busy key, thus count as one end.
- A run that succeeds clears the request at once, whatever was counted before.

After `N_ENDS_MAX` ends without a success the request is quarantined, and refused. Once
a pause is over, a single run is let through as a trial. A success clears the request.
After `N_TRIALS_MAX` failed trials it is refused until its record is forgotten.

Ends under concurrent runs count as one, so the counts alone don't bound the ends. A
request under suspicion therefore runs in one place at a time, see `run_permits`. Once
the first end is known everywhere, a request that ends each upstream ends at most
``N_ENDS_MAX - 1 + N_TRIALS_MAX`` more, until its record is forgotten.

Hosts exchange records in any order and any number of times. A record is therefore a
pair that only grows: the generation, which a success increments, and the number of ends
in that generation. No clock is compared between hosts; a record travels with its age.
"""

import hashlib
from dataclasses import dataclass, field
from typing import Literal, NamedTuple

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
# A request that has ended this many upstreams, one after the other, is quarantined.
N_ENDS_MAX = 3
# After this many ends, a caller's request is not sent to a further upstream.
N_ENDS_RETRIED_MAX = 1
N_RECORDS_MAX = 500
N_TRIALS_MAX = 1
PAUSE_FIRST_S = 60
# The longest pause that a caller is told. It may come back sooner than a trial.
PAUSE_TOLD_MAX_S = 960
# The hosts' first trials are spread over this time, so that the result of one is known
# before the next host tries.
TRIAL_SPREAD_S = 60
# Pause of one host between two trials. The result of the first comes sooner.
TRIAL_INTERVAL_NS = 10 * NS_PER_S
# Records of requests under suspicion or in quarantine are forgotten after this time. A
# caller that comes back later finds them cleared.
RETENTION_S = 24 * 3600
# Records of cleared requests are kept until the success is known everywhere.
CLEARED_RETENTION_S = 60
# Longer bodies are told apart by their length and their first part.
DIGESTED_BODY_MAX_BYTES = 1_048_576
DIGEST_BYTES = 16
N_LOGGED_CHARACTERS = 8

Verdict = Literal["clear", "suspected", "quarantined"]


class KnownEnds(NamedTuple):
    """The ends that a host knew when it sent a request."""

    generation: int = 0
    n_ends: int = 0


class CrashRecord(NamedTuple):
    """A record as hosts exchange it; ``age_ms`` counts from its last change."""

    fingerprint: str
    generation: int
    n_ends: int
    age_ms: int


class SavedCrash(NamedTuple):
    """A record as a control host saves it; ``changed_at_ms`` is a time of day."""

    fingerprint: str
    generation: int
    n_ends: int
    changed_at_ms: int


@dataclass(slots=True)
class CrashEntry:
    """A record as one host keeps it.

    ``change`` is the number of its last change in the table. ``tried_ns`` is when this
    host last let a trial through.
    """

    known: KnownEnds
    changed_ns: int
    change: int
    tried_ns: int = 0


@dataclass(slots=True)
class CrashTable:
    """All records of a host by fingerprint; ``change`` numbers the last change."""

    entries: dict[str, CrashEntry] = field(default_factory=dict)
    change: int = 0


def request_fingerprint(
    method: str, host_name: str, target: str, credentials: str, body: bytes
) -> str:
    """Return a digest of what is the same whenever a caller sends a request again."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (method, host_name, target, credentials, str(len(body))):
        digest.update(part.encode("utf-8", "surrogateescape") + b"\x00")
    digest.update(memoryview(body)[:DIGESTED_BODY_MAX_BYTES])
    return digest.hexdigest()


def logged_fingerprint(fingerprint: str) -> str:
    """Return the part of a fingerprint that logs show, enough to compare lines."""
    return fingerprint[:N_LOGGED_CHARACTERS]


def known_ends(table: CrashTable, fingerprint: str) -> KnownEnds:
    """Return the ends that are known of a request."""
    entry = table.entries.get(fingerprint)
    return entry.known if entry is not None else KnownEnds()


def verdict_on(
    table: CrashTable, fingerprint: str, host_name: str, now_ns: int
) -> Verdict:
    """Return whether a request may run, may run without retries, or is refused."""
    entry = table.entries.get(fingerprint)
    if entry is None or entry.known.n_ends == 0:
        return "clear"
    if entry.known.n_ends < N_ENDS_MAX:
        return "suspected"
    if quarantine_left_s(table, fingerprint, host_name, now_ns) > 0:
        return "quarantined"
    return "suspected"


def crash_verdicts(table: CrashTable, host_name: str, now_ns: int) -> list[Verdict]:
    """Return the verdict of a host on each recorded request."""
    return [verdict_on(table, name, host_name, now_ns) for name in table.entries]


def quarantine_left_s(
    table: CrashTable, fingerprint: str, host_name: str, now_ns: int
) -> float:
    """Return the time in seconds until a host may let a request through; 0 if it may.

    The next trial of a quarantined request may still be another host's.
    """
    entry = table.entries.get(fingerprint)
    if entry is None or entry.known.n_ends < N_ENDS_MAX:
        return 0.0
    pause_s = _pause_s(entry.known.n_ends) + _trial_delay_s(fingerprint, host_name)
    due_ns = entry.changed_ns + int(pause_s * NS_PER_S)
    if entry.tried_ns:
        due_ns = max(due_ns, entry.tried_ns + TRIAL_INTERVAL_NS)
    return max(0.0, (due_ns - now_ns) / NS_PER_S)


def is_trial_due(table: CrashTable, fingerprint: str, now_ns: int) -> bool:
    """Return whether some host may let a quarantined request through."""
    entry = table.entries.get(fingerprint)
    if entry is None or entry.known.n_ends < N_ENDS_MAX:
        return True
    return now_ns >= entry.changed_ns + _pause_s(entry.known.n_ends) * NS_PER_S


def record_trial(table: CrashTable, fingerprint: str, now_ns: int) -> bool:
    """Record that this host lets a run through; return whether it is a trial."""
    entry = table.entries.get(fingerprint)
    if entry is None or entry.known.n_ends < N_ENDS_MAX:
        return False
    entry.tried_ns = now_ns
    return True


def record_end(
    table: CrashTable, fingerprint: str, known: KnownEnds, now_ns: int
) -> bool:
    """Record that an upstream ended under a request; return whether it counts.

    Parameters
    ----------
    table : CrashTable
        The records of this host.
    fingerprint : str
        The fingerprint of the request.
    known : KnownEnds
        The ends that were known when the run began.
    now_ns : int
        The present time.
    """
    counted = KnownEnds(known.generation, known.n_ends + 1)
    return _merge(table, fingerprint, counted, now_ns, now_ns)


def record_success(table: CrashTable, fingerprint: str, now_ns: int) -> bool:
    """Clear a request that has run well; return whether it was under suspicion."""
    known = known_ends(table, fingerprint)
    if known.n_ends == 0:
        return False
    return _merge(table, fingerprint, KnownEnds(known.generation + 1), now_ns, now_ns)


def record_row(table: CrashTable, row: CrashRecord, now_ns: int) -> bool:
    """Record a row of another host; return whether it was news."""
    known = KnownEnds(row.generation, row.n_ends)
    changed_ns = now_ns - max(0, row.age_ms) * NS_PER_MS
    return _merge(table, row.fingerprint, known, changed_ns, now_ns)


def rows_after(table: CrashTable, change: int, now_ns: int) -> tuple[CrashRecord, ...]:
    """Return the records that changed after the change with the number ``change``."""
    return tuple(
        row_of(table, fingerprint, now_ns)
        for fingerprint, entry in table.entries.items()
        if entry.change > change
    )


def row_of(table: CrashTable, fingerprint: str, now_ns: int) -> CrashRecord:
    """Return the record of a request as hosts exchange it; no ends if there is none."""
    entry = table.entries.get(fingerprint)
    if entry is None:
        return CrashRecord(fingerprint, 0, 0, 0)
    age_ms = max(0, (now_ns - entry.changed_ns) // NS_PER_MS)
    return CrashRecord(fingerprint, entry.known.generation, entry.known.n_ends, age_ms)


def expire_records(table: CrashTable, now_ns: int) -> None:
    """Forget the records that are too old to matter."""
    for fingerprint, entry in list(table.entries.items()):
        if now_ns - entry.changed_ns > _retention_s(entry) * NS_PER_S:
            del table.entries[fingerprint]


def _merge(
    table: CrashTable, fingerprint: str, known: KnownEnds, changed_ns: int, now_ns: int
) -> bool:
    entry = table.entries.get(fingerprint)
    if known <= (entry.known if entry is not None else KnownEnds()):
        return False
    table.change += 1
    merged = CrashEntry(known, changed_ns, table.change)
    if now_ns - changed_ns > _retention_s(merged) * NS_PER_S:
        return False
    table.entries[fingerprint] = merged
    if len(table.entries) > N_RECORDS_MAX:
        _drop_least(table)
    return True


def _drop_least(table: CrashTable) -> None:
    """Drop the record with the fewest ends, of these the oldest."""
    least = min(
        table.entries,
        key=lambda name: (
            table.entries[name].known.n_ends,
            table.entries[name].changed_ns,
        ),
    )
    del table.entries[least]


def _pause_s(n_ends: int) -> int:
    has_trial = n_ends - N_ENDS_MAX < N_TRIALS_MAX
    return PAUSE_FIRST_S if has_trial else RETENTION_S


def _trial_delay_s(fingerprint: str, host_name: str) -> float:
    text = f"{fingerprint} {host_name}".encode()
    digest = hashlib.blake2b(text, digest_size=2).digest()
    return TRIAL_SPREAD_S * int.from_bytes(digest) / 65_536


def _retention_s(entry: CrashEntry) -> int:
    return RETENTION_S if entry.known.n_ends else CLEARED_RETENTION_S
