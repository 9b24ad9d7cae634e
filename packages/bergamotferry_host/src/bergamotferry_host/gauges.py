"""Reports this host's gauges and the bytes sent to its peers to statsd every second."""

import asyncio

from .host_state import HostState
from .logs import n_lines_dropped
from .peer_network import take_sent_bytes
from .readiness import is_ready

GAUGE_INTERVAL_S = 1.0


async def run_gauges(state: HostState) -> None:
    """Report gauges and byte counts until cancelled."""
    while True:
        for name, value in gauge_values(state).items():
            state.metrics.gauge(name, value)
        for name, n_bytes in take_link_byte_counts(state).items():
            state.metrics.incr(name, n_bytes)
        await asyncio.sleep(GAUGE_INTERVAL_S)


def take_link_byte_counts(state: HostState) -> dict[str, int]:
    """Return the bytes sent to peers since the last call, by name of the counter."""
    own = state.host.data_centre
    return {
        f"link.bytes.{traffic_class}.{own}.{data_centre}": n_bytes
        for (data_centre, traffic_class), n_bytes in take_sent_bytes(
            state.network
        ).items()
    }


def gauge_values(state: HostState) -> dict[str, float]:
    """Return the value of each gauge by name; docs/OPERATIONS.md lists the names."""
    work_rows = state.dispatchers.work_by_upstream.values()
    values: dict[str, float] = {
        "host.n_in_flight": state.n_in_flight,
        "host.is_ready": int(is_ready(state)),
        "host.revision": state.global_tables.revision,
        "dispatch.n_upstreams": len(work_rows),
        "dispatch.n_waiting": sum(work.queue.n_waiting for work in work_rows),
        "dispatch.n_running": sum(len(work.queue.running) for work in work_rows),
        "logs.n_dropped": n_lines_dropped(),
    }
    for group in state.groups.values():
        # In the protocol of statsd, a colon ends the name.
        name = group.name.replace(":", ".")
        values[f"group.{name}.is_leader"] = int(group.is_leader)
        values[f"group.{name}.applied_index"] = group.applied_index
    return values
