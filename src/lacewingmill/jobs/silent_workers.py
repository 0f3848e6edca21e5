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
    store. Neither is a failed call, of any kind: connections are reset, and a firewall between VM
    and worker may refuse them.

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
        self._running: frozenset[str] = frozenset()
        self._listed_at = float("-inf")  # when the list that holds was requested
        self._requested_at = float("-inf")  # when a list was last requested, usable or not
        self._logged: dict[str, float] = {}  # time of the last answer of workers that have exited

    def may_be_running(self, links: list[WorkerLink]) -> list[WorkerLink]:
        """Return the links whose worker has not answered and may still run tasks."""
        return [link for link in links if not link.opened and not self.has_exited(link)]

    def has_exited(self, link: WorkerLink) -> bool:
        """Whether a worker has certainly exited, so that nothing runs there.

        Reads the machine list, at most once in a while.
        """
        if link.listed:
            return False
        if not self._is_missing(link) and (
            self._clock.now() - self._requested_at >= LIST_INTERVAL_S
        ):
            self._read_list()
        if not self._is_missing(link):
            return False
        if self._logged.get(link.worker) != link.reported_at:
            self._logged[link.worker] = link.reported_at
            self._log.emit(LogEvent.WORKER_ENDED, worker=link.worker)
        return True

    def _is_missing(self, link: WorkerLink) -> bool:
        """Whether a list that was read after the worker's last answer does not name it."""
        return self._listed_at > link.reported_at and link.worker not in self._running

    def _read_list(self) -> None:
        answering = self._answering()
        if not answering:
            return
        requested_at = self._requested_at = self._clock.now()
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
        self._running, self._listed_at = running, requested_at
