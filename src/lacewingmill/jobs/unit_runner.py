"""Starts units on their workers, follows their ends and gives the workers back."""

from collections.abc import Callable
from functools import partial

from gevent.event import Event as Signal

from lacewingmill.events import EventLog, LogEvent
from lacewingmill.jobs.advice_cache import AdviceCache
from lacewingmill.jobs.election import OwnerLease
from lacewingmill.jobs.graph import JobGraph
from lacewingmill.jobs.job_registry import JobRegistry
from lacewingmill.jobs.link_listener import StartResult
from lacewingmill.jobs.model import TaskId, Unit
from lacewingmill.jobs.ports import EndedRun, ListedRun, RunOutcome
from lacewingmill.jobs.unit_planner import UnitPlanner
from lacewingmill.jobs.units import ActiveUnit, Closing, Member, MemberState
from lacewingmill.jobs.worker_link import WorkerLink
from lacewingmill.ports import Clock, Meter, Meters
from lacewingmill.scheduling.messages import (
    GangRejected,
    GangReleased,
    GangStarted,
    JobCancelled,
    JobFailed,
    JobFinished,
    Placement,
)
from lacewingmill.tasks import spawn_with_callback

__all__ = ["UnitRunner"]

# Runs of different owners must never share a number; an owner starts a unit far less often.
RUNS_PER_TERM = 1000
NOTHING_RAN = (
    StartResult.NO_ROOM,
    StartResult.NO_TICKET,
    StartResult.UNHEALTHY,
    StartResult.INVALID,
    StartResult.SUPERSEDED,
)
# What closes a unit for good or anew, whatever it was being closed for before.
DECISIVE = (Closing.FAILED, Closing.CANCELLED, Closing.FINISHED, Closing.BARRED)


