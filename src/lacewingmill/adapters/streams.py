"""The standard streams of the process, which need not be open when it starts."""

import os
import sys

__all__ = ["open_standard_streams"]

STANDARD_STREAMS = (0, 1, 2)


def open_standard_streams() -> None:
    """Open the null device in the place of each standard stream that is closed.

    Otherwise the next socket takes the number of the stream, and log lines are written into it.
    """
    for number in STANDARD_STREAMS:
        try:
            os.fstat(number)
        except OSError:
            os.open(os.devnull, os.O_RDWR)  # takes the lowest number that is free
    # Python leaves the streams of closed descriptors out.
    sys.stdout = sys.stdout or os.fdopen(1, "w", closefd=False)
    sys.stderr = sys.stderr or os.fdopen(2, "w", closefd=False)
