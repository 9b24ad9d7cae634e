"""Requests whose key has an overloaded holder."""

import pytest
from direct_harness import HEADER_NAMES, route, run_with_harness, served

from bergamotferry.cold_rate import record_cold
from bergamotferry.fleet_tables import KeyRange
from bergamotferry.upstream_load import WorkTime
from bergamotferry_host import load_probes
from bergamotferry_host.clock import now_ns

OBJECTIVE_MS, WORK_MS = 800, 300.0


def play(
    load,
    is_named=True,
    probe_delay_s=0.0,
    caller_elapsed_ms=0,
    prepare=None,
    objective_ms=OBJECTIVE_MS,
):
    """Send one request for a key; return its status and how many were sent.

    ``prepare`` changes the host before.
    """

    async def scenario(harness):
        harness.configure(
            route(timeout_ms=4_000, latency_objective_ms=objective_ms), is_sharded=True
        )
        await harness.add("u1", served)
        harness.health_delay_s["u1"] = probe_delay_s
        harness.loads["u1"] = load
        harness.host.upstreams["u1"].load.relative_work_time = 1.0
        address = harness.host.upstreams["u1"].row.address
        row = KeyRange("lamps", 0, 65_535, "u1", 1, address, 7, "")
        harness.host.ranges = {"lamps": [row]}
        work = WorkTime(mean_ms=WORK_MS, n_answers=1, longest_left_ms=4_000.0)
        harness.host.work_times["safe"] = work
        harness.host.hot_holders = frozenset({"u1"} if is_named else ())
        if prepare is not None:
            prepare(harness.host)
        headers = {
            HEADER_NAMES.shard_key: "5",
            HEADER_NAMES.deadline_ms: str(4_000 - caller_elapsed_ms),
        }
        answer, _ = await harness.send_request("/safe/1", **headers)
        statuses.append((answer.status, answer.headers.get("Retry-After")))

    statuses = []
    harness = run_with_harness(scenario)
    (status, retry_after), n_sends = statuses[0], len(harness.sends)
    assert (status == 503) == (retry_after is not None)
    return status, n_sends


@pytest.mark.parametrize(
    ("load", "caller_elapsed_ms", "expected"),
    [
        ("1,0,2,100", 0, (200, 1)),
        # One waits, and the answer would come within the objective.
        ("2,0,2,100", 0, (200, 1)),
        ("2,6,2,100", 0, (503, 0)),
        # Its neighbours slow the holder: the work alone takes longer.
        ("1,0,2,400", 0, (200, 1)),
        ("2,0,2,400", 0, (503, 0)),
        # The caller was refused before, and has waited.
        ("1,0,2,100", 700, (200, 1)),
        ("2,0,2,100", 700, (503, 0)),
    ],
)
def test_request_is_sent_if_its_answer_is_in_time_or_a_slot_is_free(
    load, caller_elapsed_ms, expected
):
    assert play(load, caller_elapsed_ms=caller_elapsed_ms) == expected


def test_holder_that_does_not_tell_its_load_gets_nothing(monkeypatch):
    """Guards against a connection that the full holder resets after the head."""
    monkeypatch.setitem(load_probes.PROBE_WAIT_S, "here", 0.05)
    assert play("0,0,2,100", probe_delay_s=0.5) == (503, 0)


def test_requests_for_other_holders_are_sent_as_before():
    assert play("2,6,2,100", is_named=False) == (200, 1)


def test_requests_of_a_route_without_a_latency_objective_may_wait():
    """Guards against routes whose every answer counts as late."""
    assert play("2,0,2,100", objective_ms=0) == (200, 1)


def test_holder_of_a_service_that_reports_no_load_gets_requests_as_before():
    """Guards against a hot key of which nothing is served as long as it is hot."""
    assert play("no report") == (200, 1)


def test_cold_holder_gets_requests_at_its_cold_rate():
    """Guards against a hot key of which nothing is served while its holder is cold."""

    def make_cold(host):
        upstream = host.upstreams["u1"]
        upstream.rank, host.local_hosts = 0, (host.settings.name,)
        host.host_reported_ns[host.settings.name] = now_ns()
        host.began_ns = now_ns() - 60_000_000_000
        record_cold(upstream.cold, 10_000, now_ns())

    assert play("0,0,2,100", prepare=make_cold) == (200, 1)
