"""Store leases to which documents are attached, so that they expire without a cleanup."""

from lacewingmill.ports import Clock, Store

__all__ = ["RollingLease"]

ROTATION_INTERVAL_S = 3600.0


class RollingLease:
    """A store lease that is replaced every hour, shared by the documents written in that hour.

    Each VM has its own. It is not renewed: a document that is written just before the lease is
    replaced is kept for one hour less than ``ttl_s``.

    :param ttl_s: time to live of each lease, in seconds.
    """

    def __init__(self, store: Store, clock: Clock, ttl_s: float):
        self._store = store
        self._clock = clock
        self._ttl_s = ttl_s
        self._lease = ""
        self._rotate_at = 0.0

    def current(self) -> str:
        """Return the lease for a document that is to be written now.

        :raises StoreUnavailable: when a new lease is due and the store does not answer.
        """
        now = self._clock.now()
        if not self._lease or now >= self._rotate_at:
            self._lease = self._store.grant_lease(self._ttl_s)
            self._rotate_at = now + ROTATION_INTERVAL_S
        return self._lease
