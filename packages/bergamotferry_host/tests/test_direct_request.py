"""Tests of the responses to callers in direct mode, by the upstreams' behaviour."""

import asyncio
import contextlib

import pytest
from aiohttp import web
from direct_harness import (
    HEADER_NAMES,
    failed,
    full,
    not_held,
    refusal,
    reset,
    route,
    run_with_harness,
    served,
    slow,
)
from raw_server import raw_server

from bergamotferry.answer_link import AnswerLink, InFlightAnswer
from bergamotferry.configuration import Configuration
from bergamotferry.fleet_tables import KeyRange
from bergamotferry.key_load import reported_bucket
from bergamotferry.upstream_load import (
    WorkTime,
)
from bergamotferry.upstream_notice import is_available
from bergamotferry_host import load_probes
from bergamotferry_host.clock import now_ns


@pytest.fixture(autouse=True)
def patient_probes(monkeypatch):
    """Wait for load probes as long as they may take.

    The first upstream is chosen first only if its load probe is not given up.
    """
    monkeypatch.setitem(load_probes.PROBE_WAIT_S, "here", load_probes.PROBE_TIMEOUT_S)


@pytest.mark.parametrize(
    ("kind", "first", "second", "status", "n_sends"),
    [
        ("safe", served, served, 200, 1),
        ("safe", failed, served, 200, 2),
        ("safe", reset, served, 200, 2),
        ("safe", full, served, 200, 2),
        ("safe", reset, reset, 502, 2),
        ("safe", failed, failed, 500, 2),
        ("safe", full, full, 503, 2),
        ("safe", slow, served, 200, 2),
        ("safe", slow, slow, 504, 2),
        ("unsafe", served, served, 200, 1),
        ("unsafe", full, served, 200, 2),
        ("unsafe", failed, served, 500, 1),
        ("unsafe", reset, served, 502, 1),
        ("unsafe", slow, served, 504, 1),
    ],
)
def test_status_and_number_of_sends_follow_from_upstream_behaviour(
    kind, first, second, status, n_sends
):
    async def scenario(harness):
        harness.configure(route(kind))
        await harness.add("u1", first)
        await harness.add("u2", second)
        answer, text = await harness.send_request(f"/{kind}/1")
        assert answer.status == status
        assert answer.headers[HEADER_NAMES.request_id] == "r1"
        if status in (200, 500):
            assert answer.headers[HEADER_NAMES.seal] == "s"
        else:
            assert HEADER_NAMES.seal not in answer.headers
        if status == 200:
            assert text == "whole"
        assert ("Retry-After" in answer.headers) is (status == 503)

    harness = run_with_harness(scenario)
    names = [name for name, _ in harness.sends]
    assert len(names) == n_sends
    assert len(set(names)) == len(names)


