"""Logs quarantined workers and guarantee shortfalls when they appear."""

from lacewingmill.events import EventLog, LogEvent
from lacewingmill.scheduling.messages import SlotKey
from lacewingmill.scheduling.scheduler import Scheduler

__all__ = ["AlertLog"]


class AlertLog:
    """Logs quarantines and guarantee shortfalls of the scheduler that have not been logged yet."""

    def __init__(self, scheduler: Scheduler, log: EventLog):
        self._scheduler = scheduler
        self._log = log
        self._quarantined: frozenset[str] = frozenset()
        self._shortfalls: frozenset[SlotKey] = frozenset()

    def check(self) -> None:
        """Log the quarantines and shortfalls that appeared since the last check."""
        quarantined = self._scheduler.quarantined
        for worker in sorted(quarantined - self._quarantined):
            self._log.emit(LogEvent.WORKER_QUARANTINED, worker=worker)
        self._quarantined = quarantined
        shortfalls = frozenset(slot.key for slot in self._scheduler.slot_table.shortfalls())
        for key in sorted(shortfalls - self._shortfalls):
            self._log.emit(
                LogEvent.GUARANTEE_SHORTFALL, service=key.service, team=key.team, shape=key.shape
            )
        self._shortfalls = shortfalls
