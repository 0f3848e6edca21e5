"""Orders of waiting jobs with objectives, to compare the scheduler's order with."""

import collections
from collections.abc import Callable

from lacewingmill.scheduling.value_order import (
    ValueOrder,
    WaitingOrder,
    WaitingStep,
    is_too_late,
)

__all__ = ["ORDERS"]

Key = Callable[[WaitingStep, float], tuple]


def _sorted_by(key: Key) -> WaitingOrder:
    return lambda steps, now, *_: sorted(steps, key=lambda step: (*key(step, now), step.step_id))


def _rank_then_due(step: WaitingStep, now: float) -> tuple:
    objective = step.objective
    too_late = is_too_late(objective, step.expected_s, now)
    return (too_late, objective.rank, objective.due_at)


def _dominant_share(steps, now, use, held, share) -> list[WaitingStep]:
    """Take the oldest step of the team that holds the smallest part of its share."""
    taken = collections.Counter(held)
    places = []
    for step in sorted(steps, key=lambda step: (step.submitted_at, step.step_id)):
        places.append((taken[step.team] / max(1.0, share(step.team)), step))
        taken[step.team] += step.accelerators
    return [step for _, step in sorted(places, key=lambda place: place[0])]


ORDERS: dict[str, WaitingOrder] = {
    "lost value": ValueOrder(),
    "rank, due time": _sorted_by(_rank_then_due),
    "first come": _sorted_by(lambda step, now: (step.submitted_at,)),
    "shortest first": _sorted_by(lambda step, now: (step.expected_s * step.accelerators**0.5,)),
    "earliest due": _sorted_by(lambda step, now: (step.objective.due_at,)),
    "dominant share": _dominant_share,
}
