"""Ports on loopback for processes that start later, or start again at the same port.

A port that the system chooses is one that it also gives to other processes: to those
that let it choose a port to listen at, and to outgoing connections. It may be taken
between its choice and the start of its process, or while a process is down. The ports
here are below all that the system chooses, and a block of them belongs to one process
of the testkit until it ends.
"""

import socket

# Linux chooses ports from 32768 on. The ports that the users' programs have by default
# are below the first one.
PORT_FIRST, PORT_END = 20_000, 32_000
BLOCK_SIZE = 100
HOST_IP = "127.0.0.1"
# A block is claimed by a socket that is bound to its first port at this address.
CLAIM_IP = "127.255.255.254"

_claims: list[socket.socket] = []
_unused: list[int] = []


def free_ports(count: int) -> list[int]:
    """Return ports that are free, and that no other process of the testkit gets.

    Raises
    ------
    RuntimeError
        If all blocks of ports are claimed.
    """
    ports: list[int] = []
    while len(ports) < count:
        if not _unused:
            _unused.extend(_claim_block())
        port = _unused.pop()
        if _is_free(port):
            ports.append(port)
    return ports


def _claim_block() -> range:
    for first in range(PORT_FIRST, PORT_END, BLOCK_SIZE):
        claim = socket.socket()
        try:
            claim.bind((CLAIM_IP, first))
        except OSError:
            claim.close()
            continue
        _claims.append(claim)
        return range(first, first + BLOCK_SIZE)
    raise RuntimeError("all blocks of ports are claimed")


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        # As a server that starts again, with old connections in TIME_WAIT.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((HOST_IP, port))
        except OSError:
            return False
        return True
