"""Applies what the followed control host reports to the state of a host.

The control host reports changes only, so each function here changes the part of the
state that the report names and keeps the rest.
"""

import zlib

from bergamotferry.cold_rate import ColdRate, record_cold, record_uncertain
from bergamotferry.configuration_text import decompress_text
from bergamotferry.direct_placement import Distance
from bergamotferry.fleet_messages import FleetChanges
from bergamotferry.fleet_tables import KeyRange, Retired
from bergamotferry.key_ranges import merge_ranges
from bergamotferry.upstream_load import UpstreamLoad
from bergamotferry.upstream_notice import is_replaced, record_replaced
from bergamotferry.upstream_sessions import (
    SessionRow,
    is_newer_row,
    phase_after_retirement,
)

from .clock import now_ns
from .direct_host import DirectHost, Upstream, distance_of
from .logs import log, log_warning
from .upstream_ends import EndProof, record_address_in_use, record_proof
from .upstream_notices import report_leaving

# Upstreams that left or are lost stay known, so that a control host that lags cannot
# bring them back. They are removed only while more upstreams than this are known.
N_UPSTREAMS_MAX = 8192
# A host still counts as present for this long after it was last reported, because a
# control host that has just started knows few hosts. Within this time, every host finds
# a control host to follow again.
HOST_EXPIRY_NS = 5_000_000_000
_DISTANCES: tuple[Distance, ...] = ("here", "near", "far")


def add_control_hosts(host: DirectHost, names: tuple[str, ...]) -> None:
    """Add the control hosts that are not yet known."""
    host.control_hosts += [name for name in names if name not in host.control_hosts]


def apply_changes(host: DirectHost, reply: FleetChanges) -> None:
    """Apply the changes that the followed control host reported."""
    is_any_retired = _apply_retirements(host, reply.retired, reply.revision)
    is_same_source = reply.source == host.source
    host.source, host.session_change = reply.source, reply.session_change
    for row in reply.sessions:
        _apply_session_row(host, row)
    add_control_hosts(host, reply.control_hosts)
    local_hosts = _current_local_hosts(host, reply.local_hosts, now_ns())
    if local_hosts != host.local_hosts:
        host.local_hosts = local_hosts
        for upstream in host.upstreams.values():
            upstream.rank = _rendezvous_rank(host, upstream.row)
        _rebuild_upstream_index(host)
    elif reply.sessions or is_any_retired:
        _rebuild_upstream_index(host)
    _apply_n_hosts(host, max(1, reply.n_hosts_all), now_ns())
    host.hot_holders = frozenset(reply.hot_holders)
    if reply.revision < host.revision:
        return
    if reply.revision > host.revision or not is_same_source:
        _apply_evacuations(host, frozenset(reply.evacuated), reply.revision)
        _apply_ranges(host, reply.ranges)
        host.revision = reply.revision
    if reply.configuration_source:
        _apply_configuration(host, reply)


def rows_not_listed(
    host: DirectHost, listed_born_ms: dict[str, int]
) -> tuple[SessionRow, ...]:
    """Return the rows of upstreams in use that a control host has not listed.

    Parameters
    ----------
    host : DirectHost
        This host.
    listed_born_ms : dict of str to int
        Start time of each upstream that the control host has listed, by name.
    """
    now = now_ns()
    return tuple(
        upstream.row
        for name, upstream in host.upstreams.items()
        if upstream.row.phase == "ready"
        and not is_replaced(upstream.availability, now)
        and listed_born_ms.get(name, -1) < upstream.row.born_ms
    )


def mark_replaced(host: DirectHost, upstream: Upstream) -> None:
    """Keep requests from an upstream after another process answered at its address.

    Heartbeats of the upstream tell this host nothing new if it is still running, so
    that it is tried again after a time.
    """
    log("upstream not at its address", upstream=upstream.row.name)
    record_end_proof(host, upstream, "other process")
    record_replaced(upstream.availability, now_ns())


def record_end_proof(host: DirectHost, upstream: Upstream, proof: EndProof) -> None:
    """Record that an upstream's process has ended.

    Does nothing if its name has a new process by now, of which it proves nothing.
    """
    if host.upstreams.get(upstream.row.name) is upstream:
        record_proof(host.end_watch, upstream.row.name, proof)


def _current_local_hosts(
    host: DirectHost, reported: tuple[str, ...], now: int
) -> tuple[str, ...]:
    """Return the hosts of this data centre that are, or were recently, reported."""
    for name in (*reported, host.settings.name):
        host.host_reported_ns[name] = now
    for name, reported_ns in list(host.host_reported_ns.items()):
        if now - reported_ns > HOST_EXPIRY_NS:
            del host.host_reported_ns[name]
    return tuple(sorted(host.host_reported_ns))


def _apply_n_hosts(host: DirectHost, n_hosts: int, now: int) -> None:
    """Set the number of hosts; a lower one counts only once it has been so for long."""
    is_outdated = now - host.n_hosts_reported_ns > HOST_EXPIRY_NS
    if n_hosts >= host.n_hosts_all or is_outdated:
        host.n_hosts_all = n_hosts
        host.n_hosts_reported_ns = now


