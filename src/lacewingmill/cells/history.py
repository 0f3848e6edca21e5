"""The history of a cell: what was decided, by whom and when, kept in the platform's store.

Take-overs, placements, evictions, outcomes, lost and quarantined workers and guarantees in
shortfall are kept for a week, whichever VM owned the cell. Entries are committed in groups, at most
one write a second and VM, so that the store's load does not grow with the work. Nothing waits for
the history: while the store is away entries wait here, and the oldest are dropped and counted.
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

__all__ = ["KEPT_EVENTS", "History", "HistoryBatch", "HistoryEntry"]

KEPT_S = 7 * 24 * 3600.0
COMMIT_EVERY_S = 1.0
BATCH_ENTRIES = 500
PENDING_ENTRIES = 5000
DETAIL_LETTERS = 500
HOUR_S = 3600.0

KEPT_EVENTS = frozenset(
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
    """One event of a cell.

    :param at: wall-clock time, in seconds since the epoch.
    :param number: number of the event in docs/EVENTS.md.
    :param job: id of the job concerned; empty when none is.
    :param detail: the fields of the event, for people.
    """

    at: float
    vm: str
    number: int
    event: str
    job: str = ""
    detail: str = ""


@attrs.frozen
class HistoryBatch:
    """Entries committed with one write.

    :param dropped: entries lost before this batch because the store stayed away too long.
    """

    entries: tuple[HistoryEntry, ...]
    dropped: int = 0


class History:
    """Keeps the history of a cell as far as this VM took part in it.

    :param vm: name of this VM.
    :param cell: name of the cell.
    """

    def __init__(self, store: Store, clock: Clock, vm: str, cell: str):
        self._store = store
        self._clock = clock
        self._vm = vm
        self._prefix = f"{HISTORY_PREFIX}{cell}/"
        self._lease = RollingLease(store, clock, KEPT_S + HOUR_S)
        self._writer = f"{vm}-{uuid.uuid4().hex}"
        self._number = 0
        self._pending: deque[HistoryEntry] = deque()
        self._dropped = 0
        self._batch: HistoryBatch | None = None
        self._batch_key = ""

    @property
    def pending(self) -> int:
        """Number of entries that are not committed yet."""
        return len(self._pending) + (len(self._batch.entries) if self._batch else 0)

    def on_event(self, event: LogEvent, fields: dict[str, Any]) -> None:
        """Take an event in if its kind is kept; called by the event log."""
        if event not in KEPT_EVENTS:
            return
        if len(self._pending) >= PENDING_ENTRIES:
            self._pending.popleft()
            self._dropped += 1
        self._pending.append(self._make_entry(event, fields))

    def run(self) -> None:
        """Commit for ever."""
        while True:
            self._clock.sleep(COMMIT_EVERY_S)
            self.commit()

    def commit(self) -> None:
        """Commit one group of entries, if there are any; tried again when the store is away."""
        if self._batch is None and not self._open_batch():
            return
        batch, key = self._batch, self._batch_key
        try:
            self._store.put(key, encode(batch), expected=0, lease=self._lease.current())
        except StoreUnavailable:
            return
        except StoreConflict:
            pass  # the key is this writer's own: an earlier attempt took effect unheard
        if self._batch is batch:  # a planned stop commits beside the loop
            self._batch = None

    def read(self, hours: int, job: str = "") -> tuple[HistoryEntry, ...]:
        """Return the entries of the last hours, oldest first.

        :param job: only entries about this job; all when empty.
        :raises StoreUnavailable: when the store does not answer.
        """
        present = int(self._clock.wall() // HOUR_S)
        entries = []
        for hour in range(present - hours, present + 1):
            for stored in self._store.list(f"{self._prefix}{hour}/"):
                entries.extend(decode(stored.value, HistoryBatch).entries)
        chosen = [entry for entry in entries if not job or entry.job == job]
        return tuple(sorted(chosen, key=lambda entry: (entry.at, entry.vm)))

    def _open_batch(self) -> bool:
        """Move pending entries into a batch whose key never changes, so that it may be retried."""
        if not self._pending:
            return False
        count = min(BATCH_ENTRIES, len(self._pending))
        entries = tuple(self._pending.popleft() for _ in range(count))
        self._batch = HistoryBatch(entries, self._dropped)
        self._dropped = 0
        self._number += 1
        hour = int(self._clock.wall() // HOUR_S)
        self._batch_key = f"{self._prefix}{hour}/{self._writer}-{self._number:08d}"
        return True

    def _make_entry(self, event: LogEvent, fields: dict[str, Any]) -> HistoryEntry:
        job = fields.get("job") or str(fields.get("gang", "")).partition(".")[0]
        parts = (f"{name} {_to_text(value)}" for name, value in fields.items() if name != "job")
        detail = ", ".join(parts)[:DETAIL_LETTERS]
        return HistoryEntry(
            self._clock.wall(), self._vm, event.number, event.name.lower(), str(job), detail
        )


def _to_text(value: Any) -> str:
    if isinstance(value, tuple | list):
        return " ".join(str(part) for part in value)
    return str(value)
