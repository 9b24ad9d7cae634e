"""What a host knows of an upstream: its load, its work time, and its failures.

Upstreams report their load, and every answer shows how fast they are. An upstream that
hangs or loses results doesn't report this fault and may call itself healthy. So a
request that takes far longer than expected raises its upstream's probability of failure
at once, and not only when the request has timed out. A load probe that an upstream does
not answer in time has the same effect. The effect of a failure decays slowly.
"""

import math
from bisect import insort
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from .configuration import RouteKind

NS_PER_MS = 1_000_000

# Within this time, the requests of other hosts that a report counted have mostly ended.
REPORT_DECAY_MS = 1_500.0
# An upstream's momentary slowness changes several times a second.
SLOWNESS_DECAY_MS = 400.0
RELATIVE_WORK_TIME_SMOOTHING = 0.2
RELATIVE_WORK_TIME_MIN, RELATIVE_WORK_TIME_MAX = 0.2, 20.0
WORK_SMOOTHING = 0.05
WORK_INITIAL_MS = 100.0
# Assumed size of a download until the route's first answer. The size is not assumed to
# be small, because on a narrow link a few downloads at once delay everything else,
# including this host's own control traffic.
DOWNLOAD_INITIAL_BYTES = 100_000.0
FAILURE_SMOOTHING = 0.15
# Cost of a failed attempt to its caller, as a time. A request that may run only once is
# lost if its attempt fails.
FAILURE_COST_MS = 1_000.0
UNSAFE_FAILURE_COST_MS = 4_000.0
# The failure share halves in this time. After some half-lives, an upstream to which
# nothing is sent any more ranks as well as others again.
FAILURE_HALF_LIFE_MS = 10_000.0
# A request is overdue after this multiple of its expected time.
OVERDUE_FACTOR = 3.0
OVERDUE_MIN_MS = 300.0
# Added to the probability of failure for each overdue request or probe.
OVERDUE_FAILURE_SHARE = 0.3

# The longest time that callers of a route leave for an answer decays within some
# hundreds of requests, since the callers that wait longest may stop calling.
LONGEST_LEFT_DECAY = 0.999
# A request with less than this share of the longest time left is assumed to be a caller
# retry.
CALLER_RETRY_SHARE = 0.985

# Up to this age, a report is used without a new probe of the upstream.
REPORT_FRESH_MS = 100.0


class LoadReport(NamedTuple):
    """Load that an upstream reported in an answer; a ``slowness`` of 1 is usual."""

    n_running: int
    n_waiting: int
    n_slots: int
    slowness: float


@dataclass(slots=True)
class UpstreamLoad:
    """What a host knows of an upstream's load and work time.

    ``n_others`` is the number of requests of other hosts in the last report, and
    ``was_full`` whether no slot was free then.
    ``relative_work_time`` is how long the upstream takes for a request relative to the
    mean of its service, so a slow upstream has a value above 1. ``failure_share`` is as
    of ``failed_ns``. ``due_ns`` are the times, in order, from which this host's
    requests and probes to the upstream are overdue. No request is sent before
    ``blocked_until_ns``, since connections were refused.
    """

    n_slots: int
    n_in_flight: int = 0
    n_others: int = 0
    slowness: float = 1.0
    reported_ns: int = 0
    was_full: bool = False
    relative_work_time: float = 1.0
    failure_share: float = 0.0
    failed_ns: int = 0
    due_ns: list[int] = field(default_factory=list)
    blocked_until_ns: int = 0
    n_connect_failures: int = 0


@dataclass(slots=True)
class WorkTime:
    """How long a route's requests take on an upstream with a relative work time of 1.

    ``longest_left_ms`` is about how much time callers of the route leave for the answer
    to a first request, and ``failure_cost_ms`` is the cost of a failed attempt, as a
    time.
    """

    mean_ms: float = WORK_INITIAL_MS
    answer_bytes: float = 0.0
    n_answers: int = 0
    longest_left_ms: float = 0.0
    failure_cost_ms: float = FAILURE_COST_MS

    @classmethod
    def from_kind(cls, kind: RouteKind) -> "WorkTime":
        """Return what is expected of a route's answers before its first answer."""
        work = cls(answer_bytes=DOWNLOAD_INITIAL_BYTES if kind == "download" else 0.0)
        return work_time_of_last_attempt(work) if kind == "unsafe" else work


def work_time_of_last_attempt(work: WorkTime) -> WorkTime:
    """Return the work time of a request that may not be sent again if it fails."""
    return replace(work, failure_cost_ms=UNSAFE_FAILURE_COST_MS)


def expected_ms(load: UpstreamLoad, work_ms: float, now_ns: int) -> float:
    """Return how long an upstream would take for a new request, without link time."""
    age_ms = (now_ns - load.reported_ns) / NS_PER_MS
    slowness = 1.0 + (load.slowness - 1.0) * max(0.0, 1 - age_ms / SLOWNESS_DECAY_MS)
    service_ms = work_ms * load.relative_work_time * slowness
    n_queued = max(0.0, n_ahead(load, now_ns) + 1 - load.n_slots)
    return service_ms * (1 + n_queued / max(1, load.n_slots))


def n_ahead(load: UpstreamLoad, now_ns: int) -> float:
    """Return about how many requests an upstream has, from this host and others."""
    age_ms = (now_ns - load.reported_ns) / NS_PER_MS
    return load.n_in_flight + load.n_others * max(0.0, 1 - age_ms / REPORT_DECAY_MS)


def is_report_fresh(load: UpstreamLoad, now_ns: int) -> bool:
    """Return whether the last report is so recent that no new probe is needed."""
    return now_ns - load.reported_ns <= REPORT_FRESH_MS * NS_PER_MS


