"""Backfill reservations: a block kept for a wide gang that has waited for long."""

from collections.abc import Callable

import attrs

from lacewingmill.models import Adjacency
from lacewingmill.scheduling.cluster import Cluster, Resources, WorkerState
from lacewingmill.scheduling.messages import Job
from lacewingmill.scheduling.records import JobRecord
from lacewingmill.scheduling.run_times import RunTimeEstimator

__all__ = ["BackfillReservation", "holds_when_empty", "plan_reservation"]


@attrs.frozen
class BackfillReservation:
    """A block kept for one job.

    :param start_at: time at which the block is expected to be free, in seconds; other jobs may use
        the block if they are expected to end by then.
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
    units: Callable[[WorkerState], int],
) -> BackfillReservation | None:
    """Return a reservation of the block that is expected to be free first, or ``None``.

    Jobs that never end leave their room to nobody, so no reservation counts on it.

    For a job with an objective, no more workers are reserved than it needs, so that other jobs can
    use the rest of the block.

    :param units: returns the number of members that a worker may take under the constraints of the
        job.
    """
    shape = job.shape
    best: BackfillReservation | None = None
    for worker_states in _candidate_groups(cluster, job):
        candidates = [
            worker_state
            for worker_state in worker_states
            if cluster.schedulable(worker_state) and units(worker_state)
        ]
        most = (_max_units(worker_state, job, records, units) for worker_state in candidates)
        if sum(most) < shape.units:
            continue
        if job.objective is not None:
            candidates = _earliest_free(candidates, job, records, run_times, now, units)
        start_at = _free_at(candidates, job, records, run_times, now)
        if best is None or start_at < best.start_at:
            workers = frozenset(worker_state.info.worker for worker_state in candidates)
            best = BackfillReservation(job.job_id, workers, start_at)
    return best


def _max_units(
    worker_state: WorkerState,
    job: Job,
    records: dict[str, JobRecord],
    units: Callable[[WorkerState], int],
) -> int:
    """Return how many members a worker may take once all jobs that end have left it."""
    return min(
        worker_state.units_beside(job.shape, _lasting_resources(worker_state, records)),
        units(worker_state),
    )


def _lasting_resources(worker_state: WorkerState, records: dict[str, JobRecord]) -> Resources:
    """Return the resources of a worker that are held by jobs that never end."""
    held = Resources()
    for job_id, members in worker_state.members.items():
        job = records[job_id].job
        if job.lasting:
            held.add(job.shape, members)
    return held


def _earliest_free(
    worker_states: list[WorkerState],
    job: Job,
    records: dict[str, JobRecord],
    run_times: RunTimeEstimator,
    now: float,
    units: Callable[[WorkerState], int],
) -> list[WorkerState]:
    """Return the workers expected to be empty first, as many as the gang needs."""
    ranked = sorted(
        worker_states,
        key=lambda worker_state: max(
            (
                now + _remaining_s(records[job_id], run_times, now)
                for job_id in worker_state.members
            ),
            default=now,
        ),
    )
    chosen = []
    missing = job.shape.units
    for worker_state in ranked:
        if missing <= 0:
            break
        chosen.append(worker_state)
        missing -= _max_units(worker_state, job, records, units)
    return chosen


def _remaining_s(record: JobRecord, run_times: RunTimeEstimator, now: float) -> float:
    """Return the expected remaining run time of a job, in seconds."""
    job = record.job
    if job.lasting:
        return float("inf")
    elapsed = now - record.started_at + record.done_s
    return run_times.estimate_remaining(job.service, job.shape.name, job.shape.expected_s, elapsed)


def holds_when_empty(
    cluster: Cluster,
    job: Job,
    records: dict[str, JobRecord],
    units: Callable[[WorkerState], int],
) -> bool:
    """Whether any block could hold a job once all jobs that end have left it.

    :param units: returns the number of members that a worker may take under the constraints of the
        job.
    """
    for worker_states in _candidate_groups(cluster, job):
        missing = job.shape.units
        for worker_state in worker_states:
            if cluster.schedulable(worker_state):
                missing -= _max_units(worker_state, job, records, units)
            if missing <= 0:
                return True
    return False


def _candidate_groups(cluster: Cluster, job: Job) -> list[list[WorkerState]]:
    if job.shape.adjacency is Adjacency.WORKER:
        return [[worker_state] for worker_state in cluster.workers.values()]
    return [list(group.values()) for group in cluster.groups(job.shape.adjacency).values()]


def _free_at(
    worker_states: list[WorkerState],
    job: Job,
    records: dict[str, JobRecord],
    run_times: RunTimeEstimator,
    now: float,
) -> float:
    """Return when the workers are expected to have room for the gang, in seconds."""
    missing = job.shape.units - sum(
        worker_state.free_units(job.shape) for worker_state in worker_states
    )
    if missing <= 0:
        return now
    ends = []
    for worker_state in worker_states:
        for job_id, units in worker_state.members.items():
            ends.append((now + _remaining_s(records[job_id], run_times, now), units))
    for end, units in sorted(ends):
        missing -= units
        if missing <= 0:
            return end
    return float("inf")
