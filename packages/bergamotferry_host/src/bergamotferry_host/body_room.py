"""Bounds the bytes of callers' bodies that a host holds at once, by its memory.

A body is held until its request has ended, since it may have to be sent again. Without
a bound, a few large bodies that the configuration allows would take all memory, and the
end of the process would break every other request. A body that does not fit is refused
before any of it is sent.
"""

from dataclasses import dataclass

# The rest is for the process itself, for answers and for what is being read or written.
BODY_SHARE_OF_MEMORY = 0.5


@dataclass(slots=True)
class BodyRoom:
    """Bytes of bodies that a host may hold, 0 for no bound, and those that it holds."""

    max_bytes: int = 0
    held_bytes: int = 0

    @classmethod
    def from_memory(cls, memory_mb: float) -> "BodyRoom":
        """Return the room on a host with a limit of memory; 0 stands for no limit."""
        return cls(int(memory_mb * BODY_SHARE_OF_MEMORY * 1024 * 1024))


@dataclass(slots=True)
class HeldBody:
    """The part of a host's room that the body of one request takes."""

    room: BodyRoom
    n_bytes: int = 0


def hold_up_to(held: HeldBody, n_bytes: int) -> bool:
    """Take room for a body of ``n_bytes``; return whether there is enough."""
    n_more_bytes = n_bytes - held.n_bytes
    if n_more_bytes <= 0:
        return True
    room = held.room
    if room.max_bytes and room.held_bytes + n_more_bytes > room.max_bytes:
        return False
    room.held_bytes += n_more_bytes
    held.n_bytes = n_bytes
    return True


def give_back(held: HeldBody) -> None:
    """Return the room that a body took, at the end of its request."""
    held.room.held_bytes -= held.n_bytes
    held.n_bytes = 0
