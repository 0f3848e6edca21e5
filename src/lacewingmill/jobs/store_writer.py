"""Writes the owner's messages to the store, many keys per transaction."""

import random
from collections.abc import Callable
from typing import Any

import attrs
from gevent.event import Event

from lacewingmill.codec import encode
from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import StoreUnavailable, TransactionConflict
from lacewingmill.jobs.keys import OWNER_KEY
from lacewingmill.jobs.ports import ItemRevision, Put, Transaction, TransactionStore
from lacewingmill.ports import Clock
from lacewingmill.retries import Backoff
from lacewingmill.tasks import contain_errors, spawn_with_callback

__all__ = ["StoreWriter"]

# The store accepts 32 entries per transaction: one condition on the owner, two entries per key.
MAX_KEYS_PER_COMMIT = 15
RETRY_S = 0.15
MAX_RETRY_S = 0.6
MAX_NAMED_KEYS = 15  # in a log line


@attrs.define
class _Staged:
    """A message that waits to be written.

    :param written: set once this message, or a later one, is in the store.
    """

    message: Any
    written: Event


class StoreWriter:
    """Commits messages on the condition that this VM is still the owner.

    Each write is also conditional on the revision that it replaces, so that a write whose answer
    was lost and that takes effect late never overwrites a newer one.

    :param fence: revision of the owner's key.
    :param on_commit: called with each key and the message that is now in the store.
    :param on_fenced: called when another VM is the owner.
    :param on_failed: called when the writer's greenlet ends with an unexpected error.
    """

    def __init__(
        self,
        store: TransactionStore,
        clock: Clock,
        log: EventLog,
        fence: int,
        on_commit: Callable[[str, Any], None],
        on_fenced: Callable[[], None],
        on_failed: Callable[[], None],
        rng: random.Random,
    ):
        self._store = store
        self._clock = clock
        self._log = log
        self._fence = fence
        self._on_commit = on_commit
        self._on_fenced = on_fenced
        self._revisions: dict[str, int] = {}
        self._staged: dict[str, _Staged] = {}
        self._writing: dict[str, _Staged] = {}
        self._wake = Event()
        self._stopped = False
        self._backoff = Backoff(RETRY_S, MAX_RETRY_S, rng)
        self._loop = spawn_with_callback(self._run, on_failed)

    def set_revision(self, key: str, revision: int) -> None:
        """Set the revision of a key that was read from the store."""
        self._revisions[key] = revision

    def forget(self, key: str) -> None:
        """Forget the revision of a key that was removed from the store."""
        self._revisions.pop(key, None)

    def stage(self, key: str, message: Any) -> Event:
        """Queue a message for writing; it replaces one that still waits under the same key.

        :return: set once this message, or a later one of the key, is in the store.
        """
        staged = self._staged.get(key)
        if staged is None:
            staged = self._staged[key] = _Staged(message, Event())
        staged.message = message
        self._wake.set()
        return staged.written

    def flush(self, within_s: float) -> None:
        """Wait until all messages are in the store, also those that are staged meanwhile.

        :param within_s: longest wait, in seconds; a store that does not answer must not delay it.
        """
        until = self._clock.now() + within_s
        while waiting := [*self._writing.values(), *self._staged.values()]:
            remaining_s = until - self._clock.now()
            if remaining_s <= 0 or self._stopped or self._loop.dead:
                return
            self._clock.wait(waiting[-1].written, remaining_s)

    def stop(self) -> None:
        """Stop writing; messages that still wait are discarded."""
        unstored = [*self._writing, *self._staged]
        if unstored and not self._stopped:
            self._log.emit(
                LogEvent.PROGRESS_UNSTORED, count=len(unstored), keys=unstored[:MAX_NAMED_KEYS]
            )
        self._stopped = True
        self._loop.kill(block=False)

    def _run(self) -> None:
        while not self._stopped:
            self._wake.wait()
            self._wake.clear()
            while self._staged and not self._stopped:
                batch = dict(list(self._staged.items())[:MAX_KEYS_PER_COMMIT])
                for key in batch:
                    del self._staged[key]
                self._writing = batch
                self._write(batch)
                self._writing = {}

    def _write(self, batch: dict[str, _Staged]) -> None:
        values = {}
        for key, staged in batch.items():
            with contain_errors(self._log, key=key):
                values[key] = encode(staged.message)
        while values and not self._stopped:
            try:
                revision = self._store.commit(self._transaction(values))
            except StoreUnavailable:
                self._clock.sleep(self._backoff.next_s())
                continue
            except TransactionConflict as exc:
                if exc.revisions.get(OWNER_KEY, self._fence) != self._fence:
                    self._on_fenced()
                    return
                self._update_revisions(exc.revisions, values)
                continue
            self._backoff.reset()
            for key in values:
                self._revisions[key] = revision
                self._on_commit(key, batch[key].message)
                batch[key].written.set()
            return

    def _transaction(self, values: dict[str, bytes]) -> Transaction:
        expect = [ItemRevision(OWNER_KEY, self._fence)]
        expect += [ItemRevision(key, self._revisions.get(key, 0)) for key in values]
        puts = [Put(key, value) for key, value in values.items()]
        return Transaction(tuple(expect), tuple(puts))

    def _update_revisions(self, revisions: dict[str, int], values: dict[str, bytes]) -> None:
        """Set the revisions of keys that changed by earlier, unanswered writes of this VM."""
        for key in values:
            self._revisions[key] = revisions.get(key, 0)
