"""The state of one request of a caller, and the reservation that it holds."""

from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from multidict import CIMultiDict

from bergamotferry.accounts import (
    Account,
    allows_region,
    common_regions,
    request_priority,
)
from bergamotferry.configuration import DirectRoute, DirectService
from bergamotferry.service_load.work_counts import CountedWork
from bergamotferry.spill.search import PlaceSearch

from .answer_streaming import CallerAnswer
from .clock import now_ns
from .direct_host import DirectHost, Upstream
from .quota.state import Permit
from .refused_sends import RefusedSend


@dataclass(slots=True)
class DirectRequest:
    """One request of a caller in flight, and the results of its sends so far.

    ``n_delivered`` sends reached an upstream; ``n_maybe_run`` of these may have run.
    ``deadline_ns`` is the caller's deadline. ``is_caller_retry`` is whether the caller
    has probably sent the request before. ``caller_elapsed_ms`` is how long the caller
    had probably waited, at other hosts too, when the request arrived.
    ``token`` is the fencing token of the key's range at the last placement.
    ``may_retry_immediately`` is set if the request was refused by an upstream with a
    free slot, or because of this host's own link; the caller may then retry
    immediately.
    ``excluded`` names the upstreams that the next send must avoid. ``caller`` is the
    connection to the caller, once it is known. ``fingerprint`` identifies the content,
    once it was needed. ``is_trial`` is set for the trial of a quarantined request.
    With ``has_run_permit`` it may run although it is under suspicion; ``is_run_open``
    is set while its last run may still have ended its upstream.
    ``lost_upstream`` is the last upstream whose connection broke under the request.
    ``n_sends_by_address`` counts the sends, and ``refused_sends`` are those that their
    upstreams said not to have run. ``work`` is how its work was counted. ``search`` is
    the search for the request's data centre, and ``data_centres`` those whose upstreams
    are candidates now; None is any. ``account`` is the account of the caller, if known,
    and ``permit`` the right to send the request if the account has a cap.
    """

    request_id: str
    route: DirectRoute
    service: DirectService
    method: str
    target: str
    headers: CIMultiDict[str]
    body: bytes
    shard_key: int | None
    began_ns: int
    deadline_ns: int
    n_sends: int = 0
    n_delivered: int = 0
    n_maybe_run: int = 0
    is_timed_out: bool = False
    is_caller_retry: bool = False
    caller_elapsed_ms: float = 0.0
    may_retry_immediately: bool = False
    token: int = 0
    excluded: set[str] = field(default_factory=set)
    last_detail: str = ""
    caller: CallerAnswer | None = None
    fingerprint: str = ""
    is_trial: bool = False
    has_run_permit: bool = False
    is_run_open: bool = False
    lost_upstream: str = ""
    n_sends_by_address: Counter[str] = field(default_factory=Counter)
    refused_sends: list[RefusedSend] = field(default_factory=list)
    work: CountedWork | None = None
    search: PlaceSearch | None = None
    data_centres: frozenset[str] | None = None
    account: Account | None = None
    permit: Permit = field(default_factory=Permit)

    @property
    def priority(self) -> int:
        """The priority of the request; 0 is the most urgent."""
        return request_priority(self.route.priority, self.account)

    @property
    def home_regions(self) -> tuple[str, ...]:
        """Regions in which the request may be served; any if there are none."""
        return common_regions(self.route.home_regions, self.account)

    def allows_region(self, region: str) -> bool:
        """Return whether the request may be served in a region."""
        return allows_region(self.route.home_regions, self.account, region)

    @property
    def has_answer_begun(self) -> bool:
        """Whether an answer's head was sent, which rules out any other answer."""
        return self.caller is not None and self.caller.has_begun


class Reservation(NamedTuple):
    """A request's reservation at an upstream, with the estimates it was based on.

    The upstream's load counts the reservation as in flight until the sender records its
    end. ``n_queued`` requests were expected to wait at the upstream, and the answer was
    expected after ``expected_ms``. From ``due_ns`` on the request is overdue.
    ``report_age_ms`` is the age of the last load report, or -1 if there was none.
    """

    upstream: Upstream
    expected_ms: float
    n_queued: float
    report_age_ms: int
    due_ns: int


def elapsed_ms(request: DirectRequest) -> float:
    """Return the time since a request was received, in ms."""
    return (now_ns() - request.began_ns) / 1e6


def time_to_answer_ms(host: DirectHost, request: DirectRequest) -> float:
    """Return the time in ms until the caller's deadline, or until this host stops."""
    end_ns = request.deadline_ns
    if host.stop_end_ns is not None:
        end_ns = min(end_ns, host.stop_end_ns)
    return (end_ns - now_ns()) / 1e6
