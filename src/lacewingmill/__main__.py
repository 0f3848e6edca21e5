"""Entry point of ``python -m lacewingmill``."""

import sys

from lacewingmill.cli import main

sys.exit(main())
