"""Shares of a host as rows of service load arrive, age, and prove false."""

import pytest
from direct_harness import SETTINGS, route

from bergamotferry.configuration import CallerLimits, Configuration, DirectService
from bergamotferry.service_load.rows import ServiceLoad
from bergamotferry.upstream_load import UpstreamLoad
from bergamotferry.upstream_sessions import SessionRow
from bergamotferry_host import direct_host
from bergamotferry_host.direct_host import DirectHost, Upstream
from bergamotferry_host.peer_link import PeerHandlers
from bergamotferry_host.peer_network import PeerNetwork
from bergamotferry_host.spill import metrics, updates
from bergamotferry_host.spill.metrics import spill_families
from bergamotferry_host.spill.updates import UPDATE_INTERVAL_S, update_spill

REGIONS = {"a": "north", "b": "north", "c": "south"}
N_UPSTREAMS = 10
STEP_NS = int(UPDATE_INTERVAL_S * 1e9)


class Clock:
    """Simulated time, used by the modules under test."""

    def __init__(self, monkeypatch) -> None:
        self.now_ns = 10**12
        for module in (updates, metrics, direct_host):
            monkeypatch.setattr(module, "now_ns", lambda: self.now_ns)


@pytest.fixture
def clock(monkeypatch):
    return Clock(monkeypatch)


def make_host() -> DirectHost:
    settings = SETTINGS._replace(regions=REGIONS)
    network = PeerNetwork("h", "t", {}, PeerHandlers(None, None, None))
    host = DirectHost(settings, network, lambda source: [])
    service = DirectService("lamps", "/health", 9, 3.0, 3.0, False, 0.0)
    host.configuration = Configuration.from_rows(
        1, [route()], [service], CallerLimits()
    )
    for name in REGIONS:
        for number in range(N_UPSTREAMS):
            row = SessionRow(
                f"{name}{number}",
                1,
                1,
                "lamps",
                f"{name}:{number}",
                name,
                2,
                "ready",
                0,
            )
            upstream = Upstream(row, UpstreamLoad(2))
            host.upstreams[row.name] = upstream
            host.ready_by_service.setdefault("lamps", []).append(upstream)
    return host


def step(host, clock, n_slots=20.0, n_steps=1, **offered) -> dict[str, float]:
    """Pass half a second at a time, with rows if any are given; return the shares."""
    for number in range(n_steps):
        clock.now_ns += STEP_NS
        if offered:
            host.service_loads = {
                ("lamps", name): ServiceLoad(
                    "lamps", name, n_slots, ((1, slots + 0.001 * number),), 500
                )
                for name, slots in offered.items()
            }
            host.service_loads_ns = clock.now_ns
        update_spill(host)
    spill = host.spill.services.get("lamps")
    return dict(spill.shares.planned) if spill is not None else {}


def test_share_rises_for_a_lasting_lack_of_slots_and_goes_back(clock):
    host = make_host()
    assert step(host, clock) == {}
    first = step(host, clock, a=24.0, b=6.0, c=2.0)
    assert 0 < first["b"] <= 0.05
    later = step(host, clock, n_steps=20, a=24.0, b=6.0, c=2.0)
    assert 0.2 < later["b"] < 0.5
    assert step(host, clock, n_steps=4, a=8.0, b=6.0, c=2.0) == {}


def test_shares_end_when_the_rows_stop_arriving(clock):
    """Guards against a host that is cut off and keeps sending by its last rows."""
    host = make_host()
    step(host, clock, n_steps=20, a=24.0, b=6.0, c=2.0)
    # The last rows hold for three seconds, then the shares fall within a second.
    assert step(host, clock, n_steps=4)
    assert step(host, clock, n_steps=4) == {}
    assert host.spill.services["lamps"].shares.is_current is False


def test_row_of_more_slots_than_there_are_draws_no_more_than_they_can_run(clock):
    """Guards against a false row that would overload its data centre."""
    host, believing = make_host(), make_host()
    step(host, clock, n_slots=1e6, n_steps=20, a=24.0, b=15.0, c=15.0)
    spill = host.spill.services["lamps"]
    slots = {place.data_centre: place.n_slots for place in spill.places}
    assert max(slots.values()) <= 1.2 * 2 * N_UPSTREAMS
    # Unknown upstreams count as none.
    believing.ready_by_service["lamps"] = [
        upstream
        for upstream in believing.ready_by_service["lamps"]
        if upstream.row.data_centre == "a"
    ]
    assert step(believing, clock, n_steps=20, a=24.0, b=1.0, c=1.0) == {}


def test_evacuation_ends_a_share_at_once(clock):
    host = make_host()
    assert "b" in step(host, clock, n_steps=20, a=24.0, b=6.0, c=2.0)
    host.evacuated = frozenset("b")
    shares = step(host, clock, a=24.0, b=6.0, c=2.0)
    assert "b" not in shares


def test_cold_upstreams_count_as_no_slots(clock):
    """Guards against a share to a data centre that has just been switched on again."""
    host = make_host()
    for upstream in host.ready_by_service["lamps"]:
        if upstream.row.data_centre == "b":
            upstream.cold.cold_until_ns = clock.now_ns + 60 * 10**9
    shares = step(host, clock, n_steps=20, a=24.0, b=1.0, c=2.0)
    assert set(shares) == {"c"}


def test_flow_to_another_region_ends_when_the_link_is_used_by_others(clock):
    """Guards against spill beside downloads that fill the link between regions."""
    host = make_host()
    host.n_hosts_all = 60
    load = {"a": 28.0, "b": 28.0, "c": 2.0}
    assert "c" in step(host, clock, n_steps=20, **load)
    for _ in range(30):
        host.metrics.payload_bytes["far", "answer"] += 60_000
        shares = step(host, clock, **load)
    assert "c" not in shares


def test_changes_of_shares_are_logged_with_their_inputs_and_few_in_number(
    clock, caplog
):
    caplog.set_level("INFO", "bergamotferry")
    host = make_host()
    step(host, clock, n_steps=60, a=24.0, b=6.0, c=2.0)
    step(host, clock, n_steps=10, a=8.0, b=6.0, c=2.0)
    lines = [
        record for record in caplog.records if record.message == "spill share changed"
    ]
    assert 2 <= len(lines) <= 8
    assert (lines[0].service, lines[0].to_data_centre) == ("lamps", "b")
    assert lines[0].own_load == pytest.approx(24.0, abs=0.1)
    assert lines[0].age_ms == 500
    assert lines[-1].share == 0.0


def test_metrics_name_the_share_of_each_service_and_data_centre(clock):
    host = make_host()
    step(host, clock, n_steps=20, a=24.0, b=6.0, c=2.0)
    families = {family.name: family for family in spill_families(host)}
    share = families["spill_share"].rows["lamps", "b"]
    assert share == host.spill.services["lamps"].shares.planned["b"]
    assert families["spill_room_slots"].rows["lamps", "c"] > 0
    assert families["service_load_age_seconds"].rows[()] == pytest.approx(0.5)


def test_services_that_are_withdrawn_or_have_keys_have_no_shares(clock):
    host = make_host()
    step(host, clock, n_steps=3, a=24.0, b=6.0, c=2.0)
    sharded = host.configuration.services["lamps"]._replace(is_sharded=True)
    host.configuration = Configuration.from_rows(
        2, [route()], [sharded], CallerLimits()
    )
    host.spill.services.clear()
    assert step(host, clock, a=24.0, b=6.0, c=2.0) == {}
    host.configuration = Configuration.from_rows(3, [], [], CallerLimits())
    assert step(host, clock, a=24.0, b=6.0, c=2.0) == {}
