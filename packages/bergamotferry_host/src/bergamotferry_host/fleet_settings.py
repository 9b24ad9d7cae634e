"""Settings of a host of a deployment in direct mode.

The program that starts the host supplies the settings. `check_settings` returns all
errors at once.
"""

from pathlib import Path
from typing import NamedTuple


class DirectHeaders(NamedTuple):
    """Names of the headers that callers, hosts and upstreams exchange.

    ``not_run`` marks the answer of an upstream that did not run the request.
    ``expected_upstream`` names the only incarnation that may run the request. ``seal``
    proves that the upstream itself produced the answer. ``load`` carries the
    upstream's running requests, waiting requests, slots, and slowness in percent.
    ``cold_left_ms`` is the time in ms until the upstream is warm. ``leaving`` is "1" in
    the answers of an upstream that leaves. ``account`` names the account of a request
    to the upstream.
    """

    request_id: str = "Bergamotferry-Request-Id"
    deadline_ms: str = "Bergamotferry-Deadline-Ms"
    seal: str = "Bergamotferry-Seal"
    expected_upstream: str = "Bergamotferry-Upstream"
    upstream: str = "Bergamotferry-Upstream"
    load: str = "Bergamotferry-Load"
    not_run: str = "Bergamotferry-Not-Started"
    cold_left_ms: str = "Bergamotferry-Cold-Ms"
    shard_key: str = "Bergamotferry-Shard-Key"
    handover: str = "Bergamotferry-Handover"
    leaving: str = "Bergamotferry-Leaving"
    account: str = "Bergamotferry-Account"


class FleetBounds(NamedTuple):
    """Operators' requirements of the deployment, and limits of its upstreams.

    The retry budget of a service, for all hosts together and any period of
    ``retry_window_s``, is ``retry_budget_ratio`` times its requests plus
    ``retry_budget_reserve`` sends. The group has enough voters to survive the loss of
    ``n_lost_disks_max`` disks at once. With ``is_fail_closed``, no request runs that
    was sent later than ``revoke_ms`` after the acknowledged removal of its API key. In
    any period of ``quota_window_s``, an account with a rate may run (rate x window +
    burst) x (1 + ``quota_overshoot``) + ``quota_slack`` requests.
    """

    drain_ms: int = 2_000
    grace_s: float = 6.0
    configuration_apply_ms: int = 2_000
    evacuation_ms: int = 5_000
    hold_max_ms: int = 10_000
    retry_budget_ratio: float = 0.2
    retry_budget_reserve: float = 20.0
    retry_window_s: float = 10.0
    n_lost_disks_max: int = 1
    heartbeat_ms: int = 1_000
    is_fail_closed: bool = False
    revoke_ms: int = 5_000
    quota_window_s: float = 5.0
    quota_overshoot: float = 0.1
    quota_slack: float = 20.0


class FleetSettings(NamedTuple):
    """Identity of a host, its listen addresses and its seed control hosts.

    ``name`` is the IP number at which other hosts reach the host; ``label`` is its name
    in logs. Addresses that the host's role does not serve are empty. ``regions`` maps
    each data centre to its region. A ``metrics_port`` of 0 serves no metrics.
    ``link_mbps`` is the bandwidth of the host's link in Mbit/s, and ``memory_mb`` the
    memory of its process in MiB; 0 is unlimited.
    ``splits_busy_ranges`` enables splits of busy key ranges; it is off while hosts run
    a version without support for splits.
    """

    name: str
    label: str
    data_centre: str
    region: str
    regions: dict[str, str]
    peer_port: int
    seeds: tuple[str, ...]
    control_address: str = ""
    caller_address: str = ""
    ready_address: str = ""
    metrics_port: int = 0
    data_dir: Path | None = None
    is_bootstrap: bool = False
    n_descriptors_max: int = 1_024
    link_mbps: float = 0.0
    memory_mb: float = 0.0
    splits_busy_ranges: bool = True
    token: str = "fleet"
    headers: DirectHeaders = DirectHeaders()
    bounds: FleetBounds = FleetBounds()


def check_settings(settings: FleetSettings) -> list[str]:
    """Return all errors in the settings, one line each."""
    errors: list[str] = []
    if not settings.name:
        errors.append("the host's own IP number is missing")
    if not settings.seeds:
        errors.append("no control host is named")
    if settings.data_centre not in settings.regions:
        errors.append(f"data centre {settings.data_centre!r} has no region")
    if not 0 < settings.peer_port < 65_536:
        errors.append(f"{settings.peer_port} is no port for peers")
    if settings.bounds.revoke_ms <= 0:
        errors.append(f"{settings.bounds.revoke_ms} ms is no bound on revoked keys")
    if settings.bounds.quota_window_s <= 0:
        errors.append(f"{settings.bounds.quota_window_s} s is no window for caps")
    if min(settings.bounds.quota_overshoot, settings.bounds.quota_slack) < 0:
        errors.append("the tolerance of caps is negative")
    if settings.memory_mb < 0:
        errors.append(f"{settings.memory_mb} MiB is no limit of memory")
    if not 0 <= settings.metrics_port < 65_536:
        errors.append(f"{settings.metrics_port} is no port for metrics")
    if not settings.control_address and not settings.caller_address:
        errors.append("the host has neither a control address nor a caller address")
    if settings.control_address and settings.data_dir is None:
        errors.append("a control host needs a data folder")
    return errors
