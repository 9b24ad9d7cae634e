"""A log that nobody reads holds nothing up and loses only lines, counted."""

import json
import subprocess
import sys

N_EVENTS = 30_000
LOOP_DELAY_MAX_MS = 500.0
END_TIMEOUT_S = 20.0

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


def test_reader_that_stops_blocks_neither_the_loop_nor_the_end():
    process = subprocess.Popen(
        [sys.executable, "-c", WRITER], stdout=subprocess.PIPE, stderr=subprocess.PIPE
    )
    try:
        # Nothing is read from standard output, and its pipe holds far less.
        words = process.stderr.readline().split()
        assert process.wait(END_TIMEOUT_S) == 3
    finally:
        process.kill()
        process.communicate()
    assert float(words[0]) < LOOP_DELAY_MAX_MS
    assert int(words[1]) > 0


def test_routine_lines_are_bounded_cut_and_never_displace_others():
    done = subprocess.run(
        [sys.executable, "-c", ROUTINE], capture_output=True, timeout=END_TIMEOUT_S
    )
    assert done.returncode == 0, done.stderr
    lines = [json.loads(line) for line in done.stdout.splitlines()]
    n_by_event = {"sent": 0, "refused": 0, "state": 0}
    for line in lines:
        n_by_event[line["event"]] += 1
    # A kind has 500 lines at once and earns 100 a second; the loop takes far less.
    assert 500 <= n_by_event["sent"] <= 700
    assert 500 <= n_by_event["refused"] <= 700
    assert n_by_event["state"] == 1
    assert all(len(line.get("detail", "")) <= 200 for line in lines)
    told = [line.get("n_left_out", 0) for line in lines if line["event"] == "sent"]
    assert sum(told) == 2_000 - (n_by_event["sent"] - 1)
    n_dropped = int(done.stderr)
    assert n_dropped == 4_000 - (n_by_event["sent"] - 1) - n_by_event["refused"]
