"""The owner's answers to other VMs and to its own clients, from memory."""

from functools import singledispatch

from lacewingmill.jobs.director import Director
from lacewingmill.jobs.peers import (
    AcceptedJob,
    CancelRequest,
    OwnerRequest,
    PeerReply,
    StateRequest,
    WaitingRequest,
)
from lacewingmill.ports import Clock

__all__ = ["answer_as_owner"]

CANCEL_TIMEOUT_S = 1.2


@singledispatch
def answer_as_owner(request: OwnerRequest, director: Director, clock: Clock) -> PeerReply:
    """Return the owner's answer to a request."""
    raise TypeError(f"unknown request {type(request).__name__}")


@answer_as_owner.register
def _(request: StateRequest, director: Director, clock: Clock) -> PeerReply:
    if not _has_job(request.job_id, request.team, director):
        return PeerReply(known=False)
    return PeerReply(state=director.registry.state(request.job_id))


@answer_as_owner.register
def _(request: CancelRequest, director: Director, clock: Clock) -> PeerReply:
    if not _has_job(request.job_id, request.team, director):
        return PeerReply(known=False)
    signal = director.cancel(request.job_id)
    if signal is None:
        return PeerReply(known=False)
    stored = clock.wait(signal, CANCEL_TIMEOUT_S)
    return PeerReply(known=stored, begun=not stored)


@answer_as_owner.register
def _(request: AcceptedJob, director: Director, clock: Clock) -> PeerReply:
    director.submit(request.submission, request.revision, announced=True)
    return PeerReply()


@answer_as_owner.register
def _(request: WaitingRequest, director: Director, clock: Clock) -> PeerReply:
    return PeerReply(waiting=director.registry.waiting(request.queue))


def _has_job(job_id: str, team: str, director: Director) -> bool:
    graph = director.registry.graphs.get(job_id)
    return graph is not None and graph.submission.visible_to(team)
