"""The table in docs/RESULT_CODES.md equals the table in the code."""

from pathlib import Path

from bergamotferry.result_codes import RESULT_CODE_TABLE, ResultCode

PAGE = Path(__file__).parents[3] / "docs" / "RESULT_CODES.md"


def test_every_code_has_a_row():
    assert set(RESULT_CODE_TABLE) == set(ResultCode)


def test_codes_from_1000_to_1999_are_those_of_requests_that_were_not_run():
    for code, row in RESULT_CODE_TABLE.items():
        assert row.is_not_run == (1000 <= code < 2000), code


def test_table_of_the_page_equals_the_table_of_the_code():
    rows = [
        f"| {int(code)} | {code.name} | {row.http_status} | "
        f"{'yes' if row.is_not_run else 'no'} | {row.meaning} |"
        for code, row in RESULT_CODE_TABLE.items()
    ]
    text = PAGE.read_text()
    listed = [line for line in text.splitlines() if line.startswith("| ")][2:]
    assert listed == rows
