"""HTTP API for operators, used by ``bergamotferryctl``."""

import asyncio
import hmac
import json
from collections.abc import Awaitable, Callable

from aiohttp import web

from bergamotferry.commands import ApplyNote
from bergamotferry.global_tables import configuration_of
from bergamotferry.hot_key_messages import ExceptionRow
from bergamotferry.messages import (
    FindGrant,
    GrantReport,
    HostStatus,
    HostStatusRequest,
    LiftQuarantine,
    ListQuarantine,
    ListUpstreams,
    QuarantineList,
    UpstreamList,
)
from bergamotferry.note_check import N_ENTITIES_MAX, check_note, rows_of
from bergamotferry.outcomes import Refused
from bergamotferry.records import DataCentre, ShardId
from bergamotferry.release_note import (
    NOTE_MAX_BYTES,
    NoteError,
    ReleaseNote,
    canonical_content,
    errors_text,
    parse_note_text,
)
from bergamotferry.result_codes import ResultCode

from .group import wait_applied
from .group_commit import commit
from .host_state import HostState
from .http_answers import bearer_token, refusal_response
from .http_body import read_json_object, read_text
from .leader_duties import query_capacity
from .logs import log
from .operator_queries import query_data_centre, query_data_centres, query_hot_keys
from .peer_link import PeerUnreachable
from .readiness import own_status

IN_FORCE_WAIT_MS = 5000
STATUS_TIMEOUT_S = 1.0
COMMIT_TIMEOUT_S = 5.0
QUARANTINE_RELEASE_MAX_BYTES = 4096

Handler = Callable[[HostState, web.Request], Awaitable[web.Response]]


def add_operator_routes(app: web.Application, state: HostState) -> None:
    """Add the operators' routes to the control application."""

    def guarded(handler: Handler) -> Callable[[web.Request], Awaitable[web.Response]]:
        async def handle(request: web.Request) -> web.Response:
            refusal = _check_token(state, request)
            if refusal is not None:
                return refusal_response(refusal, "")
            return await handler(state, request)

        return handle

    router = app.router
    router.add_post("/operators/v1/notes", guarded(_apply_note))
    router.add_get("/operators/v1/configuration", guarded(_configuration))
    router.add_get("/operators/v1/status", guarded(_status))
    router.add_get("/operators/v1/upstreams", guarded(_upstreams))
    router.add_get("/operators/v1/owner", guarded(_owner))
    router.add_get("/operators/v1/quarantine", guarded(_quarantine))
    router.add_post("/operators/v1/quarantine/release", guarded(_release_quarantine))
    router.add_get("/operators/v1/capacity", guarded(_capacity))
    router.add_get("/operators/v1/hot-keys", guarded(_hot_keys))


async def answer_status(state: HostState, message: HostStatusRequest) -> HostStatus:
    """Return this host's status, after waiting for a revision if the request names one.

    The wait ends after ``wait_ms`` milliseconds even if the revision is not applied.
    """
    group = state.global_group
    wait_left_ms = message.wait_ms
    while state.global_tables.revision < message.wait_revision and wait_left_ms > 0:
        await wait_applied(group, group.applied_index + 1, 0.05)
        wait_left_ms -= 50
    return own_status(state)


async def _apply_note(state: HostState, request: web.Request) -> web.Response:
    text = await read_text(request, NOTE_MAX_BYTES)
    if isinstance(text, Refused):
        return refusal_response(text, "")
    note, errors = parse_note_text(text)
    if note is not None:
        errors = errors + _check_note_locally(state, note)
    if note is None or errors:
        return _invalid_note(errors)
    command = ApplyNote(note.number, note.based_on, canonical_content(json.loads(text)))
    outcome = await commit(state.global_group, command, COMMIT_TIMEOUT_S)
    log("note", number=note.number, based_on=note.based_on, outcome=str(outcome))
    if isinstance(outcome, Refused):
        return refusal_response(outcome, "")
    statuses = await _statuses_of_all_hosts(state, outcome.revision, IN_FORCE_WAIT_MS)
    in_force = [
        name
        for name, status in statuses.items()
        if status is not None and status.revision >= outcome.revision
    ]
    missing = sorted(set(statuses) - set(in_force))
    return web.json_response(
        {"revision": outcome.revision, "in_force": in_force, "not_reached": missing}
    )