def test_caller_that_waits_for_a_100_is_answered_and_the_upstream_sees_no_wait():
    """Guards against a wait for an upstream's 100 until the caller's deadline."""
    seen = []

    async def record_headers(request):
        seen.append((request.headers.get("Expect"), await request.read()))
        return await served(request)

    async def scenario(harness):
        harness.configure(route("unsafe"))
        await harness.add("u1", record_headers)
        ip, port = harness.url.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        lines = [
            "POST /unsafe/1 HTTP/1.1",
            "Host: a.example",
            f"{HEADER_NAMES.request_id}: r1",
            "Expect: 100-continue",
            "Content-Length: 4",
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
        writer.write(b"body")
        assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
        writer.close()

    run_with_harness(scenario)
    assert seen == [(None, b"body")]


def test_unknown_route_is_404_only_once_a_configuration_is_known():
    async def scenario(harness):
        answer, _ = await harness.send_request("/safe/1")
        assert answer.status == 503
        harness.configure(route())
        answer, _ = await harness.send_request("/none/1")
        assert answer.status == 404

    run_with_harness(scenario)


def test_evacuated_data_centres_and_other_regions_get_no_requests():
    async def scenario(harness):
        harness.configure(route(), route("unsafe", home_regions=("north",)))
        await harness.add("u1", served, "b")
        assert (await harness.send_request("/unsafe/1"))[0].status == 503
        assert (await harness.send_request("/safe/1"))[0].status == 200
        harness.host.evacuated = frozenset({"b"})
        assert (await harness.send_request("/safe/1"))[0].status == 503

    assert len(run_with_harness(scenario).sends) == 1


def test_request_goes_only_to_the_holder_and_waits_while_its_key_moves():
    async def scenario(harness):
        harness.configure(route(), is_sharded=True)
        await harness.add("u1", not_held)
        await harness.add("u2", served)

        def hold(name, token):
            session = harness.host.upstreams[name].row
            key_range = KeyRange("lamps", 0, 9, name, 1, session.address, token, "")
            harness.host.ranges = {"lamps": [key_range]}

        hold("u1", 1)
        asyncio.get_running_loop().call_later(0.1, hold, "u2", 2)
        answer, _ = await harness.send_request(
            "/safe/1", **{HEADER_NAMES.shard_key: "5"}
        )
        assert answer.status == 200
        answer, _ = await harness.send_request(
            "/safe/1", **{HEADER_NAMES.shard_key: "77"}
        )
        assert answer.status == 503

    names = [name for name, _ in run_with_harness(scenario).sends]
    assert names[-1] == "u2"
    # The pause after each refusal by an upstream that does not hold the key doubles.
    assert names.count("u1") <= 3


def test_request_waits_for_the_first_configuration_of_a_new_host():
    async def scenario(harness):
        deadline_header = {HEADER_NAMES.deadline_ms: "2000"}
        # A host that started long ago refuses without waiting.
        refused_answer, _ = await harness.send_request("/safe/1", **deadline_header)
        assert refused_answer.status == 503
        harness.host.began_ns = now_ns()

        def configure():
            harness.configure(route())
            harness.host.configured.set()

        asyncio.get_running_loop().call_later(0.15, configure)
        await harness.add("u1", served)
        answer, _ = await harness.send_request("/safe/1", **deadline_header)
        assert answer.status == 200
        # A caller with a short deadline is refused early enough to retry elsewhere.
        harness.host.configuration = Configuration(0)
        harness.host.configured.clear()
        began_s = asyncio.get_running_loop().time()
        short_deadline_answer, _ = await harness.send_request(
            "/safe/1", **{HEADER_NAMES.deadline_ms: "500"}
        )
        assert short_deadline_answer.status == 503
        assert 0.15 < asyncio.get_running_loop().time() - began_s < 0.45

    run_with_harness(scenario)


def test_draining_holder_gets_no_requests():
    async def scenario(harness):
        harness.configure(route(), is_sharded=True)
        await harness.add("u1", served)
        session = harness.host.upstreams["u1"].row
        key_range = KeyRange("lamps", 0, 9, "u1", 1, session.address, 1, "")
        harness.host.ranges = {"lamps": [key_range]}
        harness.host.upstreams["u1"].row = session._replace(phase="draining")
        answer, _ = await harness.send_request(
            "/safe/1", **{HEADER_NAMES.shard_key: "5"}
        )
        assert answer.status == 503

    assert run_with_harness(scenario).sends == []


def test_address_taken_by_another_process_gets_no_more_requests():
    async def scenario(harness):
        harness.configure(route())
        await harness.add("u1", not_held)
        await harness.add("u2", served)
        assert (await harness.send_request("/safe/1"))[0].status == 200
        assert (await harness.send_request("/safe/1"))[0].status == 200
        availability = harness.host.upstreams["u1"].availability
        assert not is_available(availability, now_ns() + 900_000_000)

    assert [name for name, _ in run_with_harness(scenario).sends] == ["u1", "u2", "u2"]


def test_caller_disconnect_cancels_the_request_at_its_upstream():
    async def scenario(harness):
        harness.configure(route(timeout_ms=5000, latency_objective_ms=5000))
        await harness.add("u1", slow)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await harness.send_request("/safe/1")
        await asyncio.sleep(0.3)
        assert harness.cancelled == ["u1"]
        assert harness.host.n_in_flight == 0

    run_with_harness(scenario)


def test_stopping_host_keeps_serving_and_closes_connections():
    async def scenario(harness):
        harness.configure(route())
        await harness.add("u1", served)
        harness.host.stop_end_ns = now_ns() + 60_000_000_000
        assert not harness.host.is_ready
        answer, _ = await harness.send_request("/safe/1")
        assert answer.status == 200
        assert answer.headers["Connection"] == "close"

    run_with_harness(scenario)


def test_work_time_is_measured_to_the_answer_head():
    async def slow_body(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                HEADER_NAMES.request_id: request.headers[HEADER_NAMES.request_id],
                HEADER_NAMES.seal: "s",
                HEADER_NAMES.load: "1,0,2,100",
            }
        )
        response.content_length = 5
        await response.prepare(request)
        await asyncio.sleep(0.4)
        await response.write(b"whole")
        return response

    async def scenario(harness):
        harness.configure(route("safe", timeout_ms=5_000, latency_objective_ms=5_000))
        await harness.add("u1", slow_body)
        began_ns = now_ns()
        answer, text = await harness.send_request("/safe/1")
        assert (answer.status, text) == (200, "whole")
        assert harness.host.work_times["safe"].mean_ms < 300
        load = harness.host.upstreams["u1"].load
        assert load.reported_ns < began_ns + 300_000_000

    run_with_harness(scenario)


