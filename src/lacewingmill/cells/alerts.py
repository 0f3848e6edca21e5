"""Logs quarantines and guarantees in shortfall when they begin."""

from lacewingmill.events import EventLog, LogEvent
from lacewingmill.scheduling.messages import SlotKey
from lacewingmill.scheduling.scheduler import Scheduler

__all__ = ["TroubleLog"]


class AlertLog:
    """Compares the scheduler with what was logged before."""

    def __init__(self, scheduler: Scheduler, log: EventLog):
        self._scheduler = scheduler
        self._log = log
        self._quarantined: frozenset[str] = frozenset()
        self._short: frozenset[SlotKey] = frozenset()

    def look(self) -> None:
        """Log what is new."""
        quarantined = self._scheduler.quarantined
        for worker in sorted(quarantined - self._quarantined):
            self._log.emit(LogEvent.WORKER_QUARANTINED, worker=worker)
        self._quarantined = quarantined
        short = frozenset(slot.key for slot in self._scheduler.slot_table.shortfalls())
        for key in sorted(short - self._short):
            self._log.emit(
                LogEvent.GUARANTEE_SHORTFALL, service=key.service, team=key.team, shape=key.shape
            )
        self._short = short
