"""Standard streams of the process, which may be closed when it starts."""

import os
import sys

__all__ = ["open_standard_streams"]

STANDARD_FDS = (0, 1, 2)


def open_standard_streams() -> None:
    """Replace each closed standard stream by the null device.

    Otherwise the next socket gets the file descriptor of the stream, and log lines are written to
    that socket.
    """
    for fd in STANDARD_FDS:
        try:
            os.fstat(fd)
        except OSError:
            os.open(os.devnull, os.O_RDWR)  # returns the lowest free descriptor
    # Python sets a stream to None when its descriptor is closed at startup.
    sys.stdout = sys.stdout or os.fdopen(1, "w", closefd=False)
    sys.stderr = sys.stderr or os.fdopen(2, "w", closefd=False)
