"""Injects the faults of a soak's plan, by signals and on the links to upstreams."""

import asyncio
import shutil
import signal
import time

from platform_fleet import METRICS_PORT, send_http_request
from platform_soak_heartbeats import replace_upstream
from platform_soak_operator import apply_configuration, read_configuration
from platform_soak_plan import HOST_LINK_FAULTS, Fault
from platform_soak_state import (
    APPLY_S,
    CORES,
    KEYED_UPSTREAMS,
    RECOVERY_TIMEOUT_S,
    Soak,
)
from platform_soak_upstream import HOSTS, SoakUpstream

# Pause between two faults of one target.
FAULT_COOLDOWN_S = 1.5
# Metrics of a control host whose group has all voters and no learner, and the number of
# consecutive polls that must show them.
FULL_MEMBERSHIP_METRICS = (b"bergamotferry_voters 3.0", b"bergamotferry_learners 0.0")
N_FULL_MEMBERSHIP_POLLS = 5
# The number of routes of a large deployment; the manifest is some 400 KB long.
N_MANY_ROUTES = 1_500
# Longer than a caller of a control host waits.
SLOW_HOST_DELAY_MS = 1_300


async def run_plan(soak: Soak, plan: list[Fault]) -> None:
    async with asyncio.TaskGroup() as group:
        for fault in plan:
            await asyncio.sleep(fault.delay_s)
            group.create_task(_inject_fault(soak, fault))


async def _inject_fault(soak: Soak, fault: Fault) -> None:
    """Inject one fault, unless another fault still occupies its target."""
    _, kind, target, duration_s = fault
    affected = {target or kind}
    if kind in ("kill all cores", "lose disk"):
        # Until all control hosts hold all data again, only one disk may be lost.
        affected = set(CORES)
    if kind in HOST_LINK_FAULTS:
        affected = {f"links of {target}"}
    if kind.endswith("link"):
        # A link and its upstream may fail at the same time.
        affected = {f"link {target}"}
    if affected & soak.occupied:
        return
    soak.occupied |= affected
    soak.n_faults_by_kind[kind] += 1
    fleet = soak.fleet
    try:
        match kind:
            case "kill" | "kill all cores":
                for ip in affected:
                    soak.hard_faults.append((ip, time.monotonic()))
                    soak.record_down(ip)
                    await fleet.end(ip)
                await asyncio.sleep(duration_s)
                for ip in affected:
                    await fleet.start(ip)
            case "freeze":
                soak.hard_faults.append((target, time.monotonic()))
                soak.record_down(target)
                fleet.send_signal(target, signal.SIGSTOP)
                if target in CORES:
                    await _apply_configuration_and_thaw(soak, target, duration_s)
                else:
                    await asyncio.sleep(duration_s)
                    fleet.send_signal(target, signal.SIGCONT)
            case "stop":
                from_s = time.monotonic()
                soak.record_down(target)
                status = await fleet.end(target, signal.SIGTERM)
                soak.stops.append((target, from_s, time.monotonic(), status))
                await fleet.start(target)
            case "hangup":
                fleet.send_signal(target, signal.SIGHUP)
            case "crash":
                soak.breaks.append(time.monotonic())
                await _upstream_of_target(soak, target).crash()
            case "replace":
                await replace_upstream(soak, _upstream_of_target(soak, target))
            case "slow link":
                await _disturb_link(soak, target, duration_s, delay_ms=300)
            case "silent request link" | "silent answer link":
                is_to_upstream = kind == "silent request link"
                await _disturb_link(
                    soak, target, duration_s, is_to_upstream, is_silent=True
                )
            case "reset link":
                soak.breaks.append(time.monotonic())
                soak.proxy.reset(HOSTS, target)
            case "cut host":
                await _disturb_host(soak, target, duration_s, is_silent=True)
            case "cut host one way":
                await _disturb_host(
                    soak, target, duration_s, is_both_ways=False, is_silent=True
                )
            case "slow host":
                await _disturb_host(
                    soak, target, duration_s, delay_ms=SLOW_HOST_DELAY_MS
                )
            case "reset host":
                soak.hard_faults.append((target, time.monotonic()))
                soak.mesh.reset(target)
            case "configure":
                await apply_configuration(soak, next(soak.versions))
            case "configure many routes":
                await apply_configuration(soak, next(soak.versions), N_MANY_ROUTES)
            case "lose disk":
                soak.hard_faults.append((target, time.monotonic()))
                soak.record_down(target)
                await fleet.end(target)
                shutil.rmtree(fleet.tmp_path / target)
                await fleet.start(target)
                await _wait_full_membership(soak, target)
        # The next fault may be a signal, which a new process can't handle at once.
        for ip in affected & set(fleet.processes):
            await fleet.wait_started(ip)
            soak.record_return(ip)
        await asyncio.sleep(FAULT_COOLDOWN_S)
    finally:
        soak.occupied -= affected


