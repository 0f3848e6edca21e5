"""Follows the registrations of workers in the store."""

import random
from collections.abc import Callable

from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import DocumentInvalid, HistoryLost, StoreUnavailable
from lacewingmill.jobs.ports import Change, Record, TransactionStore, WorkerEntry
from lacewingmill.ports import Clock
from lacewingmill.retries import Backoff
from lacewingmill.tasks import error_location

__all__ = ["WorkerDirectory"]

# Each worker rewrites its registration every 1 s to 2 s, so a long watch would return, and cost a
# call, for nearly every change.
POLL_S = 1.0
RETRY_S = 0.25
MAX_RETRY_S = 1.0
MAX_REASON_CHARS = 300


class WorkerDirectory:
    """The registered workers of the platform.

    :param prefix: key prefix of the registrations.
    :param decode: decodes a registration; raises ``DocumentInvalid`` for a malformed one.
    :param on_change: called after each change with all readable registrations by id of the worker.
    """

    def __init__(
        self,
        store: TransactionStore,
        clock: Clock,
        log: EventLog,
        prefix: str,
        decode: Callable[[Record], WorkerEntry],
        on_change: Callable[[dict[str, WorkerEntry]], None],
        rng: random.Random,
    ):
        self._store = store
        self._clock = clock
        self._log = log
        self._prefix = prefix
        self._decode = decode
        self._on_change = on_change
        self._backoff = Backoff(RETRY_S, MAX_RETRY_S, rng)
        self._entries: dict[str, WorkerEntry] = {}
        self._unreadable: dict[str, str] = {}
        self._revision = 0

    def load(self) -> None:
        """Read all registrations.

        :raises StoreUnavailable: when the store does not answer.
        """
        records, self._revision = self._store.scan(self._prefix)
        keys = {record.key for record in records}
        for worker in [*self._entries, *self._unreadable]:
            if self._prefix + worker not in keys:
                self._remove_entry(worker)
        for record in records:
            self._update_entry(record)
        self._report_change()

    def follow(self) -> None:
        """Poll for changes until killed."""
        while True:
            self._clock.sleep(POLL_S)
            try:
                self._poll()
                self._backoff.reset()
            except HistoryLost:
                self._reload()
            except StoreUnavailable:
                self._clock.sleep(self._backoff.next_s())

    def _poll(self) -> None:
        """Apply all changes since the last poll, in as many calls as the store needs for them."""
        changed, truncated = False, True
        while truncated:
            changes = self._store.watch(self._prefix, after=self._revision, wait_s=0.0)
            self._revision = changes.revision
            for change in changes.changes:
                self._apply_change(change)
            changed = changed or bool(changes.changes)
            truncated = changes.truncated
        if changed:
            self._report_change()

    def _apply_change(self, change: Change) -> None:
        if change.record is None:
            self._remove_entry(change.key.removeprefix(self._prefix))
        else:
            self._update_entry(change.record)

    def _report_change(self) -> None:
        self._on_change(self._entries)

    def _reload(self) -> None:
        try:
            self.load()
        except StoreUnavailable:
            self._clock.sleep(self._backoff.next_s())

    def _remove_entry(self, worker: str) -> None:
        self._entries.pop(worker, None)
        self._unreadable.pop(worker, None)

    def _update_entry(self, record: Record) -> None:
        try:
            entry = self._decode(record)
        except DocumentInvalid as exc:
            self._set_unreadable(record, exc.message)
        except Exception as exc:  # other writers must not be able to stop the polling
            self._set_unreadable(record, f"{exc!r} at {error_location(exc)}")
        else:
            self._unreadable.pop(entry.worker, None)
            self._entries[entry.worker] = entry

    def _set_unreadable(self, record: Record, reason: str) -> None:
        """Record that a registration cannot be read; log it once per reason."""
        worker = record.key.removeprefix(self._prefix)
        self._entries.pop(worker, None)
        reason = reason[:MAX_REASON_CHARS]
        if self._unreadable.get(worker) != reason:
            self._log.emit(LogEvent.WORKER_UNREADABLE, key=record.key, reason=reason)
        self._unreadable[worker] = reason
