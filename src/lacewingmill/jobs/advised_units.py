"""Queues units that may run only on the workers that the advice service names."""

from collections.abc import Callable

import gevent
from gevent.lock import BoundedSemaphore

from lacewingmill.events import EventLog
from lacewingmill.jobs.advice_cache import AdviceCache
from lacewingmill.jobs.graph import JobGraph
from lacewingmill.jobs.job_registry import JobRegistry
from lacewingmill.jobs.model import Unit
from lacewingmill.jobs.ports import WorkerEntry
from lacewingmill.jobs.unit_planner import UnitPlanner
from lacewingmill.jobs.worker_pool import WorkerPool
from lacewingmill.tasks import contain_errors

__all__ = ["AdvisedUnits"]


class AdvisedUnits:
    """The units of queues with advice, and the questions to the advice service.

    The service takes some time for each worker, so each question is asked in a greenlet of its own.

    :param defer: called with a unit that no known worker may run, to be queued again later.
    """

    def __init__(
        self,
        advice: AdviceCache,
        pool: WorkerPool,
        planner: UnitPlanner,
        registry: JobRegistry,
        log: EventLog,
        defer: Callable[[Unit], None],
    ):
        self._advice = advice
        self._pool = pool
        self._planner = planner
        self._registry = registry
        self._log = log
        self._defer = defer
        self._stopped = False
        # The advice service accepts one call at a time from a VM.
        self._lock = BoundedSemaphore(1)
        self._asking: set[str] = set()  # units about whose step the service is being asked

    def stop(self) -> None:
        """Queue no more units."""
        self._stopped = True

    def queue(self, graph: JobGraph, unit: Unit) -> None:
        """Queue a unit for the workers that may run it, once these are known."""
        gevent.spawn(self._queue, graph, unit)

    def update_waiting(self) -> None:
        """Let the units that wait use the workers that may run them by the latest answers.

        The service is asked about the workers that have joined since the last question.
        """
        for unit_id, planned in self._planner.waiting_for_allowed_workers():
            unit = self._registry.unit_by_id(unit_id)
            if unit is None or unit_id in self._asking:
                continue
            graph = self._registry.graphs[unit.job_id]
            if self._advice.unasked(unit, self._listed_workers(graph)):
                self._asking.add(unit_id)
                gevent.spawn(self._ask, graph, unit, planned)
            else:
                self._allow_workers(graph, unit, planned)

    def _queue(self, graph: JobGraph, unit: Unit) -> None:
        with self._lock, contain_errors(self._log, unit=unit.unit_id):
            listed = self._listed_workers(graph)
            if self._advice.allowed_workers(unit).isdisjoint(entry.worker for entry in listed):
                self._advice.fetch(unit, listed)
        if self._stopped or not self._registry.needs_run(unit):
            return
        workers = self._advice.allowed_workers(unit)
        if workers:
            self._planner.queue(graph, unit, workers)
        else:
            self._defer(unit)

    def _ask(self, graph: JobGraph, unit: Unit, planned: frozenset[str]) -> None:
        with self._lock, contain_errors(self._log, unit=unit.unit_id):
            self._advice.fetch(unit, self._listed_workers(graph))
            self._allow_workers(graph, unit, planned)
        self._asking.discard(unit.unit_id)

    def _allow_workers(self, graph: JobGraph, unit: Unit, planned: frozenset[str]) -> None:
        """Replace the workers that the units of a step may use, if they are not the allowed ones.

        Each answer counts, whatever it was asked for: the start of another unit fetches a ticket.

        :param planned: the workers that the units may use so far.
        """
        allowed = self._advice.allowed_workers(unit)
        if allowed != planned and not self._stopped:
            self._planner.allow_workers(graph, unit, allowed)

    def _listed_workers(self, graph: JobGraph) -> list[WorkerEntry]:
        return self._pool.listed_workers(graph.submission.service)
