"""Answers with a proper head, over connections that carry each request id only once.

An answer whose status is none, or whose head can't be relayed, is no answer: every
session for upstreams reads heads as an `UpstreamResponse`, which raises an error
instead.

An upstream may write an answer once more, and only its id tells to which request it
belongs. On a connection that has carried an id twice, the answer to the first send
would pass for the answer to the second. Here an answer that bears the id of a send was
written after that send, and for it.
"""

from typing import Any
from weakref import WeakKeyDictionary

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

from bergamotferry.fleet_metrics import MetricFamily, single_value_family

from .answer_framing import has_control_character, is_final_status
from .upstream_protocol import UpstreamConnector

# Bounds the memory for the ids of one connection.
N_IDS_MAX = 256


class UnaskedBytesError(aiohttp.ClientConnectionError):
    """Bytes had arrived, or the end, on a new connection that had carried nothing."""


class NoStatusError(aiohttp.ClientError):
    """The head of an answer has a status that is none; its request may have run."""


class ControlCharacterError(aiohttp.ClientError):
    """The head of an answer has a control character; its request may have run."""


class UpstreamResponse(aiohttp.ClientResponse):
    """An answer with a final status, and with headers that can be relayed.

    It knows its connection also after its body has been read.
    """

    carrier: ResponseHandler | None = None

    async def start(self, connection: Connection) -> aiohttp.ClientResponse:
        """Read the head of the answer from a connection.

        Raises
        ------
        NoStatusError
            If its status is not one of an answer.
        ControlCharacterError
            If a header has a control character.
        """
        self.carrier = connection.protocol
        response = await super().start(connection)
        if not is_final_status(response.status):
            raise NoStatusError(f"status {response.status:03}")
        if has_control_character(response.headers):
            raise ControlCharacterError("a header has a control character")
        return response


def close_connection(response: aiohttp.ClientResponse) -> None:
    """Close the connection of an answer, also if it is kept for a next request by now.

    A short answer releases its connection as soon as its head has been read.
    """
    response.close()
    if isinstance(response, UpstreamResponse) and response.carrier is not None:
        response.carrier.close()


def keep_no_longer(response: aiohttp.ClientResponse) -> None:
    """Let the connection of an answer carry no other request; its body may be read."""
    if isinstance(response, UpstreamResponse) and response.carrier is not None:
        response.carrier.force_close()
        if response.closed:
            response.carrier.close()


class UniqueIdConnector(UpstreamConnector):
    """Keeps connections, but sends no request id over one of them twice.

    ``n_unusable`` counts the kept connections that were closed instead: they had
    carried the id or as many as they may, or unasked bytes had arrived on them.

    Parameters
    ----------
    id_header : str
        Name of the header that holds the request id.
    **settings
        Settings of `aiohttp.TCPConnector`.
    """

    def __init__(self, id_header: str, **settings: Any) -> None:
        super().__init__(**settings)
        self.n_unusable = 0
        self._id_header = id_header
        # Hashes, since callers choose the ids. If two ids share one, a connection is
        # closed that could have been kept.
        self._ids: WeakKeyDictionary[ResponseHandler, set[int]] = WeakKeyDictionary()

    async def connect(
        self, req: aiohttp.ClientRequest, traces: list[Any], timeout: Any
    ) -> Connection:
        """Return a connection that may carry the request, a kept one if possible.

        Raises
        ------
        UnaskedBytesError
            If a new connection is unusable from the beginning.
        """
        request_id = req.headers.get(self._id_header, "")
        while True:
            connection = await super().connect(req, traces, timeout)
            protocol = connection.protocol
            if protocol is not None and self._may_carry(protocol, request_id):
                return connection
            is_new = protocol is None or protocol not in self._ids
            connection.close()
            if is_new:
                raise UnaskedBytesError("the upstream wrote or closed at once")
            self.n_unusable += 1

    def _may_carry(self, protocol: ResponseHandler, request_id: str) -> bool:
        """Return whether a connection may carry an id, and then note that it does.

        A load probe has no id, and any connection may carry it.
        """
        if protocol.should_close:
            return False
        ids = self._ids.setdefault(protocol, set())
        if not request_id:
            return True
        if hash(request_id) in ids or len(ids) >= N_IDS_MAX:
            return False
        ids.add(hash(request_id))
        return True


def connection_families(http: aiohttp.ClientSession) -> list[MetricFamily]:
    """Return the metric families of a session that uses a `UniqueIdConnector`."""
    connector = http.connector
    n_unusable = connector.n_unusable if isinstance(connector, UniqueIdConnector) else 0
    return [
        single_value_family(
            "connections_unusable",
            "Kept connections closed, since an answer on them could be another's.",
            "counter",
            n_unusable,
        )
    ]
