"""End-to-end test of VMs as processes with real connections, as run by ``make demo-platform``."""

import subprocess
import sys


def test_jobs_of_steps_complete_once_and_vms_stop_as_planned():
    command = [sys.executable, "-m", "bench.platform_demo"]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    assert result.returncode == 0, result.stdout + result.stderr
    assert "0 0 0" in result.stdout
