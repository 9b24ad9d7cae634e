"""An explanation says what a real request would meet, and sends nothing."""

import pytest
from direct_harness import route, run_with_harness, served

from bergamotferry.accounts import Account
from bergamotferry.configuration import CallerLimits, Configuration, DirectService
from bergamotferry.fleet_tables import KeyRange
from bergamotferry_host.explanation.page import read_question
from bergamotferry_host.explanation.placement import Question, explain_placement

ASKED = Question("a.example", "/safe/1")


def decision_of(harness, question=ASKED):
    return explain_placement(harness.host, question)["decision"]


def test_request_goes_where_the_explanation_said():
    async def scenario(harness):
        harness.configure(route())
        await harness.add("u1", served)
        await harness.add("u2", served)
        harness.host.upstreams["u1"].load.n_in_flight = 9
        decision = decision_of(harness)
        assert (decision["kind"], decision["upstream"]) == ("send", "u2")
        assert harness.sends == []
        assert (await harness.send_request("/safe/1"))[0].status == 200

    assert run_with_harness(scenario).sends == [("u2", "r1")]


def test_refusals_before_placing_are_those_of_a_request():
    async def scenario(harness):
        assert decision_of(harness)["name"] == "HOST_NOT_READY"
        harness.configure(route())
        assert decision_of(harness, Question("b.example", "/"))["name"] == (
            "UNKNOWN_ROUTE"
        )
        assert decision_of(harness)["name"] == "NO_OWNER"

    run_with_harness(scenario)


def test_account_decides_regions_and_an_unknown_one_is_refused():
    async def scenario(harness):
        account = Account("acme", (), None, ("south",), 0.0, 0.0)
        service = DirectService("lamps", "/health", 9, 3.0, 3.0, False, 0.0)
        harness.host.configuration = Configuration.from_rows(
            1, [route()], [service], CallerLimits(), [account]
        )
        await harness.add("u1", served)
        await harness.add("u2", served, "b")
        assert decision_of(harness)["name"] == "MISSING_TOKEN"
        assert decision_of(harness, ASKED._replace(account="x"))["name"] == (
            "UNKNOWN_TOKEN"
        )
        report = explain_placement(harness.host, ASKED._replace(account="acme"))
        assert report["decision"]["upstream"] == "u2"
        assert report["home_regions"] == ["south"]
        excluded = {row["upstream"]: row["excluded"] for row in report["upstreams"]}
        assert excluded == {"u1": "outside the home regions", "u2": ""}

    run_with_harness(scenario)


def test_evacuated_data_centre_is_named_as_the_reason():
    async def scenario(harness):
        harness.configure(route())
        await harness.add("u1", served)
        harness.host.evacuated = frozenset({"a"})
        report = explain_placement(harness.host, ASKED)
        assert report["decision"]["name"] == "NO_OWNER"
        (row,) = report["upstreams"]
        assert row["excluded"] == "its data centre is evacuated"

    run_with_harness(scenario)


def test_key_goes_to_its_holder_only():
    async def scenario(harness):
        harness.configure(route(), is_sharded=True)
        await harness.add("u1", served)
        await harness.add("u2", served)
        harness.host.ranges["lamps"] = [KeyRange("lamps", 0, 99, "u2", 1, "", 7, "")]
        report = explain_placement(harness.host, ASKED._replace(shard_key=5))
        assert report["decision"]["upstream"] == "u2"
        assert (report["holder"], report["token"]) == ("u2", 7)
        other = explain_placement(harness.host, ASKED._replace(shard_key=500))
        assert (other["decision"]["name"], other["holder"]) == ("NO_OWNER", "")

    run_with_harness(scenario)


def test_full_upstreams_that_are_free_in_time_make_it_wait():
    async def scenario(harness):
        harness.configure(route(timeout_ms=5_000))
        await harness.add("u1", served)
        harness.host.upstreams["u1"].load.n_in_flight = 6
        assert decision_of(harness)["kind"] == "wait"

    run_with_harness(scenario)


@pytest.mark.parametrize(
    ("query", "question"),
    [
        ({"host": "a", "target": "/x"}, Question("a", "/x")),
        (
            {"host": "a", "target": "/x", "shard-key": "7", "time-left-ms": "40"},
            Question("a", "/x", "GET", 7, "", 40.0),
        ),
        ({"host": "a", "target": "x"}, None),
        ({"target": "/x"}, None),
        ({"host": "a", "target": "/x", "shard-key": "-1"}, None),
    ],
)
def test_question_follows_from_the_query(query, question):
    assert read_question(query) == question
