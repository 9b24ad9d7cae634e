"""The HTTP edge for upstreams: announce, renew and leave.

Any host of an upstream's data centre serves these routes.
"""

import hmac
import re
from typing import Any

from aiohttp import web

from bergamotferry.commands import DrainSession, OpenSession
from bergamotferry.leases import SESSION_LEASE_MS
from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import ResultCode

from .group_commit import commit
from .host_state import HostState
from .http_address import split_address
from .http_answers import bearer_token, refusal_response
from .http_body import read_json_object
from .lease_renewal import renew_session

RENEW_EVERY_MS = 150
ANNOUNCE_MAX_BYTES = 4096
N_SLOTS_MAX = 1024
N_CONNECTIONS_MAX = 10_000
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}\Z")
_ADDRESS = re.compile(r"[0-9.]{7,15}:[0-9]{1,5}\Z")
_TEXT_FIELDS = (("name", _NAME), ("service", _NAME), ("address", _ADDRESS))


def add_upstream_routes(app: web.Application, state: HostState) -> None:
    """Add the routes for upstreams to the control application."""

    async def announce(request: web.Request) -> web.Response:
        return await _handle_authorized(state, request, _announce)

    async def renew(request: web.Request) -> web.Response:
        return await _handle_authorized(state, request, _renew)

    async def leave(request: web.Request) -> web.Response:
        return await _handle_authorized(state, request, _leave)

    app.router.add_post("/upstreams/v1/announce", announce)
    app.router.add_post("/upstreams/v1/renew", renew)
    app.router.add_post("/upstreams/v1/leave", leave)


async def _handle_authorized(
    state: HostState, request: web.Request, handler: Any
) -> web.Response:
    token = bearer_token(request)
    if not token:
        return refusal_response(Refused(ResultCode.MISSING_TOKEN, "no token"), "")
    if not hmac.compare_digest(token.encode(), state.settings.upstream_token.encode()):
        return refusal_response(Refused(ResultCode.UNKNOWN_TOKEN, "not known"), "")
    body = await read_json_object(request, ANNOUNCE_MAX_BYTES)
    if isinstance(body, Refused):
        return refusal_response(body, "")
    outcome = await handler(state, body)
    if isinstance(outcome, Refused):
        return refusal_response(outcome, "")
    return web.json_response(outcome)


async def _announce(
    state: HostState, body: dict[str, Any]
) -> dict[str, object] | Refused:
    command = _read_announcement(body)
    if isinstance(command, Refused):
        return command
    if body.get("data_centre") != state.host.data_centre:
        return Refused(
            ResultCode.SESSION_WRONG_DATA_CENTRE, f"this is {state.host.data_centre}"
        )
    if command.service not in state.global_tables.services:
        if not state.is_caught_up:
            return Refused(ResultCode.HOST_NOT_READY, "the host is catching up")
        return Refused(ResultCode.SESSION_WRONG_SERVICE, "the service is unknown")
    outcome = await commit(state.own_group, command)
    if isinstance(outcome, Refused):
        return outcome
    renewed = await _renew(state, body)
    if isinstance(renewed, Refused):
        return renewed
    return {**renewed, "session_epoch": outcome.revision}


async def _renew(state: HostState, body: dict[str, Any]) -> dict[str, object] | Refused:
    name, incarnation = body.get("name"), body.get("incarnation")
    if not _is_name(name) or not _is_positive_int(incarnation, 1 << 62):
        return Refused(ResultCode.BAD_REQUEST, "needs name and incarnation")
    outcome = await renew_session(state, str(name), int(incarnation or 0))
    if isinstance(outcome, Refused):
        return outcome
    return {"lease_ms": SESSION_LEASE_MS, "renew_every_ms": RENEW_EVERY_MS}


async def _leave(state: HostState, body: dict[str, Any]) -> dict[str, object] | Refused:
    name, incarnation = body.get("name"), body.get("incarnation")
    if not _is_name(name) or not _is_positive_int(incarnation, 1 << 62):
        return Refused(ResultCode.BAD_REQUEST, "needs name and incarnation")
    command = DrainSession(str(name), int(incarnation or 0), False)
    outcome = await commit(state.own_group, command)
    if isinstance(outcome, Refused):
        return outcome
    return {"state": "draining"}


def _read_announcement(body: dict[str, Any]) -> OpenSession | Refused:
    wrong = [
        field
        for field, pattern in _TEXT_FIELDS
        if not isinstance(body.get(field), str) or not pattern.match(body[field])
    ]
    wrong += [
        field
        for field, maximum in (
            ("incarnation", 1 << 62),
            ("n_slots", N_SLOTS_MAX),
            ("max_connections", N_CONNECTIONS_MAX),
        )
        if not _is_positive_int(body.get(field), maximum)
    ]
    if not isinstance(body.get("checks_epochs"), bool):
        wrong.append("checks_epochs")
    if "address" not in wrong and not _is_address(body["address"]):
        wrong.append("address")
    if wrong:
        return Refused(ResultCode.BAD_REQUEST, f"wrong fields: {', '.join(wrong)}")
    return OpenSession(
        body["name"],
        body["service"],
        body["address"],
        body["incarnation"],
        body["n_slots"],
        body["max_connections"],
        body["checks_epochs"],
    )


def _is_name(value: object) -> bool:
    return isinstance(value, str) and _NAME.match(value) is not None


def _is_positive_int(value: object, maximum: int) -> bool:
    is_int = isinstance(value, int) and not isinstance(value, bool)
    return is_int and 0 < value <= maximum  # type: ignore[operator]


def _is_address(text: str) -> bool:
    try:
        ip, port = split_address(text)
    except ValueError:
        return False
    return bool(ip) and 0 < port < 65536
