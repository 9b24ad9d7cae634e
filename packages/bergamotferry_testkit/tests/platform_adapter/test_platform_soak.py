"""A short seeded soak of the programs, and tests of its checker."""

import asyncio
import contextlib
import json
import random
import time

import pytest
from platform_soak import N_KEYED_SERVED_MIN, N_SERVED_MIN, run_soak
from platform_soak_check import check_soak
from platform_soak_evacuations import (
    N_RUNS_ELSEWHERE_MIN,
    OBSERVED_S,
    ZONE_UPSTREAM,
    shows_evacuation,
)
from platform_soak_keys import HeldKeys, KeyedUpstream
from platform_soak_plan import (
    HOST_LINK_FAULTS,
    Fault,
    draw_host_link_plan,
    draw_plan,
)
from platform_soak_state import CORES, EDGES, KEYED_KINDS, Call, Soak
from platform_soak_upstream import Run

SEED, DURATION_S = 5, 8.0
# Each of these must have been played, or the run proves nothing about them.
ODD_KINDS = {
    "full",
    "full, by reset",
    "unmarked",
    "extra on arrival",
    "extra before the answer",
    "extra when idle",
    "replaced at once",
}


def test_guarantees_hold_through_a_short_seeded_soak(tmp_path):
    plan = draw_plan(SEED, DURATION_S)
    host_link_plan = draw_host_link_plan(SEED, DURATION_S)
    soak = asyncio.run(run_soak(SEED, plan, tmp_path, host_link_plan))
    assert check_soak(soak) == []
    assert soak.n_evacuations and soak.n_faults_by_kind.keys() & {*HOST_LINK_FAULTS}
    assert sum(call.status == 200 for call in soak.calls) >= N_SERVED_MIN
    assert soak.hard_faults and soak.acknowledged and soak.reads
    keyed = [call for call in soak.calls if call.kind in KEYED_KINDS]
    assert sum(call.status == 200 for call in keyed) >= N_KEYED_SERVED_MIN
    assert soak.held.n_released_buckets
    assert soak.n_odd_by_kind.keys() >= ODD_KINDS


def test_two_frozen_control_hosts_are_thawed_although_no_change_is_accepted(tmp_path):
    """Guards against two freezes that each wait for a change.

    The change needed the other frozen host, so neither freeze ended (seed 106).
    """
    plan = [Fault(0.3, "freeze", core, 0.5) for core in CORES[:2]]
    soak = asyncio.run(run_soak(106, plan, tmp_path))
    assert check_soak(soak) == []
    assert len(soak.acknowledged) == 3


RUN = Run("0-1", "i-0-1", 10.05)
LATE_RUN = Run("0-1", "i-1-1", 13.05)


@pytest.mark.parametrize("seed", [127, 207, 210, 233])
def test_seeds_that_once_failed_break_nothing_in_a_short_soak(seed, tmp_path):
    """Guards against what the soak must not play (see `platform_soak_oddities`).

    127 and 210: proper requests of which one content loses three upstreams in a row.
    207 and 233: answers of other connections.
    """
    soak = asyncio.run(run_soak(seed, draw_plan(seed, 3.0), tmp_path))
    assert check_soak(soak) == []


RUN = Run("0-1", "i-0-1", 10.05)
LATE_RUN = Run("0-1", "i-1-1", 13.05)


def test_proper_requests_beside_ending_ones_are_not_taken_for_the_cause(tmp_path):
    """Guards against a content of downloads that is too rare to be cleared.

    The first three sends of it each lost their upstream to another one (seed 127).
    """
    soak = asyncio.run(run_soak(127, draw_plan(127, 3.0), tmp_path))
    assert check_soak(soak) == []


