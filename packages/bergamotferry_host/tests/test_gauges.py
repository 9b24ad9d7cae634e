"""Tests that each gauge is documented, and has a name that statsd accepts."""

from pathlib import Path

from bergamotferry_host.gauges import gauge_values, take_link_byte_counts

OPERATIONS_PAGE = Path(__file__).parents[3] / "docs" / "OPERATIONS.md"


def test_every_gauge_is_documented(state):
    state.n_in_flight = 3
    values = gauge_values(state)
    assert values["host.n_in_flight"] == 3
    assert values["host.is_ready"] == 1
    text = OPERATIONS_PAGE.read_text()
    for name in values:
        assert ":" not in name
        documented = name.replace("dc.a.", "NAME.").replace("global.", "NAME.")
        assert f"`{documented}`" in text, name


def test_bytes_to_peers_are_counted_once_by_class_and_data_centres(state):
    state.network.sent_bytes.update(
        {("a-1", "control"): 5, ("a-1", "bulk"): 7, ("no host of ours", "control"): 9}
    )
    counts = {"link.bytes.control.a.a": 5, "link.bytes.bulk.a.a": 7}
    assert take_link_byte_counts(state) == counts
    assert take_link_byte_counts(state) == {}
    assert "`link.bytes.CLASS.FROM.TO`" in OPERATIONS_PAGE.read_text()
