"""The driver of a cell, run by its owner: turns the scheduler's actions into orders to workers."""

from functools import singledispatchmethod

import attrs
import gevent

from lacewingmill.cells.alerts import AlertLog
from lacewingmill.cells.claim_journal import ClaimJournal
from lacewingmill.cells.gangs import (
    Gang,
    GangRunner,
    StartFailure,
    gang_answer,
    make_gang_id,
)
from lacewingmill.cells.job_claims import JobClaims, JobEntry
from lacewingmill.cells.job_table import JobTable
from lacewingmill.cells.messages import JobPhase, JobReport, SubmitJob
from lacewingmill.cells.orders import GangOrders
from lacewingmill.cells.worker_watch import WorkerWatch
from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import FenceRejected, StoreUnavailable
from lacewingmill.models import Fence, Vm, VmState
from lacewingmill.ports import (
    ApplicationResponse,
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
    worker_info_from_vm,
)
from lacewingmill.scheduling.scheduler import Scheduler

__all__ = ["CellDependencies", "CellDriver"]

TICK_S = 1.0
STOPPED_AFTER_START = "the gang was stopped after a member had run"


@attrs.frozen
class CellDependencies:
    """Dependencies of a driver.

    :param scheduler: used by one driver only.
    :param vm: name of this VM.
    """

    scheduler: Scheduler
    workers: WorkerPort
    journal: ClaimJournal
    clock: Clock
    log: EventLog
    vm: str


