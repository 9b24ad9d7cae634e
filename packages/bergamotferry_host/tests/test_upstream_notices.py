"""What answers of upstreams say of themselves, and what a host then sends there."""

import asyncio
from types import SimpleNamespace

import pytest
from aiohttp import web
from direct_harness import (
    HEADER_NAMES,
    refusal,
    reset,
    route,
    run_with_harness,
    served,
)

from bergamotferry.fleet_commands import RetireUpstream
from bergamotferry.fleet_tables import KeyRange
from bergamotferry.messages import Propose, ProposeReply
from bergamotferry.result_codes import ResultCode
from bergamotferry.upstream_notice import UpstreamNotice
from bergamotferry_host import answer_fetching
from bergamotferry_host.answer_fetching import AnswerFetching
from bergamotferry_host.fleet_changes import _apply_session_row

LEAVING = {HEADER_NAMES.leaving: "1"}


def with_headers(behaviour, **headers):
    """Return a behaviour whose answers also have these headers."""

    async def behave(request):
        answer = await behaviour(request)
        answer.headers.update(headers)
        return answer

    return behave


def leaving(behaviour):
    return with_headers(behaviour, **LEAVING)


async def full(request):
    return refusal(request, 503)


async def full_for_a_while(request):
    answer = refusal(request, 503)
    answer.headers["Retry-After"] = "0.5"
    return answer


async def answer_other_request(request):
    headers = {HEADER_NAMES.request_id: "r0", HEADER_NAMES.seal: "s", **LEAVING}
    return web.Response(text="whole", headers=headers)


def age_leave(harness, name, age_ms):
    harness.host.upstreams[name].availability.leaving_ns -= int(age_ms * 1e6)


def names_of(harness):
    return [name for name, _ in harness.sends]


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
@pytest.mark.parametrize("first", [served, full, reset])
def test_first_answer_of_a_leaving_upstream_ends_new_work_there(kind, first):
    async def scenario(harness):
        harness.configure(route(kind))
        await harness.add("u1", leaving(first))
        await harness.add("u2", served)
        for number in range(4):
            await harness.send_request(f"/{kind}/{number}", f"r{number}")

    names = names_of(run_with_harness(scenario))
    # A broken connection has no head, so it says nothing.
    n_expected = 1 if first is not reset else 4
    assert names.count("u1") <= n_expected
    assert names[-1] == "u2"


def test_only_upstream_serves_on_until_it_may_end_though_control_is_silent():
    async def scenario(harness):
        harness.configure(route())
        await harness.add("u1", leaving(served))
        assert (await harness.send_request("/safe/1"))[0].status == 200
        assert (await harness.send_request("/safe/2"))[0].status == 200
        age_leave(harness, "u1", harness.host.settings.bounds.drain_ms)
        answer, _ = await harness.send_request("/safe/3")
        assert answer.status == 503
        assert "Retry-After" in answer.headers

    assert names_of(run_with_harness(scenario)) == ["u1", "u1"]


def test_retry_after_a_refusal_is_not_sent_to_a_leaving_upstream():
    async def scenario(harness):
        harness.configure(route("unsafe"))
        await harness.add("u1", leaving(served))
        await harness.add("u2", full)
        await harness.add("u3", served)
        await harness.send_request("/unsafe/1")
        answer, _ = await harness.send_request("/unsafe/2")
        assert answer.status == 200

    assert names_of(run_with_harness(scenario)) == ["u1", "u2", "u3"]


def test_next_incarnation_of_a_leaving_upstream_gets_requests():
    async def scenario(harness):
        harness.configure(route())
        await harness.add("u1", leaving(served))
        await harness.add("u2", served)
        await harness.send_request("/safe/1")
        host = harness.host
        row = host.upstreams["u1"].row
        # A later heartbeat of the same process changes nothing.
        _apply_session_row(host, row._replace(sequence=row.sequence + 1))
        assert host.upstreams["u1"].availability.leaving_ns
        _apply_session_row(host, row._replace(born_ms=row.born_ms + 1, sequence=1))
        assert not host.upstreams["u1"].availability.leaving_ns

    run_with_harness(scenario)


def test_answer_to_another_request_says_nothing():
    async def scenario(harness):
        harness.configure(route())
        await harness.add("u1", answer_other_request)
        await harness.add("u2", served)
        await harness.send_request("/safe/1")
        assert not harness.host.upstreams["u1"].availability.leaving_ns

    run_with_harness(scenario)


