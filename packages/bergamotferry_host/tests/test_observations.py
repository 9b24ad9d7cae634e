"""Tests of which latencies are recorded, and which upstreams have bulk in flight."""

import asyncio

import pytest
from request_fakes import ScriptedUpstream, make_head, make_request
from test_dispatch import add_work, start, wait_until

from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import ResultCode as Code
from bergamotferry_host.exchange import Served
from bergamotferry_host.observations import bulk_upstreams, record_latency

SERVED = Served(200, 2, "")


@pytest.mark.parametrize(
    ("route", "outcome", "is_recorded"),
    [
        ("lookup", SERVED, True),
        ("archive", SERVED, False),
        ("lookup", Refused(Code.DEADLINE_EXPIRED_RUNNING, ""), True),
        ("lookup", Refused(Code.UPSTREAM_SHED, ""), False),
        ("lookup", None, False),
    ],
    ids=["served", "bulk", "timed out", "shed", "aborted"],
)
def test_latency_is_recorded_for_answers_and_timeouts_only(route, outcome, is_recorded):
    async def run():
        async with ScriptedUpstream("silent") as upstream:
            work = add_work(upstream)
            request = make_request(upstream.state, make_head(route))
            record_latency(upstream.state, work, request, outcome, 0)
            return bool(upstream.state.dispatchers.latencies.rows)

    assert asyncio.run(run()) == is_recorded


@pytest.mark.parametrize(("route", "expected"), [("archive", ("u1",)), ("lookup", ())])
def test_bulk_is_reported_while_it_is_in_flight(route, expected):
    async def run():
        async with ScriptedUpstream("silent") as upstream:
            work = add_work(upstream)
            task = start(upstream, make_head(route))
            await wait_until(lambda: upstream.requests)
            reported_during = bulk_upstreams(upstream.state)
            task.cancel()
            await asyncio.wait([task])
            await wait_until(lambda: not work.in_flight)
            return reported_during, bulk_upstreams(upstream.state)

    assert asyncio.run(run()) == (expected, ())
