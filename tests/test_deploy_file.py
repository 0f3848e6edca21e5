"""The deploy file: what the platform builds and runs on a machine that starts clean."""

import shlex
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
