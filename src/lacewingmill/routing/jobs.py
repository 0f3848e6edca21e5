"""Job routes: from the caller's own entry VM to the owner of the cell and back."""

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

POLL_S = 2.0
RETRY_S = 0.3
ID_DIGITS = 24

Answer = TypeVar("Answer")


class CellPort(Protocol):
    """The owner of a cell, in this process or in another."""

    def submit(self, submit: SubmitJob) -> None:
        """Hand a job in; repeating it is harmless."""

    def report(self, job_id: str, wait_s: float) -> JobReport | None:
        """Return a job's report, waiting for its end; ``None`` when it is unheard of."""

    def cancel(self, job_id: str) -> None:
        """Give a job up."""


def make_job_id(service: str, team: str, key: str) -> str:
    """Return the id of the job that a request with this key becomes, whoever takes it in."""
    digest = hashlib.sha256("\0".join((service, team, key)).encode()).hexdigest()
    return digest[:ID_DIGITS]


class JobRouter:
    """Hands jobs to the owner, follows it when the owner changes, and returns the answer.

    :param owner: the owner as far as this VM knows.
    :param connect: returns a port to an owner.
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

        :raises JobRefused: it was provably not run.
        :raises OutcomeUnknown: whether it ran cannot be proved.
        """
        submit = self.make_submission(req)
        report = self.submit_and_wait(submit, req.deadline)
        if report.phase is JobPhase.DONE:
            return report.answer
        if report.phase is JobPhase.NOT_RUN:
            raise JobRefused(report.reason, step=report.step, peer=report.peer)
        raise OutcomeUnknown(report.reason, step=report.step, peer=report.peer)

    def make_submission(self, req: ClientRequest) -> SubmitJob:
        """Return the message that hands a request in as a job."""
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
        left = max(0.0, req.deadline - self._clock.now())
        return SubmitJob(job, req.key, req.body, req.content_type, left)

    def submit_and_wait(self, submit: SubmitJob, deadline: float) -> JobReport:
        """Submit a job and wait for its end, submitting anew whenever the owner changes."""
        job_id = submit.job.job_id
        submitted_to: OwnerRecord | None = None
        ever_sent = False
        while (left := deadline - self._clock.now()) > 0:
            owner = self._owner.record
            if owner is None:
                self._pause(min(RETRY_S, left))
                continue
            cell = self._connect(owner)
            try:
                if owner != submitted_to:
                    ever_sent = True
                    handed_in = attrs.evolve(submit, deadline_s=left)
                    self._ask(owner, lambda c=cell, s=handed_in: c.submit(s))
                    submitted_to = owner
                wait_s = min(POLL_S, left)
                report = self._ask(owner, lambda c=cell, w=wait_s: c.report(job_id, w))
            except (NotOwner, TransportError):
                submitted_to = None
                if self._owner.record == owner:
                    self._pause(min(RETRY_S, left))
                continue
            if report is None:
                submitted_to = None
            elif report.phase.final:
                return report
        return self._give_up(job_id, ever_sent, submitted_to)

    def poll(self, job_id: str, wait_s: float) -> JobReport | None:
        """Return a job's report from the present owner.

        :raises NotOwner: when no owner is known.
        :raises TransportError: when it does not answer.
        """
        return self._connect(self._require_owner()).report(job_id, wait_s)

    def cancel(self, job_id: str) -> None:
        """Give a job up.

        :raises NotOwner: when no owner is known.
        :raises TransportError: when it does not answer.
        """
        self._connect(self._require_owner()).cancel(job_id)

    def _ask(self, owner: OwnerRecord, call: Callable[[], Answer]) -> Answer:
        """Make a call to the owner, and give it up once another VM owns the cell.

        A dead owner may keep silent until the call's own timeout, which a claim cannot wait for.

        :raises NotOwner: the owner changed before it answered.
        :raises TransportError: no answer.
        """
        changed = self._owner.changed
        asked = gevent.spawn(_answer_or_error, call)
        gevent.wait([asked, changed], count=1)
        if not asked.ready():
            asked.kill(block=False)
            raise NotOwner("the owner of the cell changed", step="wait", peer=owner.vm)
        if isinstance(asked.value, LacewingmillError):
            raise asked.value
        return asked.get()

    def _pause(self, seconds: float) -> None:
        """Wait before the next attempt, but no longer than until the owner changes."""
        changed = self._owner.changed
        timer = gevent.spawn(self._clock.sleep, seconds)
        gevent.wait([timer, changed], count=1)
        timer.kill(block=False)

    def _require_owner(self) -> OwnerRecord:
        owner = self._owner.record
        if owner is None:
            raise NotOwner("no owner of the cell is known", step="find owner")
        return owner

    def _give_up(self, job_id: str, ever_sent: bool, submitted_to: OwnerRecord | None) -> JobReport:
        """The deadline passed: only the owner can say that the job was not run."""
        if not ever_sent:
            reason = "no owner of the cell could be reached before the deadline"
            return JobReport(job_id, JobPhase.NOT_RUN, reason=reason, step="submit")
        reason = "the deadline passed before the job's outcome was known"
        peer = submitted_to.vm if submitted_to else ""
        if submitted_to is not None:
            report = self._cancel_and_ask(submitted_to, job_id)
            if report is not None and report.phase.final:
                return report
        return JobReport(job_id, JobPhase.UNKNOWN, reason=reason, step="wait", peer=peer)

    def _cancel_and_ask(self, owner: OwnerRecord, job_id: str) -> JobReport | None:
        try:
            cell = self._connect(owner)
            cell.cancel(job_id)
            return cell.report(job_id, 0.0)
        except (NotOwner, TransportError):
            return None


def _answer_or_error(call: Callable[[], Answer]) -> Answer | LacewingmillError:
    """Return what a call returns, or the error that it raised, for the greenlet that waits."""
    try:
        return call()
    except (NotOwner, TransportError) as exc:
        return exc
