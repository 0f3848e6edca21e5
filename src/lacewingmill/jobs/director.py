"""The owner's control loop: connects accepted jobs, the workers and the schedulers."""

import random
from collections.abc import Callable
from functools import partial, singledispatchmethod

import attrs
import gevent
from gevent.event import Event

from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import TransportError
from lacewingmill.jobs.advice_cache import AdviceCache
from lacewingmill.jobs.advised_units import AdvisedUnits
from lacewingmill.jobs.digest_maker import DigestMaker
from lacewingmill.jobs.election import OwnerLease
from lacewingmill.jobs.evacuation_feed import EvacuationFeed
from lacewingmill.jobs.graph import JobGraph, Progress
from lacewingmill.jobs.job_registry import JobRegistry
from lacewingmill.jobs.late_ends import LateEndsListener, read_late_ends
from lacewingmill.jobs.link_listener import Order
from lacewingmill.jobs.messages import UsedWorkers
from lacewingmill.jobs.model import QueueTable, Submission, TaskId, Unit
from lacewingmill.jobs.ports import (
    Advisor,
    EndedRun,
    HoldReport,
    ListedRun,
    MachineList,
    TransactionStore,
    WorkerEntry,
    WorkerOrders,
)
from lacewingmill.jobs.progress_reports import progress_reports
from lacewingmill.jobs.settings import PlatformLimits
from lacewingmill.jobs.silent_workers import SilentWorkers
from lacewingmill.jobs.slow_workers import SlowWorkerLog
from lacewingmill.jobs.store_writer import StoreWriter
from lacewingmill.jobs.takeover import Takeover
from lacewingmill.jobs.unit_planner import UnitPlanner
from lacewingmill.jobs.unit_runner import UnitRunner
from lacewingmill.jobs.units import GoneCause, Member
from lacewingmill.jobs.unknown_runs import UnknownRuns
from lacewingmill.jobs.worker_link import WorkerLink
from lacewingmill.jobs.worker_pool import WorkerPool
from lacewingmill.load.digest import AdmissionDigest
from lacewingmill.ports import Clock, Meter, Meters
from lacewingmill.scheduling.messages import (
    Action,
    DeferJob,
    EvictGang,
    FailJob,
    JobCancelled,
    RefuseJob,
    StartGang,
    StopGang,
)
from lacewingmill.scheduling.moves import FASTER_WORKER
from lacewingmill.tasks import contain_errors, error_location, spawn_with_callback

__all__ = ["Director", "DirectorDependencies"]

TICK_S = 0.5
# How long a new owner waits for the first answers of its workers before it plans.
FIRST_CONTACT_TIMEOUT_S = 0.8
FIRST_CONTACT_POLL_S = 0.02
DEFERRED_RETRY_S = 1.0
MAX_NAMED_WORKERS = 20  # in a log line
# How long an owner that leaves in good order waits for its writes, which take milliseconds. Nothing
# is started meanwhile, and urgent jobs are due within a second or two.
HAND_OVER_S = 0.3


@attrs.frozen
class DirectorDependencies:
    """The objects that a director is built from.

    :param advisor: the advice service; ``None`` where there is none.
    :param machines: the platform's machine list; ``None`` where there is none.
    :param table: returns the configuration in force; ``None`` before the first one was read.
    :param evacuated_domains: returns the failure domains in which nothing may be started.
    :param rng: source of the random part of delays.
    """

    store: TransactionStore
    orders: WorkerOrders
    advisor: Advisor | None
    machines: MachineList | None
    clock: Clock
    log: EventLog
    meters: Meters
    limits: PlatformLimits
    table: Callable[[], QueueTable | None]
    evacuated_domains: Callable[[], frozenset[str]]
    rng: random.Random


