"""The deploy file: what the platform builds and runs on a machine that starts clean."""

import os
import shlex
import subprocess
import tomllib
from pathlib import Path

import pytest

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


PYTHON = """#!/bin/sh
if [ "$1" = -c ]; then cat abi; exit; fi
echo "installed for $(cat abi)" >> calls
mkdir -p target/deps
exit $(cat exit_code)
"""


@pytest.fixture
def build(tmp_path):
    """Runs the build with an interpreter of some ABI whose installer ends with some code."""
    (tmp_path / "requirements.txt").write_text("attrs\n")
    os.utime(tmp_path / "requirements.txt", (1, 1))
    (tmp_path / "python3").write_text(PYTHON)
    (tmp_path / "python3").chmod(0o755)

    def run(exit_code=0, abi="cpython-311"):
        (tmp_path / "exit_code").write_text(str(exit_code))
        (tmp_path / "abi").write_text(abi)
        env = {"PATH": f"{tmp_path}:/usr/bin:/bin"}
        done = subprocess.run(["sh", "-c", DEPLOY["build"]], cwd=tmp_path, env=env, check=False)
        return done.returncode

    return run


# Guards against a start from the half-made dependencies that an interrupted build left.
def test_an_interrupted_build_is_repeated_and_a_complete_one_is_not(build, tmp_path):
    assert build(exit_code=1) != 0
    assert build() == 0
    assert build() == 0
    assert (tmp_path / "calls").read_text() == "installed for cpython-311\n" * 2


# Guards against a FAULT: no process listened, for its dependencies were built for another Python.
def test_a_build_for_another_python_is_repeated(build, tmp_path):
    assert build(abi="cpython-313") == 0
    assert build(abi="cpython-311") == 0
    assert build(abi="cpython-311") == 0
    calls = (tmp_path / "calls").read_text().splitlines()
    assert calls == ["installed for cpython-313", "installed for cpython-311"]
