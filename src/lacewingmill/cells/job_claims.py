"""Entries of the job table, and the claims that keep non-idempotent jobs from running twice."""

from collections.abc import Iterable

import attrs
from gevent.event import Event as Signal
from gevent.lock import BoundedSemaphore

from lacewingmill.cells.claim_journal import ClaimJournal, claim_key
from lacewingmill.cells.gangs import Gang, job_of
from lacewingmill.cells.messages import ClaimRecord, JobReport, SubmitJob
from lacewingmill.exceptions import StoreConflict
from lacewingmill.models import Fence
from lacewingmill.ports import ApplicationResponse, Clock, WorkerLease

__all__ = ["ClaimResult", "JobClaims", "JobEntry"]

# Workers list an ended lease only for a limited time; a gang with an older claim may have run
# although it is missing from their lease tables.
MAX_REPLACEABLE_CLAIM_AGE_S = 500.0


@attrs.define(eq=False)
class JobEntry:
    """A submitted job and its current gang.

    :param deadline: when the client stops waiting, in seconds.
    :param attempts: number of gangs that this owner has created for the job.
    :param has_request: whether the client's request is known; ``False`` for an adopted job until
        the request is submitted again.
    :param done_s: run time saved by earlier checkpoints, in seconds.
    :param longest_run_s: longest run of an earlier gang, in seconds.
    :param executed: whether a member of an earlier gang may have run, even if not all of them did.
    :param claim_revision: store revision of this owner's claim; 0 if there is none.
    :param finished_at: when the outcome was set, in seconds; 0 until then.
    :param changed: set when the job has an outcome.
    :param lock: held while a gang is started or evicted, so that the two do not overlap.
    """

    submission: SubmitJob
    deadline: float
    report: JobReport
    attempts: int = 0
    gang: Gang | None = None
    has_request: bool = True
    done_s: float = 0.0
    longest_run_s: float = 0.0
    executed: bool = False
    claim_revision: int = 0
    finished_at: float = 0.0
    changed: Signal = attrs.field(factory=Signal)
    lock: BoundedSemaphore = attrs.field(factory=BoundedSemaphore)


@attrs.frozen
class ClaimResult:
    """Whether a claim was granted; if not, the answer stored with the conflicting claim, if any."""

    granted: bool
    answer: ApplicationResponse | None = None


class JobClaims:
    """Claims jobs in the store for one owner under its fence."""

    def __init__(self, journal: ClaimJournal, clock: Clock, vm: str, fence: Fence):
        self._journal = journal
        self._clock = clock
        self._vm = vm
        self._fence = fence
        self._executed_gangs: dict[str, frozenset[str]] = {}

    def record_lease_table(self, worker: str, leases: tuple[WorkerLease, ...]) -> None:
        """Record which gangs a worker had executed when it first reported under this fence."""
        executed = frozenset(lease.gang for lease in leases if lease.executed)
        self._executed_gangs.setdefault(worker, executed)

    def ran_earlier(self, job_id: str, workers: Iterable[str]) -> bool:
        """Return whether the job may have run under an earlier owner.

        :param workers: the workers of the cell; one that has not reported yet may run the job.
        """
        reports = [self._executed_gangs.get(worker) for worker in workers]
        return any(
            executed is None or any(job_of(gang) == job_id for gang in executed)
            for executed in reports
        )

    def claim(self, entry: JobEntry, gang: Gang) -> ClaimResult:
        """Claim a job for a gang before any order is sent.

        :raises StoreUnavailable: the store did not answer before the job's deadline.
        """
        key, record = _store_key(entry.submission), self._make_record(gang)
        try:
            entry.claim_revision = self._journal.claim(
                key, record, expected=entry.claim_revision, deadline=entry.deadline
            )
        except StoreConflict:
            return self._replace(entry, key, record)
        return ClaimResult(True)

    def store_answer(self, entry: JobEntry, gang: Gang, answer: ApplicationResponse) -> None:
        """Store the answer with its claim."""
        self._journal.store_answer(
            _store_key(entry.submission), self._make_record(gang, answer), entry.claim_revision
        )

    def _replace(self, entry: JobEntry, key: str, record: ClaimRecord) -> ClaimResult:
        found = self._journal.find(key)
        if found is None or not self._may_replace(found.record):
            return ClaimResult(False, found.record.answer if found else None)
        try:
            entry.claim_revision = self._journal.claim(
                key, record, expected=found.revision, deadline=entry.deadline
            )
        except StoreConflict:
            return ClaimResult(False)
        return ClaimResult(True)

    def _may_replace(self, claim: ClaimRecord) -> bool:
        """Return whether the gang of an earlier owner's claim certainly has not run and never will.

        Every member must have accepted this fence and reported that it did not execute the gang.
        """
        recent = self._clock.wall() - claim.at < MAX_REPLACEABLE_CLAIM_AGE_S
        return (
            claim.answer is None
            and bool(claim.members)
            and claim.fence < self._fence
            and recent
            and all(self._not_executed(claim.gang, worker) for worker in claim.members)
        )

    def _not_executed(self, gang: str, worker: str) -> bool:
        executed = self._executed_gangs.get(worker)
        return executed is not None and gang not in executed

    def _make_record(self, gang: Gang, answer: ApplicationResponse | None = None) -> ClaimRecord:
        return ClaimRecord(
            self._journal.new_write_id(),
            self._vm,
            self._fence,
            self._clock.wall(),
            gang.gang_id,
            gang.workers,
            answer,
        )


def _store_key(submission: SubmitJob) -> str:
    return claim_key(submission.job.service, submission.job.team, submission.key)
