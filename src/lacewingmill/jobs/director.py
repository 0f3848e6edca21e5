"""The owner's side of jobs: brings jobs, workers and the decision core together."""

from collections.abc import Callable
from functools import partial, singledispatchmethod

import attrs
import gevent
from gevent.event import Event as Signal
from gevent.lock import BoundedSemaphore

from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import TransportError
from lacewingmill.jobs.advice_cache import AdviceCache
from lacewingmill.jobs.election import OwnerLease
from lacewingmill.jobs.graph import JobGraph, Progress
from lacewingmill.jobs.job_registry import JobRegistry
from lacewingmill.jobs.link_listener import Order
from lacewingmill.jobs.messages import UsedWorkers
from lacewingmill.jobs.model import QueueTable, Submission, Unit
from lacewingmill.jobs.ports import (
    Advisor,
    HoldReport,
    ListedRun,
    MachineList,
    TransactionStore,
    WorkerEntry,
    WorkerOrders,
)
from lacewingmill.jobs.settings import PlatformLimits
from lacewingmill.jobs.silent_workers import SilentWorkers
from lacewingmill.jobs.store_writer import StoreWriter
from lacewingmill.jobs.takeover import Takeover
from lacewingmill.jobs.unit_planner import UnitPlanner
from lacewingmill.jobs.unit_runner import UnitRunner
from lacewingmill.jobs.units import Member
from lacewingmill.jobs.worker_link import WorkerLink
from lacewingmill.jobs.worker_pool import WorkerPool
from lacewingmill.ports import Clock, Meter, Meters
from lacewingmill.scheduling.messages import (
    Action,
    EvictGang,
    FailJob,
    JobCancelled,
    RefuseJob,
    StartGang,
    StopGang,
)
from lacewingmill.tasks import spawn_with_callback

__all__ = ["Director", "DirectorParts"]

TICK_S = 0.5
# A new owner waits so long for the workers' first answers before it plans.
FIRST_CONTACT_TIMEOUT_S = 0.8
CONTACT_POLL_S = 0.02
PARKED_RETRY_S = 1.0


@attrs.frozen
class DirectorDependencies:
    """What a director is built from."""

    store: TransactionStore
    orders: WorkerOrders
    advisor: Advisor | None
    machines: MachineList | None
    clock: Clock
    log: EventLog
    meters: Meters
    limits: PlatformLimits
    table: Callable[[], QueueTable | None]


