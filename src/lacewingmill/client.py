"""The operators' side of the control address, for the command line."""

import time
from urllib.parse import quote

import attrs
import msgspec

from lacewingmill.adapters.http_client import HttpClient, HttpReply
from lacewingmill.cells.history import HistoryEntry
from lacewingmill.cells.messages import JobPhase, JobReport
from lacewingmill.codec import decode, encode
from lacewingmill.events import LogEvent
from lacewingmill.exceptions import (
    CatalogueError,
    DocumentInvalid,
    PeerError,
    TransportError,
)
from lacewingmill.models import CatalogueIndex
from lacewingmill.operations import Fleet, FleetMember, PublishRequest, PublishResult
from lacewingmill.status import CellStatus, VmStatus

__all__ = ["OperatorClient"]

CALL_TIMEOUT_S = 20.0
PROBE_TIMEOUT_S = 2.0
HISTORY_TIMEOUT_S = 10.0
IN_FORCE_WAIT_S = 10.0
IN_FORCE_POLL_S = 0.1

PHASE_BY_EVENT = {
    LogEvent.JOB_DONE.number: JobPhase.DONE,
    LogEvent.JOB_REFUSED.number: JobPhase.NOT_RUN,
    LogEvent.JOB_UNKNOWN.number: JobPhase.UNKNOWN,
}


class OperatorClient:
    """Speaks to entry VMs.

    :param address: control address of any entry VM, with or without ``http://``.
    """

    def __init__(self, address: str):
        self._address = address.removeprefix("http://").rstrip("/")
        self._caller = HttpClient()

    def fleet(self) -> Fleet:
        """Return the live entry VMs.

        :raises PeerError: when the VM does not answer usefully.
        """
        return decode(self._get(self._address, "/operate/fleet").body, Fleet)

    def publish(self, order: PublishRequest) -> PublishResult:
        """Publish; a lost answer is settled by repeating the order at another VM.

        :raises DocumentInvalid: when the fleet refuses the configuration.
        :raises CatalogueError: when another operator published first.
        :raises PeerError: when no VM answered; nothing is known then.
        """
        error: PeerError | None = None
        for member in self.fleet().members:
            try:
                reply = self._caller.call(
                    member.control,
                    "POST",
                    "/operate/publish",
                    body=encode(order),
                    timeout_s=CALL_TIMEOUT_S,
                )
            except TransportError as exc:
                error = exc
                continue
            return _publish_result(reply, member)
        raise error or PeerError("no live entry VM", step="publish", peer=self._address)

    def wait_in_force(self, revision: int) -> tuple[VmStatus, ...]:
        """Wait until a revision is in force at all live VMs, and return what each says."""
        end = time.monotonic() + IN_FORCE_WAIT_S
        while True:
            statuses = self.statuses()
            behind = any(status.revision < revision for status in statuses)
            if not behind or time.monotonic() >= end:
                return statuses
            time.sleep(IN_FORCE_POLL_S)

    def statuses(self) -> tuple[VmStatus, ...]:
        """Return the status of each live entry VM that answers."""
        statuses = []
        for member in self.fleet().members:
            try:
                reply = self._get(member.control, "/status")
            except PeerError:
                continue
            statuses.append(msgspec.json.decode(reply.body, type=VmStatus))
        return tuple(statuses)

    def cell(self) -> CellStatus | None:
        """Return the status of the cell, or ``None`` when no owner answers."""
        reply = self._ask_owner("/cell/status")
        return msgspec.json.decode(reply.body, type=CellStatus) if reply else None

    def job(self, job_id: str) -> JobReport | None:
        """Return the report of a job, or ``None`` when the owner does not know it."""
        reply = self._ask_owner(f"/cell/jobs/{job_id}")
        return decode(reply.body, JobReport) if reply else None

    def _ask_owner(self, path: str) -> HttpReply | None:
        """Ask whom each VM takes for the owner, until one answers; ``None`` when none does."""
        for status in self.statuses():
            if status.owner is None:
                continue
            try:
                return self._get(status.owner.control, path)
            except PeerError:
                continue
        return None

    def explain(self, job_id: str, hours: int) -> JobReport | None:
        """Return what is known of a job: the owner's report, and what the store keeps.

        The store is left out while it does not answer.

        :return: ``None`` when neither has heard of the job.
        """
        report = self.job(job_id)
        try:
            entries = self.history(hours, job_id)
        except PeerError:
            return report
        if report is None and entries:
            report = _past_report(job_id, entries)
        return attrs.evolve(report, history=entries) if report else None

    def history(self, hours: int, job_id: str = "") -> tuple[HistoryEntry, ...]:
        """Return what was decided in the cell during the last hours, oldest first.

        :param job_id: only what concerns this job; everything when empty.
        :raises PeerError: when the VM or the store does not answer.
        """
        path = f"/operate/history?hours={hours}&job={quote(job_id)}"
        reply = self._get(self._address, path, HISTORY_TIMEOUT_S)
        return decode(reply.body, tuple[HistoryEntry, ...])

    def audit(self) -> tuple[CatalogueIndex, ...]:
        """Return all accepted revisions, oldest first."""
        reply = self._get(self._address, "/operate/audit")
        return decode(reply.body, tuple[CatalogueIndex, ...])

    def _get(self, address: str, path: str, timeout_s: float = PROBE_TIMEOUT_S) -> HttpReply:
        reply = self._caller.call(address, "GET", path, timeout_s=timeout_s)
        if reply.status != 200:
            message = reply.body.decode("utf-8", "replace") or f"answered {reply.status}"
            raise PeerError(message, step=path, peer=address)
        return reply


def _past_report(job_id: str, entries: tuple[HistoryEntry, ...]) -> JobReport:
    """Return the report of a job that only the history knows."""
    phases = [PHASE_BY_EVENT[entry.number] for entry in entries if entry.number in PHASE_BY_EVENT]
    if phases:
        return JobReport(job_id, phases[-1], reason="only the history of the cell knows it")
    return JobReport(job_id, JobPhase.UNKNOWN, reason="the history has no outcome of it")


def _publish_result(reply: HttpReply, member: FleetMember) -> PublishResult:
    text = reply.body.decode("utf-8", "replace")
    if reply.status == 200:
        return decode(reply.body, PublishResult)
    if reply.status == 422:
        raise DocumentInvalid(text.splitlines())
    if reply.status == 409:
        raise CatalogueError(text, step="publish")
    raise PeerError(f"entry VM answered {reply.status}: {text}", step="publish", peer=member.vm)
