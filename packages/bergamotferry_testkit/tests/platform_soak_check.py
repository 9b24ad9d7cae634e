"""Checks the guarantees against what callers, upstreams and the operator observed."""

from collections import Counter, defaultdict

from platform_soak_accounts import check_accounts
from platform_soak_state import APPLY_S, CORES, LARGE_KINDS, ONCE_KINDS, Call, Soak
from platform_soak_upstream import Run, answer_body, is_ending

# The effects of a hard fault may last for this long after it.
FAULT_EFFECT_S = 3.0
# What a host has seen is known to those in touch after this time.
CONTACT_S = 3.0
N_ENDS_MAX = 3
N_RETRIES_MAX = 3
NOT_RUN_STATUSES = (408, 421, 429, 503)


def check_soak(soak: Soak) -> list[str]:
    """Return one line for each guarantee that was broken."""
    runs_by_id: defaultdict[str, list[Run]] = defaultdict(list)
    for run in soak.runs:
        runs_by_id[run.request_id].append(run)
    run_counts = Counter(run.request_id for run in soak.runs)
    broken = list(soak.held.double_holds)
    for call in soak.calls:
        broken += _check_runs(call, runs_by_id[call.request_id])
        n_runs = run_counts[call.request_id]
        if call.status == 200 and not n_runs:
            broken.append(f"{call.request_id} was answered with 200 but did not run")
        if call.status == 200 and call.body != answer_body(call.path, call.request_id):
            body_summary = f"{len(call.body)} bytes, {call.body[:40]!r}"
            broken.append(f"{call.request_id} got {body_summary}")
        if call.is_unreadable:
            broken.append(f"{call.request_id} got bytes that are no answer")
        is_unexpected = call.status in (400, 401, 403, 404, 500)
        if is_unexpected or (call.status and not 200 <= call.status <= 599):
            broken.append(f"{call.request_id} got {call.status}")
    broken += check_accounts(soak)
    broken += soak.evacuation_faults
    broken += _check_reads(soak)
    broken += [
        f"{ip} ended with {status} after SIGTERM"
        for ip, _, _, status in soak.stops
        if status
    ]
    broken += _check_ending_requests(soak, run_counts)
    return broken + _check_planned_stops(soak, run_counts)


def _check_runs(call: Call, runs: list[Run]) -> list[str]:
    """Return lines for a call that ran more often than allowed, or than was said.

    A request that its caller was told not to have run may not run later either.
    """
    if call.kind not in ONCE_KINDS or not runs:
        return []
    named = f"{call.request_id} ({call.kind}, {call.method})"
    at = ", ".join(
        f"{run.upstream} {run.at_s - call.ended_s:+.3f} s after the answer"
        for run in runs
    )
    broken = []
    if len(runs) > 1:
        broken.append(f"{named} ran {len(runs)} times: {at}")
    if call.status in NOT_RUN_STATUSES:
        broken.append(f"{named} ran although {call.status} means not run: {at}")
    return broken


def _check_reads(soak: Soak) -> list[str]:
    broken = []
    for began_s, version in soak.reads:
        expected_versions = [
            acknowledged_version
            for at_s, acknowledged_version in soak.acknowledged
            if at_s + APPLY_S < began_s
        ]
        if expected_versions and version < max(expected_versions):
            broken.append(
                f"version {version} was read, {max(expected_versions)} acknowledged"
            )
    return broken


def _check_planned_stops(soak: Soak, run_counts: Counter[str]) -> list[str]:
    """Return one line for each planned stop that cut off requests which had run.

    A stop is checked against the requests at the host that stopped and, if that is a
    control host, against the downloads at all entry hosts, since the control host may
    have fetched their answers. Requests that lasted for 2 s reached their deadline and
    are left out.
    """
    broken = []
    for ip, from_s, to_s, _ in soak.stops:
        cut_ids = [
            call.request_id
            for call in soak.calls
            if (call.edge == ip or (ip in CORES and call.kind in LARGE_KINDS))
            and call.began_s < to_s
            and call.ended_s > from_s
            and call.status == 0
            and call.ended_s - call.began_s < 2.0
            and run_counts[call.request_id]
            and not _has_hard_fault(soak, call.edge, from_s, to_s)
            and not _is_cut_by_upstream(soak, call)
            and not _is_cut_by_control_host(soak, call)
        ]
        if cut_ids:
            broken.append(f"{ip} cut {cut_ids} as it stopped")
    return broken


def _check_ending_requests(soak: Soak, run_counts: Counter[str]) -> list[str]:
    """Return one line for each request that ended upstreams and was not stopped.

    Hosts that are in touch must stop a request within `CONTACT_S` after the third end,
    but for `N_RETRIES_MAX` retries. No proper request may be taken for the cause.
    """
    broken = [
        f"{call.request_id} for {call.path} was refused as quarantined"
        for call in soak.calls
        if not is_ending(call.path) and call.body.startswith(b"1301")
    ]
    for path in {end.path for end in soak.ends}:
        ends_s = sorted(end.at_s for end in soak.ends if end.path == path)
        late_ids = [
            call.request_id
            for call in soak.calls
            if call.path == path
            and run_counts[call.request_id]
            and len(ends_s) >= N_ENDS_MAX
            and call.began_s > ends_s[N_ENDS_MAX - 1] + CONTACT_S
            and _is_in_touch(soak, call)
        ]
        if len(late_ids) > N_RETRIES_MAX:
            broken.append(f"{path} ended {len(ends_s)} upstreams, late: {late_ids}")
    return broken


def _is_in_touch(soak: Soak, call: Call) -> bool:
    """Return whether the host of a request could have heard what others had seen."""
    since_s = call.began_s - CONTACT_S
    disturbances = [*soak.hard_faults, *soak.returns]
    disturbances += [(ip, from_s) for ip, from_s, _, _ in soak.stops]
    is_disturbed = any(
        ip == call.edge and since_s < at_s < call.ended_s for ip, at_s in disturbances
    )
    is_blacked_out = any(
        from_s < call.ended_s and since_s < to_s for from_s, to_s in soak.blackouts
    )
    return not is_disturbed and not is_blacked_out


def _has_hard_fault(soak: Soak, edge: str, from_s: float, to_s: float) -> bool:
    """Return whether a host had a hard fault during a stop or shortly before it."""
    return any(
        ip == edge and from_s - FAULT_EFFECT_S < at_s < to_s
        for ip, at_s in soak.hard_faults
    )


def _is_cut_by_upstream(soak: Soak, call: Call) -> bool:
    """Return whether a download may have been cut between upstream and host."""
    is_broken = any(call.began_s <= at_s <= call.ended_s for at_s in soak.breaks)
    is_broken |= call.request_id in soak.broken_off
    return call.kind in LARGE_KINDS and is_broken


def _is_cut_by_control_host(soak: Soak, call: Call) -> bool:
    """Return whether a download may have been lost with the control host fetching it.

    Only hard faults count. A planned stop does not, since a control host that stops
    first relays the answers that it holds.
    """
    since_s = call.began_s - FAULT_EFFECT_S
    is_lost = any(
        ip in CORES and since_s < at_s < call.ended_s for ip, at_s in soak.hard_faults
    )
    return call.kind in LARGE_KINDS and is_lost
