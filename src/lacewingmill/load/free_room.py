"""The room that running gangs leave free as they end."""

import math
from collections import Counter
from collections.abc import Iterable

from lacewingmill.load.backlog import MemberSize
from lacewingmill.scheduling.cluster import Resources, WorkerState
from lacewingmill.scheduling.messages import WorkerInfo
from lacewingmill.scheduling.records import JobRecord, JobState
from lacewingmill.scheduling.state import SchedulerState

__all__ = ["TIMES_S", "FreeRoom", "earliest_start_s"]

# Times for which free room is computed, in seconds from now. Later ones lie beyond the last useful
# moment of most jobs.
TIMES_S = (0.0, 1.0, 2.0, 4.0, 8.0, 16.0, 30.0, 60.0, 120.0)


class FreeRoom:
    """The room of a service's workers that is free at each of :data:`TIMES_S`, without new work.

    Workers that get no work for now, and may get some at any moment, count as empty.

    :param ends_in: seconds until the running gangs end; without gangs that never end.
    :param returning: workers that are away and may come back.
    :param urgent: whether the room is for urgent jobs, which may evict other work.
    """

    def __init__(
        self,
        state: SchedulerState,
        ends_in: dict[str, float],
        returning: Iterable[WorkerInfo],
        urgent: bool,
    ):
        # The workers by their free accelerators and processor cores, rounded up.
        self._workers: list[Counter[tuple[int, int]]] = [Counter() for _ in TIMES_S]
        self._ends_in = ends_in
        self._records = state.records
        self._urgent = urgent
        self._slots: dict[MemberSize, tuple[int, ...]] = {}
        for name, worker_state in state.cluster.workers.items():
            if name in state.leaving:
                continue
            if name in state.silent or state.failures.quarantined(name):
                self._add_empty(worker_state.info)
            else:
                self._add_worker(worker_state)
        for info in returning:
            self._add_empty(info)
        self.accelerators = tuple(
            sum(free * count for (free, _), count in workers.items()) for workers in self._workers
        )
        self.processors = tuple(
            sum(free * count for (_, free), count in workers.items()) for workers in self._workers
        )

    def slots(self, size: MemberSize) -> tuple[int, ...]:
        """Return how many members of a size fit at each time."""
        slots = self._slots.get(size)
        if slots is None:
            slots = tuple(_count_slots(size, workers) for workers in self._workers)
            self._slots[size] = slots
        return slots

    def _add_empty(self, info: WorkerInfo) -> None:
        for workers in self._workers:
            workers[(info.accelerators, math.ceil(info.processors))] += 1

    def _add_worker(self, worker_state: WorkerState) -> None:
        info = worker_state.info
        used = Resources(
            worker_state.used.accelerators,
            worker_state.used.processors,
        )
        ends = sorted((self._ends_s(job_id), job_id) for job_id in worker_state.members)
        position = 0
        for workers, time_s in zip(self._workers, TIMES_S, strict=True):
            while position < len(ends) and ends[position][0] <= time_s:
                job_id = ends[position][1]
                used.add(self._records[job_id].job.shape, -worker_state.members[job_id])
                position += 1
            free = info.accelerators - used.accelerators
            workers[(free, math.ceil(info.processors - used.processors))] += 1

    def _ends_s(self, job_id: str) -> float:
        record = self._records[job_id]
        if record.state is JobState.EVICTING or (self._urgent and _may_be_evicted(record)):
            return 0.0
        return self._ends_in.get(job_id, math.inf)


def _may_be_evicted(record: JobRecord) -> bool:
    return not record.job.urgent and not record.protected


def _count_slots(size: MemberSize, workers: Counter[tuple[int, int]]) -> int:
    slots = 0
    for (accelerators, processors), count in workers.items():
        units = math.inf
        if size.accelerators:
            units = accelerators // size.accelerators
        if size.processors:
            units = min(units, int(processors / size.processors))
        if units > 0:
            slots += count * int(units)
    return slots


def earliest_start_s(
    available: tuple[float, ...], need: float, work_s: float, mean_s: float
) -> float:
    """Return the time before which work cannot start that waits behind other work, in seconds.

    When it starts, all that it waits behind has been started. What of that still runs occupies no
    more than it leaves, for a run time each at most.

    :param available: amount of a resource without new work at each of :data:`TIMES_S`, rising.
    :param need: amount that the work needs; more than zero.
    :param work_s: amount times run time of what goes before.
    :param mean_s: mean run time of what goes before, in seconds.
    :return: at most the last of :data:`TIMES_S`.
    """
    area_s = 0.0
    for begin_s, end_s, amount in zip(TIMES_S, TIMES_S[1:], available[1:], strict=False):
        if amount >= need:
            missing_s = work_s - (amount - need) * mean_s - area_s
            start_s = begin_s + max(0.0, missing_s) / amount
            if start_s <= end_s:
                return start_s
        area_s += amount * (end_s - begin_s)
    return TIMES_S[-1]
