"""Claims of guaranteed slots: on a free block, or on the block that is cheapest to clear."""

from lacewingmill.scheduling.cluster import WorkerState
from lacewingmill.scheduling.guarantees import Slot
from lacewingmill.scheduling.messages import EvictionReason
from lacewingmill.scheduling.placement import PlacementRules, find_block
from lacewingmill.scheduling.reclaim import plan_reclaim
from lacewingmill.scheduling.records import JobRecord, JobState
from lacewingmill.scheduling.state import SchedulerState

__all__ = ["ClaimPlanner"]


class ClaimPlanner:
    """Places queued jobs that claim an unclaimed guaranteed slot of their team."""

    def __init__(self, state: SchedulerState):
        self._state = state

    def start_pending(self, now: float) -> None:
        """Start the pending claims whose victims have been evicted."""
        for record in list(self._state.pending_claims.values()):
            shape = record.job.shape
            self._state.count_pending(shape, record.block, -1)
            if all(
                self._state.cluster.workers[part.worker].free_units(shape) >= part.units
                for part in record.block
            ):
                del self._state.pending_claims[record.job.job_id]
                self._state.start(record, record.block, now)
            else:
                self._state.count_pending(shape, record.block, 1)

    def place(self, now: float) -> None:
        """Start claims of guaranteed slots or evict work for them.

        Claims with the smallest share of claimed slots go first, which is fair among teams.
        """
        claims = [record for record in self._state.queue.values() if record.job.claims]
        claims.sort(
            key=lambda record: (
                self._state.slot_table.claimed_share(record.job.slot_key),
                record.job.submitted_at,
            )
        )
        for record in claims:
            slot = self._state.slot_table.unclaimed_slot(record.job.slot_key)
            if slot is not None and not self._state.over_limit(record.job):
                self._claim(record, slot, now)

    def _claim(self, record: JobRecord, slot: Slot, now: float) -> None:
        shape = slot.shape
        reserved_block = self._state.slot_table.unreserve(slot)
        block = find_block(self._state.cluster, shape, self._claim_rules(record, now))
        victims: tuple[str, ...] = ()
        if block is None:
            plan = plan_reclaim(
                self._state.cluster,
                shape,
                self._state.records,
                now,
                self._state.failures.is_suspect,
                self._state.rules,
            )
            if plan is None:
                self._state.slot_table.reserve(slot, reserved_block)
                record.note(now, "waits: no block of live workers can hold the guaranteed shape")
                return
            block, victims = plan.block, plan.victims
        slot.holder = record.job.job_id
        record.slot = slot
        record.protected = True
        self._state.slot_table.count_protected(shape, block, 1)
        del self._state.queue[record.job.job_id]
        if self._state.is_free(shape, block):
            self._state.start(record, block, now)
            return
        record.state = JobState.CLAIMING
        record.block = block
        self._state.count_pending(shape, block, 1)
        self._state.pending_claims[record.job.job_id] = record
        record.note(now, f"claims its guarantee; evicts {', '.join(victims) or 'no further jobs'}")
        for victim in victims:
            self._state.evict(
                self._state.records[victim], record.job.job_id, now, EvictionReason.GUARANTEED
            )

    def _claim_rules(self, record: JobRecord, now: float) -> PlacementRules:
        shape = record.job.shape
        failures = self._state.failures
        avoided = self._state.avoided_workers(record.job, now)

        def units(worker_state: WorkerState) -> int:
            worker = worker_state.info.worker
            if worker in avoided or failures.probing(worker):
                return 0
            if not record.job.idempotent and failures.is_suspect(worker):
                return 0
            return min(worker_state.free_units(shape), worker_state.claimable_units(shape))

        return PlacementRules(units, self._state.placement_cost(record.job, now))
