"""Executors, workers and the VM list over HTTP."""

from urllib.parse import urlencode

import attrs
import msgspec

from lacewingmill.adapters.http_client import HttpClient
from lacewingmill.codec import decode, encode
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
    """Order to a worker to stop and free a gang's member."""

    gang: str
    fence: Fence
    checkpoint: bool


@attrs.frozen
class SyncOrder:
    """Order to a worker to renew leases and report its table."""

    fence: Fence
    renew: tuple[str, ...]
    after: int
    wait_s: float


class HttpVmList:
    """Client of the platform's VM list."""

    def __init__(self, address: str, caller: HttpClient):
        self._address = address
        self._caller = caller

    def fetch(self) -> tuple[Vm, ...]:
        """Return all VMs, live and leaving.

        :raises PeerError: when the list does not answer usefully.
        """
        reply = self._caller.call(self._address, "GET", "/vms", timeout_s=LIST_TIMEOUT_S)
        if reply.status != 200:
            raise PeerError(f"VM list answered {reply.status}", step="list", peer=self._address)
        try:
            return msgspec.json.decode(reply.body, type=tuple[Vm, ...])
        except msgspec.MsgspecError as exc:
            raise PeerError(f"VM list is unreadable: {exc}", peer=self._address) from exc


class HttpExecutors:
    """Client of the executors."""

    def __init__(self, caller: HttpClient):
        self._caller = caller

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
        """Send one request and return its whole answer.

        :raises ConnectFailed: nothing was sent.
        :raises TransportError: the request may have been executed.
        :raises AnswerMismatch: the answer names another request.
        """
        headers = {"Content-Type": content_type, "Idempotency-Key": key}
        reply = self._caller.call(
            target.address, method, path, body=body, headers=headers, timeout_s=timeout_s
        )
        answered_key = reply.headers.get("idempotency-key", key)
        if answered_key != key:
            self._caller.forget(target.address)
            raise AnswerMismatch(
                "answer carries another request's idempotency key",
                step="receive",
                peer=target.address,
            )
        content_type = reply.headers.get("content-type", "application/octet-stream")
        return ApplicationResponse(reply.status, content_type, reply.body, target.name)


class HttpWorkers:
    """Client of the workers."""

    def __init__(self, caller: HttpClient):
        self._caller = caller

    def lease(self, worker: Vm, order: LeaseOrder, *, timeout_s: float) -> None:
        """Lease accelerators to a gang.

        :raises FenceRejected: the worker has accepted a higher fence.
        :raises JobRefused: an accelerator is held by another gang.
        :raises TransportError: no answer; the lease may have been granted.
        """
        self._order(worker, "/lease", encode(order), timeout_s)

    def start(self, worker: Vm, order: StartOrder, *, timeout_s: float) -> None:
        """Start a leased gang's member.

        :raises FenceRejected: the worker has accepted a higher fence.
        :raises JobRefused: the worker holds no such lease.
        :raises TransportError: no answer; the member may have been started.
        """
        self._order(worker, "/start", encode(order), timeout_s)

    def release(
        self, worker: Vm, gang: str, fence: Fence, *, checkpoint: bool, timeout_s: float
    ) -> ReleaseResponse:
        """Stop a gang's member and free its accelerators; safe to repeat.

        :raises FenceRejected: the worker has accepted a higher fence.
        :raises TransportError: no answer.
        """
        order = ReleaseOrder(gang, fence, checkpoint)
        return decode(self._order(worker, "/release", encode(order), timeout_s), ReleaseResponse)

    def sync(
        self, worker: Vm, fence: Fence, renew: tuple[str, ...], *, after: int, wait_s: float
    ) -> SyncResponse:
        """Renew leases and report the lease table, waiting for a change.

        :raises FenceRejected: the worker has accepted a higher fence.
        :raises TransportError: no answer.
        """
        order = SyncOrder(fence, renew, after, wait_s)
        return decode(
            self._order(worker, "/sync", encode(order), wait_s + SYNC_MARGIN_S), SyncResponse
        )

    def _order(self, worker: Vm, path: str, body: bytes, timeout_s: float) -> bytes:
        query = urlencode({"worker": worker.name})
        reply = self._caller.call(
            worker.address, "POST", f"{path}?{query}", body=body, timeout_s=timeout_s
        )
        if reply.status == STATUS_FENCED:
            raise FenceRejected("a higher fence is in force", step=path, peer=worker.name)
        if reply.status == STATUS_CONFLICT:
            raise JobRefused(reply.body.decode("utf-8", "replace"), step=path, peer=worker.name)
        if reply.status != 200:
            raise TransportError(f"worker answered {reply.status}", step=path, peer=worker.name)
        return reply.body
