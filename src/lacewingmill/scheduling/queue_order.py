"""The order in which the planners take the queued jobs."""

from collections.abc import Callable, Iterable

from lacewingmill.load.team_use import Team
from lacewingmill.scheduling.order import priority
from lacewingmill.scheduling.records import JobRecord
from lacewingmill.scheduling.state import SchedulerState
from lacewingmill.scheduling.value_order import (
    ValueOrder,
    WaitingOrder,
    WaitingStep,
    is_too_late,
)

__all__ = ["QueueOrder"]


class QueueOrder:
    """Orders queued jobs: those with an objective by ``order``, others by their expected work.

    :param order: order of the jobs with an objective; by lost value by default.
    """

    def __init__(self, state: SchedulerState, order: WaitingOrder | None = None):
        self._state = state
        self._order = order or ValueOrder()

    def sort(self, records: Iterable[JobRecord], now: float) -> list[JobRecord]:
        """Return records in the order in which they are placed; jobs with an objective come first.

        :param now: current time, in seconds.
        """
        plain: list[JobRecord] = []
        groups: dict[str, list[JobRecord]] = {}
        for record in records:
            if record.job.objective is None:
                plain.append(record)
            else:
                groups.setdefault(record.job.needs.group or record.job.job_id, []).append(record)
        plain.sort(key=lambda record: self._plain_key(record, now))
        if not groups:
            return plain
        state = self._state
        steps = [self._waiting_step(name, group) for name, group in groups.items()]
        ordered = self._order(steps, now, state.team_use, state.held_accelerators, self._shares())
        return [record for step in ordered for record in groups[step.step_id]] + plain

    def too_late(self, record: JobRecord, now: float) -> bool:
        """Return whether a queued job is expected to miss its last moment."""
        objective = record.job.objective
        return objective is not None and is_too_late(objective, self._remaining_s(record), now)

    def last_start(self, record: JobRecord) -> float:
        """Return the time by which a job must start to be of use, in seconds.

        Without an objective, it is the time of submission, so that the oldest job is the first.
        """
        objective = record.job.objective
        if objective is None:
            return record.job.submitted_at
        return objective.last_at - self._remaining_s(record)

    def largest_team_use(self) -> float:
        """Return the largest use of a team against its share, as the order counts it."""
        share, held = self._shares(), self._state.held_accelerators
        use = self._state.team_use
        return max(
            (use.relative_use(team, count, share(team)) for team, count in held.items()),
            default=0.0,
        )

    def _waiting_step(self, name: str, records: list[JobRecord]) -> WaitingStep:
        job = records[0].job
        return WaitingStep(
            name,
            (job.service, job.team),
            job.objective,
            job.shape.accelerators * len(records),
            max(self._state.expected_s(job) - min(record.done_s for record in records), 0.0),
            job.submitted_at,
            min(1.0, len(records) / max(1, job.group_size)),
        )

    def _plain_key(self, record: JobRecord, now: float) -> tuple[float | str, ...]:
        job = record.job
        waited_s = now - job.submitted_at
        expected_s = self._remaining_s(record)
        key = priority(self._state.rules, expected_s, job.shape.accelerators, waited_s)
        return (key, job.submitted_at, job.job_id)

    def _remaining_s(self, record: JobRecord) -> float:
        return max(self._state.expected_s(record.job) - record.done_s, 0.0)

    def _shares(self) -> Callable[[Team], float]:
        """Return a function of a team's share: its quota, and an equal part of what is left."""
        state = self._state
        quotas = state.quotas
        teams = state.held_accelerators.keys() | quotas.keys()
        left = max(0, state.cluster.total_accelerators - sum(quotas.values()))
        equal_part = left / max(1, len(teams))

        def share(team: Team) -> float:
            return quotas.get(team, 0) + equal_part

        return share
