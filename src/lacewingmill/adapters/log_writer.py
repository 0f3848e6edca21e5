"""Non-blocking writer of log lines with a bounded queue."""

from collections import deque

import gevent
from gevent.event import Event
from gevent.os import make_nonblocking, nb_write

__all__ = ["LineWriter", "standard_output"]

# About two seconds of lines under peak load; further lines are dropped and counted.
MAX_QUEUED_LINES = 4000
STDOUT_FD = 1
MAX_WRITE_BYTES = 65536


class LineWriter:
    """Writer of lines to a file descriptor, with a bounded queue and one writing greenlet.

    A reader that stops reading does not block the process: once the queue is full, lines are
    dropped and counted in ``dropped``.

    :param fd: file descriptor to write to; it is set to non-blocking.
    """

    def __init__(self, fd: int):
        self._fd = fd
        self._lines: deque[bytes] = deque()
        self._wake = Event()
        self._idle = Event()
        self._idle.set()
        self.dropped = 0
        make_nonblocking(fd)
        gevent.spawn(self._run)

    def write(self, text: str) -> None:
        """Add text to the queue; drop it when the queue is full."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self._lines.append(text.encode())
        self._idle.clear()
        self._wake.set()

    def flush(self) -> None:
        """Do nothing; the greenlet writes queued lines."""

    def close(self, timeout_s: float) -> None:
        """Wait until all queued lines are written.

        :param timeout_s: longest time to wait, in seconds.
        """
        self._idle.wait(timeout_s)

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._lines:
                self._write_batch()
            self._idle.set()

    def _write_batch(self) -> None:
        batch = []
        size = 0
        while self._lines and size < MAX_WRITE_BYTES:
            batch.append(self._lines.popleft())
            size += len(batch[-1])
        data = b"".join(batch)
        while data:
            try:
                data = data[nb_write(self._fd, data) :]
            except OSError:
                self.dropped += len(batch)  # the reader is gone, so the error cannot be logged
                return


def standard_output() -> LineWriter:
    """Return a writer to the standard output of this process."""
    return LineWriter(STDOUT_FD)
