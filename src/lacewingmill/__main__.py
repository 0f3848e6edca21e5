"""Runs the command line: ``python -m lacewingmill``."""

import sys

from lacewingmill.cli import main

sys.exit(main())
