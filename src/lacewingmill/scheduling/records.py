"""The scheduler's record of each job, with notes that explain its decisions."""

import enum

import attrs

from lacewingmill.scheduling.cluster import Block, BlockPart
from lacewingmill.scheduling.guarantees import Slot
from lacewingmill.scheduling.messages import Job, Placement

__all__ = ["JobRecord", "JobState", "Note", "explain_record"]

MAX_NOTES = 20


class JobState(enum.Enum):
    """State of a job in the scheduler."""

    QUEUED = "queued"
    CLAIMING = "claiming"
    STARTING = "starting"
    RUNNING = "running"
    EVICTING = "evicting"


@attrs.frozen
class Note:
    """One decision about a job, worded for operators.

    :param at: time of the decision, in seconds.
    """

    at: float
    text: str


@attrs.define(eq=False)
class JobRecord:
    """A job from its submission to its end.

    :param block: block of a pending claim, set until the gangs on it have been evicted.
    :param placement: accelerators held by the job; empty while it waits.
    :param slot: guaranteed slot claimed by the job.
    :param protected: whether the job may not be evicted.
    :param done_s: run time preserved by checkpoints, in seconds.
    :param started_at: start time of the current run, in seconds.
    :param runs: number of times that this scheduler has started it.
    :param run_time_learned: whether its run time has been learned from its progress.
    :param cancelled: whether the job was cancelled while its gang was being evicted.
    :param deferred: whether the job waits behind others because it is expected to end too late.
    :param blocked_by: what the job waits for; empty when unknown.
    :param evictions: how often the job was evicted for another one.
    :param evicts_at: last moment for the stops that a pending claim has deferred, in seconds; 0
        when there are none.
    """

    job: Job
    state: JobState = JobState.QUEUED
    block: Block = ()
    placement: Placement = ()
    slot: Slot | None = None
    protected: bool = False
    done_s: float = 0.0
    started_at: float = 0.0
    runs: int = 0
    run_time_learned: bool = False
    cancelled: bool = False
    deferred: bool = False
    blocked_by: str = ""
    evictions: int = 0
    evicts_at: float = 0.0
    notes: list[Note] = attrs.field(factory=list)

    @property
    def workers(self) -> tuple[str, ...]:
        """The workers that hold the placement."""
        return tuple(member.worker for member in self.placement)

    @property
    def held_block(self) -> Block:
        """The placement as the number of members on each worker."""
        return tuple(BlockPart(member.worker, member.units) for member in self.placement)

    def note(self, now: float, text: str) -> None:
        """Record a decision; consecutive equal ones are recorded once."""
        if self.notes and self.notes[-1].text == text:
            return
        self.notes.append(Note(now, text))
        if len(self.notes) > MAX_NOTES:
            del self.notes[1]


def explain_record(record: JobRecord) -> tuple[Note, ...]:
    """Return the decisions about a job and, if it is queued, what it waits for."""
    notes = tuple(record.notes)
    if record.state is not JobState.QUEUED or not record.blocked_by:
        return notes
    at = notes[-1].at if notes else record.job.submitted_at
    return (*notes, Note(at, f"waits for {record.blocked_by}"))
