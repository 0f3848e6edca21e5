"""A bounded queue with deadlines and fair queueing among teams; does no I/O and reads no clock."""

from collections import deque

import attrs

from lacewingmill.exceptions import QueueFull

__all__ = ["TeamQueue", "Waiter"]


@attrs.define(eq=False)
class Waiter:
    """A request that waits for a slot.

    :param team: name of the team.
    :param share: weight of the team in fair queueing.
    :param deadline: clock time after which a slot is of no use, in seconds.
    :param abandoned: whether it was removed or its deadline has passed.
    """

    team: str
    share: float
    deadline: float
    abandoned: bool = False


@attrs.define
class _TeamBacklog:
    """The waiters of one team, oldest first.

    :param virtual_time: start time of the next waiter in the virtual time of fair queueing.
    """

    waiters: deque[Waiter] = attrs.field(factory=deque)
    virtual_time: float = 0.0


class TeamQueue:
    """Start-time fair queueing: the team that got the least service for its share is next."""

    def __init__(self):
        self._backlogs: dict[str, _TeamBacklog] = {}
        self._virtual_time = 0.0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, waiter: Waiter, limit: int) -> None:
        """Append a waiter to the queue of its team.

        :param limit: maximum number of waiters of the team.
        :raises QueueFull: if the team has reached the limit.
        """
        backlog = self._backlogs.setdefault(waiter.team, _TeamBacklog())
        if len(backlog.waiters) >= limit:
            raise QueueFull(
                f"team {waiter.team} already has {limit} requests queued at this VM", step="queue"
            )
        if not backlog.waiters:
            backlog.virtual_time = max(backlog.virtual_time, self._virtual_time)
        backlog.waiters.append(waiter)
        self._size += 1

    def pop(self, now: float) -> Waiter | None:
        """Remove and return the next waiter whose deadline has not passed; ``None`` if empty."""
        while True:
            backlog = self._next_backlog()
            if backlog is None:
                return None
            waiter = backlog.waiters.popleft()
            self._size -= 1
            if waiter.abandoned or waiter.deadline <= now:
                waiter.abandoned = True
                continue
            self._virtual_time = backlog.virtual_time
            backlog.virtual_time += 1.0 / waiter.share
            return waiter

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter that gave up, if it is still queued."""
        waiter.abandoned = True
        backlog = self._backlogs.get(waiter.team)
        if backlog is not None and waiter in backlog.waiters:
            backlog.waiters.remove(waiter)
            self._size -= 1

    def _next_backlog(self) -> _TeamBacklog | None:
        waiting = [backlog for backlog in self._backlogs.values() if backlog.waiters]
        return min(waiting, key=lambda backlog: backlog.virtual_time, default=None)
