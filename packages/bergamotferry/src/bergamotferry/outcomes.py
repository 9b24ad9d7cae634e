"""Results of commands: a refusal is a value with a result code, not an exception."""

from dataclasses import dataclass

from .result_codes import RESULT_CODE_TABLE, ResultCode


@dataclass(frozen=True, slots=True)
class Refused:
    """A refusal with its result code and an explanation.

    Parameters
    ----------
    code : ResultCode
        Numbered reason of the refusal.
    detail : str
        One sentence for people; contains no content of a request.
    """

    code: ResultCode
    detail: str

    @property
    def is_not_run(self) -> bool:
        """Whether no part of the request has run."""
        return RESULT_CODE_TABLE[self.code].is_not_run


@dataclass(frozen=True, slots=True)
class Accepted:
    """The result of a command that took effect, now or on an earlier delivery.

    Parameters
    ----------
    revision : int
        Revision or epoch that the command produced or found.
    """

    revision: int


def result_code(outcome: Accepted | Refused) -> int:
    """Return the result code of an outcome as a number; 0 if it is accepted."""
    return int(outcome.code) if isinstance(outcome, Refused) else 0