class Director:
    """Directs all workers for as long as this VM holds the owner lease.

    ``recovered`` is set once the workers have been asked what they run and planning may begin.

    :param owner_lease: its fencing token is sent with every order.
    :param step_down: called when another VM turns out to be the owner.
    :param resign: called when one of the director's greenlets ends with an unexpected error.
    """

    def __init__(
        self,
        deps: DirectorDependencies,
        owner_lease: OwnerLease,
        step_down: Callable[[], None],
        resign: Callable[[], None],
    ):
        clock, log, meters = deps.clock, deps.log, deps.meters
        self._deps = deps
        self._clock = clock
        self._log = log
        self._step_down = step_down
        self._resign = resign
        self._started_at = clock.now()
        self._deferred: dict[str, Unit] = {}
        self._failed_actions: list[Action] = []
        self._stopped = False
        self._greenlets: list[gevent.Greenlet] = []
        self.owner_lease = owner_lease
        self.recovered = False
        self.store_writer = StoreWriter(
            deps.store,
            clock,
            log,
            owner_lease.fence,
            self._on_commit,
            self.on_fenced,
            self.on_failed,
            deps.rng,
        )
        self.registry = JobRegistry(self.store_writer, clock, meters)
        self._advice = AdviceCache(deps.advisor, clock, log, self.registry, deps.table)
        self._digests = DigestMaker(owner_lease.owner.term)
        evacuations = EvacuationFeed(deps.evacuated_domains, deps.table, log)
        self._planner = UnitPlanner(
            clock, log, deps.table, evacuations, self._execute_contained, deps.limits
        )
        self._unknown = UnknownRuns(clock, self._handle_end)
        self.pool = WorkerPool(
            deps.orders,
            self.store_writer,
            self._planner,
            log,
            self._services,
            self._connect,
            self._unknown.concerns,
        )
        self._advised_units = AdvisedUnits(
            self._advice, self.pool, self._planner, self.registry, log, self._add_deferred
        )
        self._late_ends = LateEndsListener(deps.store, deps.orders, clock, log, owner_lease.fence)
        self._silent = SilentWorkers(deps.machines, self.pool.answering, clock, log)
        self._slow_workers = SlowWorkerLog(log)
        self._runner = UnitRunner(
            owner_lease,
            clock,
            log,
            meters,
            self.registry,
            self._advice,
            self._planner,
            self.pool.find,
            self._end_job,
            self._queue_ready_units,
            self._queue,
            self.on_failed,
        )
        self._takeover = Takeover(
            owner_lease, clock, log, self.registry, self._planner, self._runner, self._queue
        )

    @property
    def backlog(self) -> int:
        """Number of units that wait for workers."""
        return self._planner.backlog + len(self._deferred)

    @property
    def largest_team_use(self) -> float:
        """The largest use of a team against its share; 1.0 for a team that uses its share."""
        return self._planner.largest_team_use

    @property
    def slow_workers(self) -> int:
        """Number of workers that are slower than usual."""
        return len(self._planner.slow_workers())

    @property
    def running(self) -> int:
        """Number of units that occupy workers."""
        return len(self._runner)

    @property
    def evacuated_workers(self) -> int:
        """Number of workers in evacuated failure domains."""
        return self._planner.evacuated_workers

    def replan(self) -> None:
        """Plan soon, because something has changed that the planner reads by itself."""
        self._planner.wake.set()

    @property
    def digest(self) -> AdmissionDigest | None:
        """The digest of the load; ``None`` before the first one."""
        return self._digests.digest(self._clock.now())

    def prepare_hand_over(self) -> None:
        """Start nothing more, and store what the workers have told.

        A worker may have exited before the next owner can ask it, and the ends that it has listed
        would be known to nobody.
        """
        self.owner_lease.handing_over = True
        self.store_writer.flush(HAND_OVER_S)

    def stop(self) -> None:
        """Stop directing the workers; running tasks continue until their leases expire.

        Ends that leaving workers list from now on are passed on to the next owner.
        """
        self._stopped = True
        self._advised_units.stop()
        self.store_writer.stop()
        self.pool.stop()
        self._late_ends.listen(self.pool.leaving())
        gevent.killall(self._greenlets, block=False)

    def run(self) -> None:
        """Plan whenever something changes, until the director is stopped."""
        self._greenlets.append(spawn_with_callback(self._tick, self.on_failed))
        while not self._stopped:
            self._planner.wake.wait()
            self._planner.wake.clear()
            if self.recovered and self.owner_lease.may_start and not self._stopped:
                self._planner.plan()

    def take_over(self, hold_back_s: float) -> None:
        """Recover the tasks that run on the workers, then begin to plan.

        :param hold_back_s: how long workers that do not answer may still run tasks that an earlier
            owner started, in seconds; 0 when there was no earlier owner.
        """
        silent = self._await_first_contact()
        self._apply_late_ends()
        if not hold_back_s:
            silent = []
        self.pool.retain(silent)
        self._takeover.adopt(self._clock.now() + hold_back_s if silent else 0.0)
        self.recovered = True
        self._deps.meters.observe(Meter.TAKEOVER, self._clock.now() - self._started_at)
        self._log.emit(
            LogEvent.JOBS_RECOVERED,
            jobs=len(self.registry.graphs),
            running=len(self._runner),
            silent=len(silent),
            silent_workers=[link.worker for link in silent[:MAX_NAMED_WORKERS]],
            held_back=self._takeover.held_back,
        )
        if silent:
            release = partial(self._release_held_back, silent, hold_back_s)
            self._greenlets.append(spawn_with_callback(release, self.on_failed))
        self._planner.wake.set()

    def _await_first_contact(self) -> list[WorkerLink]:
        """Wait for the first answers; return silent workers that may still run earlier tasks."""
        end = self._clock.now() + FIRST_CONTACT_TIMEOUT_S
        silent = self.pool.unopened()
        while silent and self._clock.now() < end:
            self._clock.sleep(FIRST_CONTACT_POLL_S)
            silent = self._silent.may_be_running(self.pool.unopened())
        return silent

    def _apply_late_ends(self) -> None:
        """Handle ends that earlier owners have heard of since they left."""
        for late_ends in read_late_ends(self._deps.store, self._clock, self._log):
            link = self.pool.find(late_ends.worker)
            for ended in late_ends.ended if link is not None else ():
                self._accept_end(link, ended)

    def submit(self, submission: Submission, revision: int, *, announced: bool = False) -> None:
        """Register an accepted job and queue its first units; a repeated submission is ignored.

        :param announced: whether the VM that accepted the job has announced it to this owner.
        """
        if submission.job_id in self.registry.graphs:
            return
        if announced:
            self._takeover.record_announced(submission.job_id)
        graph = self.registry.add(submission, revision)
        self._log.emit(LogEvent.JOB_TAKEN, job=submission.job_id, queue=submission.queue)
        for link, listed in self._unknown.take_runs(submission.job_id):
            self._takeover.record_run(link, listed)
        if self.recovered:
            self._takeover.adopt_accepted(graph)
        self._unknown.settle_ends(submission.job_id)

    def on_jobs_read(self, started_at: float, revision: int) -> None:
        """Handle a complete read of the accepted jobs from the store, after they were submitted.

        :param started_at: when the read began, in seconds.
        :param revision: the jobs that were accepted at later revisions may have been missed.
        """
        self._takeover.on_jobs_read(started_at, revision)
        for link, listed in self._unknown.settle_deleted(started_at):
            self._stop_stray(link, listed)

    def cancel(self, job_id: str) -> Event | None:
        """Cancel a job, unless it has ended.

        :return: set once the job's final state is stored; ``None`` for an unknown job.
        """
        graph = self.registry.graphs.get(job_id)
        if graph is None:
            return None
        if graph.state.final:
            return self.registry.store(graph)
        graph.cancel(self._clock.wall())
        self._log.emit(LogEvent.JOB_CANCELLED, job=job_id)
        return self._end_job(graph)

    def on_worker_joined(self, link: WorkerLink, report: HoldReport) -> None:
        """Handle the first report of a worker, or the first one after it was declared lost."""
        self.pool.on_worker_joined(link)

    def on_worker_reported(self, link: WorkerLink, report: HoldReport) -> list[Event]:
        """Handle a worker's lists of running and ended runs.

        :return: events that are set once the effects of the listed ends are stored; the ends may
            be acknowledged to the worker only then.
        """
        if self.recovered:
            self._feed_progress(link, report)
        for listed in report.running:
            with contain_errors(self._log, worker=link.worker, task=str(listed.task)):
                self._handle_running(link, listed)
        writes = [self._accept_end(link, ended) for ended in report.ended]
        return [written for written in writes if written is not None]

    def _feed_progress(self, link: WorkerLink, report: HoldReport) -> None:
        now = self._clock.now()
        with contain_errors(self._log, worker=link.worker):
            for service, event in progress_reports(
                link.worker, report.running, self._runner.find, now
            ):
                self._planner.feed_progress(service, event)

    def on_member_gone(self, link: WorkerLink, member: Member, cause: GoneCause) -> None:
        """Handle a member that certainly no longer runs, though the worker listed no end of it."""
        self._runner.on_member_gone(link, member, cause)

    def on_worker_silent(self, link: WorkerLink) -> None:
        """Handle a worker that does not answer or reports that it is unhealthy."""
        self.pool.on_worker_silent(link)

    def on_worker_answered(self, link: WorkerLink) -> None:
        """Handle a silent worker that answers again."""
        self.pool.on_worker_answered(link)

    def on_worker_lost(self, link: WorkerLink) -> None:
        """Handle a worker on which nothing runs any more: it exited, or its leases expired."""
        self.pool.on_worker_lost(link)

    def has_exited(self, link: WorkerLink) -> bool:
        """Whether a worker has certainly exited, so that nothing runs there; may block."""
        return self._silent.has_exited(link)

    def on_order_unanswered(
        self, link: WorkerLink, member: Member, order: Order, exc: TransportError
    ) -> None:
        """Log an order that got no answer; the worker may still carry it out, possibly later."""
        self._log.emit(
            LogEvent.ORDER_UNANSWERED,
            worker=link.worker,
            task=str(member.task),
            run=member.run,
            order=order.value,
            reason=exc.message,
        )

    def on_link_failed(self, link: WorkerLink, exc: Exception) -> None:
        """Log an unexpected error in the handling of one worker."""
        self._log.emit(
            LogEvent.ITEM_FAILED, error=repr(exc), where=error_location(exc), worker=link.worker
        )

    def on_fenced(self) -> None:
        """Stop directing because a worker or the store has shown that another VM is the owner."""
        if not self._stopped:
            self._stopped = True
            gevent.spawn(self._step_down)

    def on_failed(self) -> None:
        """Stop directing after an unexpected error, because the state in memory may be wrong."""
        if not self._stopped:
            self._stopped = True
            gevent.spawn(self._give_up)

    def _give_up(self) -> None:
        self.prepare_hand_over()
        self._resign()

    def _services(self) -> frozenset[str]:
        """Return the services that the configuration names, and those of earlier accepted jobs."""
        table = self._deps.table()
        configured = {queue.service for queue in table.queues} if table is not None else set()
        return frozenset(configured).union(
            graph.submission.service
            for graph in self.registry.graphs.values()
            if not graph.state.final
        )

    def _connect(self, entry: WorkerEntry) -> WorkerLink:
        deps = self._deps
        return WorkerLink(
            entry,
            deps.orders,
            self.owner_lease,
            deps.clock,
            deps.limits,
            deps.evacuated_domains,
            self,
        )

    def _on_commit(self, key: str, message: Progress | UsedWorkers) -> None:
        if isinstance(message, UsedWorkers):
            self.pool.on_commit(message)
        else:
            self.registry.on_commit(key, message)

    def _is_known(self, task: TaskId) -> bool:
        """Whether the job of a task is known; it may be stored nevertheless if it is not."""
        return task.job_id in self.registry.graphs

    def _accept_end(self, link: WorkerLink, ended: EndedRun) -> Event | None:
        """Process the end of a run, or keep it until it is known whether its job exists."""
        if self._is_known(ended.task):
            return self._handle_end(link, ended)
        return self._unknown.add_end(link, ended)

    def _handle_end(self, link: WorkerLink, ended: EndedRun) -> Event | None:
        """Process the end of a run; one whose handling fails is never acknowledged."""
        with contain_errors(self._log, worker=link.worker, task=str(ended.task)):
            return self._runner.handle_end(link, ended)
        return Event()

    def _handle_running(self, link: WorkerLink, listed: ListedRun) -> None:
        """Adopt a listed run that is not known yet, or stop it when no unit needs it."""
        self._runner.record_checkpoint(listed)
        member = link.members.get(listed.task)
        if member is not None and member.run == listed.run:
            return
        if not self._is_known(listed.task):
            if (listed.task, listed.run) not in link.orphans:
                self._unknown.add_run(link, listed)
            return
        if not self.recovered:
            self._takeover.record_run(link, listed)
            return
        if self._takeover.adopt_late(link, listed) or self._runner.adopt_member(link, listed):
            return
        if (listed.task, listed.run) in link.orphans:
            return
        self._stop_stray(link, listed)

    def _stop_stray(self, link: WorkerLink, listed: ListedRun) -> None:
        self._log.emit(
            LogEvent.STRAY_STOPPED, worker=link.worker, task=str(listed.task), run=listed.run
        )
        gevent.spawn(link.stop_orphan, listed.task, listed.run)

    def _release_held_back(self, silent: list[WorkerLink], hold_back_s: float) -> None:
        """Queue the held-back units once no silent worker can run a task of an earlier owner."""
        end = self._clock.now() + hold_back_s
        while silent and self._clock.now() < end:
            self._clock.sleep(TICK_S)
            silent = self._silent.may_be_running(silent)
        self.pool.retain([])
        for unit in self._takeover.release():
            self._queue(unit)

    def _queue_ready_units(self, graph: JobGraph) -> None:
        """Queue the units that have become ready; before recovery, the takeover does that."""
        if not self.recovered:
            return
        for unit in graph.take_ready_units(self._clock.wall()):
            if not self._takeover.hold_back(unit):
                self._queue(unit)

    def _queue(self, unit: Unit) -> None:
        if not self.registry.needs_run(unit):
            return
        graph = self.registry.graphs[unit.job_id]
        if graph.submission.advised:
            self._advised_units.queue(graph, unit)
        else:
            self._planner.queue(graph, unit)

    def _end_job(self, graph: JobGraph) -> Event:
        """Store a job's final state, stop its units and withdraw those that wait.

        :return: set once the final state is stored.
        """
        job_id = graph.submission.job_id
        self._log.emit(LogEvent.JOB_ENDED, job=job_id, state=graph.state.value)
        written = self.registry.store(graph)
        self._runner.cancel_job(graph)
        self._advice.forget_job(job_id)
        self._planner.withdraw_job(graph, self._runner.unit_ids())
        return written

    def _tick(self) -> None:
        """Queue due occurrences, drop unlisted workers and retry deferred units periodically."""
        retried_at = self._clock.now()
        while not self._stopped:
            self._clock.sleep(TICK_S)
            if not self.recovered:
                continue
            for graph in list(self.registry.graphs.values()):
                if graph.submission.timing.times:
                    with contain_errors(self._log, job=graph.submission.job_id):
                        self._queue_ready_units(graph)
            self._repeat_failed_actions()
            self.pool.sweep()
            self._slow_workers.update(self._planner.slow_workers())
            if self._clock.now() - retried_at > DEFERRED_RETRY_S:
                retried_at = self._clock.now()
                self._retry_deferred()
                self._advised_units.update_waiting()
            with contain_errors(self._log, part="digest"):
                self._digests.update(self._planner.schedulers, self._clock.now())
            self._planner.wake.set()

    def _add_deferred(self, unit: Unit) -> None:
        self._deferred[unit.unit_id] = unit

    def _retry_deferred(self) -> None:
        deferred, self._deferred = self._deferred, {}
        for unit in deferred.values():
            self._queue(unit)

    def _execute_contained(self, action: Action) -> None:
        """Execute an action; one that fails is dealt with again at the next tick."""
        self._failed_actions.append(action)
        with contain_errors(self._log, unit=action.job_id):
            self._execute(action)
            self._failed_actions.remove(action)

    def _repeat_failed_actions(self) -> None:
        actions, self._failed_actions = self._failed_actions, []
        for action in actions:
            if isinstance(action, StartGang):
                self._runner.reject_start(action.job_id)
            else:
                self._execute_contained(action)

    @singledispatchmethod
    def _execute(self, action: Action) -> None:
        raise TypeError(f"unknown action {type(action).__name__}")

    @_execute.register
    def _(self, action: StartGang) -> None:
        unit = self.registry.unit_by_id(action.job_id)
        if unit is not None and self.registry.needs_run(unit):
            self._runner.start(unit, action.placement)
        else:
            self._planner.feed_all(JobCancelled(action.job_id))

    @_execute.register
    def _(self, action: EvictGang) -> None:
        if action.for_job == FASTER_WORKER:
            self._deps.meters.count(Meter.MOVES)
            self._log.emit(LogEvent.UNIT_MOVED, unit=action.job_id)
        self._runner.evict(action)

    @_execute.register
    def _(self, action: StopGang) -> None:
        return  # the units were stopped before the scheduler learned that their job has ended

    @_execute.register
    def _(self, action: RefuseJob) -> None:
        self._log.emit(LogEvent.UNIT_PARKED, unit=action.job_id, reason=action.reason)
        self._defer(action.job_id)

    @_execute.register
    def _(self, action: DeferJob) -> None:
        self._deps.meters.count(Meter.TOO_LATE)
        self._log.emit(LogEvent.UNIT_TOO_LATE, unit=action.job_id)

    @_execute.register
    def _(self, action: FailJob) -> None:
        self._defer(action.job_id)

    def _defer(self, unit_id: str) -> None:
        """Retry a unit later that the scheduler refused or failed.

        Whether its job fails is decided by the attempts that the job graph counts.
        """
        unit = self.registry.unit_by_id(unit_id)
        if unit is not None:
            self._add_deferred(unit)
