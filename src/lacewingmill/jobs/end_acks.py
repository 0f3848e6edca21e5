"""Which ends a worker may forget: those whose effect is in the store."""

from collections import deque

import attrs
from gevent.event import Event

from lacewingmill.ports import Clock

__all__ = ["EndAcks"]


@attrs.frozen
class _Unstored:
    """Ends up to a number, and what must be written before the worker may forget them."""

    number: int
    written: list[Event]


class EndAcks:
    """The ends of one incarnation of a worker, which are numbered from 1."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._unstored: deque[_Unstored] = deque()
        self.seen = 0
        self.acked = 0
        self.sent = 0

    @property
    def outstanding(self) -> bool:
        """Whether the worker keeps ends that it may forget, now or soon."""
        return self.acked != self.sent or bool(self._unstored)

    @property
    def unstored(self) -> bool:
        """Whether the effect of some ends is not in the store yet."""
        return bool(self._unstored)

    def reset(self) -> None:
        """Begin anew with another incarnation."""
        self.seen = self.acked = self.sent = 0
        self._unstored.clear()

    def add(self, number: int, written: list[Event]) -> None:
        """Take in ends up to a number.

        :param written: each is set once an effect of them is in the store.
        """
        self.seen = number
        self._unstored.append(_Unstored(number, written))

    def ack_stored(self, wait_s: float) -> None:
        """Acknowledge what is stored.

        :param wait_s: how long to wait for each of what is being written, in seconds.
        """
        while self._unstored:
            oldest = self._unstored[0]
            if not all(self._clock.wait(event, wait_s) for event in oldest.written):
                return
            self.acked = max(self.acked, oldest.number)
            self._unstored.popleft()
