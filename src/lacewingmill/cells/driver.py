"""The owner's side of a cell: turns the scheduler's actions into orders to workers."""

from functools import singledispatchmethod

import attrs
import gevent

from lacewingmill.cells.alerts import AlertLog
from lacewingmill.cells.claim_journal import ClaimJournal
from lacewingmill.cells.gangs import Gang, GangRunner, StartFailure, gang_answer
from lacewingmill.cells.job_claims import JobClaims, JobEntry
from lacewingmill.cells.job_table import JobTable
from lacewingmill.cells.messages import JobPhase, JobReport, SubmitJob
from lacewingmill.cells.orders import GangOrders
from lacewingmill.cells.worker_watch import WorkerWatch
from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import FenceRejected, StoreUnavailable
from lacewingmill.models import Fence, Vm, VmState
from lacewingmill.ports import (
    ApplicationAnswer,
    Clock,
    LeaseState,
    WorkerLease,
    WorkerPort,
)
from lacewingmill.scheduling.messages import (
    Action,
    Event,
    EvictGang,
    FailJob,
    GangRejected,
    GangReleased,
    GangStarted,
    JobCancelled,
    JobFailed,
    JobFinished,
    JobSubmitted,
    RefuseJob,
    StartGang,
    StopGang,
    Tick,
    WorkerAnswered,
    WorkerJoined,
    WorkerLeaving,
    WorkerLost,
    WorkerSilent,
    worker_node,
)
from lacewingmill.scheduling.scheduler import Scheduler

__all__ = ["CellDriver", "CellParts"]

TICK_S = 1.0
UNKNOWN_START = "the gang was stopped after a member had run"


@attrs.frozen
class CellDependencies:
    """What a driver is built from.

    :param scheduler: the decision core, not shared with any other driver.
    :param vm: name of this VM.
    """

    scheduler: Scheduler
    workers: WorkerPort
    journal: ClaimJournal
    clock: Clock
    log: EventLog
    vm: str