def test_large_answers_take_turns_on_a_slow_link_and_small_ones_do_not_wait():
    counts = {"running": 0, "running_max": 0}

    async def counting_upstream(request: web.Request) -> web.StreamResponse:
        is_large = "download" in request.path
        counts["running"] += is_large
        counts["running_max"] = max(counts["running_max"], counts["running"])
        await asyncio.sleep(0.02)
        counts["running"] -= is_large
        return await served(request)

    async def scenario(harness):
        download_route = route("download", timeout_ms=5_000, latency_objective_ms=5_000)
        harness.configure(route("safe"), download_route)
        await harness.add("u1", counting_upstream)
        await harness.add("u2", counting_upstream)
        harness.host.link = AnswerLink.from_config(0.1)
        work_time = WorkTime(10.0, 6_000.0, 9)
        harness.host.work_times["download"] = work_time
        sends = [harness.send_request("/download/1", f"d{n}") for n in range(3)]
        sends += [harness.send_request("/safe/1", f"s{n}") for n in range(2)]
        answers = await asyncio.gather(*sends)
        assert [answer.status for answer, _ in answers] == [200] * 5
        # A request whose turn would come too late is refused at once, so that the
        # caller can retry at another host.
        harness.host.link.in_flight[99] = InFlightAnswer(1e9, 0.0, 1e12)
        work_time.answer_bytes = 6_000.0
        late_answer, _ = await harness.send_request("/download/1", "late")
        assert late_answer.status == 503
        assert float(late_answer.headers["Retry-After"]) < 0.1
        assert harness.host.link_turns == {}

    harness = run_with_harness(scenario)
    assert counts["running_max"] == 1
    assert "late" not in {request_id for _, request_id in harness.sends}


@pytest.mark.parametrize(
    ("load", "is_short_pause"), [("1,0,2,100", True), ("2,1,2,100", False)]
)
def test_retry_after_is_short_if_the_refusing_upstream_has_a_free_slot(
    load, is_short_pause
):
    async def shed(request: web.Request) -> web.StreamResponse:
        return refusal(request, 503, load)

    async def scenario(harness):
        # The deadline is long, because the pause is limited to a share of the time
        # left, which a slow machine shortens.
        harness.configure(route("unsafe", timeout_ms=20_000))
        await harness.add("u1", shed)
        answer, _ = await harness.send_request(
            "/unsafe/1", **{HEADER_NAMES.deadline_ms: "20000"}
        )
        assert answer.status == 503
        assert (float(answer.headers["Retry-After"]) < 0.1) is is_short_pause

    run_with_harness(scenario)


