"""A short demo run, with each component as its own process, answers every request."""

import argparse
import asyncio

from bergamotferry_testkit.demo import is_good, run_demo


def test_short_demo_answers_every_request(tmp_path):
    arguments = argparse.Namespace(
        deployment="ezo-lumen", rate=60.0, seconds=3.0, keys=500, seed=7
    )
    report = asyncio.run(run_demo(arguments, tmp_path))
    assert is_good(report)
    assert all(figures["refused"] == {} for figures in report["routes"].values()), (
        report
    )
