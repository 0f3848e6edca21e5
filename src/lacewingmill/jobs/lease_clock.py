"""Estimates a worker's clock, and tells when all leases on it have certainly expired."""

from lacewingmill.ports import Clock

__all__ = ["CLOCK_DRIFT_FACTOR", "LeaseClock"]

# Leases are requested a little shorter than the longest one that workers grant, so that they are
# not cut short.
LEASE_SHARE = 0.95
# Covers a worker's clock that runs 2 % slow.
CLOCK_DRIFT_FACTOR = 1.03
EXPIRY_MARGIN_S = 0.2
# Covers the rounding of readings.
READING_ERROR_S = 0.05


class LeaseClock:
    """Computes lease ends on a worker's clock, and tracks when they have passed on this VM's.

    :param max_lease_s: longest lease that a worker grants to a run, in seconds.
    """

    def __init__(self, clock: Clock, max_lease_s: float):
        self._clock = clock
        self._max_lease_s = max_lease_s
        self._offset = 0.0
        self._read_at = clock.now()
        self._expires_at = 0.0

    @property
    def expired(self) -> bool:
        """Whether every lease that was ever requested has certainly expired."""
        return self._clock.now() > self._expires_at

    def set_worker_time(self, worker_s: float) -> None:
        """Set the worker's clock from a reading that it has just reported, in seconds."""
        self._read_at = self._clock.now()
        self._offset = worker_s - self._read_at

    def started_again(self, worker_s: float, sent_at: float) -> bool:
        """Whether a reading shows that the worker's clock, which never goes back, began anew.

        :param worker_s: the reading, in seconds.
        :param sent_at: when the call that returned it was sent, in seconds.
        """
        elapsed_s = sent_at - self._read_at
        least_s = self._read_at + self._offset + min(elapsed_s, elapsed_s / CLOCK_DRIFT_FACTOR)
        return worker_s < least_s - READING_ERROR_S

    def count_earlier_leases(self) -> None:
        """Count the leases that earlier owners may have requested up to now."""
        self._expires_at = max(
            self._expires_at,
            self._clock.now() + self._max_lease_s * CLOCK_DRIFT_FACTOR + EXPIRY_MARGIN_S,
        )

    def extend(self) -> float:
        """Return the end of a lease that begins now, in seconds on the worker's clock.

        The lease counts as granted from now on, even if the order gets no answer, because the
        worker may still carry it out. The worker's clock may have fallen behind since its last
        reading, so the lease is the shorter the older that is, down to half of its length.
        """
        now = self._clock.now()
        longest_s = self._max_lease_s * LEASE_SHARE
        behind_s = (now - self._read_at) * (CLOCK_DRIFT_FACTOR - 1)
        lease_s = longest_s - min(behind_s, longest_s / 2)
        self._expires_at = max(
            self._expires_at, now + (lease_s + behind_s) * CLOCK_DRIFT_FACTOR + EXPIRY_MARGIN_S
        )
        return now + self._offset + lease_s
