"""A clock for tests and experiments on virtual time."""

import heapq
import itertools

import gevent
from gevent.event import Event

__all__ = ["VirtualClock"]

SETTLE_YIELDS = 30


class VirtualClock:
    """A clock that stands still until it is advanced; ``time`` is its time, in seconds."""

    def __init__(self):
        self.time = 1000.0
        self._sequence = itertools.count()
        self._sleepers = []

    def now(self) -> float:
        """Return the time, in seconds."""
        return self.time

    def wall(self) -> float:
        """Return the time, in seconds since the epoch."""
        return self.time

    def sleep(self, seconds: float) -> None:
        """Wait until the clock was advanced by this time, in seconds."""
        woken = Event()
        heapq.heappush(self._sleepers, (self.time + seconds, next(self._sequence), woken))
        woken.wait()

    def wait(self, event: Event, seconds: float) -> bool:
        """Wait for an event; return whether it is set.

        :param seconds: timeout, in seconds.
        """
        woken = Event()
        heapq.heappush(self._sleepers, (self.time + seconds, next(self._sequence), woken))
        event.rawlink(lambda _: woken.set())
        woken.wait()
        return event.is_set()

    def settle(self) -> None:
        """Let all greenlets run until they wait."""
        for _ in range(SETTLE_YIELDS):
            gevent.sleep(0)

    def advance(self, seconds: float) -> None:
        """Advance the time and wake each sleeper at its time, in order."""
        end = self.time + seconds
        self.settle()
        while self._sleepers and self._sleepers[0][0] <= end:
            at, _, woken = heapq.heappop(self._sleepers)
            self.time = max(self.time, at)
            woken.set()
            self.settle()
        self.time = end
        self.settle()

    def jump(self, seconds: float) -> None:
        """Advance the time as if this process were paused: all due sleepers wake late, at once."""
        self.time += seconds
        while self._sleepers and self._sleepers[0][0] <= self.time:
            heapq.heappop(self._sleepers)[2].set()
        self.settle()