def has_free_slot(report: LoadReport | None) -> bool:
    """Return whether an upstream reported a free slot."""
    return report is not None and report.n_running < report.n_slots


def record_arrival(work: WorkTime, time_left_ms: float) -> bool:
    """Record the time left to a request; return whether it is probably a caller retry.

    A caller that was refused before leaves less time for its next request than other
    callers of the route leave for their first.
    """
    work.longest_left_ms = max(time_left_ms, LONGEST_LEFT_DECAY * work.longest_left_ms)
    return time_left_ms < CALLER_RETRY_SHARE * work.longest_left_ms


def elapsed_before_ms(work: WorkTime, time_left_ms: float) -> float:
    """Estimate how long a caller had waited when its request arrived; 0 if unknown.

    `record_arrival` has recorded the request.
    """
    return max(0.0, work.longest_left_ms - time_left_ms) if time_left_ms > 0 else 0.0


def overdue_at_ns(now_ns: int, expected_ms: float) -> int:
    """Return the time from which a request that is sent now is overdue."""
    overdue_ms = max(OVERDUE_MIN_MS, OVERDUE_FACTOR * expected_ms)
    return now_ns + int(overdue_ms * NS_PER_MS)


def record_sent(load: UpstreamLoad, due_ns: int) -> None:
    """Record that a request is in flight, and the time from which it is overdue."""
    load.n_in_flight += 1
    add_overdue_time(load, due_ns)


def record_ended(load: UpstreamLoad, due_ns: int) -> None:
    """Record that a request is no longer in flight."""
    load.n_in_flight -= 1
    remove_overdue_time(load, due_ns)


def add_overdue_time(load: UpstreamLoad, due_ns: int) -> None:
    """Record the time from which a request or probe is overdue."""
    insort(load.due_ns, due_ns)


def remove_overdue_time(load: UpstreamLoad, due_ns: int) -> None:
    """Record that a request or probe was answered, or was abandoned."""
    load.due_ns.remove(due_ns)


def failure_probability(load: UpstreamLoad, now_ns: int) -> float:
    """Return about how likely one more request is to fail, from 0 to 1."""
    n_overdue = sum(1 for due_ns in load.due_ns if due_ns <= now_ns)
    return min(
        1.0, _decayed_failure_share(load, now_ns) + OVERDUE_FAILURE_SHARE * n_overdue
    )


def record_report(
    load: UpstreamLoad, report: LoadReport, n_own: int, now_ns: int
) -> None:
    """Record the load that an upstream reported, unless a later report is known.

    Parameters
    ----------
    load : UpstreamLoad
        State of the upstream.
    report : LoadReport
        Reported load.
    n_own : int
        Requests of this host that the upstream still had at the time of the report.
    now_ns : int
        Time at which the report arrived.
    """
    if now_ns < load.reported_ns:
        return
    load.n_slots = report.n_slots or load.n_slots
    load.n_others = max(0, report.n_running + report.n_waiting - max(0, n_own))
    load.was_full = report.n_running >= load.n_slots
    load.slowness = report.slowness
    load.reported_ns = now_ns


def record_answer(
    load: UpstreamLoad, work: WorkTime, took_ms: float, n_queued: float, n_bytes: int
) -> None:
    """Update the work times of an upstream and of a route from an answer.

    Parameters
    ----------
    load : UpstreamLoad
        State of the upstream that answered.
    work : WorkTime
        Work of the request's route.
    took_ms : float
        Time from the send to the answer's head, in ms, without link time.
    n_queued : float
        Number of requests expected to queue at the upstream at the time of the send.
    n_bytes : int
        Size of the answer in bytes.
    """
    service_ms = took_ms / (1 + n_queued / max(1, load.n_slots))
    if work.n_answers == 0:
        work.mean_ms = max(1.0, service_ms)
        work.answer_bytes = n_bytes
    work.n_answers += 1
    ratio = min(
        RELATIVE_WORK_TIME_MAX, max(RELATIVE_WORK_TIME_MIN, service_ms / work.mean_ms)
    )
    load.relative_work_time += RELATIVE_WORK_TIME_SMOOTHING * (
        ratio - load.relative_work_time
    )
    work.mean_ms += WORK_SMOOTHING * (
        service_ms / load.relative_work_time - work.mean_ms
    )
    work.answer_bytes += WORK_SMOOTHING * (n_bytes - work.answer_bytes)
    load.failure_share -= FAILURE_SMOOTHING * load.failure_share
    load.n_connect_failures = 0


def record_failure(load: UpstreamLoad, now_ns: int) -> None:
    """Record that an upstream failed a request, or did not answer a probe in time."""
    decayed = _decayed_failure_share(load, now_ns)
    load.failure_share = decayed + FAILURE_SMOOTHING * (1 - decayed)
    load.failed_ns = now_ns


def record_unreachable(load: UpstreamLoad, now_ns: int) -> None:
    """Record a refused connection, and block the upstream for a while."""
    load.n_connect_failures += 1
    pause_ms = min(2_000, 100 * 2 ** min(load.n_connect_failures, 6))
    load.blocked_until_ns = now_ns + pause_ms * NS_PER_MS


def _decayed_failure_share(load: UpstreamLoad, now_ns: int) -> float:
    """Return the failure share after its decay since the last failure."""
    if load.failure_share == 0.0:
        return 0.0
    age_ms = max(0, now_ns - load.failed_ns) / NS_PER_MS
    return load.failure_share * math.exp2(-age_ms / FAILURE_HALF_LIFE_MS)
