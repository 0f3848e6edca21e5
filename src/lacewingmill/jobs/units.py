"""Units that occupy workers, and the state of their members."""

import enum

import attrs

from lacewingmill.jobs.graph import JobGraph
from lacewingmill.jobs.model import Step, TaskId, Unit

__all__ = ["ActiveUnit", "CloseReason", "GoneCause", "Member", "MemberState"]


class MemberState(enum.Enum):
    """The state of a member.

    A member whose start was sent counts as possibly running until its worker reports otherwise.
    """

    PLANNED = "planned"
    ORDERED = "ordered"
    RUNNING = "running"
    GONE = "gone"


class CloseReason(enum.Enum):
    """Why a unit releases its workers.

    ``TICKET_REFUSED`` is a start that a worker rejected because of its advice ticket.
    """

    FINISHED = "finished"
    EVICTED = "evicted"
    REJECTED = "rejected"
    TICKET_REFUSED = "barred"
    FAILED = "failed"
    LOST = "lost"
    CANCELLED = "cancelled"


class GoneCause(enum.Enum):
    """Why a member counts as gone although its worker listed no end of it.

    ``NOT_LISTED``: the worker lists it neither as running nor as ended. ``REPLACED``: another
    worker answers at the address. ``EXITED``: no machine runs the worker. ``LEASES_OVER``: the
    worker did not answer until all leases had expired.
    """

    NOT_LISTED = "not_listed"
    REPLACED = "replaced"
    EXITED = "exited"
    LEASES_OVER = "leases_over"


@attrs.define(eq=False)
class Member:
    """A task of a unit on a worker.

    :param run: number of the run; a later run of a unit has a higher one.
    :param confirmed_at: when the worker confirmed the start, in seconds.
    :param stop_requested: whether a stop was sent, with or without an answer.
    :param stopped_at: when the worker confirmed a stop, in seconds; 0 before.
    """

    task: TaskId
    run: int
    worker: str
    state: MemberState = MemberState.PLANNED
    confirmed_at: float = 0.0
    stop_requested: bool = False
    stopped_at: float = 0.0

    @property
    def gone(self) -> bool:
        """Whether the run has certainly ended or will certainly never start."""
        return self.state is MemberState.GONE


@attrs.define(eq=False)
class ActiveUnit:
    """A unit that occupies workers, with its members.

    :param ordered_at: when the start was ordered, in seconds.
    :param started_at: when all members were running, in seconds; 0 before.
    :param close_reason: why the unit releases its workers; ``None`` before it does.
    :param responsible_worker: the worker that caused the close; empty for none.
    :param failure_counted: whether a failure of this run was counted as an attempt.
    :param unconfirmed_until: time until which missing members may run on workers that have not
        answered this owner, in seconds; 0 when there are no such members.
    """

    unit: Unit
    graph: JobGraph
    run: int
    members: dict[TaskId, Member]
    ordered_at: float
    started_at: float = 0.0
    close_reason: CloseReason | None = None
    responsible_worker: str = ""
    failure_counted: bool = False
    unconfirmed_until: float = 0.0

    @property
    def step(self) -> Step:
        """The step that the unit belongs to."""
        return self.graph.submission.steps[self.unit.step]

    @property
    def all_gone(self) -> bool:
        """Whether no known member runs or can still start."""
        return all(member.gone for member in self.members.values())

    @property
    def all_running(self) -> bool:
        """Whether every member is known to run."""
        return all(member.state is MemberState.RUNNING for member in self.members.values())
