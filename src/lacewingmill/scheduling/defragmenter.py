"""When gangs are moved: for a wide gang that starves, or to make accelerators adjacent."""

from lacewingmill.scheduling.move_planning import Move, plan_compaction, plan_moves
from lacewingmill.scheduling.records import JobRecord
from lacewingmill.scheduling.reservation import BackfillReservation
from lacewingmill.scheduling.state import SchedulerState

__all__ = ["Healer"]

HEAL_EVERY_S = 1.0


class Defragmenter:
    """Moves a few checkpointable gangs at a time."""

    def __init__(self, state: SchedulerState):
        self._state = state
        self._heal_at = 0.0

    def defragment(self, now: float) -> None:
        """Move a few checkpointable gangs, for a wide gang that starves or for whole blocks."""
        if self._state.moving or now < self._heal_at:
            return
        self._heal_at = now + HEAL_EVERY_S
        starving = [
            record for record in self._state.queue.values() if self._state.starves(record, now)
        ]
        if starving:
            oldest = min(starving, key=lambda record: record.job.submitted_at)
            wait_s = now - oldest.job.submitted_at
            self._move(
                plan_moves(self._state.cluster, oldest, self._state.records, wait_s), oldest, now
            )
        if not self._state.moving:
            move = plan_compaction(
                self._state.cluster,
                self._state.packing,
                self._state.records,
                self._state.remaining_s,
                now,
            )
            self._move(move, None, now)

    def _move(self, move: Move | None, waiting: JobRecord | None, now: float) -> None:
        if move is None:
            return
        for_job = waiting.job.job_id if waiting is not None else ""
        if waiting is not None:
            until = now + self._state.rules.min_reservation_wait_s
            self._state.reservation = BackfillReservation(for_job, frozenset({move.worker}), until)
        for job_id in move.jobs:
            self._state.moving.add(job_id)
            self._state.evict(self._state.records[job_id], for_job or "a whole block", now)
