"""Names the folder that holds the dependencies; printed when run as a program."""

import zlib
from importlib.machinery import EXTENSION_SUFFIXES
from pathlib import Path

__all__ = ["ROOT", "dependencies_folder"]

ROOT = Path(__file__).resolve().parent.parent


def dependencies_folder() -> Path:
    """Return the folder for the present requirements and for the Python that runs this.

    What is built for others goes elsewhere, so a build never changes a folder that is in use.
    """
    # Compiled modules fit one version of Python on one architecture, which their suffix names.
    abi = EXTENSION_SUFFIXES[0].split(".")[1]
    requirements = (ROOT / "requirements.txt").read_bytes()
    return ROOT / "target" / "deps" / f"{abi}-{zlib.crc32(requirements):08x}"


if __name__ == "__main__":
    print(dependencies_folder())
