"""Requests between VMs: from any VM to the owner of the jobs, and health checks."""

import attrs

from lacewingmill.adapters.http_client import HttpClient
from lacewingmill.adapters.http_server import HttpRequest, HttpResponse
from lacewingmill.codec import decode, encode
from lacewingmill.exceptions import MessageInvalid, NotOwner, TransportError
from lacewingmill.jobs.model import JobState, Submission
from lacewingmill.load.digest import AdmissionDigest, DigestVersion

__all__ = [
    "AcceptedJob",
    "AliveRequest",
    "PeerRequest",
    "CancelRequest",
    "OwnerRequest",
    "PeerClient",
    "ReachRequest",
    "StateRequest",
    "PeerReply",
    "WaitingRequest",
    "decode_request",
]

# The owner answers from memory; a VM that takes longer is overloaded, partitioned or dead.
DEFAULT_TIMEOUT_S = 0.5
# The owner answers a cancellation once it is stored.
CANCEL_TIMEOUT_S = 1.5
# A VM answers from its event loop, which is blocked for some 10 ms at a time.
ALIVE_TIMEOUT_S = 0.25
NOT_OWNER_STATUS = 409


@attrs.frozen
class StateRequest:
    """A request for the state of a job of a team."""

    job_id: str
    team: str
    known_digest: DigestVersion = DigestVersion()


@attrs.frozen
class CancelRequest:
    """A request to cancel a job of a team."""

    job_id: str
    team: str
    known_digest: DigestVersion = DigestVersion()


@attrs.frozen
class AcceptedJob:
    """A notice of an accepted job.

    :param revision: revision of the store at which the job was written.
    """

    submission: Submission
    revision: int
    known_digest: DigestVersion = DigestVersion()


@attrs.frozen
class WaitingRequest:
    """A request for the number of jobs of a queue of which no task has started."""

    queue: str
    known_digest: DigestVersion = DigestVersion()


@attrs.frozen
class AliveRequest:
    """A health check, which any VM answers."""


@attrs.frozen
class ReachRequest:
    """A request to any VM to check whether another VM answers it.

    :param address: ``host:port`` of the VM to check.
    """

    address: str


@attrs.frozen
class PeerReply:
    """The reply to any request between VMs.

    :param known: whether the owner knows the job and, for a cancellation, has stored it; for a
        :class:`ReachRequest`, whether the other VM answered.
    :param state: state of the job; ``None`` in replies to other requests.
    :param waiting: number of waiting jobs; 0 in replies to other requests.
    :param begun: whether the owner has begun a cancellation that it has not stored yet.
    :param digest: the owner's digest of the load, if it is newer than the ``known_digest`` of the
        request.
    """

    known: bool = True
    state: JobState | None = None
    waiting: int = 0
    begun: bool = False
    digest: AdmissionDigest | None = None


# Requests that only the owner answers; their replies may carry its digest of the load.
OwnerRequest = StateRequest | CancelRequest | AcceptedJob | WaitingRequest
PeerRequest = OwnerRequest | AliveRequest | ReachRequest
REQUEST_TYPES: dict[str, type] = {
    "/jobs/state": StateRequest,
    "/jobs/cancel": CancelRequest,
    "/jobs/accepted": AcceptedJob,
    "/jobs/waiting": WaitingRequest,
    "/vm/alive": AliveRequest,
    "/vm/reaches": ReachRequest,
}
TIMEOUTS: dict[type, float] = {CancelRequest: CANCEL_TIMEOUT_S, AliveRequest: ALIVE_TIMEOUT_S}
PATHS = {request_type: path for path, request_type in REQUEST_TYPES.items()}


class PeerClient:
    """Client for requests to other VMs."""

    def __init__(self, http_client: HttpClient):
        self._http_client = http_client

    def forget(self, address: str) -> None:
        """Close the idle connections to a VM, so that the next request opens a new one."""
        self._http_client.forget(address)

    def send(self, address: str, request: PeerRequest) -> PeerReply:
        """Send a request and return the reply.

        :param address: ``host:port`` at which the VM answers other VMs.
        :raises NotOwner: when the VM does not own the jobs.
        :raises TransportError: when no usable answer came.
        """
        reply = self._http_client.call(
            address,
            "POST",
            PATHS[type(request)],
            body=encode(request),
            timeout_s=TIMEOUTS.get(type(request), DEFAULT_TIMEOUT_S),
        )
        if reply.status == NOT_OWNER_STATUS:
            raise NotOwner("the VM does not own the jobs", step="ask", peer=address)
        if reply.status != 200:
            raise TransportError(f"answered {reply.status}", step="ask", peer=address)
        try:
            return decode(reply.body, PeerReply)
        except MessageInvalid as exc:
            raise TransportError(f"answer: {exc}", step="ask", peer=address) from exc


def decode_request(req: HttpRequest) -> PeerRequest | HttpResponse:
    """Decode a request of another VM; return the error response when it is invalid."""
    request_type = REQUEST_TYPES.get(req.path)
    if request_type is None:
        return HttpResponse(404, b"unknown call", "text/plain")
    try:
        return decode(req.body, request_type)
    except MessageInvalid as exc:
        return HttpResponse(400, str(exc).encode(), "text/plain")
