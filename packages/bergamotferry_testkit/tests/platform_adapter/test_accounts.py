"""Accounts and revoked keys against the platform's programs, with hosts that are lost.

An entry host is frozen, another one is cut off from all control hosts, and both at the
same time; all control hosts are frozen.
"""

import asyncio
import signal
import time

import aiohttp
import pytest
from account_fleet import ANONYMOUS_PATH, Answer, running_accounts, tenant
from platform_fleet import READY_PORT

REVOKE_S = 3.0
BOUNDS = f"fail-closed=true,revoke-ms={REVOKE_S * 1000:.0f}"
KEPT, REMOVED, NEW = "key-that-is-kept", "key-to-be-removed", "key-that-is-new"
# An acknowledged configuration is in force on every host in contact.
APPLY_S = 2.5
SEND_INTERVAL_S = 0.05


async def send_repeatedly(deployment, edge, *keys):
    """Send requests with each key until cancelled, without waiting for answers."""
    async with asyncio.TaskGroup() as group:
        while True:
            for key in keys:
                group.create_task(deployment.send(edge, key))
            await asyncio.sleep(SEND_INTERVAL_S)


def statuses(answers: list[Answer], since_s: float, until_s: float) -> set[int]:
    return {a.status for a in answers if since_s <= a.sent_s < until_s}


@pytest.fixture
def run(tmp_path):
    """Return a function that runs a scenario on a deployment with two accounts."""

    def run_scenario(scenario):
        async def run():
            async with running_accounts(tmp_path, 3, BOUNDS) as deployment:
                await deployment.configure(
                    1, tenant("ann", KEPT, REMOVED), tenant("bob", "key-of-bob")
                )
                for edge in deployment.edges:
                    await deployment.wait_for(200, edge, KEPT)
                await scenario(deployment)

        asyncio.run(run())

    return run_scenario


def test_callers_are_known_by_their_keys_and_no_process_writes_one(run):
    async def scenario(deployment):
        edge = deployment.edges[0]
        for key, path, status, account in [
            (KEPT, "/keyed/1", 200, "ann"),
            ("key-of-bob", "/keyed/1", 200, "bob"),
            ("", "/keyed/1", 401, None),
            ("key-of-nobody", "/keyed/1", 401, None),
            (KEPT, ANONYMOUS_PATH, 200, "ann"),
            ("", ANONYMOUS_PATH, 200, ""),
            ("key-of-nobody", ANONYMOUS_PATH, 200, ""),
        ]:
            answer = await deployment.send(edge, key, path)
            assert answer.status == status, (key, path)
            ran = [r for r in deployment.runs if r.request_id == answer.request_id]
            assert [r.account for r in ran] == ([] if account is None else [account])
        assert not any(run.has_key for run in deployment.runs)
        assert "key-" not in deployment.logs()
        assert '"account": "ann"' in deployment.logs()

    run(scenario)


def test_removed_key_is_refused_by_hosts_that_are_frozen_or_cut_off(run):
    """Guards against a host that serves a key which it could not know to be removed."""

    async def scenario(deployment):
        contact, frozen, cut = deployment.edges
        began_s = time.monotonic()
        callers = [
            asyncio.create_task(send_repeatedly(deployment, edge, REMOVED, KEPT))
            for edge in deployment.edges
        ]
        await asyncio.sleep(0.5)
        deployment.set_cut(True)
        deployment.fleet.send_signal(frozen, signal.SIGSTOP)
        removed_s = await deployment.configure(
            2, tenant("ann", KEPT, NEW), tenant("bob", "key-of-bob")
        )
        assert await deployment.wait_for(200, contact, NEW) < APPLY_S
        await asyncio.sleep(REVOKE_S + 1.0)
        # The frozen host handles what has waited for it, of before and after the bound.
        deployment.fleet.send_signal(frozen, signal.SIGCONT)
        assert await deployment.wait_for(200, frozen, KEPT) < 2.0
        await asyncio.sleep(0.5)
        reached_s = time.monotonic()
        deployment.set_cut(False)
        # What the cores answered before the cut ended arrives now, and is old.
        assert await deployment.wait_for(200, cut, KEPT) < 5.0
        await asyncio.sleep(0.5)
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)

        ran = {run.request_id for run in deployment.runs}
        keys = deployment.keys
        late = [
            answer
            for answer in deployment.answers
            if keys[answer.request_id] == REMOVED
            and answer.sent_s > removed_s + REVOKE_S
            and answer.request_id in ran
        ]
        assert late == []
        # The play contains what it is about: the cut host went on for some time, with
        # the removed key too, and then refused all keys as its state was too old.
        answers = [a for a in deployment.answers if a.sent_s > began_s]
        of_cut = [a for a in answers if a.edge == cut]
        served = [a for a in of_cut if a.status == 200 and a.sent_s > removed_s]
        assert {keys[a.request_id] for a in served if a.sent_s < reached_s} == {
            KEPT,
            REMOVED,
        }
        refused_s = max(a.sent_s for a in served if a.sent_s < reached_s) + 0.2
        assert statuses(of_cut, refused_s, reached_s) == {503}
        assert {a.text[:4] for a in of_cut if a.status == 503} == {"1110"}
        # The host in contact never refused a key for its state.
        of_contact = [a for a in answers if a.edge == contact]
        assert {a.status for a in of_contact if keys[a.request_id] == KEPT} == {200}
        assert "key-" not in deployment.logs()

    run(scenario)


def test_without_control_keys_are_served_up_to_the_bound_and_anonymous_routes_on(run):
    """Guards against refusals that the rule does not call for, and for too long."""

    async def scenario(deployment):
        edge = deployment.edges[0]
        await asyncio.sleep(1.0)
        began_s = time.monotonic()
        for core in deployment.cores:
            deployment.fleet.send_signal(core, signal.SIGSTOP)
        served_s = 0.0
        while time.monotonic() - began_s < REVOKE_S + 1.0:
            answer = await deployment.send(edge, KEPT)
            if answer.status == 200:
                served_s = answer.sent_s - began_s
            await asyncio.sleep(SEND_INTERVAL_S)
        answer = await deployment.send(edge, KEPT)
        assert (answer.status, answer.text[:4]) == (503, "1110")
        assert float(answer.headers["Retry-After"]) < 0.5
        # The state was at most some tenths of a second old when control was lost.
        assert REVOKE_S - 1.0 < served_s < REVOKE_S
        for key in ("", KEPT):
            assert (await deployment.send(edge, key, ANONYMOUS_PATH)).status == 200
            assert deployment.runs[-1].account == ""
        ready = f"http://{edge}:{READY_PORT}/api/ready"
        async with aiohttp.ClientSession() as http, http.get(ready) as response:
            assert response.status == 200
        for core in deployment.cores:
            deployment.fleet.send_signal(core, signal.SIGCONT)
        assert await deployment.wait_for(200, edge, KEPT) < 5.0

    run(scenario)
