"""The events that a :class:`WorkerLink` reports, and the results of starts."""

import enum
from typing import TYPE_CHECKING, Protocol

from gevent.event import Event

from lacewingmill.exceptions import TransportError
from lacewingmill.jobs.ports import HoldReport, StartOutcome
from lacewingmill.jobs.units import GoneCause, Member

if TYPE_CHECKING:
    from lacewingmill.jobs.worker_link import WorkerLink

__all__ = ["START_RESULTS", "LinkListener", "Order", "StartResult"]


class Order(enum.Enum):
    """An order to a worker about a member of a unit."""

    START = "start"
    STOP = "stop"


class StartResult(enum.Enum):
    """The result of starting a member, as seen by the owner.

    ``UNKNOWN`` means that the start has no usable result and that the member may run.
    ``UNHEALTHY`` also stands for a worker that was replaced. The other members mean the same as
    in :class:`~lacewingmill.jobs.ports.StartOutcome`. ``EVACUATED`` means that no start was sent,
    because the worker's failure domain is evacuated.
    """

    STARTED = "started"
    SUPERSEDED = "superseded"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"
    EVACUATED = "evacuated"
    UNKNOWN = "unknown"


START_RESULTS = {
    StartOutcome.STARTED: StartResult.STARTED,
    StartOutcome.SUPERSEDED: StartResult.SUPERSEDED,
    StartOutcome.NO_ROOM: StartResult.NO_ROOM,
    StartOutcome.NO_TICKET: StartResult.NO_TICKET,
    StartOutcome.UNHEALTHY: StartResult.UNHEALTHY,
    StartOutcome.INVALID: StartResult.INVALID,
}


class LinkListener(Protocol):
    """Receives the events of worker links."""

    def on_worker_joined(self, link: "WorkerLink", report: HoldReport) -> None:
        """Handle the first report of a worker, or the first one after it was declared lost."""

    def on_worker_reported(self, link: "WorkerLink", report: HoldReport) -> list[Event]:
        """Handle a worker's lists of running and ended runs.

        :return: events that are set once the effects of the listed ends are stored; the ends may
            be acknowledged to the worker only then.
        """

    def on_member_gone(self, link: "WorkerLink", member: Member, cause: GoneCause) -> None:
        """Handle a member that certainly no longer runs, though the worker listed no end of it."""

    def on_worker_silent(self, link: "WorkerLink") -> None:
        """Handle a worker that does not answer or reports that it is unhealthy."""

    def on_worker_answered(self, link: "WorkerLink") -> None:
        """Handle a silent worker that answers again."""

    def on_worker_lost(self, link: "WorkerLink") -> None:
        """Handle a worker on which nothing runs any more: it exited, or its leases expired."""

    def has_exited(self, link: "WorkerLink") -> bool:
        """Whether a worker has certainly exited, so that nothing runs there; may block."""

    def on_order_unanswered(
        self, link: "WorkerLink", member: Member, order: Order, exc: TransportError
    ) -> None:
        """Handle an order that got no answer; the worker may still carry it out."""

    def on_link_failed(self, link: "WorkerLink", exc: Exception) -> None:
        """Handle an unexpected error in the handling of one worker; the link continues."""

    def on_fenced(self) -> None:
        """Handle a rejection by a worker that has accepted a higher fence."""

    def on_failed(self) -> None:
        """Handle an unexpected error that has ended the link's greenlet."""
