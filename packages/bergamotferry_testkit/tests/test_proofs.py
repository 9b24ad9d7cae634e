"""docs/PROOFS.md names only tests that exist, and fills in every cell of its tables."""

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parents[3]
PAGE = ROOT / "docs" / "PROOFS.md"
NAMED_TEST = re.compile(r"`(test_\w+\.py)::(\w+)`")


def defined_tests():
    tests = set()
    for path in ROOT.glob("packages/*/tests/**/test_*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.FunctionDef | ast.ClassDef):
                tests.add((path.name, node.name))
            # Pytest collects a state machine under the name that it is assigned to.
            if isinstance(node, ast.Assign):
                names = [
                    target.id for target in node.targets if isinstance(target, ast.Name)
                ]
                tests.update((path.name, name) for name in names)
    return tests


def test_every_test_named_on_the_page_exists():
    named = set(NAMED_TEST.findall(PAGE.read_text()))
    assert len(named) > 20
    assert named - defined_tests() == set()


def test_no_table_row_of_the_page_has_an_empty_cell():
    rows = [
        line
        for line in PAGE.read_text().splitlines()
        if line.startswith("| ") and not line.startswith("| ---")
    ]
    for row in rows:
        cells = [cell.strip() for cell in row.strip("|").split("|")]
        assert all(cells), row
