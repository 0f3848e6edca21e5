"""Serves callers on any VM: stores jobs, and asks the owner or the store about them."""

from collections.abc import Callable
from functools import singledispatchmethod

import attrs
import gevent
import msgspec

from lacewingmill.adapters.http_server import HttpRequest, HttpResponse
from lacewingmill.codec import decode, encode
from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import (
    JobRefused,
    NotOwner,
    OutcomeUnknown,
    RequestInvalid,
    StoreRefused,
    StoreUnavailable,
    TransactionConflict,
    TransportError,
)
from lacewingmill.jobs.director import Director
from lacewingmill.jobs.election import JobOwner
from lacewingmill.jobs.graph import Progress
from lacewingmill.jobs.keys import cancel_key, job_key, progress_key
from lacewingmill.jobs.model import JobState, Queue, QueueTable, Submission
from lacewingmill.jobs.peers import (
    AcceptedJob,
    AliveRequest,
    CancelRequest,
    PeerClient,
    PeerReply,
    PeerRequest,
    ReachRequest,
    StateRequest,
    WaitingRequest,
    decode_request,
)
from lacewingmill.jobs.ports import ItemRevision, Put, Transaction
from lacewingmill.jobs.relay import RelayedStore
from lacewingmill.ports import Clock, Meter, Meters

__all__ = ["DeskParts", "JobDesk", "Located"]

RETRY_S = 0.1
# A store that refuses is asked once more, for a lost packet or a full second.
REFUSALS_BEFORE_ANSWER = 2
# A store that has been away for so long is not asked again for each caller.
KNOWN_AWAY_S = 0.3
# Part of a caller's time after which it is told that the outcome is not known.
DEADLINE_SHARE = 0.8
# When a caller may come back while the store is away: after as long again as it has been away, so
# long as that is not more than a third of the caller's own deadline.
SHORTEST_RETRY_S = 1.0
LONGEST_RETRY_S = 4.0
RETRY_DEADLINE_SHARE = 1 / 3
OWNER_AWAY_RETRY_S = 1.0
WAITING_FRESH_S = 0.7
CANCEL_WAIT_S = 1.2


@attrs.frozen
class JobApiDependencies:
    """What a desk is built from.

    :param director: returns the director while this VM directs the jobs.
    :param owner: returns the VM that directs the jobs, as far as it is known.
    :param reaches: returns whether the VM at an address answers.
    """

    store: RelayedStore
    calls: PeerClient
    clock: Clock
    log: EventLog
    meters: Meters
    table: Callable[[], QueueTable | None]
    director: Callable[[], Director | None]
    owner: Callable[[], JobOwner | None]
    reaches: Callable[[str], bool]
    vm: str


@attrs.frozen
class QueueRoute:
    """Where a call goes.

    :param team: name of the caller's team; empty on a public queue.
    :param rest: the path beyond the queue's prefix.
    """

    queue: Queue
    team: str
    subpath: str


@attrs.frozen
class _Count:
    waiting: int
    at: float


