"""Account of a request at a host in direct mode: refusals, headers, regions, keys."""

import asyncio
import logging
from types import SimpleNamespace

import pytest
from direct_harness import (
    HEADER_NAMES,
    full,
    reset,
    route,
    run_with_harness,
    served,
)

from bergamotferry.accounts import Account, key_digest
from bergamotferry.answer_link import AnswerLink
from bergamotferry.configuration import CallerLimits, Configuration, DirectService
from bergamotferry.fleet_messages import FetchAnswer
from bergamotferry.fleet_tables import KeyRange
from bergamotferry.upstream_load import WorkTime
from bergamotferry_host.accounts.key_watch import (
    KEY_WATCH_INTERVAL_S,
    run_key_watch,
)
from bergamotferry_host.clock import now_ns
from bergamotferry_host.direct_crashes import fingerprint_of
from bergamotferry_host.direct_metrics import direct_metric_families
from bergamotferry_host.direct_request import _accept
from bergamotferry_host.peer_link import PeerUnreachable

KEYS = KEY, OTHER_KEY, BOBS_KEY, _ = "k-of-ann-1", "k-of-ann-2", "k-of-bob", "k-none"
ANN = Account("ann", (key_digest(KEY), key_digest(OTHER_KEY)), None, (), 0.0, 0.0)
BOB = Account("bob", (key_digest(BOBS_KEY),), 0, ("south",), 0.0, 0.0)
ACCOUNT_HEADER = HEADER_NAMES.account
OPEN = route("safe", allows_anonymous=True)
CLOSED = route("unsafe")


def configure(harness, *routes, accounts=(ANN, BOB), is_sharded=False, age_s=0.0):
    """Put a configuration with accounts in force, confirmed ``age_s`` ago."""
    service = DirectService("lamps", "/health", 9, 3.0, 3.0, is_sharded, 0.0)
    harness.host.configuration = Configuration.from_rows(
        1, routes or (OPEN, CLOSED), [service], CallerLimits(), accounts
    )
    harness.host.confirmed_ns = now_ns() - int(age_s * 1e9)


def bearer(key):
    return {"Authorization": f"Bearer {key}"}


def fail_closed(harness, revoke_ms=5_000):
    bounds = harness.host.settings.bounds._replace(
        is_fail_closed=True, revoke_ms=revoke_ms
    )
    harness.host.settings = harness.host.settings._replace(bounds=bounds)


class HeaderRecorder:
    """An upstream that records the headers of the requests that it serves."""

    def __init__(self):
        self.headers = []

    async def __call__(self, request):
        self.headers.append(request.headers.copy())
        return await served(request)


@pytest.mark.parametrize(
    ("path", "headers", "age_s", "status", "code", "account"),
    [
        ("/unsafe/1", bearer(KEY), 0, 200, "", "ann"),
        ("/unsafe/1", bearer(OTHER_KEY), 0, 200, "", "ann"),
        ("/unsafe/1", {**bearer(KEY), ACCOUNT_HEADER: "bob"}, 0, 200, "", "ann"),
        ("/unsafe/1", {}, 0, 401, "1001", None),
        ("/unsafe/1", {ACCOUNT_HEADER: "bob"}, 0, 401, "1001", None),
        ("/unsafe/1", bearer("other"), 0, 401, "1002", None),
        # The key may be newer than the configuration of this host.
        ("/unsafe/1", bearer("other"), 3.0, 503, "1110", None),
        ("/unsafe/1", {}, 3.0, 401, "1001", None),
        ("/unsafe/1", bearer(KEY), 3.0, 200, "", "ann"),
        ("/safe/1", bearer(KEY), 0, 200, "", "ann"),
        ("/safe/1", {}, 0, 200, "", None),
        ("/safe/1", {ACCOUNT_HEADER: "bob"}, 0, 200, "", None),
        ("/safe/1", bearer("other"), 0, 200, "", None),
        ("/safe/1", bearer("other"), 3.0, 200, "", None),
    ],
)
def test_answer_and_headers_of_the_upstream_follow_from_key_and_route(
    path, headers, age_s, status, code, account
):
    """Guards against keys at upstreams, and accounts that a caller claims itself."""
    upstream = HeaderRecorder()

    async def scenario(harness):
        configure(harness, age_s=age_s)
        await harness.add("u1", upstream)
        answer, text = await harness.send_request(path, **headers)
        assert answer.status == status
        assert text.startswith(code or "whole")
        assert ("Retry-After" in answer.headers) is (status == 503)
        assert ("WWW-Authenticate" in answer.headers) is (status == 401)

    run_with_harness(scenario)
    assert len(upstream.headers) == (status == 200)
    for sent in upstream.headers:
        assert "Authorization" not in sent
        assert sent.getall(ACCOUNT_HEADER, []) == ([account] if account else [])


