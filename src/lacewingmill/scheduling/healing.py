"""Moving checkpointable borrowed gangs so that a wide gang finds adjacent accelerators."""

import attrs

from lacewingmill.models import Adjacency
from lacewingmill.scheduling.cluster import Cluster, Node
from lacewingmill.scheduling.records import JobRecord, JobState

__all__ = ["Move", "plan_moves"]

MOVES_AT_ONCE = 2
MOVE_LOSS_S = 10.0
GAIN_FACTOR = 2.0


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
    if not cluster.usable(node) or free == 0 or node.capacity_units(shape) < shape.accelerators:
        return None
    missing = shape.accelerators - free
    movable = sorted(
        (len(held), job_id) for job_id, held in node.gangs.items() if _movable(records[job_id])
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


def _movable(record: JobRecord) -> bool:
    return (
        record.state is JobState.RUNNING
        and record.job.checkpoint
        and not record.hard
        and len(record.placement) == 1
    )


def _fits_elsewhere(cluster: Cluster, node: Node, record: JobRecord) -> bool:
    shape = record.job.shape
    for nodes in cluster.nodes_by_free(shape.accelerators):
        for other in nodes.values():
            if other is not node and cluster.usable(other):
                return other.free_units(shape) >= shape.accelerators
    return False
