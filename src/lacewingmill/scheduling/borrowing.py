"""Placement of jobs on borrowed accelerators, and the backfill reservation for one wide gang."""

import attrs

from lacewingmill.models import Shape
from lacewingmill.scheduling.cluster import Block, WorkerState
from lacewingmill.scheduling.messages import DeferJob, Job, Needs
from lacewingmill.scheduling.order import has_slack
from lacewingmill.scheduling.placement import PlacementRules, find_block
from lacewingmill.scheduling.queue_order import QueueOrder
from lacewingmill.scheduling.records import JobRecord
from lacewingmill.scheduling.reservation import plan_reservation
from lacewingmill.scheduling.state import SchedulerState

__all__ = ["BorrowPlanner"]

# Urgent jobs arrive about once a second; after this time without one, no headroom is kept.
URGENT_IDLE_S = 4.0


class BorrowPlanner:
    """Places queued jobs on accelerators that their team has no guarantee for."""

    def __init__(self, state: SchedulerState, order: QueueOrder):
        self._state = state
        self._order = order

    def place(self, now: float) -> None:
        """Place queued jobs in order; a reservation keeps a block for one wide gang."""
        if not self._state.queue:
            return
        ranked = self._order.sort(self._state.queue.values(), now)
        self._report_too_late(ranked, now)
        self._refresh_reservation(ranked, now)
        unplaceable: set[tuple[Shape, bool, bool, Needs, frozenset[str]]] = set()
        for record in ranked:
            job = record.job
            avoids_suspects = self._state.avoids_suspects(job, now)
            avoided = self._state.avoided_workers(job, now)
            signature = (job.shape, job.evictable, avoids_suspects, job.needs, avoided)
            if signature in unplaceable and not self._is_reserved_for(record):
                continue
            if self._state.over_limit(job):
                record.blocked_by = "its team to use fewer accelerators than its limit"
                continue
            block = self._find_block(record, avoided, now)
            if block is None:
                unplaceable.add(signature)
                record.blocked_by = "a free block of its shape"
                continue
            del self._state.queue[job.job_id]
            self._state.start(record, block, now)

    def _report_too_late(self, records: list[JobRecord], now: float) -> None:
        """Report each job once that has become too late while it waits."""
        late: dict[str, bool] = {}  # the units of a step are alike
        for record in records:
            if record.deferred:
                continue
            name = record.job.needs.group or record.job.job_id
            if name not in late:
                late[name] = self._order.too_late(record, now)
            if late[name]:
                record.deferred = True
                record.note(now, "is expected to end too late; others go first")
                self._state.actions.append(DeferJob(record.job.job_id))

    def _find_block(self, record: JobRecord, avoided: frozenset[str], now: float) -> Block | None:
        rules = self._placement_rules(record, avoided, now)
        for shape in self._state.candidate_shapes(record.job, now):
            block = find_block(self._state.cluster, shape, rules)
            if block is not None:
                return block
        if record.job.evictable:
            return None
        return self._find_by_moving_reservations(record, avoided, now)

    def _placement_rules(
        self,
        record: JobRecord,
        avoided: frozenset[str],
        now: float,
        *,
        ignore_reservations: bool = False,
    ) -> PlacementRules:
        job = record.job
        expected = self._state.expected_s(job) - record.done_s
        avoids_suspects = self._state.avoids_suspects(job, now)
        keeps_headroom = self._keeps_headroom(job, expected, now)

        def units(worker_state: WorkerState) -> int:
            worker = worker_state.info.worker
            if worker in avoided or not self._accepts_job(job, worker, worker_state):
                return 0
            if avoids_suspects and self._state.failures.is_suspect(worker):
                return 0
            if self._delays_reservation(record, worker, now + expected):
                return 0
            if keeps_headroom and not worker_state.members:
                return 0
            free = min(
                worker_state.free_units(job.shape),
                self._state.allowed_units(job, worker_state, now),
            )
            if job.evictable:
                return free
            limit = (
                worker_state.unprotected_units
                if ignore_reservations
                else worker_state.claimable_units
            )
            return min(free, limit(job.shape))

        return PlacementRules(
            units, self._state.placement_cost(job, now), by_cost=job.objective is not None
        )

    def _keeps_headroom(self, job: Job, expected_s: float, now: float) -> bool:
        """Return whether a job must leave the last empty workers to urgent jobs.

        This holds for jobs with slack while urgent jobs arrive, if at least half of the
        accelerators are in use and the job would leave too few workers empty.
        """
        share = self._state.rules.headroom
        if not share or job.urgent or job.objective is None:
            return False
        if not has_slack(job.objective, expected_s, now):
            return False
        if now - self._state.last_urgent_at > URGENT_IDLE_S:
            return False
        free, total = self._state.usable_accelerators()
        if 2 * free > total:
            return False
        workers = self._state.usable_workers()
        empty = sum(1 for worker_state in workers if not worker_state.members)
        mean_accelerators = total / max(1, len(workers))
        taken = max(1.0, job.shape.accelerators / max(1.0, mean_accelerators))
        return empty - taken < share * len(workers)

    def _accepts_job(self, job: Job, worker: str, worker_state: WorkerState) -> bool:
        """Return whether a worker accepts a job; a probed one takes a single idempotent job."""
        if not self._state.failures.probing(worker):
            return True
        return job.idempotent and not worker_state.gangs

    def _find_by_moving_reservations(
        self, record: JobRecord, avoided: frozenset[str], now: float
    ) -> Block | None:
        rules = self._placement_rules(record, avoided, now, ignore_reservations=True)
        block = find_block(self._state.cluster, record.job.shape, rules)
        if block is not None and self._state.slot_table.make_room(record.job.shape, block):
            return block
        return None

    def _keeps_reservation(self, now: float) -> bool:
        """Return whether the reservation stays: its job waits, can be in time, and is not due."""
        current = self._state.reservation
        if current is None or now >= current.start_at:
            return False
        record = self._state.queue.get(current.job_id)
        return record is not None and not self._order.too_late(record, now)

    def _refresh_reservation(self, ranked: list[JobRecord], now: float) -> None:
        if self._keeps_reservation(now):
            return
        self._state.reservation = None
        starving = [
            record
            for record in ranked
            if self._state.is_starving(record, now) and not self._order.too_late(record, now)
        ]
        if not starving:
            return
        chosen = min(starving, key=lambda record: self._order.last_start(record))
        shape = self._state.candidate_shapes(chosen.job, now)[0]
        avoided = self._state.avoided_workers(chosen.job, now)

        def units(worker_state: WorkerState) -> int:
            if worker_state.info.worker in avoided:
                return 0
            return self._state.allowed_units(chosen.job, worker_state, now)

        self._state.reservation = plan_reservation(
            self._state.cluster,
            attrs.evolve(chosen.job, shape=shape),
            self._state.records,
            self._state.run_times,
            now,
            units,
        )

    def _delays_reservation(self, record: JobRecord, worker: str, end: float) -> bool:
        """Return whether a job that ends at ``end`` on a worker would delay the reservation."""
        reservation = self._state.reservation
        if reservation is None or self._is_reserved_for(record):
            return False
        return worker in reservation.workers and end > reservation.start_at

    def _is_reserved_for(self, record: JobRecord) -> bool:
        return (
            self._state.reservation is not None
            and self._state.reservation.job_id == record.job.job_id
        )
