"""Starts units on their workers, processes the ends of their runs and releases the workers."""

from collections.abc import Callable
from functools import partial

from gevent.event import Event

from lacewingmill.events import EventLog, LogEvent
from lacewingmill.jobs.advice_cache import AdviceCache
from lacewingmill.jobs.election import OwnerLease
from lacewingmill.jobs.graph import JobGraph
from lacewingmill.jobs.job_registry import JobRegistry
from lacewingmill.jobs.link_listener import StartResult
from lacewingmill.jobs.model import TaskId, Unit
from lacewingmill.jobs.ports import EndedRun, ListedRun, RunOutcome
from lacewingmill.jobs.run_audit import RunAudit
from lacewingmill.jobs.unit_planner import UnitPlanner
from lacewingmill.jobs.units import ActiveUnit, CloseReason, GoneCause, Member, MemberState
from lacewingmill.jobs.worker_link import WorkerLink
from lacewingmill.ports import Clock, Meter, Meters
from lacewingmill.scheduling.messages import (
    EvictGang,
    GangRejected,
    GangReleased,
    GangStarted,
    JobCancelled,
    JobFailed,
    JobFinished,
    Placement,
)
from lacewingmill.tasks import contain_errors, spawn_with_callback

__all__ = ["UnitRunner"]

# Each owner numbers the runs of a unit from its own range, so that runs of different owners never
# share a number; an owner starts a unit far less often than this.
RUNS_PER_TERM = 1000
# Results after which the worker certainly does not run the member.
NOT_STARTED_RESULTS = (
    StartResult.NO_ROOM,
    StartResult.NO_TICKET,
    StartResult.UNHEALTHY,
    StartResult.INVALID,
    StartResult.SUPERSEDED,
    StartResult.EVACUATED,
)
# Time after an unexpected error before the unit is placed again, so that an error that repeats does
# not occupy the owner.
ERROR_DELAY_S = 1.0
# These reasons replace an earlier reason for closing a unit, except ``FINISHED``.
OVERRIDING_REASONS = (
    CloseReason.FAILED,
    CloseReason.CANCELLED,
    CloseReason.FINISHED,
    CloseReason.TICKET_REFUSED,
)
# The running members of a gang that is done or has failed end by themselves.
SELF_ENDING_REASONS = (CloseReason.FINISHED, CloseReason.FAILED)


