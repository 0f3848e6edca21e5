"""A worker's clock as its owner estimates it, and when leases there have certainly lapsed."""

from lacewingmill.ports import Clock

__all__ = ["SLOW_CLOCK", "LeaseClock"]

# A little under the platform's longest lease, so that no lease is cut.
HOLD_SHARE = 0.95
# A worker's clock may be 2 % slow.
CLOCK_DRIFT_FACTOR = 1.03
EXPIRY_MARGIN_S = 0.2


class LeaseClock:
    """Turns this VM's time into a worker's and back.

    :param longest_s: longest lease of what runs on a worker, in seconds.
    """

    def __init__(self, clock: Clock, longest_s: float):
        self._clock = clock
        self._longest_s = longest_s
        self._offset = 0.0
        self._expires_at = 0.0

    @property
    def expired(self) -> bool:
        """Whether every lease that was ever asked for has certainly lapsed."""
        return self._clock.now() > self._expires_at

    def set_worker_time(self, worker_s: float) -> None:
        """Take in the worker's clock as it was just told, in seconds."""
        self._offset = worker_s - self._clock.now()

    def extend(self) -> float:
        """Return the end of a lease that begins now, on the worker's clock, and count it as given.

        An order without an answer may be carried out late, so it counts from its sending.
        """
        now = self._clock.now()
        lease_s = self._longest_s * HOLD_SHARE
        self._expires_at = max(
            self._expires_at, now + lease_s * CLOCK_DRIFT_FACTOR + EXPIRY_MARGIN_S
        )
        return now + self._offset + lease_s