class Director:
    """Directs all workers under one tenure.

    :param tenure: its fence goes with every order.
    :param deposed: called when another VM proves to be the owner.
    :param failed: called when a part of it has ended by an unexpected error.
    """

    def __init__(
        self,
        parts: DirectorDependencies,
        owner_lease: OwnerLease,
        deposed: Callable[[], None],
        failed: Callable[[], None],
    ):
        clock, log, meters = parts.clock, parts.log, parts.meters
        self._parts = parts
        self._clock = clock
        self._log = log
        self._deposed = deposed
        self._failed = failed
        self._began_at = clock.now()
        self._parked: dict[str, Unit] = {}
        self._stopped = False
        self._advising = BoundedSemaphore(1)  # the service takes one call at a time from a VM
        self._loops: list[gevent.Greenlet] = []
        self.owner_lease = owner_lease
        self.recovered = False
        self.store_writer = StoreWriter(
            parts.store, clock, owner_lease.fence, self._committed, self.fenced, self.failed
        )
        self.registry = JobRegistry(self.store_writer, clock, meters)
        self._advice = AdviceCache(parts.advisor, clock, log)
        self._planner = UnitPlanner(clock, parts.table, self._act)
        self.pool = WorkerPool(parts.orders, self.store_writer, self._planner, log, self._connect)
        self._silent = SilentWorkers(parts.machines, self.pool.answering, clock, log)
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
            self._open_units,
            self._queue,
            self.failed,
        )
        self._takeover = Takeover(
            owner_lease.fence, clock, self.registry, self._planner, self._runner, self._queue
        )

    @property
    def backlog(self) -> int:
        """Number of units that wait."""
        return self._planner.backlog + len(self._parked)

    @property
    def running(self) -> int:
        """Number of units that hold workers."""
        return len(self._runner)

    def stop(self) -> None:
        """Direct no more; what runs goes on under its leases."""
        self._stopped = True
        self.store_writer.stop()
        self.pool.stop()
        gevent.killall(self._loops, block=False)

    def run(self) -> None:
        """Plan until the tenure ends."""
        self._loops.append(spawn_with_callback(self._tick, self.failed))
        while not self._stopped:
            self._planner.wake.wait()
            self._planner.wake.clear()
            if self.recovered and self.owner_lease.valid and not self._stopped:
                self._planner.plan()

    def take_over(self, hold_back_s: float) -> None:
        """Ask all workers what runs, then begin to plan.

        :param hold_back_s: how long workers that do not answer may run what an earlier owner
            started, in seconds; 0 when there was none.
        """
        silent = self._await_contact()
        if not hold_back_s:
            silent = []
        self.pool.retain(silent)
        self._takeover.adopt(self._clock.now() + hold_back_s if silent else 0.0)
        self.recovered = True
        self._parts.meters.observe(Meter.TAKEOVER, self._clock.now() - self._began_at)
        self._log.emit(
            LogEvent.JOBS_RECOVERED,
            jobs=len(self.registry.graphs),
            running=len(self._runner),
            silent=len(silent),
            held_back=self._takeover.held_back,
        )
        if silent:
            release = partial(self._release_later, silent, hold_back_s)
            self._loops.append(spawn_with_callback(release, self.failed))
        self._planner.wake.set()

    def _await_contact(self) -> list[WorkerLink]:
        """Wait for the workers' first answers; return those that may run something unseen."""
        end = self._clock.now() + FIRST_CONTACT_TIMEOUT_S
        silent = self.pool.unopened()
        while silent and self._clock.now() < end:
            self._clock.sleep(CONTACT_POLL_S)
            silent = self._silent.remaining(self.pool.unopened())
        return silent

    def submit(self, submission: Submission, revision: int) -> None:
        """Take an accepted job in; repeating a submission is harmless."""
        if submission.job_id in self.registry.graphs:
            return
        graph = self.registry.add(submission, revision)
        self._log.emit(LogEvent.JOB_TAKEN, job=submission.job_id, queue=submission.queue)
        self._open_units(graph)

    def cancel(self, job_id: str) -> Signal | None:
        """Give a job up; the signal is set once that is stored, ``None`` for an unknown job."""
        graph = self.registry.graphs.get(job_id)
        if graph is None:
            return None
        if graph.state.final:
            return self.registry.store(graph)
        graph.cancel(self._clock.wall())
        self._log.emit(LogEvent.JOB_CANCELLED, job=job_id)
        return self._end_job(graph)

    def link_opened(self, link: WorkerLink, report: HoldReport) -> None:
        """A worker has answered for the first time, or after it had been given up."""
        self.pool.opened(link)

    def link_reported(self, link: WorkerLink, report: HoldReport) -> list[Signal]:
        """Take in a worker's lists; returns what must be stored before ends are forgotten."""
        for listed in report.running:
            self._see_running(link, listed)
        signals = [self._runner.see_end(link, ended) for ended in report.ended]
        return [signal for signal in signals if signal is not None]

    def member_gone(self, link: WorkerLink, member: Member) -> None:
        """A member certainly runs no more, though no end of it was listed."""
        self._runner.member_gone(link, member)

    def link_silent(self, link: WorkerLink) -> None:
        """A worker does not answer, or says that it is not well."""
        self.pool.silent(link)

    def link_answers(self, link: WorkerLink) -> None:
        """A worker answers again."""
        self.pool.answers(link)

    def link_lost(self, link: WorkerLink) -> None:
        """All leases on a worker have certainly lapsed."""
        self.pool.lost(link)

    def order_unanswered(
        self, link: WorkerLink, member: Member, order: Order, exc: TransportError
    ) -> None:
        """An order for a member got no answer; it may be carried out, also later."""
        self._log.emit(
            LogEvent.ORDER_UNANSWERED,
            worker=link.worker,
            task=str(member.task),
            run=member.run,
            order=order.value,
            reason=exc.message,
        )

    def fenced(self) -> None:
        """Another VM is the owner."""
        if not self._stopped:
            self._stopped = True
            gevent.spawn(self._deposed)

    def failed(self) -> None:
        """A part of the director has ended by an unexpected error; what it knows may be wrong."""
        if not self._stopped:
            self._stopped = True
            gevent.spawn(self._failed)

    def _connect(self, entry: WorkerEntry) -> WorkerLink:
        parts = self._parts
        return WorkerLink(entry, parts.orders, self.owner_lease, parts.clock, parts.limits, self)

    def _committed(self, key: str, message: Progress | UsedWorkers) -> None:
        if isinstance(message, UsedWorkers):
            self.pool.committed(message)
        else:
            self.registry.committed(key, message)

    def _see_running(self, link: WorkerLink, listed: ListedRun) -> None:
        self._runner.keep_saved(listed)
        member = link.members.get(listed.task)
        if member is not None and member.run == listed.run:
            return
        if not self.recovered:
            self._takeover.find(link, listed)
            return
        if self._takeover.adopt_late(link, listed) or self._runner.unhide(link, listed):
            return
        if (listed.task, listed.run) in link.orphans:
            return
        self._log.emit(
            LogEvent.STRAY_STOPPED, worker=link.worker, task=str(listed.task), run=listed.run
        )
        spawn_with_callback(partial(link.stop_orphan, listed.task, listed.run), self.failed)

    def _release_later(self, silent: list[WorkerLink], hold_back_s: float) -> None:
        """Queue what was held back once nothing of an earlier owner can run unseen."""
        end = self._clock.now() + hold_back_s
        while silent and self._clock.now() < end:
            self._clock.sleep(TICK_S)
            silent = self._silent.remaining(silent)
        self.pool.retain([])
        for unit in self._takeover.release():
            self._queue(unit)

    def _open_units(self, graph: JobGraph) -> None:
        """Queue the units whose turn has come; a takeover first sees what runs."""
        if not self.recovered:
            return
        for unit in graph.open_units(self._clock.wall()):
            self._queue(unit)

    def _queue(self, unit: Unit) -> None:
        if not self.registry.wants(unit):
            return
        graph = self.registry.graphs[unit.job_id]
        if graph.submission.advised:
            spawn_with_callback(partial(self._queue_advised, graph, unit), self.failed)
        else:
            self._planner.queue(graph, unit)

    def _queue_advised(self, graph: JobGraph, unit: Unit) -> None:
        """Queue a unit for the workers that may run it; the service takes its time for each."""
        with self._advising:
            if not self._advice.workers(unit):
                self._advice.ask(unit, self.pool.listed_workers(graph.submission.service))
        if self._stopped or not self.registry.wants(unit):
            return
        workers = self._advice.workers(unit)
        if workers:
            self._planner.queue(graph, unit, workers)
        else:
            self._parked[unit.unit_id] = unit

    def _end_job(self, graph: JobGraph) -> Signal:
        """Store a final state and give back all that the job holds."""
        job_id = graph.submission.job_id
        self._log.emit(LogEvent.JOB_ENDED, job=job_id, state=graph.state.value)
        signal = self.registry.store(graph)
        self._runner.cancel_job(graph)
        self._advice.forget(job_id)
        self._planner.withdraw_job(graph, self._runner.held())
        return signal

    def _tick(self) -> None:
        retried_at = self._clock.now()
        while not self._stopped:
            self._clock.sleep(TICK_S)
            if not self.recovered:
                continue
            for graph in list(self.registry.graphs.values()):
                if graph.submission.timing.times:
                    self._open_units(graph)
            self.pool.sweep()
            if self._clock.now() - retried_at > PARKED_RETRY_S:
                retried_at = self._clock.now()
                self._retry_parked()
            self._planner.wake.set()

    def _retry_parked(self) -> None:
        parked, self._parked = self._parked, {}
        for unit in parked.values():
            self._queue(unit)

    @singledispatchmethod
    def _act(self, action: Action) -> None:
        raise TypeError(f"unknown action {type(action).__name__}")

    @_act.register
    def _(self, action: StartGang) -> None:
        unit = self.registry.unit_named(action.job_id)
        if unit is not None and self.registry.wants(unit):
            self._runner.start(unit, action.placement)
        else:
            self._planner.feed_all(JobCancelled(action.job_id))

    @_act.register
    def _(self, action: EvictGang) -> None:
        self._runner.evict(action.job_id, action.for_job)

    @_act.register
    def _(self, action: StopGang) -> None:
        return  # units are stopped before the scheduler hears that their job is over

    @_act.register
    def _(self, action: RefuseJob) -> None:
        self._log.emit(LogEvent.UNIT_PARKED, unit=action.job_id, reason=action.reason)
        self._park(action.job_id)

    @_act.register
    def _(self, action: FailJob) -> None:
        self._park(action.job_id)

    def _park(self, unit_id: str) -> None:
        """Try a unit again later that the scheduler has given up; its attempts decide."""
        unit = self.registry.unit_named(unit_id)
        if unit is not None:
            self._parked[unit_id] = unit