class JobApi:
    """What callers of any VM may ask."""

    def __init__(self, parts: JobApiDependencies):
        self._parts = parts
        self._clock = parts.clock
        self._log = parts.log
        self._store = parts.store
        self._meters = parts.meters
        self._counts: dict[str, _Count] = {}

    def resolve(self, host: str, path: str, key: str) -> QueueRoute:
        """Find the queue of a call and the team of its caller.

        :raises RequestInvalid: 404 when there is no such queue, 401 when the key is unknown.
        :raises JobRefused: when this VM has no configuration yet.
        """
        table = self._parts.table()
        if table is None:
            raise JobRefused("no configuration yet")
        queue = table.find(host, path)
        if queue is None:
            raise RequestInvalid(f"no queue at {host}{path}", status=404)
        team = table.team_of(key)
        if team is None and not queue.public:
            raise RequestInvalid("the key is unknown", status=401)
        return QueueRoute(queue, team.name if team is not None else "", path[len(queue.prefix) :])

    def submit(self, submission: Submission, deadline_s: float) -> None:
        """Store a job.

        :param deadline_s: how long the caller waits, in seconds.
        :raises JobRefused: when the job was certainly not stored.
        :raises OutcomeUnknown: when it may have been stored, or may yet be.
        """
        submission = attrs.evolve(submission, accepted_at=self._clock.wall())
        began_at = self._clock.now()
        end = began_at + deadline_s * DEADLINE_SHARE
        doubt = ""
        refusals = 0
        while True:
            try:
                self._accepted(submission, self._create(submission))
                self._meters.observe(Meter.STORED, self._clock.now() - began_at)
                return
            except TransactionConflict:
                self._log.emit(LogEvent.JOB_ACCEPTED, job=submission.job_id, repeated=True)
                return
            except StoreRefused as exc:
                refusals += 1
                if not doubt and self._is_final(refusals, end):
                    self._refuse(submission, exc.message, began_at, deadline_s)
            except StoreUnavailable as exc:
                doubt = exc.message
            if self._clock.now() > end:
                self._meters.count(Meter.JOBS, outcome="doubtful", cause="store")
                self._log.emit(
                    LogEvent.JOB_DOUBTFUL,
                    job=submission.job_id,
                    reason=doubt,
                    took_s=self._took_s(began_at),
                )
                raise OutcomeUnknown("whether the job was stored is not known", step="submit")
            self._clock.sleep(RETRY_S)

    def state(self, job_id: str, team: str) -> JobState | None:
        """Return the state of a job, or ``None`` when there is no such job of the team.

        :raises JobRefused: when it cannot be read now.
        """
        try:
            told = self._ask(StateRequest(job_id, team))
            if told.known:
                return told.state
        except (TransportError, NotOwner):
            pass  # the store knows all that is certain
        try:
            return self._read_state(job_id, team)
        except StoreUnavailable as exc:
            self._log.emit(LogEvent.JOB_STATE_UNREAD, job=job_id, reason=exc.message)
            raise JobRefused(
                "the job's state cannot be read", retry_after_s=self._retry_s()
            ) from exc

    def cancel(self, job_id: str, team: str) -> bool:
        """Give a job up; return whether there is such a job of the team.

        :raises JobRefused: when certainly nothing was done.
        :raises OutcomeUnknown: when it is not known.
        """
        try:
            if self._ask(CancelRequest(job_id, team)).known:
                return True
        except (TransportError, NotOwner):
            pass  # a mark in the store reaches the next owner
        try:
            if self._read_state(job_id, team) is None:
                return False
            key = cancel_key(job_id)
            self._store.commit(Transaction((ItemRevision(key, 0),), (Put(key, b"1"),)))
        except TransactionConflict:
            return True
        except StoreRefused as exc:
            self._log.emit(LogEvent.CANCEL_NOT_STORED, job=job_id, reason=exc.message)
            raise JobRefused("the job was not given up", retry_after_s=self._retry_s()) from exc
        except StoreUnavailable as exc:
            self._log.emit(LogEvent.CANCEL_NOT_STORED, job=job_id, reason=exc.message)
            raise OutcomeUnknown(
                "whether the job was given up is not known", step="cancel"
            ) from exc
        return True

    def waiting(self, queue: str) -> int:
        """Return how many accepted jobs of a queue no task of which has started.

        :raises JobRefused: when it is not known now.
        """
        count = self._counts.get(queue)
        if count is not None and self._clock.now() - count.at < WAITING_FRESH_S:
            return count.waiting
        try:
            told = self._ask(WaitingRequest(queue))
        except (TransportError, NotOwner) as exc:
            raise JobRefused(
                "the VM that counts jobs does not answer", retry_after_s=OWNER_AWAY_RETRY_S
            ) from exc
        self._counts[queue] = _Count(told.waiting, self._clock.now())
        return told.waiting

    def handle_peer_request(self, req: HttpRequest) -> HttpResponse:
        """Answer a call of another VM."""
        send = decode_request(req)
        if isinstance(send, HttpResponse):
            return send
        if isinstance(send, AliveRequest):
            return HttpResponse(200, encode(PeerReply()))
        if isinstance(send, ReachRequest):
            return HttpResponse(200, encode(PeerReply(known=self._parts.reaches(send.address))))
        director = self._director()
        if director is None:
            return HttpResponse(409, b"not the owner", "text/plain")
        return HttpResponse(200, encode(self._tell(send, director)))

    def _director(self) -> Director | None:
        director = self._parts.director()
        return director if director is not None and director.recovered else None

    def _ask(self, send: PeerRequest) -> PeerReply:
        director = self._director()
        if director is not None:
            return self._tell(send, director)
        owner = self._parts.owner()
        if owner is None or owner.vm == self._parts.vm:
            raise NotOwner("no VM directs the jobs now", step="ask")
        return self._parts.calls.send(owner.address, send)

    @singledispatchmethod
    def _tell(self, send: PeerRequest, director: Director) -> PeerReply:
        raise TypeError(f"unknown call {type(send).__name__}")

    @_tell.register
    def _(self, send: StateRequest, director: Director) -> PeerReply:
        if not self._owned(send.job_id, send.team, director):
            return PeerReply(known=False)
        return PeerReply(state=director.registry.state(send.job_id))

    @_tell.register
    def _(self, send: CancelRequest, director: Director) -> PeerReply:
        if not self._owned(send.job_id, send.team, director):
            return PeerReply(known=False)
        signal = director.cancel(send.job_id)
        if signal is None or not self._clock.wait(signal, CANCEL_WAIT_S):
            return PeerReply(known=False)
        return PeerReply()

    @_tell.register
    def _(self, send: AcceptedJob, director: Director) -> PeerReply:
        director.submit(send.submission, send.revision)
        return PeerReply()

    @_tell.register
    def _(self, send: WaitingRequest, director: Director) -> PeerReply:
        return PeerReply(waiting=director.registry.waiting(send.queue))

    def _owned(self, job_id: str, team: str, director: Director) -> bool:
        graph = director.registry.graphs.get(job_id)
        return graph is not None and _same_team(graph.submission, team)

    def _create(self, submission: Submission) -> int:
        key = job_key(submission.job_id)
        return self._store.commit(
            Transaction((ItemRevision(key, 0),), (Put(key, encode(submission)),))
        )

    def _accepted(self, submission: Submission, revision: int) -> None:
        self._meters.count(Meter.JOBS, outcome="accepted", cause="")
        self._log.emit(
            LogEvent.JOB_ACCEPTED,
            job=submission.job_id,
            queue=submission.queue,
            team=submission.team,
            revision=revision,
        )
        gevent.spawn(self._tell_owner, AcceptedJob(submission, revision))

    def _tell_owner(self, accepted: AcceptedJob) -> None:
        try:
            self._ask(accepted)
        except (TransportError, NotOwner):
            return  # the owner finds the job in the store within a second

    def _is_final(self, refusals: int, end: float) -> bool:
        """Whether a caller is refused rather than let wait for the store once more."""
        if refusals >= REFUSALS_BEFORE_ANSWER or self._clock.now() > end:
            return True
        return self._store.away_s > KNOWN_AWAY_S

    def _took_s(self, began_at: float) -> float:
        return round(self._clock.now() - began_at, 3)

    def _refuse(
        self, submission: Submission, reason: str, began_at: float, deadline_s: float
    ) -> None:
        self._meters.count(Meter.JOBS, outcome="refused", cause="store")
        self._log.emit(
            LogEvent.JOB_NOT_ACCEPTED,
            job=submission.job_id,
            reason=reason,
            took_s=self._took_s(began_at),
        )
        raise JobRefused(
            "the job was not stored",
            retry_after_s=max(
                SHORTEST_RETRY_S, min(self._retry_s(), deadline_s * RETRY_DEADLINE_SHARE)
            ),
        )

    def _retry_s(self) -> float:
        return min(LONGEST_RETRY_S, max(SHORTEST_RETRY_S, self._store.away_s))

    def _read_state(self, job_id: str, team: str) -> JobState | None:
        record = self._store.get(job_key(job_id))
        if record is None:
            return None
        try:
            if not _same_team(decode(record.value, Submission), team):
                return None
            stored = self._store.get(progress_key(job_id))
            if stored is not None:
                return decode(stored.value, Progress).state
        except msgspec.DecodeError as exc:
            raise StoreUnavailable(f"stored job {job_id} cannot be read: {exc}") from exc
        cancelled = self._store.get(cancel_key(job_id))
        return JobState.CANCELLED if cancelled is not None else JobState.QUEUED


def _same_team(submission: Submission, team: str) -> bool:
    """Whether a caller may see a job; public queues know no teams."""
    return not team or not submission.team or submission.team == team
