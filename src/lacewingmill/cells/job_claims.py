"""Submitted jobs at the owner, and the claims that keep non-idempotent ones from running twice."""

import attrs
from gevent.event import Event as Signal
from gevent.lock import BoundedSemaphore

from lacewingmill.cells.claim_journal import ClaimJournal, claim_key
from lacewingmill.cells.gangs import Gang
from lacewingmill.cells.messages import ClaimRecord, JobReport, SubmitJob
from lacewingmill.exceptions import StoreConflict
from lacewingmill.models import Fence
from lacewingmill.ports import ApplicationAnswer, Clock, WorkerLease

__all__ = ["ClaimResult", "Work", "WorkClaims"]

EVIDENCE_VALID_S = 500.0


@attrs.define(eq=False)
class JobEntry:
    """A submitted job and its present gang.

    :param body_known: whether the caller's request is at hand; not after a take-over.
    :param run_before_s: longest run of an earlier gang, in seconds.
    :param closed_at: when the outcome was settled, in seconds; 0 before.
    :param lock: held while a gang is started or evicted, so that the two never cross.
    """

    submit: SubmitJob
    deadline: float
    report: JobReport
    attempts: int = 0
    gang: Gang | None = None
    body_known: bool = True
    done_s: float = 0.0
    run_before_s: float = 0.0
    claim_revision: int = 0
    closed_at: float = 0.0
    changed: Signal = attrs.field(factory=Signal)
    lock: BoundedSemaphore = attrs.field(factory=BoundedSemaphore)


@attrs.frozen
class ClaimResult:
    """Whether a claim was granted, and the answer kept with the claim that stood in its way."""

    granted: bool
    answer: ApplicationAnswer | None = None


class JobClaims:
    """Claims of one owner under its fence."""

    def __init__(self, journal: ClaimJournal, clock: Clock, vm: str, fence: Fence):
        self._journal = journal
        self._clock = clock
        self._vm = vm
        self._fence = fence
        self._executed_before: dict[str, frozenset[str]] = {}

    def note_table(self, worker: str, leases: tuple[WorkerLease, ...]) -> None:
        """Remember what a worker had executed when it first reported under this fence."""
        executed = frozenset(lease.gang for lease in leases if lease.executed)
        self._executed_before.setdefault(worker, executed)

    def claim(self, work: JobEntry, gang: Gang) -> ClaimResult:
        """Claim a job for a gang before anything is sent.

        :raises StoreUnavailable: the store stayed away until the job's deadline.
        """
        key, record = _key(work.submit), self._record(gang)
        try:
            work.claim_revision = self._journal.claim(
                key, record, expected=work.claim_revision, deadline=work.deadline
            )
        except StoreConflict:
            return self._replace(work, key, record)
        return ClaimResult(True)

    def store_answer(self, work: JobEntry, gang: Gang, answer: ApplicationAnswer) -> None:
        """Keep the answer with its claim."""
        self._journal.store_answer(
            _key(work.submit), self._record(gang, answer), work.claim_revision
        )

    def _replace(self, work: JobEntry, key: str, record: ClaimRecord) -> ClaimResult:
        found = self._journal.find(key)
        if found is None or not self._may_replace(found.record):
            return ClaimResult(False, found.record.answer if found else None)
        try:
            work.claim_revision = self._journal.claim(
                key, record, expected=found.revision, deadline=work.deadline
            )
        except StoreConflict:
            return ClaimResult(False)
        return ClaimResult(True)

    def _may_replace(self, claim: ClaimRecord) -> bool:
        """Whether a claim of an earlier owner is proved never to have run.

        Every member has accepted this fence and reported that it did not execute the gang.
        """
        recent = self._clock.wall() - claim.at < EVIDENCE_VALID_S
        return (
            claim.answer is None
            and bool(claim.members)
            and claim.fence < self._fence
            and recent
            and all(self._not_executed(claim.gang, worker) for worker in claim.members)
        )

    def _not_executed(self, gang: str, worker: str) -> bool:
        executed = self._executed_before.get(worker)
        return executed is not None and gang not in executed

    def _record(self, gang: Gang, answer: ApplicationAnswer | None = None) -> ClaimRecord:
        return ClaimRecord(
            self._journal.new_write_id(),
            self._vm,
            self._fence,
            self._clock.wall(),
            gang.gang_id,
            gang.workers,
            answer,
        )


def _key(submit: SubmitJob) -> str:
    return claim_key(submit.job.service, submit.job.team, submit.key)
