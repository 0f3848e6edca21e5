"""A reservation for a wide gang that has waited long: backfill may not delay it."""

from collections.abc import Callable

import attrs

from lacewingmill.models import Adjacency
from lacewingmill.scheduling.cluster import Cluster, Node
from lacewingmill.scheduling.messages import Job
from lacewingmill.scheduling.records import JobRecord
from lacewingmill.scheduling.run_times import RunTimeEstimator

__all__ = ["Reservation", "plan_reservation"]


@attrs.frozen
class BackfillReservation:
    """A block kept for one job.

    :param start_at: when the block is expected to be free, in seconds; other work may use it as
        long as it is expected to end before.
    """

    job_id: str
    workers: frozenset[str]
    start_at: float


def plan_reservation(
    cluster: Cluster,
    job: Job,
    records: dict[str, JobRecord],
    run_times: RunTimeEstimator,
    now: float,
    units: Callable[[Node], int],
) -> BackfillReservation | None:
    """Reserve the block that is expected to be free first.

    A job with an objective gets no more workers of the block than it needs, so that others go on
    beside it.

    :param units: most members that a worker may take by what the job needs of workers.
    """
    shape = job.shape
    best: BackfillReservation | None = None
    for nodes in _blocks(cluster, job):
        schedulable = [node for node in nodes if cluster.schedulable(node) and units(node)]
        if sum(_most(node, job, units) for node in schedulable) < shape.units:
            continue
        if job.objective is not None:
            schedulable = _soonest(schedulable, job, records, run_times, now, units)
        start_at = _free_at(schedulable, job, records, run_times, now)
        if best is None or start_at < best.start_at:
            workers = frozenset(node.info.worker for node in schedulable)
            best = BackfillReservation(job.job_id, workers, start_at)
    return best


def _most(node: Node, job: Job, units: Callable[[Node], int]) -> int:
    return min(node.capacity_units(job.shape), units(node))


def _soonest(
    nodes: list[Node],
    job: Job,
    records: dict[str, JobRecord],
    run_times: RunTimeEstimator,
    now: float,
    units: Callable[[Node], int],
) -> list[Node]:
    """Return the workers that are expected to be empty first and hold the gang together."""
    ranked = sorted(
        nodes,
        key=lambda node: max(
            (now + _left_s(records[job_id], run_times, now) for job_id in node.members),
            default=now,
        ),
    )
    chosen = []
    missing = job.shape.units
    for node in ranked:
        if missing <= 0:
            break
        chosen.append(node)
        missing -= _most(node, job, units)
    return chosen


def _left_s(record: JobRecord, run_times: RunTimeEstimator, now: float) -> float:
    """Return how long a job is expected to run still, in seconds."""
    job = record.job
    elapsed = now - record.started_at + record.done_s
    return run_times.estimate_remaining(job.service, job.shape.name, job.shape.expected_s, elapsed)


def _blocks(cluster: Cluster, job: Job) -> list[list[Node]]:
    if job.shape.adjacency is Adjacency.WORKER:
        return [[node] for node in cluster.nodes.values()]
    return [list(group.values()) for group in cluster.groups(job.shape.adjacency).values()]


def _free_at(
    nodes: list[Node],
    job: Job,
    records: dict[str, JobRecord],
    run_times: RunTimeEstimator,
    now: float,
) -> float:
    """Return when enough accelerators of a block are expected to be free, in seconds."""
    missing = job.shape.units - sum(node.free_units(job.shape) for node in nodes)
    if missing <= 0:
        return now
    ends = []
    for node in nodes:
        for job_id, units in node.members.items():
            ends.append((now + _left_s(records[job_id], run_times, now), units))
    for end, units in sorted(ends):
        missing -= units
        if missing <= 0:
            return end
    return float("inf")
