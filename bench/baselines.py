"""Baseline policies to compare the scheduler with.

They ignore guarantees and evict no gang except one that has lost a worker.
"""

from functools import singledispatchmethod

from lacewingmill.models import Shape
from lacewingmill.scheduling.cluster import Block, Cluster, WorkerState
from lacewingmill.scheduling.messages import (
    Action,
    Event,
    EvictGang,
    FailJob,
    GangRejected,
    GangReleased,
    GangStarted,
    GuaranteesChanged,
    JobCancelled,
    JobFailed,
    JobFinished,
    JobSubmitted,
    RefuseJob,
    StartGang,
    StopGang,
    WorkerJoined,
    WorkerLost,
    WorkerSilent,
)
from lacewingmill.scheduling.placement import PlacementRules, find_block
from lacewingmill.scheduling.records import JobRecord, JobState
from lacewingmill.scheduling.reservation import BackfillReservation, plan_reservation
from lacewingmill.scheduling.run_times import RunTimeEstimator

__all__ = ["BestFitBackfill", "FirstFit"]


class _Baseline:
    """Keeps a queue in arrival order and uses the cluster model of the scheduler."""

    def __init__(self):
        self.cluster = Cluster()
        self.configured_shapes: tuple[Shape, ...] = ()
        self.records: dict[str, JobRecord] = {}
        self.queue: dict[str, JobRecord] = {}
        self.run_times = RunTimeEstimator()
        self.failed_workers: dict[str, set[str]] = {}
        self._actions: list[Action] = []

    def handle(self, event: Event, now: float) -> list[Action]:
        """Process an event and return the resulting actions."""
        self._apply(event)
        self.place(now)
        actions, self._actions = self._actions, []
        return actions

    def place(self, now: float) -> None:
        """Start the queued jobs that the policy allows to start now."""
        raise NotImplementedError

    def start(self, record: JobRecord, block: Block, now: float) -> None:
        """Start a queued job on a block."""
        job = record.job
        del self.queue[job.job_id]
        record.placement = self.cluster.allocate(job.job_id, job.shape, block)
        record.state = JobState.RUNNING
        record.started_at = now
        self._actions.append(StartGang(job.job_id, record.placement, False))

    @singledispatchmethod
    def _apply(self, event: Event) -> None:
        """Ignore events that have no handler of their own."""

    @_apply.register
    def _(self, event: JobSubmitted) -> None:
        if not self.cluster.fits_when_empty(event.job.shape):
            self._actions.append(RefuseJob(event.job.job_id, "no block is large enough"))
            return
        record = JobRecord(event.job)
        self.records[event.job.job_id] = self.queue[event.job.job_id] = record

    @_apply.register
    def _(self, event: JobCancelled) -> None:
        record = self.records.get(event.job_id)
        if record is None:
            return
        if record.state is JobState.RUNNING:
            self._actions.append(StopGang(event.job_id, "cancelled"))
        self._remove_job(event.job_id)

    @_apply.register
    def _(self, event: GangStarted) -> None:
        return

    @_apply.register
    def _(self, event: GangRejected) -> None:
        self._requeue(event.job_id)

    @_apply.register
    def _(self, event: GangReleased) -> None:
        self._requeue(event.job_id)

    @_apply.register
    def _(self, event: JobFinished) -> None:
        self._remove_job(event.job_id)

    @_apply.register
    def _(self, event: JobFailed) -> None:
        self.failed_workers.setdefault(event.job_id, set()).add(event.worker)
        if self.records[event.job_id].job.idempotent:
            self._requeue(event.job_id)
            return
        self._remove_job(event.job_id)
        self._actions.append(FailJob(event.job_id, "failed"))

    @_apply.register
    def _(self, event: WorkerJoined) -> None:
        self.cluster.add(event.info)

    @_apply.register
    def _(self, event: WorkerSilent) -> None:
        if event.worker in self.cluster.workers:
            self.cluster.cordon(event.worker)

    @_apply.register
    def _(self, event: WorkerLost) -> None:
        worker_state = self.cluster.workers.get(event.worker)
        if worker_state is None:
            return
        for job_id in list(worker_state.gangs):
            record = self.records[job_id]
            self.cluster.release(job_id, record.job.shape, (event.worker,))
            if record.job.idempotent:
                self._actions.append(EvictGang(job_id, "", checkpoint=False))
            else:
                self._remove_job(job_id)
                self._actions.append(FailJob(job_id, "worker lost"))
        self.cluster.remove(event.worker)

    @_apply.register
    def _(self, event: GuaranteesChanged) -> None:
        self.configured_shapes = event.configured_shapes

    def available_units(self, record: JobRecord, worker_state: WorkerState) -> int:
        """Return how many members of a job fit on a worker; 0 on workers where the job failed."""
        if worker_state.info.worker in self.failed_workers.get(record.job.job_id, ()):
            return 0
        return worker_state.free_units(record.job.shape)

    def _release_block(self, record: JobRecord) -> None:
        self.cluster.release(record.job.job_id, record.job.shape, record.workers)
        record.placement = ()

    def _requeue(self, job_id: str) -> None:
        record = self.records.get(job_id)
        if record is None:
            return
        self._release_block(record)
        record.state = JobState.QUEUED
        self.queue[job_id] = record

    def _remove_job(self, job_id: str) -> None:
        record = self.records.pop(job_id, None)
        self.queue.pop(job_id, None)
        if record is not None:
            self._release_block(record)


class FirstFit(_Baseline):
    """First come, first served without backfill; takes the first block that fits."""

    def place(self, now: float) -> None:
        """Start jobs from the head of the queue until one does not fit."""
        while self.queue:
            record = min(self.queue.values(), key=_arrival)
            shape = record.job.shape
            positions = {name: number for number, name in enumerate(self.cluster.workers)}
            rules = PlacementRules(
                lambda worker_state, r=record: self.available_units(r, worker_state),
                lambda worker_state, units, p=positions: float(p[worker_state.info.worker]),
            )
            block = find_block(self.cluster, shape, rules)
            if block is None:
                return
            self.start(record, block, now)


class BestFitBackfill(_Baseline):
    """First come, first served with backfill by declared run times; takes the tightest block."""

    def place(self, now: float) -> None:
        """Start jobs in arrival order; later ones may overtake the head if they do not delay it."""
        reservation: BackfillReservation | None = None
        for record in sorted(self.queue.values(), key=_arrival):
            block = self._find_block(record, reservation, now)
            if block is not None:
                self.start(record, block, now)
            elif reservation is None:
                reservation = plan_reservation(
                    self.cluster,
                    record.job,
                    self.records,
                    self.run_times,
                    now,
                    lambda worker_state: worker_state.info.accelerators,
                )

    def _find_block(self, record: JobRecord, reservation: BackfillReservation | None, now: float):
        shape = record.job.shape
        end = now + shape.expected_s

        def units(worker_state: WorkerState) -> int:
            delays_reservation = (
                reservation is not None
                and worker_state.info.worker in reservation.workers
                and end > reservation.start_at
            )
            return 0 if delays_reservation else self.available_units(record, worker_state)

        rules = PlacementRules(
            units, lambda worker_state, count: float(len(worker_state.free) - count)
        )
        return find_block(self.cluster, shape, rules)


def _arrival(record: JobRecord) -> tuple[float, str]:
    return (record.job.submitted_at, record.job.job_id)
