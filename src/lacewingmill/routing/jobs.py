"""Job routes: requests go from the client's entry VM to the owner of the cell."""

import hashlib
from collections.abc import Callable
from typing import Protocol, TypeVar

import attrs
import gevent

from lacewingmill.cells.messages import JobPhase, JobReport, SubmitJob
from lacewingmill.cells.owner_signal import OwnerSignal
from lacewingmill.exceptions import (
    JobRefused,
    LacewingmillError,
    NotOwner,
    OutcomeUnknown,
    TransportError,
)
from lacewingmill.models import OwnerRecord
from lacewingmill.ports import ApplicationResponse, Clock
from lacewingmill.routing.ordinary import ClientRequest
from lacewingmill.scheduling.messages import Job

__all__ = ["CellPort", "JobRouter", "make_job_id"]

LONG_POLL_S = 2.0
RETRY_DELAY_S = 0.3
# How long after a job's deadline its outcome is still asked for: a hand-over takes up to this time.
OUTCOME_GRACE_S = 3.0
JOB_ID_HEX_DIGITS = 24

Result = TypeVar("Result")


class CellPort(Protocol):
    """Interface to the owner of a cell, in this process or in another."""

    def submit(self, submission: SubmitJob) -> None:
        """Submit a job; safe to repeat."""

    def report(self, job_id: str, wait_s: float) -> JobReport | None:
        """Wait for the end of a job and return its report.

        :param wait_s: maximum time to wait, in seconds.
        :return: the report, or ``None`` if the owner does not know the job.
        """

    def cancel(self, job_id: str) -> None:
        """Cancel a job."""


def make_job_id(service: str, team: str, key: str) -> str:
    """Derive the job id from the idempotency key; every VM derives the same one."""
    digest = hashlib.sha256("\0".join((service, team, key)).encode()).hexdigest()
    return digest[:JOB_ID_HEX_DIGITS]


