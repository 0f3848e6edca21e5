"""Urgent jobs: the accelerators that belong to their team, and work they may evict for more."""

from lacewingmill.models import Shape
from lacewingmill.scheduling.cluster import Block, Node
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

# An urgent job beyond its team's quota may destroy at most this multiple of the accelerator time
# that it needs itself: on the users' platform an answer in time is worth about twice its own work
# at the price of work thrown away.
WORTHWHILE_LOSS = 2.0


class QuotaPlanner:
    """Places queued urgent jobs, by evicting other work if need be."""

    def __init__(self, state: SchedulerState):
        self._state = state

    def place(self, now: float) -> None:
        """Start or prepare urgent jobs, oldest first."""
        urgent = [record for record in self._state.queue.values() if record.job.urgent]
        if not urgent:
            return
        urgent.sort(key=lambda record: record.job.submitted_at)
        held = self._held_of_quotas()
        failed: set[tuple] = set()
        for record in urgent:
            job = record.job
            team = (job.service, job.team)
            wanted = held.get(team, 0) + job.shape.accelerators
            guaranteed = wanted <= self._state.quotas.get(team, 0)
            kind = (job.shape, job.needs, guaranteed)
            if kind in failed:
                continue
            if not self._place(record, guaranteed, now):
                failed.add(kind)
                record.blocked_by = "workers that hold no work of its own rank"
            elif guaranteed:
                held[team] = wanted

    def _held_of_quotas(self) -> dict[tuple[str, str], int]:
        """Return the accelerators that urgent jobs hold of their teams' quotas."""
        held: dict[tuple[str, str], int] = {}
        for record in self._state.records.values():
            job = record.job
            if job.urgent and record.protected:
                team = (job.service, job.team)
                held[team] = held.get(team, 0) + job.shape.accelerators
        return held

    def _place(self, record: JobRecord, guaranteed: bool, now: float) -> bool:
        state = self._state
        rules = self._free_rules(record, now)
        shapes = state.placed_shapes(record.job, now)
        for shape in shapes:
            block = find_block(state.cluster, shape, rules)
            if block is not None:
                self._take(record, block, (), guaranteed, now)
                return True
        for shape in shapes:
            plan = self._reclaim(record, shape, guaranteed, now)
            if plan is not None:
                self._take(record, plan.block, plan.victims, guaranteed, now)
                return True
        return False

    def _take(
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
        if not victims and state.free_now(shape, block):
            state.start(record, block, now)
            return
        record.state = JobState.CLAIMING
        record.block = block
        state.count_pending(shape, block, 1)
        state.pending_claims[record.job.job_id] = record
        record.note(now, f"waits for the eviction of {', '.join(victims) or 'nothing new'}")
        for victim in victims:
            state.evict(state.records[victim], record.job.job_id, now)

    def _reclaim(
        self, record: JobRecord, shape: Shape, guaranteed: bool, now: float
    ) -> ReclaimPlan | None:
        state = self._state
        job = record.job
        limits = ReclaimLimits(
            spare=None if guaranteed else _is_urgent,
            units=lambda node: self._units(record, node, now),
            by_rank=True,
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
        return plan if plan.cost <= self._worthwhile_loss(job) else None

    def _worthwhile_loss(self, job: Job) -> float:
        return (
            WORTHWHILE_LOSS
            * self._state.expected_s(job)
            * accelerator_equivalent(job.shape, self._state.rules)
        )

    def _free_rules(self, record: JobRecord, now: float) -> PlacementRules:
        shape = record.job.shape

        def units(node: Node) -> int:
            return min(node.free_units(shape), self._units(record, node, now))

        return PlacementRules(units, self._state.placement_cost(record.job), by_rank=True)

    def _units(self, record: JobRecord, node: Node, now: float) -> int:
        worker = node.info.worker
        failures = self._state.failures
        if worker in failures.failed_on(record.job.job_id) or failures.probing(worker):
            return 0
        return self._state.needs_units(record.job, node, now)


def _is_urgent(record: JobRecord) -> bool:
    return record.job.urgent
