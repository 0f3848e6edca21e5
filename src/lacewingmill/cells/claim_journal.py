"""Claims of non-idempotent work in the platform's store.

A claim is written before anything is sent, under a key made from the request's idempotency key.
Whoever finds a claim that is not its own does not send. Claims hang on a store lease, one per VM
and hour, so that they vanish after a day without anybody sweeping them.
"""

import hashlib
import uuid

from lacewingmill.cells.messages import ClaimRecord
from lacewingmill.codec import decode, encode
from lacewingmill.exceptions import StoreConflict, StoreUnavailable
from lacewingmill.ports import Clock, Store, StoreEntry
from lacewingmill.store_keys import CLAIM_PREFIX
from lacewingmill.store_leases import RollingLease

__all__ = ["ClaimJournal", "FoundClaim", "claim_key"]

CLAIM_LEASE_S = 24 * 3600.0
RETRY_PAUSE_S = 0.3
ANSWER_KEPT_BYTES = 64 * 1024


def claim_key(service: str, team: str, key: str) -> str:
    """Return the store key of a claim."""
    digest = hashlib.sha256("\0".join((service, team, key)).encode()).hexdigest()
    return CLAIM_PREFIX + digest


class FoundClaim:
    """A claim as it stands in the store."""

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
        """Return an id that no other write carries."""
        return f"{self._vm}/{uuid.uuid4().hex}"

    def claim(self, key: str, record: ClaimRecord, *, expected: int, deadline: float) -> int:
        """Write a claim and return its revision, retrying while the store is away.

        :param expected: revision to replace, 0 for a first claim.
        :param deadline: on this VM's clock, in seconds.
        :raises StoreConflict: somebody else holds the claim.
        :raises StoreUnavailable: the store stayed away; whether the claim stands is unknown, but
            nothing was sent.
        """
        while True:
            try:
                return self._write(key, record, expected)
            except StoreUnavailable:
                if self._clock.now() + RETRY_PAUSE_S >= deadline:
                    raise
                self._clock.sleep(RETRY_PAUSE_S)

    def find(self, key: str) -> FoundClaim | None:
        """Return the claim under a key, or ``None``.

        :raises StoreUnavailable: when the store does not answer.
        """
        entry = self._store.get(key)
        return FoundClaim(entry) if entry else None

    def store_answer(self, key: str, record: ClaimRecord, revision: int) -> None:
        """Keep the answer with its claim for callers who repeat the request; best effort."""
        if record.answer is not None and len(record.answer.body) > ANSWER_KEPT_BYTES:
            return
        try:
            self._store.put(key, encode(record), expected=revision, lease=self._lease.current())
        except (StoreConflict, StoreUnavailable):
            # The claim itself stands; a repeated request is told that the outcome is unknown.
            return

    def withdraw(self, key: str, revision: int) -> None:
        """Give a claim up whose work was provably not run; best effort."""
        try:
            self._store.delete(key, expected=revision)
        except (StoreConflict, StoreUnavailable):
            # The claim stands; a repeated request is told that the outcome is unknown.
            return

    def _write(self, key: str, record: ClaimRecord, expected: int) -> int:
        lease = self._lease.current()
        try:
            return self._store.put(key, encode(record), expected=expected, lease=lease)
        except StoreConflict:
            found = self.find(key)
            if found is not None and found.record.write_id == record.write_id:
                return found.revision  # an earlier attempt took effect and its answer was lost
            raise
