"""What the scheduler keeps about each job, and the notes that explain its decisions."""

import enum

import attrs

from lacewingmill.scheduling.cluster import Block, BlockPart
from lacewingmill.scheduling.guarantees import Slot
from lacewingmill.scheduling.messages import Job, Placement

__all__ = ["JobRecord", "JobState", "Note", "explain_record"]

NOTES_KEPT = 20


class JobState(enum.Enum):
    """Where a job stands."""

    QUEUED = "queued"
    CLAIMING = "claiming"
    STARTING = "starting"
    RUNNING = "running"
    EVICTING = "evicting"


@attrs.frozen
class Note:
    """One decision about a job, in a sentence that a caretaker can read.

    :param at: time of the decision, in seconds.
    """

    at: float
    text: str


@attrs.define(eq=False)
class JobRecord:
    """A job from its submission to its end.

    :param block: the block of a pending claim, pledged until its victims are gone.
    :param placement: the accelerators held; empty while waiting.
    :param slot: the guaranteed slot held by the job.
    :param done_s: run time kept by checkpoints, in seconds.
    :param started_at: when the present run began, in seconds.
    :param cancelled: whether the caller gave up while the gang was being evicted.
    """

    job: Job
    state: JobState = JobState.QUEUED
    block: Block = ()
    placement: Placement = ()
    slot: Slot | None = None
    protected: bool = False
    done_s: float = 0.0
    started_at: float = 0.0
    cancelled: bool = False
    blocked_by: str = ""
    notes: list[Note] = attrs.field(factory=list)

    @property
    def workers(self) -> tuple[str, ...]:
        """The workers of the placement."""
        return tuple(member.worker for member in self.placement)

    @property
    def held_block(self) -> Block:
        """The placement as counts."""
        return tuple(BlockPart(member.worker, member.units) for member in self.placement)

    def note(self, now: float, text: str) -> None:
        """Remember a decision; a repeated one is kept once."""
        if self.notes and self.notes[-1].text == text:
            return
        self.notes.append(Note(now, text))
        if len(self.notes) > NOTES_KEPT:
            del self.notes[1]


def explain_record(record: JobRecord) -> tuple[Note, ...]:
    """Return the decisions about a job, and what it waits for now."""
    notes = tuple(record.notes)
    if record.state is not JobState.QUEUED or not record.blocked_by:
        return notes
    at = notes[-1].at if notes else record.job.submitted_at
    return (*notes, Note(at, f"waits for {record.blocked_by}"))