def _check_note_locally(state: HostState, note: ReleaseNote) -> list[NoteError]:
    """Check a note against this host's tables; return the errors with their places.

    The check only reports errors early: the leader checks again and decides.
    """
    errors: list[NoteError] = []
    regions = {seed.data_centre: seed.region for seed in state.settings.seeds}
    for entity in note.added:
        if isinstance(entity, DataCentre):
            region = regions.get(entity.name, entity.region)
            if region != entity.region:
                message = f"its hosts are in region {region} by their settings"
                errors.append(NoteError(f"added.data_centres {entity.name}", message))
    # If a note was accepted before, the leader must repeat the first answer to it. So
    # only a note based on the revision in force is checked against the tables here.
    if note.based_on == state.global_tables.revision:
        errors += check_note(configuration_of(state.global_tables), note)
    return errors


def _invalid_note(errors: list[NoteError]) -> web.Response:
    refusal = Refused(ResultCode.NOTE_INVALID, errors_text(errors))
    return refusal_response(refusal, "", errors=[error._asdict() for error in errors])


async def _configuration(state: HostState, request: web.Request) -> web.Response:
    configuration = configuration_of(state.global_tables)
    body: dict[str, object] = {"revision": state.global_tables.revision}
    for kind in N_ENTITIES_MAX:
        rows = rows_of(configuration, kind).items()
        body[kind] = {name: row._asdict() for name, row in rows}
    body["retired_names"] = dict(configuration.retired_names)
    return web.json_response(body)


async def _status(state: HostState, request: web.Request) -> web.Response:
    statuses = await _statuses_of_all_hosts(state, 0, 0)
    hosts = []
    for name, status in sorted(statuses.items()):
        if status is None:
            hosts.append({"host": name, "is_reachable": False})
            continue
        row = status._asdict()
        row["groups"] = [group._asdict() for group in status.groups]
        hosts.append({**row, "is_reachable": True})
    return web.json_response({"answered_by": state.host.name, "hosts": hosts})


async def _upstreams(state: HostState, request: web.Request) -> web.Response:
    query = ListUpstreams()
    if request.query.get("data_centre") == "all":
        replies = await query_data_centres(state, query)
    else:
        own = state.host.data_centre
        replies = {own: await query_data_centre(state, own, query)}
    rows: list[dict[str, object]] = []
    for data_centre, reply in replies.items():
        if not isinstance(reply, UpstreamList):
            continue
        rows += [
            {
                "data_centre": data_centre,
                **row.session._asdict(),
                "dispatcher": row.dispatcher,
                "n_shards": row.n_shards,
            }
            for row in reply.rows
        ]
    return web.json_response({"upstreams": rows, "not_reached": _not_reached(replies)})


async def _owner(state: HostState, request: web.Request) -> web.Response:
    shard = _read_shard(request)
    if shard is None:
        refusal = Refused(ResultCode.BAD_REQUEST, "needs service, domain and number")
        return refusal_response(refusal, "")
    # An exception (the own shard of a hot key) is in the data centre of its home shard.
    # The home shard's number is the exception's number modulo ``n_shards``.
    service = state.global_tables.services.get(shard.service)
    number = shard.number % service.n_shards if service else shard.number
    home = state.global_tables.shard_homes.get(shard._replace(number=number))
    if home is None:
        refusal = Refused(ResultCode.NO_OWNER, "the shard has no data centre yet")
        return refusal_response(refusal, "")
    reply = await query_data_centre(state, home.data_centre, FindGrant(shard))
    grant = reply._asdict() if isinstance(reply, GrantReport) else None
    return web.json_response(
        {"shard": shard._asdict(), "home": home._asdict(), "grant": grant}
    )


async def _quarantine(state: HostState, request: web.Request) -> web.Response:
    replies = await query_data_centres(state, ListQuarantine())
    rows = [
        {"data_centre": data_centre, **row._asdict()}
        for data_centre, reply in replies.items()
        if isinstance(reply, QuarantineList)
        for row in reply.rows
    ]
    return web.json_response({"quarantine": rows, "not_reached": _not_reached(replies)})


