"""Runs on workers that are about to leave: which ones are stopped to start again elsewhere.

A run that does not end before its worker leaves is lost, and with it the gang. It is stopped early
if the work that it would still do and lose outweighs what a stop loses.
"""

from lacewingmill.load.forecast import RunForecast
from lacewingmill.scheduling.eviction_policy import (
    EVICTION_PAUSE_S,
    accelerator_equivalent,
    lost_work,
)
from lacewingmill.scheduling.messages import EvictionReason
from lacewingmill.scheduling.records import JobRecord, JobState
from lacewingmill.scheduling.state import SchedulerState

__all__ = ["DeparturePlanner", "running_share"]


def running_share(forecast: RunForecast, at: float) -> float:
    """Return the share of runs with a forecast that still run at a moment, 0..1.

    :param at: in seconds.
    """
    points = ((forecast.early_at, 0.9), (forecast.likely_at, 0.5), (forecast.late_at, 0.1))
    if at <= points[0][0]:
        return points[0][1]
    for (start, above), (end, below) in zip(points, points[1:], strict=False):
        if at <= end:
            return above - (above - below) * (at - start) / max(end - start, 1e-9)
    return 0.0


class DeparturePlanner:
    """Stops gangs that are unlikely to end before one of their workers leaves."""

    def __init__(self, state: SchedulerState):
        self._state = state

    def stop_early(self, now: float) -> None:
        """Stop the gangs that lose less by a stop now; nothing is done without limits of time."""
        state = self._state
        if not state.eviction_rules.notice_s:
            return
        for worker in state.departures.workers():
            worker_state = state.cluster.workers.get(worker)
            if worker_state is None:
                continue
            for job_id in list(worker_state.members):
                record = state.records[job_id]
                if record.state is JobState.RUNNING and self._loses_less_by_stop(
                    record, worker, now
                ):
                    state.evict(record, f"{worker} leaves", now, EvictionReason.DEPARTURE)

    def _loses_less_by_stop(self, record: JobRecord, worker: str, now: float) -> bool:
        state = self._state
        left_s = state.departures.leaves_at(worker) - now
        if record.job.lasting or left_s <= 0:
            return False
        if len(record.workers) == 1 and not record.job.checkpoint:
            return False  # a stop costs as much as the departure, and frees no other worker
        if not self._fits_elsewhere(record):
            return False
        running = running_share(state.forecast(record, now), now + left_s)
        weight = accelerator_equivalent(record.job.shape, state.rules)
        lost_s = lost_work(record, now, state.rules) / weight
        return running * left_s > (1.0 - running) * lost_s + EVICTION_PAUSE_S

    def _fits_elsewhere(self, record: JobRecord) -> bool:
        """Return whether enough is free to replace what the gang holds on cordoned workers."""
        cluster = self._state.cluster
        size = record.job.shape.unit_accelerators
        missing = sum(
            part.units * size for part in record.held_block if part.worker in cluster.cordoned
        )
        free = sum(
            len(worker_state.free)
            for worker_state in cluster.workers.values()
            if cluster.schedulable(worker_state)
        )
        return free >= missing
