"""Reads the accepted jobs and cancellations that other VMs have stored, for the owner."""

import random

from lacewingmill.codec import decode
from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import (
    HistoryLost,
    MessageInvalid,
    StoreUnavailable,
    TransactionConflict,
)
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
from lacewingmill.retries import Backoff
from lacewingmill.tasks import contain_errors

__all__ = ["Inbox"]

# VMs notify the owner of each job directly; polling finds the jobs of those that could not.
POLL_S = 1.0
RETRY_S = 0.25
MAX_RETRY_S = 1.0
CLEANUP_INTERVAL_S = 20.0
# Jobs are kept longer than the platform requires, so that a late request still finds its job.
RETENTION_MARGIN_S = 15.0
MAX_DELETED_PER_CLEANUP = 10


class Inbox:
    """Passes jobs and cancellations from the store to the director.

    :param kept_s: how long the state of a job can be read after its end, in seconds.
    """

    def __init__(
        self,
        store: TransactionStore,
        clock: Clock,
        log: EventLog,
        director: Director,
        kept_s: float,
        rng: random.Random,
    ):
        self._store = store
        self._clock = clock
        self._log = log
        self._director = director
        self._kept_s = kept_s
        self._backoff = Backoff(RETRY_S, MAX_RETRY_S, rng)
        self._revision = 0

    def load(self) -> None:
        """Read all jobs, their progress and the workers that earlier owners used.

        :raises StoreUnavailable: when the store does not answer.
        """
        records, self._revision = self._store.scan(INBOX_PREFIX)
        stored, _ = self._store.scan(PROGRESS_PREFIX)
        progress = {}
        for record in stored:
            job_id = record.key.removeprefix(PROGRESS_PREFIX)
            self._director.store_writer.set_revision(record.key, record.revision)
            progress[job_id] = self._decode(record, Progress)
        self._load_workers()
        for record in records:
            if record.key.startswith(JOB_PREFIX):
                submission = self._decode(record, Submission)
                if submission is None:
                    continue
                with contain_errors(self._log, job=submission.job_id):
                    known = progress.get(submission.job_id)
                    self._director.registry.add(submission, record.revision, known)
        for record in records:
            self._apply_cancellation(record.key)

    def confirm_owner(self) -> None:
        """Stop the director if another VM became the owner while the jobs were read.

        :raises StoreUnavailable: when the store does not answer.
        """
        if not self._is_owner():
            self._director.on_fenced()

    def follow(self) -> None:
        """Poll for jobs and cancellations, and delete expired jobs, until killed."""
        cleaned_at = self._clock.now()
        while True:
            self._clock.sleep(POLL_S)
            try:
                self._poll()
                self._backoff.reset()
                if self._clock.now() - cleaned_at > CLEANUP_INTERVAL_S:
                    cleaned_at = self._clock.now()
                    self._delete_expired_jobs()
            except StoreUnavailable:
                self._clock.sleep(self._backoff.next_s())

    def _load_workers(self) -> None:
        """Read the workers that earlier owners used, also those that are not registered now."""
        record = self._store.get(WORKERS_KEY)
        if record is None:
            return
        self._director.store_writer.set_revision(WORKERS_KEY, record.revision)
        used = self._decode(record, UsedWorkers)
        if used is not None:
            self._director.pool.restore(used)

    def _poll(self) -> None:
        """Apply all changes since the last poll, in as many calls as the store needs for them."""
        started_at = self._clock.now()
        truncated = True
        while truncated:
            try:
                changes = self._store.watch(INBOX_PREFIX, after=self._revision, wait_s=0.0)
            except (HistoryLost, StoreUnavailable):
                # The store may leave watches unanswered while it answers everything else.
                records, revision = self._store.scan(INBOX_PREFIX)
                truncated = False
            else:
                records = tuple(c.record for c in changes.changes if c.record is not None)
                revision, truncated = changes.revision, changes.truncated
            if self._any_unknown(records) and not self._is_owner():
                self._director.on_fenced()
                return
            self._revision = revision
            self._apply_records(records)
        self._director.on_jobs_read(started_at, self._revision)

    def _any_unknown(self, records: tuple[Record, ...]) -> bool:
        """Whether there are jobs that the director does not know."""
        known = self._director.registry.graphs
        jobs = [record.key for record in records if record.key.startswith(JOB_PREFIX)]
        return any(key.removeprefix(JOB_PREFIX) not in known for key in jobs)

    def _is_owner(self) -> bool:
        """Whether the director's VM is still the owner.

        It may have been replaced unnoticed, and the next owner relies on it not to start jobs that
        it reads from the store; see :class:`Takeover`.
        """
        record = self._store.get(OWNER_KEY)
        return record is not None and record.revision == self._director.owner_lease.fence

    def _apply_records(self, records: tuple[Record, ...]) -> None:
        for record in records:
            if record.key.startswith(JOB_PREFIX):
                submission = self._decode(record, Submission)
                if submission is None:
                    continue
                with contain_errors(self._log, job=submission.job_id):
                    self._director.submit(submission, record.revision)
        for record in records:
            self._apply_cancellation(record.key)

    def _apply_cancellation(self, key: str) -> None:
        if not key.startswith(CANCEL_PREFIX):
            return
        job_id = key.removeprefix(CANCEL_PREFIX)
        graph = self._director.registry.graphs.get(job_id)
        if graph is not None and not graph.state.final:
            with contain_errors(self._log, job=job_id):
                self._director.cancel(job_id)

    def _decode(self, record: Record, record_type):
        try:
            return decode(record.value, record_type)
        except MessageInvalid as exc:
            self._log.emit(LogEvent.JOB_UNREADABLE, key=record.key, reason=str(exc))
            return None

    def _delete_expired_jobs(self) -> None:
        """Delete the keys of jobs that ended longer ago than jobs are kept."""
        cutoff = self._clock.wall() - self._kept_s - RETENTION_MARGIN_S
        expired = [
            job_id
            for job_id, graph in self._director.registry.graphs.items()
            if graph.state.final and self._director.registry.is_stored(graph)
            if graph.ended_at < cutoff
        ]
        for job_id in expired[:MAX_DELETED_PER_CLEANUP]:
            keys = (job_key(job_id), cancel_key(job_id), progress_key(job_id))
            fence = ItemRevision(OWNER_KEY, self._director.owner_lease.fence)
            try:
                self._store.commit(Transaction((fence,), (), keys))
            except TransactionConflict:
                return
            self._director.registry.forget(job_id)