class CellDriver:
    """Runs the jobs of a cell on its workers under one fence.

    :param fence: fencing token of this ownership; workers that accepted it reject lower ones.
    """

    def __init__(self, deps: CellDependencies, fence: Fence):
        self.fence = fence
        self.stopped = False
        self._deps = deps
        self._clock = deps.clock
        self._log = deps.log
        self._scheduler = deps.scheduler
        self._jobs = JobTable(deps.scheduler, deps.clock, deps.log)
        self._claims = JobClaims(deps.journal, deps.clock, deps.vm, fence)
        self._alerts = AlertLog(deps.scheduler, deps.log)
        self.watch = WorkerWatch(deps.workers, deps.clock, fence, self)
        self._runner = GangRunner(deps.workers, deps.clock, fence, self.watch.find)
        self._ticker = gevent.spawn(self._tick_forever)

    @property
    def scheduler(self) -> Scheduler:
        """The scheduler; callers must not change it."""
        return self._scheduler

    def submit(self, submission: SubmitJob) -> None:
        """Submit a job; submitting it again does not run it twice."""
        existing = self._jobs.find(submission.job.job_id)
        if existing is not None:
            self._jobs.attach_request(existing, submission)
            return
        entry = self._jobs.add(submission)
        if submission.deadline_s <= 0:
            self._cancel(entry, "the deadline passed before this owner knew the job")
            return
        job = attrs.evolve(submission.job, submitted_at=self._clock.now())
        self.handle_event(JobSubmitted(job))

    def adopt(self, submission: SubmitJob, gang: Gang, done_s: float) -> None:
        """Adopt a gang that was found running; the recovery informs the scheduler.

        :param done_s: run time saved by earlier checkpoints, in seconds.
        """
        self._jobs.adopt(submission, gang, done_s)

    def record_outcome(self, submission: SubmitJob, report: JobReport) -> None:
        """Record the outcome of a job that ended before this VM owned the cell."""
        self._jobs.record_outcome(submission, report)

    def record_lease_table(self, worker: str, leases: tuple[WorkerLease, ...]) -> None:
        """Record which gangs a worker had executed when it accepted this fence.

        The worker rejects earlier owners from then on, so gangs it did not list can no longer run.
        """
        self._claims.record_lease_table(worker, leases)

    def handle_event(self, event: Event) -> None:
        """Pass an event to the scheduler and execute the resulting actions."""
        if self.stopped:
            return
        for action in self._scheduler.handle(event, self._clock.now()):
            self._execute(action)

    def report(self, job_id: str, wait_s: float) -> JobReport | None:
        """Return a job's report, or ``None`` if the job is unknown.

        :param wait_s: longest time to wait for the job to end, in seconds.
        """
        entry = self._jobs.find(job_id)
        if entry is None:
            return None
        if not entry.report.phase.final and wait_s > 0:
            entry.changed.wait(wait_s)
        if job_id not in self._scheduler.records:
            return entry.report
        return attrs.evolve(entry.report, notes=self._jobs.notes(job_id))

    def cancel(self, job_id: str) -> None:
        """Cancel a job on behalf of its client."""
        entry = self._jobs.find(job_id)
        if entry is None or entry.report.phase.final:
            return
        self._cancel(entry, "cancelled by the client")

    def stop(self) -> None:
        """Stop the driver; running gangs continue until their leases expire."""
        self.stopped = True
        self._ticker.kill()
        self.watch.stop()

    def renewable_gangs(self, worker: str) -> tuple[str, ...]:
        """Return the gangs with a member on the worker whose leases may be renewed."""
        return self._jobs.renewable_gangs(worker)

    def on_worker_acked(self, worker: str, renewed: tuple[str, ...], at: float) -> None:
        """Record that a worker renewed the leases of these gangs.

        :param at: when the renewal was sent, in seconds.
        """
        for gang_id in renewed:
            entry = self._jobs.find_gang(gang_id)
            if entry is not None and entry.gang is not None:
                entry.gang.acked_at[worker] = at

    def on_worker_reported(self, worker: str, leases: tuple[WorkerLease, ...]) -> list[str]:
        """Process a worker's lease table and return the active gangs that belong to no job."""
        self.record_lease_table(worker, leases)
        orphans = []
        for lease in leases:
            entry = self._jobs.find_gang(lease.gang)
            active = lease.state in (LeaseState.LEASED, LeaseState.RUNNING)
            if entry is None or entry.gang is None:
                if active:
                    self._log.emit(LogEvent.ORPHAN_RELEASED, worker=worker, gang=lease.gang)
                    orphans.append(lease.gang)
                continue
            gang = entry.gang
            if gang.releasing or not gang.started or active:
                continue
            if lease.state == LeaseState.DONE and worker == gang.workers[0]:
                gevent.spawn(self._run_fenced, self._finish_gang, entry, gang, lease.result)
            elif lease.state in (LeaseState.FAILED, LeaseState.STOPPED):
                gevent.spawn(self._run_fenced, self._handle_member_failure, entry, gang, worker)
        return orphans

    def on_worker_joined(self, vm: Vm) -> None:
        """Handle a worker whose lease table is known and holds no orphans."""
        self._log.emit(LogEvent.WORKER_JOINED, worker=vm.name)
        self.handle_event(WorkerJoined(worker_info_from_vm(vm), vm.state is VmState.LEAVING))

    def on_worker_leaving(self, worker: str, *, stays: bool) -> None:
        """Handle a worker that is leaving, or that stays after all; its gangs keep running."""
        self.handle_event(WorkerLeaving(worker, stays))

    def on_worker_silent(self, worker: str) -> None:
        """Handle a worker that did not answer in time."""
        self.handle_event(WorkerSilent(worker))

    def on_worker_answered(self, worker: str) -> None:
        """Handle a silent worker that answers again."""
        self.handle_event(WorkerAnswered(worker))

    def on_worker_lost(self, worker: str, *, left: bool) -> None:
        """Handle a worker that timed out or was removed from the VM list."""
        self._log.emit(LogEvent.WORKER_LOST, worker=worker, left=left)
        self.handle_event(WorkerLost(worker, left))

    def on_fenced(self) -> None:
        """Stop the driver because a worker has accepted a higher fence."""
        if self.stopped:
            return
        self._log.emit(LogEvent.CELL_LOST, fence=attrs.astuple(self.fence))
        self.stop()

    @singledispatchmethod
    def _execute(self, action: Action) -> None:
        raise TypeError(f"unknown action {type(action).__name__}")

    @_execute.register
    def _(self, action: StartGang) -> None:
        gevent.spawn(self._run_fenced, self._start, self._jobs.get(action.job_id), action)

    @_execute.register
    def _(self, action: EvictGang) -> None:
        gevent.spawn(self._run_fenced, self._evict, self._jobs.get(action.job_id), action)

    @_execute.register
    def _(self, action: StopGang) -> None:
        entry = self._jobs.get(action.job_id)
        gang, entry.gang = entry.gang, None
        if gang is not None:
            gevent.spawn(self._run_fenced, self._stop_gang, gang, action.reason)

    @_execute.register
    def _(self, action: RefuseJob) -> None:
        entry = self._jobs.get(action.job_id)
        self._log.emit(LogEvent.JOB_REFUSED, job=action.job_id, reason=action.reason)
        self._jobs.set_outcome(
            entry, JobReport(action.job_id, JobPhase.NOT_RUN, reason=action.reason)
        )

    @_execute.register
    def _(self, action: FailJob) -> None:
        self._jobs.set_unknown(self._jobs.get(action.job_id), action.reason, "run", "")

    def _run_fenced(self, run, *args) -> None:
        """Run an operation on a gang; stop the driver if a worker has accepted a higher fence."""
        try:
            run(*args)
        except FenceRejected:
            self.on_fenced()

    def _start(self, entry: JobEntry, action: StartGang) -> None:
        with entry.lock:
            self._start_locked(entry, action)

    def _start_locked(self, entry: JobEntry, action: StartGang) -> None:
        entry.attempts += 1
        if not entry.has_request:
            self._cancel(entry, "the request body was lost with the VM that received it")
            return
        job = entry.submission.job
        gang_id = make_gang_id(job.job_id, self.fence, entry.attempts)
        gang = Gang(gang_id, job.job_id, action.placement)
        entry.gang = gang
        if not job.idempotent and not self._claim(entry, gang):
            entry.gang = None
            return
        if entry.report.phase.final or self.stopped or gang.releasing:
            entry.gang = None
            return
        self._jobs.register_gang(entry, gang)
        orders = GangOrders(entry, gang, self.fence, action.guaranteed, self._clock.wall())
        failure = self._runner.start(gang, orders.lease, orders.start)
        if failure is None:
            self._log.emit(LogEvent.GANG_STARTED, gang=gang_id, workers=gang.workers)
            entry.report = JobReport(job.job_id, JobPhase.RUNNING)
            self.handle_event(GangStarted(job.job_id))
            return
        self._jobs.end_gang(entry, gang, executed=failure.executed)
        self._handle_start_failure(entry, gang, failure)

    def _handle_start_failure(self, entry: JobEntry, gang: Gang, failure: StartFailure) -> None:
        job = entry.submission.job
        self._log.emit(LogEvent.GANG_REJECTED, gang=gang.gang_id, reason=failure.reason)
        if failure.executed and not job.idempotent:
            self._jobs.set_unknown(entry, STOPPED_AFTER_START, "start", failure.worker)
            self.handle_event(JobCancelled(job.job_id))
            return
        if failure.silent:
            self.handle_event(WorkerSilent(failure.worker))
        if failure.worker:
            self.handle_event(GangRejected(job.job_id, failure.worker, failure.silent))

    def _claim(self, entry: JobEntry, gang: Gang) -> bool:
        """Claim a non-idempotent job in the store; return whether its gang may be sent."""
        try:
            result = self._claims.claim(entry, gang)
        except StoreUnavailable:
            self._cancel(entry, "the store was unavailable, so the job could not be claimed")
            return False
        if result.granted:
            return True
        self._answer_claimed(entry, result.answer)
        return False

    def _answer_claimed(self, entry: JobEntry, answer: ApplicationResponse | None) -> None:
        """Finish a job whose key is already claimed, with the stored answer or as unknown."""
        job_id = entry.submission.job.job_id
        if answer is not None:
            self._jobs.set_outcome(entry, JobReport(job_id, JobPhase.DONE, answer))
        else:
            reason = "a request with this idempotency key was claimed before; its answer is unknown"
            self._jobs.set_unknown(entry, reason, "claim", "")
        self.handle_event(JobCancelled(job_id))

    def _evict(self, entry: JobEntry, action: EvictGang) -> None:
        if entry.gang is not None and not entry.gang.started:
            entry.gang.releasing = True  # a start in progress aborts at its next step
        with entry.lock:
            self._evict_locked(entry, action)

    def _evict_locked(self, entry: JobEntry, action: EvictGang) -> None:
        gang = entry.gang
        if gang is None or gang.releasing:
            self.handle_event(GangReleased(action.job_id, 0.0))  # no accelerators are held
            return
        ran_s = self._clock.now() - gang.started_at if gang.started else 0.0
        released = self._runner.release(gang, checkpoint=action.checkpoint)
        self._jobs.end_gang(entry, gang, executed=released.executed)
        if released.result is not None:
            self._complete_job(entry, gang, released.result)
            return
        saved_s = ran_s if action.checkpoint else 0.0
        entry.done_s += saved_s
        entry.report = JobReport(action.job_id, JobPhase.WAITING)
        self._log.emit(LogEvent.GANG_EVICTED, gang=gang.gang_id, for_job=action.for_job)
        self.handle_event(GangReleased(action.job_id, saved_s))

    def _stop_gang(self, gang: Gang, reason: str) -> None:
        self._runner.release(gang, checkpoint=False)
        self._jobs.unregister_gang(gang)
        self._log.emit(LogEvent.GANG_STOPPED, gang=gang.gang_id, reason=reason)

    def _finish_gang(self, entry: JobEntry, gang: Gang, result: bytes) -> None:
        if gang.releasing or entry.gang is not gang:
            return
        gang.releasing = True
        self._complete_job(entry, gang, result)

    def _complete_job(self, entry: JobEntry, gang: Gang, result: bytes) -> None:
        """Complete a job; the client gets the answer before the accelerators are released."""
        job = entry.submission.job
        answer = gang_answer(result, gang.workers[0])
        run_s = self._clock.now() - gang.started_at + entry.done_s
        self._log.emit(LogEvent.JOB_DONE, job=job.job_id, run_s=round(run_s, 3))
        self._jobs.set_outcome(entry, JobReport(job.job_id, JobPhase.DONE, answer))
        self._runner.release(gang, checkpoint=False)
        self._jobs.end_gang(entry, gang, executed=True)
        self.handle_event(JobFinished(job.job_id, run_s))
        if not job.idempotent:
            self._claims.store_answer(entry, gang, answer)

    def _handle_member_failure(self, entry: JobEntry, gang: Gang, worker: str) -> None:
        if gang.releasing or entry.gang is not gang:
            return
        self._runner.release(gang, checkpoint=False)
        self._jobs.end_gang(entry, gang, executed=True)
        entry.report = JobReport(entry.submission.job.job_id, JobPhase.WAITING)
        self.handle_event(JobFailed(entry.submission.job.job_id, worker))

    def _cancel(self, entry: JobEntry, reason: str) -> None:
        """Cancel a job: outcome ``NOT_RUN`` if no gang of it has run anywhere, else ``UNKNOWN``."""
        job_id = entry.submission.job.job_id
        ran_earlier = entry.submission.sent_before and self._claims.ran_earlier(
            job_id, self.watch.known
        )
        if self._jobs.never_ran(entry) and not ran_earlier:
            self._jobs.set_outcome(
                entry, JobReport(job_id, JobPhase.NOT_RUN, reason=reason, step="wait")
            )
        else:
            self._jobs.set_unknown(entry, reason, "run", "")
        self.handle_event(JobCancelled(job_id))

    def _tick_forever(self) -> None:
        while not self.stopped:
            self._clock.sleep(TICK_S)
            self._jobs.expire()
            for entry in self._jobs.overdue():
                self._cancel(entry, "the deadline passed while the job waited")
            self.handle_event(Tick())
            self._alerts.check()