@pytest.mark.parametrize(("load", "status"), [("1,0,2,100", 200), ("2,1,2,100", 503)])
def test_shedding_holder_is_retried_only_if_it_has_a_free_slot(load, status):
    n_shed = 0

    async def shed_twice(request: web.Request) -> web.StreamResponse:
        nonlocal n_shed
        if n_shed == 2:
            return await served(request)
        n_shed += 1
        return refusal(request, 503, load)

    async def scenario(harness):
        harness.configure(route("unsafe", timeout_ms=2_000), is_sharded=True)
        await harness.add("u1", shed_twice)
        session = harness.host.upstreams["u1"].row
        key_range = KeyRange("lamps", 0, 9, "u1", 1, session.address, 1, "")
        harness.host.ranges = {"lamps": [key_range]}
        began_s = asyncio.get_running_loop().time()
        answer, _ = await harness.send_request(
            "/unsafe/1", **{HEADER_NAMES.shard_key: "5"}
        )
        assert answer.status == status
        # The key has a holder all the time, so the host does not poll for one.
        assert asyncio.get_running_loop().time() - began_s < 0.7

    assert len(run_with_harness(scenario).sends) == (3 if status == 200 else 1)


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
def test_false_refusal_of_a_holder_keeps_its_keys_back_for_a_moment_only(kind):
    """Guards against keys without service on one answer of their holder."""
    n_refused = 0

    async def refuse_once(request):
        nonlocal n_refused
        n_refused += 1
        return await (not_held if n_refused == 1 else served)(request)

    async def scenario(harness):
        harness.configure(route(kind, timeout_ms=2_000), is_sharded=True)
        await harness.add("u1", refuse_once)
        upstream = harness.host.upstreams["u1"]
        key_range = KeyRange("lamps", 0, 9, "u1", 1, upstream.row.address, 1, "")
        harness.host.ranges = {"lamps": [key_range]}
        began_s = asyncio.get_running_loop().time()
        answer, _ = await harness.send_request(
            f"/{kind}/1", **{HEADER_NAMES.shard_key: "5"}
        )
        assert answer.status == 200
        assert asyncio.get_running_loop().time() - began_s < 0.5
        assert is_available(upstream.availability, now_ns())
        assert harness.host.key_pauses[1].until_ns == 0

    assert len(run_with_harness(scenario).sends) == 2


