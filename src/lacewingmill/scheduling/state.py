"""The state that the planners of a scheduler share, and the operations on it."""

import math
from collections.abc import Callable, Collection

import attrs

from lacewingmill.load.forecast import RunForecast, forecast_from_progress, forecast_from_remaining
from lacewingmill.load.progress import ProgressTracker
from lacewingmill.load.speeds import WorkerSpeeds
from lacewingmill.load.team_use import TeamUse
from lacewingmill.models import Adjacency, Shape
from lacewingmill.scheduling.cluster import Block, Cluster, WorkerState
from lacewingmill.scheduling.departure_notices import TYPICAL_FACTOR, DepartureNotices
from lacewingmill.scheduling.eviction_policy import EvictionRules, lost_work
from lacewingmill.scheduling.guarantees import Slot, SlotTable
from lacewingmill.scheduling.messages import (
    Action,
    EvictGang,
    EvictionReason,
    Job,
    StartGang,
)
from lacewingmill.scheduling.order import OrderRules
from lacewingmill.scheduling.placement import PackingScorer
from lacewingmill.scheduling.records import JobRecord, JobState
from lacewingmill.scheduling.reservation import BackfillReservation, holds_when_empty
from lacewingmill.scheduling.run_times import RunTimeEstimator
from lacewingmill.scheduling.speed_rules import slowness_cost, waits_for_sound_worker
from lacewingmill.scheduling.suspects import FailureRules, FailureTracker

__all__ = ["HELD_STATES", "SchedulerState"]

# Terms of the placement cost, in accelerators: the first two for each accelerator that is taken
# from a reserved block or left over, the others for each worker.
RESERVED_COST = 0.25
LEFTOVER_COST = 0.05
SUSPECT_COST = 100.0
REMOTE_RACK_COST = 30.0
UNLIMITED_UNITS = 1 << 30
# A gang that spans racks takes about three times as long, so waiting up to ten seconds for one rack
# pays off for a job of ten seconds. On a mostly idle cluster, waiting does not make a rack emptier.
RACK_WAIT_S = 10.0
RACK_WAIT_IDLE_S = 2.0
MIN_REMAINING_S = 0.001
HELD_STATES = (JobState.STARTING, JobState.RUNNING, JobState.EVICTING)


