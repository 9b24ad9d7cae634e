"""Operators' HTTP, which ``bergamotferryctl`` speaks."""

import asyncio
import hmac
import json
from typing import Any

from aiohttp import web

from bergamotferry.commands import ApplyNote
from bergamotferry.messages import HostStatus, HostStatusRequest
from bergamotferry.outcomes import Refused
from bergamotferry.release_note import (
    NOTE_MAX_BYTES,
    canonical_content,
    entity_key,
    parse_note_text,
)
from bergamotferry.result_codes import ResultCode
from bergamotferry.shards import shard_of_key

from .group import commit, group_status, wait_applied
from .host_state import HostState
from .http_answers import bearer_token, refusal_response
from .leader_duties import ask_capacity
from .logs import log
from .peer_link import PeerUnreachable

IN_FORCE_WAIT_MS = 5000
STATUS_TIMEOUT_S = 1.0
APPLY_TIMEOUT_S = 5.0


def add_operator_routes(app: web.Application, state: HostState) -> None:
    """Add the operators' routes to the control application."""

    def guarded(handler: Any) -> Any:
        async def handle(request: web.Request) -> web.Response:
            refusal = _check_token(state, request)
            if refusal is not None:
                return refusal_response(refusal, "")
            response: web.Response = await handler(state, request)
            return response

        return handle

    app.router.add_post("/operators/v1/notes", guarded(_apply))
    app.router.add_get("/operators/v1/configuration", guarded(_configuration))
    app.router.add_get("/operators/v1/status", guarded(_status))
    app.router.add_get("/operators/v1/upstreams", guarded(_upstreams))
    app.router.add_get("/operators/v1/owner", guarded(_owner))
    app.router.add_get("/operators/v1/capacity", guarded(_capacity))


async def answer_status(state: HostState, message: HostStatusRequest) -> HostStatus:
    """Return this host's state, waiting for a revision if asked to."""
    group = state.global_group
    left_ms = message.wait_ms
    while state.global_tables.revision < message.wait_revision and left_ms > 0:
        await wait_applied(group, group.applied_index + 1, 0.05)
        left_ms -= 50
    return HostStatus(
        state.host.name,
        state.host.data_centre,
        state.host.region,
        state.incarnation,
        state.global_tables.revision,
        state.is_stopping,
        tuple(group_status(row) for row in state.groups.values()),
    )


async def _apply(state: HostState, request: web.Request) -> web.Response:
    if (request.content_length or 0) > NOTE_MAX_BYTES:
        refusal = Refused(ResultCode.BODY_TOO_LARGE, f"limit is {NOTE_MAX_BYTES}")
        return refusal_response(refusal, "")
    note, errors = parse_note_text(await request.text())
    if note is None or errors:
        text = "; ".join(f"{error.place}: {error.message}" for error in errors)
        return refusal_response(Refused(ResultCode.NOTE_INVALID, text), "")
    content = canonical_content(json.loads(await request.text()))
    command = ApplyNote(note.number, note.based_on, content)
    outcome = await commit(state.global_group, command, APPLY_TIMEOUT_S)
    log("note", number=note.number, based_on=note.based_on, outcome=str(outcome))
    if isinstance(outcome, Refused):
        return refusal_response(outcome, "")
    statuses = await _ask_all(state, outcome.revision, IN_FORCE_WAIT_MS)
    in_force = [
        name
        for name, status in statuses.items()
        if status is not None and status.revision >= outcome.revision
    ]
    missing = sorted(set(statuses) - set(in_force))
    return web.json_response(
        {"revision": outcome.revision, "in_force": in_force, "not_reached": missing}
    )


async def _configuration(state: HostState, request: web.Request) -> web.Response:
    tables = state.global_tables
    kinds = ("data_centres", "services", "routes", "accounts", "home_regions")
    body: dict[str, object] = {"revision": tables.revision}
    for kind in kinds:
        rows = getattr(tables, kind).values()
        body[kind] = {entity_key(row)[1]: row._asdict() for row in rows}
    return web.json_response(body)


async def _status(state: HostState, request: web.Request) -> web.Response:
    statuses = await _ask_all(state, 0, 0)
    hosts = []
    for name, status in sorted(statuses.items()):
        if status is None:
            hosts.append({"host": name, "is_reachable": False})
            continue
        row = status._asdict()
        row["groups"] = [group._asdict() for group in status.groups]
        hosts.append({**row, "is_reachable": True})
    return web.json_response({"hosts": hosts})


async def _upstreams(state: HostState, request: web.Request) -> web.Response:
    tables = state.own_tables
    rows = []
    for session in tables.sessions.values():
        dispatcher = tables.dispatchers.get(session.name)
        n_shards = sum(g.upstream == session.name for g in tables.grants.values())
        rows.append(
            {
                **session._asdict(),
                "dispatcher": dispatcher.host if dispatcher else "",
                "n_shards": n_shards,
            }
        )
    return web.json_response({"data_centre": state.host.data_centre, "upstreams": rows})


async def _owner(state: HostState, request: web.Request) -> web.Response:
    service = request.query.get("service", "")
    key = request.query.get("key", "")
    tables = state.global_tables
    row = tables.services.get(service)
    if row is None or not key:
        refusal = Refused(ResultCode.BAD_REQUEST, "needs a known service and a key")
        return refusal_response(refusal, "")
    shard = shard_of_key(service, row.n_shards, tables.home_regions.values(), key)
    home = tables.shard_homes.get(shard)
    body: dict[str, object] = {
        "shard": list(shard),
        "data_centre": home.data_centre if home else None,
        "next_data_centre": home.next_data_centre if home else None,
    }
    if home is not None and home.data_centre == state.host.data_centre:
        grant = state.own_tables.grants.get(shard)
        if grant is not None:
            dispatcher = state.own_tables.dispatchers.get(grant.upstream)
            body["upstream"] = grant.upstream
            body["epoch"] = grant.epoch
            body["state"] = grant.state
            body["dispatcher"] = dispatcher.host if dispatcher else None
    return web.json_response(body)


async def _capacity(state: HostState, request: web.Request) -> web.Response:
    name = request.query.get("data_centre", "")
    if name not in state.global_tables.data_centres:
        refusal = Refused(ResultCode.BAD_REQUEST, "needs a known data_centre")
        return refusal_response(refusal, "")
    answer = await ask_capacity(state, name)
    if answer is None or not answer.is_leader:
        refusal = Refused(ResultCode.NO_LEADER, "the global leader is unreachable")
        return refusal_response(refusal, "")
    rows = [row._asdict() for row in answer.rows]
    return web.json_response({"data_centre": name, "services": rows})


async def _ask_all(
    state: HostState, revision: int, wait_ms: int
) -> dict[str, HostStatus | None]:
    message = HostStatusRequest(revision, wait_ms)

    async def ask(host: str) -> HostStatus | None:
        try:
            timeout_s = STATUS_TIMEOUT_S + wait_ms / 1000
            reply = await state.network.call(host, message, timeout_s)
        except PeerUnreachable:
            return None
        return reply if isinstance(reply, HostStatus) else None

    names = sorted(state.network.addresses)
    replies = await asyncio.gather(*(ask(name) for name in names))
    return dict(zip(names, replies, strict=True))


def _check_token(state: HostState, request: web.Request) -> Refused | None:
    token = bearer_token(request)
    if not token:
        return Refused(ResultCode.MISSING_TOKEN, "no token")
    if not hmac.compare_digest(token.encode(), state.settings.operator_token.encode()):
        return Refused(ResultCode.UNKNOWN_TOKEN, "not known")
    return None
