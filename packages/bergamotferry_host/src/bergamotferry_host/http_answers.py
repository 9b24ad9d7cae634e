"""JSON bodies and headers that every HTTP edge answers with."""

from aiohttp import web

from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import RESULT_CODE_TABLE, ResultCode

CODE_HEADER = "Bergamotferry-Code"
NOT_RUN_HEADER = "Bergamotferry-Not-Run"
REQUEST_ID_HEADER = "Bergamotferry-Request-Id"


def outcome_headers(code: ResultCode, request_id: str) -> dict[str, str]:
    """Return the headers that tell an outcome."""
    is_not_run = RESULT_CODE_TABLE[code].is_not_run
    return {
        CODE_HEADER: str(int(code)),
        NOT_RUN_HEADER: "true" if is_not_run else "false",
        REQUEST_ID_HEADER: request_id,
    }


def refusal_body(refusal: Refused, request_id: str) -> dict[str, object]:
    """Return the JSON body that tells a refusal."""
    return {
        "code": int(refusal.code),
        "name": refusal.code.name,
        "not_run": refusal.is_not_run,
        "detail": refusal.detail,
        "request_id": request_id,
    }


def refusal_response(
    refusal: Refused, request_id: str, **details: object
) -> web.Response:
    """Return a refusal as a response; details are further fields of its body."""
    status = RESULT_CODE_TABLE[refusal.code].http_status
    body = {**refusal_body(refusal, request_id), **details}
    headers = outcome_headers(refusal.code, request_id)
    return web.json_response(body, status=status, headers=headers)


def bearer_token(request: web.Request) -> str:
    """Return the bearer token of a request, or an empty text."""
    scheme, _, token = request.headers.get("Authorization", "").partition(" ")
    # Text that came as bytes outside UTF-8 can't be any token that was given out.
    is_text = not any("\ud800" <= character <= "\udfff" for character in token)
    return token if scheme.lower() == "bearer" and is_text else ""