def test_paused_upstream_gets_nothing_until_its_time_has_passed():
    async def scenario(harness):
        harness.configure(route())
        await harness.add("u1", full_for_a_while)
        await harness.add("u2", served)
        for number in range(5):
            answer, _ = await harness.send_request(f"/safe/{number}", f"r{number}")
            assert answer.status == 200
        assert names_of(harness).count("u1") == 1
        await asyncio.sleep(0.6)
        await harness.send_request("/safe/9", "r9")
        n_health = harness.host.metrics.probes.total()
        assert n_health < 20
        assert harness.host.metrics.n_pauses >= 1

    run_with_harness(scenario)


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
@pytest.mark.parametrize("is_sharded", [False, True])
def test_request_is_refused_at_once_if_all_upstreams_want_a_pause(kind, is_sharded):
    async def scenario(harness):
        harness.configure(route(kind, timeout_ms=3_000), is_sharded=is_sharded)
        await harness.add("u1", full_for_a_while)
        if is_sharded:
            address = harness.host.upstreams["u1"].row.address
            harness.host.ranges["lamps"] = [
                KeyRange("lamps", 0, 65_535, "u1", 1, address, 7, "")
            ]
        headers = {HEADER_NAMES.shard_key: "5"}
        first, _ = await harness.send_request(f"/{kind}/1", **headers)
        began_s = asyncio.get_running_loop().time()
        second, _ = await harness.send_request(f"/{kind}/2", "r2", **headers)
        took_s = asyncio.get_running_loop().time() - began_s
        assert took_s < 0.3
        n_probes = harness.host.metrics.probes.total()
        for answer in (first, second):
            assert answer.status == 503
            assert 0.3 < float(answer.headers["Retry-After"]) <= 1.1
        third, _ = await harness.send_request(f"/{kind}/3", "r3", **headers)
        assert third.status == 503
        assert harness.host.metrics.probes.total() == n_probes

    assert names_of(run_with_harness(scenario)) == ["u1"]


def test_leaving_holder_of_keys_is_reported_to_the_leader_once():
    calls = []

    async def call(name, message, timeout_s):
        calls.append((name, message))
        if name == "c1":
            return ProposeReply(ResultCode.NO_LEADER, "", 0, "c2")
        return ProposeReply(0, "", 1, "")

    async def scenario(harness):
        harness.configure(route(), is_sharded=True)
        await harness.add("u1", leaving(served))
        address = harness.host.upstreams["u1"].row.address
        harness.host.ranges["lamps"] = [
            KeyRange("lamps", 0, 65_535, "u1", 1, address, 7, "")
        ]
        harness.host.network = SimpleNamespace(call=call)
        harness.host.followed = "c1"
        for number in range(3):
            await harness.send_request(
                "/safe/1", f"r{number}", **{HEADER_NAMES.shard_key: "5"}
            )
        await asyncio.sleep(0.05)

    run_with_harness(scenario)
    proposal = Propose("global", RetireUpstream("u1", 1, "draining"))
    assert calls == [("c1", proposal), ("c2", proposal)]


def test_control_host_fetches_nothing_from_an_upstream_that_wants_nothing():
    fetching = AnswerFetching()
    settings = SimpleNamespace(regions={"a": "n"}, region="n")
    message = SimpleNamespace(
        data_centre="a", link_mbps=1.0, distance="here", upstream="u1"
    )

    def refused():
        refusal = answer_fetching._refusal(settings, fetching, message)
        return refusal is not None and refusal.pause_s == 0.0

    assert not refused()
    answer_fetching._record_notice(fetching, "u1", UpstreamNotice(pause_s=0.05))
    assert refused()
    fetching.unavailable_until_ns["u1"] -= 50_000_000
    assert not refused()
    answer_fetching._record_notice(fetching, "u1", UpstreamNotice(is_leaving=True))
    assert refused()
    for number in range(3 * answer_fetching.N_UNAVAILABLE_MAX):
        notice = UpstreamNotice(is_leaving=True)
        answer_fetching._record_notice(fetching, f"x{number}", notice)
    assert len(fetching.unavailable_until_ns) <= answer_fetching.N_UNAVAILABLE_MAX
