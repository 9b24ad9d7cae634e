"""Exit status, text and JSON of commands, run against a host with fixed answers."""

import asyncio
import json
import threading

import pytest
from aiohttp import web

from bergamotferry.shards import hash_key, shard_of_key
from bergamotferry_ctl.main import main

TOKEN = "operator-token"
CONFIGURATION = {
    "revision": 4,
    "data_centres": {
        name: {"name": name, "region": name[0], "state": "in"} for name in ("na", "sa")
    },
    "services": {"log": {"name": "log", "n_shards": 4}},
    "routes": {},
    "accounts": {},
    "home_regions": {
        "home": {
            "name": "home",
            "service": "log",
            "key_prefix": "h-",
            "accounts": [],
            "regions": ["s"],
        }
    },
    "retired_names": {},
}
UPSTREAMS = {
    "upstreams": [
        {
            "name": f"log-{data_centre}",
            "service": "log",
            "data_centre": data_centre,
            "address": "10.0.0.1:1",
            "state": "serving",
            "n_slots": 2,
            "n_shards": 4,
            "dispatcher": f"{data_centre}-1",
            "checks_epochs": True,
        }
        for data_centre in ("na", "sa")
    ],
    "not_reached": [],
}
OWNER = {
    "shard": {"service": "log", "domain": "home", "number": 1},
    "home": {"data_centre": "sa", "epoch": 1, "next_data_centre": ""},
    "grant": {
        "data_centre": "sa",
        "host": "sa-1",
        "upstream": "log-sa",
        "epoch": 5,
        "state": "held",
        "dispatcher": "sa-1",
        "dispatcher_epoch": 2,
        "held_since_s": 0,
        "reason": "the shard was free",
    },
}


@pytest.fixture
def host():
    """Run a fake host in a thread; tests set its answers and read its requests."""
    answers = {
        "configuration": (200, CONFIGURATION),
        "upstreams": (200, UPSTREAMS),
        "owner": (200, OWNER),
    }
    requests = []

    async def answer(request):
        requests.append((request.path_qs, await request.text()))
        status, body = answers[request.match_info["path"]]
        return web.json_response(body, status=status)

    loop = asyncio.new_event_loop()
    app = web.Application()
    app.router.add_route("*", "/operators/v1/{path:.+}", answer)
    runner = web.AppRunner(app)
    loop.run_until_complete(runner.setup())
    site = web.TCPSite(runner, "127.0.0.1", 0)
    loop.run_until_complete(site.start())
    port = runner.addresses[0][1]
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    yield f"127.0.0.1:{port}", answers, requests
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.run_until_complete(runner.cleanup())
    loop.close()


def run(capsys, address, *words):
    with pytest.raises(SystemExit) as caught:
        main(["--addresses", address, "--token", TOKEN, "--wait-s", "0", *words])
    output = capsys.readouterr()
    return caught.value.code, output.out + output.err


# The host's answer to a note, and the exit status expected for it.
APPLY_OUTCOMES = [
    ((200, {"revision": 5, "in_force": ["a"], "not_reached": []}), 0),
    ((200, {"revision": 5, "in_force": ["a"], "not_reached": ["b"]}), 3),
    ((409, {"code": 1401, "name": "NOTE_CONFLICT", "detail": ""}), 5),
    ((409, {"code": 1403, "name": "NOTE_BASE_STALE", "detail": ""}), 5),
    ((422, {"code": 1402, "errors": [{"place": "p", "message": "m"}]}), 2),
    ((503, {"code": 1107, "name": "NO_LEADER", "detail": ""}), 6),
    ((401, {"code": 1002, "name": "UNKNOWN_TOKEN", "detail": ""}), 1),
]


@pytest.mark.parametrize(("answer", "expected_status"), APPLY_OUTCOMES)
def test_apply_exits_with_a_status_for_each_outcome(
    host, capsys, tmp_path, answer, expected_status
):
    address, answers, _ = host
    answers["notes"] = answer
    path = tmp_path / "note.json"
    path.write_text('{"number": 5, "based_on": 4}')
    exit_status, text = run(capsys, address, "apply", str(path))
    assert exit_status == expected_status, text
    if expected_status == 3:
        assert "not reached: b" in text


