"""What an HTTP edge answers in place of the HTTP library's error pages."""

import json
from http import HTTPStatus

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong

from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import RESULT_CODE_TABLE, ResultCode

from .http_answers import outcome_headers, refusal_body, refusal_response
from .logs import log_warning


def internal_error(error: BaseException) -> web.Response:
    """Return the response to an internal fault.

    The log line names the function and line that raised, and no values: those could
    hold keys or content.
    """
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    place = ""
    if trace is not None:
        place = f"{trace.tb_frame.f_code.co_name}:{trace.tb_lineno}"
    log_warning("internal error", error=type(error).__name__, place=place)
    refusal = Refused(ResultCode.INTERNAL_ERROR, type(error).__name__)
    return refusal_response(refusal, "")


def raw_refusal(refusal: Refused) -> bytes:
    """Return the bytes of a whole response for a refusal outside any request."""
    body = json.dumps(refusal_body(refusal, "")).encode()
    status = RESULT_CODE_TABLE[refusal.code].http_status
    headers = {
        **outcome_headers(refusal.code, ""),
        "Content-Type": "application/json",
        "Content-Length": str(len(body)),
        "Connection": "close",
    }
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def parser_refusal(error: BaseException | None) -> Refused:
    """Return the refusal of a request that the library could not parse."""
    if isinstance(error, LineTooLong) or "Too many" in str(error):
        detail = "a line of the head is too long, or it has too many"
        return Refused(ResultCode.HEADERS_TOO_LARGE, detail)
    return Refused(ResultCode.BAD_REQUEST, "not HTTP/1.1")
