"""Exit statuses of ``bergamotferryctl``; scripts may rely on their values."""

from enum import IntEnum


class Exit(IntEnum):
    """Exit status of the tool; see `EXIT_MEANINGS`."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    NOT_EVERYWHERE = 3
    NOT_REACHED = 4
    CONFLICT = 5
    UNKNOWN = 6
    NO_CAPACITY = 7


EXIT_MEANINGS: dict[Exit, str] = {
    Exit.DONE: "done",
    Exit.REFUSED: "refused; nothing was changed",
    Exit.USAGE: "bad settings, or errors in the release note",
    Exit.NOT_EVERYWHERE: "accepted, but not every host or data centre could be reached",
    Exit.NOT_REACHED: "no host could be reached",
    Exit.CONFLICT: "another note has the number, or the base is not in force any more",
    Exit.UNKNOWN: "no leader answered; the note may be accepted, so send it again",
    Exit.NO_CAPACITY: "some keys would be left without an upstream",
}
