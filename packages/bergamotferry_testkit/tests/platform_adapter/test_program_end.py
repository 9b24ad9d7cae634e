"""Exit of the platform's programs after a failure."""

import os
import subprocess
import sys

END_TIMEOUT_S = 20.0


def test_failed_process_writes_its_last_log_lines_and_the_reason(tmp_path):
    """Runs the platform's program with an edge role that raises at once."""
    settings = tmp_path / "settings.conf"
    settings.write_text(
        "ip=127.0.0.1\nzone=a\nregion=n\nzones.a=n\ninternal-port-range=17990,17995\n"
        "seed-nodes=127.0.0.1:1\nlisten-addrs.front=127.0.0.1:0\n"
    )
    program_source = (
        "import sys; from bergamotferry_platform import __main__ as program; "
        "from bergamotferry_host import direct_run, logs\n"
        "async def run(*_):\n"
        "    logs.log('last line')\n"
        "    raise KeyError('why')\n"
        "direct_run.run_direct_host = run\n"
        "sys.argv = ['program', 'edge']\n"
        "program.main()\n"
    )
    completed = subprocess.run(
        [sys.executable, "-c", program_source],
        env={**os.environ, "BERGAMOTFERRY_CONFIG": str(settings)},
        capture_output=True,
        timeout=END_TIMEOUT_S,
    )
    assert completed.returncode == 1
    assert b'"last line"' in completed.stdout
    assert b"KeyError: 'why'" in completed.stderr
