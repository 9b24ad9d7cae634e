"""The order of control hosts by distance."""

from bergamotferry.upstream_load import UpstreamLoad
from bergamotferry.upstream_sessions import SessionRow
from bergamotferry_host.direct_host import DirectHost, Upstream
from bergamotferry_host.fleet_settings import FleetSettings
from bergamotferry_host.following.nearness import nearer_than, nearest_first

REGIONS = {"a": "north", "b": "south", "c": "north", "d": "south"}
OWN, HERE, FAR, NEAR = "10.1.0.9", "10.1.0.1", "10.2.0.1", "10.3.0.1"
CONTROL_HOSTS = [NEAR, FAR, HERE]


def make_host(*upstreams):
    """Return a host in data centre a that knows upstreams (address, data centre)."""
    settings = FleetSettings(OWN, "h", "a", "north", REGIONS, 1, (HERE,))
    host = DirectHost(settings, None, lambda source: [])
    for number, (address, data_centre) in enumerate(upstreams):
        name = f"u{number}"
        row = SessionRow(name, 1, 1, "lamps", address, data_centre, 2, "ready", 0)
        host.upstreams[name] = Upstream(row, UpstreamLoad(2))
    return host


UPSTREAMS = [
    ("10.1.64.5:80", "a"),
    ("10.2.64.5:80", "b"),
    ("10.3.64.5:80", "c"),
    ("10.3.64.6:80", "c"),
]


def test_own_data_centre_comes_first_then_the_own_region():
    host = make_host(*UPSTREAMS)
    assert nearest_first(host, [*CONTROL_HOSTS, FAR]) == [HERE, NEAR, FAR]


def test_shared_parts_decide_while_no_upstream_is_known():
    assert nearest_first(make_host(), CONTROL_HOSTS) == [HERE, FAR, NEAR]


def test_prefix_of_several_data_centres_tells_nothing():
    host = make_host(("10.1.0.5:80", "b"), ("10.1.1.5:80", "a"), ("10.3.0.5:80", "c"))
    assert nearest_first(host, ["10.1.2.1", NEAR]) == [NEAR, "10.1.2.1"]


def test_only_control_hosts_of_a_nearer_place_are_nearer():
    host = make_host(*UPSTREAMS)
    assert nearer_than(host, CONTROL_HOSTS, FAR) == [HERE, NEAR]
    assert nearer_than(host, CONTROL_HOSTS, NEAR) == [HERE]
    assert nearer_than(host, [*CONTROL_HOSTS, "10.1.0.2"], HERE) == []
