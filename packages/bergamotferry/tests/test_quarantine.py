"""Suspicion, trial alone, quarantine and release."""

from bergamotferry.commands import RecordCrash, ReleaseQuarantine
from bergamotferry.data_centre_tables import DataCentreTables, apply_data_centre_command
from bergamotferry.quarantine import (
    N_UPSTREAMS_ENDED_MAX,
    QUARANTINE_KEPT_S,
    request_fingerprint,
    verdict_on,
)

NOW_S = 1000


def crash(fingerprint, incarnation, is_alone, at_s=NOW_S):
    return RecordCrash(fingerprint, "testlog", at_s, "u1", incarnation, is_alone)


# Commands in turn, and the verdict on "p" after them.
TABLE = [
    ([], "clear"),
    ([crash("p", 1, False)], "suspected"),
    # A first end settles nothing, even alone: anything may have ended the upstream.
    ([crash("p", 1, True)], "suspected"),
    ([crash("p", 1, True), crash("p", 1, True)], "suspected"),
    ([crash("p", 1, False), crash("p", 2, False)], "suspected"),
    ([crash("p", 1, False), crash("p", 2, True)], "quarantined"),
    ([crash("p", 1, False), crash("p", 2, True), crash("p", 3, False)], "quarantined"),
    ([crash("p", 1, False), ReleaseQuarantine("p")], "clear"),
    (
        [crash("p", 1, False), crash("p", 2, True), ReleaseQuarantine("p")],
        "clear",
    ),
    ([crash("q", 1, False), crash("q", 2, True)], "clear"),
]


def test_verdicts():
    for commands, verdict in TABLE:
        tables = DataCentreTables()
        for command in commands:
            apply_data_centre_command(tables, command)
        assert verdict_on(tables, "p", NOW_S) == verdict, commands


def test_time_releases_to_a_trial_alone():
    tables = DataCentreTables()
    for command in (crash("p", 1, False), crash("p", 2, True)):
        apply_data_centre_command(tables, command)
    later_s = NOW_S + QUARANTINE_KEPT_S
    assert verdict_on(tables, "p", later_s - 1) == "quarantined"
    assert verdict_on(tables, "p", later_s) == "suspected"
    apply_data_centre_command(tables, crash("p", 3, True, later_s))
    assert verdict_on(tables, "p", later_s) == "quarantined"


def test_a_request_that_always_ends_its_upstream_ends_the_stated_number():
    tables = DataCentreTables()
    n_ended = 0
    for _ in range(50):
        verdict = verdict_on(tables, "p", NOW_S)
        if verdict != "quarantined":
            n_ended += 1
            command = crash("p", n_ended, verdict == "suspected")
            apply_data_centre_command(tables, command)
    assert n_ended == N_UPSTREAMS_ENDED_MAX


def test_fingerprints_tell_requests_apart():
    rows = {
        request_fingerprint(*row)
        for row in (
            ("s", "r", "k", "", None),
            ("s", "r", "k", "bytes=1-", None),
            ("s", "r", "k2", "", None),
            ("s", "r", "k", "", b"body"),
            ("s", "rk", "", "", None),
        )
    }
    assert len(rows) == 5
