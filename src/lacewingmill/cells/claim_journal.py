"""Claims of non-idempotent jobs and requests in the platform's store.

A claim is written before anything is sent, under a key derived from the request's idempotency key.
A VM that finds another claim under the key does not send. Claims are attached to a store lease, one
per VM and hour, so that they expire after a day without a cleanup job.
"""

import hashlib
import uuid

from lacewingmill.cells.messages import ClaimRecord
from lacewingmill.codec import decode, encode
from lacewingmill.exceptions import StoreConflict, StoreUnavailable
from lacewingmill.ports import Clock, Store, StoreEntry
from lacewingmill.store_keys import CLAIM_PREFIX
from lacewingmill.store_leases import RollingLease

__all__ = ["ClaimJournal", "StoredClaim", "claim_key"]

CLAIM_LEASE_S = 24 * 3600.0
RETRY_INTERVAL_S = 0.3
MAX_STORED_ANSWER_BYTES = 64 * 1024


def claim_key(service: str, team: str, key: str) -> str:
    """Return the store key of a claim.

    :param key: the idempotency key of the request.
    """
    digest = hashlib.sha256("\0".join((service, team, key)).encode()).hexdigest()
    return CLAIM_PREFIX + digest


class StoredClaim:
    """A claim read from the store, with its revision."""

    def __init__(self, entry: StoreEntry):
        self.record = decode(entry.value, ClaimRecord)
        self.revision = entry.revision


class ClaimJournal:
    """Writes and reads claims.

    :param vm: name of this VM.
    """

    def __init__(self, store: Store, clock: Clock, vm: str):
        self._store = store
        self._clock = clock
        self._vm = vm
        self._lease = RollingLease(store, clock, CLAIM_LEASE_S)

    def new_write_id(self) -> str:
        """Return a unique id for a write."""
        return f"{self._vm}/{uuid.uuid4().hex}"

    def claim(self, key: str, record: ClaimRecord, *, expected: int, deadline: float) -> int:
        """Write a claim and return its revision, retrying while the store is unavailable.

        :param expected: revision to replace; 0 if there must be no claim yet.
        :param deadline: on this VM's clock, in seconds.
        :raises StoreConflict: another claim is stored under the key.
        :raises StoreUnavailable: the store did not answer before the deadline; the claim may have
            been written, but nothing was sent.
        """
        while True:
            try:
                return self._write(key, record, expected)
            except StoreUnavailable:
                if self._clock.now() + RETRY_INTERVAL_S >= deadline:
                    raise
                self._clock.sleep(RETRY_INTERVAL_S)

    def find(self, key: str) -> StoredClaim | None:
        """Return the claim under a key, or ``None``.

        :raises StoreUnavailable: the store does not answer.
        """
        entry = self._store.get(key)
        return StoredClaim(entry) if entry else None

    def store_answer(self, key: str, record: ClaimRecord, revision: int) -> None:
        """Store the answer with its claim, for repeated requests; best effort."""
        if record.answer is not None and len(record.answer.body) > MAX_STORED_ANSWER_BYTES:
            return
        try:
            self._store.put(key, encode(record), expected=revision, lease=self._lease.current())
        except (StoreConflict, StoreUnavailable):
            # The claim remains; a repeated request gets the outcome "unknown".
            return

    def withdraw(self, key: str, revision: int) -> None:
        """Delete the claim of a request that certainly did not run; best effort."""
        try:
            self._store.delete(key, expected=revision)
        except (StoreConflict, StoreUnavailable):
            # The claim remains; a repeated request gets the outcome "unknown".
            return

    def _write(self, key: str, record: ClaimRecord, expected: int) -> int:
        lease = self._lease.current()
        try:
            return self._store.put(key, encode(record), expected=expected, lease=lease)
        except StoreConflict:
            found = self.find(key)
            if found is not None and found.record.write_id == record.write_id:
                return found.revision  # an earlier attempt succeeded, but its answer was lost
            raise
