"""Messages between entry VMs about jobs."""

import enum

import attrs

from lacewingmill.cells.history import HistoryEntry
from lacewingmill.models import Fence
from lacewingmill.ports import ApplicationAnswer
from lacewingmill.scheduling.messages import Job
from lacewingmill.scheduling.records import Note

__all__ = ["ClaimRecord", "JobPhase", "JobReport", "JobSpec", "SubmitJob"]


class JobPhase(enum.Enum):
    """How far a job is, as its caller sees it."""

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"

    @property
    def final(self) -> bool:
        """Whether the outcome is settled."""
        return self in (JobPhase.DONE, JobPhase.NOT_RUN, JobPhase.UNKNOWN)


@attrs.frozen
class SubmitJob:
    """A job on its way to the owner of the cell; safe to repeat.

    :param deadline_s: how long the caller waits from now, in seconds.
    """

    job: Job
    key: str
    body: bytes
    content_type: str
    deadline_s: float


@attrs.frozen
class JobSpec:
    """What a worker keeps with a lease, so that a new owner can take the gang over.

    :param started_wall: wall-clock time of the start order, in seconds since the epoch.
    :param done_s: run time kept by earlier checkpoints, in seconds.
    """

    job: Job
    key: str
    guaranteed: bool
    started_wall: float
    done_s: float = 0.0


@attrs.frozen
class JobReport:
    """The state of a job.

    :param answer: filled when the phase is ``DONE``.
    :param reason: filled when it is ``NOT_RUN`` or ``UNKNOWN``.
    :param history: filled for operators only: what the store keeps about the job.
    """

    job_id: str
    phase: JobPhase
    answer: ApplicationAnswer | None = None
    reason: str = ""
    step: str = ""
    peer: str = ""
    notes: tuple[Note, ...] = ()
    history: tuple[HistoryEntry, ...] = ()


@attrs.frozen
class ClaimRecord:
    """A claim of non-idempotent work in the store, written before anything is sent.

    :param write_id: unique per attempt, so that a lost answer can be settled by reading.
    :param gang: the gang that may run it; empty for ordinary requests.
    :param at: wall-clock time of the claim, in seconds since the epoch.
    :param members: the gang's workers.
    :param answer: the answer once known.
    """

    write_id: str
    by: str
    fence: Fence
    at: float
    gang: str = ""
    members: tuple[str, ...] = ()
    answer: ApplicationAnswer | None = None
