"""The clairvoyant relaxation: what order alone could reach without adjacency."""

import math

import attrs

from bench.workload import Deployment, Workload

__all__ = ["CapacityStep", "all_workers", "relaxation_mean_s", "workers_left"]


@attrs.frozen
class CapacityStep:
    """From a time on, so many accelerators can be used.

    :param at: in seconds.
    """

    at: float
    accelerators: int


def all_workers(deployment: Deployment) -> tuple[CapacityStep, ...]:
    """Return the capacity while no worker ever fails."""
    return (CapacityStep(0.0, deployment.workers * deployment.accelerators),)


def workers_left(deployment: Deployment, workload: Workload) -> tuple[CapacityStep, ...]:
    """Return the capacity that any policy has: without failing, silent and lost workers."""
    size = deployment.accelerators
    changes = [(at, -size) for at, _ in workload.lost]
    changes += [(workload.back_at, size) for _ in workload.lost]
    if workload.silent is not None:
        changes.append((workload.silent[0], -size))
    left = (deployment.workers - len(workload.failing)) * size
    steps = [CapacityStep(0.0, left)]
    for at, change in sorted(changes):
        left += change
        steps.append(CapacityStep(at, left))
    return tuple(steps)


def relaxation_mean_s(workload: Workload, capacity: tuple[CapacityStep, ...]) -> float:
    """Return the mean completion time of a clairvoyant schedule without adjacency.

    Whole gangs, true run times known, shortest remaining time first, free preemption, any
    accelerators do, nothing that ran is lost with a worker. It is a yardstick, not a proven bound:
    shortest remaining time first is optimal only for jobs of one width.
    """
    jobs = [timed for timed in workload.jobs if timed.possible and timed.cancel_at == math.inf]
    jobs.sort(key=lambda timed: timed.job.submitted_at)
    left = [timed.run_s for timed in jobs]
    steps = list(capacity)
    accelerators = steps.pop(0).accelerators
    active: set[int] = set()
    arrived, now, total = 0, 0.0, 0.0
    while arrived < len(jobs) or active:
        while steps and steps[0].at <= now:
            accelerators = steps.pop(0).accelerators
        while arrived < len(jobs) and jobs[arrived].job.submitted_at <= now:
            active.add(arrived)
            arrived += 1
        running = _choose(jobs, left, active, accelerators)
        next_end = min((left[number] for number in running), default=math.inf)
        next_arrival = jobs[arrived].job.submitted_at - now if arrived < len(jobs) else math.inf
        next_step = steps[0].at - now if steps else math.inf
        span = min(next_end, next_arrival, next_step)
        now += span
        for number in running:
            left[number] -= span
            if left[number] <= 1e-9:
                active.discard(number)
                total += now - jobs[number].job.submitted_at
    return total / len(jobs)


def _choose(jobs, left: list[float], active: set[int], accelerators: int) -> list[int]:
    running = []
    for number in sorted(active, key=lambda number: (left[number], number)):
        width = jobs[number].job.shape.accelerators
        if width <= accelerators:
            running.append(number)
            accelerators -= width
    return running
