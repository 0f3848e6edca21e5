"""Recovery by a new owner: adopts running units and holds back those that may still run."""

import math
from collections.abc import Callable

import gevent

from lacewingmill.events import EventLog
from lacewingmill.jobs.election import OwnerLease
from lacewingmill.jobs.graph import JobGraph
from lacewingmill.jobs.job_registry import JobRegistry
from lacewingmill.jobs.model import TaskId, Unit
from lacewingmill.jobs.ports import ListedRun
from lacewingmill.jobs.unit_planner import UnitPlanner
from lacewingmill.jobs.unit_runner import UnitRunner
from lacewingmill.jobs.units import ActiveUnit, CloseReason, Member, MemberState
from lacewingmill.jobs.worker_link import WorkerLink
from lacewingmill.ports import Clock
from lacewingmill.tasks import contain_errors

__all__ = ["Takeover"]

# Listed runs of a job or unit by task, each with the link to its worker.
ListedRuns = dict[TaskId, tuple[WorkerLink, ListedRun]]


class Takeover:
    """Adopts the units that run when this VM becomes owner.

    A unit of which no run was found is held back for as long as a worker that does not answer may
    still run it, whether its step is ready at the takeover or becomes ready later.

    No earlier owner has started a job that was accepted at a later store revision than this owner's
    fence, except for one that was replaced and still runs: clients and other VMs may hand it jobs.
    What it reads from the store it starts only as the owner (see :class:`Inbox`), so it has not
    started jobs that were announced to this owner.

    :param queue: called with each unit that must wait for workers.
    """

    def __init__(
        self,
        owner_lease: OwnerLease,
        clock: Clock,
        log: EventLog,
        registry: JobRegistry,
        planner: UnitPlanner,
        runner: UnitRunner,
        queue: Callable[[Unit], None],
    ):
        self._predecessor_ends_at = owner_lease.predecessor_ends_at
        # The revision from which jobs were accepted too late for an earlier owner to start them.
        self._replaced = owner_lease.predecessor_valid_s > 0
        self._own_since = math.inf if self._replaced else owner_lease.fence
        self._own_jobs: set[str] = set()
        self._clock = clock
        self._log = log
        self._registry = registry
        self._planner = planner
        self._runner = runner
        self._queue = queue
        self._listed_runs: dict[str, ListedRuns] = {}
        self._held_back: dict[str, Unit] = {}
        self._released = False
        self._unconfirmed_until = 0.0

    def record_run(self, link: WorkerLink, listed: ListedRun) -> None:
        """Record a run that a worker lists before planning begins, or before its job is known."""
        self._listed_runs.setdefault(listed.task.job_id, {})[listed.task] = (link, listed)

    @property
    def held_back(self) -> int:
        """Number of units held back because a worker that does not answer may run them."""
        return len(self._held_back)

    def adopt(self, unconfirmed_until: float) -> None:
        """Adopt the recorded runs, and hold back or queue all other units.

        :param unconfirmed_until: time until which workers that do not answer may run tasks of an
            earlier owner, in seconds; 0 when there are none.
        """
        self._planner.flush()
        self._released = not unconfirmed_until
        self._unconfirmed_until = unconfirmed_until
        for graph in self._registry.graphs.values():
            with contain_errors(self._log, job=graph.submission.job_id):
                self._adopt_job(graph)
        self._listed_runs.clear()

    def on_jobs_read(self, started_at: float, revision: int) -> None:
        """Handle a complete read of the accepted jobs from the store.

        :param started_at: when the read began, in seconds.
        :param revision: the jobs that were accepted at later revisions may have been missed.
        """
        if self._own_since == math.inf and started_at >= self._predecessor_ends_at:
            self._own_since = revision + 1

    def record_announced(self, job_id: str) -> None:
        """Record a job that the VM which accepted it has announced to this owner, and no other."""
        if not self._released:
            self._own_jobs.add(job_id)

    def adopt_accepted(self, graph: JobGraph) -> None:
        """Adopt, hold back or queue the units of a job that became known after recovery."""
        if graph.submission.job_id in self._listed_runs:
            self._planner.flush()
        self._adopt_job(graph)
        self._listed_runs.pop(graph.submission.job_id, None)

    def hold_back(self, unit: Unit) -> bool:
        """Hold back a unit that has become ready, if a silent worker may run it.

        Its step becomes ready by an end that is listed late, or by its start time.

        :return: whether the unit is held back.
        """
        graph = self._registry.graphs[unit.job_id]
        if not self._is_doubtful(graph):
            return False
        # Polls of a replaced owner that were waiting are answered with ends of runs seen here.
        if not self._replaced and not graph.maybe_started_earlier(unit):
            return False
        self._held_back[unit.unit_id] = unit
        return True

    def release(self) -> list[Unit]:
        """Return the held-back units, once no silent worker can run a task of an earlier owner."""
        self._released = True
        self._own_jobs.clear()
        self._unconfirmed_until = 0.0
        units, self._held_back = list(self._held_back.values()), {}
        return units

    def adopt_late(self, link: WorkerLink, listed: ListedRun) -> bool:
        """Adopt a run that is listed after recovery, if its unit waits to be started.

        The other members of a gang may be listed later; see :meth:`UnitRunner.adopt_member`.

        :return: whether the run was adopted.
        """
        unit = self._registry.unit_of(listed.task)
        if unit is None or not self._registry.needs_run(unit):
            return False
        if self._runner.find(listed.task) is not None:
            return False
        self._hold_back_started_step(unit, listed)
        if self._held_back.pop(unit.unit_id, None) is None:
            self._planner.withdraw_unit(self._registry.graphs[unit.job_id], unit)
        self._planner.flush()
        self._adopt_unit(unit, {listed.task: (link, listed)}, self._unconfirmed_until)
        return True

    def _hold_back_started_step(self, unit: Unit, listed: ListedRun) -> None:
        """Hold back a step that an earlier owner has started, but which seems not to be ready yet.

        The ends of the steps that it depends on were not stored; see ``complete_dependencies``.
        """
        graph = self._registry.graphs[unit.job_id]
        if self._released or graph.is_ready(unit):
            return
        graph.complete_dependencies(listed.task, self._clock.wall())
        for ready in graph.take_ready_units(self._clock.wall()):
            self._held_back[ready.unit_id] = ready

    def _is_doubtful(self, graph: JobGraph) -> bool:
        """Whether a worker that does not answer may run tasks of a job for an earlier owner."""
        if self._released or graph.submission.job_id in self._own_jobs:
            return False
        return graph.revision < self._own_since

    def _adopt_job(self, graph: JobGraph) -> None:
        unconfirmed_until = self._unconfirmed_until if self._is_doubtful(graph) else 0.0
        found = self._listed_runs.get(graph.submission.job_id, {})
        if graph.state.final:
            for task, (link, listed) in found.items():
                gevent.spawn(link.stop_orphan, task, listed.run)
            return
        for task in found:
            graph.complete_dependencies(task, self._clock.wall())
        for unit in graph.take_ready_units(self._clock.wall()):
            runs = {task: found[task] for task in map(unit.task, unit.indexes) if task in found}
            if runs:
                self._adopt_unit(unit, runs, unconfirmed_until)
            elif unconfirmed_until:
                self._held_back[unit.unit_id] = unit
            else:
                self._queue(unit)

    def _adopt_unit(self, unit: Unit, runs: ListedRuns, unconfirmed_until: float) -> None:
        """Adopt a running unit.

        A gang with missing members is closed, unless they may run on workers that have not
        answered. A member keeps running only if the whole gang was started.
        """
        now = self._clock.now()
        members = {
            task: Member(task, listed.run, link.worker, MemberState.RUNNING, now)
            for task, (link, listed) in runs.items()
        }
        run = max(member.run for member in members.values())
        active = ActiveUnit(unit, self._registry.graphs[unit.job_id], run, members, now, now)
        complete = len(members) == len(unit.indexes)
        if not complete:
            active.unconfirmed_until = unconfirmed_until
        self._runner.add(active)
        self._planner.adopt(active)
        for link, listed in runs.values():
            link.add_member(members[listed.task])
        mixed = any(member.run != run for member in members.values())
        if mixed or (not complete and not unconfirmed_until):
            self._runner.close(active, CloseReason.LOST, "")