class UnitRunner:
    """The units that hold workers.

    :param find_link: returns the link to a worker.
    :param ended: called with a job that reached a final state; returns when that is stored.
    :param advanced: called with a job whose next steps may begin.
    :param requeue: called with a unit whose workers are to be asked for anew.
    :param failed: called when a task for a unit has ended by an unexpected error.
    """

    def __init__(
        self,
        owner_lease: OwnerLease,
        clock: Clock,
        log: EventLog,
        meters: Meters,
        registry: JobRegistry,
        advice: AdviceCache,
        planner: UnitPlanner,
        find_link: Callable[[str], WorkerLink | None],
        ended: Callable[[JobGraph], Signal],
        advanced: Callable[[JobGraph], None],
        requeue: Callable[[Unit], None],
        failed: Callable[[], None],
    ):
        self._first_run = (owner_lease.owner.term - 1) * RUNS_PER_TERM
        self._clock = clock
        self._log = log
        self._meters = meters
        self._registry = registry
        self._advice = advice
        self._planner = planner
        self._find_link = find_link
        self._ended = ended
        self._advanced = advanced
        self._requeue = requeue
        self._failed = failed
        self._active: dict[str, ActiveUnit] = {}
        self._runs: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of units that hold workers."""
        return len(self._active)

    def held(self) -> set[str]:
        """Return the ids of the units that hold workers."""
        return set(self._active)

    def find(self, task: TaskId) -> ActiveUnit | None:
        """Return the unit that holds a worker for a task."""
        unit = self._registry.unit_of(task)
        return self._active.get(unit.unit_id) if unit is not None else None

    def add(self, active: ActiveUnit) -> None:
        """Take in a unit that was found running."""
        active.graph.begun = True
        self._active[active.unit.unit_id] = active

    def start(self, unit: Unit, placement: Placement) -> None:
        """Order the start of all members of a unit."""
        graph = self._registry.graphs[unit.job_id]
        run = self._runs.get(unit.unit_id, self._first_run) + 1
        self._runs[unit.unit_id] = run
        members = _members(unit, run, placement)
        active = ActiveUnit(unit, graph, run, members, self._clock.now())
        self._active[unit.unit_id] = active
        workers = [share.worker for share in placement]
        self._log.emit(LogEvent.UNIT_ORDERED, unit=unit.unit_id, run=run, workers=workers)
        links = {worker: self._find_link(worker) for worker in workers}
        for member in members.values():
            link = links[member.worker]
            if link is None:
                self.close(active, Closing.REJECTED, member.worker)
                return
            link.add_member(member)
        for member in members.values():
            start = partial(self._start_member, active, member, links[member.worker])
            spawn_with_callback(start, self._failed)

    def evict(self, unit_id: str, for_unit: str) -> None:
        """Give the workers of a unit back to another one."""
        active = self._active.get(unit_id)
        if active is None:
            self._planner.feed_all(GangReleased(unit_id, 0.0))
            return
        self._meters.count(Meter.EVICTIONS)
        self._log.emit(LogEvent.UNIT_EVICTED, unit=unit_id, for_unit=for_unit)
        self.close(active, Closing.EVICTED, "")

    def cancel_job(self, graph: JobGraph) -> None:
        """Stop all units of a job."""
        for active in [active for active in self._active.values() if active.graph is graph]:
            self.close(active, Closing.CANCELLED, "")

    def keep_saved(self, listed: ListedRun | EndedRun) -> None:
        """Remember a checkpoint; one of any member serves its whole gang."""
        unit = self._registry.unit_of(listed.task)
        if unit is not None and listed.saved:
            self._registry.graphs[unit.job_id].saved[unit.task(unit.indexes[0])] = listed.saved

    def member_gone(self, link: WorkerLink, member: Member) -> None:
        """A member certainly runs no more, though no end of it was listed."""
        member.state = MemberState.GONE
        active = self.find(member.task)
        if active is not None and active.members.get(member.task) is member:
            self.close(active, Closing.LOST, link.worker)

    def unhide(self, link: WorkerLink, listed: ListedRun) -> bool:
        """Take a member in that ran unseen; return whether its gang goes on."""
        active = self.find(listed.task)
        if active is None or active.closing is not None or active.run != listed.run:
            return False
        if not active.hidden_until:
            return False
        now = self._clock.now()
        member = Member(listed.task, listed.run, link.worker, MemberState.RUNNING, now)
        active.members[listed.task] = member
        link.add_member(member)
        if len(active.members) == len(active.unit.indexes):
            active.hidden_until = 0.0
        return True

    def see_end(self, link: WorkerLink, ended: EndedRun) -> Signal | None:
        """Take in an end; return what must be written before the worker may forget it."""
        unit = self._registry.unit_of(ended.task)
        if unit is None:
            return None
        self.keep_saved(ended)
        active = self._active.get(unit.unit_id)
        member = active.members.get(ended.task) if active is not None else None
        if member is not None and member.run == ended.run:
            member.state = MemberState.GONE
            link.remove_member(member)
        else:
            active = None  # the end of an earlier run
        end = ended.end.value
        self._meters.count(Meter.RUNS, end=end)
        self._log.emit(
            LogEvent.RUN_ENDED, worker=link.worker, unit=unit.unit_id, run=ended.run, end=end
        )
        if ended.end is RunOutcome.DONE:
            return self._finish(unit, active)
        if ended.end is RunOutcome.FAILED and (active is None or not active.failure_counted):
            return self._fail(link, unit, ended.run, active)
        if active is not None:
            self.close(active, Closing.LOST, link.worker)
        return None

    def close(self, active: ActiveUnit, why: Closing, blamed: str) -> None:
        """Give a unit's workers back; the planner hears of it when no member is left."""
        first = active.closing is None
        if first or why in DECISIVE:
            active.closing = why if active.closing is not Closing.FINISHED else Closing.FINISHED
            active.blamed = blamed or active.blamed
        # The members of a gang that is done or has failed end by themselves.
        if first and why not in (Closing.FINISHED, Closing.FAILED):
            for member in active.members.values():
                self._let_go(member)
        self._settle(active)

    def _start_member(self, active: ActiveUnit, member: Member, link: WorkerLink) -> None:
        if active.closing is not None:
            return
        graph = active.graph
        saved = graph.saved.get(active.unit.task(active.unit.indexes[0]), "")
        sent_at = self._clock.now()
        ticket = self._advice.ticket(active.unit, link.worker) if graph.submission.advised else ""
        result = link.start(member, graph.submission.spec, saved, ticket)
        if result is StartResult.NO_TICKET:
            self._advice.refused(active.unit, link.worker)
        self._meters.count(Meter.ORDERS, outcome=result.value)
        self._meters.observe(Meter.ORDER, self._clock.now() - sent_at)
        if member.state is MemberState.RUNNING:
            self._registry.begin(graph)
            if active.all_running and not active.started_at:
                active.started_at = self._clock.now()
                self._planner.feed(graph.submission.service, GangStarted(active.unit.unit_id))
            return
        if not member.gone:
            self._reject(active, member, link, result)

    def _reject(
        self, active: ActiveUnit, member: Member, link: WorkerLink, result: StartResult
    ) -> None:
        unit_id = active.unit.unit_id
        if result in NOTHING_RAN:
            member.state = MemberState.GONE
            link.remove_member(member)
        if result is StartResult.SUPERSEDED:
            self._runs[unit_id] = max(self._runs[unit_id], active.run) + 1
        if active.closing is None:
            self._log.emit(
                LogEvent.UNIT_REJECTED,
                unit=unit_id,
                run=active.run,
                worker=member.worker,
                reason=result.value,
            )
        barred = result is StartResult.NO_TICKET
        self.close(active, Closing.BARRED if barred else Closing.REJECTED, member.worker)

    def _finish(self, unit: Unit, active: ActiveUnit | None) -> Signal | None:
        graph = self._registry.graphs[unit.job_id]
        lasting = graph.submission.steps[unit.step].lasting
        if active is not None:
            self.close(active, Closing.LOST if lasting else Closing.FINISHED, "")
        if lasting:
            return None
        if graph.state.final:
            return None if self._registry.is_stored(graph) else self._registry.store(graph)
        if not graph.is_done(unit):
            graph.finish(unit, self._clock.wall())
        if active is None:
            self._withdraw(graph, unit)
        if graph.state.final:
            return self._ended(graph)
        signal = self._registry.store(graph)
        self._advanced(graph)
        return signal

    def _withdraw(self, graph: JobGraph, unit: Unit) -> None:
        """Take a unit back that an earlier run has done."""
        later = self._active.get(unit.unit_id)
        if later is not None:
            self.close(later, Closing.CANCELLED, "")
        else:
            self._planner.feed(graph.submission.service, JobCancelled(unit.unit_id))

    def _fail(
        self, link: WorkerLink, unit: Unit, run: int, active: ActiveUnit | None
    ) -> Signal | None:
        graph = self._registry.graphs[unit.job_id]
        if active is not None:
            active.failure_counted = True
        if graph.state.final:
            if active is not None:
                self.close(active, Closing.FAILED, link.worker)
            return None if self._registry.is_stored(graph) else self._registry.store(graph)
        graph.fail(unit, run, self._clock.wall())
        if active is not None:
            self.close(active, Closing.FAILED, link.worker)
        if graph.state.final:
            self._log.emit(
                LogEvent.JOB_FAILED,
                job=unit.job_id,
                unit=unit.unit_id,
                attempts=graph.submission.attempts,
            )
            return self._ended(graph)
        return self._registry.store(graph)

    def _let_go(self, member: Member) -> None:
        link = self._find_link(member.worker)
        if member.state is MemberState.PLANNED or link is None:
            member.state = MemberState.GONE
        if not member.gone:
            spawn_with_callback(partial(link.stop_run, member), self._failed)
        elif link is not None:
            link.remove_member(member)

    def _settle(self, active: ActiveUnit) -> None:
        """Tell the planner what became of a unit once no member is left."""
        unit_id = active.unit.unit_id
        if not active.all_gone or self._active.get(unit_id) is not active:
            return
        if active.closing is not Closing.FINISHED and self._clock.now() < active.hidden_until:
            spawn_with_callback(partial(self._settle_later, active), self._failed)
            return
        del self._active[unit_id]
        service = active.graph.submission.service
        over = active.graph.state.final
        if active.closing is Closing.FINISHED:
            ran_s = self._clock.now() - (active.started_at or active.ordered_at)
            self._planner.feed(service, JobFinished(unit_id, ran_s))
        elif active.closing is Closing.FAILED and not over:
            self._planner.feed(service, JobFailed(unit_id, active.blamed))
        elif over or active.closing in (Closing.CANCELLED, Closing.BARRED):
            self._planner.feed(service, JobCancelled(unit_id))
            self._planner.feed(service, GangReleased(unit_id, 0.0))
            if active.closing is Closing.BARRED:
                self._requeue(active.unit)
        elif active.closing is Closing.EVICTED:
            saved = active.step.checkpoint and active.started_at
            saved_s = self._clock.now() - active.started_at if saved else 0.0
            self._planner.feed(service, GangReleased(unit_id, saved_s))
        else:
            self._planner.feed(service, GangRejected(unit_id, active.blamed, silent=True))
            self._planner.feed(service, GangReleased(unit_id, 0.0))

    def _settle_later(self, active: ActiveUnit) -> None:
        self._clock.sleep(active.hidden_until - self._clock.now())
        self._settle(active)


def _members(unit: Unit, run: int, placement: Placement) -> dict[TaskId, Member]:
    """Spread the tasks of a unit over the workers of its placement."""
    members = {}
    indexes = iter(unit.indexes)
    for share in placement:
        for _ in range(share.units):
            task = unit.task(next(indexes))
            members[task] = Member(task, run, share.worker)
    return members
