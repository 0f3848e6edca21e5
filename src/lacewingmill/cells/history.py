"""The history of a cell: what was decided, by which VM and when, kept in the platform's store.

Owner changes, starts, evictions, outcomes, lost and quarantined workers and guarantee shortfalls
are kept for a week, whichever VM owned the cell. Each VM writes entries in batches, at most one a
second, so that the load on the store does not grow with the number of jobs. No operation waits for
the history: while the store is unavailable, entries are queued in memory, and when the queue is
full, the oldest are dropped and counted.
"""

import uuid
from collections import deque
from typing import Any

import attrs

from lacewingmill.codec import decode, encode
from lacewingmill.events import LogEvent
from lacewingmill.exceptions import StoreConflict, StoreUnavailable
from lacewingmill.ports import Clock, Store
from lacewingmill.store_keys import HISTORY_PREFIX
from lacewingmill.store_leases import RollingLease

__all__ = ["HISTORY_EVENTS", "History", "HistoryBatch", "HistoryEntry"]

RETENTION_S = 7 * 24 * 3600.0
COMMIT_INTERVAL_S = 1.0
MAX_BATCH_ENTRIES = 500
MAX_PENDING_ENTRIES = 5000
MAX_DETAIL_CHARS = 500
HOUR_S = 3600.0

HISTORY_EVENTS = frozenset(
    {
        LogEvent.CELL_TAKEN,
        LogEvent.CELL_SUCCEEDED,
        LogEvent.CELL_LOST,
        LogEvent.CELL_RECOVERED,
        LogEvent.CELL_HANDED_OVER,
        LogEvent.GANG_STARTED,
        LogEvent.GANG_REJECTED,
        LogEvent.GANG_EVICTED,
        LogEvent.GANG_STOPPED,
        LogEvent.JOB_DONE,
        LogEvent.JOB_REFUSED,
        LogEvent.JOB_UNKNOWN,
        LogEvent.WORKER_LOST,
        LogEvent.WORKER_QUARANTINED,
        LogEvent.GUARANTEE_SHORTFALL,
    }
)


@attrs.frozen
class HistoryEntry:
    """One event in the history of a cell.

    :param at: wall-clock time, in seconds since the epoch.
    :param number: number of the event in docs/EVENTS.md.
    :param job: id of the job concerned; empty if there is none.
    :param detail: the fields of the event as readable text.
    """

    at: float
    vm: str
    number: int
    event: str
    job: str = ""
    detail: str = ""


@attrs.frozen
class HistoryBatch:
    """Entries written together.

    :param dropped: number of entries dropped before this batch because the queue was full.
    """

    entries: tuple[HistoryEntry, ...]
    dropped: int = 0


class History:
    """Writes the events of this VM to the history of a cell, and reads the whole history.

    :param vm: name of this VM.
    :param cell: name of the cell.
    """

    def __init__(self, store: Store, clock: Clock, vm: str, cell: str):
        self._store = store
        self._clock = clock
        self._vm = vm
        self._prefix = f"{HISTORY_PREFIX}{cell}/"
        self._lease = RollingLease(store, clock, RETENTION_S + HOUR_S)
        self._writer_id = f"{vm}-{uuid.uuid4().hex}"
        self._batch_number = 0
        self._pending: deque[HistoryEntry] = deque()
        self._dropped = 0
        self._batch: HistoryBatch | None = None
        self._batch_key = ""

    @property
    def pending(self) -> int:
        """Number of entries that are not written yet."""
        return len(self._pending) + (len(self._batch.entries) if self._batch else 0)

    def on_event(self, event: LogEvent, fields: dict[str, Any]) -> None:
        """Queue an event if it belongs in the history; called by the event log."""
        if event not in HISTORY_EVENTS:
            return
        if len(self._pending) >= MAX_PENDING_ENTRIES:
            self._pending.popleft()
            self._dropped += 1
        self._pending.append(self._make_entry(event, fields))

    def run(self) -> None:
        """Commit in an endless loop."""
        while True:
            self._clock.sleep(COMMIT_INTERVAL_S)
            self.commit()

    def commit(self) -> None:
        """Write one batch if entries are pending; a failed write is retried by the next call."""
        if self._batch is None and not self._open_batch():
            return
        batch, key = self._batch, self._batch_key
        try:
            self._store.put(key, encode(batch), expected=0, lease=self._lease.current())
        except StoreUnavailable:
            return
        except StoreConflict:
            pass  # only this writer uses the key: an earlier attempt succeeded, its answer was lost
        if self._batch is batch:  # a planned stop commits concurrently with the loop
            self._batch = None

    def read(self, hours: int, job: str = "") -> tuple[HistoryEntry, ...]:
        """Return the entries of the last hours, oldest first.

        :param hours: number of full hours before the current one.
        :param job: return only entries about this job; all if empty.
        :raises StoreUnavailable: the store does not answer.
        """
        current_hour = int(self._clock.wall() // HOUR_S)
        entries = []
        for hour in range(current_hour - hours, current_hour + 1):
            for stored in self._store.list(f"{self._prefix}{hour}/"):
                entries.extend(decode(stored.value, HistoryBatch).entries)
        selected = [entry for entry in entries if not job or entry.job == job]
        return tuple(sorted(selected, key=lambda entry: (entry.at, entry.vm)))

    def _open_batch(self) -> bool:
        """Move pending entries into a batch with a fixed key, so that its write can be retried."""
        if not self._pending:
            return False
        count = min(MAX_BATCH_ENTRIES, len(self._pending))
        entries = tuple(self._pending.popleft() for _ in range(count))
        self._batch = HistoryBatch(entries, self._dropped)
        self._dropped = 0
        self._batch_number += 1
        hour = int(self._clock.wall() // HOUR_S)
        self._batch_key = f"{self._prefix}{hour}/{self._writer_id}-{self._batch_number:08d}"
        return True

    def _make_entry(self, event: LogEvent, fields: dict[str, Any]) -> HistoryEntry:
        job = fields.get("job") or str(fields.get("gang", "")).partition(".")[0]
        parts = (f"{name} {_to_text(value)}" for name, value in fields.items() if name != "job")
        detail = ", ".join(parts)[:MAX_DETAIL_CHARS]
        return HistoryEntry(
            self._clock.wall(), self._vm, event.number, event.name.lower(), str(job), detail
        )


def _to_text(value: Any) -> str:
    if isinstance(value, tuple | list):
        return " ".join(str(part) for part in value)
    return str(value)
