"""What a link to a worker tells the owner of the jobs."""

import enum
from typing import TYPE_CHECKING, Protocol

from gevent.event import Event

from lacewingmill.exceptions import TransportError
from lacewingmill.jobs.ports import HoldReport, StartOutcome
from lacewingmill.jobs.units import Member

if TYPE_CHECKING:
    from lacewingmill.jobs.worker_link import WorkerLink

__all__ = ["OUTCOMES", "LinkListener", "Order", "StartResult"]


class Order(enum.Enum):
    """What a worker is told to do with a member."""

    START = "start"
    STOP = "stop"


class StartResult(enum.Enum):
    """What became of a start."""

    STARTED = "started"
    SUPERSEDED = "superseded"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"
    UNKNOWN = "unknown"


OUTCOMES = {
    StartOutcome.STARTED: StartResult.STARTED,
    StartOutcome.SUPERSEDED: StartResult.SUPERSEDED,
    StartOutcome.NO_ROOM: StartResult.NO_ROOM,
    StartOutcome.NO_TICKET: StartResult.NO_TICKET,
    StartOutcome.UNHEALTHY: StartResult.UNHEALTHY,
    StartOutcome.INVALID: StartResult.INVALID,
}


class LinkListener(Protocol):
    """What a link tells its owner."""

    def link_opened(self, link: "WorkerLink", report: HoldReport) -> None:
        """The worker has answered for the first time, or after it had been given up."""

    def link_reported(self, link: "WorkerLink", report: HoldReport) -> list[Event]:
        """The worker has told its lists; returns what must be stored before ends are forgotten."""

    def member_gone(self, link: "WorkerLink", member: Member) -> None:
        """A member certainly runs no more, though no end of it was listed."""

    def link_silent(self, link: "WorkerLink") -> None:
        """The worker does not answer, or says that it is not well."""

    def link_answers(self, link: "WorkerLink") -> None:
        """The worker answers again."""

    def link_lost(self, link: "WorkerLink") -> None:
        """All leases on the worker have certainly lapsed."""

    def order_unanswered(
        self, link: "WorkerLink", member: Member, order: Order, exc: TransportError
    ) -> None:
        """An order for a member got no answer; it may be carried out, also later."""

    def fenced(self) -> None:
        """The worker obeys a higher fence."""

    def failed(self) -> None:
        """The link has ended by an unexpected error."""
