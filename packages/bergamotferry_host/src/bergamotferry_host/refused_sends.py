"""The answers by which a host knows that a request was not run.

A status that promises "not run" rests on these answers. If one of them belonged to
another send, the promise is false, so each is recorded with its connection.
"""

from typing import NamedTuple

from .direct_call import ConnectionUse
from .logs import log_routine


class RefusedSend(NamedTuple):
    """One send that its upstream said not to have run.

    ``n_sends_before`` are the earlier sends of the request to the same address.
    """

    upstream: str
    address: str
    status: int
    connection: ConnectionUse
    n_sends_before: int


def log_refused_sends(request_id: str, sends: list[RefusedSend]) -> None:
    """Log the refused sends of one request in one line, if there are any."""
    if sends:
        rows = [send._asdict() for send in sends]
        log_routine("not run by upstreams", request_id=request_id, sends=rows)
