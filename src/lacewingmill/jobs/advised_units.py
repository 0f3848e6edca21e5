"""Queues units that may run only on the workers that the advice service names."""

from collections.abc import Callable

import gevent
from gevent.lock import BoundedSemaphore

from lacewingmill.events import EventLog
from lacewingmill.jobs.advice_cache import AdviceCache
from lacewingmill.jobs.graph import JobGraph
from lacewingmill.jobs.job_registry import JobRegistry
from lacewingmill.jobs.model import Unit
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

    def ask_about_new_workers(self) -> None:
        """Ask about the workers that have joined since units began to wait."""
        for unit_id in self._planner.waiting_for_allowed_workers():
            unit = self._registry.unit_by_id(unit_id)
            if unit is None or unit_id in self._asking:
                continue
            graph = self._registry.graphs[unit.job_id]
            workers = self._pool.listed_workers(graph.submission.service)
            if self._advice.unasked(unit, workers):
                self._asking.add(unit_id)
                gevent.spawn(self._update_allowed_workers, graph, unit)

    def _queue(self, graph: JobGraph, unit: Unit) -> None:
        with self._lock, contain_errors(self._log, unit=unit.unit_id):
            if not self._advice.allowed_workers(unit):
                self._advice.fetch(unit, self._pool.listed_workers(graph.submission.service))
        if self._stopped or not self._registry.needs_run(unit):
            return
        workers = self._advice.allowed_workers(unit)
        if workers:
            self._planner.queue(graph, unit, workers)
        else:
            self._defer(unit)

    def _update_allowed_workers(self, graph: JobGraph, unit: Unit) -> None:
        with self._lock, contain_errors(self._log, unit=unit.unit_id):
            before = self._advice.allowed_workers(unit)
            self._advice.fetch(unit, self._pool.listed_workers(graph.submission.service))
            allowed = self._advice.allowed_workers(unit)
            if allowed != before and not self._stopped:
                self._planner.allow_workers(graph, unit, allowed)
        self._asking.discard(unit.unit_id)
