"""Log lines about workers that turn slow or stand, and about their return to the usual speed."""

from lacewingmill.events import EventLog, LogEvent

__all__ = ["SlowWorkerLog"]

# Smaller differences between workers are usual and only weigh in placements.
LOGGED_SLOWDOWN = 2.0


class SlowWorkerLog:
    """Remembers which workers were logged as slow."""

    def __init__(self, log: EventLog):
        self._log = log
        self._logged: set[str] = set()

    def update(self, slow: dict[str, float]) -> None:
        """Log the workers that have become slow, and those that no longer are.

        :param slow: workers that are slower than usual, with the factors.
        """
        for worker, factor in slow.items():
            if factor >= LOGGED_SLOWDOWN and worker not in self._logged:
                self._logged.add(worker)
                self._log.emit(LogEvent.WORKER_SLOW, worker=worker, slowdown=round(factor, 1))
        for worker in sorted(self._logged - slow.keys()):
            self._logged.discard(worker)
            self._log.emit(LogEvent.WORKER_SOUND, worker=worker)
