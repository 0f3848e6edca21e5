"""Units that hold workers: their members from the first order to the last end."""

import enum

import attrs

from lacewingmill.jobs.graph import JobGraph
from lacewingmill.jobs.model import Step, TaskId, Unit

__all__ = ["ActiveUnit", "Closing", "Member", "MemberState"]


class MemberState(enum.Enum):
    """Where a member stands.

    A member whose start was sent counts as possibly running until its worker tells otherwise.
    """

    PLANNED = "planned"
    ORDERED = "ordered"
    RUNNING = "running"
    GONE = "gone"


class Closing(enum.Enum):
    """Why a unit gives its workers back."""

    FINISHED = "finished"
    EVICTED = "evicted"
    REJECTED = "rejected"
    BARRED = "barred"
    FAILED = "failed"
    LOST = "lost"
    CANCELLED = "cancelled"


@attrs.define(eq=False)
class Member:
    """One task of a unit on a worker.

    :param confirmed_at: when the worker confirmed the start, in seconds.
    :param stop_asked: whether a stop was sent, answered or not.
    :param stopped_at: when the worker confirmed a stop, in seconds; 0 for no stop.
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
        """Whether it certainly does not run and never will."""
        return self.state is MemberState.GONE


@attrs.define(eq=False)
class ActiveUnit:
    """A unit with its members.

    :param blamed: the worker because of which it closes; empty for none.
    :param ordered_at: when its start was ordered, in seconds.
    :param started_at: when all members ran, in seconds; 0 before.
    :param hidden_until: until then a member may run on a worker that has not answered this owner,
        in seconds; 0 when every member is known.
    """

    unit: Unit
    graph: JobGraph
    run: int
    members: dict[TaskId, Member]
    ordered_at: float
    started_at: float = 0.0
    closing: Closing | None = None
    blamed: str = ""
    failure_counted: bool = False
    hidden_until: float = 0.0

    @property
    def step(self) -> Step:
        """The step that it belongs to."""
        return self.graph.submission.steps[self.unit.step]

    @property
    def all_gone(self) -> bool:
        """Whether no member can be running any more."""
        return all(member.gone for member in self.members.values())

    @property
    def all_running(self) -> bool:
        """Whether every member was confirmed."""
        return all(member.state is MemberState.RUNNING for member in self.members.values())
