"""Numbered result codes of responses and refusals.

Every response and every refusal carries one of these numbers. The thousands digit tells
the caller the kind of result: 0 served, 1 refused and not run, 2 outcome unknown, 3
failed after it had begun. ``docs/RESULT_CODES.md`` contains the same table, and a test
keeps the two equal.
"""

from enum import IntEnum
from typing import NamedTuple


class ResultCode(IntEnum):
    """Number of a result; ``RESULT_CODE_TABLE`` gives its meaning."""

    SERVED = 0
    MISSING_TOKEN = 1001
    UNKNOWN_TOKEN = 1002
    ACCOUNT_NOT_ALLOWED = 1003
    UNKNOWN_ROUTE = 1004
    BAD_REQUEST = 1005
    HEADERS_TOO_LARGE = 1006
    BODY_TOO_LARGE = 1007
    SENDER_TOO_SLOW = 1008
    BAD_JSON = 1009
    BAD_FRAME = 1010
    MISSING_IDEMPOTENCY_KEY = 1011
    IDEMPOTENCY_KEY_REUSED = 1012
    OUTSIDE_HOME_REGION = 1101
    DATA_CENTRE_OUT = 1102
    OWNER_UNREACHABLE = 1103
    NO_OWNER = 1104
    NOT_DISPATCHER = 1105
    STALE_EPOCH = 1106
    NO_LEADER = 1107
    HOST_STOPPING = 1108
    HOST_NOT_READY = 1109
    STATE_TOO_OLD = 1110
    ORDERED_SINCE = 1111
    QUEUE_FULL = 1201
    DEADLINE_TOO_SHORT = 1202
    DEADLINE_EXPIRED_IN_QUEUE = 1203
    ACCOUNT_OVER_LIMIT = 1204
    TOO_MANY_CONNECTIONS = 1205
    UPSTREAM_SHED = 1206
    LINK_BUDGET_SPENT = 1207
    NO_ROOM_FOR_BODY = 1208
    REQUEST_QUARANTINED = 1301
    OUTCOME_STORE_FULL = 1302
    NOTE_CONFLICT = 1401
    NOTE_INVALID = 1402
    NOTE_BASE_STALE = 1403
    SESSION_STALE_INCARNATION = 1501
    SESSION_NAME_TAKEN = 1502
    SESSION_WRONG_SERVICE = 1503
    SESSION_UNKNOWN = 1504
    SESSION_WRONG_DATA_CENTRE = 1505
    OUTCOME_UNKNOWN = 2001
    OUTCOME_PENDING = 2002
    OUTCOME_NOT_KEPT = 2003
    UPSTREAM_FAILED = 3001
    ANSWER_BROKEN = 3002
    DEADLINE_EXPIRED_RUNNING = 3003
    CALLER_GONE = 3004
    INTERNAL_ERROR = 3005
    BODY_BROKEN = 3006


class ResultCodeRow(NamedTuple):
    """HTTP status and meaning of a result code, and whether the request did not run."""

    http_status: int
    is_not_run: bool
    meaning: str


