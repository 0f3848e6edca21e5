"""Cache of the advice service's answers: which workers may run a step, with their tickets."""

from collections.abc import Callable, Iterable

import attrs

from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import TransportError
from lacewingmill.jobs.job_registry import JobRegistry
from lacewingmill.jobs.model import QueueTable, TaskId, Unit
from lacewingmill.jobs.ports import Advisor, WorkerEntry
from lacewingmill.ports import Clock

__all__ = ["AdviceCache"]

# The service accepts at most 100 workers per call, and each of them adds to its response time.
MAX_WORKERS_PER_CALL = 100
# Allows for slow links, and for a call of this VM that the service still handles.
TIMEOUT_MARGIN_S = 5.0
# A ticket is not used if it could expire while the start is in progress.
EXPIRY_MARGIN_S = 0.3


@attrs.frozen
class _Ticket:
    text: str
    valid_until: float


class AdviceCache:
    """Tickets by step and worker; a ticket authorises the worker to run the step.

    Tickets expire and are fetched again; which workers may run a step never changes, but workers
    are replaced, and one that starts again under its id may get another answer.

    :param advisor: the advice service; ``None`` where there is none.
    :param table: returns the configuration in force, which tells how long the service takes;
        ``None`` before the first one was read.
    """

    def __init__(
        self,
        advisor: Advisor | None,
        clock: Clock,
        log: EventLog,
        registry: JobRegistry,
        table: Callable[[], QueueTable | None],
    ):
        self._advisor = advisor
        self._registry = registry
        self._table = table
        self._clock = clock
        self._log = log
        self._tickets: dict[tuple[str, int, int], dict[str, _Ticket]] = {}
        self._asked: dict[tuple[str, int, int], set[tuple[str, int]]] = {}

    def allowed_workers(self, unit: Unit) -> frozenset[str]:
        """Return those of the workers that the service was asked about which may run a unit."""
        return frozenset(self._tickets.get(_step(unit), ()))

    def unasked(self, unit: Unit, workers: Iterable[WorkerEntry]) -> list[WorkerEntry]:
        """Return the workers that the service was not asked about for the step of a unit."""
        asked = self._asked.get(_step(unit), ())
        return [entry for entry in workers if (entry.worker, entry.incarnation) not in asked]

    def fetch(self, unit: Unit, workers: Iterable[WorkerEntry]) -> None:
        """Ask the service which of the workers may run the step of a unit, each of them once.

        Blocks for a time that grows with the number of workers.
        """
        entries = sorted(self.unasked(unit, workers), key=lambda entry: entry.worker)
        for first in range(0, len(entries), MAX_WORKERS_PER_CALL):
            batch = entries[first : first + MAX_WORKERS_PER_CALL]
            if self._fetch_batch(unit, [entry.worker for entry in batch]):
                asked = self._asked.setdefault(_step(unit), set())
                asked.update((entry.worker, entry.incarnation) for entry in batch)

    def ticket(self, unit: Unit, worker: str) -> str:
        """Return a valid ticket, fetched if necessary; empty when there is none."""
        ticket = self._find_valid(unit, worker)
        if ticket is None:
            self._fetch_batch(unit, [worker])
            ticket = self._find_valid(unit, worker)
        return ticket.text if ticket is not None else ""

    def discard_ticket(self, unit: Unit, worker: str) -> None:
        """Drop a ticket that the worker did not accept, and ask about all workers again."""
        self._tickets.get(_step(unit), {}).pop(worker, None)
        self._asked.pop(_step(unit), None)

    def forget_job(self, job_id: str) -> None:
        """Drop the tickets of a job that has ended."""
        for key in [key for key in self._tickets if key[0] == job_id]:
            del self._tickets[key]
        for key in [key for key in self._asked if key[0] == job_id]:
            del self._asked[key]

    def _find_valid(self, unit: Unit, worker: str) -> _Ticket | None:
        ticket = self._tickets.get(_step(unit), {}).get(worker)
        if ticket is None or ticket.valid_until - EXPIRY_MARGIN_S < self._clock.now():
            return None
        return ticket

    def _fetch_batch(self, unit: Unit, workers: list[str]) -> bool:
        """Fetch the tickets of some workers; return whether the service has answered."""
        if self._advisor is None:
            return False
        task = TaskId(unit.job_id, unit.occurrence, unit.step, 0)
        timeout_s = self._timeout_s(unit, len(workers))
        try:
            advice = self._advisor.advise(task, workers, timeout_s=timeout_s)
        except TransportError as exc:
            self._log.emit(LogEvent.ADVICE_MISSING, unit=unit.unit_id, reason=exc.message)
            return False
        valid_until = self._clock.now() + advice.valid_s
        tickets = self._tickets.setdefault(_step(unit), {})
        for worker in workers:
            tickets.pop(worker, None)  # from before a restart of the worker
        for worker, text in advice.tickets.items():
            tickets[worker] = _Ticket(text, valid_until)
        return True

    def _timeout_s(self, unit: Unit, workers: int) -> float:
        """Return how long a question about some workers may take, in seconds."""
        table, graph = self._table(), self._registry.graphs.get(unit.job_id)
        if table is None or graph is None:
            return TIMEOUT_MARGIN_S
        timing = table.advice_timing(graph.submission.queue)
        return TIMEOUT_MARGIN_S + timing.answer_s(workers)


def _step(unit: Unit) -> tuple[str, int, int]:
    return (unit.job_id, unit.occurrence, unit.step)
