"""The scheduler of a cell: it handles events and returns actions, without I/O.

The owner of a cell and the benchmarks use the same class. The current time is passed with each
call.
"""

from collections.abc import Iterable
from functools import singledispatchmethod

import attrs

from lacewingmill.models import Shape
from lacewingmill.scheduling.adoption import adopt_gang
from lacewingmill.scheduling.borrowing import BorrowPlanner
from lacewingmill.scheduling.claims import ClaimPlanner
from lacewingmill.scheduling.cluster import Cluster
from lacewingmill.scheduling.defragmenter import Defragmenter
from lacewingmill.scheduling.departures import DeparturePlanner
from lacewingmill.scheduling.eviction_policy import EvictionRules
from lacewingmill.scheduling.guarantees import SlotTable
from lacewingmill.scheduling.messages import (
    Action,
    DomainsEvacuated,
    Event,
    EvictGang,
    FailJob,
    GangRecovered,
    GangRejected,
    GangReleased,
    GangStarted,
    GuaranteesChanged,
    Job,
    JobCancelled,
    JobFailed,
    JobFinished,
    JobSubmitted,
    NeedsChanged,
    ProgressReported,
    RefuseJob,
    StopGang,
    Tick,
    WorkerAnswered,
    WorkerJoined,
    WorkerLeaving,
    WorkerLost,
    WorkerSilent,
    block_name,
)
from lacewingmill.scheduling.moves import MovePlanner
from lacewingmill.scheduling.order import OrderRules
from lacewingmill.scheduling.placement import PackingScorer
from lacewingmill.scheduling.progress_learner import ProgressLearner
from lacewingmill.scheduling.queue_order import QueueOrder
from lacewingmill.scheduling.quotas import QuotaPlanner
from lacewingmill.scheduling.records import JobRecord, JobState
from lacewingmill.scheduling.state import HELD_STATES, SchedulerState
from lacewingmill.scheduling.suspects import FailureRules
from lacewingmill.scheduling.value_order import WaitingOrder

__all__ = ["Scheduler"]