class CellDriver:
    """Directs the workers of a cell under one fence.

    :param fence: of this ownership; workers refuse orders under a lower one.
    """

    def __init__(self, parts: CellDependencies, fence: Fence):
        self.fence = fence
        self.deposed = False
        self._parts = parts
        self._clock = parts.clock
        self._log = parts.log
        self._scheduler = parts.scheduler
        self._works = JobTable(parts.scheduler, parts.clock, parts.log)
        self._claims = JobClaims(parts.journal, parts.clock, parts.vm, fence)
        self._troubles = AlertLog(parts.scheduler, parts.log)
        self.watch = WorkerWatch(parts.workers, parts.clock, fence, self)
        self._runner = GangRunner(parts.workers, parts.clock, fence, self.watch.find)
        self._ticker = gevent.spawn(self._tick_forever)

    @property
    def scheduler(self) -> Scheduler:
        """The decision core, to be read only."""
        return self._scheduler

    def submit(self, submit: SubmitJob) -> None:
        """Take a job in; repeating a submission is harmless."""
        known = self._works.find(submit.job.job_id)
        if known is not None:
            self._works.learn_body(known, submit)
            return
        self._works.add(submit)
        job = attrs.evolve(submit.job, submitted_at=self._clock.now())
        self.feed(JobSubmitted(job))

    def adopt(self, submit: SubmitJob, gang: Gang, done_s: float) -> None:
        """Take over a gang found running; its event to the scheduler is fed by the recovery.

        :param done_s: run time kept by earlier checkpoints, in seconds.
        """
        self._works.adopt(submit, gang, done_s)

    def keep_outcome(self, submit: SubmitJob, report: JobReport) -> None:
        """Remember the outcome of a job that ended before this VM owned the cell."""
        self._works.keep_outcome(submit, report)

    def note_table(self, worker: str, leases: tuple[WorkerLease, ...]) -> None:
        """Remember what a worker had executed when it accepted this fence.

        From then on the worker refuses the owners before, so that a gang missing here never runs.
        """
        self._claims.note_table(worker, leases)

    def feed(self, event: Event) -> None:
        """Pass an event to the scheduler and carry its actions out."""
        if self.deposed:
            return
        for action in self._scheduler.handle(event, self._clock.now()):
            self._act(action)

    def report(self, job_id: str, wait_s: float) -> JobReport | None:
        """Return a job's report, waiting for its end at most ``wait_s``; ``None`` if unheard of."""
        work = self._works.find(job_id)
        if work is None:
            return None
        if not work.report.phase.final and wait_s > 0:
            work.changed.wait(wait_s)
        if job_id not in self._scheduler.records:
            return work.report
        return attrs.evolve(work.report, notes=self._works.notes(job_id))

    def cancel(self, job_id: str) -> None:
        """Give a job up for its caller."""
        work = self._works.find(job_id)
        if work is None or work.report.phase.final:
            return
        self._cancel(work, "cancelled by the caller")

    def stop(self) -> None:
        """Stop directing workers; gangs run on under their leases."""
        self.deposed = True
        self._ticker.kill()
        self.watch.stop()

    def renewable_gangs(self, worker: str) -> tuple[str, ...]:
        """Return the gangs with a member on a worker whose lease may be renewed."""
        return self._works.renewable_gangs(worker)

    def worker_acked(self, worker: str, renewed: tuple[str, ...], at: float) -> None:
        """Take in which leases a worker renewed."""
        for gang_id in renewed:
            work = self._works.find_gang(gang_id)
            if work is not None and work.gang is not None:
                work.gang.acked[worker] = at

    def worker_reported(self, worker: str, leases: tuple[WorkerLease, ...]) -> list[str]:
        """Take in a worker's lease table and return the gangs that nobody owns."""
        self.note_table(worker, leases)
        orphans = []
        for lease in leases:
            work = self._works.find_gang(lease.gang)
            active = lease.state in (LeaseState.LEASED, LeaseState.RUNNING)
            if work is None or work.gang is None:
                if active:
                    self._log.emit(LogEvent.ORPHAN_RELEASED, worker=worker, gang=lease.gang)
                    orphans.append(lease.gang)
                continue
            gang = work.gang
            if gang.closing or not gang.started or active:
                continue
            if lease.state == LeaseState.DONE and worker == gang.workers[0]:
                gevent.spawn(self._guarded, self._finish, work, gang, lease.result)
            elif lease.state in (LeaseState.FAILED, LeaseState.STOPPED):
                gevent.spawn(self._guarded, self._fail_member, work, gang, worker)
        return orphans

    def worker_joined(self, vm: Vm) -> None:
        """A worker's lease table is known and holds no orphans."""
        self._log.emit(LogEvent.WORKER_JOINED, worker=vm.name)
        self.feed(WorkerJoined(worker_node(vm), vm.state is VmState.LEAVING))

    def worker_leaving(self, worker: str, *, stays: bool) -> None:
        """A worker is leaving, or stays after all; its gangs run on."""
        self.feed(WorkerLeaving(worker, stays))

    def worker_silent(self, worker: str) -> None:
        """A worker did not answer in time."""
        self.feed(WorkerSilent(worker))

    def worker_answered(self, worker: str) -> None:
        """A worker that was silent answers again."""
        self.feed(WorkerAnswered(worker))

    def worker_lost(self, worker: str, *, left: bool) -> None:
        """A worker keeps silent, or has left for good."""
        self._log.emit(LogEvent.WORKER_LOST, worker=worker, left=left)
        self.feed(WorkerLost(worker, left))

    def fenced(self) -> None:
        """A worker has accepted a higher fence."""
        if self.deposed:
            return
        self._log.emit(LogEvent.CELL_LOST, fence=attrs.astuple(self.fence))
        self.stop()

    @singledispatchmethod
    def _act(self, action: Action) -> None:
        raise TypeError(f"unknown action {type(action).__name__}")

    @_act.register
    def _(self, action: StartGang) -> None:
        gevent.spawn(self._guarded, self._start, self._works.get(action.job_id), action)

    @_act.register
    def _(self, action: EvictGang) -> None:
        gevent.spawn(self._guarded, self._evict, self._works.get(action.job_id), action)

    @_act.register
    def _(self, action: StopGang) -> None:
        work = self._works.get(action.job_id)
        gang, work.gang = work.gang, None
        if gang is not None:
            gevent.spawn(self._guarded, self._stop_gang, gang, action.reason)

    @_act.register
    def _(self, action: RefuseJob) -> None:
        work = self._works.get(action.job_id)
        self._log.emit(LogEvent.JOB_REFUSED, job=action.job_id, reason=action.reason)
        self._works.close(work, JobReport(action.job_id, JobPhase.NOT_RUN, reason=action.reason))

    @_act.register
    def _(self, action: FailJob) -> None:
        self._works.close_unknown(self._works.get(action.job_id), action.reason, "run", "")

    def _guarded(self, run, *args) -> None:
        """Run a step of a gang; a higher fence ends this ownership."""
        try:
            run(*args)
        except FenceRejected:
            self.fenced()

    def _start(self, work: JobEntry, action: StartGang) -> None:
        with work.lock:
            self._start_locked(work, action)

    def _start_locked(self, work: JobEntry, action: StartGang) -> None:
        work.attempts += 1
        if not work.body_known:
            self._cancel(work, "the request's body was lost with the VM that took it in")
            return
        job = work.submit.job
        gang_id = f"{job.job_id}.{self.fence.epoch}.{self.fence.attempt}.{work.attempts}"
        gang = Gang(gang_id, job.job_id, action.placement)
        work.gang = gang
        if not job.idempotent and not self._claim(work, gang):
            work.gang = None
            return
        if work.report.phase.final or self.deposed or gang.closing:
            work.gang = None
            return
        self._works.link_gang(work, gang)
        orders = GangOrders(work, gang, self.fence, action.guaranteed, self._clock.wall())
        failure = self._runner.start(gang, orders.lease, orders.start)
        if failure is None:
            self._log.emit(LogEvent.GANG_STARTED, gang=gang_id, workers=gang.workers)
            work.report = JobReport(job.job_id, JobPhase.RUNNING)
            self.feed(GangStarted(job.job_id))
            return
        self._works.end_gang(work, gang)
        self._reject(work, gang, failure)

    def _reject(self, work: JobEntry, gang: Gang, failure: StartFailure) -> None:
        job = work.submit.job
        self._log.emit(LogEvent.GANG_REJECTED, gang=gang.gang_id, reason=failure.reason)
        if failure.executed and not job.idempotent:
            self._works.close_unknown(work, UNKNOWN_START, "start", failure.worker)
            self.feed(JobCancelled(job.job_id))
            return
        if failure.silent:
            self.feed(WorkerSilent(failure.worker))
        if failure.worker:
            self.feed(GangRejected(job.job_id, failure.worker, failure.silent))

    def _claim(self, work: JobEntry, gang: Gang) -> bool:
        """Claim non-idempotent work in the store; return whether the gang may be sent."""
        try:
            found = self._claims.claim(work, gang)
        except StoreUnavailable:
            self._cancel(work, "the store stayed away, so the job could not be claimed")
            return False
        if found.granted:
            return True
        self._close_claimed(work, found.answer)
        return False

    def _close_claimed(self, work: JobEntry, answer: ApplicationAnswer | None) -> None:
        """Answer a request whose key was claimed before: its answer if kept, else unknown."""
        job_id = work.submit.job.job_id
        if answer is not None:
            self._works.close(work, JobReport(job_id, JobPhase.DONE, answer))
        else:
            reason = "a request with this idempotency key was claimed before; its answer is unknown"
            self._works.close_unknown(work, reason, "claim", "")
        self.feed(JobCancelled(job_id))

    def _evict(self, work: JobEntry, action: EvictGang) -> None:
        if work.gang is not None and not work.gang.started:
            work.gang.closing = True  # a start under way gives up at its next step
        with work.lock:
            self._evict_locked(work, action)

    def _evict_locked(self, work: JobEntry, action: EvictGang) -> None:
        gang = work.gang
        if gang is None or gang.closing:
            self.feed(GangReleased(action.job_id, 0.0))  # nothing is held any more
            return
        ran_s = self._clock.now() - gang.started_at if gang.started else 0.0
        released = self._runner.release(gang, checkpoint=action.checkpoint)
        self._works.end_gang(work, gang)
        if released.result is not None:
            self._complete(work, gang, released.result)
            return
        saved_s = ran_s if action.checkpoint else 0.0
        work.done_s += saved_s
        work.report = JobReport(action.job_id, JobPhase.WAITING)
        self._log.emit(LogEvent.GANG_EVICTED, gang=gang.gang_id, for_job=action.for_job)
        self.feed(GangReleased(action.job_id, saved_s))

    def _stop_gang(self, gang: Gang, reason: str) -> None:
        self._runner.release(gang, checkpoint=False)
        self._works.unlink_gang(gang)
        self._log.emit(LogEvent.GANG_STOPPED, gang=gang.gang_id, reason=reason)

    def _finish(self, work: JobEntry, gang: Gang, result: bytes) -> None:
        if gang.closing or work.gang is not gang:
            return
        gang.closing = True
        self._complete(work, gang, result)

    def _complete(self, work: JobEntry, gang: Gang, result: bytes) -> None:
        """Answer the caller first, then free the accelerators."""
        job = work.submit.job
        answer = gang_answer(result, gang.workers[0])
        run_s = self._clock.now() - gang.started_at + work.done_s
        self._log.emit(LogEvent.JOB_DONE, job=job.job_id, run_s=round(run_s, 3))
        self._works.close(work, JobReport(job.job_id, JobPhase.DONE, answer))
        self._runner.release(gang, checkpoint=False)
        self._works.end_gang(work, gang)
        self.feed(JobFinished(job.job_id, run_s))
        if not job.idempotent:
            self._claims.store_answer(work, gang, answer)

    def _fail_member(self, work: JobEntry, gang: Gang, worker: str) -> None:
        if gang.closing or work.gang is not gang:
            return
        self._runner.release(gang, checkpoint=False)
        self._works.end_gang(work, gang)
        work.report = JobReport(work.submit.job.job_id, JobPhase.WAITING)
        self.feed(JobFailed(work.submit.job.job_id, worker))

    def _cancel(self, work: JobEntry, reason: str) -> None:
        """End a job early; it was not run only if no gang of it may have been started."""
        job_id = work.submit.job.job_id
        if self._works.never_sent(work):
            self._works.close(work, JobReport(job_id, JobPhase.NOT_RUN, reason=reason, step="wait"))
        else:
            self._works.close_unknown(work, reason, "run", "")
        self.feed(JobCancelled(job_id))

    def _tick_forever(self) -> None:
        while not self.deposed:
            self._clock.sleep(TICK_S)
            self._works.expire()
            for work in self._works.overdue():
                self._cancel(work, "the deadline passed while the job waited")
            self.feed(Tick())
            self._troubles.look()
