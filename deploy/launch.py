"""Starts lacewingmill from a checkout with the dependencies that ``deploy/build.sh`` installed."""

import signal
import sys
from pathlib import Path

# Ignore SIGHUP until the program installs its handler: by default it would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(Path(__file__).resolve().parent))

from dependencies import ROOT, dependencies_directory  # noqa: E402

sys.path[:0] = [str(ROOT / "src"), str(dependencies_directory())]

from lacewingmill.cli import main  # noqa: E402

sys.exit(main())
