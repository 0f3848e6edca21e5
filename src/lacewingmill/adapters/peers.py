"""HTTP clients for calls to other entry VMs: jobs at the owner of a cell, and the configuration."""

import hashlib
from urllib.parse import quote

from lacewingmill.adapters.http_client import HttpClient, HttpReply
from lacewingmill.adapters.replies import decode_reply
from lacewingmill.catalogue.current import CatalogueBundle
from lacewingmill.cells.messages import JobReport, SubmitJob
from lacewingmill.codec import encode
from lacewingmill.exceptions import AnswerMismatch, NotOwner

__all__ = ["DIGEST_HEADER", "REQUEST_HEADER", "RemoteCell", "digest_of", "fetch_bundle"]

REQUEST_HEADER = "lacewingmill-request"
DIGEST_HEADER = "lacewingmill-digest"
CALL_TIMEOUT_S = 2.0
LONG_POLL_MARGIN_S = 1.5
STATUS_NOT_OWNER = 421


def digest_of(body: bytes) -> str:
    """Return the hexadecimal SHA-256 digest by which entry VMs detect corrupted messages."""
    return hashlib.sha256(body).hexdigest()


class RemoteCell:
    """Client of the cell's owner on another VM.

    :param peer: control address of that VM.
    """

    def __init__(self, client: HttpClient, peer: str):
        self._client = client
        self._peer = peer

    def submit(self, submission: SubmitJob) -> None:
        """Submit a job; safe to repeat.

        :raises NotOwner: when the VM does not own the cell.
        :raises TransportError: when no usable response arrived; the job may have been accepted.
        """
        self._call("POST", "/cell/jobs", submission.job.job_id, encode(submission), CALL_TIMEOUT_S)

    def report(self, job_id: str, wait_s: float) -> JobReport | None:
        """Return the report of a job, once it has ended or ``wait_s`` has passed.

        :param wait_s: longest time to wait for the end of the job, in seconds.
        :return: the report, or ``None`` when the owner does not know the job.
        :raises NotOwner: when the VM does not own the cell.
        :raises TransportError: when no usable response arrived.
        """
        path = f"/cell/jobs/{quote(job_id)}?wait_s={wait_s:g}"
        reply = self._call("GET", path, job_id, b"", wait_s + LONG_POLL_MARGIN_S)
        if reply.status == 404:
            return None
        report = decode_reply(reply, JobReport, step="report", peer=self._peer)
        if report.job_id != job_id:
            raise AnswerMismatch(
                "response holds the report of another job", step="receive", peer=self._peer
            )
        return report

    def cancel(self, job_id: str) -> None:
        """Cancel a job.

        :raises NotOwner: when the VM does not own the cell.
        :raises TransportError: when no usable response arrived.
        """
        self._call("DELETE", f"/cell/jobs/{quote(job_id)}", job_id, b"", CALL_TIMEOUT_S)

    def _call(
        self, method: str, path: str, request_id: str, body: bytes, timeout_s: float
    ) -> HttpReply:
        """Send a request and check that the response has its request id and a valid digest."""
        headers = {REQUEST_HEADER: request_id, DIGEST_HEADER: digest_of(body)}
        reply = self._client.call(
            self._peer, method, path, body=body, headers=headers, timeout_s=timeout_s
        )
        if reply.headers.get(REQUEST_HEADER) != request_id:
            self._client.forget(self._peer)
            raise AnswerMismatch(
                "response belongs to another request", step="receive", peer=self._peer
            )
        if reply.headers.get(DIGEST_HEADER) != digest_of(reply.body):
            self._client.forget(self._peer)
            raise AnswerMismatch(
                "response does not match its digest", step="receive", peer=self._peer
            )
        if reply.status == STATUS_NOT_OWNER:
            raise NotOwner("the VM does not own the cell", step=path, peer=self._peer)
        return reply


def fetch_bundle(client: HttpClient, peer: str) -> CatalogueBundle:
    """Fetch the complete configuration from another entry VM.

    :raises TransportError: when no response arrived, or it does not contain a configuration.
    """
    reply = client.call(peer, "GET", "/peer/catalogue", timeout_s=CALL_TIMEOUT_S)
    return decode_reply(reply, CatalogueBundle, step="fetch", peer=peer)
