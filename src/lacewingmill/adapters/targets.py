"""HTTP clients of executors, workers and the VM list."""

from urllib.parse import urlencode

import attrs

from lacewingmill.adapters.http_client import HttpClient, HttpReply
from lacewingmill.adapters.replies import decode_reply
from lacewingmill.codec import decode_json, encode
from lacewingmill.exceptions import (
    AnswerMismatch,
    FenceRejected,
    JobRefused,
    PeerError,
    TransportError,
)
from lacewingmill.models import Fence, Vm
from lacewingmill.ports import (
    ApplicationResponse,
    LeaseOrder,
    ReleaseResponse,
    StartOrder,
    SyncResponse,
)

__all__ = ["HttpExecutors", "HttpVmList", "HttpWorkers", "ReleaseOrder", "SyncOrder"]

LIST_TIMEOUT_S = 2.0
SYNC_MARGIN_S = 0.7
STATUS_CONFLICT = 409
STATUS_FENCED = 410


@attrs.frozen
class ReleaseOrder:
    """Order to a worker to stop its member of a gang and free the accelerators.

    :param checkpoint: whether the member saves a checkpoint first.
    """

    gang: str
    fence: Fence
    checkpoint: bool


@attrs.frozen
class SyncOrder:
    """Order to a worker to renew leases and report its lease table.

    :param renew: ids of the gangs whose leases are renewed.
    :param after: version of the lease table received last.
    :param wait_s: how long the worker may wait for a change before it responds, in seconds.
    """

    fence: Fence
    renew: tuple[str, ...]
    after: int
    wait_s: float


class HttpVmList:
    """Client of the platform's VM list."""

    def __init__(self, address: str, client: HttpClient):
        self._address = address
        self._client = client

    def fetch(self) -> tuple[Vm, ...]:
        """Return all VMs, live and leaving.

        :raises PeerError: when no usable response arrived.
        """
        reply = self._client.call(self._address, "GET", "/vms", timeout_s=LIST_TIMEOUT_S)
        if reply.status != 200:
            raise PeerError(
                f"VM list responded with {reply.status}", step="list", peer=self._address
            )
        return decode_reply(
            reply, tuple[Vm, ...], step="list", peer=self._address, decoder=decode_json
        )


class HttpExecutors:
    """Client of the executors."""

    def __init__(self, client: HttpClient):
        self._client = client

    def send(
        self,
        target: Vm,
        method: str,
        path: str,
        body: bytes,
        content_type: str,
        key: str,
        *,
        timeout_s: float,
    ) -> ApplicationResponse:
        """Send a request and return the complete response.

        :param key: idempotency key of the request.
        :raises ConnectFailed: when nothing was sent.
        :raises TransportError: when the request may have been executed.
        :raises AnswerMismatch: when the response has another idempotency key.
        """
        headers = {"Content-Type": content_type, "Idempotency-Key": key}
        reply = self._client.call(
            target.address, method, path, body=body, headers=headers, timeout_s=timeout_s
        )
        response_key = reply.headers.get("idempotency-key", key)
        if response_key != key:
            self._client.forget(target.address)
            raise AnswerMismatch(
                "response has the idempotency key of another request",
                step="receive",
                peer=target.address,
            )
        content_type = reply.headers.get("content-type", "application/octet-stream")
        return ApplicationResponse(reply.status, content_type, reply.body, target.name)


class HttpWorkers:
    """Client of the workers."""

    def __init__(self, client: HttpClient):
        self._client = client

    def lease(self, worker: Vm, order: LeaseOrder, *, timeout_s: float) -> None:
        """Lease accelerators on a worker to a gang.

        :raises FenceRejected: when the worker has accepted a higher fencing token.
        :raises JobRefused: when an accelerator is leased to another gang.
        :raises TransportError: when no usable response arrived; the lease may have been granted.
        """
        self._send_order(worker, "/lease", encode(order), timeout_s)

    def start(self, worker: Vm, order: StartOrder, *, timeout_s: float) -> None:
        """Start a member of a gang on a worker that has leased accelerators to it.

        :raises FenceRejected: when the worker has accepted a higher fencing token.
        :raises JobRefused: when the worker has no such lease.
        :raises TransportError: when no usable response arrived; the member may have been started.
        """
        self._send_order(worker, "/start", encode(order), timeout_s)

    def release(
        self, worker: Vm, gang: str, fence: Fence, *, checkpoint: bool, timeout_s: float
    ) -> ReleaseResponse:
        """Stop a member of a gang and free its accelerators; safe to repeat.

        :param checkpoint: whether the member saves a checkpoint first.
        :raises FenceRejected: when the worker has accepted a higher fencing token.
        :raises TransportError: when no usable response arrived.
        """
        order = ReleaseOrder(gang, fence, checkpoint)
        reply = self._send_order(worker, "/release", encode(order), timeout_s)
        return decode_reply(reply, ReleaseResponse, step="release", peer=worker.name)

    def sync(
        self, worker: Vm, fence: Fence, renew: tuple[str, ...], *, after: int, wait_s: float
    ) -> SyncResponse:
        """Renew leases and return the lease table, once it changes or ``wait_s`` has passed.

        :param renew: ids of the gangs whose leases are renewed.
        :param after: version of the lease table received last.
        :param wait_s: longest time to wait for a change, in seconds.
        :raises FenceRejected: when the worker has accepted a higher fencing token.
        :raises TransportError: when no usable response arrived.
        """
        order = SyncOrder(fence, renew, after, wait_s)
        reply = self._send_order(worker, "/sync", encode(order), wait_s + SYNC_MARGIN_S)
        return decode_reply(reply, SyncResponse, step="sync", peer=worker.name)

    def _send_order(self, worker: Vm, path: str, body: bytes, timeout_s: float) -> HttpReply:
        query = urlencode({"worker": worker.name})
        reply = self._client.call(
            worker.address, "POST", f"{path}?{query}", body=body, timeout_s=timeout_s
        )
        if reply.status == STATUS_FENCED:
            raise FenceRejected(
                "the worker has accepted a higher fencing token", step=path, peer=worker.name
            )
        if reply.status == STATUS_CONFLICT:
            raise JobRefused(reply.body.decode("utf-8", "replace"), step=path, peer=worker.name)
        if reply.status != 200:
            raise TransportError(
                f"worker responded with {reply.status}", step=path, peer=worker.name
            )
        return reply
