"""Moving checkpointable borrowed gangs so that a wide gang finds adjacent accelerators."""

from collections.abc import Callable

import attrs

from lacewingmill.models import Adjacency
from lacewingmill.scheduling.cluster import Cluster, Node
from lacewingmill.scheduling.placement import PackingScorer
from lacewingmill.scheduling.records import JobRecord, JobState

__all__ = ["Move", "plan_compaction", "plan_moves"]

MOVES_AT_ONCE = 2
MOVE_LOSS_S = 10.0
GAIN_FACTOR = 2.0
COMPACTION_LEAST_GAIN = 1.0
COMPACTION_LEAST_S = 60.0
COMPACTION_WORKERS = 128


@attrs.frozen
class Move:
    """Gangs to take off one worker so that a waiting gang fits there.

    :param loss: accelerator-seconds that the moves cost.
    """

    worker: str
    jobs: tuple[str, ...]
    loss: float


def plan_moves(
    cluster: Cluster, waiting: JobRecord, records: dict[str, JobRecord], wait_s: float
) -> Move | None:
    """Return the cheapest moves that let a waiting gang start, if they are worth it.

    The moved gangs must fit into other workers that are partly full, so that a move makes one
    whole block out of scattered free accelerators. The gain is the accelerator-time for which the
    waiting gang would otherwise hold the free accelerators off; the loss is the pause of each
    moved gang.

    :param wait_s: how long the gang is expected to wait without a move, in seconds.
    """
    shape = waiting.job.shape
    if shape.adjacency is not Adjacency.WORKER:
        return None
    if cluster.free_accelerators < shape.accelerators:
        return None
    best: Move | None = None
    for node in cluster.nodes.values():
        move = _clear_worker(cluster, node, waiting, records)
        if move is not None and (best is None or move.loss < best.loss):
            best = move
    if best is None or best.loss * GAIN_FACTOR > wait_s * shape.accelerators:
        return None
    return best


def _clear_worker(
    cluster: Cluster, node: Node, waiting: JobRecord, records: dict[str, JobRecord]
) -> Move | None:
    shape = waiting.job.shape
    free = node.free_units(shape)
    if not cluster.schedulable(node) or free == 0 or node.capacity_units(shape) < shape.units:
        return None
    missing = shape.units - free
    movable = sorted(
        (units, job_id) for job_id, units in node.members.items() if _movable(records[job_id])
    )
    chosen: list[str] = []
    moved_units = 0
    for units, job_id in reversed(movable):
        if moved_units >= missing or len(chosen) >= MOVES_AT_ONCE:
            break
        if _fits_elsewhere(cluster, node, records[job_id]):
            chosen.append(job_id)
            moved_units += units
    if moved_units < missing:
        return None
    return Move(node.info.worker, tuple(chosen), MOVE_LOSS_S * moved_units)


def plan_compaction(
    cluster: Cluster,
    packing: PackingScorer,
    records: dict[str, JobRecord],
    remaining_s: Callable[[JobRecord, float], float],
    now: float,
) -> Move | None:
    """Return one gang whose move to a fuller worker makes most accelerators usable for gangs.

    The gain is the accelerators that shapes can use more, held for the time that the gang still
    runs; the loss is the pause of the gang.

    :param remaining_s: returns how long a job is expected to run still, in seconds.
    """
    best: Move | None = None
    best_gain = 0.0
    sources = [node for node in cluster.nodes.values() if node.gangs and node.free]
    for node in sources[:COMPACTION_WORKERS]:
        for job_id, held in node.gangs.items():
            record = records[job_id]
            if not _movable(record):
                continue
            left_s = remaining_s(record, now)
            target = _tightest_other(cluster, packing, node, record)
            if target is None or left_s < COMPACTION_LEAST_S:
                continue
            gain = packing.gain(node, len(held)) - packing.loss(target, len(held))
            if gain < COMPACTION_LEAST_GAIN or gain <= best_gain:
                continue
            loss = MOVE_LOSS_S * len(held)
            if gain * left_s > loss * GAIN_FACTOR:
                best, best_gain = Move(node.info.worker, (job_id,), loss), gain
    return best


def _tightest_other(
    cluster: Cluster, packing: PackingScorer, node: Node, record: JobRecord
) -> Node | None:
    """Return the worker that loses least by taking a gang, one from each group of equal ones."""
    shape = record.job.shape
    best: Node | None = None
    best_loss = float("inf")
    for nodes in cluster.nodes_by_free(shape.accelerators):
        for other in nodes.values():
            if other is node or not cluster.schedulable(other):
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


def _fits_elsewhere(cluster: Cluster, node: Node, record: JobRecord) -> bool:
    shape = record.job.shape
    for nodes in cluster.nodes_by_free(shape.accelerators):
        for other in nodes.values():
            if other is not node and cluster.schedulable(other):
                return other.free_units(shape) >= shape.units
    return False
