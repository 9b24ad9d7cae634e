"""A log output that is not read blocks nothing; dropped lines are counted."""

import json
import subprocess
import sys

N_EVENTS = 30_000
LOOP_DELAY_MAX_MS = 500.0
EXIT_TIMEOUT_S = 20.0

WRITER = f"""
import asyncio, sys, time
from bergamotferry_host import logs

async def main():
    worst_ms = 0.0
    for number in range({N_EVENTS}):
        logs.log("state", number=number, filler="x" * 100)
        if number % 100 == 0:
            due_s = time.monotonic() + 0.001
            await asyncio.sleep(0.001)
            worst_ms = max(worst_ms, (time.monotonic() - due_s) * 1000)
    print(worst_ms, logs.n_lines_dropped(), file=sys.stderr, flush=True)

listener = logs.start_logs("h", "a", "info")
asyncio.run(main())
logs.end_process(listener, 3)
"""

ROUTINE = """
import sys
from bergamotferry_host import logs
listener = logs.start_logs("h", "a", "info")
for number in range(2_000):
    logs.log_routine("sent", number=number, detail="d" * 5_000)
    logs.log_routine("refused", number=number)
logs.log_warning("state")
logs._BUDGETS["sent"].n_left = 1.0
logs.log_routine("sent", number=2_000)
print(logs.n_lines_dropped(), file=sys.stderr)
logs.end_process(listener, 0)
"""


def test_stalled_log_reader_blocks_neither_the_loop_nor_the_exit():
    process = subprocess.Popen(
        [sys.executable, "-c", WRITER], stdout=subprocess.PIPE, stderr=subprocess.PIPE
    )
    try:
        # The test does not read standard output, whose pipe holds far less than all
        # lines, so the writer's pipe stays full.
        report_fields = process.stderr.readline().split()
        assert process.wait(EXIT_TIMEOUT_S) == 3
    finally:
        process.kill()
        process.communicate()
    assert float(report_fields[0]) < LOOP_DELAY_MAX_MS
    assert int(report_fields[1]) > 0


def test_routine_lines_are_rate_limited_truncated_and_displace_no_others():
    completed = subprocess.run(
        [sys.executable, "-c", ROUTINE], capture_output=True, timeout=EXIT_TIMEOUT_S
    )
    assert completed.returncode == 0, completed.stderr
    lines = [json.loads(line) for line in completed.stdout.splitlines()]
    n_by_event = {"sent": 0, "refused": 0, "state": 0}
    for line in lines:
        n_by_event[line["event"]] += 1
    # Each event may log a burst of 500 lines and then 100 lines a second. The writer's
    # loop takes far less than two seconds, the time for the 200 lines above the burst.
    assert 500 <= n_by_event["sent"] <= 700
    assert 500 <= n_by_event["refused"] <= 700
    assert n_by_event["state"] == 1
    assert all(len(line.get("detail", "")) <= 200 for line in lines)
    n_left_out = [
        line.get("n_left_out", 0) for line in lines if line["event"] == "sent"
    ]
    assert sum(n_left_out) == 2_000 - (n_by_event["sent"] - 1)
    n_dropped = int(completed.stderr)
    assert n_dropped == 4_000 - (n_by_event["sent"] - 1) - n_by_event["refused"]
