"""The order of waiting steps whose jobs have objectives: by the value that waiting loses.

A job has its full value until it is due, a part of it until its last moment, and none afterwards.
The value that it loses by waiting, for each accelerator-second that it still needs, decides. Near
equals are ordered by what their teams use against their shares.
"""

import collections
import math
from collections.abc import Callable, Mapping, Sequence

import attrs

from lacewingmill.load.team_use import Team, TeamUse
from lacewingmill.scheduling.messages import Objective

__all__ = ["ValueOrder", "WaitingOrder", "WaitingStep", "is_too_late", "lost_value"]

# Share of a job's value that is left once it is late: callers lose more by no answer than by a late
# one.
LATE_VALUE = 0.8
# How much more a job of the next higher rank loses by waiting. The ranks of a configuration are
# classes of urgency: callers of a rank wait for each second, those of the next for ten.
RANK_FACTOR = 10.0
# A unit that waits gets its next chance when others end, after about a run time. A loss that is
# this many run times ahead can be averted by later chances.
SLACK_RUN_TIMES = 3.0
MIN_SLACK_SCALE_S = 1.0
# Keeps a loss that is far ahead above that of a job that has nothing to lose any more.
MAX_SCALES_AHEAD = 100.0
# Caps the preference for jobs that are nearly done.
MIN_REMAINING_SHARE = 0.125


@attrs.frozen
class WaitingStep:
    """The waiting units of a step, which are alike, with what their place in the order depends on.

    :param accelerators: of all its waiting units.
    :param expected_s: expected remaining run time of a unit, in seconds.
    :param waiting_share: share of the step's units that wait, 0..1.
    """

    step_id: str
    team: Team
    objective: Objective
    accelerators: int
    expected_s: float
    submitted_at: float
    waiting_share: float = 1.0


# Returns the steps in the order in which they are placed. The last two parameters are the
# accelerators that each team holds and those that it is due.
WaitingOrder = Callable[
    [Sequence[WaitingStep], float, TeamUse, Mapping[Team, int], Callable[[Team], float]],
    list[WaitingStep],
]


def is_too_late(objective: Objective, expected_s: float, now: float) -> bool:
    """Return whether a unit that starts now is expected to end after its last moment.

    :param expected_s: expected remaining run time, in seconds.
    """
    return now + expected_s > objective.last_at


def lost_value(step: WaitingStep, now: float, slack_scale_s: float) -> float:
    """Return the value that a step is about to lose by waiting, for the room that it needs.

    Values are relative: a job of rank 0 that has just become late, and of which all units wait,
    has lost ``1 - LATE_VALUE``.

    :param slack_scale_s: a loss counts 1/e if it is this far ahead, in seconds.
    """
    end = now + step.expected_s
    objective = step.objective
    if end > objective.last_at:
        return 0.0
    loss = LATE_VALUE * _nearness((objective.last_at - end) / slack_scale_s)
    if end <= objective.due_at:
        loss += (1.0 - LATE_VALUE) * _nearness((objective.due_at - end) / slack_scale_s)
    weight = RANK_FACTOR**-objective.rank
    return weight * loss / max(step.waiting_share, MIN_REMAINING_SHARE)


def _nearness(scales_ahead: float) -> float:
    """Return how much a loss counts; never 0, however far ahead it is."""
    return math.exp(-min(scales_ahead, MAX_SCALES_AHEAD))


class ValueOrder:
    """Orders steps by the value that waiting loses, then by what their teams use."""

    def __call__(
        self,
        steps: Sequence[WaitingStep],
        now: float,
        use: TeamUse,
        held: Mapping[Team, int],
        share: Callable[[Team], float],
    ) -> list[WaitingStep]:
        """Return the steps in the order in which they are placed.

        :param held: accelerators held by each team.
        :param share: returns the accelerators that a team is due.
        """
        if not steps:
            return []
        mean_s = sum(step.expected_s for step in steps) / len(steps)
        scale_s = max(SLACK_RUN_TIMES * mean_s, MIN_SLACK_SCALE_S)
        levels: dict[float, dict[Team, list[WaitingStep]]] = {}
        for step in steps:
            level = _level(lost_value(step, now, scale_s))
            teams = levels.setdefault(level, collections.defaultdict(list))
            teams[step.team].append(step)
        taken = collections.Counter(held)
        ordered: list[WaitingStep] = []
        for level in sorted(levels, reverse=True):
            ordered.extend(_interleave(levels[level], taken, use, share))
        return ordered


def _level(value: float) -> float:
    """Return the level of a value; values of one level differ at most by a factor of two."""
    return math.floor(math.log2(value)) if value > 0.0 else -math.inf


def _interleave(
    teams: Mapping[Team, list[WaitingStep]],
    taken: collections.Counter[Team],
    use: TeamUse,
    share: Callable[[Team], float],
) -> list[WaitingStep]:
    """Return the steps of all teams, always the next one of the team with least of its share.

    :param taken: accelerators that each team holds, and those of its steps that come earlier in
        the order; updated.
    """
    places = []
    for team, steps in teams.items():
        team_share = share(team)
        for step in sorted(steps, key=_within_team):
            places.append((use.relative_use(team, taken[team], team_share), step))
            taken[team] += step.accelerators
    places.sort(key=lambda place: place[0])
    return [step for _, step in places]


def _within_team(step: WaitingStep) -> tuple[float, ...]:
    """Return the sort key among steps of one team: those that are nearly done, or due, first."""
    return (step.objective.rank, step.waiting_share, step.objective.due_at)