class JobRouter:
    """Submits jobs to the owner of the cell, again after each change of owner.

    :param owner: the owner as known to this VM.
    :param connect: returns the :class:`CellPort` of an owner.
    """

    def __init__(
        self,
        clock: Clock,
        owner: OwnerSignal,
        connect: Callable[[OwnerRecord], CellPort],
    ):
        self._clock = clock
        self._owner = owner
        self._connect = connect

    def serve(self, req: ClientRequest) -> ApplicationResponse:
        """Run a job and return its answer.

        :raises JobRefused: the job was certainly not run.
        :raises OutcomeUnknown: the job may or may not have run.
        """
        submission = self.make_submission(req)
        report = self.submit_and_wait(submission, req.deadline)
        if report.phase is JobPhase.DONE:
            return report.answer
        if report.phase is JobPhase.NOT_RUN:
            raise JobRefused(report.reason, step=report.step, peer=report.peer)
        raise OutcomeUnknown(report.reason, step=report.step, peer=report.peer)

    def make_submission(self, req: ClientRequest) -> SubmitJob:
        """Build the message that submits a client's request as a job."""
        job = Job(
            make_job_id(req.service.name, req.team.name, req.key),
            req.service.name,
            req.team.name,
            req.service.shape(req.route.shape),
            req.route.claims,
            req.route.idempotent,
            req.route.checkpoint,
            0.0,
        )
        remaining_s = max(0.0, req.deadline - self._clock.now())
        return SubmitJob(job, req.key, req.body, req.content_type, remaining_s)

    def submit_and_wait(self, submission: SubmitJob, deadline: float) -> JobReport:
        """Submit a job and wait for its end, submitting it again whenever the owner changes.

        :param deadline: clock time at which to stop waiting, in seconds.
        :return: the final report; its phase is ``UNKNOWN`` if the outcome could not be determined.
        """
        job_id = submission.job.job_id
        submitted_to: OwnerRecord | None = None
        ever_sent = False
        while (remaining_s := deadline - self._clock.now()) > 0:
            owner = self._owner.record
            if owner is None:
                self._wait_for_owner_change(min(RETRY_DELAY_S, remaining_s))
                continue
            cell = self._connect(owner)
            try:
                if owner != submitted_to:
                    updated = attrs.evolve(
                        submission, deadline_s=remaining_s, sent_before=ever_sent
                    )
                    ever_sent = True
                    self._call_owner(owner, lambda c=cell, s=updated: c.submit(s))
                    submitted_to = owner
                wait_s = min(LONG_POLL_S, remaining_s)
                report = self._call_owner(owner, lambda c=cell, w=wait_s: c.report(job_id, w))
            except (NotOwner, TransportError):
                submitted_to = None
                if self._owner.record == owner:
                    self._wait_for_owner_change(min(RETRY_DELAY_S, remaining_s))
                continue
            if report is None:
                submitted_to = None
            elif report.phase.final:
                return report
        if not ever_sent:
            reason = "no owner of the cell could be reached before the deadline"
            return JobReport(job_id, JobPhase.NOT_RUN, reason=reason, step="submit")
        return self._end_at_deadline(submission, submitted_to)

    def poll(self, job_id: str, wait_s: float) -> JobReport | None:
        """Return the report of a job from the current owner.

        :param wait_s: maximum time to wait for the end of the job, in seconds.
        :return: the report, or ``None`` if the owner does not know the job.
        :raises NotOwner: no owner is known, or the VM called no longer owns the cell.
        :raises TransportError: the owner does not answer.
        """
        return self._connect(self._require_owner()).report(job_id, wait_s)

    def cancel(self, job_id: str) -> None:
        """Cancel a job at the current owner.

        :raises NotOwner: no owner is known, or the VM called no longer owns the cell.
        :raises TransportError: the owner does not answer.
        """
        self._connect(self._require_owner()).cancel(job_id)

    def _call_owner(self, owner: OwnerRecord, call: Callable[[], Result]) -> Result:
        """Call the owner and abandon the call once another VM owns the cell.

        A call to a dead owner ends only at its timeout, and a job that claims a guarantee can't
        wait that long.

        :raises NotOwner: the owner changed before it answered, or the VM called is not the owner.
        :raises TransportError: the owner does not answer.
        """
        changed = self._owner.changed
        greenlet = gevent.spawn(_result_or_error, call)
        gevent.wait([greenlet, changed], count=1)
        if not greenlet.ready():
            greenlet.kill(block=False)
            raise NotOwner("the owner of the cell changed", step="wait", peer=owner.vm)
        if isinstance(greenlet.value, LacewingmillError):
            raise greenlet.value
        return greenlet.get()

    def _wait_for_owner_change(self, timeout_s: float) -> None:
        """Wait before the next attempt, which starts at once if the owner changes."""
        changed = self._owner.changed
        timer = gevent.spawn(self._clock.sleep, timeout_s)
        gevent.wait([timer, changed], count=1)
        timer.kill(block=False)

    def _require_owner(self) -> OwnerRecord:
        owner = self._owner.record
        if owner is None:
            raise NotOwner("no owner of the cell is known", step="find owner")
        return owner

    def _end_at_deadline(
        self, submission: SubmitJob, submitted_to: OwnerRecord | None
    ) -> JobReport:
        """Cancel a job that had not ended by its deadline and return its report.

        Only the owner can confirm that the job did not run. While the owner changes, the next one
        is awaited for up to ``OUTCOME_GRACE_S``.
        """
        job_id = submission.job.job_id
        end = self._clock.now() + OUTCOME_GRACE_S
        while True:
            owner = self._owner.record
            try:
                if owner != submitted_to:
                    expired = attrs.evolve(submission, deadline_s=0.0, sent_before=True)
                    self._call_owner(owner, lambda o=owner, s=expired: self._connect(o).submit(s))
                    submitted_to = owner
                report = self._call_owner(owner, lambda o=owner: self._cancel_at(o, job_id))
                if report is not None and report.phase.final:
                    return report
            except (NotOwner, TransportError):
                submitted_to = None
            remaining_s = end - self._clock.now()
            if remaining_s <= 0:
                break
            if self._owner.record == owner:
                self._wait_for_owner_change(min(RETRY_DELAY_S, remaining_s))
        reason = "the deadline passed before the job's outcome was known"
        return JobReport(job_id, JobPhase.UNKNOWN, reason=reason, step="wait", peer=owner.vm)

    def _cancel_at(self, owner: OwnerRecord, job_id: str) -> JobReport | None:
        cell = self._connect(owner)
        cell.cancel(job_id)
        return cell.report(job_id, 0.0)


def _result_or_error(call: Callable[[], Result]) -> Result | LacewingmillError:
    """Return the result of a call, or its error as a value, for the greenlet that waits for it."""
    try:
        return call()
    except (NotOwner, TransportError) as exc:
        return exc
