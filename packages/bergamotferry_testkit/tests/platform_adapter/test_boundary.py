"""The adapter translates and nothing more, and nothing outside it knows its words."""

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parents[4]
ADAPTER = ROOT / "platform/src/bergamotferry_platform"
WORDS = re.compile(
    r"manifest|heartbeat-addr|X-Response-Seal|X-Expected-Instance|resource-kind"
    r"|warmup|\btenant\b|slo-latency|/api/",
    re.IGNORECASE,
)
FOLDER_MAX_LINES = 800


def product_files():
    files = list(ROOT.glob("packages/*/src/**/*.py"))
    assert len(files) > 100
    return files


def test_no_word_of_the_platform_stands_outside_its_folder():
    found = [
        f"{path.relative_to(ROOT)}: {line.strip()}"
        for path in product_files()
        for line in path.read_text().splitlines()
        if WORDS.search(line)
    ]
    assert found == []


def test_nothing_imports_the_adapter():
    found = [
        path for path in product_files() if "bergamotferry_platform" in path.read_text()
    ]
    assert found == []


def test_the_folder_shadows_no_module_of_the_standard_library():
    assert not (ROOT / "platform/__init__.py").exists()


def test_the_adapter_keeps_no_state_and_stays_small():
    n_lines = 0
    for path in ADAPTER.glob("*.py"):
        text = path.read_text()
        n_lines += text.count("\n")
        for node in ast.walk(ast.parse(text)):
            assert not isinstance(node, ast.Global | ast.Nonlocal), path
    assert n_lines <= FOLDER_MAX_LINES
