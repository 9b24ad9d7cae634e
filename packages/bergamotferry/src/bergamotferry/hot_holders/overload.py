"""Which holders of keys are overloaded, and which of their requests are refused.

The load is a key that gets several times what one upstream can do for some seconds. No
other upstream may serve the key, so most of its requests can't be served. Each host
sends the holder few of them and can't tell. All of them together fill the holder's
queue; then every answer is late, connections are reset, and requests end without a
word on whether they ran.

The leader knows the load of keys from the reports of all hosts, and names the holders
that are overloaded. For these a host asks for the queue just before it sends. What
would be answered after the latency objective takes a free slot at most, and is refused
at once if there is none. So the queue stays as short as callers can use it, and the
others may come back before they are late.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from ..fleet_tables import KeyRange
from ..key_balance import busy_slots_of
from ..upstream_load import UpstreamLoad, expected_ms, n_ahead
from ..upstream_sessions import SessionRow

# Above this share of its slots, what arrives at a holder waits longer and longer.
OVERLOADED_UTILIZATION = 0.9


class HotHolders(NamedTuple):
    """The overloaded holders, as the leader names them to the other control hosts."""

    names: tuple[str, ...]


@dataclass(slots=True)
class KnownHotHolders:
    """The overloaded holders that a control host knows, as of ``named_ns``."""

    names: tuple[str, ...] = ()
    named_ns: int = 0


class HolderQueue(NamedTuple):
    """What a request would meet at the holder of its key.

    ``expected_ms`` is the time until its answer, and ``n_queued`` the number of
    requests that would wait there, itself included.
    """

    expected_ms: float
    n_queued: float


def find_hot_holders(
    ranges: Iterable[KeyRange],
    busy_slots: Mapping[int, float],
    upstreams: Mapping[str, SessionRow],
) -> tuple[str, ...]:
    """Return the names of the overloaded holders of one service, in order.

    Parameters
    ----------
    ranges : iterable of KeyRange
        All ranges of the service.
    busy_slots : mapping of int to float
        Number of slots that the requests for each bucket of keys keep busy.
    upstreams : mapping of str to SessionRow
        Known upstreams by name.
    """
    slots_by_holder: dict[str, float] = {}
    for key_range in ranges:
        slots = busy_slots_of(key_range, busy_slots)
        name = key_range.upstream
        slots_by_holder[name] = slots_by_holder.get(name, 0.0) + slots
    return tuple(
        sorted(
            name
            for name, slots in slots_by_holder.items()
            if name in upstreams
            and slots > OVERLOADED_UTILIZATION * max(1, upstreams[name].n_slots)
        )
    )


def queue_at(
    load: UpstreamLoad, work_ms: float, link_ms: float, now_ns: int
) -> HolderQueue:
    """Return what a request that is sent now meets at an upstream."""
    n_queued = max(0.0, n_ahead(load, now_ns) + 1 - load.n_slots)
    return HolderQueue(expected_ms(load, work_ms, now_ns) + link_ms, n_queued)


def may_queue(
    queue: HolderQueue,
    objective_left_ms: float,
    deadline_left_ms: float,
    n_queued_max: int,
) -> bool:
    """Return whether a request may be sent to an overloaded holder.

    Parameters
    ----------
    queue : HolderQueue
        What the request would meet there.
    objective_left_ms : float
        Time until the latency objective, which counts from the caller's first attempt.
    deadline_left_ms : float
        Time until the caller's deadline.
    n_queued_max : int
        Largest number of requests that may wait there, if the answer is in time. A late
        one must not wait: it would take the place of one that can still be in time.
    """
    if queue.expected_ms <= objective_left_ms:
        return queue.n_queued <= n_queued_max
    return queue.n_queued == 0 and queue.expected_ms <= deadline_left_ms
