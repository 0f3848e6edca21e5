"""Forecasts of when the workers of a service have room for the kinds of units that wait.

Every estimate is a lower bound: sizes are rounded in favour of the units, and how these are spread
over workers and racks is ignored.
"""

import math
from collections import Counter, deque
from collections.abc import Callable

import attrs

from lacewingmill.load.backlog import (
    Backlog,
    Kind,
    MemberSize,
    add_up_ahead,
    least_share,
    sum_up_backlog,
)
from lacewingmill.load.free_room import FreeRoom, earliest_start_s
from lacewingmill.scheduling.messages import WorkerInfo
from lacewingmill.scheduling.state import HELD_STATES, SchedulerState

__all__ = ["QuotaLeft", "RoomForecast", "RoomForecaster", "StartForecast", "WorkerLimits"]

# A worker that was lost counts as empty for this time, in seconds, because it may come back.
LOST_COUNTS_S = 10.0
# When the number of workers has grown, it may go on growing for this time, in seconds.
GROWING_S = 10.0
# Workers that restart are away for several seconds. What fits is judged by all that were seen in
# this time, in seconds.
SEEN_S = 30.0
# Share of the running work that may end before its forecast's early time.
EARLIER_SHARE = 0.1
# With more workers a forecast would hold up the owner for tens of milliseconds.
MAX_WORKERS = 600
# Bounds the digest that the forecast goes into.
MAX_STARTS = 24
# Quota that running jobs may give back while a forecast is in use counts as left, in seconds.
IN_USE_S = 3.0


@attrs.frozen
class StartForecast:
    """When a kind of unit that waits could start; larger units and worse ranks start no earlier.

    :param size: size of the smallest member.
    :param members: members of the narrowest unit.
    :param earliest_s: time before which no such unit starts in nine of ten cases, in seconds from
        the forecast.
    :param likely_s: the same by the medians of the run times, in seconds.
    :param slots: members of this size that run at a time.
    """

    rank: int
    size: MemberSize
    members: int
    earliest_s: float
    likely_s: float
    slots: int


@attrs.frozen
class WorkerLimits:
    """The most that one worker offers of each resource, and all workers together.

    :param labels: all labels of the workers.
    """

    accelerators: int
    processors: float
    memory_gb: float
    total_accelerators: int
    total_processors: float
    total_memory_gb: float
    labels: tuple[str, ...]


@attrs.frozen
class QuotaLeft:
    """The accelerators of a team's quota that its urgent jobs leave; negative beyond the quota."""

    team: str
    accelerators: int


@attrs.frozen
class RoomForecast:
    """The room of a service's workers.

    :param at: time of the forecast, in seconds.
    :param starts: kinds of units that cannot start now, those with the latest starts.
    :param limits: ``None`` while the workers are not known well enough to tell what never fits.
    :param quotas: of the teams with urgent jobs, while urgent jobs cannot start.
    """

    at: float
    starts: tuple[StartForecast, ...] = ()
    limits: WorkerLimits | None = None
    quotas: tuple[QuotaLeft, ...] = ()


class RoomForecaster:
    """Forecasts the room of one service, and keeps which workers were seen lately.

    :param started_at: time at which the owner began to plan, in seconds.
    """

    def __init__(self, started_at: float):
        self._started_at = started_at
        self._grown_at = started_at
        self._seen: dict[str, tuple[WorkerInfo, float]] = {}
        self._counts: deque[tuple[float, int]] = deque()

    def forecast(self, state: SchedulerState, now: float) -> RoomForecast:
        """Return the forecast for a scheduler's state."""
        self._observe(state, now)
        limits = self._limits() if now - self._started_at >= SEEN_S else None
        too_many = len(state.cluster.workers) > MAX_WORKERS
        if now - self._grown_at < GROWING_S or too_many or not state.queue:
            return RoomForecast(now, limits=limits)
        starts = self._starts(state, now)
        urgent_waits = any(start.rank == 0 for start in starts)
        return RoomForecast(now, starts, limits, _quotas_left(state, now) if urgent_waits else ())

    def _observe(self, state: SchedulerState, now: float) -> None:
        workers = state.cluster.workers
        while self._counts and now - self._counts[0][0] > GROWING_S:
            self._counts.popleft()
        if len(workers) > max((count for _, count in self._counts), default=0):
            self._grown_at = now
        self._counts.append((now, len(workers)))
        for name, worker_state in workers.items():
            self._seen[name] = (worker_state.info, now)
        for name, (_, seen_at) in list(self._seen.items()):
            if now - seen_at > SEEN_S:
                del self._seen[name]

    def _limits(self) -> WorkerLimits | None:
        infos = [info for info, _ in self._seen.values()]
        if not infos:
            return None
        return WorkerLimits(
            max(info.accelerators for info in infos),
            max(info.processors for info in infos),
            max(info.memory_gb for info in infos),
            sum(info.accelerators for info in infos),
            sum(info.processors for info in infos),
            sum(info.memory_gb for info in infos),
            tuple(sorted(frozenset().union(*(info.labels for info in infos)))),
        )

    def _starts(self, state: SchedulerState, now: float) -> tuple[StartForecast, ...]:
        returning = [
            info
            for name, (info, seen_at) in self._seen.items()
            if name not in state.cluster.workers and now - seen_at <= LOST_COUNTS_S
        ]
        ends = {
            job_id: state.forecast(record, now)
            for job_id, record in state.records.items()
            if record.state in HELD_STATES and not record.job.lasting
        }
        # Of many runs, few end as early as any one of them may.
        many = 1.0 - 1.0 / math.sqrt(max(1, len(ends)))
        early_ends_in = {
            job_id: end.early_at + (end.likely_at - end.early_at) * many - now
            for job_id, end in ends.items()
        }
        likely_ends_in = {job_id: end.likely_at - now for job_id, end in ends.items()}
        backlog = sum_up_backlog(state, now)
        early = _Outlook(state, backlog, early_ends_in, returning, least_share, EARLIER_SHARE)
        likely = _Outlook(state, backlog, likely_ends_in, returning, lambda count: 1.0, 0.0)
        earliest = [(early.start_s(kind), kind) for kind in backlog]
        latest_first = sorted(
            (start for start in earliest if start[0] > 0), key=lambda start: -start[0]
        )
        return tuple(
            early.forecast(kind, earliest_s, max(earliest_s, likely.start_s(kind)))
            for earliest_s, kind in latest_first[:MAX_STARTS]
        )


