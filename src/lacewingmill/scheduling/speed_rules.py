"""Which workers jobs should get when some workers are slower than others."""

from lacewingmill.scheduling.messages import Job

__all__ = ["slowness_cost", "waits_for_sound_worker"]

# In accelerators, as the other terms of the placement cost: the cost of a certain delay, and the
# gain of leaving a fast worker to others.
DELAY_COST = 20.0
MAX_FAST_WORKER_GAIN = 1.0
# Spells of slowness last for seconds, so a factor of eight does not lengthen a run eightfold.
MAX_DELAY_S = 6.0
MIN_SLACK_S = 0.5
VERY_SLOW = 3.0
# Jobs count as lost that wait for 3 s beside free workers.
SOUND_WORKER_WAIT_S = 1.5


def slowness_cost(job: Job, expected_s: float, slowdown: float, now: float) -> float:
    """Return the cost of placing a job on a worker of a speed, in accelerators.

    Urgent jobs and jobs without slack avoid slow workers; jobs with slack prefer them slightly.

    :param expected_s: expected run time on a worker of usual speed, in seconds.
    :param slowdown: factor by which work takes longer on the worker.
    """
    if slowdown <= 1.0 or job.objective is None:
        return 0.0
    delay_s = min((slowdown - 1.0) * expected_s, MAX_DELAY_S)
    slack_s = max(0.0, job.objective.due_at - now - expected_s)
    if not job.urgent and 2.0 * delay_s <= slack_s:
        return -MAX_FAST_WORKER_GAIN * min(1.0, delay_s)
    return DELAY_COST * delay_s / (delay_s + slack_s + MIN_SLACK_S)


def waits_for_sound_worker(job: Job, slowdown: float, now: float) -> bool:
    """Return whether a job should rather wait, or evict other work, than use a very slow worker."""
    return job.urgent and slowdown >= VERY_SLOW and now - job.submitted_at < SOUND_WORKER_WAIT_S
