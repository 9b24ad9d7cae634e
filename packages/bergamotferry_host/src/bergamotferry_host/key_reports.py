"""Reports to the leader how much work callers request for each bucket of keys.

A host that accepts requests reports its counts to the control host that it follows. The
control host adds up its followers' counts and forwards the sums to the leader. A lost
report only makes a load look smaller for some seconds, so none is retransmitted.
"""

import asyncio

from bergamotferry.fleet_messages import KeyWorkNews
from bergamotferry.key_load import KeyWork, record_key_work

from .clock import now_ns
from .direct_host import DirectHost
from .fleet_control import ControlHost

# Short enough that a busy key is separated from others, by a split of its range, within
# seconds.
REPORT_INTERVAL_S = 0.5


async def run_key_reports(host: DirectHost) -> None:
    """Report requested work to the followed control host, until cancelled."""
    while True:
        await asyncio.sleep(REPORT_INTERVAL_S)
        rows = take_key_work(host.key_work)
        if rows and host.followed:
            host.network.notify(host.followed, KeyWorkNews(rows))


def record_key_work_news(host: ControlHost, news: KeyWorkNews) -> None:
    """Add the work that a follower or another control host reported."""
    for row in news.rows:
        bucket = row.service, row.bucket
        host.key_work[bucket] = host.key_work.get(bucket, 0.0) + row.work_ms


def forward_key_work(host: ControlHost) -> None:
    """Forward the work reported since the last call to the leader.

    If this host leads, the work is added to its own loads. Without a known leader the
    work is dropped.
    """
    rows = take_key_work(host.key_work)
    if host.group.is_leader:
        record_key_work(host.key_loads, rows, now_ns())
    elif rows and host.group.leader:
        host.network.notify(host.group.leader, KeyWorkNews(rows))


def take_key_work(work: dict[tuple[str, int], float]) -> tuple[KeyWork, ...]:
    """Return the counted work as rows, and reset the counts."""
    rows = tuple(
        KeyWork(service, bucket, round(work_ms))
        for (service, bucket), work_ms in work.items()
    )
    work.clear()
    return rows
