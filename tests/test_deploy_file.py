"""The deploy file: what the platform builds and runs on a machine that starts clean."""

import os
import shlex
import shutil
import subprocess
import sys
import tomllib
from importlib.machinery import EXTENSION_SUFFIXES
from pathlib import Path

import attrs
import pytest

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
BUILD_SCRIPT = ROOT / "deploy" / "build.sh"
# Wheels of these requirements are linked to a library that is not part of Python.
NEEDED_LIBRARIES = {"greenlet": "libstdc++6"}


# Guards against a build that fails on a clean machine for want of a system package.
def test_the_deploy_file_names_the_system_packages_of_build_and_program():
    required = {line.split("==")[0] for line in (ROOT / "requirements.txt").read_text().split()}
    needed = {library for name, library in NEEDED_LIBRARIES.items() if name in required}
    words = shlex.split(BUILD_SCRIPT.read_text(), comments=True)
    if "python3" in words:
        needed.add("python3")
    if "pip" in words:
        needed.add("python3-pip")
    assert needed == {"python3", "python3-pip", "libstdc++6"}
    assert needed <= set(DEPLOY.get("packages", ()))


# An interpreter of the ABI in the file abi, whose installer ends with the code in exit_code.
PYTHON = """#!/bin/sh
if [ "$1" != -m ]; then
  exec {python} -c "
import importlib.machinery, runpy
importlib.machinery.EXTENSION_SUFFIXES[0] = '.$(cat abi).so'
runpy.run_path('$1', run_name='__main__')"
fi
echo "installed for $(cat abi)" >> calls
while [ "$1" != --target ]; do shift; done
mkdir -p "$2"
echo "abi = '$(cat abi)'" > "$2/installed.py"
exit $(cat exit_code)
"""
# A program that needs what the build installs.
PROGRAM = """
def main():
    import installed
    print(installed.abi)
"""


@attrs.frozen
class Checkout:
    """A checkout with an interpreter that writes down its installations."""

    folder: Path

    def build(self, exit_code=0, abi="cpython-311"):
        """Run the build and return its exit code."""
        (self.folder / "exit_code").write_text(str(exit_code))
        (self.folder / "abi").write_text(abi)
        env = {"PATH": f"{self.folder}:/usr/bin:/bin"}
        command = ["sh", "-c", DEPLOY["build"]]
        return subprocess.run(command, cwd=self.folder, env=env, check=False).returncode

    def installations(self):
        return (self.folder / "calls").read_text().splitlines()

    def built(self):
        """Return the files that builds have left, with the time of their last change."""
        paths = (self.folder / "target" / "deps").rglob("*")
        return {path: path.stat().st_mtime_ns for path in paths}


@pytest.fixture
def checkout(tmp_path):
    """A checkout of which nothing has been built."""
    shutil.copytree(ROOT / "deploy", tmp_path / "deploy")
    (tmp_path / "requirements.txt").write_text("attrs\n")
    (tmp_path / "python3").write_text(PYTHON.format(python=sys.executable))
    (tmp_path / "python3").chmod(0o755)
    package = tmp_path / "src" / "lacewingmill"
    package.mkdir(parents=True)
    (package / "__init__.py").touch()
    (package / "cli.py").write_text(PROGRAM)
    return Checkout(tmp_path)


# Guards against a start from the half-made dependencies that an interrupted build left.
def test_an_interrupted_build_is_repeated_and_a_complete_one_is_not(checkout):
    assert checkout.build(exit_code=1) != 0
    assert not checkout.built()
    assert checkout.build() == 0
    assert checkout.build() == 0
    assert checkout.installations() == ["installed for cpython-311"] * 2


# Guards against a FAULT: no process listened, for its dependencies were built for another Python.
def test_a_build_for_another_python_is_repeated(checkout):
    assert checkout.build(abi="cpython-313") == 0
    assert checkout.build(abi="cpython-311") == 0
    assert checkout.build(abi="cpython-313") == 0
    assert checkout.installations() == ["installed for cpython-313", "installed for cpython-311"]


# Guards against processes that end because a build replaces their dependencies while they start.
def test_a_build_changes_nothing_that_is_in_use(checkout):
    assert checkout.build() == 0
    in_use = checkout.built()
    os.utime(checkout.folder / "requirements.txt")
    assert checkout.build() == 0
    assert checkout.built() == in_use
    (checkout.folder / "requirements.txt").write_text("attrs\ncattrs\n")
    assert checkout.build() == 0
    assert checkout.built().items() > in_use.items()
    assert len(checkout.installations()) == 2


# Guards against a FAULT: no process listened, for nobody had told it where its dependencies are.
@pytest.mark.parametrize("options", [(), ("-P",), ("-I",)])
def test_the_launcher_finds_what_the_build_installed(checkout, options):
    assert checkout.build(abi=EXTENSION_SUFFIXES[0].split(".")[1]) == 0
    command = [sys.executable, *options, str(checkout.folder / "deploy" / "launch.py")]
    done = subprocess.run(command, cwd="/", env={}, check=False, capture_output=True, text=True)
    assert done.returncode == 0, done.stderr
    assert done.stdout.strip() in EXTENSION_SUFFIXES[0]
