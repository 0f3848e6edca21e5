"""Reference completion times: a clairvoyant schedule that ignores adjacency."""

import math

import attrs

from bench.workload import Deployment, Workload

__all__ = ["CapacityStep", "full_capacity", "relaxation_mean_s", "available_capacity"]


@attrs.frozen
class CapacityStep:
    """The number of accelerators that can be used from a time on.

    :param at: the time, in seconds.
    """

    at: float
    accelerators: int


def full_capacity(deployment: Deployment) -> tuple[CapacityStep, ...]:
    """Return the capacity of a cell in which no worker fails."""
    return (CapacityStep(0.0, deployment.workers * deployment.accelerators),)


def available_capacity(deployment: Deployment, workload: Workload) -> tuple[CapacityStep, ...]:
    """Return the capacity over time without the failing, silent and lost workers."""
    size = deployment.accelerators
    changes = [(at, -size) for at, _ in workload.lost]
    changes += [(workload.rejoin_at, size) for _ in workload.lost]
    if workload.silent is not None:
        changes.append((workload.silent[0], -size))
    available = (deployment.workers - len(workload.failing)) * size
    steps = [CapacityStep(0.0, available)]
    for at, change in sorted(changes):
        available += change
        steps.append(CapacityStep(at, available))
    return tuple(steps)


def relaxation_mean_s(workload: Workload, capacity: tuple[CapacityStep, ...]) -> float:
    """Return the mean completion time of a clairvoyant schedule without adjacency, in seconds.

    The schedule knows the true run times and runs whole gangs, shortest remaining time first, on
    any accelerators. Preemption costs nothing, and the loss of a worker loses no work. The result
    is a reference, not a proven lower bound: shortest remaining time first is optimal only for jobs
    of equal width.
    """
    jobs = [timed for timed in workload.jobs if timed.possible and timed.cancel_at == math.inf]
    jobs.sort(key=lambda timed: timed.job.submitted_at)
    remaining_s = [timed.run_s for timed in jobs]
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
        running = _choose_running(jobs, remaining_s, active, accelerators)
        next_end = min((remaining_s[number] for number in running), default=math.inf)
        next_arrival = jobs[arrived].job.submitted_at - now if arrived < len(jobs) else math.inf
        next_step = steps[0].at - now if steps else math.inf
        span = min(next_end, next_arrival, next_step)
        now += span
        for number in running:
            remaining_s[number] -= span
            if remaining_s[number] <= 1e-9:
                active.discard(number)
                total += now - jobs[number].job.submitted_at
    return total / len(jobs)


def _choose_running(
    jobs, remaining_s: list[float], active: set[int], accelerators: int
) -> list[int]:
    running = []
    for number in sorted(active, key=lambda number: (remaining_s[number], number)):
        width = jobs[number].job.shape.accelerators
        if width <= accelerators:
            running.append(number)
            accelerators -= width
    return running
