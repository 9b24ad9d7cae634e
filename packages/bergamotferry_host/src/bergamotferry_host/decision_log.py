"""Logs each routing and placement decision as one line, with the inputs it is based on.

Each line about a request contains the request id, so that ``bergamotferryctl explain``
can join the lines of all hosts. No line contains a key, a body, an idempotency key or a
token, because data that is bound to a home region must not be stored in a log. The
functions therefore log only selected fields, and never a request as a whole.
"""

from dataclasses import dataclass

from bergamotferry.commands import Command
from bergamotferry.messages import RequestHead
from bergamotferry.outcomes import Accepted, Refused
from bergamotferry.records import ShardId
from bergamotferry.result_codes import ResultCode
from bergamotferry.stragglers import Verdict

from .logs import log
from .metrics import Metrics

N_ITEMS_LOGGED_MAX = 8
# Fields of commands that identify a request or hold its content; they are not logged.
_OMITTED_FIELDS = frozenset(
    {
        "idempotency_key",
        "request_sha256",
        "fingerprint",
        "body",
        "content",
        "outcomes",
        "key_hash",
    }
)


@dataclass(slots=True)
class RequestDecision:
    """An entry host's routing decision for one request, and the bytes transferred."""

    request_id: str
    account: str = ""
    route: str = ""
    to_data_centre: str = ""
    shard: ShardId | None = None
    is_home_bound: bool = False
    revision: int = 0
    deadline_ms: int = 0
    dispatcher: str = ""
    epoch: int = 0
    n_bytes_in: int = 0
    n_bytes_out: int = 0


def log_request(
    decision: RequestDecision,
    outcome: Refused | None,
    status: int,
    took_ms: float,
    metrics: Metrics,
) -> None:
    """Log a request at its entry host, and update the request metrics."""
    code = outcome.code if outcome is not None else ResultCode.SERVED
    fields: dict[str, object] = {
        "request_id": decision.request_id,
        "code": int(code),
        "result": code.name,
        "status": status,
        "took_ms": round(took_ms, 2),
        "revision": decision.revision,
    }
    if decision.account:
        fields["account"] = decision.account
    if decision.route:
        # Until a route matches, the route's text is the caller's and may hold a key.
        fields["route"] = decision.route
        fields["why"] = outcome.detail if outcome is not None else ""
        fields["deadline_ms"] = decision.deadline_ms
        fields["n_bytes_in"] = decision.n_bytes_in
        fields["n_bytes_out"] = decision.n_bytes_out
    if decision.shard is not None:
        fields["to_data_centre"] = decision.to_data_centre
        fields["domain"] = decision.shard.domain
        fields["shard"] = decision.shard.number
        fields["is_home_bound"] = decision.is_home_bound
        fields["dispatcher"] = decision.dispatcher
        fields["epoch"] = decision.epoch
    log("routed", **fields)
    metrics.incr(f"requests.code.{int(code)}")
    metrics.timing("requests.took_ms", took_ms)


def log_attempt(head: RequestHead, host: str, outcome: Refused | None) -> None:
    """Log one attempt of the entry host to have ``host`` dispatch a request.

    ``host`` may be the entry host itself; it is empty if there is no host to choose.
    """
    log(
        "attempt",
        request_id=head.request_id,
        to_host=host,
        deadline_ms=head.deadline_ms,
        **_outcome_fields(outcome),
    )


def log_dispatch(
    head: RequestHead,
    upstream: str,
    epoch: int,
    queue_ms: float,
    took_ms: float,
    outcome: Refused | None,
) -> None:
    """Log a request at the dispatcher of the upstream that owns its shard."""
    log(
        "dispatched",
        request_id=head.request_id,
        upstream=upstream,
        epoch=epoch,
        shard=head.shard.number,
        domain=head.shard.domain,
        queue_ms=round(queue_ms, 2),
        took_ms=round(took_ms, 2),
        **_outcome_fields(outcome),
    )


def log_placement(
    group: str, command: Command, reason: str, outcome: Accepted | Refused
) -> None:
    """Log a command that the leader of a group proposed, and its outcome."""
    inputs = {
        name: _loggable_input(value)
        for name, value in command._asdict().items()
        if name not in _OMITTED_FIELDS
    }
    log(
        "placement",
        group=group,
        command=type(command).__name__,
        reason=reason,
        inputs=inputs,
        **_outcome_fields(outcome if isinstance(outcome, Refused) else None),
    )


def log_straggler(group: str, verdict: Verdict) -> None:
    """Log a verdict on whether an upstream is slower than its peers."""
    latency_ms = verdict.latency_ms
    log(
        "straggler",
        group=group,
        service=verdict.service,
        upstream=verdict.upstream,
        is_slow=verdict.is_slow,
        latency_ms=None if latency_ms is None else round(latency_ms, 2),
        median_ms=round(verdict.median_ms, 2),
        threshold_ms=round(verdict.threshold_ms, 2),
    )


def _outcome_fields(outcome: Refused | None) -> dict[str, object]:
    if outcome is None:
        return {"code": int(ResultCode.SERVED), "why": ""}
    return {"code": int(outcome.code), "why": outcome.detail}


def _loggable_input(value: object) -> object:
    if isinstance(value, str | int | float | bool):
        return value
    if isinstance(value, ShardId):
        return f"{value.service}/{value.domain}/{value.number}"
    if isinstance(value, tuple):
        logged = [_loggable_input(item) for item in value[:N_ITEMS_LOGGED_MAX]]
        n_omitted = len(value) - len(logged)
        return [*logged, f"and {n_omitted} more"] if n_omitted else logged
    return type(value).__name__
