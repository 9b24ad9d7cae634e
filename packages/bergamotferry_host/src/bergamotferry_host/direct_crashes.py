"""Records under which requests the upstreams of a host in direct mode end."""

from bergamotferry.crash_records import request_fingerprint

from .direct_call import SendOutcome
from .direct_host import DirectHost, Upstream
from .direct_placing import DirectRequest
from .upstream_ends import InterruptedRun, is_connection_loss, record_connection_loss


def record_run(
    host: DirectHost,
    request: DirectRequest,
    upstream: Upstream,
    outcome: SendOutcome | None,
) -> None:
    """Record a connection that broke while the upstream ran the request."""
    if outcome is None or not is_connection_loss(outcome.result, outcome.detail):
        return
    row = upstream.row
    if row.phase == "ready":
        run = InterruptedRun(request.request_id, fingerprint_of(request))
        record_connection_loss(host.end_watch, row.name, row.address, run)


def fingerprint_of(request: DirectRequest) -> str:
    """Return the fingerprint of a request's content."""
    if not request.fingerprint:
        request.fingerprint = request_fingerprint(
            request.method,
            request.route.host_name,
            request.target,
            request.headers.get("Authorization", ""),
            request.body,
        )
    return request.fingerprint
