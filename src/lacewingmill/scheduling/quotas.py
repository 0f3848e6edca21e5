"""Placement of urgent jobs: within their team's quota and, by limited evictions, beyond it."""

from lacewingmill.models import Shape
from lacewingmill.scheduling.cluster import Block, WorkerState
from lacewingmill.scheduling.eviction_policy import (
    ends_in_time,
    evictable_beyond_quota,
    is_on_time,
    latest_stop_at,
    max_loss,
    victim_cost,
    wait_cost,
)
from lacewingmill.scheduling.messages import EvictionReason
from lacewingmill.scheduling.placement import PlacementRules, find_block
from lacewingmill.scheduling.queue_order import QueueOrder
from lacewingmill.scheduling.reclaim import (
    ReclaimLimits,
    ReclaimPlan,
    plan_reclaim,
    victims_of_claim,
)
from lacewingmill.scheduling.records import JobRecord, JobState
from lacewingmill.scheduling.state import SchedulerState

__all__ = ["QuotaPlanner"]


class QuotaPlanner:
    """Places queued urgent jobs, evicting other work if necessary."""

    def __init__(self, state: SchedulerState, order: QueueOrder):
        self._state = state
        self._order = order

    def place(self, now: float) -> None:
        """Start urgent jobs or evict work for them, in the order of the queue."""
        urgent = [record for record in self._state.queue.values() if record.job.urgent]
        if not urgent:
            return
        urgent = self._order.sort(urgent, now)
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

    def evict_deferred(self, now: float) -> None:
        """Evict what has not ended by itself for the pending claims that waited for it."""
        for record in list(self._state.pending_claims.values()):
            if record.evicts_at and now >= record.evicts_at:
                self._evict_deferred(record, now)

    def _evict_deferred(self, record: JobRecord, now: float) -> None:
        state = self._state
        shape = record.job.shape
        guaranteed = record.protected
        state.count_pending(shape, record.block, -1)
        victims = victims_of_claim(
            state.cluster,
            shape,
            record.block,
            state.records,
            now,
            state.rules,
            ReclaimLimits(
                is_exempt=None if guaranteed else _is_exempt_beyond_quota,
                cost=lambda victim: victim_cost(victim, now, state.rules),
            ),
        )
        state.count_pending(shape, record.block, 1)
        if not guaranteed and self._loses_too_much(record, victims, now):
            state.requeue(record, now, "would stop work that is worth more")
            return
        self._evict(record, victims, record.evicts_at, guaranteed, now)

    def _loses_too_much(self, record: JobRecord, victims: tuple[str, ...], now: float) -> bool:
        state = self._state
        cost = sum(victim_cost(state.records[victim], now, state.rules) for victim in victims)
        return cost > max_loss(record.job, state.expected_s(record.job), state.rules)

    def _evict(
        self,
        record: JobRecord,
        victims: tuple[str, ...],
        stop_at: float,
        guaranteed: bool,
        now: float,
    ) -> None:
        """Evict the victims of a claim, except those that may end by themselves in time.

        :param stop_at: last moment for the evictions, in seconds.
        """
        state = self._state
        reason = EvictionReason.GUARANTEED if guaranteed else EvictionReason.BEYOND_QUOTA
        deferred = False
        for victim in victims:
            victim_record = state.records[victim]
            if self._may_end(victim_record, stop_at, guaranteed, now):
                deferred = True
                continue
            state.evict(victim_record, record.job.job_id, now, reason)
        record.evicts_at = stop_at if deferred else 0.0

    def _may_end(self, victim: JobRecord, stop_at: float, guaranteed: bool, now: float) -> bool:
        """Return whether a victim is left to end by itself.

        No forecast counts once the last moment for a stop has come; beyond a quota, a gang that is
        nearly done has as long to end as its stop would take.
        """
        state = self._state
        patience_s = 0.0 if guaranteed else state.eviction_rules.stop_s
        if now >= stop_at + patience_s:
            return False
        return ends_in_time(state.forecast(victim, now), max(now, stop_at), state.eviction_rules)

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
                self._claim_block(record, block, (), now, guaranteed, now)
                return True
        expected_s = state.expected_s(record.job)
        if not guaranteed and not is_on_time(record.job, expected_s, state.eviction_rules, now):
            return False
        stop_at = latest_stop_at(record.job, expected_s, guaranteed, state.eviction_rules, now)
        for shape in shapes:
            plan = self._plan_reclaim(record, shape, avoided, guaranteed, stop_at, now)
            if plan is None:
                continue
            if not guaranteed and plan.cost > max_loss(record.job, expected_s, state.rules):
                continue
            self._claim_block(record, plan.block, plan.victims, stop_at, guaranteed, now)
            return True
        if guaranteed and self._withdraw_deferred_claims(now):
            return self._place(record, avoided, guaranteed, now)
        return False

    def _withdraw_deferred_claims(self, now: float) -> bool:
        """Queue claims beyond quotas again that wait for ends, and return whether there are any.

        Their room may be all that is left for guaranteed work.
        """
        state = self._state
        claims = [
            record
            for record in state.pending_claims.values()
            if record.evicts_at and not record.protected
        ]
        for record in claims:
            state.requeue(record, now, "gives its block to guaranteed work")
        return bool(claims)

    def _claim_block(
        self,
        record: JobRecord,
        block: Block,
        victims: tuple[str, ...],
        stop_at: float,
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
            f"waits for the end of {', '.join(victims) or 'jobs that are already stopping'}",
        )
        self._evict(record, victims, stop_at, guaranteed, now)

    def _plan_reclaim(
        self,
        record: JobRecord,
        shape: Shape,
        avoided: frozenset[str],
        guaranteed: bool,
        stop_at: float,
        now: float,
    ) -> ReclaimPlan | None:
        state = self._state
        limits = ReclaimLimits(
            is_exempt=None if guaranteed else _is_exempt_beyond_quota,
            units=lambda worker_state: self._allowed_units(record, worker_state, avoided, now),
            by_cost=True,
            cost=lambda victim: self._cost(victim, stop_at, guaranteed, now),
        )
        return plan_reclaim(
            state.cluster,
            shape,
            state.records,
            now,
            state.failures.is_suspect,
            state.rules,
            limits,
        )

    def _cost(self, victim: JobRecord, stop_at: float, guaranteed: bool, now: float) -> float:
        """Return the expected cost of clearing a victim, in accelerator-seconds."""
        state = self._state
        if not self._may_end(victim, stop_at, guaranteed, now):
            return victim_cost(victim, now, state.rules)
        forecast = state.forecast(victim, now)
        return wait_cost(victim, forecast, state.rules, now)

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


def _is_exempt_beyond_quota(record: JobRecord) -> bool:
    return not evictable_beyond_quota(record)
