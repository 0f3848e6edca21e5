"""Starts lacewingmill from a checkout whose dependencies are in ``target/deps``."""

import signal
import sys
from pathlib import Path

# By default SIGHUP ends a process whose own handler does not stand yet.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from lacewingmill.cli import main  # noqa: E402

sys.exit(main())