class _Outlook:
    """The room and the backlog by one quantile of the run times.

    :param ends_in: seconds until the running gangs end; without gangs that never end.
    :param returning: workers that are away and may come back.
    :param work_share: returns the share of the work ahead that counts, by the number of its groups.
    :param earlier_share: share of the running work that may end before its forecast.
    """

    def __init__(
        self,
        state: SchedulerState,
        backlog: dict[Kind, Backlog],
        ends_in: dict[str, float],
        returning: list[WorkerInfo],
        work_share: Callable[[int], float],
        earlier_share: float,
    ):
        self._state = state
        self._backlog = backlog
        self._ends_in = ends_in
        self._returning = returning
        self._work_share = work_share
        self._earlier_share = earlier_share
        self._rooms: dict[bool, FreeRoom] = {}
        self._smallest: dict[tuple[int, int], MemberSize] = {}
        for kind, waiting in self._backlog.items():
            other = self._smallest.get(kind.member_class, waiting.size)
            self._smallest[kind.member_class] = MemberSize(
                min(other.accelerators, waiting.size.accelerators),
                min(other.processors, waiting.size.processors),
            )

    def start_s(self, kind: Kind) -> float:
        """Return the time before which no unit of a kind starts, in seconds; 0 for now."""
        waiting = self._backlog[kind]
        room = self._room(kind)
        size, members = self._smallest[kind.member_class], waiting.members
        slots = room.slots(size)
        if slots[0] >= members:
            return 0.0
        ahead, alike = add_up_ahead(kind, self._backlog)
        limits = (
            (slots, members, alike.member_s, alike.groups),
            (
                room.accelerators,
                members * waiting.accelerators,
                ahead.accelerator_s,
                ahead.groups,
            ),
            (room.processors, members * waiting.processors, ahead.processor_s, ahead.groups),
        )
        return max(
            earliest_start_s(
                self._rising(available), need, work_s * self._work_share(groups), ahead.mean_s
            )
            for available, need, work_s, groups in limits
            if need > 0
        )

    def _rising(self, available: tuple[int, ...]) -> tuple[float, ...]:
        """Return what may be free of a resource at each time."""
        return tuple(
            amount + self._earlier_share * (available[-1] - amount) for amount in available
        )

    def forecast(self, kind: Kind, earliest_s: float, likely_s: float) -> StartForecast:
        """Return the forecast for a kind that waits."""
        waiting = self._backlog[kind]
        slots = self._room(kind).slots(self._smallest[kind.member_class])[-1]
        return StartForecast(
            kind.rank, waiting.size, waiting.members, earliest_s, likely_s, max(1, slots)
        )

    def _room(self, kind: Kind) -> FreeRoom:
        urgent = kind.rank == 0
        if urgent not in self._rooms:
            self._rooms[urgent] = FreeRoom(self._state, self._ends_in, self._returning, urgent)
        return self._rooms[urgent]


def _quotas_left(state: SchedulerState, now: float) -> tuple[QuotaLeft, ...]:
    """Return the quotas of teams with urgent jobs, less what these surely hold for a while."""
    used: Counter[str] = Counter()
    for record in state.records.values():
        job = record.job
        if not job.urgent:
            continue
        if record.state in HELD_STATES and state.forecast(record, now).early_at <= now + IN_USE_S:
            continue
        used[job.team] += job.shape.accelerators
    quotas = {team: quota for (_, team), quota in state.quotas.items()}
    return tuple(
        QuotaLeft(team, quotas.get(team, 0) - accelerators)
        for team, accelerators in sorted(used.items())
    )
