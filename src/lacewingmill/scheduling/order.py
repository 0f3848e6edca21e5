"""The order of borrowed work: shortest expected work first, with ageing."""

import attrs

from lacewingmill.scheduling.messages import Objective

__all__ = ["OrderRules", "has_time", "objective_key", "priority"]

# Declared run times are off by about half, so a job has time only beyond that.
SPARE_SHARE = 0.5


@attrs.frozen
class OrderRules:
    """How borrowed work is ordered and protected from starvation.

    :param width_power: how much a gang's width counts beside its time; 0 orders by time alone.
    :param ageing: by which factor of its expected time a job must have waited to halve its key.
    :param shortest_ageing_s: least time that counts as such a factor, in seconds.
    :param reserve_after: a gang that waited this multiple of its expected time gets a reservation.
    :param reserve_least_s: and at least so long, in seconds.
    :param learned: whether learned run times replace declared ones.
    :param heal: whether checkpointable gangs are moved to make room for wide ones.
    :param checkpoint_loss_s: run time that an eviction with a checkpoint loses, in seconds.
    :param headroom: share of the workers that work with time to spare leaves empty for urgent jobs.
    :param processor_weight: worth of a processor core, in accelerators, when evictions are priced.
    """

    width_exponent: float = 0.5
    ageing_factor: float = 4.0
    min_ageing_s: float = 60.0
    reservation_wait_factor: float = 2.0
    min_reservation_wait_s: float = 60.0
    use_learned_run_times: bool = True
    defragment: bool = True
    checkpoint_loss_s: float = 5.0
    processor_weight: float = 0.0
    headroom: float = 0.0


def priority(rules: OrderRules, expected_s: float, accelerators: int, waited_s: float) -> float:
    """Return the key of a waiting job; the lowest goes first.

    :param expected_s: expected remaining run time, in seconds.
    """
    work = expected_s * accelerators**rules.width_exponent
    patience = max(rules.min_ageing_s, rules.ageing_factor * expected_s)
    return work / (1.0 + waited_s / patience)


def has_slack(objective: Objective, expected_s: float, now: float) -> bool:
    """Whether a job that starts a little later is still answered when it is due.

    :param expected_s: expected remaining run time, in seconds.
    """
    return now + expected_s * (1.0 + SPARE_SHARE) < objective.due_at


def objective_key(objective: Objective, expected_s: float, now: float) -> tuple[float, ...]:
    """Return the key of a waiting job with an objective; the lowest goes first.

    A job that can no longer be answered in time to be worth anything goes last.

    :param expected_s: expected remaining run time, in seconds.
    """
    hopeless = now + expected_s > objective.last_at
    return (float(hopeless), float(objective.rank), objective.due_at)