RESULT_CODE_TABLE: dict[ResultCode, ResultCodeRow] = {
    ResultCode.SERVED: ResultCodeRow(200, False, "The upstream's whole answer."),
    ResultCode.MISSING_TOKEN: ResultCodeRow(401, True, "No token was sent."),
    ResultCode.UNKNOWN_TOKEN: ResultCodeRow(401, True, "The token is not known."),
    ResultCode.ACCOUNT_NOT_ALLOWED: ResultCodeRow(
        403, True, "The account may not use this service."
    ),
    ResultCode.UNKNOWN_ROUTE: ResultCodeRow(404, True, "No such service or route."),
    ResultCode.BAD_REQUEST: ResultCodeRow(400, True, "The request is malformed."),
    ResultCode.HEADERS_TOO_LARGE: ResultCodeRow(431, True, "Headers over the limit."),
    ResultCode.BODY_TOO_LARGE: ResultCodeRow(413, True, "Body over the limit."),
    ResultCode.SENDER_TOO_SLOW: ResultCodeRow(408, True, "Body came too slowly."),
    ResultCode.BAD_JSON: ResultCodeRow(
        400, True, "The body is not the JSON asked for."
    ),
    ResultCode.BAD_FRAME: ResultCodeRow(400, True, "A peer frame is malformed."),
    ResultCode.MISSING_IDEMPOTENCY_KEY: ResultCodeRow(
        400, True, "The route needs an Idempotency-Key header."
    ),
    ResultCode.IDEMPOTENCY_KEY_REUSED: ResultCodeRow(
        422, True, "The idempotency key was used for another request."
    ),
    ResultCode.OUTSIDE_HOME_REGION: ResultCodeRow(
        421, True, "This host, or the owner, is outside the home region."
    ),
    ResultCode.DATA_CENTRE_OUT: ResultCodeRow(
        503, True, "The data centre is taken out."
    ),
    ResultCode.OWNER_UNREACHABLE: ResultCodeRow(
        503, True, "The owner's data centre can't be reached."
    ),
    ResultCode.NO_OWNER: ResultCodeRow(503, True, "The key has no owner just now."),
    ResultCode.NOT_DISPATCHER: ResultCodeRow(
        503, True, "This host does not dispatch for the owner."
    ),
    ResultCode.STALE_EPOCH: ResultCodeRow(503, True, "The grant has been replaced."),
    ResultCode.NO_LEADER: ResultCodeRow(503, True, "The group has no leader just now."),
    ResultCode.HOST_STOPPING: ResultCodeRow(503, True, "The host is stopping."),
    ResultCode.HOST_NOT_READY: ResultCodeRow(
        503, True, "The host has not caught up with the configuration."
    ),
    ResultCode.STATE_TOO_OLD: ResultCodeRow(
        503, True, "The host's state may be too old to decide on the account."
    ),
    ResultCode.ORDERED_SINCE: ResultCodeRow(
        503, True, "The object was ordered otherwise since the order was taken."
    ),
    ResultCode.QUEUE_FULL: ResultCodeRow(503, True, "The upstream's queue is full."),
    ResultCode.DEADLINE_TOO_SHORT: ResultCodeRow(
        503, True, "The expected wait exceeds the deadline."
    ),
    ResultCode.DEADLINE_EXPIRED_IN_QUEUE: ResultCodeRow(
        504, True, "The deadline passed while the request waited."
    ),
    ResultCode.ACCOUNT_OVER_LIMIT: ResultCodeRow(
        429, True, "The account is over its limit."
    ),
    ResultCode.TOO_MANY_CONNECTIONS: ResultCodeRow(
        503, True, "The host's connection limit is met."
    ),
    ResultCode.UPSTREAM_SHED: ResultCodeRow(
        503, True, "The upstream refused the request before starting it."
    ),
    ResultCode.LINK_BUDGET_SPENT: ResultCodeRow(
        503, True, "The budget of the link between regions is spent."
    ),
    ResultCode.NO_ROOM_FOR_BODY: ResultCodeRow(
        503,
        True,
        "The host holds as many bytes as it has memory for, or the body stalled while "
        "memory was short.",
    ),
    ResultCode.REQUEST_QUARANTINED: ResultCodeRow(
        422, True, "The request has ended upstreams and is quarantined."
    ),
    ResultCode.OUTCOME_STORE_FULL: ResultCodeRow(
        503, True, "No room to record the outcome."
    ),
    ResultCode.NOTE_CONFLICT: ResultCodeRow(
        409, True, "Another note with this number was accepted."
    ),
    ResultCode.NOTE_INVALID: ResultCodeRow(422, True, "The release note has errors."),
    ResultCode.NOTE_BASE_STALE: ResultCodeRow(
        409, True, "The note is not based on the revision in force."
    ),
    ResultCode.SESSION_STALE_INCARNATION: ResultCodeRow(
        409, True, "The incarnation has left, or a newer one is known."
    ),
    ResultCode.SESSION_NAME_TAKEN: ResultCodeRow(
        409, True, "The name is held by a live upstream at another address."
    ),
    ResultCode.SESSION_WRONG_SERVICE: ResultCodeRow(
        409, True, "The service is unknown, or not the one of this name."
    ),
    ResultCode.SESSION_UNKNOWN: ResultCodeRow(
        410, True, "No such session; announce again."
    ),
    ResultCode.SESSION_WRONG_DATA_CENTRE: ResultCodeRow(
        409, True, "Announce to a host of the upstream's own data centre."
    ),
    ResultCode.OUTCOME_UNKNOWN: ResultCodeRow(
        502, False, "It may have run; it will not be run again."
    ),
    ResultCode.OUTCOME_PENDING: ResultCodeRow(
        409, False, "It may still run; send it again under its key to learn."
    ),
    ResultCode.OUTCOME_NOT_KEPT: ResultCodeRow(
        410, False, "It ran once; its answer is not kept."
    ),
    ResultCode.UPSTREAM_FAILED: ResultCodeRow(
        502, False, "The upstream failed while the request ran."
    ),
    ResultCode.ANSWER_BROKEN: ResultCodeRow(
        502, False, "The answer broke off before its end."
    ),
    ResultCode.DEADLINE_EXPIRED_RUNNING: ResultCodeRow(
        504, False, "The deadline passed while the request ran."
    ),
    ResultCode.CALLER_GONE: ResultCodeRow(499, False, "The caller hung up."),
    ResultCode.INTERNAL_ERROR: ResultCodeRow(500, False, "A fault of the host itself."),
    ResultCode.BODY_BROKEN: ResultCodeRow(
        400, False, "The body broke a limit after part of it was sent on."
    ),
}

# Causes of refusals that several codes share, or that operators know by another name.
_CAUSES: dict[ResultCode, str] = {
    ResultCode.MISSING_TOKEN: "key",
    ResultCode.UNKNOWN_TOKEN: "key",
    ResultCode.STATE_TOO_OLD: "stale",
    ResultCode.ACCOUNT_OVER_LIMIT: "cap",
}


def refusal_cause(code: ResultCode) -> str:
    """Return the cause of a refusal as one word, for logs."""
    return _CAUSES.get(code, code.name.lower())