def _upstream_of_target(soak: Soak, target: str) -> SoakUpstream:
    if target in KEYED_UPSTREAMS:
        return soak.keyed_upstreams[KEYED_UPSTREAMS.index(target)]
    return soak.upstreams[int(target)]


async def _apply_configuration_and_thaw(
    soak: Soak, core: str, duration_s: float
) -> None:
    """Change the configuration while a control host is frozen, and thaw the host.

    The thaw does not wait for the change. If too few other control hosts run, the
    change is acknowledged only after the thaw.
    """
    change = asyncio.create_task(apply_configuration(soak, next(soak.versions)))
    await asyncio.sleep(max(duration_s, APPLY_S + 0.5))
    soak.held.thaws.append(time.monotonic())
    soak.fleet.send_signal(core, signal.SIGCONT)
    # The thawed host still has the configuration from before its freeze and must not
    # return it.
    await read_configuration(soak, core)
    await change


async def _wait_full_membership(soak: Soak, core: str) -> None:
    """Wait until a control host that lost its disk reports all voters of its group.

    The host starts without any member and applies older memberships as it catches up.
    Several consecutive polls must therefore show the whole group.
    """
    n_full_polls = 0
    async with asyncio.timeout(RECOVERY_TIMEOUT_S):
        while n_full_polls < N_FULL_MEMBERSHIP_POLLS:
            await asyncio.sleep(0.2)
            url = f"http://{core}:{METRICS_PORT}/metrics"
            _, page = await send_http_request(soak.http, "GET", url)
            is_full = all(line in page.splitlines() for line in FULL_MEMBERSHIP_METRICS)
            n_full_polls = n_full_polls + 1 if is_full else 0


async def _disturb_host(
    soak: Soak, core: str, duration_s: float, **rule: object
) -> None:
    """Disturb the links of a control host to all other hosts for a while.

    Grants that waited meanwhile may arrive late, as after a thaw.
    """
    soak.hard_faults.append((core, time.monotonic()))
    soak.disturbed_cores.add(core)
    soak.mesh.disturb(core, **rule)
    await asyncio.sleep(duration_s)
    soak.mesh.heal(core)
    soak.disturbed_cores.discard(core)
    soak.held.thaws.append(time.monotonic())
    soak.hard_faults.append((core, time.monotonic()))


async def _disturb_link(
    soak: Soak,
    target: str,
    duration_s: float,
    is_to_upstream: bool = True,
    **rule: object,
) -> None:
    """Apply a rule to one direction of the link to an upstream, then restore it."""
    ends = [[HOSTS], [target]] if is_to_upstream else [[target], [HOSTS]]
    direction = {"sources": ends[0], "targets": ends[1]}
    soak.proxy.apply({**direction, **rule})
    await asyncio.sleep(duration_s)
    soak.proxy.apply({**direction, "delay_ms": 0, "is_silent": False})
