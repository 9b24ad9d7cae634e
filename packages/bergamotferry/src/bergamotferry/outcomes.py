"""Tagged outcomes: errors are values with a result code, not exceptions."""

from dataclasses import dataclass

from .result_codes import RESULT_CODE_TABLE, ResultCode


@dataclass(frozen=True, slots=True)
class Refused:
    """A refusal with its code and a sentence for the reader.

    Parameters
    ----------
    code : ResultCode
        Number of the outcome.
    detail : str
        One sentence; holds no content of a request.
    """

    code: ResultCode
    detail: str

    @property
    def is_not_run(self) -> bool:
        """Whether nothing of the request has run."""
        return RESULT_CODE_TABLE[self.code].is_not_run


@dataclass(frozen=True, slots=True)
class Accepted:
    """A command took effect, or had taken effect before.

    Parameters
    ----------
    revision : int
        Number that the command produced or found: a revision or an epoch.
    """

    revision: int


def result_code(outcome: Accepted | Refused) -> int:
    """Return the numbered code of an outcome; 0 if it is accepted."""
    return int(outcome.code) if isinstance(outcome, Refused) else 0