async def _release_quarantine(state: HostState, request: web.Request) -> web.Response:
    body = await read_json_object(request, QUARANTINE_RELEASE_MAX_BYTES)
    if isinstance(body, Refused):
        return refusal_response(body, "")
    fingerprint = body.get("fingerprint")
    if not isinstance(fingerprint, str) or not 0 < len(fingerprint) <= 128:
        refusal = Refused(ResultCode.BAD_REQUEST, "needs a fingerprint")
        return refusal_response(refusal, "")
    replies = await query_data_centres(state, LiftQuarantine(fingerprint))
    released = sorted(name for name, code in replies.items() if code == 0)
    missing = sorted(set(replies) - set(released))
    return web.json_response({"released": released, "not_reached": missing})


async def _hot_keys(state: HostState, request: web.Request) -> web.Response:
    replies = await query_hot_keys(state)
    rates: dict[tuple[ShardId, int], float] = {}
    exceptions: dict[tuple[ShardId, int], ExceptionRow] = {}
    for reply in replies.values():
        for key_rate in reply.rates if reply else ():
            hot_key = (key_rate.home, key_rate.key_hash)
            rates[hot_key] = max(key_rate.rate_per_s, rates.get(hot_key, 0.0))
        for row in reply.exceptions if reply else ():
            exceptions[row.home, row.key_hash] = row
    rows = []
    for hot_key in sorted(rates.keys() | exceptions.keys()):
        exception = exceptions.get(hot_key)
        rows.append(
            {
                **hot_key[0]._asdict(),
                "key_hash": f"{hot_key[1]:016x}",
                "rate_per_s": round(rates.get(hot_key, 0.0), 1),
                "own_number": exception.shard.number if exception else None,
                "upstream": exception.upstream if exception else "",
                "state": exception.state if exception else "",
            }
        )
    rows.sort(key=lambda row: -float(str(row["rate_per_s"])))
    body = {"data_centre": state.host.data_centre, "hot_keys": rows}
    return web.json_response({**body, "not_reached": _not_reached(dict(replies))})


def _read_shard(request: web.Request) -> ShardId | None:
    number = request.query.get("number", "")
    service = request.query.get("service", "")
    if not service or not number.isascii() or not number.isdigit() or len(number) > 8:
        return None
    return ShardId(service, request.query.get("domain", ""), int(number))


async def _capacity(state: HostState, request: web.Request) -> web.Response:
    name = request.query.get("data_centre", "")
    if name not in state.global_tables.data_centres:
        refusal = Refused(ResultCode.BAD_REQUEST, "needs a known data_centre")
        return refusal_response(refusal, "")
    answer = await query_capacity(state, name)
    if answer is None or not answer.is_leader:
        refusal = Refused(ResultCode.NO_LEADER, "the global leader is unreachable")
        return refusal_response(refusal, "")
    rows = [row._asdict() for row in answer.rows]
    return web.json_response({"data_centre": name, "services": rows})


async def _statuses_of_all_hosts(
    state: HostState, revision: int, wait_ms: int
) -> dict[str, HostStatus | None]:
    message = HostStatusRequest(revision, wait_ms)

    async def query_host(host: str) -> HostStatus | None:
        try:
            timeout_s = STATUS_TIMEOUT_S + wait_ms / 1000
            reply = await state.network.call(host, message, timeout_s)
        except PeerUnreachable:
            return None
        return reply if isinstance(reply, HostStatus) else None

    names = sorted(state.network.addresses)
    replies = await asyncio.gather(*(query_host(name) for name in names))
    return dict(zip(names, replies, strict=True))


def _not_reached(replies: dict[str, object]) -> list[str]:
    return sorted(name for name, reply in replies.items() if reply is None)


def _check_token(state: HostState, request: web.Request) -> Refused | None:
    token = bearer_token(request)
    if not token:
        return Refused(ResultCode.MISSING_TOKEN, "no token")
    if not hmac.compare_digest(token.encode(), state.settings.operator_token.encode()):
        return Refused(ResultCode.UNKNOWN_TOKEN, "not known")
    return None
