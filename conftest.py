"""Fixed seeds for every test run, so that a verdict repeats; known reds are passed over.

An entry of ``KNOWN-RED.txt`` begins with the test's id, as pytest prints it.
"""

from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("ci")

_KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Pass over exactly the tests that are listed as red."""
    lines = _KNOWN_RED.read_text().splitlines()
    red = {line.partition(" ")[0] for line in lines if not line.startswith("#")}
    for item in items:
        if item.nodeid in red:
            item.add_marker(pytest.mark.skip(reason="listed in KNOWN-RED.txt"))
