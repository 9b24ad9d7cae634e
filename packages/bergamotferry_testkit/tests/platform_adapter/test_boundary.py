"""The adapter only translates, and no product module uses the platform's words."""

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parents[4]
ADAPTER = ROOT / "platform/src/bergamotferry_platform"
PLATFORM_WORDS = re.compile(
    r"manifest|heartbeat-addr|X-Response-Seal|X-Expected-Instance|resource-kind"
    r"|warmup|\btenant\b|slo-latency|/api/",
    re.IGNORECASE,
)
ADAPTER_MAX_LINES = 800


def product_files():
    files = list(ROOT.glob("packages/*/src/**/*.py"))
    assert len(files) > 100
    return files


def test_no_product_module_uses_a_word_of_the_platform():
    findings = [
        f"{path.relative_to(ROOT)}: {line.strip()}"
        for path in product_files()
        for line in path.read_text().splitlines()
        if PLATFORM_WORDS.search(line)
    ]
    assert findings == []


def test_no_product_module_imports_the_adapter():
    findings = [
        path for path in product_files() if "bergamotferry_platform" in path.read_text()
    ]
    assert findings == []


def test_platform_folder_does_not_shadow_the_standard_library_module():
    assert not (ROOT / "platform/__init__.py").exists()


def test_adapter_has_no_state_and_stays_small():
    n_lines = 0
    for path in ADAPTER.glob("*.py"):
        text = path.read_text()
        n_lines += text.count("\n")
        for node in ast.walk(ast.parse(text)):
            assert not isinstance(node, ast.Global | ast.Nonlocal), path
    assert n_lines <= ADAPTER_MAX_LINES
