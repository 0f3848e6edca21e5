"""The deploy file: what the platform builds and runs on a machine that starts clean."""

import os
import shlex
import subprocess
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
# Wheels of these requirements are linked to a library that is not part of Python.
NEEDED_LIBRARIES = {"greenlet": "libstdc++6"}


# Guards against a build that fails on a clean machine for want of a system package.
def test_the_deploy_file_names_the_system_packages_of_build_and_program():
    required = {line.split("==")[0] for line in (ROOT / "requirements.txt").read_text().split()}
    needed = {library for name, library in NEEDED_LIBRARIES.items() if name in required}
    words = shlex.split(DEPLOY["build"])
    if "python3" in words:
        needed.add("python3")
    if "pip" in words:
        needed.add("python3-pip")
    assert needed <= set(DEPLOY.get("packages", ()))


PIP = """#!/bin/sh
echo installed >> calls
mkdir -p target/deps
exit $(cat exit_code)
"""


def run_build(folder, exit_code):
    """Run the build with an installer that leaves a folder and ends with a code."""
    (folder / "exit_code").write_text(str(exit_code))
    env = {"PATH": f"{folder}:/usr/bin:/bin"}
    return subprocess.run(
        ["sh", "-c", DEPLOY["build"]], cwd=folder, env=env, check=False
    ).returncode


# Guards against a start from the half-made dependencies that an interrupted build left.
def test_an_interrupted_build_is_repeated_and_a_complete_one_is_not(tmp_path):
    (tmp_path / "requirements.txt").write_text("attrs\n")
    os.utime(tmp_path / "requirements.txt", (1, 1))
    (tmp_path / "python3").write_text(PIP)
    (tmp_path / "python3").chmod(0o755)
    assert run_build(tmp_path, exit_code=1) != 0
    assert run_build(tmp_path, exit_code=0) == 0
    assert run_build(tmp_path, exit_code=0) == 0
    assert (tmp_path / "calls").read_text().split() == ["installed", "installed"]
