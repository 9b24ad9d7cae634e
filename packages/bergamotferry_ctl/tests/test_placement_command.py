"""The command ``where``: its text, its query and its exit statuses."""

import asyncio
import threading

import pytest
from aiohttp import web

from bergamotferry_ctl.main import main
from bergamotferry_ctl.placement_command import describe_placement

REPORT = {
    "host": "h1",
    "version": 3,
    "route": "trips",
    "shares": {"b": 0.2},
    "home_regions": [],
    "decision": {
        "kind": "send",
        "upstream": "u2",
        "expected_ms": 80.5,
        "probed_first": ["u2", "u1"],
    },
    "upstreams": [
        {
            "upstream": name,
            "data_centre": "a",
            "is_compared": name == "u2",
            "excluded": "" if name == "u2" else "it is cold",
            "n_ahead": 1.0,
            "n_slots": 2,
            "relative_work_time": 1.1,
            "report_age_ms": 70,
        }
        for name in ("u2", "u3")
    ],
}
TEXT = """\
to u2, answer in 80.5 ms; first asks u2, u1 for load
host           h1
version        3
route          trips
home_regions   -
shares         b 0.2

upstream  data centre  requests  slots  work time  report ms ago
u2        a                 1.0      2        1.1             70  compared
u3        a                 1.0      2        1.1             70  it is cold"""


@pytest.fixture
def entry_host():
    """Serve the report; yield the address and the queries that came."""
    queries, loop, addresses = [], asyncio.new_event_loop(), []

    async def on_placement(request):
        queries.append(dict(request.query))
        is_known = request.query["host"] == "planner.example"
        body = REPORT if is_known else {"detail": "give host and target"}
        return web.json_response(body, status=200 if is_known else 400)

    async def serve():
        app = web.Application()
        app.router.add_get("/placement", on_placement)
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        addresses.append(f"127.0.0.1:{runner.addresses[0][1]}")

    loop.run_until_complete(serve())
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    yield addresses[0], queries
    loop.call_soon_threadsafe(loop.stop)
    thread.join()


def run(arguments):
    with pytest.raises(SystemExit) as ended:
        main(["where", *arguments])
    return ended.value.code


def test_text_has_the_decision_first():
    assert describe_placement(REPORT) == TEXT


@pytest.mark.parametrize(
    ("decision", "text"),
    [
        (
            {"kind": "refuse", "code": 1202, "name": "QUEUE_FULL", "detail": "full"},
            "refused: 1202 QUEUE_FULL: full",
        ),
        ({"kind": "wait", "detail": "every upstream is full"}, "waits: every upstream"),
    ],
)
def test_text_of_a_request_that_is_not_sent(decision, text):
    assert describe_placement({"decision": decision}).startswith(text)


def test_command_asks_the_entry_host_and_prints_its_report(entry_host, capsys):
    address, queries = entry_host
    arguments = [address, "planner.example", "/trips/7", "--shard-key", "5"]
    assert run(arguments) == 0
    assert capsys.readouterr().out.strip() == TEXT
    (query,) = queries
    assert query == {
        "host": "planner.example",
        "target": "/trips/7",
        "method": "GET",
        "account": "",
        "shard-key": "5",
    }


def test_exit_status_tells_a_refusal_from_a_host_that_is_not_reached(entry_host):
    address, _ = entry_host
    assert run([address, "other.example", "/trips/7"]) == 1
    assert run(["127.0.0.1:9", "planner.example", "/trips/7"]) == 4
