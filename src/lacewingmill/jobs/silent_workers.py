"""Workers that a new owner cannot reach: which of them may run what an earlier owner started."""

from collections.abc import Callable

from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import TransportError
from lacewingmill.jobs.ports import MachineList
from lacewingmill.jobs.worker_link import WorkerLink
from lacewingmill.ports import Clock

__all__ = ["SilentWorkers"]

# The list is answered in milliseconds, and a takeover waits for it.
LIST_TIMEOUT_S = 0.3
# A worker that exits is unlisted at once, so a second is soon enough; the platform counts readings.
LIST_EVERY_S = 1.0


class SilentWorkers:
    """Tells workers that have ended from those that are cut off and run on.

    A worker has ended when the store does not list it and no machine runs it: its entry alone may
    have lapsed while it could not reach the store.

    :param machines: the platform's list; ``None`` where there is none.
    :param answering: returns the workers that answer, one of which a list must name to be believed.
    """

    def __init__(
        self,
        machines: MachineList | None,
        answering: Callable[[], frozenset[str]],
        clock: Clock,
        log: EventLog,
    ):
        self._machines = machines
        self._answering = answering
        self._clock = clock
        self._log = log
        self._ended: set[str] = set()
        self._asked_at = float("-inf")

    def remaining(self, links: list[WorkerLink]) -> list[WorkerLink]:
        """Return those of the links whose worker has not answered and may still run something."""
        silent = [link for link in links if not link.opened and link.worker not in self._ended]
        unlisted = [link.worker for link in silent if not link.listed]
        answering = self._answering()
        if unlisted and answering and self._clock.now() - self._asked_at >= LIST_EVERY_S:
            self._asked_at = self._clock.now()
            self._look_up(unlisted, answering)
        return [link for link in silent if link.worker not in self._ended]

    def _look_up(self, unlisted: list[str], answering: frozenset[str]) -> None:
        if self._machines is None:
            self._log.emit(LogEvent.MACHINES_UNKNOWN, reason="the settings name no list")
            return
        try:
            running = self._machines.workers(timeout_s=LIST_TIMEOUT_S)
        except TransportError as exc:
            self._log.emit(LogEvent.MACHINES_UNKNOWN, reason=exc.message)
            return
        if not running & answering:
            self._log.emit(LogEvent.MACHINES_UNKNOWN, reason="no worker that answers is named")
            return
        for worker in unlisted:
            if worker not in running:
                self._ended.add(worker)
                self._log.emit(LogEvent.WORKER_ENDED, worker=worker)
