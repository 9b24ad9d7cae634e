"""How often the callers of the tests send a filing again.

Guards against callers that stop too early for a slow machine, and against callers that
resend until any fault is over, so that a share of served filings shows nothing.
"""

import asyncio

import pytest

from bergamotferry.result_codes import ResultCode as Code
from bergamotferry_testkit import filings
from bergamotferry_testkit.filings import BROKEN, N_ATTEMPTS_MAX, FilingAnswer

ENDLESS = 1000
ONCE, TWICE_AT_FIRST = 1, 5


def answers_to(monkeypatch, number, codes):
    """Return the answers of a caller that gets ``codes`` in turn, without pauses."""
    codes_left = iter(codes)

    async def send(*_):
        return FilingAnswer(next(codes_left), False)

    async def pause(_):
        return None

    monkeypatch.setattr(filings, "send_filing", send)
    monkeypatch.setattr(filings.asyncio, "sleep", pause)
    answers = []
    asyncio.run(filings.file_until_known(None, ["h1", "h2", "h3"], number, answers))
    return [answer.code for answer in answers]


@pytest.mark.parametrize(
    "code", [BROKEN, Code.NO_OWNER, Code.NO_LEADER, Code.OUTCOME_PENDING]
)
@pytest.mark.parametrize(
    ("number", "n_sends"), [(ONCE, N_ATTEMPTS_MAX), (TWICE_AT_FIRST, 14)]
)
def test_caller_stops_after_its_attempts(code, number, n_sends, monkeypatch):
    answers = answers_to(monkeypatch, number, [code] * ENDLESS)
    assert answers == [code] * n_sends


@pytest.mark.parametrize("code", [Code.SERVED, Code.OUTCOME_UNKNOWN])
def test_caller_stops_at_a_known_outcome(code, monkeypatch):
    codes = [Code.NO_OWNER, code, Code.SERVED]
    assert answers_to(monkeypatch, ONCE, codes) == codes[:2]


@pytest.mark.parametrize(
    "code",
    [Code.QUEUE_FULL, Code.DEADLINE_TOO_SHORT, Code.DEADLINE_EXPIRED_IN_QUEUE],
)
def test_refusals_for_want_of_capacity_use_up_no_attempt(code, monkeypatch):
    codes = [code] * 50 + [Code.NO_OWNER] * ENDLESS
    assert answers_to(monkeypatch, ONCE, codes) == codes[: 50 + N_ATTEMPTS_MAX]


def test_refusals_for_want_of_capacity_count_once_their_time_is_over(monkeypatch):
    monkeypatch.setattr(filings, "CAPACITY_TIMEOUT_S", 0.0)
    codes = [Code.QUEUE_FULL] * ENDLESS
    assert answers_to(monkeypatch, ONCE, codes) == codes[:N_ATTEMPTS_MAX]