class UnitRunner:
    """The units that occupy workers.

    :param find_link: returns the link to a worker; ``None`` for an unknown worker.
    :param on_job_ended: called with a job that reached a final state; returns an event that is set
        once that state is stored.
    :param on_job_advanced: called with a job whose next steps may have become ready.
    :param requeue: called with a unit whose workers must be chosen again.
    :param on_failed: called when a greenlet for a unit ends with an unexpected error.
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
        on_job_ended: Callable[[JobGraph], Event],
        on_job_advanced: Callable[[JobGraph], None],
        requeue: Callable[[Unit], None],
        on_failed: Callable[[], None],
    ):
        self._first_run = (owner_lease.owner.term - 1) * RUNS_PER_TERM
        self._clock = clock
        self._log = log
        self._meters = meters
        self._registry = registry
        self._advice = advice
        self._planner = planner
        self._find_link = find_link
        self._on_job_ended = on_job_ended
        self._on_job_advanced = on_job_advanced
        self._requeue = requeue
        self._on_failed = on_failed
        self._audit = RunAudit(log, meters)
        self._active: dict[str, ActiveUnit] = {}
        self._runs: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of units that occupy workers."""
        return len(self._active)

    def unit_ids(self) -> set[str]:
        """Return the ids of the units that occupy workers."""
        return set(self._active)

    def find(self, task: TaskId) -> ActiveUnit | None:
        """Return the active unit of a task; ``None`` when it occupies no worker."""
        unit = self._registry.unit_of(task)
        return self._active.get(unit.unit_id) if unit is not None else None

    def add(self, active: ActiveUnit) -> None:
        """Add a unit that was already running when this VM became owner."""
        active.graph.started = True
        active.graph.record_observed(active.unit)
        self._active[active.unit.unit_id] = active

    def start(self, unit: Unit, placement: Placement) -> None:
        """Order the start of all members of a unit."""
        graph = self._registry.graphs[unit.job_id]
        run = self._runs.get(unit.unit_id, self._first_run) + 1
        self._runs[unit.unit_id] = run
        members = _members(unit, run, placement)
        active = ActiveUnit(unit, graph, run, members, self._clock.now())
        graph.record_observed(unit)
        self._active[unit.unit_id] = active
        workers = [allocation.worker for allocation in placement]
        self._log.emit(LogEvent.UNIT_ORDERED, unit=unit.unit_id, run=run, workers=workers)
        links = {worker: self._find_link(worker) for worker in workers}
        for member in members.values():
            link = links[member.worker]
            if link is None:
                self.close(active, CloseReason.REJECTED, member.worker)
                return
            link.add_member(member)
        for member in members.values():
            start = partial(self._start_member, active, member, links[member.worker])
            spawn_with_callback(start, self._on_failed)

    def reject_start(self, unit_id: str) -> None:
        """Give up a start that failed before all members were ordered."""
        active = self._active.get(unit_id)
        if active is None:
            self._planner.feed_all(GangRejected(unit_id, "", silent=True))
        else:
            self.close(active, CloseReason.REJECTED, "")

    def evict(self, action: EvictGang) -> None:
        """Stop a unit, so that another unit can use its workers."""
        unit_id = action.job_id
        active = self._active.get(unit_id)
        if active is None:
            self._planner.feed_all(GangReleased(unit_id, 0.0))
            return
        self._meters.count(Meter.EVICTIONS, reason=action.reason.value)
        self._meters.observe(Meter.EVICTED_WORK, action.lost_s)
        self._log.emit(
            LogEvent.UNIT_EVICTED,
            unit=unit_id,
            for_unit=action.for_job,
            reason=action.reason.value,
            lost_s=round(action.lost_s, 1),
        )
        self.close(active, CloseReason.EVICTED, "")

    def cancel_job(self, graph: JobGraph) -> None:
        """Stop all units of a job."""
        for active in [active for active in self._active.values() if active.graph is graph]:
            self.close(active, CloseReason.CANCELLED, "")

    def record_checkpoint(self, listed: ListedRun | EndedRun) -> None:
        """Record the checkpoint that a worker lists, if any; one of any member serves a gang."""
        unit = self._registry.unit_of(listed.task)
        if unit is not None and listed.saved:
            self._registry.graphs[unit.job_id].checkpoints[
                unit.task(unit.indexes[0])
            ] = listed.saved

    def on_member_gone(self, link: WorkerLink, member: Member, cause: GoneCause) -> None:
        """Handle a member that certainly no longer runs, though the worker listed no end of it."""
        member.state = MemberState.GONE
        active = self.find(member.task)
        if active is not None:
            self._audit.record_given_up(active.unit, member, cause)
        if active is not None and active.members.get(member.task) is member:
            self.close(active, CloseReason.LOST, link.worker)

    def adopt_member(self, link: WorkerLink, listed: ListedRun) -> bool:
        """Add a missing member of an adopted gang, once its worker answers and lists it.

        If the gang is being stopped, so is the member, and the gang waits for its end.

        :return: whether the member was added.
        """
        active = self.find(listed.task)
        if active is None or active.run != listed.run or listed.task in active.members:
            return False
        now = self._clock.now()
        member = Member(listed.task, listed.run, link.worker, MemberState.RUNNING, now)
        active.members[listed.task] = member
        link.add_member(member)
        if len(active.members) == len(active.unit.indexes):
            active.unconfirmed_until = 0.0
        if active.close_reason is None:
            self._planner.update_adopted(active)
        elif active.close_reason not in SELF_ENDING_REASONS:
            self._stop_member(member)
        return True

    def handle_end(self, link: WorkerLink, ended: EndedRun) -> Event | None:
        """Process the end of a run.

        :return: set once the effect of the end is stored, so that the worker may forget it;
            ``None`` when there is nothing to store.
        """
        unit = self._registry.unit_of(ended.task)
        if unit is None:
            self._log.emit(
                LogEvent.END_OF_UNKNOWN_JOB,
                worker=link.worker,
                task=str(ended.task),
                run=ended.run,
                end=ended.end.value,
            )
            return None
        graph = self._registry.graphs[unit.job_id]
        if graph.state.final or graph.is_ready(unit):
            return self._process_end(link, unit, ended)
        # An earlier owner has started the step and couldn't store that the steps before were done.
        graph.complete_dependencies(ended.task, self._clock.wall())
        written = self._process_end(link, unit, ended)
        self._on_job_advanced(graph)
        return written

    def _process_end(self, link: WorkerLink, unit: Unit, ended: EndedRun) -> Event | None:
        self.record_checkpoint(ended)
        active = self._active.get(unit.unit_id)
        member = active.members.get(ended.task) if active is not None else None
        if member is not None and member.run == ended.run:
            member.state = MemberState.GONE
            link.remove_member(member)
        else:
            active = None  # an earlier run has ended
        end = ended.end.value
        self._meters.count(Meter.RUNS, end=end)
        self._log.emit(
            LogEvent.RUN_ENDED, worker=link.worker, unit=unit.unit_id, run=ended.run, end=end
        )
        if ended.end is RunOutcome.DONE:
            self._audit.check_done(unit, ended, link.worker, self._latest_run(unit))
            return self._handle_done(unit, active)
        if ended.end is RunOutcome.FAILED and (active is None or not active.failure_counted):
            return self._handle_failure(link, unit, ended.run, active)
        if active is not None:
            self.close(active, CloseReason.LOST, link.worker)
        return None

    def _latest_run(self, unit: Unit) -> int:
        """Return the number of the latest run that this owner has started or adopted, or 0."""
        active = self._active.get(unit.unit_id)
        return max(self._runs.get(unit.unit_id, 0), active.run if active is not None else 0)

    def close(self, active: ActiveUnit, reason: CloseReason, responsible_worker: str) -> None:
        """Release a unit's workers, and notify the planner once no member is left.

        :param responsible_worker: the worker that caused the close; empty for none.
        """
        first = active.close_reason is None
        if first or reason in OVERRIDING_REASONS:
            active.close_reason = (
                reason if active.close_reason is not CloseReason.FINISHED else CloseReason.FINISHED
            )
            active.responsible_worker = responsible_worker or active.responsible_worker
        if first:
            for member in active.members.values():
                running = member.state is MemberState.RUNNING
                if not running or reason not in SELF_ENDING_REASONS:
                    self._stop_member(member)
        self._release_if_gone(active)

    def _start_member(self, active: ActiveUnit, member: Member, link: WorkerLink) -> None:
        """Start a member; after an unexpected error, it counts as possibly running."""
        if active.close_reason is not None:
            return
        result = None
        with contain_errors(self._log, unit=active.unit.unit_id, worker=link.worker):
            result = self._order_start(active, member, link)
        if result is None:
            self._clock.sleep(ERROR_DELAY_S)
            result = StartResult.UNKNOWN
        if member.state is not MemberState.RUNNING and not member.gone:
            self._handle_start_failure(active, member, link, result)

    def _order_start(self, active: ActiveUnit, member: Member, link: WorkerLink) -> StartResult:
        graph = active.graph
        checkpoint = graph.checkpoints.get(active.unit.task(active.unit.indexes[0]), "")
        sent_at = self._clock.now()
        ticket = self._advice.ticket(active.unit, link.worker) if graph.submission.advised else ""
        result = link.start(member, graph.submission.spec, checkpoint, ticket)
        if result is StartResult.NO_TICKET:
            self._advice.discard_ticket(active.unit, link.worker)
        self._meters.count(Meter.ORDERS, outcome=result.value)
        self._meters.observe(Meter.ORDER, self._clock.now() - sent_at)
        if member.state is MemberState.RUNNING:
            self._registry.record_start(graph)
            if active.all_running and not active.started_at:
                active.started_at = self._clock.now()
                self._planner.feed(graph.submission.service, GangStarted(active.unit.unit_id))
        return result

    def _handle_start_failure(
        self, active: ActiveUnit, member: Member, link: WorkerLink, result: StartResult
    ) -> None:
        unit_id = active.unit.unit_id
        if result in NOT_STARTED_RESULTS:
            member.state = MemberState.GONE
            link.remove_member(member)
        if result is StartResult.SUPERSEDED:
            self._runs[unit_id] = max(self._runs[unit_id], active.run) + 1
        if active.close_reason is None:
            self._log.emit(
                LogEvent.UNIT_REJECTED,
                unit=unit_id,
                run=active.run,
                worker=member.worker,
                reason=result.value,
            )
        ticket_refused = result is StartResult.NO_TICKET
        self.close(
            active,
            CloseReason.TICKET_REFUSED if ticket_refused else CloseReason.REJECTED,
            member.worker,
        )

    def _handle_done(self, unit: Unit, active: ActiveUnit | None) -> Event | None:
        graph = self._registry.graphs[unit.job_id]
        lasting = graph.submission.steps[unit.step].lasting
        if active is not None:
            self.close(active, CloseReason.LOST if lasting else CloseReason.FINISHED, "")
        if lasting:
            return None
        if graph.state.final:
            return None if self._registry.is_stored(graph) else self._registry.store(graph)
        if not graph.is_done(unit):
            graph.mark_done(unit, self._clock.wall())
        if active is None:
            self._withdraw(graph, unit)
        if graph.state.final:
            return self._on_job_ended(graph)
        written = self._registry.store(graph)
        self._on_job_advanced(graph)
        return written

    def _withdraw(self, graph: JobGraph, unit: Unit) -> None:
        """Withdraw a unit that was queued or started again, because an earlier run has done it."""
        active = self._active.get(unit.unit_id)
        if active is not None:
            self.close(active, CloseReason.CANCELLED, "")
        else:
            self._planner.withdraw_unit(graph, unit)

    def _handle_failure(
        self, link: WorkerLink, unit: Unit, run: int, active: ActiveUnit | None
    ) -> Event | None:
        graph = self._registry.graphs[unit.job_id]
        if active is not None:
            active.failure_counted = True
        if graph.state.final:
            if active is not None:
                self.close(active, CloseReason.FAILED, link.worker)
            return None if self._registry.is_stored(graph) else self._registry.store(graph)
        graph.record_failure(unit, run, self._clock.wall())
        if active is not None:
            self.close(active, CloseReason.FAILED, link.worker)
        if graph.state.final:
            self._log.emit(
                LogEvent.JOB_FAILED,
                job=unit.job_id,
                unit=unit.unit_id,
                attempts=graph.submission.attempts,
            )
            return self._on_job_ended(graph)
        return self._registry.store(graph)

    def _stop_member(self, member: Member) -> None:
        link = self._find_link(member.worker)
        if member.state is MemberState.PLANNED or link is None:
            member.state = MemberState.GONE
        if not member.gone:
            spawn_with_callback(partial(link.stop_run, member), self._on_failed)
        elif link is not None:
            link.remove_member(member)

    def _release_if_gone(self, active: ActiveUnit) -> None:
        """Remove a closed unit and report its outcome to the planner, once no member is left.

        Missing members may still run until ``unconfirmed_until``, so a unit that is not done is
        kept until then.
        """
        unit_id = active.unit.unit_id
        if not active.all_gone or self._active.get(unit_id) is not active:
            return
        if (
            active.close_reason is not CloseReason.FINISHED
            and self._clock.now() < active.unconfirmed_until
        ):
            spawn_with_callback(partial(self._release_if_gone_later, active), self._on_failed)
            return
        del self._active[unit_id]
        service = active.graph.submission.service
        job_ended = active.graph.state.final
        if active.close_reason is CloseReason.FINISHED:
            ran_s = self._clock.now() - (active.started_at or active.ordered_at)
            self._planner.feed(service, JobFinished(unit_id, ran_s))
        elif active.close_reason is CloseReason.FAILED and not job_ended:
            self._planner.feed(service, JobFailed(unit_id, active.responsible_worker))
        elif job_ended or active.close_reason in (
            CloseReason.CANCELLED,
            CloseReason.TICKET_REFUSED,
        ):
            self._planner.feed(service, JobCancelled(unit_id))
            self._planner.feed(service, GangReleased(unit_id, 0.0))
            if active.close_reason is CloseReason.TICKET_REFUSED:
                self._requeue(active.unit)
        elif active.close_reason is CloseReason.EVICTED:
            has_checkpoint = active.step.checkpoint and active.started_at
            saved_s = self._clock.now() - active.started_at if has_checkpoint else 0.0
            self._planner.feed(service, GangReleased(unit_id, saved_s))
        else:
            self._planner.feed(
                service, GangRejected(unit_id, active.responsible_worker, silent=True)
            )
            self._planner.feed(service, GangReleased(unit_id, 0.0))

    def _release_if_gone_later(self, active: ActiveUnit) -> None:
        self._clock.sleep(active.unconfirmed_until - self._clock.now())
        self._release_if_gone(active)


def _members(unit: Unit, run: int, placement: Placement) -> dict[TaskId, Member]:
    """Assign the tasks of a unit to the workers of its placement."""
    members = {}
    indexes = iter(unit.indexes)
    for allocation in placement:
        for _ in range(allocation.units):
            task = unit.task(next(indexes))
            members[task] = Member(task, run, allocation.worker)
    return members