@pytest.mark.parametrize("delay_s", [0.0, 0.01, 0.03, 0.06])
def test_refusal_that_a_holder_repeats_is_not_taken_for_the_next_answer(delay_s):
    """Guards against "not run", or a second run, for a request that the holder runs."""
    runs = []

    async def on_connection(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(4)
                lines = [
                    f"{HEADER_NAMES.request_id}: r1",
                    f"{HEADER_NAMES.load}: 0,0,2,100",
                ]
                if not n_refused:
                    n_refused.append(head)
                    lines += [f"{HEADER_NAMES.not_run}: 1", "Content-Length: 0"]
                    refused = "\r\n".join(["HTTP/1.1 503 Full", *lines, "", ""])
                    writer.write(refused.encode())
                    await asyncio.sleep(delay_s)
                    writer.write(refused.encode())
                    continue
                runs.append(head)
                await asyncio.sleep(0.1)
                lines.append("Content-Length: 5")
                answer = "\r\n".join(["HTTP/1.1 200 OK", *lines, "", "whole"])
                writer.write(answer.encode())
        writer.close()

    async def scenario(harness):
        harness.configure(route("unsafe", timeout_ms=2_000), is_sharded=True)
        async with raw_server(on_connection) as address:
            harness.add_at("u1", address)
            key_range = KeyRange("lamps", 0, 9, "u1", 1, address, 1, "")
            harness.host.ranges = {"lamps": [key_range]}
            answer, text = await harness.send_request(
                "/unsafe/1", **{HEADER_NAMES.shard_key: "5"}
            )
        assert (answer.status, text) == (200, "whole")

    n_refused = []
    run_with_harness(scenario)
    assert len(runs) == 1


def test_keys_that_do_not_exist_are_not_counted():
    """Guards against counts without a bound for keys that callers make up."""

    async def scenario(harness):
        harness.configure(route(timeout_ms=100), is_sharded=True)
        for shard_key in ("65535", "65536", "999999999999", "-1", "x", ""):
            await harness.send_request("/safe/1", **{HEADER_NAMES.shard_key: shard_key})

    harness = run_with_harness(scenario)
    assert list(harness.host.key_work) == [("lamps", reported_bucket(65_535))]


def test_less_urgent_requests_wait_for_a_free_slot_of_the_holder_of_their_key():
    """The holder says that it is full; what is sent to it now would wait there."""

    async def scenario(harness):
        urgent = route("unsafe", priority=0, timeout_ms=1_000)
        harness.configure(urgent, route("safe", timeout_ms=1_000), is_sharded=True)
        await harness.add("u1", served)
        session = harness.host.upstreams["u1"].row
        key_range = KeyRange("lamps", 0, 9, "u1", 1, session.address, 1, "")
        harness.host.ranges = {"lamps": [key_range]}
        load = harness.host.upstreams["u1"].load
        load.n_others, load.reported_ns = load.n_slots, now_ns()
        headers = {HEADER_NAMES.shard_key: "5"}
        less_urgent = asyncio.create_task(
            harness.send_request("/safe/1", "later", **headers)
        )
        await asyncio.sleep(0.02)
        answer, _ = await harness.send_request("/unsafe/1", "first", **headers)
        assert answer.status == 200
        answer, _ = await less_urgent
        assert answer.status == 200

    harness = run_with_harness(scenario)
    assert [request_id for _, request_id in harness.sends] == ["first", "later"]


LONG_LINE = {"X-Long": "a" * 12_000}
MANY_LINES = {f"X-{number}": "a" for number in range(200)}


@pytest.mark.parametrize("headers", [LONG_LINE, MANY_LINES])
def test_head_within_the_limit_of_the_configuration_is_passed_on_unchanged(headers):
    """Guards against a 431 for a request that the configuration allows."""
    received = {}

    async def behaviour(request):
        received.update(request.headers)
        return await served(request)

    async def scenario(harness):
        harness.configure(route())
        await harness.add("u1", behaviour)
        answer, _ = await harness.send_request("/safe/1", **headers)
        assert answer.status == 200

    run_with_harness(scenario)
    assert headers.items() <= received.items()


def test_head_over_the_limit_of_the_configuration_is_refused():
    async def scenario(harness):
        harness.configure(route())
        await harness.add("u1", served)
        answer, text = await harness.send_request("/safe/1", **{"X-Long": "a" * 16_400})
        assert answer.status == 431
        assert "HEADERS_TOO_LARGE" in text

    assert run_with_harness(scenario).sends == []


def test_head_without_an_end_is_refused_before_it_takes_more_memory():
    async def scenario(harness):
        ip, port = harness.url.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        line = b"X-Long: " + b"a" * 16_000 + b"\r\n"
        writer.write(b"GET / HTTP/1.1\r\n" + line * 20)
        answer = await asyncio.wait_for(reader.read(), 2)
        assert answer.startswith(b"HTTP/1.1 431 ")
        writer.close()

    run_with_harness(scenario)


@pytest.mark.parametrize("n_bytes", [300_000, 20_000_000])
def test_refused_body_that_goes_on_arriving_gets_one_answer_only(n_bytes):
    """The rest of such a body is not taken for the head of a next request."""

    async def scenario(harness):
        harness.configure(route())
        harness.host.memory.max_bytes = 1000
        ip, port = harness.url.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        head = f"POST /safe/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: {n_bytes}"
        writer.write(f"{head}\r\n\r\n".encode())
        answer = bytearray()

        async def read_all():
            while part := await reader.read(65_536):
                answer.extend(part)

        reading = asyncio.create_task(read_all())
        with contextlib.suppress(ConnectionError):
            for _ in range(0, n_bytes, 50_000):
                writer.write(b"b" * 50_000)
                await writer.drain()
                await asyncio.sleep(0.002)
            await asyncio.sleep(0.3)
        reading.cancel()
        await asyncio.gather(reading, return_exceptions=True)
        writer.close()
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert answer.count(b"HTTP/1.1 ") == 1

    run_with_harness(scenario)
