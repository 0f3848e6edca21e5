"""A bounded queue with deadlines and fair shares among teams; no I/O, time is passed in."""

from collections import deque

import attrs

from lacewingmill.exceptions import QueueFull

__all__ = ["TeamQueue", "Waiter"]


@attrs.define(eq=False)
class Waiter:
    """A request that waits for a slot.

    :param deadline: latest time at which a slot is still of use, in seconds.
    """

    team: str
    share: float
    deadline: float
    gone: bool = False


@attrs.define
class _TeamLine:
    """The waiters of one team.

    :param served: virtual time up to which the team has been served.
    """

    waiters: deque[Waiter] = attrs.field(factory=deque)
    served: float = 0.0


class TeamQueue:
    """Start-time fair queueing: the team that has been served least for its share goes next."""

    def __init__(self):
        self._lines: dict[str, _TeamLine] = {}
        self._virtual = 0.0
        self._waiting = 0

    def __len__(self) -> int:
        return self._waiting

    def push(self, waiter: Waiter, limit: int) -> None:
        """Add a waiter.

        :param limit: the most waiters of its team.
        :raises QueueFull: when the team has so many already.
        """
        line = self._lines.setdefault(waiter.team, _TeamLine())
        if len(line.waiters) >= limit:
            raise QueueFull(
                f"team {waiter.team} has {limit} requests waiting at this VM already", step="queue"
            )
        if not line.waiters:
            line.served = max(line.served, self._virtual)
        line.waiters.append(waiter)
        self._waiting += 1

    def pop(self, now: float) -> Waiter | None:
        """Remove and return the next waiter whose deadline has not passed."""
        while True:
            line = self._next_line()
            if line is None:
                return None
            waiter = line.waiters.popleft()
            self._waiting -= 1
            if waiter.gone or waiter.deadline <= now:
                waiter.gone = True
                continue
            self._virtual = line.served
            line.served += 1.0 / waiter.share
            return waiter

    def remove(self, waiter: Waiter) -> None:
        """Take a waiter out that gave up."""
        waiter.gone = True
        line = self._lines.get(waiter.team)
        if line is not None and waiter in line.waiters:
            line.waiters.remove(waiter)
            self._waiting -= 1

    def _next_line(self) -> _TeamLine | None:
        waiting = [line for line in self._lines.values() if line.waiters]
        return min(waiting, key=lambda line: line.served, default=None)
