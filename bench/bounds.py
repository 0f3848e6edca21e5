"""The clairvoyant relaxation: what order alone could reach without adjacency."""

import math

from bench.workload import Workload

__all__ = ["relaxation_mean_s"]


def relaxation_mean_s(workload: Workload, accelerators: int) -> float:
    """Return the mean completion time of a clairvoyant schedule without adjacency.

    Whole gangs, true run times known, shortest remaining time first, free preemption, no workers
    lost, any accelerators do. It is a yardstick, not a proven bound: shortest remaining time
    first is optimal only for jobs of one width.
    """
    jobs = [timed for timed in workload.jobs if timed.possible and timed.cancel_at == math.inf]
    jobs.sort(key=lambda timed: timed.job.submitted_at)
    left = [timed.run_s for timed in jobs]
    active: set[int] = set()
    arrived, now, total = 0, 0.0, 0.0
    while arrived < len(jobs) or active:
        while arrived < len(jobs) and jobs[arrived].job.submitted_at <= now:
            active.add(arrived)
            arrived += 1
        running = _choose(jobs, left, active, accelerators)
        next_end = min((left[number] for number in running), default=math.inf)
        next_arrival = jobs[arrived].job.submitted_at - now if arrived < len(jobs) else math.inf
        span = min(next_end, next_arrival)
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
