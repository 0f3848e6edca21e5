"""The runtime's clock."""

import time

import gevent
from gevent.event import Event

__all__ = ["GeventClock"]


class GeventClock:
    """Time of the gevent loop."""

    def now(self) -> float:
        """Return monotonic time that counts while the VM is suspended, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return wall-clock time, in seconds since the epoch."""
        return time.time()

    def sleep(self, seconds: float) -> None:
        """Suspend the calling greenlet."""
        gevent.sleep(seconds)

    def wait(self, event: Event, seconds: float) -> bool:
        """Wait for an event, at most so long; return whether it is set."""
        return event.wait(seconds)
