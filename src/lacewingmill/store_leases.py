"""Store leases on which documents hang, so that they vanish without anybody sweeping them."""

from lacewingmill.ports import Clock, Store

__all__ = ["RollingLease"]

ROTATION_INTERVAL_S = 3600.0


class RollingLease:
    """One store lease an hour and VM, shared by all documents written in that hour.

    :param ttl_s: how long a document is kept at least, less one hour, in seconds.
    """

    def __init__(self, store: Store, clock: Clock, ttl_s: float):
        self._store = store
        self._clock = clock
        self._ttl_s = ttl_s
        self._lease = ""
        self._rotate_at = 0.0

    def current(self) -> str:
        """Return the lease for a document that is written now.

        :raises StoreUnavailable: when a new lease is due and the store does not answer.
        """
        now = self._clock.now()
        if not self._lease or now >= self._rotate_at:
            self._lease = self._store.grant_lease(self._ttl_s)
            self._rotate_at = now + ROTATION_INTERVAL_S
        return self._lease
