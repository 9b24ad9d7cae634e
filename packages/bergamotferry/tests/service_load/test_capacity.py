"""Slots of usual speed, by which the load of a service is judged."""

import pytest

from bergamotferry.configuration import DirectService
from bergamotferry.service_load.capacity import usual_slots
from bergamotferry.upstream_sessions import Session, SessionRow

MS = 1_000_000
SERVICES = {"lamps": DirectService("lamps", "/h", 9, 3.0, 3.0, False, 0.0)}


def session(name="u", phase="ready", data_centre="a", cold_left_ms=0, service="lamps"):
    row = SessionRow(
        name, 1, 1, service, "1.1.1.1:1", data_centre, 4, phase, cold_left_ms
    )
    return Session(row, 0, 0, 1)


def slots(*sessions, work_ms=None, times=None, evacuated=(), now_ns=0):
    return usual_slots(
        sessions, SERVICES, evacuated, work_ms or {}, times or {}, now_ns
    )


def test_only_ready_upstreams_of_configured_services_and_open_data_centres_count():
    sessions = (
        session("u1"),
        session("u2"),
        session("u3", "draining"),
        session("u4", "lost"),
        session("u5", data_centre="b"),
        session("u6", service="unknown"),
    )
    assert slots(*sessions, evacuated=("b",)) == {("lamps", "a"): 8.0}


def test_speed_weighs_slots():
    times = {"u": 2.0, "v": 0.5}
    found = slots(session("u"), session("v"), times=times)
    assert found == {("lamps", "a"): 4 / 2.0 + 4 / 0.5}


@pytest.mark.parametrize(
    ("work_ms", "now_ms", "expected"),
    [
        ({"lamps": 250.0}, 0, 0.75),
        ({"lamps": 250.0}, 2_999, 0.75),
        ({"lamps": 250.0}, 3_000, 4.0),
        ({"lamps": 9_000.0}, 0, 4.0),
        ({}, 0, 4.0),
    ],
)
def test_cold_upstream_counts_as_what_it_may_run_until_it_is_warm(
    work_ms, now_ms, expected
):
    """It may run 3 requests a second for 3 s, here of 250 ms each."""
    found = slots(session(cold_left_ms=3_000), work_ms=work_ms, now_ns=now_ms * MS)
    assert found == {("lamps", "a"): expected}
