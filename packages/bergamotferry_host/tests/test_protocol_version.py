"""Hosts of the version before get no message with fields that they don't know."""

import asyncio

import cbor2
import pytest

from bergamotferry.fleet_commands import SetEvacuation
from bergamotferry.fleet_messages import AskRunPermit
from bergamotferry.messages import (
    LeaveGroup,
    Member,
    OrderOrigin,
    Propose,
    ProposeReply,
)
from bergamotferry.protection.crash_records import CrashRecord
from bergamotferry.records import HostAddress
from bergamotferry_host import peer_network
from bergamotferry_host.codec import decode, encode
from bergamotferry_host.peer_link import PeerHandlers
from bergamotferry_host.peer_network import PeerNetwork
from bergamotferry_host.protocol_version import (
    PROTOCOL_VERSION,
    message_for,
    parse_version,
)
from bergamotferry_testkit.free_ports import free_ports

TOKEN = "peer-token-of-16"
COMMAND = SetEvacuation("a", True)
ORDER = Propose("g", COMMAND, OrderOrigin("o-1", "h", 7, 1_000))


@pytest.mark.parametrize(
    ("header", "expected_version"),
    [(None, 1), ("", 1), ("2", 2), ("17", 17), ("x", 1), ("-2", 1), ("٢", 1)],
)
def test_peer_that_states_no_number_has_the_first_version(header, expected_version):
    assert parse_version(header) == expected_version


def test_version_before_gets_a_proposal_of_two_fields():
    """Guards against a host of the version before that closes the link."""
    record = cbor2.loads(encode(message_for(ORDER, 1)))
    assert [record.value[0], len(record.value)] == ["Propose", 3]
    assert decode(encode(message_for(ORDER, 1))) == Propose("g", COMMAND)
    assert decode(encode(message_for(ORDER, PROTOCOL_VERSION))) == ORDER


@pytest.mark.parametrize(
    "message",
    [
        LeaveGroup("g", Member("h", "1", True)),
        AskRunPermit("h", CrashRecord("f", 0, 1, 0)),
    ],
)
@pytest.mark.parametrize(("version", "is_sent"), [(1, False), (2, False), (3, True)])
def test_new_message_is_sent_to_no_older_version(message, version, is_sent):
    """Guards against hosts whose links an older control host closes."""
    assert message_for(message, version) == (message if is_sent else None)


@pytest.mark.parametrize("is_peer_old", [True, False])
def test_origin_is_sent_only_to_a_peer_that_states_its_version(
    is_peer_old, monkeypatch
):
    """Guards against an upgrade in which hosts of two versions can't talk."""
    if is_peer_old:
        monkeypatch.setattr(peer_network, "_state_version", lambda *_: None)
    received = []

    async def on_call(message, peer):
        received.append(message)
        return ProposeReply(0, "", 1, "")

    async def run():
        handlers = PeerHandlers(on_call, lambda message, peer: None, on_call)
        addresses = tuple(
            HostAddress(name, "a", "r", f"127.0.0.1:{port}", False)
            for name, port in zip("ab", free_ports(2), strict=True)
        )
        networks = [
            PeerNetwork.from_config(own, addresses, TOKEN, handlers)
            for own in addresses
        ]
        for network in networks:
            await network.start()
        try:
            return await networks[0].call("b", ORDER, 5.0)
        finally:
            for network in networks:
                await network.stop()

    assert asyncio.run(run()) == ProposeReply(0, "", 1, "")
    assert received == [Propose("g", COMMAND) if is_peer_old else ORDER]
