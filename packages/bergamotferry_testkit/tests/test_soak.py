"""Safety holds under load and a fixed plan of faults, as the stand-ins' records show.

The test checks what must hold at any time: one owner per key, filings run at most once,
true refusals and whole answers. The number of refusals depends on timing, so the test
requires only that more than half of the requests are answered.
"""

import asyncio

from bergamotferry_testkit.deployments import CONSORZIO
from bergamotferry_testkit.fault_plan import Fault, draw_plan
from bergamotferry_testkit.local_deployment import LocalDeployment
from bergamotferry_testkit.soak import are_guarantees_kept, run_soak

PLAN = [
    Fault(1.0, "freeze_host", "milano-2", 2.0),
    Fault(2.0, "crash_upstream", "registro-01", 0.0),
    Fault(4.0, "kill_host", "padova-2", 1.0),
    Fault(6.0, "cut_one_way", "veneto", 2.0),
    Fault(7.0, "reset_links", "bergamo-1", 0.0),
    Fault(9.5, "freeze_stand_ins", "treviso", 2.0),
    Fault(12.5, "cut_data_centre", "milano", 2.0),
]
DURATION_S = 16.0


def test_guarantees_hold_under_a_fixed_fault_plan(tmp_path):
    deployment = LocalDeployment.from_config(CONSORZIO, tmp_path, has_proxy=True)
    report = asyncio.run(run_soak(deployment, PLAN, 11, 80.0, DURATION_S))
    assert are_guarantees_kept(report), report
    n_sent = sum(figures["sent"] for figures in report["routes"].values())
    n_answered = sum(figures["answered"] for figures in report["routes"].values())
    assert n_answered > n_sent / 2, report


def test_fault_plan_is_determined_by_its_seed(tmp_path):
    deployment = LocalDeployment.from_config(CONSORZIO, tmp_path, has_proxy=True)
    assert draw_plan(deployment, 5, 60.0) == draw_plan(deployment, 5, 60.0)
    assert draw_plan(deployment, 5, 60.0) != draw_plan(deployment, 6, 60.0)