class Scheduler:
    """Decides which gang runs where.

    :param rules: order, reservations and defragmentation of jobs on borrowed accelerators.
    :param failure_rules: thresholds at which failures count against a worker or a job.
    :param eviction_rules: time limits of evictions for urgent work.
    :param order: order of the jobs with an objective; by lost value by default.
    """

    def __init__(
        self,
        rules: OrderRules | None = None,
        failure_rules: FailureRules | None = None,
        eviction_rules: EvictionRules | None = None,
        order: WaitingOrder | None = None,
    ):
        self._state = SchedulerState(
            rules or OrderRules(), failure_rules or FailureRules(), eviction_rules
        )
        self._claims = ClaimPlanner(self._state)
        self._queue_order = queue_order = QueueOrder(self._state, order)
        self._quotas = QuotaPlanner(self._state, queue_order)
        self._borrowing = BorrowPlanner(self._state, queue_order)
        self._defragmenter = Defragmenter(self._state)
        self._departures = DeparturePlanner(self._state)
        self._learner = ProgressLearner(self._state)
        self._moves = MovePlanner(self._state)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle an event and return the actions to take.

        :param now: current time, in seconds.
        """
        return self.handle_all((event,), now)

    def handle_all(self, events: Iterable[Event], now: float) -> list[Action]:
        """Handle events in order, plan once and return the actions to take.

        :param now: current time, in seconds.
        """
        for event in events:
            self.apply(event, now)
        return self.plan(now)

    def apply(self, event: Event, now: float) -> None:
        """Update the state by an event; what follows from it is decided by :meth:`plan`.

        :param now: current time, in seconds.
        """
        self._apply(event, now)

    def plan(self, now: float) -> list[Action]:
        """Place the queued jobs and return the actions to take.

        :param now: current time, in seconds.
        """
        state = self._state
        state.team_use.update(state.held_accelerators, now)
        self._start_probes(now)
        self._claims.start_pending(now)
        self._quotas.evict_deferred(now)
        self._claims.place(now)
        self._quotas.place(now)
        self._borrowing.place(now)
        self._departures.stop_early(now)
        if state.rules.defragment:
            self._defragmenter.defragment(now)
        self._moves.plan(now)
        actions, state.actions = state.actions, []
        return actions

    @property
    def state(self) -> SchedulerState:
        """The state of the scheduler, for pictures of the load; only the scheduler changes it."""
        return self._state

    @property
    def cluster(self) -> Cluster:
        """The workers of the cell and their accelerators."""
        return self._state.cluster

    @property
    def slot_table(self) -> SlotTable:
        """The guaranteed slots."""
        return self._state.slot_table

    @property
    def records(self) -> dict[str, JobRecord]:
        """The records of jobs that have not ended, by job id."""
        return self._state.records

    @property
    def configured_shapes(self) -> tuple[Shape, ...]:
        """The configured shapes."""
        return self._state.configured_shapes

    @property
    def quarantined(self) -> frozenset[str]:
        """The workers that get no work for now because several jobs failed on them."""
        failures = self._state.failures
        return frozenset(name for name in self.cluster.cordoned if failures.quarantined(name))

    @property
    def silent(self) -> frozenset[str]:
        """The workers that get no work for now because they do not answer."""
        return frozenset(self._state.silent)

    @property
    def leaving(self) -> frozenset[str]:
        """The workers that are about to leave; their gangs keep running."""
        return frozenset(self._state.leaving)

    @property
    def largest_team_use(self) -> float:
        """The largest use of a team against its share; 1.0 for a team that uses its share."""
        return self._queue_order.largest_team_use()

    def slow_workers(self, now: float) -> dict[str, float]:
        """Return the workers that are slower than usual, with the factors.

        :param now: current time, in seconds.
        """
        slow = self._state.speeds.slow_workers(now)
        return {worker: factor for worker, factor in slow.items() if worker in self.cluster.workers}

    def queued_jobs(self) -> list[tuple[str, Job]]:
        """Return the queued jobs with their ids."""
        return [(job_id, record.job) for job_id, record in self._state.queue.items()]

    @property
    def queued(self) -> int:
        """The number of queued jobs."""
        return len(self._state.queue)

    @singledispatchmethod
    def _apply(self, event: Event, now: float) -> None:
        raise TypeError(f"unknown event type {type(event).__name__}")

    @_apply.register
    def _(self, event: Tick, now: float) -> None:
        pass

    @_apply.register
    def _(self, event: DomainsEvacuated, now: float) -> None:
        self._state.evacuate(event.domains, now)

    @_apply.register
    def _(self, event: ProgressReported, now: float) -> None:
        record = self._state.records.get(event.job_id)
        if record is not None:
            self._learner.report(record, event)

    @_apply.register
    def _(self, event: JobSubmitted, now: float) -> None:
        job = event.job
        if job.job_id in self._state.records:
            return
        reason = self._refusal_reason(job)
        if reason:
            self._state.actions.append(RefuseJob(job.job_id, reason))
            return
        record = JobRecord(job)
        if job.urgent:
            self._state.last_urgent_at = now
        self._state.records[job.job_id] = record
        self._state.queue[job.job_id] = record

    @_apply.register
    def _(self, event: NeedsChanged, now: float) -> None:
        for record in self._state.records.values():
            if record.job.needs.group == event.needs.group:
                record.job = attrs.evolve(record.job, needs=event.needs)

    @_apply.register
    def _(self, event: JobCancelled, now: float) -> None:
        record = self._state.records.get(event.job_id)
        if record is None:
            return
        if record.state is JobState.EVICTING:
            record.cancelled = True
            return
        running = record.state in HELD_STATES
        self._state.end(record)
        if running:
            self._state.actions.append(StopGang(event.job_id, "the job was cancelled"))

    @_apply.register
    def _(self, event: GangStarted, now: float) -> None:
        record = self._state.records.get(event.job_id)
        if record is None or record.state is not JobState.STARTING:
            return
        record.state = JobState.RUNNING
        record.started_at = now
        self._learner.begin(record, now)
        record.note(now, "all members are running")

    @_apply.register
    def _(self, event: GangRejected, now: float) -> None:
        record = self._state.records.get(event.job_id)
        if record is None or record.state not in HELD_STATES:
            return
        if not event.silent:
            self._record_failure(record, event.worker, now)
        self._state.requeue(
            record, now, f"worker {event.worker} rejected its part of the gang or did not answer"
        )

    @_apply.register
    def _(self, event: GangReleased, now: float) -> None:
        record = self._state.records.get(event.job_id)
        if record is None or record.state is not JobState.EVICTING:
            return
        record.done_s = self._learner.saved_s(record, event.saved_s)
        self._state.moving.discard(event.job_id)
        if record.cancelled:
            self._state.end(record)
            return
        self._state.requeue(record, now, "released its accelerators")

    @_apply.register
    def _(self, event: JobFinished, now: float) -> None:
        record = self._state.records.get(event.job_id)
        if record is None:
            return
        self._learner.finish(record, event.run_s, now)
        self._state.failures.record_success(event.job_id, record.workers)
        self._state.end(record)

    @_apply.register
    def _(self, event: JobFailed, now: float) -> None:
        record = self._state.records.get(event.job_id)
        if record is None:
            return
        bad_job = self._record_failure(record, event.worker, now)
        if record.job.idempotent and not bad_job:
            self._state.requeue(record, now, f"failed on worker {event.worker}")
            return
        self._state.failures.forget_job(event.job_id)
        self._state.end(record)
        self._state.actions.append(FailJob(event.job_id, f"failed on worker {event.worker}"))

    @_apply.register
    def _(self, event: WorkerJoined, now: float) -> None:
        if event.info.worker in self._state.cluster.workers:
            return
        self._state.cluster.add(event.info)
        if event.leaving:
            self._state.mark_leaving(event.info.worker, now)
            return
        if self._state.is_evacuated(event.info.worker):
            self._state.cordon_workers((event.info.worker,), now)
            return
        self._state.slot_table.fill_shortfalls()
        self._state.reservation = None

    @_apply.register
    def _(self, event: WorkerLost, now: float) -> None:
        worker_state = self._state.cluster.workers.get(event.worker)
        if event.left:
            self._state.cluster.forget(event.worker)
        if worker_state is None:
            return
        self._state.departures.record_departure(event.worker, now)
        self._state.speeds.forget(event.worker)
        self._state.requeue_claims_on(event.worker, now)
        for job_id in list(worker_state.gangs):
            self._handle_lost_worker(self._state.records[job_id], event.worker, now)
        self._state.slot_table.unreserve_worker(event.worker)
        self._state.cluster.remove(event.worker)
        self._state.silent.discard(event.worker)
        self._state.leaving.discard(event.worker)
        self._state.slot_table.fill_shortfalls()
        self._state.reservation = None

    @_apply.register
    def _(self, event: WorkerSilent, now: float) -> None:
        if event.worker not in self._state.cluster.workers or event.worker in self._state.silent:
            return
        self._state.silent.add(event.worker)
        self._state.departures.record_departure(event.worker, now)
        self._state.cordon_workers((event.worker,), now)

    @_apply.register
    def _(self, event: WorkerAnswered, now: float) -> None:
        if event.worker not in self._state.silent:
            return
        self._state.silent.discard(event.worker)
        self._state.uncordon_worker(event.worker)

    @_apply.register
    def _(self, event: WorkerLeaving, now: float) -> None:
        state = self._state
        worker_state = state.cluster.workers.get(event.worker)
        if worker_state is None:
            return
        if event.stays:
            state.leaving.discard(event.worker)
            state.departures.withdraw(event.worker)
            state.cluster.remember(worker_state.info)
            state.uncordon_worker(event.worker)
            return
        state.mark_leaving(event.worker, now)
        state.departures.record_notice(event.worker, now)

    @_apply.register
    def _(self, event: GuaranteesChanged, now: float) -> None:
        self._state.limits = {
            (limit.service, limit.team): limit.max_accelerators
            for limit in event.limits
            if limit.max_accelerators
        }
        self._state.quotas = {
            (quota.service, quota.team): quota.accelerators for quota in event.quotas
        }
        self._state.configured_shapes = event.configured_shapes
        self._state.packing = PackingScorer(self._state.cluster, event.configured_shapes)
        self._state.slot_table.configure(event.slots)
        self._state.reservation = None

    @_apply.register
    def _(self, event: GangRecovered, now: float) -> None:
        record = adopt_gang(self._state, event.gang)
        self._learner.begin(record, now)
        record.note(now, "recovered by a new owner while running")

    def _refusal_reason(self, job: Job) -> str:
        """Return why a job can never run; empty if it can."""
        shape = job.shape
        limit = self._state.limits.get((job.service, job.team))
        if limit and shape.accelerators > limit:
            return (
                f"shape {shape.name} needs {shape.accelerators} accelerators, but team {job.team} "
                f"may hold at most {limit}"
            )
        if not self._state.cluster.fits_when_empty(shape):
            return (
                f"shape {shape.name} needs {shape.accelerators} accelerators in one "
                f"{block_name(shape.adjacency)}, more than any has"
            )
        return ""

    def _record_failure(self, record: JobRecord, worker: str, now: float) -> bool:
        """Record a failure and return whether the job itself is considered bad."""
        worker_state = self._state.cluster.workers.get(worker)
        if worker_state is None:
            return False
        rack = frozenset(self._state.cluster.racks.get(worker_state.info.rack, ()))
        verdict = self._state.failures.record_failure(record.job.job_id, worker, rack, now)
        if verdict.quarantine:
            self._state.cordon_workers((worker,), now)
        return verdict.bad_job

    def _start_probes(self, now: float) -> None:
        for worker in self._state.failures.start_due_probes(now):
            self._state.uncordon_worker(worker)

    def _handle_lost_worker(self, record: JobRecord, worker: str, now: float) -> None:
        """End a gang that lost a member with its worker; it runs again only if idempotent."""
        job = record.job
        self._state.release_member(record, worker)
        if record.state is JobState.EVICTING:
            return
        if job.idempotent:
            record.state = JobState.EVICTING
            record.note(now, f"worker {worker} was lost; the whole gang is stopped")
            self._state.actions.append(EvictGang(job.job_id, "", checkpoint=False))
            return
        self._state.actions.append(StopGang(job.job_id, f"worker {worker} was lost"))
        self._state.end(record)
        self._state.actions.append(
            FailJob(job.job_id, f"worker {worker} was lost while the job ran")
        )
