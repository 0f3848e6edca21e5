"""Adds gangs that were found running when a new owner took over."""

from lacewingmill.scheduling.messages import RunningGang
from lacewingmill.scheduling.records import JobRecord, JobState
from lacewingmill.scheduling.state import SchedulerState

__all__ = ["adopt_gang"]


def adopt_gang(state: SchedulerState, gang: RunningGang) -> JobRecord:
    """Add the record of a running gang, with the slot that it claims, and return it."""
    record = JobRecord(gang.job, JobState.RUNNING, placement=gang.placement)
    record.started_at = gang.started_at
    record.done_s = gang.done_s
    state.records[gang.job.job_id] = record
    state.cluster.adopt(gang.job.job_id, gang.job.shape, gang.placement)
    state.count_held(gang.job, 1)
    slot = state.slot_table.unclaimed_slot(gang.job.slot_key) if gang.guaranteed else None
    if slot is not None:
        state.slot_table.unreserve(slot)
        slot.holder = gang.job.job_id
        record.slot = slot
    if slot is not None or not gang.job.evictable or (gang.guaranteed and gang.job.urgent):
        record.protected = True
        state.slot_table.count_protected(gang.job.shape, record.held_block, 1)
    return record
