"""Every gauge is listed for operators, under a name that statsd takes."""

from pathlib import Path

from bergamotferry_host.gauges import gauge_values

PAGE = Path(__file__).parents[3] / "docs" / "OPERATING.md"


def test_every_gauge_is_on_the_page(state):
    state.n_in_flight = 3
    values = gauge_values(state)
    assert values["host.n_in_flight"] == 3
    assert values["host.is_ready"] == 1
    text = PAGE.read_text()
    for name in values:
        assert ":" not in name
        listed = name.replace("dc.a.", "NAME.").replace("global.", "NAME.")
        assert f"`{listed}`" in text, name
