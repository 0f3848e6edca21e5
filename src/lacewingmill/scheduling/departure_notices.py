"""When workers that gave notice leave, learned from those that have left."""

import attrs

__all__ = ["TYPICAL_FACTOR", "DepartureNotices"]

# Workers stay somewhat longer than the shortest time that the platform promises.
TYPICAL_FACTOR = 1.5
# Weight of a departure that was seen in the estimate of the next one.
LEARNING_RATE = 0.25


@attrs.define
class DepartureNotices:
    """When workers said that they would leave, and how long they stayed then.

    :param stay_s: expected time from the notice to the departure, in seconds.
    """

    stay_s: float
    _noticed_at: dict[str, float] = attrs.field(factory=dict)

    def record_notice(self, worker: str, now: float) -> None:
        """Record that a worker is about to leave."""
        self._noticed_at.setdefault(worker, now)

    def withdraw(self, worker: str) -> None:
        """Record that a worker stays."""
        self._noticed_at.pop(worker, None)

    def record_departure(self, worker: str, now: float) -> None:
        """Learn from a worker that no longer answers after its notice."""
        noticed_at = self._noticed_at.pop(worker, None)
        if noticed_at is not None:
            self.stay_s += LEARNING_RATE * (now - noticed_at - self.stay_s)

    def workers(self) -> list[str]:
        """Return the workers that have given notice."""
        return list(self._noticed_at)

    def leaves_at(self, worker: str) -> float:
        """Return when a worker is expected to leave, in seconds; infinite without a notice."""
        return self._noticed_at.get(worker, float("inf")) + self.stay_s
