"""The owner of a cell on another entry VM, over HTTP with typed messages."""

import hashlib
from urllib.parse import quote

import msgspec

from lacewingmill.adapters.http_client import HttpClient, HttpReply
from lacewingmill.catalogue.current import CatalogueBundle
from lacewingmill.cells.messages import JobReport, SubmitJob
from lacewingmill.codec import decode, encode
from lacewingmill.exceptions import AnswerMismatch, NotOwner, PeerError

__all__ = ["DIGEST_HEADER", "REQUEST_HEADER", "RemoteCell", "digest_of", "fetch_bundle"]

REQUEST_HEADER = "lacewingmill-request"
DIGEST_HEADER = "lacewingmill-digest"
CALL_TIMEOUT_S = 2.0
LONG_POLL_MARGIN_S = 1.5
STATUS_NOT_OWNER = 421


def digest_of(body: bytes) -> str:
    """Return the digest that guards a body between our own processes."""
    return hashlib.sha256(body).hexdigest()


class RemoteCell:
    """Port to the owner at another VM.

    :param peer: its control address.
    """

    def __init__(self, caller: HttpClient, peer: str):
        self._caller = caller
        self._peer = peer

    def submit(self, submit: SubmitJob) -> None:
        """Hand a job in; repeating it is harmless.

        :raises NotOwner: the VM does not own the cell.
        :raises TransportError: no answer; the job may have been taken in.
        """
        self._call("POST", "/cell/jobs", submit.job.job_id, encode(submit), CALL_TIMEOUT_S)

    def report(self, job_id: str, wait_s: float) -> JobReport | None:
        """Return a job's report, waiting for its end at most ``wait_s``.

        :raises NotOwner: the VM does not own the cell.
        :raises TransportError: no answer.
        """
        path = f"/cell/jobs/{quote(job_id)}?wait_s={wait_s:g}"
        reply = self._call("GET", path, job_id, b"", wait_s + LONG_POLL_MARGIN_S)
        if reply.status == 404:
            return None
        report = decode(reply.body, JobReport)
        if report.job_id != job_id:
            raise AnswerMismatch("report of another job", step="receive", peer=self._peer)
        return report

    def cancel(self, job_id: str) -> None:
        """Give a job up.

        :raises NotOwner: the VM does not own the cell.
        :raises TransportError: no answer.
        """
        self._call("DELETE", f"/cell/jobs/{quote(job_id)}", job_id, b"", CALL_TIMEOUT_S)

    def _call(
        self, method: str, path: str, request_id: str, body: bytes, timeout_s: float
    ) -> HttpReply:
        """Send, then match the answer by request id and digest before anybody sees it."""
        headers = {REQUEST_HEADER: request_id, DIGEST_HEADER: digest_of(body)}
        reply = self._caller.call(
            self._peer, method, path, body=body, headers=headers, timeout_s=timeout_s
        )
        if reply.headers.get(REQUEST_HEADER) != request_id:
            self._caller.forget(self._peer)
            raise AnswerMismatch("answer to another request", step="receive", peer=self._peer)
        if reply.headers.get(DIGEST_HEADER) != digest_of(reply.body):
            self._caller.forget(self._peer)
            raise AnswerMismatch("answer arrived damaged", step="receive", peer=self._peer)
        if reply.status == STATUS_NOT_OWNER:
            raise NotOwner("the VM does not own the cell", step=path, peer=self._peer)
        return reply


def fetch_bundle(caller: HttpClient, peer: str) -> CatalogueBundle:
    """Fetch the whole configuration from another entry VM.

    :raises TransportError: no answer.
    :raises PeerError: an answer that is no configuration.
    """
    reply = caller.call(peer, "GET", "/peer/catalogue", timeout_s=CALL_TIMEOUT_S)
    try:
        return decode(reply.body, CatalogueBundle)
    except msgspec.MsgspecError as exc:
        raise PeerError(f"no configuration in the answer: {exc}", peer=peer) from exc
