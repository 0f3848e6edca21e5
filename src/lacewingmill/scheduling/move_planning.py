"""Plans moves of checkpointable gangs, so that wide gangs find adjacent accelerators."""

from collections.abc import Callable

import attrs

from lacewingmill.models import Adjacency
from lacewingmill.scheduling.cluster import Cluster, WorkerState
from lacewingmill.scheduling.placement import PackingScorer
from lacewingmill.scheduling.records import JobRecord, JobState

__all__ = ["Move", "plan_compaction", "plan_moves"]

MAX_MOVES = 2
MOVE_PAUSE_S = 10.0
MIN_GAIN_FACTOR = 2.0
MIN_COMPACTION_GAIN = 1.0  # in accelerators
MIN_REMAINING_S = 60.0
MAX_COMPACTION_SOURCES = 128


@attrs.frozen
class Move:
    """Gangs to move off one worker.

    :param loss: cost of the moves, in accelerator-seconds.
    """

    worker: str
    jobs: tuple[str, ...]
    loss: float


def plan_moves(
    cluster: Cluster, waiting: JobRecord, records: dict[str, JobRecord], wait_s: float
) -> Move | None:
    """Return the cheapest moves that let a waiting gang start, or ``None`` if not worth the cost.

    Each moved gang must fit on another worker, so that the moves join scattered free accelerators
    into one block. The gain is the accelerator time for which the free accelerators would otherwise
    be kept idle for the waiting gang; the loss is the pause of each moved gang.

    :param wait_s: how long the gang is expected to wait without a move, in seconds; estimated by
        the time that it has waited already.
    """
    shape = waiting.job.shape
    if shape.adjacency is not Adjacency.WORKER:
        return None
    if cluster.free_accelerators < shape.accelerators:
        return None
    best: Move | None = None
    for worker_state in cluster.workers.values():
        move = _plan_worker_moves(cluster, worker_state, waiting, records)
        if move is not None and (best is None or move.loss < best.loss):
            best = move
    if best is None or best.loss * MIN_GAIN_FACTOR > wait_s * shape.accelerators:
        return None
    return best


def _plan_worker_moves(
    cluster: Cluster, worker_state: WorkerState, waiting: JobRecord, records: dict[str, JobRecord]
) -> Move | None:
    shape = waiting.job.shape
    free = worker_state.free_units(shape)
    if (
        not cluster.schedulable(worker_state)
        or free == 0
        or worker_state.capacity_units(shape) < shape.units
    ):
        return None
    missing = shape.units - free
    movable = sorted(
        (units, job_id)
        for job_id, units in worker_state.members.items()
        if _movable(records[job_id])
    )
    chosen: list[str] = []
    moved_units = 0
    for units, job_id in reversed(movable):
        if moved_units >= missing or len(chosen) >= MAX_MOVES:
            break
        if _fits_elsewhere(cluster, worker_state, records[job_id]):
            chosen.append(job_id)
            moved_units += units
    if moved_units < missing:
        return None
    return Move(worker_state.info.worker, tuple(chosen), MOVE_PAUSE_S * moved_units)


def plan_compaction(
    cluster: Cluster,
    packing: PackingScorer,
    records: dict[str, JobRecord],
    remaining_s: Callable[[JobRecord, float], float],
    now: float,
) -> Move | None:
    """Return the move of one gang that makes the most accelerators usable, or ``None``.

    The gain is the number of additional accelerators that the configured shapes can use, times the
    remaining run time of the gang; the loss is the pause of the gang.

    :param remaining_s: returns the expected remaining run time of a job, in seconds.
    """
    best: Move | None = None
    best_gain = 0.0
    sources = [
        worker_state
        for worker_state in cluster.workers.values()
        if worker_state.gangs and worker_state.free
    ]
    for worker_state in sources[:MAX_COMPACTION_SOURCES]:
        for job_id, held in worker_state.gangs.items():
            record = records[job_id]
            if not _movable(record):
                continue
            time_left_s = remaining_s(record, now)
            target = _best_target(cluster, packing, worker_state, record)
            if target is None or time_left_s < MIN_REMAINING_S:
                continue
            gain = packing.gain(worker_state, len(held)) - packing.loss(target, len(held))
            if gain < MIN_COMPACTION_GAIN or gain <= best_gain:
                continue
            loss = MOVE_PAUSE_S * len(held)
            if gain * time_left_s > loss * MIN_GAIN_FACTOR:
                best, best_gain = Move(worker_state.info.worker, (job_id,), loss), gain
    return best


def _best_target(
    cluster: Cluster, packing: PackingScorer, worker_state: WorkerState, record: JobRecord
) -> WorkerState | None:
    """Return the worker that loses the fewest usable accelerators by taking a gang.

    Only one worker is examined for each number of free accelerators.
    """
    shape = record.job.shape
    best: WorkerState | None = None
    best_loss = float("inf")
    for worker_states in cluster.workers_by_free(shape.accelerators):
        for other in worker_states.values():
            if other is worker_state or not cluster.schedulable(other):
                continue
            if other.free_units(shape) < shape.units:
                continue
            loss = packing.loss(other, shape.accelerators)
            if loss < best_loss:
                best, best_loss = other, loss
            break
    return best


def _movable(record: JobRecord) -> bool:
    return (
        record.state is JobState.RUNNING
        and record.job.checkpoint
        and not record.protected
        and len(record.placement) == 1
    )


def _fits_elsewhere(cluster: Cluster, worker_state: WorkerState, record: JobRecord) -> bool:
    shape = record.job.shape
    for worker_states in cluster.workers_by_free(shape.accelerators):
        for other in worker_states.values():
            if other is not worker_state and cluster.schedulable(other):
                return other.free_units(shape) >= shape.units
    return False
