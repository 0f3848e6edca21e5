"""Placement of urgent jobs: within their team's quota and, by limited evictions, beyond it."""

from lacewingmill.models import Shape
from lacewingmill.scheduling.cluster import Block, WorkerState
from lacewingmill.scheduling.messages import Job
from lacewingmill.scheduling.placement import PlacementRules, find_block
from lacewingmill.scheduling.reclaim import (
    ReclaimLimits,
    ReclaimPlan,
    accelerator_equivalent,
    plan_reclaim,
)
from lacewingmill.scheduling.records import JobRecord, JobState
from lacewingmill.scheduling.state import SchedulerState

__all__ = ["QuotaPlanner"]

# An urgent job beyond its team's quota may cause the loss of at most this multiple of its own
# accelerator time: measured in lost accelerator time, an answer in time is worth about twice the
# accelerator time that it takes on the users' platform.
MAX_LOSS_FACTOR = 2.0


class QuotaPlanner:
    """Places queued urgent jobs, evicting other work if necessary."""

    def __init__(self, state: SchedulerState):
        self._state = state

    def place(self, now: float) -> None:
        """Start urgent jobs or evict work for them, oldest first."""
        urgent = [record for record in self._state.queue.values() if record.job.urgent]
        if not urgent:
            return
        urgent.sort(key=lambda record: record.job.submitted_at)
        held = self._quota_usage()
        unplaceable: set[tuple] = set()
        for record in urgent:
            job = record.job
            team = (job.service, job.team)
            needed = held.get(team, 0) + job.shape.accelerators
            guaranteed = needed <= self._state.quotas.get(team, 0)
            avoided = self._state.avoided_workers(job, now)
            signature = (job.shape, job.needs, guaranteed, avoided)
            if signature in unplaceable:
                continue
            if not self._place(record, avoided, guaranteed, now):
                unplaceable.add(signature)
                record.blocked_by = "workers that are free or hold work that it may evict"
            elif guaranteed:
                held[team] = needed

    def _quota_usage(self) -> dict[tuple[str, str], int]:
        """Return how many accelerators of each team's quota are in use, by service and team."""
        held: dict[tuple[str, str], int] = {}
        for record in self._state.records.values():
            job = record.job
            if job.urgent and record.protected:
                team = (job.service, job.team)
                held[team] = held.get(team, 0) + job.shape.accelerators
        return held

    def _place(
        self, record: JobRecord, avoided: frozenset[str], guaranteed: bool, now: float
    ) -> bool:
        state = self._state
        rules = self._free_rules(record, avoided, now)
        shapes = state.candidate_shapes(record.job, now)
        for shape in shapes:
            block = find_block(state.cluster, shape, rules)
            if block is not None:
                self._claim_block(record, block, (), guaranteed, now)
                return True
        for shape in shapes:
            plan = self._plan_reclaim(record, shape, avoided, guaranteed, now)
            if plan is not None:
                self._claim_block(record, plan.block, plan.victims, guaranteed, now)
                return True
        return False

    def _claim_block(
        self,
        record: JobRecord,
        block: Block,
        victims: tuple[str, ...],
        guaranteed: bool,
        now: float,
    ) -> None:
        state = self._state
        shape = record.job.shape
        if guaranteed:
            record.protected = True
            state.slot_table.count_protected(shape, block, 1)
        del state.queue[record.job.job_id]
        if not victims and state.is_free(shape, block):
            state.start(record, block, now)
            return
        record.state = JobState.CLAIMING
        record.block = block
        state.count_pending(shape, block, 1)
        state.pending_claims[record.job.job_id] = record
        record.note(
            now,
            f"waits for the eviction of {', '.join(victims) or 'jobs that are already stopping'}",
        )
        for victim in victims:
            state.evict(state.records[victim], record.job.job_id, now)

    def _plan_reclaim(
        self,
        record: JobRecord,
        shape: Shape,
        avoided: frozenset[str],
        guaranteed: bool,
        now: float,
    ) -> ReclaimPlan | None:
        state = self._state
        job = record.job
        limits = ReclaimLimits(
            is_exempt=None if guaranteed else _is_urgent,
            units=lambda worker_state: self._allowed_units(record, worker_state, avoided, now),
            by_cost=True,
        )
        plan = plan_reclaim(
            state.cluster,
            shape,
            state.records,
            now,
            state.failures.is_suspect,
            state.rules,
            limits,
        )
        if plan is None or guaranteed:
            return plan
        return plan if plan.cost <= self._max_loss(job) else None

    def _max_loss(self, job: Job) -> float:
        return (
            MAX_LOSS_FACTOR
            * self._state.expected_s(job)
            * accelerator_equivalent(job.shape, self._state.rules)
        )

    def _free_rules(self, record: JobRecord, avoided: frozenset[str], now: float) -> PlacementRules:
        shape = record.job.shape

        def units(worker_state: WorkerState) -> int:
            return min(
                worker_state.free_units(shape),
                self._allowed_units(record, worker_state, avoided, now),
            )

        return PlacementRules(units, self._state.placement_cost(record.job, now), by_cost=True)

    def _allowed_units(
        self, record: JobRecord, worker_state: WorkerState, avoided: frozenset[str], now: float
    ) -> int:
        worker = worker_state.info.worker
        if worker in avoided or self._state.failures.probing(worker):
            return 0
        return self._state.allowed_units(record.job, worker_state, now)


def _is_urgent(record: JobRecord) -> bool:
    return record.job.urgent
