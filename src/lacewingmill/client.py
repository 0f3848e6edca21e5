"""The operators' side of the control address, for the command line."""

import time

import msgspec

from lacewingmill.adapters.http_client import HttpCaller, HttpReply
from lacewingmill.cells.messages import JobReport
from lacewingmill.codec import decode, encode
from lacewingmill.exceptions import (
    CatalogueError,
    DocumentInvalid,
    PeerError,
    TransportError,
)
from lacewingmill.models import CatalogueIndex
from lacewingmill.operations import Fleet, FleetMember, PublishOrder, PublishResult
from lacewingmill.status import CellStatus, VmStatus

__all__ = ["OperatorClient"]

CALL_TIMEOUT_S = 20.0
PROBE_TIMEOUT_S = 2.0
IN_FORCE_WAIT_S = 10.0
IN_FORCE_POLL_S = 0.1


class OperatorClient:
    """Speaks to entry VMs.

    :param address: control address of any entry VM, with or without ``http://``.
    """

    def __init__(self, address: str):
        self._address = address.removeprefix("http://").rstrip("/")
        self._caller = HttpCaller()

    def fleet(self) -> Fleet:
        """Return the live entry VMs.

        :raises PeerError: when the VM does not answer usefully.
        """
        return decode(self._get(self._address, "/operate/fleet").body, Fleet)

    def publish(self, order: PublishOrder) -> PublishResult:
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
        for status in self.statuses():
            if status.owner is None:
                continue
            try:
                reply = self._get(status.owner.control, "/cell/status")
            except PeerError:
                continue
            return msgspec.json.decode(reply.body, type=CellStatus)
        return None

    def job(self, job_id: str) -> JobReport | None:
        """Return the report of a job, or ``None`` when the owner does not know it."""
        for status in self.statuses():
            if status.owner is None:
                continue
            try:
                reply = self._get(status.owner.control, f"/cell/jobs/{job_id}")
            except PeerError:
                continue
            return decode(reply.body, JobReport)
        return None

    def audit(self) -> tuple[CatalogueIndex, ...]:
        """Return all accepted revisions, oldest first."""
        reply = self._get(self._address, "/operate/audit")
        return decode(reply.body, tuple[CatalogueIndex, ...])

    def _get(self, address: str, path: str) -> HttpReply:
        reply = self._caller.call(address, "GET", path, timeout_s=PROBE_TIMEOUT_S)
        if reply.status != 200:
            message = reply.body.decode("utf-8", "replace") or f"answered {reply.status}"
            raise PeerError(message, step=path, peer=address)
        return reply


def _publish_result(reply: HttpReply, member: FleetMember) -> PublishResult:
    text = reply.body.decode("utf-8", "replace")
    if reply.status == 200:
        return decode(reply.body, PublishResult)
    if reply.status == 422:
        raise DocumentInvalid(text.splitlines())
    if reply.status == 409:
        raise CatalogueError(text, step="publish")
    raise PeerError(f"entry VM answered {reply.status}: {text}", step="publish", peer=member.vm)