class SchedulerState:
    """Jobs, workers, guarantees and estimates of a scheduler.

    :param rules: order, reservations and defragmentation of jobs on borrowed accelerators.
    :param failure_rules: thresholds at which failures count against a worker or a job.
    :param eviction_rules: time limits of evictions for urgent work.
    """

    def __init__(
        self,
        rules: OrderRules,
        failure_rules: FailureRules,
        eviction_rules: EvictionRules | None = None,
    ):
        self.rules = rules
        self.eviction_rules = eviction_rules or EvictionRules()
        self.departures = DepartureNotices(TYPICAL_FACTOR * self.eviction_rules.notice_s)
        self.cluster = Cluster()
        self.slot_table = SlotTable(self.cluster)
        self.records: dict[str, JobRecord] = {}
        self.queue: dict[str, JobRecord] = {}
        self.pending_claims: dict[str, JobRecord] = {}
        self.run_times = RunTimeEstimator()
        self.speeds = WorkerSpeeds()
        self.team_use = TeamUse()
        self.progress = ProgressTracker()
        self._avoided: dict[str, tuple[frozenset[str], float]] = {}
        self.failures = FailureTracker(failure_rules)
        self.configured_shapes: tuple[Shape, ...] = ()
        self.packing = PackingScorer(self.cluster, ())
        self.limits: dict[tuple[str, str], int] = {}
        self.held_accelerators: dict[tuple[str, str], int] = {}
        self.last_urgent_at = float("-inf")
        self.quotas: dict[tuple[str, str], int] = {}
        self.reservation: BackfillReservation | None = None
        self.moving: set[str] = set()
        self.silent: set[str] = set()
        self.leaving: set[str] = set()
        self.evacuated_domains: frozenset[str] = frozenset()
        self.evacuated_racks: frozenset[str] = frozenset()
        self.actions: list[Action] = []

    def start(self, record: JobRecord, block: Block, now: float) -> None:
        """Allocate a block to a job and start it."""
        job = record.job
        if record.slot is None and not job.evictable:
            record.protected = True
            self.slot_table.count_protected(job.shape, block, 1)
        record.block = ()
        record.placement = self.cluster.allocate(job.job_id, job.shape, block)
        record.state = JobState.STARTING
        record.started_at = now
        record.runs += 1
        record.blocked_by = ""
        self.count_held(job, 1)
        kind = "its guarantee" if record.slot is not None else "borrowed accelerators"
        record.note(now, f"placed on {', '.join(record.workers)} on {kind}")
        self.actions.append(StartGang(job.job_id, record.placement, record.slot is not None))

    def requeue(self, record: JobRecord, now: float, why: str) -> None:
        """Release what a job holds and queue it again.

        :param why: reason for the note, for operators.
        """
        self.release(record)
        record.state = JobState.QUEUED
        record.note(now, f"{why}; waits again")
        self.queue[record.job.job_id] = record

    def evict(
        self,
        record: JobRecord,
        for_job: str,
        now: float,
        reason: EvictionReason = EvictionReason.MOVE,
    ) -> None:
        """Order the eviction of a gang; it holds its accelerators until it is released."""
        job = record.job
        lost_s = lost_work(record, now, self.rules)
        record.state = JobState.EVICTING
        record.evictions += 1
        record.note(now, f"evicted for {for_job}")
        self.actions.append(EvictGang(job.job_id, for_job, job.checkpoint, reason, lost_s))

    def end(self, record: JobRecord) -> None:
        """Release what a job holds and forget it."""
        self.release(record)
        self.queue.pop(record.job.job_id, None)
        self.moving.discard(record.job.job_id)
        self._avoided.pop(record.job.job_id, None)
        del self.records[record.job.job_id]

    def release(self, record: JobRecord) -> None:
        """Release what a job holds; the block of a claimed slot is reserved for the slot again."""
        job = record.job
        self.progress.forget(job.job_id)
        block = record.block or record.held_block
        if record.block:
            self.count_pending(job.shape, record.block, -1)
            self.pending_claims.pop(job.job_id, None)
        if record.state in HELD_STATES:
            self.cluster.release(job.job_id, job.shape, record.workers)
            self.count_held(job, -1)
        if record.protected:
            self.slot_table.count_protected(job.shape, block, -1)
        slot, was_protected = record.slot, record.protected
        record.block, record.placement, record.slot, record.protected = (), (), None, False
        if slot is not None:
            slot.holder = ""
            self._return_slot(slot, block)
        if was_protected:
            self.slot_table.fill_shortfalls()  # the released resources may end a shortfall

    def release_member(self, record: JobRecord, worker: str) -> None:
        """Release a gang's accelerators on a lost worker, and the slot that the gang claimed."""
        shape = record.job.shape
        lost = tuple(part for part in record.held_block if part.worker == worker)
        self.cluster.release(record.job.job_id, shape, (worker,))
        if record.protected:
            self.slot_table.count_protected(shape, lost, -1)
        record.placement = tuple(member for member in record.placement if member.worker != worker)
        if record.slot is not None:
            record.slot.holder = ""
            record.slot = None

    def requeue_claims_on(self, worker: str, now: float) -> None:
        """Queue again all pending claims whose block uses a worker."""
        for record in list(self.pending_claims.values()):
            if any(part.worker == worker for part in record.block):
                self.requeue(
                    record, now, f"worker {worker} became unavailable before its gangs were evicted"
                )

    def cordon_workers(self, workers: Collection[str], now: float) -> None:
        """Cordon workers, move their reservations and queue their pending claims again."""
        for worker in workers:
            self.cluster.cordon(worker)
            self.slot_table.unreserve_worker(worker)
        self.slot_table.fill_shortfalls()
        for worker in workers:
            self.requeue_claims_on(worker, now)
        self.reservation = None

    def evacuate(self, domains: frozenset[str], now: float) -> None:
        """Cordon the workers of evacuated failure domains, and uncordon those of released ones."""
        before, self.evacuated_domains = self.evacuated_domains, domains
        evacuated = self.cluster.workers_in(domains)
        self.evacuated_racks = frozenset(
            rack for rack, workers in self.cluster.racks.items() if evacuated.issuperset(workers)
        )
        self.cordon_workers(sorted(self.cluster.workers_in(domains - before)), now)
        for worker in sorted(self.cluster.workers_in(before - domains)):
            self.uncordon_worker(worker)

    def is_evacuated(self, worker: str) -> bool:
        """Return whether a worker's failure domain is evacuated."""
        return self.cluster.workers[worker].info.failure_domain in self.evacuated_domains

    def mark_leaving(self, worker: str, now: float) -> None:
        """Cordon a leaving worker and forget its size, so that no job waits for it."""
        self.leaving.add(worker)
        self.cluster.forget(worker)
        self.cordon_workers((worker,), now)

    def uncordon_worker(self, worker: str) -> None:
        """Uncordon a worker unless it is silent, leaving, quarantined or evacuated."""
        unavailable = worker in self.silent or worker in self.leaving
        if unavailable or self.failures.quarantined(worker) or worker not in self.cluster.workers:
            return
        if self.is_evacuated(worker):
            return
        self.cluster.uncordon(worker)
        self.slot_table.fill_shortfalls()

    def _return_slot(self, slot: Slot, block: Block) -> None:
        """Reserve a released slot's block for it again, or find another if it is unavailable."""
        if slot.retired:
            return
        worker_states = [self.cluster.workers.get(part.worker) for part in block]
        if all(
            worker_state is not None and self.cluster.schedulable(worker_state)
            for worker_state in worker_states
        ):
            self.slot_table.reserve(slot, block)
            return
        self.slot_table.fill_shortfalls()

    def is_free(self, shape: Shape, block: Block) -> bool:
        """Return whether a block is free now."""
        return all(
            self.cluster.workers[part.worker].free_units(shape) >= part.units for part in block
        )

    def count_pending(self, shape: Shape, block: Block, sign: int) -> None:
        """Add a block to the pending resources of its workers; a ``sign`` of -1 subtracts it."""
        for part in block:
            worker_state = self.cluster.workers.get(part.worker)
            if worker_state is not None:
                worker_state.pending.add(shape, sign * part.units)

    def count_held(self, job: Job, sign: int) -> None:
        """Add a job's accelerators to those of its team; a ``sign`` of -1 subtracts them."""
        key = (job.service, job.team)
        self.held_accelerators[key] = (
            self.held_accelerators.get(key, 0) + sign * job.shape.accelerators
        )

    def over_limit(self, job: Job) -> bool:
        """Return whether starting a job would exceed its team's limit of accelerators."""
        limit = self.limits.get((job.service, job.team))
        if not limit:
            return False
        held_accelerators = self.held_accelerators.get((job.service, job.team), 0)
        return held_accelerators + job.shape.accelerators > limit

    def expected_s(self, job: Job) -> float:
        """Return a job's expected run time, in seconds."""
        if not self.rules.use_learned_run_times:
            return job.shape.expected_s
        return self.run_times.estimate(job.service, job.shape.name, job.shape.expected_s)

    def remaining_s(self, record: JobRecord, now: float) -> float:
        """Return the expected remaining run time of a running job, in seconds."""
        measured_s = self.progress.remaining_s(record.job.job_id, now)
        if measured_s is not None and math.isfinite(measured_s):
            return max(measured_s, MIN_REMAINING_S)
        return self._remaining_by_estimate_s(record, now)

    def _slowdown(self, record: JobRecord, now: float) -> float:
        """Return the slowdown of the slowest worker of a running job."""
        slow = self.speeds.slow_workers(now)
        if not slow:
            return 1.0
        return max((slow.get(worker, 1.0) for worker in record.workers), default=1.0)

    def _remaining_by_estimate_s(self, record: JobRecord, now: float) -> float:
        job = record.job
        slowdown = self._slowdown(record, now)
        elapsed = now - record.started_at + record.done_s
        return slowdown * self.run_times.estimate_remaining(
            job.service, job.shape.name, job.shape.expected_s, elapsed / slowdown
        )

    def forecast(self, record: JobRecord, now: float) -> RunForecast:
        """Return when a running job is expected to end."""
        measured_s = self.progress.remaining_s(record.job.job_id, now)
        if measured_s is not None and math.isfinite(measured_s):
            return forecast_from_progress(max(measured_s, MIN_REMAINING_S), now)
        spread = self.run_times.spread(record.job.service, record.job.shape.name)
        return forecast_from_remaining(self._remaining_by_estimate_s(record, now), now, spread)

    def is_starving(self, record: JobRecord, now: float) -> bool:
        """Return whether a wide gang has waited so long that it should get a reservation."""
        return (
            record.job.shape.accelerators > 1
            and self.has_waited_long(record.job, now)
            and not self.over_limit(record.job)
        )

    def has_waited_long(self, job: Job, now: float) -> bool:
        """Return whether a job has waited for long compared with its expected run time."""
        rules = self.rules
        wait_limit_s = max(
            rules.min_reservation_wait_s, rules.reservation_wait_factor * self.expected_s(job)
        )
        return now - job.submitted_at >= wait_limit_s

    def avoids_suspects(self, job: Job, now: float) -> bool:
        """Return whether a job avoids workers that have failed jobs, as it cannot be run again."""
        return not job.idempotent and not self.has_waited_long(job, now)

    def usable_accelerators(self) -> tuple[int, int]:
        """Return the free and the total accelerators outside evacuated failure domains."""
        free, total = self.cluster.free_accelerators, self.cluster.total_accelerators
        for domain in self.evacuated_domains:
            free -= self.cluster.group_free(Adjacency.FAILURE_DOMAIN, domain)
            total -= self.cluster.domain_accelerators(domain)
        return free, total

    def usable_workers(self) -> list[WorkerState]:
        """Return the workers outside evacuated failure domains."""
        return [
            worker_state
            for worker_state in self.cluster.workers.values()
            if worker_state.info.failure_domain not in self.evacuated_domains
        ]

    def avoided_workers(self, job: Job, now: float) -> frozenset[str]:
        """Return the workers that a job may not use now because it has failed on them.

        It returns to them after a short time, unless it is worth waiting for others: those must be
        able to hold it, and the cluster must be so busy that they may not have been free yet.
        """
        rules = self.failures.rules
        slow = self._slow_workers_left(job.job_id, now)
        avoided = self.failures.failed_on(job.job_id, now - rules.window_s)
        if not avoided:
            return slow
        avoided |= slow

        def units(worker_state: WorkerState) -> int:
            if worker_state.info.worker in avoided:
                return 0
            return self.allowed_units(job, worker_state, now)

        free, total = self.usable_accelerators()
        busy = 2 * free < total
        if busy and any(
            holds_when_empty(self.cluster, attrs.evolve(job, shape=shape), self.records, units)
            for shape in self.candidate_shapes(job, now)
        ):
            return avoided
        return self.failures.failed_on(job.job_id, now - rules.return_s) | slow

    def avoid(self, job_id: str, workers: frozenset[str], until: float) -> None:
        """Keep a job off workers until a time, in seconds."""
        self._avoided[job_id] = (workers, until)

    def _slow_workers_left(self, job_id: str, now: float) -> frozenset[str]:
        workers, until = self._avoided.get(job_id, (frozenset(), 0.0))
        return workers if now < until else frozenset()

    def placement_cost(self, job: Job, now: float) -> Callable[[WorkerState, int], float]:
        """Return the cost function of a job's placements.

        The cost adds up the accelerators that become unusable for gangs, those taken from reserved
        blocks and those left over on the worker, and penalties for workers that have failed jobs,
        for slow workers and for workers on other racks than the job's data.
        """
        size = job.shape.unit_accelerators
        slow = self.speeds.slow_workers(now)
        expected_s = self.expected_s(job) if slow else 0.0

        def worker_cost(worker_state: WorkerState, units: int) -> float:
            taken = units * size
            leftover = len(worker_state.free) - taken
            reserved_taken = max(0, worker_state.reserved.accelerators - leftover)
            cost = self.packing.loss(worker_state, taken)
            cost += RESERVED_COST * reserved_taken + LEFTOVER_COST * leftover
            if self.failures.is_suspect(worker_state.info.worker):
                cost += SUSPECT_COST
            if job.needs.rack and job.needs.rack != worker_state.info.rack:
                cost += REMOTE_RACK_COST
            slowdown = slow.get(worker_state.info.worker)
            if slowdown is not None:
                cost += slowness_cost(job, expected_s, slowdown, now)
            return cost

        return worker_cost

    def candidate_shapes(self, job: Job, now: float) -> tuple[Shape, ...]:
        """Return the shapes in which a job may be placed now, in order of preference."""
        if not job.needs.same_rack:
            return (job.shape,)
        single_rack = attrs.evolve(job.shape, adjacency=Adjacency.RACK)
        if not self.cluster.fits_when_empty(single_rack):
            return (job.shape,)
        waited_s = now - job.submitted_at
        free, total = self.usable_accelerators()
        idle = 2 * free > total
        max_wait_s = RACK_WAIT_IDLE_S if idle else RACK_WAIT_S
        return (single_rack, job.shape) if waited_s > max_wait_s else (single_rack,)

    def allowed_units(self, job: Job, worker_state: WorkerState, now: float) -> int:
        """Return how many members of a job a worker may take under the job's constraints."""
        needs = job.needs
        slowdown = self.speeds.slow_workers(now).get(worker_state.info.worker)
        if slowdown is not None and waits_for_sound_worker(job, slowdown, now):
            return 0
        if needs.only is not None and worker_state.info.worker not in needs.only:
            return 0
        if needs.label and needs.label not in worker_state.info.labels:
            return 0
        if (
            needs.rack
            and needs.rack != worker_state.info.rack
            and needs.rack not in self.evacuated_racks
            and not self.has_waited_long(job, now)
        ):
            return 0
        if not needs.max_per_worker:
            return UNLIMITED_UNITS
        present = sum(
            units
            for job_id, units in worker_state.members.items()
            if self.records[job_id].job.needs.group == needs.group
        )
        claimed = sum(
            part.units
            for record in self.pending_claims.values()
            if record.job.needs.group == needs.group and record.job.job_id != job.job_id
            for part in record.block
            if part.worker == worker_state.info.worker
        )
        return max(0, needs.max_per_worker - present - claimed)