def test_unreachable_host_exits_with_status_4(capsys):
    assert run(capsys, "127.0.0.1:1", "status")[0] == 4


def test_check_reports_every_error(capsys, tmp_path):
    path = tmp_path / "note.json"
    path.write_text('{"number": 0, "added": []}')
    exit_status, text = run(capsys, "127.0.0.1:1", "check", str(path))
    assert exit_status == 2
    assert text.splitlines() == [
        f"{path}: number: must be from 1 to 9007199254740992",
        f"{path}: based_on: must be a whole number",
        f"{path}: added: must be an object of lists",
    ]
    assert run(capsys, "127.0.0.1:1", "check", str(tmp_path / "none"))[0] == 2


def test_diff_shows_changes_and_errors(host, capsys, tmp_path):
    address, _, _ = host
    path = tmp_path / "note.json"
    service = {"name": "log", "n_shards": 8}
    note = {"number": 5, "based_on": 3, "changed": {"services": [service]}}
    path.write_text(json.dumps(note))
    exit_status, text = run(capsys, address, "diff", str(path))
    assert exit_status == 2
    assert text.splitlines() == [
        "in force is 4, the note is 5",
        "~ services log  n_shards: 4 -> 8",
        "error: based_on: is 3, in force is 4",
        "error: changed.services log: n_shards can't change while keys are owned",
    ]


def test_owner_sends_the_shard_and_never_the_key(host, capsys):
    address, _, requests = host
    exit_status, text = run(capsys, address, "owner", "log", "h-secret")
    assert exit_status == 0
    assert "log-sa" in text
    assert "before sa-1 started" in text
    assert "domain=home" in requests[-1][0]
    assert not any("secret" in path + body for path, body in requests)


def test_data_centre_checks_capacity_and_applies_only_with_yes(host, capsys):
    address, answers, requests = host
    answers["notes"] = (200, {"revision": 5, "in_force": ["a"], "not_reached": []})
    exit_status, text = run(capsys, address, "data-centre", "out", "na")
    assert exit_status == 0
    assert "nothing was changed" in text
    exit_status, text = run(capsys, address, "data-centre", "out", "sa", "--yes")
    assert exit_status == 7
    assert "log, home region home: no upstream would be left" in text
    assert not any(path.endswith("notes") for path, _ in requests)
    exit_status, text = run(
        capsys, address, "data-centre", "out", "na", "--yes", "--json"
    )
    assert exit_status == 0
    data_centre = {"name": "na", "region": "n", "state": "out"}
    assert json.loads(requests[-1][1]) == {
        "number": 5,
        "based_on": 4,
        "changed": {"data_centres": [data_centre]},
    }
    assert json.loads(text)["capacity"][0]["n_slots_after"] == 2


def test_owner_of_a_hot_key_is_the_owner_of_its_exception(host, capsys):
    address, answers, requests = host
    shard = shard_of_key("log", 4, (), "secret-key")
    grant = {**OWNER["grant"], "n_exceptions": 1}
    answers["owner"] = (200, {**OWNER, "shard": shard._asdict(), "grant": grant})
    hot_key = {**shard._asdict(), "rate_per_s": 31.5, "own_number": shard.number + 4}
    hot_key |= {"upstream": "log-sa", "state": "held"}
    hot_key["key_hash"] = f"{hash_key('log', '', 'secret-key'):016x}"
    body = {"data_centre": "sa", "hot_keys": [hot_key], "not_reached": []}
    answers["hot-keys"] = (200, body)
    exit_status, text = run(capsys, address, "owner", "log", "secret-key")
    assert (exit_status, "it has this shard of its own" in text) == (0, True)
    assert requests[-1][0].endswith(f"number={shard.number + 4}")
    # The tool compares the hash itself, so that no request carries it.
    assert not any(hot_key["key_hash"] in path for path, _ in requests)
    answers["hot-keys"] = (200, {**body, "data_centre": "na"})
    _, text = run(capsys, address, "owner", "log", "secret-key")
    assert "ask hot-keys of a host in sa" in text
    assert hot_key["key_hash"] in run(capsys, address, "hot-keys")[1]
