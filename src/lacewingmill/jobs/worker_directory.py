"""Follows the registrations of workers in the store."""

from collections.abc import Callable

from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import DocumentInvalid, HistoryLost, StoreUnavailable
from lacewingmill.jobs.ports import Record, TransactionStore, WorkerEntry
from lacewingmill.ports import Clock

__all__ = ["WorkerDirectory"]

# Each worker rewrites its registration every 1 s to 2 s, so a long watch would return, and cost a
# call, for nearly every change.
POLL_S = 1.0
RETRY_S = 0.25


class WorkerDirectory:
    """The registered workers of the platform.

    :param prefix: key prefix of the registrations.
    :param decode: decodes a registration; raises ``DocumentInvalid`` for a malformed one.
    :param on_change: called with all workers by id after each change.
    """

    def __init__(
        self,
        store: TransactionStore,
        clock: Clock,
        log: EventLog,
        prefix: str,
        decode: Callable[[Record], WorkerEntry],
        on_change: Callable[[dict[str, WorkerEntry]], None],
    ):
        self._store = store
        self._clock = clock
        self._log = log
        self._prefix = prefix
        self._decode = decode
        self._on_change = on_change
        self._entries: dict[str, WorkerEntry] = {}
        self._revision = 0

    def load(self) -> None:
        """Read all registrations.

        :raises StoreUnavailable: when the store does not answer.
        """
        records, self._revision = self._store.scan(self._prefix)
        self._entries = {}
        for record in records:
            self._update_entry(record)
        self._on_change(self._entries)

    def follow(self) -> None:
        """Poll for changes until killed."""
        while True:
            self._clock.sleep(POLL_S)
            try:
                changes = self._store.watch(self._prefix, after=self._revision, wait_s=0.0)
                self._revision = changes.revision
                for change in changes.changes:
                    if change.record is None:
                        self._entries.pop(change.key.removeprefix(self._prefix), None)
                    else:
                        self._update_entry(change.record)
                if changes.changes:
                    self._on_change(self._entries)
            except HistoryLost:
                self._reload()
            except StoreUnavailable:
                self._clock.sleep(RETRY_S)

    def _reload(self) -> None:
        try:
            self.load()
        except StoreUnavailable:
            self._clock.sleep(RETRY_S)

    def _update_entry(self, record: Record) -> None:
        try:
            entry = self._decode(record)
        except DocumentInvalid as exc:
            self._entries.pop(record.key.removeprefix(self._prefix), None)
            self._log.emit(LogEvent.WORKER_UNREADABLE, key=record.key, reason=exc.message)
            return
        self._entries[entry.worker] = entry