def test_without_accounts_both_headers_pass_through():
    upstream = HeaderRecorder()

    async def scenario(harness):
        configure(harness, accounts=(), age_s=9.0)
        await harness.add("u1", upstream)
        for path in ("/unsafe/1", "/safe/1"):
            headers = {**bearer(KEY), ACCOUNT_HEADER: "bob"}
            answer, _ = await harness.send_request(path, **headers)
            assert answer.status == 200

    run_with_harness(scenario)
    assert [
        (sent["Authorization"], sent[ACCOUNT_HEADER]) for sent in upstream.headers
    ] == [(f"Bearer {KEY}", "bob")] * 2


def test_request_without_a_key_is_refused_before_its_body_is_read():
    """Guards against memory for bodies of callers that no account vouches for."""

    async def scenario(harness):
        configure(harness)
        ip, port = harness.url.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        lines = [
            "POST /unsafe/1 HTTP/1.1",
            "Host: a.example",
            "Content-Length: 1000000",
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        async with asyncio.timeout(2):
            assert (await reader.readline()).startswith(b"HTTP/1.1 401 ")
        assert harness.host.memory.held_bytes["body"] == 0
        writer.close()

    run_with_harness(scenario)


@pytest.mark.parametrize(
    ("key", "homes", "expected"),
    [
        (KEY, (), {"u-north"}),
        (KEY, ("south",), {"u-south"}),
        (BOBS_KEY, (), {"u-south"}),
        (BOBS_KEY, ("north", "south"), {"u-south"}),
    ],
)
def test_home_regions_of_account_and_route_bind_every_send(key, homes, expected):
    """Guards against a retry or a hedge that leaves the regions of an account."""

    async def scenario(harness):
        configure(harness, route("safe", home_regions=homes))
        await harness.add("u-north", full, "a")
        await harness.add("u-south", full, "b")
        await harness.send_request("/safe/1", **bearer(key))

    harness = run_with_harness(scenario)
    sent = {name for name, _ in harness.sends}
    assert sent >= expected
    if homes or key == BOBS_KEY:
        assert sent == expected


def test_route_and_account_without_a_common_region_are_refused():
    async def scenario(harness):
        configure(harness, route("safe", home_regions=("north",)))
        await harness.add("u-north", served, "a")
        await harness.add("u-south", served, "b")
        answer, text = await harness.send_request("/safe/1", **bearer(BOBS_KEY))
        assert (answer.status, text[:4]) == (503, "1101")

    assert run_with_harness(scenario).sends == []


def test_priority_of_the_account_decides_at_the_holder_of_a_key():
    """The holder says that it is full; only the most urgent requests wait there."""

    async def scenario(harness):
        configure(harness, route("safe", timeout_ms=1_000, priority=1), is_sharded=True)
        await harness.add("u1", served)
        session = harness.host.upstreams["u1"].row
        key_range = KeyRange("lamps", 0, 9, "u1", 1, session.address, 1, "")
        harness.host.ranges = {"lamps": [key_range]}
        load = harness.host.upstreams["u1"].load
        load.n_others, load.reported_ns = load.n_slots, now_ns()
        shard = {HEADER_NAMES.shard_key: "5"}
        harness.host.configuration.account_by_key[key_digest(BOBS_KEY)] = BOB._replace(
            home_regions=()
        )
        less_urgent = asyncio.create_task(
            harness.send_request("/safe/1", "ann", **shard, **bearer(KEY))
        )
        await asyncio.sleep(0.02)
        answer, _ = await harness.send_request(
            "/safe/1", "bob", **shard, **bearer(BOBS_KEY)
        )
        assert answer.status == 200
        answer, _ = await less_urgent
        assert answer.status == 200

    harness = run_with_harness(scenario)
    assert [request_id for _, request_id in harness.sends] == ["bob", "ann"]


def test_fingerprint_depends_on_the_account_and_not_on_its_key(monkeypatch):
    """Guards against fingerprints, which all hosts exchange, that reveal a key."""
    fingerprints = []

    async def accept(*args):
        accepted = await _accept(*args)
        fingerprints.append(fingerprint_of(accepted))
        return accepted

    monkeypatch.setattr("bergamotferry_host.direct_request._accept", accept)

    async def scenario(harness):
        configure(harness)
        await harness.add("u1", served)
        await harness.add("u-south", served, "b")
        for key in (KEY, OTHER_KEY, BOBS_KEY):
            await harness.send_request("/unsafe/1", **bearer(key))
        # A key that is replaced does not reset what is known of a request.
        renewed = ANN._replace(key_digests=(key_digest("k-new"),))
        configure(harness, accounts=(renewed, BOB))
        await harness.send_request("/unsafe/1", **bearer("k-new"))

    run_with_harness(scenario)
    ann, ann_again, bob, ann_renewed = fingerprints
    assert ann == ann_again == ann_renewed
    assert ann != bob


def test_key_is_in_no_log_line_and_no_message_to_another_host(caplog):
    """Guards against keys that outlive their request somewhere else than in memory."""
    caplog.set_level(logging.DEBUG)
    messages = []
    patient = {"timeout_ms": 3_000, "latency_objective_ms": 2_000}

    async def scenario(harness):
        configure(harness, OPEN._replace(**patient), CLOSED)
        host = harness.host
        await harness.add("u1", reset)
        await harness.add("u-south", reset, "b")

        async def open_stream(control_host, message, **options):
            messages.append(message)
            raise PeerUnreachable("none")

        host.network = SimpleNamespace(open_stream=open_stream)
        host.control_hosts = ["10.0.0.1"]
        host.link = AnswerLink.from_config(4.0)
        work = host.work_times["safe"] = WorkTime.from_kind("download")
        work.answer_bytes = 100_000.0
        for number in range(12):
            key, path = KEYS[number % 4], ("/safe/1", "/unsafe/1")[number // 6]
            host.fetch_pauses_ns.clear()
            await harness.send_request(path, f"r{number}", **bearer(key))
        await harness.send_request("/unsafe/1", **{"Authorization": "k-bare"})
        messages.extend(host.crashes.table.entries)

    run_with_harness(scenario)
    assert any("ann" in repr(message) for message in messages)
    # What a control host is asked to fetch keeps to the home regions of the account.
    fetches = [m for m in messages if isinstance(m, FetchAnswer)]
    accounts = {dict(m.headers).get(ACCOUNT_HEADER): set() for m in fetches}
    for message in fetches:
        accounts[dict(message.headers).get(ACCOUNT_HEADER)].add(message.upstream)
    assert accounts["bob"] == {"u-south"}
    assert "u1" in accounts["ann"]
    texts = [repr(record.__dict__) for record in caplog.records]
    assert any("refused" in text for text in texts)
    for text in [*texts, *map(repr, messages)]:
        assert not [key for key in (*KEYS, "k-bare") if key in text]


def test_log_line_of_a_refusal_names_its_cause_and_the_age_of_the_state(caplog):
    caplog.set_level(logging.INFO, "bergamotferry")

    async def scenario(harness):
        configure(harness, age_s=3.0)
        await harness.send_request("/unsafe/1", "missing")
        await harness.send_request("/unsafe/1", "stale", **bearer("other"))
        configure(harness)
        await harness.send_request("/unsafe/1", "unknown", **bearer("other"))
        await harness.send_request("/none/1", "none")

    run_with_harness(scenario)
    lines = {
        record.request_id: (record.cause, record.state_age_ms // 1000)
        for record in caplog.records
        if record.message == "refused"
    }
    assert lines == {
        "missing": ("key", 3),
        "stale": ("stale", 3),
        "unknown": ("key", 0),
        "none": ("unknown_route", 0),
    }


def test_gauges_count_requests_by_account_and_only_while_there_are_accounts():
    rows = []

    def values(harness):
        families = direct_metric_families(harness.host)
        return {family.name: dict(family.rows) for family in families}

    async def scenario(harness):
        configure(harness, accounts=())
        rows.append(values(harness))
        configure(harness, age_s=3.0)
        await harness.add("u1", served)
        for key in (KEY, OTHER_KEY, "other"):
            await harness.send_request("/safe/1", **bearer(key))
        rows.append(values(harness))

    run_with_harness(scenario)
    before, after = rows
    assert "account_requests" not in before
    assert after["account_requests"] == {("ann",): 2, ("bob",): 0}
    assert 3.0 <= after["configuration_age_seconds"][()] < 6.0


@pytest.mark.parametrize(
    ("path", "headers", "age_s", "status", "code", "account"),
    [
        ("/unsafe/1", bearer(KEY), 4.0, 200, "", "ann"),
        ("/unsafe/1", bearer(KEY), 5.0, 503, "1110", None),
        ("/unsafe/1", bearer("other"), 5.0, 503, "1110", None),
        ("/unsafe/1", {}, 5.0, 401, "1001", None),
        ("/safe/1", {}, 5.0, 200, "", None),
        # No recent state says that the key still belongs to the account.
        ("/safe/1", bearer(KEY), 4.0, 200, "", "ann"),
        ("/safe/1", bearer(KEY), 5.0, 200, "", None),
        ("/safe/1", {**bearer(KEY), ACCOUNT_HEADER: "ann"}, 5.0, 200, "", None),
    ],
)
def test_old_state_vouches_for_no_key(path, headers, age_s, status, code, account):
    """Guards against a removed key at a host that has not heard of the removal."""
    upstream = HeaderRecorder()

    async def scenario(harness):
        fail_closed(harness)
        configure(harness, age_s=age_s)
        await harness.add("u1", upstream)
        answer, text = await harness.send_request(path, **headers)
        assert (answer.status, text[:4]) == (status, code or "whol")
        assert ("Retry-After" in answer.headers) is (status == 503)
        # A fresh reply of a control host ends this at once.
        harness.host.confirmed_ns = now_ns()
        answer, _ = await harness.send_request(path, **bearer(KEY))
        assert answer.status == 200

    run_with_harness(scenario)
    *first, last = upstream.headers
    assert [sent.get(ACCOUNT_HEADER) for sent in first] == [account] * (status == 200)
    assert last[ACCOUNT_HEADER] == "ann"


@pytest.mark.parametrize(
    ("headers", "age_s", "status"),
    [
        ({}, 9.0, 200),
        (bearer(KEY), 4.0, 200),
        (bearer(KEY), 9.0, 503),
        ({"Authorization": "Basic x"}, 9.0, 200),
    ],
)
def test_old_state_without_accounts_vouches_for_no_key_either(headers, age_s, status):
    """Accounts, and the removal of this key, may have been missed altogether."""

    async def scenario(harness):
        fail_closed(harness)
        configure(harness, accounts=(), age_s=age_s)
        await harness.add("u1", served)
        answer, _ = await harness.send_request("/unsafe/1", **headers)
        assert answer.status == status

    run_with_harness(scenario)


@pytest.mark.parametrize(
    ("routes", "accounts", "is_fail_closed", "age_s", "is_ready"),
    [
        ((CLOSED,), (ANN,), True, 0.0, True),
        ((CLOSED,), (ANN,), True, 9.0, False),
        ((CLOSED,), (ANN,), False, 9.0, True),
        ((CLOSED, OPEN), (ANN,), True, 9.0, True),
        ((CLOSED,), (), True, 9.0, True),
    ],
)
def test_host_that_can_serve_nobody_is_not_ready(
    routes, accounts, is_fail_closed, age_s, is_ready
):
    """Guards against callers that use up their retry at a host that is cut off."""

    async def scenario(harness):
        if is_fail_closed:
            fail_closed(harness)
        configure(harness, *routes, accounts=accounts, age_s=age_s)
        assert harness.host.is_ready is is_ready

    run_with_harness(scenario)


def test_loss_and_return_of_trust_in_keys_are_logged_and_shown(caplog):
    caplog.set_level(logging.INFO, "bergamotferry")
    refuses = []

    async def scenario(harness):
        fail_closed(harness, revoke_ms=1_000)
        configure(harness)
        # Before the first reply nothing is known, and nothing is logged.
        harness.host.confirmed_ns, harness.host.began_ns = 0, now_ns()
        watch = asyncio.create_task(run_key_watch(harness.host))
        await asyncio.sleep(3 * KEY_WATCH_INTERVAL_S)
        for age_s in (0.1, 2.0, 2.0, 0.0):
            harness.host.confirmed_ns = now_ns() - int(age_s * 1e9)
            await asyncio.sleep(3 * KEY_WATCH_INTERVAL_S)
            families = direct_metric_families(harness.host)
            refuses.extend(f.rows[()] for f in families if f.name == "refuses_keys")
        watch.cancel()

    run_with_harness(scenario)
    assert refuses == [0, 1, 1, 0]
    lines = [r for r in caplog.records if r.message.startswith("keys ")]
    assert [line.message for line in lines] == ["keys refused", "keys served again"]
    assert lines[0].state_age_ms >= 2_000
    assert 0 < lines[1].for_ms < 60_000
