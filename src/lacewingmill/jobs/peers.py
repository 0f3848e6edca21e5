"""Calls of VMs to the one that directs the jobs."""

import attrs
import msgspec

from lacewingmill.adapters.http_client import HttpClient
from lacewingmill.adapters.http_server import HttpRequest, HttpResponse
from lacewingmill.codec import decode, encode
from lacewingmill.exceptions import NotOwner, TransportError
from lacewingmill.jobs.model import JobState, Submission

__all__ = [
    "Accepted",
    "AliveAsk",
    "Ask",
    "CancelAsk",
    "OwnerCalls",
    "ReachAsk",
    "StateAsk",
    "Told",
    "WaitingAsk",
    "decode_ask",
]

# The owner answers from memory; a peer that takes longer is slow, cut off or gone.
CALL_TIMEOUT_S = 0.5
# The owner waits for the store before it answers.
STORED_TIMEOUT_S = 1.5
# Any VM answers from its event loop, which is busy for some 10 ms at a time.
ALIVE_TIMEOUT_S = 0.25
NOT_OWNER = 409


@attrs.frozen
class StateRequest:
    """Asks for the state of a job of a team."""

    job_id: str
    team: str


@attrs.frozen
class CancelRequest:
    """Gives a job of a team up."""

    job_id: str
    team: str


@attrs.frozen
class AcceptedJob:
    """Tells of a job that was stored."""

    submission: Submission
    revision: int


@attrs.frozen
class WaitingRequest:
    """Asks how many jobs of a queue wait."""

    queue: str


@attrs.frozen
class AliveRequest:
    """Asks whether a VM lives; any VM answers."""


@attrs.frozen
class ReachRequest:
    """Asks any VM whether it reaches another one.

    :param address: ``host:port`` of the other one.
    """

    address: str


@attrs.frozen
class PeerReply:
    """The owner's answer.

    :param known: whether the owner knows the job, or whether the other VM is reached.
    """

    known: bool = True
    state: JobState | None = None
    waiting: int = 0


PeerRequest = (
    StateRequest | CancelRequest | AcceptedJob | WaitingRequest | AliveRequest | ReachRequest
)
KINDS: dict[str, type] = {
    "/jobs/state": StateRequest,
    "/jobs/cancel": CancelRequest,
    "/jobs/accepted": AcceptedJob,
    "/jobs/waiting": WaitingRequest,
    "/vm/alive": AliveRequest,
    "/vm/reaches": ReachRequest,
}
TIMEOUTS: dict[type, float] = {CancelRequest: STORED_TIMEOUT_S, AliveRequest: ALIVE_TIMEOUT_S}
PATHS = {kind: path for path, kind in KINDS.items()}


class PeerClient:
    """Client of the owner."""

    def __init__(self, caller: HttpClient):
        self._caller = caller

    def send(self, address: str, send: PeerRequest) -> PeerReply:
        """Send one call and return the answer.

        :raises NotOwner: when the VM at the address does not direct the jobs.
        :raises TransportError: when no answer came.
        """
        reply = self._caller.call(
            address,
            "POST",
            PATHS[type(send)],
            body=encode(send),
            timeout_s=TIMEOUTS.get(type(send), CALL_TIMEOUT_S),
        )
        if reply.status == NOT_OWNER:
            raise NotOwner("the VM does not direct the jobs", step="ask", peer=address)
        if reply.status != 200:
            raise TransportError(f"answered {reply.status}", step="ask", peer=address)
        try:
            return decode(reply.body, PeerReply)
        except msgspec.DecodeError as exc:
            raise TransportError(f"answer: {exc}", step="ask", peer=address) from exc


def decode_request(req: HttpRequest) -> PeerRequest | HttpResponse:
    """Decode a call of another VM, or return the error to answer with."""
    kind = KINDS.get(req.path)
    if kind is None:
        return HttpResponse(404, b"unknown call", "text/plain")
    try:
        return decode(req.body, kind)
    except msgspec.DecodeError as exc:
        return HttpResponse(400, str(exc).encode(), "text/plain")
