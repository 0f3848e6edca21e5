"""The order of jobs on borrowed accelerators: shortest expected work first, with ageing."""

import attrs

from lacewingmill.scheduling.messages import Objective

__all__ = ["OrderRules", "has_slack", "priority"]

# Declared run times are off by about half, so a job has slack only beyond that margin.
RUN_TIME_MARGIN = 0.5


@attrs.frozen
class OrderRules:
    """How jobs on borrowed accelerators are ordered and protected from starvation.

    :param width_exponent: exponent of a gang's accelerators in its expected work; 0 orders jobs by
        time alone.
    :param ageing_factor: a job's key is halved once it has waited this multiple of its expected
        run time.
    :param min_ageing_s: shortest wait that halves the key, in seconds.
    :param reservation_wait_factor: a gang gets a reservation once it has waited this multiple of
        its expected run time.
    :param min_reservation_wait_s: shortest wait for a reservation, in seconds.
    :param use_learned_run_times: whether learned run times replace declared ones.
    :param defragment: whether checkpointable gangs are moved to make room for wide ones.
    :param checkpoint_loss_s: run time that an eviction with a checkpoint loses, in seconds.
    :param processor_weight: weight of a processor core, in accelerators, in the cost of evictions.
    :param headroom: share of the workers that jobs with slack leave empty for urgent jobs, 0..1.
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
    """Return the sort key of a waiting job; the lowest key goes first.

    :param expected_s: expected remaining run time, in seconds.
    :param waited_s: time since submission, in seconds.
    """
    work = expected_s * accelerators**rules.width_exponent
    ageing_s = max(rules.min_ageing_s, rules.ageing_factor * expected_s)
    return work / (1.0 + waited_s / ageing_s)


def has_slack(objective: Objective, expected_s: float, now: float) -> bool:
    """Return whether a job can start a little later and still meet its soft deadline.

    :param expected_s: expected remaining run time, in seconds.
    """
    return now + expected_s * (1.0 + RUN_TIME_MARGIN) < objective.due_at
