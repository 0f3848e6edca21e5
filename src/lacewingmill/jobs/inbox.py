"""The owner's view of what other VMs have stored: accepted jobs and cancellations."""

import msgspec

from lacewingmill.codec import decode
from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import HistoryLost, StoreUnavailable, TransactionConflict
from lacewingmill.jobs.director import Director
from lacewingmill.jobs.graph import Progress
from lacewingmill.jobs.keys import (
    CANCEL_PREFIX,
    INBOX_PREFIX,
    JOB_PREFIX,
    OWNER_KEY,
    PROGRESS_PREFIX,
    WORKERS_KEY,
    cancel_key,
    job_key,
    progress_key,
)
from lacewingmill.jobs.messages import UsedWorkers
from lacewingmill.jobs.model import Submission
from lacewingmill.jobs.ports import ItemRevision, Record, Transaction, TransactionStore
from lacewingmill.ports import Clock

__all__ = ["Inbox"]

# VMs tell the owner of each job directly; the inbox is for those that could not.
POLL_S = 1.0
RETRY_S = 0.25
SWEEP_EVERY_S = 20.0
# Kept a little longer than the platform demands, for callers that ask at the last moment.
KEPT_MARGIN_S = 15.0
JOBS_PER_SWEEP = 10


class Inbox:
    """Feeds a director from the store.

    :param kept_s: how long the state of a job is told after its end, in seconds.
    """

    def __init__(
        self,
        store: TransactionStore,
        clock: Clock,
        log: EventLog,
        director: Director,
        kept_s: float,
    ):
        self._store = store
        self._clock = clock
        self._log = log
        self._director = director
        self._kept_s = kept_s
        self._revision = 0

    def load(self) -> None:
        """Read all jobs and their progress.

        :raises StoreUnavailable: when the store does not answer.
        """
        records, self._revision = self._store.scan(INBOX_PREFIX)
        stored, _ = self._store.scan(PROGRESS_PREFIX)
        progress = {}
        for record in stored:
            job_id = record.key.removeprefix(PROGRESS_PREFIX)
            self._director.store_writer.set_revision(record.key, record.revision)
            progress[job_id] = self._read(record, Progress)
        self._load_workers()
        for record in records:
            if record.key.startswith(JOB_PREFIX):
                submission = self._read(record, Submission)
                if submission is not None:
                    found = progress.get(submission.job_id)
                    self._director.registry.add(submission, record.revision, found)
        for record in records:
            self._take_cancel(record.key)

    def follow(self) -> None:
        """Look for new entries for ever."""
        swept_at = self._clock.now()
        while True:
            self._clock.sleep(POLL_S)
            try:
                self._look()
                if self._clock.now() - swept_at > SWEEP_EVERY_S:
                    swept_at = self._clock.now()
                    self._sweep()
            except StoreUnavailable:
                self._clock.sleep(RETRY_S)

    def _load_workers(self) -> None:
        """Read the workers that earlier owners used, listed or not."""
        record = self._store.get(WORKERS_KEY)
        if record is None:
            return
        self._director.store_writer.set_revision(WORKERS_KEY, record.revision)
        used = self._read(record, UsedWorkers)
        if used is not None:
            self._director.pool.restore(used)

    def _look(self) -> None:
        try:
            changes = self._store.watch(INBOX_PREFIX, after=self._revision, wait_s=0.0)
        except HistoryLost:
            records, self._revision = self._store.scan(INBOX_PREFIX)
        else:
            self._revision = changes.revision
            records = tuple(c.record for c in changes.changes if c.record is not None)
        for record in records:
            if record.key.startswith(JOB_PREFIX):
                submission = self._read(record, Submission)
                if submission is not None:
                    self._director.submit(submission, record.revision)
        for record in records:
            self._take_cancel(record.key)

    def _take_cancel(self, key: str) -> None:
        if not key.startswith(CANCEL_PREFIX):
            return
        job_id = key.removeprefix(CANCEL_PREFIX)
        graph = self._director.registry.graphs.get(job_id)
        if graph is not None and not graph.state.final:
            self._director.cancel(job_id)

    def _read(self, record: Record, kind):
        try:
            return decode(record.value, kind)
        except msgspec.DecodeError as exc:
            self._log.emit(LogEvent.JOB_UNREADABLE, key=record.key, reason=str(exc))
            return None

    def _sweep(self) -> None:
        """Remove the keys of jobs that ended long ago."""
        before = self._clock.wall() - self._kept_s - KEPT_MARGIN_S
        old = [
            job_id
            for job_id, graph in self._director.registry.graphs.items()
            if graph.state.final and self._director.registry.is_stored(graph)
            if graph.ended_at < before
        ]
        for job_id in old[:JOBS_PER_SWEEP]:
            keys = (job_key(job_id), cancel_key(job_id), progress_key(job_id))
            fence = ItemRevision(OWNER_KEY, self._director.owner_lease.fence)
            try:
                self._store.commit(Transaction((fence,), (), keys))
            except TransactionConflict:
                return
            self._director.registry.forget(job_id)
