"""The whole path with VMs as processes over real connections, as ``make demo-platform`` runs it."""

import subprocess
import sys


def test_jobs_of_steps_complete_once_and_vms_stop_as_planned():
    command = [sys.executable, "-m", "bench.platform_demo"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 0, done.stdout + done.stderr
    assert "0 0 0" in done.stdout
