"""Finds workers that do not answer a new owner but may still run tasks of an earlier one."""

from collections.abc import Callable

from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import TransportError
from lacewingmill.jobs.ports import MachineList
from lacewingmill.jobs.worker_link import WorkerLink
from lacewingmill.ports import Clock

__all__ = ["SilentWorkers"]

# The list is returned in milliseconds, and a takeover waits for it.
LIST_TIMEOUT_S = 0.3
# A worker that exits is removed from the store at once, so more frequent reads would gain little.
# The platform counts the reads.
LIST_INTERVAL_S = 1.0


class SilentWorkers:
    """Distinguishes workers that have exited from those that are unreachable but still running.

    A worker has exited when the store does not list it and no machine runs it. A missing store
    entry is not sufficient, because the entry may have expired while the worker could not reach the
    store.

    :param machines: the platform's machine list; ``None`` where there is none.
    :param answering: returns the workers that answer this owner; a machine list is trusted only if
        it names one of them.
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
        self._exited: set[str] = set()
        self._listed_at = float("-inf")

    def may_be_running(self, links: list[WorkerLink]) -> list[WorkerLink]:
        """Return the links whose worker has not answered and may still run tasks."""
        silent = [link for link in links if not link.opened and link.worker not in self._exited]
        unlisted = [link.worker for link in silent if not link.listed]
        answering = self._answering()
        if unlisted and answering and self._clock.now() - self._listed_at >= LIST_INTERVAL_S:
            self._listed_at = self._clock.now()
            self._find_exited(unlisted, answering)
        return [link for link in silent if link.worker not in self._exited]

    def _find_exited(self, unlisted: list[str], answering: frozenset[str]) -> None:
        if self._machines is None:
            self._log.emit(LogEvent.MACHINES_UNKNOWN, reason="the settings name no machine list")
            return
        try:
            running = self._machines.workers(timeout_s=LIST_TIMEOUT_S)
        except TransportError as exc:
            self._log.emit(LogEvent.MACHINES_UNKNOWN, reason=exc.message)
            return
        if not running & answering:
            self._log.emit(
                LogEvent.MACHINES_UNKNOWN, reason="the machine list names no worker that answers"
            )
            return
        for worker in unlisted:
            if worker not in running:
                self._exited.add(worker)
                self._log.emit(LogEvent.WORKER_ENDED, worker=worker)
