"""Rules of evictions: what a stop costs, how long it can wait, and what it must not hit."""

import attrs

from lacewingmill.load.forecast import RunForecast
from lacewingmill.models import Shape
from lacewingmill.scheduling.messages import Job
from lacewingmill.scheduling.order import OrderRules
from lacewingmill.scheduling.records import JobRecord

__all__ = [
    "EVICTION_PAUSE_S",
    "EvictionRules",
    "accelerator_equivalent",
    "ends_in_time",
    "eviction_cost",
    "evictable_beyond_quota",
    "is_on_time",
    "latest_stop_at",
    "lost_work",
    "max_loss",
    "victim_cost",
    "wait_cost",
]

# Time between the stop of a gang and its next start, in seconds.
EVICTION_PAUSE_S = 1.0
# An urgent job beyond its team's quota may cause the loss of at most this multiple of its own
# accelerator time: measured in lost accelerator time, an answer in time is worth about twice the
# accelerator time that it takes on the users' platform.
MAX_LOSS_FACTOR = 2.0
# Share of the runs that end after the late moment of their forecast.
LATE_SHARE = 0.1
# A job evicted this often is stopped again only for guaranteed work, so that it can finish.
MAX_EVICTIONS = 2


@attrs.frozen
class EvictionRules:
    """Time limits of evictions.

    :param begin_s: time from its acceptance in which guaranteed work must have begun, in seconds;
        0 when it is unknown: such work then evicts at once.
    :param stop_s: longest time that a stop takes, in seconds.
    :param reserve_s: time kept for planning rounds and orders, in seconds.
    :param notice_s: shortest time that workers stay after the notice that they leave, in seconds;
        0 when it is unknown: what runs there is then never stopped early.
    """

    begin_s: float = 0.0
    stop_s: float = 1.0
    reserve_s: float = 0.8
    notice_s: float = 0.0


def accelerator_equivalent(shape: Shape, rules: OrderRules) -> float:
    """Return the resources of a gang as a number of accelerators; at least 1."""
    return max(1.0, shape.accelerators + rules.processor_weight * shape.processors * shape.units)


def lost_work(record: JobRecord, now: float, rules: OrderRules) -> float:
    """Return the work that a stop throws away, in accelerator-seconds."""
    elapsed = max(0.0, now - record.started_at)
    lost_s = rules.checkpoint_loss_s if record.job.checkpoint else elapsed
    return min(lost_s, elapsed) * accelerator_equivalent(record.job.shape, rules)


def eviction_cost(record: JobRecord, now: float, rules: OrderRules) -> float:
    """Return the lost work and the pause of an eviction, in accelerator-seconds."""
    pause = EVICTION_PAUSE_S * accelerator_equivalent(record.job.shape, rules)
    return lost_work(record, now, rules) + pause


def victim_cost(record: JobRecord, now: float, rules: OrderRules) -> float:
    """Return the cost of an eviction for urgent work, in accelerator-seconds.

    It grows with each earlier eviction of the job. An urgent job is late after an eviction, so its
    own worth is added.
    """
    job = record.job
    cost = eviction_cost(record, now, rules) * (1 + record.evictions)
    return cost + max_loss(job, job.shape.expected_s, rules) if job.urgent else cost


def max_loss(job: Job, expected_s: float, rules: OrderRules) -> float:
    """Return the largest cost of evictions that an urgent job is worth, in accelerator-seconds.

    :param expected_s: expected run time of the job, in seconds.
    """
    return MAX_LOSS_FACTOR * expected_s * accelerator_equivalent(job.shape, rules)


def is_on_time(job: Job, expected_s: float, limits: EvictionRules, now: float) -> bool:
    """Return whether a job can still be on time if gangs are stopped for it now.

    :param expected_s: expected run time of the job, in seconds.
    """
    return job.objective is None or now + limits.stop_s + expected_s <= job.objective.due_at


def latest_stop_at(
    job: Job, expected_s: float, guaranteed: bool, limits: EvictionRules, now: float
) -> float:
    """Return the last moment at which gangs can be stopped for a claim made now, in seconds.

    For guaranteed work it is limited by the time in which such work must have begun; a job that
    can be on time is also limited by its soft deadline. Room that becomes free for a claim stands
    idle until the claim has all of it, so a claim waits no longer than a stop takes.

    :param expected_s: expected run time of the job, in seconds.
    :return: ``now`` or a later time.
    """
    lead_s = limits.stop_s + limits.reserve_s
    latest = now
    if job.objective is not None and is_on_time(job, expected_s, limits, now):
        latest = job.objective.due_at - expected_s - lead_s
    elif guaranteed:
        latest = float("inf")
    if guaranteed:
        latest = min(latest, job.submitted_at + limits.begin_s - lead_s)
    return max(now, min(latest, now + limits.stop_s))


def ends_in_time(forecast: RunForecast, stop_at: float, limits: EvictionRules) -> bool:
    """Return whether a gang surely leaves its room as early as a stop at ``stop_at`` would.

    A doubtful forecast does not count: room that is kept for a claim stands idle meanwhile.

    :param stop_at: last moment for the stop, in seconds.
    """
    return forecast.late_at <= stop_at + limits.stop_s


def wait_cost(record: JobRecord, forecast: RunForecast, rules: OrderRules, now: float) -> float:
    """Return the expected cost of waiting for a gang that ends in time, in accelerator-seconds.

    It is the idle room until the likely end and, as far as the gang may run longer, its eviction.
    """
    wait_s = max(0.0, forecast.likely_at - now)
    idle = wait_s * accelerator_equivalent(record.job.shape, rules)
    return idle + LATE_SHARE * victim_cost(record, now, rules)


def evictable_beyond_quota(record: JobRecord) -> bool:
    """Return whether a gang may be stopped for urgent work beyond its team's quota."""
    return not record.job.urgent and record.evictions < MAX_EVICTIONS
