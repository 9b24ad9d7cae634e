"""Requests that crash upstreams are suspected, run alone, and are then quarantined."""

from bergamotferry.commands import RecordCrash, ReleaseQuarantine
from bergamotferry.data_centre_tables import DataCentreTables, apply_data_centre_command
from bergamotferry.protection.quarantine import (
    N_UPSTREAMS_CRASHED_MAX,
    QUARANTINE_DURATION_S,
    request_fingerprint,
    verdict_on,
)

NOW_S = 1000


def crash(fingerprint, incarnation, is_alone, at_s=NOW_S):
    return RecordCrash(fingerprint, "testlog", at_s, "u1", incarnation, is_alone)


# Commands in order, and the verdict on request "p" after them.
CASES = [
    ([], "clear"),
    ([crash("p", 1, False)], "suspected"),
    # A first crash proves nothing, even if the request ran alone: the upstream may have
    # crashed for another reason.
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


def test_verdict_follows_from_crashes_and_releases():
    for commands, verdict in CASES:
        tables = DataCentreTables()
        for command in commands:
            apply_data_centre_command(tables, command)
        assert verdict_on(tables, "p", NOW_S) == verdict, commands


def test_expired_quarantine_allows_a_run_alone():
    tables = DataCentreTables()
    for command in (crash("p", 1, False), crash("p", 2, True)):
        apply_data_centre_command(tables, command)
    later_s = NOW_S + QUARANTINE_DURATION_S
    assert verdict_on(tables, "p", later_s - 1) == "quarantined"
    assert verdict_on(tables, "p", later_s) == "suspected"
    apply_data_centre_command(tables, crash("p", 3, True, later_s))
    assert verdict_on(tables, "p", later_s) == "quarantined"


def test_request_is_quarantined_after_crashing_the_allowed_number_of_upstreams():
    tables = DataCentreTables()
    n_crashed = 0
    for _ in range(50):
        verdict = verdict_on(tables, "p", NOW_S)
        if verdict != "quarantined":
            n_crashed += 1
            command = crash("p", n_crashed, verdict == "suspected")
            apply_data_centre_command(tables, command)
    assert n_crashed == N_UPSTREAMS_CRASHED_MAX


def test_different_requests_have_different_fingerprints():
    fingerprints = {
        request_fingerprint(*request)
        for request in (
            ("s", "r", "k", "", None),
            ("s", "r", "k", "bytes=1-", None),
            ("s", "r", "k2", "", None),
            ("s", "r", "k", "", b"body"),
            ("s", "rk", "", "", None),
        )
    }
    assert len(fingerprints) == 5
