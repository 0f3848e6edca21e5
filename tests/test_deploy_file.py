"""The deploy file: the build and the start of the program on a clean machine."""

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
# Wheels of these requirements link to a system library that is not part of Python.
SYSTEM_LIBRARIES = {"greenlet": "libstdc++6"}


# Guards against a build that fails on a clean machine because a system package is missing.
def test_the_deploy_file_lists_the_system_packages_of_build_and_program():
    required = {line.split("==")[0] for line in (ROOT / "requirements.txt").read_text().split()}
    needed = {library for name, library in SYSTEM_LIBRARIES.items() if name in required}
    words = shlex.split(BUILD_SCRIPT.read_text(), comments=True)
    if "python3" in words:
        needed.add("python3")
    if "pip" in words:
        needed.add("python3-pip")
    assert needed == {"python3", "python3-pip", "libstdc++6"}
    assert needed <= set(DEPLOY.get("packages", ()))


# A fake interpreter. The file abi holds its ABI tag and the file exit_code the exit code of its
# installer; it appends a line for each installation to the file calls.
FAKE_PYTHON = """#!/bin/sh
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
# A program that imports what the build installs.
PROGRAM = """
def main():
    import installed
    print(installed.abi)
"""


@attrs.frozen
class Checkout:
    """A checkout with a fake interpreter that records its installations."""

    directory: Path

    def build(self, exit_code=0, abi="cpython-311"):
        """Run the build and return its exit code."""
        (self.directory / "exit_code").write_text(str(exit_code))
        (self.directory / "abi").write_text(abi)
        env = {"PATH": f"{self.directory}:/usr/bin:/bin"}
        command = ["sh", "-c", DEPLOY["build"]]
        return subprocess.run(command, cwd=self.directory, env=env, check=False).returncode

    def installations(self):
        """Return a line for each installation."""
        return (self.directory / "calls").read_text().splitlines()

    def built_files(self):
        """Return the files that builds have left, with their modification times in nanoseconds."""
        paths = (self.directory / "target" / "deps").rglob("*")
        return {path: path.stat().st_mtime_ns for path in paths}


@pytest.fixture
def checkout(tmp_path):
    """A checkout without a build."""
    shutil.copytree(ROOT / "deploy", tmp_path / "deploy")
    (tmp_path / "requirements.txt").write_text("attrs\n")
    (tmp_path / "python3").write_text(FAKE_PYTHON.format(python=sys.executable))
    (tmp_path / "python3").chmod(0o755)
    package = tmp_path / "src" / "lacewingmill"
    package.mkdir(parents=True)
    (package / "__init__.py").touch()
    (package / "cli.py").write_text(PROGRAM)
    return Checkout(tmp_path)


# Guards against a start with incomplete dependencies that an interrupted build has left.
def test_an_interrupted_build_is_repeated_and_a_complete_one_is_not(checkout):
    assert checkout.build(exit_code=1) != 0
    assert not checkout.built_files()
    assert checkout.build() == 0
    assert checkout.build() == 0
    assert checkout.installations() == ["installed for cpython-311"] * 2


# Guards against a fault that occurred: no process listened, because its dependencies had been
# built for another Python version.
def test_a_build_for_another_python_is_repeated(checkout):
    assert checkout.build(abi="cpython-313") == 0
    assert checkout.build(abi="cpython-311") == 0
    assert checkout.build(abi="cpython-313") == 0
    assert checkout.installations() == ["installed for cpython-313", "installed for cpython-311"]


# Guards against processes that exit because a build replaces their dependencies while they start.
def test_a_build_does_not_change_files_in_use(checkout):
    assert checkout.build() == 0
    files_in_use = checkout.built_files()
    os.utime(checkout.directory / "requirements.txt")
    assert checkout.build() == 0
    assert checkout.built_files() == files_in_use
    (checkout.directory / "requirements.txt").write_text("attrs\ncattrs\n")
    assert checkout.build() == 0
    assert checkout.built_files().items() > files_in_use.items()
    assert len(checkout.installations()) == 2


# Guards against a fault that occurred: no process listened, because the path of its dependencies
# was not set.
@pytest.mark.parametrize("options", [(), ("-P",), ("-I",)])
def test_the_launcher_finds_what_the_build_installed(checkout, options):
    assert checkout.build(abi=EXTENSION_SUFFIXES[0].split(".")[1]) == 0
    command = [sys.executable, *options, str(checkout.directory / "deploy" / "launch.py")]
    result = subprocess.run(command, cwd="/", env={}, check=False, capture_output=True, text=True)
    assert result.returncode == 0, result.stderr
    assert result.stdout.strip() in EXTENSION_SUFFIXES[0]
