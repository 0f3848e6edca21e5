"""Determines the directory of the installed dependencies; prints it when run as a program."""

import zlib
from importlib.machinery import EXTENSION_SUFFIXES
from pathlib import Path

__all__ = ["ROOT", "dependencies_directory"]

ROOT = Path(__file__).resolve().parent.parent


def dependencies_directory() -> Path:
    """Return the directory for the current requirements and the Python that runs this code.

    Other requirements and other versions of Python have their own directories, so a build never
    changes a directory that is in use.
    """
    # The suffix of compiled modules names the Python version and architecture that can load them.
    abi = EXTENSION_SUFFIXES[0].split(".")[1]
    requirements = (ROOT / "requirements.txt").read_bytes()
    return ROOT / "target" / "deps" / f"{abi}-{zlib.crc32(requirements):08x}"


if __name__ == "__main__":
    print(dependencies_directory())