def make_soak(**changes):
    """Return a soak without faults, in which one request ran and was answered.

    ``changes`` replace fields of the soak or of the call.
    """
    soak = Soak(None, random.Random(1), None)
    call = Call("0-1", "unsafe", EDGES[0], 10.0, 10.1, 200, b"answer to 0-1")
    soak.calls = [call]
    soak.runs = [RUN]
    soak.acknowledged = [(5.0, 3)]
    soak.reads = [(8.0, 3)]
    for name, value in changes.items():
        setattr(soak if hasattr(soak, name) else call, name, value)
    return soak


@pytest.mark.parametrize(
    ("changes", "expected_text"),
    [
        ({"runs": [RUN, RUN]}, "ran 2 times"),
        ({"runs": [RUN, LATE_RUN]}, "i-1-1 +2.950 s after the answer"),
        ({"kind": "keyed-once", "runs": [RUN, RUN]}, "ran 2 times"),
        ({"status": 503}, "ran although 503 means not run"),
        ({"status": 408}, "ran although 408 means not run"),
        ({"status": 421}, "ran although 421 means not run"),
        ({"status": 429}, "ran although 429 means not run"),
        ({"status": 503, "runs": [LATE_RUN]}, "ran although 503 means not run"),
        ({"kind": "keyed-once", "status": 503}, "ran although 503 means not run"),
        ({"runs": []}, "did not run"),
        ({"body": b"answer to 0-2"}, "got 13 bytes, b'answer to 0-2'"),
        ({"body": b"answer"}, "got 6 bytes, b'answer'"),
        ({"kind": "download"}, "got 13 bytes"),
        ({"status": 404}, "got 404"),
        ({"reads": [(8.0, 2)]}, "version 2 was read"),
        ({"stops": [("e", 1.0, 2.0, -9)]}, "ended with -9"),
        ({"evacuation_faults": ["POST was undone"]}, "POST was undone"),
        (
            {"status": 0, "stops": [(EDGES[0], 9.0, 12.0, 0)]},
            "as it stopped",
        ),
        (
            {
                "kind": "download",
                "status": 0,
                "stops": [(EDGES[0], 9.0, 12.0, 0)],
                "breaks": [9.9, 10.2],
                "broken_off": ["0-2"],
            },
            "as it stopped",
        ),
        # A control host that stops as planned relays the answers that it holds.
        (
            {
                "kind": "download",
                "status": 0,
                "stops": [(CORES[0], 9.5, 11.0, 0)],
            },
            "as it stopped",
        ),
        # Only large answers are relayed by control hosts.
        (
            {
                "status": 0,
                "stops": [(EDGES[0], 9.0, 12.0, 0)],
                "hard_faults": [(CORES[0], 10.05)],
            },
            "as it stopped",
        ),
        (
            {
                "kind": "download",
                "status": 0,
                "stops": [(EDGES[0], 9.0, 12.0, 0)],
                "hard_faults": [(CORES[0], 6.9), (CORES[0], 10.2)],
            },
            "as it stopped",
        ),
    ],
)
def test_each_broken_guarantee_is_reported(changes, expected_text):
    assert check_soak(make_soak()) == []
    (line,) = check_soak(make_soak(**changes))
    assert expected_text in line


@pytest.mark.parametrize(
    "changes",
    [
        # A change need not be readable before `APPLY_S` has passed; faults may cut
        # requests off.
        {"reads": [(6.0, 2)]},
        {"status": 0},
        {"status": 503, "runs": []},
        {"kind": "safe", "runs": [RUN, LATE_RUN]},
        # An upstream's own failure is passed on if the request may run more than once:
        # seed 1 of 20 s, requests 1-112 (safe), 0-37 (download), 5-107 (keyed), each
        # "answered" with 429 at its first send.
        {"kind": "safe", "status": 429},
        {"kind": "download", "status": 429},
        {"kind": "keyed", "status": 429},
        {"status": 502},
        {
            "status": 0,
            "stops": [(EDGES[0], 9.0, 12.0, 0)],
            "hard_faults": [(EDGES[0], 9.5)],
        },
        {
            "kind": "download",
            "status": 0,
            "stops": [(EDGES[0], 9.0, 12.0, 0)],
            "breaks": [10.05],
        },
        {
            "kind": "download",
            "status": 0,
            "stops": [(EDGES[0], 9.0, 12.0, 0)],
            "broken_off": ["0-1"],
        },
        # Small answers are not relayed by control hosts.
        {"status": 0, "stops": [(CORES[0], 9.5, 11.0, 0)]},
        # The control host that fetched the answer was killed (seed 3110, 20 s).
        {
            "kind": "download",
            "status": 0,
            "stops": [(EDGES[0], 9.0, 12.0, 0)],
            "hard_faults": [(CORES[0], 10.05)],
        },
    ],
)
def test_tolerated_effects_of_faults_are_not_reported(changes):
    assert check_soak(make_soak(**changes)) == []


