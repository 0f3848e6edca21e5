"""Tracks which run ends a worker may forget: those whose effect is in the store."""

from collections import deque

import attrs
from gevent.event import Event

from lacewingmill.ports import Clock

__all__ = ["EndAcks"]


@attrs.frozen
class _PendingEnds:
    """Run ends up to a sequence number, and the writes to await before acknowledging them.

    :param writes: each is set once an effect of the ends is in the store.
    """

    number: int
    writes: list[Event]


class EndAcks:
    """The run ends that one incarnation of a worker has listed, by sequence number from 1.

    ``seen`` is the highest number that was listed, ``acked`` the highest one whose effect is
    stored, and ``sent`` the highest one that was acknowledged to the worker.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._unstored: deque[_PendingEnds] = deque()
        self.seen = 0
        self.acked = 0
        self.sent = 0

    @property
    def outstanding(self) -> bool:
        """Whether the worker keeps ends that it has not been told to forget yet."""
        return self.acked != self.sent or bool(self._unstored)

    @property
    def to_send(self) -> int:
        """The highest number to acknowledge to the worker; 0 when there is nothing new.

        A number is not sent again, because the worker may have started again unnoticed, and the
        same number may then stand for an end that was never listed.
        """
        return self.acked if self.acked > self.sent else 0

    @property
    def unstored(self) -> bool:
        """Whether the effect of some listed ends is not in the store yet."""
        return bool(self._unstored)

    def reset(self) -> None:
        """Start again from 0 for a new incarnation of the worker."""
        self.seen = self.acked = self.sent = 0
        self._unstored.clear()

    def add(self, number: int, writes: list[Event]) -> None:
        """Add the ends that were listed up to a sequence number.

        :param writes: each is set once an effect of the ends is in the store.
        """
        self.seen = number
        self._unstored.append(_PendingEnds(number, writes))

    def ack_stored(self, wait_s: float) -> None:
        """Advance ``acked`` over all ends whose effect is stored.

        :param wait_s: how long to wait for all writes in progress, in seconds.
        """
        until = self._clock.now() + wait_s
        while self._unstored:
            oldest = self._unstored[0]
            if not all(self._is_stored(event, until) for event in oldest.writes):
                return
            self.acked = max(self.acked, oldest.number)
            self._unstored.popleft()

    def _is_stored(self, written: Event, until: float) -> bool:
        if written.is_set():
            return True
        remaining_s = until - self._clock.now()
        return remaining_s > 0 and self._clock.wait(written, remaining_s)
