"""Builds the single-file binary, a pex file, and runs its ``version`` command."""

import subprocess
import sys
from pathlib import Path

__all__ = ["build", "main"]

OUTPUT = Path("dist/lacewingmill")


def build(output: Path) -> None:
    """Build a pex file that contains the program and its dependencies.

    The file needs Python 3.11 on the VM and starts no child process. On first use it unpacks itself
    into its cache directory, which ``PEX_ROOT`` can set.

    :raises subprocess.CalledProcessError: when pex fails.
    """
    output.parent.mkdir(parents=True, exist_ok=True)
    subprocess.run(
        [
            sys.executable,
            "-m",
            "pex",
            "--requirement",
            "requirements.txt",
            "--sources-directory",
            "src",
            "--entry-point",
            "lacewingmill.cli:main",
            "--python-shebang",
            "/usr/bin/env python3.11",
            "--venv",
            "prepend",
            "--output-file",
            str(output),
        ],
        check=True,
    )


def main() -> int:
    """Build the binary, run it once and print its size and version."""
    build(OUTPUT)
    result = subprocess.run(
        [sys.executable, str(OUTPUT), "version"], capture_output=True, text=True, check=True
    )
    print(f"{OUTPUT}: {OUTPUT.stat().st_size / 1e6:.1f} MB, {result.stdout.strip()}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