@pytest.mark.parametrize(
    ("n_there", "n_elsewhere", "is_evacuated", "is_shown"),
    [
        (0, N_RUNS_ELSEWHERE_MIN, True, True),
        (1, N_RUNS_ELSEWHERE_MIN, True, False),
        # Too few requests ran to tell anything.
        (0, N_RUNS_ELSEWHERE_MIN - 1, True, False),
        (1, 0, False, True),
        (0, N_RUNS_ELSEWHERE_MIN, False, False),
    ],
)
def test_runs_of_the_last_second_show_whether_a_data_centre_is_evacuated(
    n_there, n_elsewhere, is_evacuated, is_shown
):
    now_s = time.monotonic()
    recent = [Run("0", f"i-{ZONE_UPSTREAM}-1", now_s)] * n_there
    recent += [Run("0", "i-0-1", now_s)] * n_elsewhere
    former = [Run("0", f"i-{ZONE_UPSTREAM}-1", now_s - 2 * OBSERVED_S)] * 20
    soak = make_soak(runs=former + recent)
    assert shows_evacuation(soak, is_evacuated) is is_shown


def test_key_with_two_holders_is_reported_when_one_runs_a_request():
    held = HeldKeys()
    buckets = range(3, 5)
    held.grant("k-1", buckets, time.monotonic() + 60)
    held.record_run("k-1", 3)
    held.grant("k-2", buckets, time.monotonic() - 1)
    held.record_run("k-1", 3)
    assert held.double_holds == []
    held.grant("k-2", buckets, time.monotonic() + 60)
    held.record_run("k-2", 4)
    held.release("k-1", buckets)
    held.record_run("k-2", 4)
    assert len(check_soak(make_soak(held=held))) == 1
    # A control host that was just thawed may send grants from before its freeze.
    held.thaws.append(time.monotonic())
    held.grant("k-1", buckets, time.monotonic() + 60)
    held.record_run("k-2", 4)
    assert len(held.double_holds) == 1


@pytest.mark.parametrize("fault", ["crash", "replace"])
def test_holder_that_ends_as_it_is_granted_keys_holds_none(fault):
    """Guards against two holders of which one has ended (trial of seed 1, 20 s)."""

    async def run():
        held = HeldKeys()
        holder = KeyedUpstream(9, [], random.Random(1), [], ignore_end, held=held)
        await holder.start()
        ip, port = holder.address.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        await asyncio.sleep(0.05)
        end = asyncio.create_task(getattr(holder, fault)())
        await asyncio.sleep(0)
        body = json.dumps({"from": 0, "to": 63, "fence": 1, "hold-ms": 4000})
        head = [
            "POST /api/grant HTTP/1.1",
            "Host: holder",
            f"X-Expected-Instance: {holder.name}",
            f"Content-Length: {len(body)}",
            "",
            body,
        ]
        writer.write("\r\n".join(head).encode())
        with contextlib.suppress(ConnectionError):
            await reader.read()
        await end
        await holder.stop()
        writer.close()
        return held.hold_ends_s

    assert not any(asyncio.run(run()).values())


def ignore_end(path, request_id):
    """No request here ends a holder."""
