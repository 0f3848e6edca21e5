"""The owner's writes to the store, many keys in one transaction."""

from collections.abc import Callable
from typing import Any

import attrs
from gevent.event import Event

from lacewingmill.codec import encode
from lacewingmill.exceptions import StoreUnavailable, TransactionConflict
from lacewingmill.jobs.keys import OWNER_KEY
from lacewingmill.jobs.ports import ItemRevision, Put, Transaction, TransactionStore
from lacewingmill.ports import Clock
from lacewingmill.tasks import spawn_with_callback

__all__ = ["Ledger"]

# The store takes 32 entries a transaction: one condition on the owner, two entries a key.
KEYS_PER_COMMIT = 15
RETRY_S = 0.15


@attrs.define
class _Staged:
    """A message to write.

    :param written: set once this message, or a later one, is in the store.
    """

    message: Any
    written: Event


class StoreWriter:
    """Commits messages under the condition that this VM still owns the jobs.

    Each write also names the revision that it replaces, so that a write whose answer was lost and
    that takes effect late can never replace a newer one.

    :param fence: revision of the owner's key.
    :param committed: called with each key and the message that is in the store now.
    :param deposed: called when another VM owns the jobs.
    :param failed: called when writing has ended by an unexpected error.
    """

    def __init__(
        self,
        store: TransactionStore,
        clock: Clock,
        fence: int,
        committed: Callable[[str, Any], None],
        deposed: Callable[[], None],
        failed: Callable[[], None],
    ):
        self._store = store
        self._clock = clock
        self._fence = fence
        self._committed = committed
        self._deposed = deposed
        self._revisions: dict[str, int] = {}
        self._staged: dict[str, _Staged] = {}
        self._work = Event()
        self._stopped = False
        self._loop = spawn_with_callback(self._run, failed)

    def set_revision(self, key: str, revision: int) -> None:
        """Remember the revision of a key that was found in the store."""
        self._revisions[key] = revision

    def forget(self, key: str) -> None:
        """Forget a key that is gone."""
        self._revisions.pop(key, None)

    def stage(self, key: str, message: Any) -> Event:
        """Write a message soon; the event is set once it is in the store."""
        staged = self._staged.get(key)
        if staged is None:
            staged = self._staged[key] = _Staged(message, Event())
        staged.message = message
        self._work.set()
        return staged.written

    def stop(self) -> None:
        """Write nothing more."""
        self._stopped = True
        self._loop.kill(block=False)

    def _run(self) -> None:
        while not self._stopped:
            self._work.wait()
            self._work.clear()
            while self._staged and not self._stopped:
                batch = dict(list(self._staged.items())[:KEYS_PER_COMMIT])
                for key in batch:
                    del self._staged[key]
                self._write(batch)

    def _write(self, batch: dict[str, _Staged]) -> None:
        values = {key: encode(staged.message) for key, staged in batch.items()}
        while not self._stopped:
            try:
                revision = self._store.commit(self._transaction(values))
            except StoreUnavailable:
                self._clock.sleep(RETRY_S)
                continue
            except TransactionConflict as exc:
                if exc.revisions.get(OWNER_KEY, self._fence) != self._fence:
                    self._deposed()
                    return
                self._learn(exc.revisions, values)
                continue
            for key, staged in batch.items():
                self._revisions[key] = revision
                self._committed(key, staged.message)
                staged.written.set()
            return

    def _transaction(self, values: dict[str, bytes]) -> Transaction:
        expect = [ItemRevision(OWNER_KEY, self._fence)]
        expect += [ItemRevision(key, self._revisions.get(key, 0)) for key in values]
        puts = [Put(key, value) for key, value in values.items()]
        return Transaction(tuple(expect), tuple(puts))

    def _learn(self, revisions: dict[str, int], values: dict[str, bytes]) -> None:
        """Take in revisions that earlier writes of this VM made without an answer."""
        for key in values:
            self._revisions[key] = revisions.get(key, 0)
