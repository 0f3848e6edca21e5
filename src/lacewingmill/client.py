"""Client of the operators' API at the control address, used by the command line."""

import time
from typing import TypeVar
from urllib.parse import quote

import attrs

from lacewingmill.adapters.http_client import HttpClient, HttpReply
from lacewingmill.adapters.replies import decode_reply
from lacewingmill.cells.history import HistoryEntry
from lacewingmill.cells.messages import JobPhase, JobReport
from lacewingmill.codec import decode, decode_json, encode
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

PUBLISH_TIMEOUT_S = 20.0
DEFAULT_TIMEOUT_S = 2.0
HISTORY_TIMEOUT_S = 10.0
IN_FORCE_TIMEOUT_S = 10.0
IN_FORCE_POLL_INTERVAL_S = 0.1

PHASE_BY_EVENT = {
    LogEvent.JOB_DONE.number: JobPhase.DONE,
    LogEvent.JOB_REFUSED.number: JobPhase.NOT_RUN,
    LogEvent.JOB_UNKNOWN.number: JobPhase.UNKNOWN,
}
Message = TypeVar("Message")


class OperatorClient:
    """Client of the entry VMs for operators.

    :param address: control address of any entry VM, with or without ``http://``.
    """

    def __init__(self, address: str):
        self._address = address.removeprefix("http://").rstrip("/")
        self._http_client = HttpClient()

    def fleet(self) -> Fleet:
        """Return the live entry VMs.

        :raises PeerError: the VM does not answer, or answers with an error.
        """
        return self._fetch(self._address, "/operate/fleet", Fleet)

    def publish(self, publication: PublishRequest) -> PublishResult:
        """Publish a configuration.

        If a VM does not answer, the publication is repeated at another one. Its write id makes that
        safe, and shows whether the earlier attempt succeeded.

        :raises DocumentInvalid: the fleet rejects the configuration.
        :raises CatalogueError: another operator published first.
        :raises PeerError: no VM answered, so that the outcome is unknown, or one answered with
            another error.
        """
        error: PeerError | None = None
        for member in self.fleet().members:
            try:
                reply = self._http_client.call(
                    member.control,
                    "POST",
                    "/operate/publish",
                    body=encode(publication),
                    timeout_s=PUBLISH_TIMEOUT_S,
                )
            except TransportError as exc:
                error = exc
                continue
            return _decode_publish_result(reply, member)
        raise error or PeerError("no live entry VM", step="publish", peer=self._address)

    def wait_in_force(self, revision: int) -> tuple[VmStatus, ...]:
        """Wait until a revision is in force at all live entry VMs that answer.

        :return: the status of each VM, also when the revision is not in force everywhere in time.
        """
        end = time.monotonic() + IN_FORCE_TIMEOUT_S
        while True:
            statuses = self.statuses()
            behind = any(status.revision < revision for status in statuses)
            if not behind or time.monotonic() >= end:
                return statuses
            time.sleep(IN_FORCE_POLL_INTERVAL_S)

    def statuses(self) -> tuple[VmStatus, ...]:
        """Return the status of each live entry VM that answers."""
        statuses = []
        for member in self.fleet().members:
            try:
                statuses.append(
                    self._fetch(member.control, "/status", VmStatus, decoder=decode_json)
                )
            except PeerError:
                continue
        return tuple(statuses)

    def cell(self) -> CellStatus | None:
        """Return the status of the cell, or ``None`` if no owner answers."""
        return self._fetch_from_owner("/cell/status", CellStatus, decoder=decode_json)

    def job(self, job_id: str) -> JobReport | None:
        """Return the owner's report of a job, or ``None`` if no owner answers or knows it."""
        return self._fetch_from_owner(f"/cell/jobs/{job_id}", JobReport)

    def _fetch_from_owner(
        self, path: str, message_type: type[Message], *, decoder=decode
    ) -> Message | None:
        """Call the owner that each VM reports, until one answers; return ``None`` if none does."""
        for status in self.statuses():
            if status.owner is None:
                continue
            try:
                return self._fetch(status.owner.control, path, message_type, decoder=decoder)
            except PeerError:
                continue
        return None

    def explain(self, job_id: str, hours: int) -> JobReport | None:
        """Return the owner's report of a job together with its history from the store.

        The history is omitted if it cannot be read.

        :return: the report, or ``None`` if neither the owner nor the history knows the job.
        """
        report = self.job(job_id)
        try:
            entries = self.history(hours, job_id)
        except PeerError:
            return report
        if report is None and entries:
            report = _report_from_history(job_id, entries)
        return attrs.evolve(report, history=entries) if report else None

    def history(self, hours: int, job_id: str = "") -> tuple[HistoryEntry, ...]:
        """Return the history entries of the cell for the last hours, oldest first.

        :param job_id: return only entries about this job; all if empty.
        :raises PeerError: the VM or the store does not answer.
        """
        path = f"/operate/history?hours={hours}&job={quote(job_id)}"
        return self._fetch(
            self._address, path, tuple[HistoryEntry, ...], timeout_s=HISTORY_TIMEOUT_S
        )

    def audit(self) -> tuple[CatalogueIndex, ...]:
        """Return all accepted catalogue indexes, oldest first."""
        return self._fetch(self._address, "/operate/audit", tuple[CatalogueIndex, ...])

    def _fetch(
        self,
        address: str,
        path: str,
        message_type: type[Message],
        *,
        decoder=decode,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> Message:
        reply = self._http_client.call(address, "GET", path, timeout_s=timeout_s)
        if reply.status != 200:
            message = reply.body.decode("utf-8", "replace") or f"answered {reply.status}"
            raise PeerError(message, step=path, peer=address)
        return decode_reply(reply, message_type, step=path, peer=address, decoder=decoder)


def _report_from_history(job_id: str, entries: tuple[HistoryEntry, ...]) -> JobReport:
    """Build the report of a job on which no owner reports from its history entries."""
    phases = [PHASE_BY_EVENT[entry.number] for entry in entries if entry.number in PHASE_BY_EVENT]
    if phases:
        return JobReport(
            job_id, phases[-1], reason="the outcome is known only from the history of the cell"
        )
    return JobReport(
        job_id, JobPhase.UNKNOWN, reason="the history of the cell contains no outcome of the job"
    )


def _decode_publish_result(reply: HttpReply, member: FleetMember) -> PublishResult:
    text = reply.body.decode("utf-8", "replace")
    if reply.status == 200:
        return decode_reply(reply, PublishResult, step="publish", peer=member.control)
    if reply.status == 422:
        raise DocumentInvalid(text.splitlines())
    if reply.status == 409:
        raise CatalogueError(text, step="publish")
    raise PeerError(f"entry VM answered {reply.status}: {text}", step="publish", peer=member.vm)
