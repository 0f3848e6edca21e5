"""Follows the workers that register themselves in the store."""

from collections.abc import Callable

from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import DocumentInvalid, HistoryLost, StoreUnavailable
from lacewingmill.jobs.ports import Record, TransactionStore, WorkerEntry
from lacewingmill.ports import Clock

__all__ = ["Roster"]

# Workers write every second or two, so waiting for each change would cost a call a change.
POLL_S = 1.0
RETRY_S = 0.25


class WorkerDirectory:
    """The workers of the platform.

    :param prefix: under which workers register.
    :param decode: decodes a worker's entry.
    :param changed: called with all workers after each change.
    """

    def __init__(
        self,
        store: TransactionStore,
        clock: Clock,
        log: EventLog,
        prefix: str,
        decode: Callable[[Record], WorkerEntry],
        changed: Callable[[dict[str, WorkerEntry]], None],
    ):
        self._store = store
        self._clock = clock
        self._log = log
        self._prefix = prefix
        self._decode = decode
        self._changed = changed
        self._entries: dict[str, WorkerEntry] = {}
        self._revision = 0

    def load(self) -> None:
        """Read all workers.

        :raises StoreUnavailable: when the store does not answer.
        """
        records, self._revision = self._store.scan(self._prefix)
        self._entries = {}
        for record in records:
            self._take(record)
        self._changed(self._entries)

    def follow(self) -> None:
        """Follow changes for ever."""
        while True:
            self._clock.sleep(POLL_S)
            try:
                changes = self._store.watch(self._prefix, after=self._revision, wait_s=0.0)
                self._revision = changes.revision
                for change in changes.changes:
                    if change.record is None:
                        self._entries.pop(change.key.removeprefix(self._prefix), None)
                    else:
                        self._take(change.record)
                if changes.changes:
                    self._changed(self._entries)
            except HistoryLost:
                self._reload()
            except StoreUnavailable:
                self._clock.sleep(RETRY_S)

    def _reload(self) -> None:
        try:
            self.load()
        except StoreUnavailable:
            self._clock.sleep(RETRY_S)

    def _take(self, record: Record) -> None:
        try:
            entry = self._decode(record)
        except DocumentInvalid as exc:
            self._entries.pop(record.key.removeprefix(self._prefix), None)
            self._log.emit(LogEvent.WORKER_UNREADABLE, key=record.key, reason=exc.message)
            return
        self._entries[entry.worker] = entry
