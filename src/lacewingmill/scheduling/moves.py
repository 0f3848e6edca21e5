"""Moves of running gangs from slow workers to workers of usual speed."""

import math

import attrs

from lacewingmill.scheduling.cluster import WorkerState
from lacewingmill.scheduling.messages import Job
from lacewingmill.scheduling.placement import PlacementRules, find_block
from lacewingmill.scheduling.records import JobRecord, JobState
from lacewingmill.scheduling.state import SchedulerState

__all__ = ["FASTER_WORKER", "MovePlanner", "MoveTimes", "stay_s", "worth_moving"]

# What a gang is evicted for, as shown to operators.
FASTER_WORKER = "a faster worker"
MIN_SLOWDOWN = 2.0
MAX_MOVES_AT_ONCE = 2
SAME_JOB_PAUSE_S = 10.0
AVOID_S = 6.0
# Workers that turn slow for a while usually are so for about this time.
SPELL_S = 5.0
STOP_S = 0.7
RESTORE_S = 0.6
RESTART_S = 0.3
MIN_GAIN_S = 1.0


@attrs.frozen
class MoveTimes:
    """How long a gang takes from now on if it stays and if it moves, and what a move throws away.

    :param stay_s: remaining time on its workers, in seconds.
    :param move_s: time until its end on workers of usual speed, in seconds.
    :param lost_s: run time that is thrown away, in seconds.
    """

    stay_s: float
    move_s: float
    lost_s: float


def stay_s(full_s: float, done_share: float, slowdown: float) -> float:
    """Return the remaining time of a gang on slow workers, if their spell is a usual one.

    :param full_s: run time of the whole work on workers of usual speed, in seconds.
    """
    left_s = full_s * (1.0 - done_share)
    done_in_spell_s = SPELL_S / slowdown
    if left_s <= done_in_spell_s:
        return left_s * slowdown
    return SPELL_S + left_s - done_in_spell_s


def worth_moving(job: Job, times: MoveTimes, now: float) -> bool:
    """Return whether a gang misses its soft deadline where it runs, and ends far earlier elsewhere.

    A move must gain more time than it throws away, and must make the hard deadline.
    """
    if job.objective is None or now + times.stay_s <= job.objective.due_at:
        return False
    if now + times.move_s > job.objective.last_at:
        return False
    return times.stay_s - times.move_s > max(MIN_GAIN_S, times.lost_s)


class MovePlanner:
    """Evicts gangs from slow workers if a block of usual speed is free for them."""

    def __init__(self, state: SchedulerState):
        self._state = state
        self._moved_at: dict[str, float] = {}

    def plan(self, now: float) -> None:
        """Order the moves that are worth their cost, the most urgent first."""
        slow = {
            worker: factor
            for worker, factor in self._state.speeds.slow_workers(now).items()
            if factor >= MIN_SLOWDOWN and worker in self._state.cluster.workers
        }
        if not slow:
            return
        self._forget_old_moves(now)
        left = MAX_MOVES_AT_ONCE - sum(
            1 for job_id in self._moved_at if self._state.records[job_id].state is JobState.EVICTING
        )
        for record in self._candidates(slow):
            if left <= 0:
                return
            if self._move(record, slow, now):
                left -= 1

    def _candidates(self, slow: dict[str, float]) -> list[JobRecord]:
        """Return the gangs that run on slow workers, in the order of their deadlines."""
        job_ids = {
            job_id for worker in slow for job_id in self._state.cluster.workers[worker].members
        }
        records = [self._state.records[job_id] for job_id in sorted(job_ids)]
        candidates = [
            record
            for record in records
            if record.state is JobState.RUNNING
            and record.job.objective is not None
            and not record.job.lasting
            and record.job.idempotent
            and record.job.job_id not in self._moved_at
        ]
        candidates.sort(key=lambda record: (record.job.objective.rank, record.job.objective.due_at))
        return candidates

    def _move(self, record: JobRecord, slow: dict[str, float], now: float) -> bool:
        job = record.job
        slowdown = max(slow.get(worker, 1.0) for worker in record.workers)
        if not worth_moving(job, self._times(record, slowdown, now), now):
            return False
        if not self._fits_elsewhere(record, now):
            return False
        self._moved_at[job.job_id] = now
        workers = frozenset(worker for worker in record.workers if worker in slow)
        self._state.avoid(job.job_id, workers, now + AVOID_S)
        self._state.evict(record, FASTER_WORKER, now)
        return True

    def _times(self, record: JobRecord, slowdown: float, now: float) -> MoveTimes:
        job = record.job
        done_share = self._state.progress.done_share(job.job_id) or 0.0
        full_s = self._full_s(record, done_share, slowdown, now)
        restart_s = STOP_S + RESTART_S
        if job.checkpoint:
            move_s = restart_s + RESTORE_S + full_s * (1.0 - done_share)
            return MoveTimes(stay_s(full_s, done_share, slowdown), move_s, restart_s + RESTORE_S)
        elapsed_s = now - record.started_at
        return MoveTimes(stay_s(full_s, done_share, slowdown), restart_s + full_s, elapsed_s)

    def _full_s(self, record: JobRecord, done_share: float, slowdown: float, now: float) -> float:
        """Return the run time of a gang's whole work on workers of usual speed, in seconds.

        A gang that takes longer than its workers' slowdown explains would do so elsewhere too.
        """
        expected_s = self._state.expected_s(record.job)
        remaining_s = self._state.progress.remaining_s(record.job.job_id, now)
        if remaining_s is None or not math.isfinite(remaining_s) or done_share >= 1.0:
            return expected_s
        return max(expected_s, remaining_s / (slowdown * (1.0 - done_share)))

    def _fits_elsewhere(self, record: JobRecord, now: float) -> bool:
        """Whether workers of usual speed, beside those of the gang, have room for it now."""
        state, job = self._state, record.job
        slow = state.speeds.slow_workers(now)
        avoided = state.avoided_workers(job, now)

        def units(worker_state: WorkerState) -> int:
            worker = worker_state.info.worker
            if worker in slow or worker in avoided:
                return 0
            return min(
                worker_state.free_units(job.shape), state.allowed_units(job, worker_state, now)
            )

        rules = PlacementRules(units, lambda worker_state, units: 0.0)
        return any(
            find_block(state.cluster, shape, rules) is not None
            for shape in state.candidate_shapes(job, now)
        )

    def _forget_old_moves(self, now: float) -> None:
        self._moved_at = {
            job_id: at
            for job_id, at in self._moved_at.items()
            if now - at < SAME_JOB_PAUSE_S and job_id in self._state.records
        }
