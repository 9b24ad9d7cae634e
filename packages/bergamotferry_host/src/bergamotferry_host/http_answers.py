"""JSON bodies and result headers that all HTTP edges answer with."""

from aiohttp import web

from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import RESULT_CODE_TABLE, ResultCode

CODE_HEADER = "Bergamotferry-Code"
NOT_RUN_HEADER = "Bergamotferry-Not-Run"
REQUEST_ID_HEADER = "Bergamotferry-Request-Id"


def outcome_headers(code: ResultCode, request_id: str) -> dict[str, str]:
    """Return the headers with the result code, "not run" and the request's id."""
    is_not_run = RESULT_CODE_TABLE[code].is_not_run
    return {
        CODE_HEADER: str(int(code)),
        NOT_RUN_HEADER: "true" if is_not_run else "false",
        REQUEST_ID_HEADER: request_id,
    }


def refusal_body(refusal: Refused, request_id: str) -> dict[str, object]:
    """Return the JSON body of a refusal."""
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
    """Return the HTTP response of a refusal; ``details`` are added to its body."""
    status = RESULT_CODE_TABLE[refusal.code].http_status
    body = {**refusal_body(refusal, request_id), **details}
    headers = outcome_headers(refusal.code, request_id)
    return web.json_response(body, status=status, headers=headers)


def bearer_token(request: web.Request) -> str:
    """Return the bearer token of a request, or an empty string if it has none."""
    scheme, _, token = request.headers.get("Authorization", "").partition(" ")
    # Header bytes that are not UTF-8 are decoded to surrogates, which no issued token
    # contains.
    is_text = not any("\ud800" <= character <= "\udfff" for character in token)
    return token if scheme.lower() == "bearer" and is_text else ""
