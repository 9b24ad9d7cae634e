"""Checks that all slopes of the tables can be measured with the current code."""

import json
from pathlib import Path

from bergamotferry_testkit import slopes_tables

DOCUMENT = Path(__file__).parents[3] / "docs/capacity.json"


def test_measured_table_slopes_are_those_of_the_capacity_document(monkeypatch):
    monkeypatch.setattr(slopes_tables, "SHARD_COUNTS", (64, 128, 256))
    monkeypatch.setattr(slopes_tables, "UPSTREAM_COUNTS", (3, 4, 5))
    monkeypatch.setattr(slopes_tables, "ROW_COUNTS", (10, 20, 40))
    monkeypatch.setattr(slopes_tables, "ENTRY_COUNTS", (1, 2, 3))
    monkeypatch.setattr(slopes_tables, "N_TIMING_ROUNDS", 1)
    measured = {slope.name for slope in slopes_tables.measure_table_slopes()}
    documented = json.loads(DOCUMENT.read_text())["slopes"]
    assert measured == {
        name for name, slope in documented.items() if slope["part"] == "tables"
    }
