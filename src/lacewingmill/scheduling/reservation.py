"""A reservation for a wide gang that has waited long: backfill may not delay it."""

import attrs

from lacewingmill.models import Adjacency
from lacewingmill.scheduling.cluster import Cluster, Node
from lacewingmill.scheduling.messages import Job
from lacewingmill.scheduling.records import JobRecord
from lacewingmill.scheduling.runtimes import RunTimes

__all__ = ["Reservation", "plan_reservation"]


@attrs.frozen
class Reservation:
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
    run_times: RunTimes,
    now: float,
) -> Reservation | None:
    """Reserve the block that is expected to be free first."""
    shape = job.shape
    best: Reservation | None = None
    for nodes in _blocks(cluster, job):
        usable = [node for node in nodes if cluster.usable(node)]
        if sum(node.capacity_units(shape) for node in usable) < shape.units:
            continue
        start_at = _free_at(usable, job, records, run_times, now)
        if best is None or start_at < best.start_at:
            workers = frozenset(node.info.worker for node in usable)
            best = Reservation(job.job_id, workers, start_at)
    return best


def _blocks(cluster: Cluster, job: Job) -> list[list[Node]]:
    if job.shape.adjacency is Adjacency.WORKER:
        return [[node] for node in cluster.nodes.values()]
    return [list(group.values()) for group in cluster.groups(job.shape.adjacency).values()]


def _free_at(
    nodes: list[Node],
    job: Job,
    records: dict[str, JobRecord],
    run_times: RunTimes,
    now: float,
) -> float:
    """Return when enough accelerators of a block are expected to be free, in seconds."""
    missing = job.shape.units - sum(node.free_units(job.shape) for node in nodes)
    if missing <= 0:
        return now
    ends = []
    for node in nodes:
        for job_id, units in node.members.items():
            other = records[job_id]
            left = run_times.remaining(
                other.job.service,
                other.job.shape.name,
                other.job.shape.expected_s,
                now - other.started_at + other.done_s,
            )
            ends.append((now + left, units))
    for end, units in sorted(ends):
        missing -= units
        if missing <= 0:
            return end
    return float("inf")
