"""Refuses jobs at this VM as :class:`~lacewingmill.jobs.admission.Admission` decides."""

import random
from collections.abc import Callable

import attrs

from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import JobRefused, NoRoom, StoreUnavailable
from lacewingmill.jobs.admission import Admission, Refusal, RefusalCause
from lacewingmill.jobs.director import Director
from lacewingmill.jobs.election import JobOwner
from lacewingmill.jobs.keys import job_key
from lacewingmill.jobs.model import Submission
from lacewingmill.jobs.peers import PeerReply
from lacewingmill.jobs.ports import TransactionStore
from lacewingmill.load.digest import DigestVersion
from lacewingmill.ports import Clock, Meter, Meters

__all__ = ["AdmissionGate"]

# A write whose outcome is unknown may take effect this long after its attempt, in seconds.
LATE_WRITE_S = 20.0


@attrs.frozen(eq=False)
class _Attempt:
    """An attempt to store a job, with its time in seconds."""

    at: float


class AdmissionGate:
    """The admission of this VM.

    :param director: returns the recovered director of this VM; ``None`` while there is none.
    :param owner: returns the owner that this VM knows; ``None`` when there is none.
    :param rng: source of the random part of the times of return.
    """

    def __init__(
        self,
        store: TransactionStore,
        clock: Clock,
        log: EventLog,
        meters: Meters,
        director: Callable[[], Director | None],
        owner: Callable[[], JobOwner | None],
        rng: random.Random,
    ):
        self._store = store
        self._clock = clock
        self._log = log
        self._meters = meters
        self._director = director
        self._owner = owner
        self._admission = Admission(rng)
        self._attempts: dict[str, _Attempt] = {}

    @property
    def version(self) -> DigestVersion:
        """The version of the digest that this VM has."""
        return self._admission.version

    def learn(self, reply: PeerReply) -> None:
        """Use the digest of the owner's reply, if there is one."""
        if reply.digest is not None:
            self._admission.learn(reply.digest, self._clock.now())

    def attach(self, reply: PeerReply, known: DigestVersion) -> PeerReply:
        """Add this owner's digest to a reply to a VM that has only an older one.

        :param known: version of the digest that the other VM has.
        """
        director = self._director()
        digest = director.digest if director is not None else None
        if digest is None or digest.version <= known:
            return reply
        return attrs.evolve(reply, digest=digest)

    def check(self, submission: Submission) -> None:
        """Refuse a job that surely cannot be served and that is not stored.

        :raises JobRefused: when the job must not be stored.
        """
        now = self._clock.now()
        job_id = submission.job_id
        earlier, attempt = self._recent_attempt(job_id, now), _Attempt(now)
        self._attempts[job_id] = attempt
        director = self._director()
        if director is not None and director.digest is not None:
            self._admission.learn(director.digest, now)
        owner = self._owner()
        refusal = self._admission.decide(submission, owner.term if owner is not None else 0, now)
        if refusal is None or earlier is not None or self._may_be_stored(job_id):
            return
        if self._attempts.get(job_id) is not attempt:
            return  # the client has tried again meanwhile, and the job may be stored by that
        del self._attempts[job_id]
        self._refuse(submission, refusal)

    def add_accepted(self, submission: Submission) -> None:
        """Count a job that this VM has stored."""
        self._admission.add_accepted(submission)

    def _recent_attempt(self, job_id: str, now: float) -> _Attempt | None:
        """Remove and return an earlier attempt that may have stored a job or still may."""
        while self._attempts:
            oldest = next(iter(self._attempts))
            if now - self._attempts[oldest].at < LATE_WRITE_S:
                break
            del self._attempts[oldest]
        return self._attempts.pop(job_id, None)

    def _may_be_stored(self, job_id: str) -> bool:
        """Whether another VM may have accepted a job; also when the store cannot tell."""
        try:
            return self._store.get(job_key(job_id)) is not None
        except StoreUnavailable:
            return True  # storing the job meets the same store, and reports what it answers

    def _refuse(self, submission: Submission, refusal: Refusal) -> None:
        self._meters.count(Meter.JOBS, outcome="refused", cause=refusal.cause.value)
        self._log.emit(
            LogEvent.JOB_NOT_ACCEPTED,
            job=submission.job_id,
            reason=refusal.reason,
            cause=refusal.cause.value,
            team=submission.team,
            queue=submission.queue,
            digest=f"{refusal.digest.term}.{refusal.digest.number}",
            digest_age_s=round(refusal.age_s, 3),
            earliest_start_s=round(refusal.earliest_s, 3),
            retry_after_s=round(refusal.retry_after_s, 3),
        )
        error = NoRoom if refusal.cause is RefusalCause.LOAD else JobRefused
        raise error(refusal.reason, retry_after_s=refusal.retry_after_s)
