"""Links to peers, dialled on demand: for control, for requests and for records.

The control link is a separate connection, so heartbeats never wait behind a download.
"""

import asyncio
import hmac
import ipaddress
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, Literal

from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.http11 import Request, Response

from bergamotferry.records import HostAddress, TrafficClass

from .background import log_failure, start_task
from .clock import now_ns
from .codec import EncodeError
from .http_address import split_address
from .peer_link import (
    FRAME_MAX_BYTES,
    FrameKind,
    LinkTrafficClass,
    PeerHandlers,
    PeerLink,
    PeerStream,
    PeerUnreachable,
    SentBytesKey,
)
from .protocol_version import PROTOCOL_VERSION, VERSION_HEADER, parse_version

# The link for records has messages that hosts of older versions don't know. They close
# it, which must not break anything else.
LinkClass = Literal["control", "request", "records"]

DIAL_TIMEOUT_S = 1.0
REDIAL_PAUSE_NS = 100_000_000
KEEPALIVE_INTERVAL_S = 1.0
KEEPALIVE_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 0.5
_NAME_HEADER = "Bergamotferry-Host"


@dataclass(slots=True)
class PeerNetwork:
    """All links of one host; ``hosts`` holds the host names of each data centre.

    If ``learned_port`` is not zero, hosts that the settings don't name are reachable at
    that port. The name of such a host is its IP address. It is assumed to have a disk.
    """

    own_name: str
    token: str
    addresses: dict[str, HostAddress]
    handlers: PeerHandlers
    links: dict[tuple[str, LinkClass], PeerLink] = field(default_factory=dict)
    unreachable_at_ns: dict[tuple[str, LinkClass], int] = field(default_factory=dict)
    dialling: dict[tuple[str, LinkClass], asyncio.Task[PeerLink]] = field(
        default_factory=dict
    )
    notices: dict[str, asyncio.Queue[Any]] = field(default_factory=dict)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    server: Server | None = None
    sent_bytes: Counter[SentBytesKey] = field(default_factory=Counter)
    learned_port: int = 0
    hosts: dict[str, list[str]] = field(init=False)

    def __post_init__(self) -> None:
        # The addresses of the settings never change. Hosts that `address_of` learns
        # later have no known data centre.
        names = {address.data_centre for address in self.addresses.values()}
        self.hosts = {
            name: hosts_of_data_centre(self.addresses, name) for name in names
        }

    @classmethod
    def from_config(
        cls,
        own: HostAddress,
        seeds: tuple[HostAddress, ...],
        token: str,
        handlers: PeerHandlers,
    ) -> "PeerNetwork":
        """Return a network of the hosts that the settings name."""
        return cls(own.name, token, {seed.name: seed for seed in seeds}, handlers)

    async def start(self) -> None:
        """Listen for connections of peers."""
        ip, port = split_address(self.addresses[self.own_name].peer_address)
        self.server = await serve(
            self._accept,
            ip,
            port,
            process_request=self._check_token,
            process_response=_state_version,
            max_size=FRAME_MAX_BYTES,
            compression=None,
            ping_interval=KEEPALIVE_INTERVAL_S,
            ping_timeout=KEEPALIVE_TIMEOUT_S,
            close_timeout=CLOSE_TIMEOUT_S,
        )

    async def stop(self) -> None:
        """Close every link, and stop listening."""
        for task in list(self.tasks):
            task.cancel()
        closing = [link.connection.close() for link in self.links.values()]
        await asyncio.gather(*closing, return_exceptions=True)
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()

    async def call(
        self,
        host: str,
        message: Any,
        timeout_s: float,
        link_class: LinkClass = "control",
    ) -> Any:
        """Call a peer, or this host itself; see `PeerLink.call`."""
        if host == self.own_name:
            return await self.handlers.on_call(message, host)
        link = await self._connected_link(host, link_class)
        return await link.call(message, timeout_s)

    async def open_stream(
        self,
        host: str,
        head: Any,
        is_ended: bool = False,
        traffic_class: TrafficClass = "lookup",
    ) -> PeerStream:
        """Open a stream to a peer; see `PeerLink.open_stream`."""
        link = await self._connected_link(host, "request")
        return await link.open_stream(head, is_ended, traffic_class)

    def notify(self, host: str, message: Any) -> None:
        """Send a message without a reply; it is dropped if the peer is unreachable."""
        if host not in self.notices:
            self.notices[host] = asyncio.Queue(maxsize=1024)
            self._start(self._send_notices(host))
        try:
            self.notices[host].put_nowait(message)
        except asyncio.QueueFull:
            return

    def record_unreachable(self, host: str) -> None:
        """Mark a host that refuses all requests; others are preferred for a while."""
        self.unreachable_at_ns[(host, "request")] = now_ns()

    def is_reachable(self, host: str) -> bool:
        """Return False if a host was recently found or marked unreachable, else True.

        "Recently" is within ten times `REDIAL_PAUSE_NS`. Only links for requests count.
        """
        if host == self.own_name:
            return True
        unreachable_at_ns = self.unreachable_at_ns.get((host, "request"), 0)
        return now_ns() - unreachable_at_ns > 10 * REDIAL_PAUSE_NS

    def address_of(self, host: str) -> HostAddress | None:
        """Return a host's address; None if it is unknown and can't be learned."""
        address = self.addresses.get(host)
        if address is None and self.learned_port and _is_ip(host):
            peer_address = f"{host}:{self.learned_port}"
            address = HostAddress(host, "", "", peer_address, is_durable=True)
            self.addresses[host] = address
        return address

    async def _send_notices(self, host: str) -> None:
        while True:
            message = await self.notices[host].get()
            try:
                link = await self._connected_link(host, "control")
                await link.send_frame(0, FrameKind.NOTICE, message)
            except PeerUnreachable:
                continue
            except EncodeError as error:
                # The next notice may be a vote or an append, which must not be lost.
                log_failure(error)

    async def _connected_link(self, host: str, link_class: LinkClass) -> PeerLink:
        link_key = (host, link_class)
        link = self.links.get(link_key)
        if link is not None and not link.is_closed:
            return link
        if now_ns() - self.unreachable_at_ns.get(link_key, 0) < REDIAL_PAUSE_NS:
            raise PeerUnreachable(f"{host}: a dial failed just now")
        if link_key not in self.dialling:
            task = asyncio.get_running_loop().create_task(self._dial(link_key))
            self.dialling[link_key] = task
            task.add_done_callback(lambda _: self._finish_dial(link_key))
        return await asyncio.shield(self.dialling[link_key])

    def _finish_dial(self, link_key: tuple[str, LinkClass]) -> None:
        task = self.dialling.pop(link_key)
        if not task.cancelled():
            # A cancelled caller never retrieves the exception, and asyncio would print
            # a traceback for it. `unreachable_at_ns` already informs the next caller.
            task.exception()

    async def _dial(self, link_key: tuple[str, LinkClass]) -> PeerLink:
        host, link_class = link_key
        address = self.address_of(host)
        if address is None:
            raise PeerUnreachable(f"{host}: unknown host")
        try:
            connection = await connect(
                f"ws://{address.peer_address}/{link_class}",
                additional_headers={
                    "Authorization": f"Bearer {self.token}",
                    _NAME_HEADER: self.own_name,
                },
                open_timeout=DIAL_TIMEOUT_S,
                max_size=FRAME_MAX_BYTES,
                compression=None,
                ping_interval=KEEPALIVE_INTERVAL_S,
                ping_timeout=KEEPALIVE_TIMEOUT_S,
                close_timeout=CLOSE_TIMEOUT_S,
                proxy=None,
            )
        except Exception as error:
            self.unreachable_at_ns[link_key] = now_ns()
            raise PeerUnreachable(f"{host}: {type(error).__name__}") from error
        link = PeerLink(
            connection,
            host,
            self.handlers,
            sent_bytes=self.sent_bytes,
            is_dialling_side=True,
            peer_version=_stated_version(connection),
        )
        self.links[link_key] = link
        self._start(link.run())
        return link

    async def _accept(self, connection: ServerConnection) -> None:
        request = connection.request
        peer = request.headers.get(_NAME_HEADER, "") if request else ""
        link = PeerLink(connection, peer, self.handlers, sent_bytes=self.sent_bytes)
        await link.run()

    def _check_token(
        self, connection: ServerConnection, request: Request
    ) -> Response | None:
        sent = request.headers.get("Authorization", "")
        expected = f"Bearer {self.token}"
        if hmac.compare_digest(sent.encode(), expected.encode()):
            return None
        return connection.respond(HTTPStatus.UNAUTHORIZED, "1002 unknown token\n")

    def _start(self, coroutine: Any) -> None:
        start_task(coroutine, self.tasks)


def _state_version(
    connection: ServerConnection, request: Request, response: Response
) -> None:
    response.headers[VERSION_HEADER] = str(PROTOCOL_VERSION)


def _stated_version(connection: ClientConnection) -> int:
    response = connection.response
    header = response.headers.get(VERSION_HEADER) if response is not None else None
    return parse_version(header)


def take_sent_bytes(network: PeerNetwork) -> Counter[tuple[str, LinkTrafficClass]]:
    """Return the bytes sent since the last call, by data centre and traffic class."""
    taken: Counter[tuple[str, LinkTrafficClass]] = Counter()
    for (host, traffic_class), n_bytes in network.sent_bytes.items():
        # A peer states its own name, which may not be in the settings.
        if host in network.addresses:
            counter_key = (network.addresses[host].data_centre, traffic_class)
            taken[counter_key] += n_bytes
    network.sent_bytes.clear()
    return taken


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def hosts_of_data_centre(
    addresses: Mapping[str, HostAddress], data_centre: str
) -> list[str]:
    """Return the names of the hosts of a data centre, sorted."""
    return sorted(
        name
        for name, address in addresses.items()
        if address.data_centre == data_centre
    )
