"""Every test that docs/PROOFS.md names exists and is collected by its name."""

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parents[3]
PAGE = ROOT / "docs" / "PROOFS.md"
NAMED = re.compile(r"`(test_\w+\.py)::(\w+)`")


def defined_tests():
    found = set()
    for path in ROOT.glob("packages/*/tests/**/test_*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.FunctionDef | ast.ClassDef):
                found.add((path.name, node.name))
            # A state machine is collected under the name it is assigned to.
            if isinstance(node, ast.Assign):
                names = [t.id for t in node.targets if isinstance(t, ast.Name)]
                found.update((path.name, name) for name in names)
    return found


def test_named_tests_exist():
    named = set(NAMED.findall(PAGE.read_text()))
    assert len(named) > 20
    assert named - defined_tests() == set()


def test_every_promise_of_the_page_says_what_is_not_proved():
    rows = [
        line
        for line in PAGE.read_text().splitlines()
        if line.startswith("| ") and not line.startswith("| ---")
    ]
    for row in rows:
        cells = [cell.strip() for cell in row.strip("|").split("|")]
        assert all(cells), row
