"""What a new owner finds: runs to go on with, and units that may still run unseen."""

from collections.abc import Callable

import gevent

from lacewingmill.jobs.graph import JobGraph
from lacewingmill.jobs.job_registry import JobRegistry
from lacewingmill.jobs.model import TaskId, Unit
from lacewingmill.jobs.ports import ListedRun
from lacewingmill.jobs.unit_planner import UnitPlanner
from lacewingmill.jobs.unit_runner import UnitRunner
from lacewingmill.jobs.units import ActiveUnit, Closing, Member, MemberState
from lacewingmill.jobs.worker_link import WorkerLink
from lacewingmill.ports import Clock

__all__ = ["Takeover"]

FoundRuns = dict[TaskId, tuple[WorkerLink, ListedRun]]


class Takeover:
    """Adopts what runs when a tenure begins.

    :param fence: jobs accepted later were never started by an earlier owner.
    :param queue: called with each unit that is to wait for workers.
    """

    def __init__(
        self,
        fence: int,
        clock: Clock,
        registry: JobRegistry,
        planner: UnitPlanner,
        runner: UnitRunner,
        queue: Callable[[Unit], None],
    ):
        self._fence = fence
        self._clock = clock
        self._registry = registry
        self._planner = planner
        self._runner = runner
        self._queue = queue
        self._found: dict[str, FoundRuns] = {}
        self._held_back: dict[str, Unit] = {}
        self._released = False

    def find(self, link: WorkerLink, listed: ListedRun) -> None:
        """Remember a run that a worker lists before anything is planned."""
        self._found.setdefault(listed.task.job_id, {})[listed.task] = (link, listed)

    @property
    def held_back(self) -> int:
        """Number of units that wait because a worker that does not answer may run them."""
        return len(self._held_back)

    def adopt(self, hidden_until: float) -> None:
        """Go on with what was found and queue the rest.

        :param hidden_until: until when workers that do not answer may run what an earlier owner
            started, in seconds; 0 when none may.
        """
        self._planner.flush()
        self._released = not hidden_until
        for graph in self._registry.graphs.values():
            earlier = graph.revision < self._fence
            self._adopt_job(graph, hidden_until if earlier else 0.0)
        self._found.clear()

    def release(self) -> list[Unit]:
        """Return the units held back, once nothing of an earlier owner can run unseen."""
        self._released = True
        units, self._held_back = list(self._held_back.values()), {}
        return units

    def adopt_late(self, link: WorkerLink, listed: ListedRun) -> bool:
        """Go on with a run that was found late; return whether it was held back for that."""
        unit = self._registry.unit_of(listed.task)
        if unit is None or not self._registry.wants(unit):
            return False
        self._open_needed(unit, listed)
        if len(unit.indexes) > 1:
            return False
        if self._held_back.pop(unit.unit_id, None) is None:
            return False
        self._planner.flush()
        self._adopt_unit(unit, {listed.task: (link, listed)}, 0.0)
        return True

    def _open_needed(self, unit: Unit, listed: ListedRun) -> None:
        """Hold a step back that an earlier owner has begun before its turn, as far as is known."""
        graph = self._registry.graphs[unit.job_id]
        if self._released or graph.is_open(unit):
            return
        graph.trust_start(listed.task, self._clock.wall())
        for opened in graph.open_units(self._clock.wall()):
            self._held_back[opened.unit_id] = opened

    def _adopt_job(self, graph: JobGraph, hidden_until: float) -> None:
        found = self._found.get(graph.submission.job_id, {})
        if graph.state.final:
            for task, (link, listed) in found.items():
                gevent.spawn(link.stop_orphan, task, listed.run)
            return
        for task in found:
            graph.trust_start(task, self._clock.wall())
        for unit in graph.open_units(self._clock.wall()):
            runs = {task: found[task] for task in map(unit.task, unit.indexes) if task in found}
            if runs:
                self._adopt_unit(unit, runs, hidden_until)
            elif hidden_until:
                self._held_back[unit.unit_id] = unit
            else:
                self._queue(unit)

    def _adopt_unit(self, unit: Unit, runs: FoundRuns, hidden_until: float) -> None:
        """Go on with a unit that runs.

        A gang of which a part is missing is closed, unless that part may run unseen: a member that
        lasts shows that the whole gang was there.
        """
        now = self._clock.now()
        members = {
            task: Member(task, listed.run, link.worker, MemberState.RUNNING, now)
            for task, (link, listed) in runs.items()
        }
        run = max(member.run for member in members.values())
        active = ActiveUnit(unit, self._registry.graphs[unit.job_id], run, members, now, now)
        whole = len(members) == len(unit.indexes)
        if not whole:
            active.hidden_until = hidden_until
        self._runner.add(active)
        self._planner.adopt(active)
        for link, listed in runs.values():
            link.add_member(members[listed.task])
        mixed = any(member.run != run for member in members.values())
        if mixed or (not whole and not hidden_until):
            self._runner.close(active, Closing.LOST, "")
