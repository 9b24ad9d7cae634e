"""Version of the protocol between hosts, and how to speak to hosts of older versions.

Hosts of two versions run side by side during an upgrade, and a host closes a link on
which it receives a message with fields that it does not know. The side that accepts a
link therefore states its version in the handshake, and the side that dialled leaves out
of its messages what that version lacks. Hosts of version 1 state none.

Version 2 added the origin of a proposal (`Propose.origin`), and version 3 the request
of a stopping host to be no voter (`LeaveGroup`) and permits to run a request under
suspicion (`AskRunPermit`).
"""

from typing import Any

from bergamotferry.fleet_messages import AskRunPermit
from bergamotferry.messages import LeaveGroup, Propose

PROTOCOL_VERSION = 3
VERSION_HEADER = "Bergamotferry-Protocol"
_FIRST_VERSION = 1
_ORIGIN_VERSION = 2
_LEAVE_VERSION = 3
_PERMIT_VERSION = 3


def parse_version(header: str | None) -> int:
    """Return the version that a peer stated; 1 if it stated none that is a number."""
    if header is None or not (header.isascii() and header.isdecimal()):
        return _FIRST_VERSION
    return int(header)


def message_for(message: Any, version: int) -> Any:
    """Return a message without the fields that a version of the protocol lacks.

    Returns
    -------
    Any
        None if the version lacks the message as a whole.
    """
    if isinstance(message, LeaveGroup) and version < _LEAVE_VERSION:
        return None
    if isinstance(message, AskRunPermit) and version < _PERMIT_VERSION:
        return None
    if isinstance(message, Propose) and version < _ORIGIN_VERSION:
        return message._replace(origin=None)
    return message
