"""Writes log lines without ever blocking the loop, and bounds their number."""

from collections import deque

import gevent
from gevent.event import Event
from gevent.os import make_nonblocking, nb_write

__all__ = ["LineWriter", "standard_output"]

# About two seconds of lines under the heaviest load; what does not fit is counted and dropped.
LINES_KEPT = 4000
STANDARD_OUTPUT = 1
BYTES_A_WRITE = 65536


class LineWriter:
    """A file of lines behind a bounded queue, written by one greenlet.

    A reader that stops reading fills the queue, never the process's time: lines beyond it are
    dropped and counted.

    :param fd: file descriptor to write to; it becomes non-blocking.
    """

    def __init__(self, fd: int):
        self._fd = fd
        self._lines: deque[bytes] = deque()
        self._work = Event()
        self._idle = Event()
        self._idle.set()
        self.dropped = 0
        make_nonblocking(fd)
        gevent.spawn(self._run)

    def write(self, text: str) -> None:
        """Queue a line."""
        if len(self._lines) >= LINES_KEPT:
            self.dropped += 1
            return
        self._lines.append(text.encode())
        self._idle.clear()
        self._work.set()

    def flush(self) -> None:
        """Return at once; lines are written by the loop."""

    def close(self, timeout_s: float) -> None:
        """Wait until all lines are written, at most so long."""
        self._idle.wait(timeout_s)

    def _run(self) -> None:
        while True:
            self._work.wait()
            self._work.clear()
            while self._lines:
                self._write_some()
            self._idle.set()

    def _write_some(self) -> None:
        batch = []
        size = 0
        while self._lines and size < BYTES_A_WRITE:
            batch.append(self._lines.popleft())
            size += len(batch[-1])
        data = b"".join(batch)
        while data:
            try:
                data = data[nb_write(self._fd, data) :]
            except OSError:
                self.dropped += len(batch)  # nobody can read any more; there is no place to say so
                return


def standard_output() -> LineWriter:
    """Return a writer to this process's standard output."""
    return LineWriter(STANDARD_OUTPUT)