def _apply_ranges(host: DirectHost, changed: tuple[KeyRange, ...]) -> None:
    for service in {row.service for row in changed}:
        rows = [row for row in changed if row.service == service]
        host.ranges[service] = merge_ranges(host.ranges.get(service, []), rows)
    tokens = {row.token for rows in host.ranges.values() for row in rows}
    for token in host.key_pauses.keys() - tokens:
        del host.key_pauses[token]


def _apply_evacuations(
    host: DirectHost, evacuated: frozenset[str], revision: int
) -> None:
    """Set the evacuated data centres; those that return may have cold upstreams."""
    if evacuated != host.evacuated:
        log("evacuations in force", data_centres=sorted(evacuated), revision=revision)
    now = now_ns()
    for upstream in host.upstreams.values():
        if upstream.row.data_centre in host.evacuated - evacuated:
            record_uncertain(upstream.cold, now)
    host.evacuated = evacuated


def _apply_configuration(host: DirectHost, reply: FleetChanges) -> None:
    if reply.configuration_version <= host.configuration.version:
        return
    try:
        source = decompress_text(reply.configuration_source)
    except ValueError as error:
        log_warning("configuration not understood", errors=1, why=str(error))
        return
    decoded = host.decode_configuration(source)
    if isinstance(decoded, list):
        log_warning("configuration not understood", errors=len(decoded))
        return
    host.configuration = decoded
    host.configured.set()
    log(
        "configuration in force",
        version=decoded.version,
        revision=reply.revision,
        n_accounts=len(decoded.accounts),
    )


def _apply_retirements(
    host: DirectHost, retired: tuple[Retired, ...], revision: int
) -> bool:
    """Apply what the log records of the upstreams known here; return if any changed.

    This comes before the rows of the same reply: these may be of the next incarnation.
    """
    is_any_changed = False
    for record in retired:
        upstream = host.upstreams.get(record.name)
        if upstream is None:
            continue
        row = upstream.row
        phase = phase_after_retirement(row, record, now_ns() - upstream.known_ns)
        if phase == row.phase:
            continue
        is_any_changed = True
        log(
            "upstream left",
            upstream=row.name,
            phase=phase,
            born_ms=row.born_ms,
            recorded_born_ms=record.born_ms,
            revision=revision,
        )
        if phase == "draining" and row.born_ms > record.born_ms:
            # Control did not know this incarnation when it recorded the leave.
            report_leaving(host, upstream)
        upstream.row = row._replace(phase=phase)
    return is_any_changed


def _apply_session_row(host: DirectHost, row: SessionRow) -> None:
    known = host.upstreams.get(row.name)
    if not is_newer_row(row, known.row if known else None):
        return
    if known is None or known.row.born_ms != row.born_ms:
        load = UpstreamLoad(row.n_slots)
        # Recent sends to the previous process may have reached the new one, so they
        # count towards the new one's cold rate.
        cold = ColdRate(sent_ns=known.cold.sent_ns) if known else ColdRate()
        if known is not None:
            record_proof(host.end_watch, row.name, "next incarnation")
        record_address_in_use(host.end_watch, row.address, row.name)
        known = Upstream(row, load, cold, rank=_rendezvous_rank(host, row))
        host.upstreams[row.name] = known
        log("upstream known", upstream=row.name, service=row.service, phase=row.phase)
    elif known.row.phase != row.phase:
        log("upstream changed", upstream=row.name, phase=row.phase)
    known.row = row
    if row.cold_left_ms:
        record_cold(known.cold, row.cold_left_ms, now_ns())


def _rebuild_upstream_index(host: DirectHost) -> None:
    host.ready_by_service = {}
    n_surplus = len(host.upstreams) - N_UPSTREAMS_MAX
    for name, upstream in list(host.upstreams.items()):
        if upstream.row.phase == "ready":
            host.ready_by_service.setdefault(upstream.row.service, []).append(upstream)
        elif n_surplus > 0 and upstream.load.n_in_flight == 0:
            del host.upstreams[name]
            n_surplus -= 1
    for rows in host.ready_by_service.values():
        rows.sort(key=lambda upstream: _preference_key(host, upstream))


def _preference_key(host: DirectHost, upstream: Upstream) -> tuple[int, int, int]:
    """Return the sort key of an upstream in the order in which this host scans them.

    Nearer upstreams come first. Within this host's data centre, the order follows the
    ranks, so that every upstream is preferred by the same number of hosts. In other
    data centres, each host prefers its own pseudo-random subset of the upstreams.
    """
    distance = _DISTANCES.index(distance_of(host.settings, upstream.row.data_centre))
    rank = upstream.rank if upstream.rank is not None else 0
    return distance, rank, _rendezvous_weight(upstream.row.name, host.settings.name)


def _rendezvous_rank(host: DirectHost, row: SessionRow) -> int | None:
    """Return this host's rank for an upstream of its data centre.

    Ranks are the order of the hosts by rendezvous hashing.
    """
    if row.data_centre != host.settings.data_centre:
        return None

    own = _rendezvous_weight(row.name, host.settings.name)
    return sum(
        1 for other in host.local_hosts if _rendezvous_weight(row.name, other) > own
    )


def _rendezvous_weight(upstream: str, host_name: str) -> int:
    return zlib.crc32(f"{upstream} {host_name}".encode())
