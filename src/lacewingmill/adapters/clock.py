"""Clock of the gevent runtime."""

import time

import gevent
from gevent.event import Event

__all__ = ["GeventClock"]


class GeventClock:
    """Implementation of the clock port with gevent."""

    def now(self) -> float:
        """Return monotonic time that includes suspension of the VM, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return wall-clock time, in seconds since the epoch."""
        return time.time()

    def sleep(self, seconds: float) -> None:
        """Suspend the calling greenlet.

        :param seconds: duration, in seconds.
        """
        gevent.sleep(seconds)

    def wait(self, event: Event, seconds: float) -> bool:
        """Wait for an event.

        :param seconds: timeout, in seconds.
        :return: whether the event is set.
        """
        # A wait that begins on a set event may get no timer while the waiters are being notified.
        return event.is_set() or event.wait(seconds)
