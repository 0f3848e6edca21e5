"""Messages between entry VMs about jobs, and the claim record in the store."""

import enum

import attrs

from lacewingmill.cells.history import HistoryEntry
from lacewingmill.models import Fence
from lacewingmill.ports import ApplicationResponse
from lacewingmill.scheduling.messages import Job
from lacewingmill.scheduling.records import Note

__all__ = ["ClaimRecord", "JobPhase", "JobReport", "JobSpec", "SubmitJob"]


class JobPhase(enum.Enum):
    """State of a job as reported to its client."""

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"

    @property
    def final(self) -> bool:
        """Whether the job has an outcome, which no longer changes."""
        return self in (JobPhase.DONE, JobPhase.NOT_RUN, JobPhase.UNKNOWN)


@attrs.frozen
class SubmitJob:
    """Submission of a job to the owner of the cell; it may be repeated.

    :param key: idempotency key of the request.
    :param deadline_s: how long the client still waits, in seconds.
    :param sent_before: whether an earlier owner may have received the job.
    """

    job: Job
    key: str
    body: bytes
    content_type: str
    deadline_s: float
    sent_before: bool = False


@attrs.frozen
class JobSpec:
    """The job data that a worker stores with a lease, so that a new owner can adopt the gang.

    :param key: idempotency key of the request.
    :param guaranteed: whether the gang holds a guaranteed slot of its team.
    :param started_wall: wall-clock time of the start order, in seconds since the epoch.
    :param done_s: run time saved by earlier checkpoints, in seconds.
    """

    job: Job
    key: str
    guaranteed: bool
    started_wall: float
    done_s: float = 0.0


@attrs.frozen
class JobReport:
    """The state of a job.

    :param answer: set if the phase is ``DONE``.
    :param reason: set if the phase is ``NOT_RUN`` or ``UNKNOWN``.
    :param step: the step at which the job stopped or its outcome became unknown; may be empty.
    :param peer: the worker or VM concerned; may be empty.
    :param notes: the scheduler's decisions about the job.
    :param history: entries about the job in the cell's history; set for operators only.
    """

    job_id: str
    phase: JobPhase
    answer: ApplicationResponse | None = None
    reason: str = ""
    step: str = ""
    peer: str = ""
    notes: tuple[Note, ...] = ()
    history: tuple[HistoryEntry, ...] = ()


@attrs.frozen
class ClaimRecord:
    """A claim of a non-idempotent job or request in the store, written before anything is sent.

    :param write_id: unique per write, so that a reader can tell whether a write whose answer was
        lost has succeeded.
    :param by: name of the VM that wrote the claim.
    :param at: wall-clock time of the claim, in seconds since the epoch.
    :param gang: the gang that may run the job; empty for ordinary requests.
    :param members: the gang's workers.
    :param answer: the answer to the client, once known.
    """

    write_id: str
    by: str
    fence: Fence
    at: float
    gang: str = ""
    members: tuple[str, ...] = ()
    answer: ApplicationResponse | None = None
