"""Decision lines: one for each routing or placement decision, with its inputs.

Every line about a request carries its id, so ``bergamotferryctl explain`` can join what
all hosts wrote. No line holds a key, a body, an idempotency key or a token: what a home
region binds must not be kept in a log. So the functions here take the named values they
write, and none takes a request as a whole.
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

N_SHARDS_SHOWN = 8
# Fields of commands that stand for a request or its content.
_HIDDEN_FIELDS = frozenset(
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
    """What an entry host decided about one request, and what came of it."""

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
    """Write the line of a request at its entry host, and count it."""
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
        # Until the route is known, its text is the caller's and may be part of a key.
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
    """Write the line of one attempt that an entry host made."""
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
    """Write the line of a request at the dispatcher of its owner."""
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
    """Write the line of a command that a group's leader decided on."""
    inputs = {
        name: _input_text(value)
        for name, value in command._asdict().items()
        if name not in _HIDDEN_FIELDS
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
    """Write the line of a verdict on an upstream's latency."""
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


def _input_text(value: object) -> object:
    if isinstance(value, str | int | float | bool):
        return value
    if isinstance(value, ShardId):
        return f"{value.service}/{value.domain}/{value.number}"
    if isinstance(value, tuple):
        shown = [_input_text(item) for item in value[:N_SHARDS_SHOWN]]
        n_more = len(value) - len(shown)
        return [*shown, f"and {n_more} more"] if n_more else shown
    return type(value).__name__
