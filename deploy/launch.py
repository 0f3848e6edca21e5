"""Starts lacewingmill from a checkout whose dependencies are in ``target/deps``."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from lacewingmill.cli import main  # noqa: E402

sys.exit(main())
