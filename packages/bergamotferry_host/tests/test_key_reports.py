"""Reports of requested keys, from the host that takes the request to the leader."""

import asyncio
from types import SimpleNamespace

from bergamotferry.fleet_messages import KeyWorkNews
from bergamotferry.fleet_tables import KeyRange
from bergamotferry.key_load import (
    FIRST_REPORTED_BUCKET,
    KEYS_PER_BUCKET,
    KeyLoads,
    KeyWork,
    busy_slots_by_bucket,
)
from bergamotferry_host import key_reports
from bergamotferry_host.clock import now_ns
from bergamotferry_host.direct_host import record_key_request
from bergamotferry_host.key_reports import (
    forward_key_work,
    record_key_work_news,
    run_key_reports,
    take_key_work,
)

THIRD = FIRST_REPORTED_BUCKET + 3


class FakeNetwork:
    def __init__(self):
        self.sent = []

    def notify(self, host, message):
        self.sent.append((host, message))


def control_host(is_leader: bool, leader: str) -> SimpleNamespace:
    group = SimpleNamespace(is_leader=is_leader, leader=leader)
    return SimpleNamespace(
        group=group, network=FakeNetwork(), key_work={}, key_loads=KeyLoads()
    )


def test_host_reports_requested_work_to_the_followed_control_host(monkeypatch):
    monkeypatch.setattr(key_reports, "REPORT_INTERVAL_S", 0.01)
    # The first bucket is held by an upstream that takes 1.5 times as long as others.
    slow_holder = SimpleNamespace(load=SimpleNamespace(relative_work_time=1.5))
    held_range = KeyRange("s", 0, KEYS_PER_BUCKET - 1, "u1", 1, "u1:1", 1, "")
    host = SimpleNamespace(
        key_work={},
        followed="",
        network=FakeNetwork(),
        ranges={"s": [held_range]},
        upstreams={"u1": slow_holder},
    )

    async def run():
        task = asyncio.create_task(run_key_reports(host))
        record_key_request(host, "s", 5, 100.0)
        await asyncio.sleep(0.05)
        # The host follows no control host, so it drops the counts. Old counts would be
        # useless later.
        assert not host.network.sent and not host.key_work
        host.followed = "c1"
        for key in (0, KEYS_PER_BUCKET - 1, KEYS_PER_BUCKET):
            record_key_request(host, "s", key, 100.4)
        await asyncio.sleep(0.05)
        task.cancel()

    asyncio.run(run())
    first = FIRST_REPORTED_BUCKET
    key_work = (KeyWork("s", first, 301), KeyWork("s", first + 1, 100))
    assert host.network.sent == [("c1", KeyWorkNews(key_work))]


def test_control_host_forwards_the_summed_work_to_the_leader():
    follower = control_host(False, "lead")
    news = KeyWorkNews((KeyWork("s", THIRD, 300),))
    record_key_work_news(follower, news)
    record_key_work_news(follower, news)
    forward_key_work(follower)
    forward_key_work(follower)
    summed = KeyWorkNews((KeyWork("s", THIRD, 600),))
    assert follower.network.sent == [("lead", summed)]
    leader = control_host(True, "lead")
    record_key_work_news(leader, summed)
    forward_key_work(leader)
    assert busy_slots_by_bucket(leader.key_loads, "s", now_ns())[3] > 0.19
    assert not leader.network.sent


def test_reported_work_does_not_accumulate_without_a_leader():
    leaderless_host = control_host(False, "")
    record_key_work_news(leaderless_host, KeyWorkNews((KeyWork("s", THIRD, 300),)))
    forward_key_work(leaderless_host)
    assert (
        take_key_work(leaderless_host.key_work) == ()
        and not leaderless_host.network.sent
    )
