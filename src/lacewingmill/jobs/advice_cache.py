"""Which workers may run a step of an advised queue, and the tickets that prove it."""

from collections.abc import Iterable

import attrs

from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import TransportError
from lacewingmill.jobs.model import TaskId, Unit
from lacewingmill.jobs.ports import Advisor
from lacewingmill.ports import Clock

__all__ = ["AdviceBook"]

# The service takes at most 100 workers a call and answers after a time for each of them.
WORKERS_A_CALL = 100
TIMEOUT_S = 5.0
# A ticket is not used when it would end while the start is under way.
MARGIN_S = 0.3


@attrs.frozen
class _Ticket:
    text: str
    valid_until: float


class AdviceCache:
    """Tickets by step and worker; which workers may run a step never changes.

    :param advisor: the advice service; ``None`` where there is none.
    """

    def __init__(self, advisor: Advisor | None, clock: Clock, log: EventLog):
        self._advisor = advisor
        self._clock = clock
        self._log = log
        self._tickets: dict[tuple[str, int, int], dict[str, _Ticket]] = {}

    def workers(self, unit: Unit) -> frozenset[str]:
        """Return the workers that may run a unit, as far as was asked."""
        return frozenset(self._tickets.get(_step(unit), ()))

    def ask(self, unit: Unit, workers: Iterable[str]) -> None:
        """Ask about workers for the step of a unit; takes a time for each of them."""
        names = sorted(workers)
        for first in range(0, len(names), WORKERS_A_CALL):
            self._ask_some(unit, names[first : first + WORKERS_A_CALL])

    def ticket(self, unit: Unit, worker: str) -> str:
        """Return a valid ticket, asking for a new one if need be; empty when there is none."""
        ticket = self._find(unit, worker)
        if ticket is None:
            self._ask_some(unit, [worker])
            ticket = self._find(unit, worker)
        return ticket.text if ticket is not None else ""

    def refused(self, unit: Unit, worker: str) -> None:
        """Forget a ticket that the worker did not accept."""
        self._tickets.get(_step(unit), {}).pop(worker, None)

    def forget(self, job_id: str) -> None:
        """Forget the tickets of a job that is over."""
        for key in [key for key in self._tickets if key[0] == job_id]:
            del self._tickets[key]

    def _find(self, unit: Unit, worker: str) -> _Ticket | None:
        ticket = self._tickets.get(_step(unit), {}).get(worker)
        if ticket is None or ticket.valid_until - MARGIN_S < self._clock.now():
            return None
        return ticket

    def _ask_some(self, unit: Unit, workers: list[str]) -> None:
        if self._advisor is None:
            return
        task = TaskId(unit.job_id, unit.occurrence, unit.step, 0)
        try:
            advice = self._advisor.advise(task, workers, timeout_s=TIMEOUT_S)
        except TransportError as exc:
            self._log.emit(LogEvent.ADVICE_MISSING, unit=unit.unit_id, reason=exc.message)
            return
        valid_until = self._clock.now() + advice.valid_s
        known = self._tickets.setdefault(_step(unit), {})
        for worker, text in advice.tickets.items():
            known[worker] = _Ticket(text, valid_until)


def _step(unit: Unit) -> tuple[str, int, int]:
    return (unit.job_id, unit.occurrence, unit.step)
