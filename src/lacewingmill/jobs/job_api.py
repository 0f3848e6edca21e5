"""The API for clients on each VM: stores jobs, reads their state from the owner or the store."""

import random
from collections.abc import Callable

import attrs
import gevent

from lacewingmill.adapters.http_server import HttpRequest, HttpResponse
from lacewingmill.codec import decode, encode
from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import (
    ConnectFailed,
    JobRefused,
    MessageInvalid,
    NotOwner,
    OutcomeUnknown,
    RequestInvalid,
    StoreRefused,
    StoreUnavailable,
    TransactionConflict,
    TransportError,
)
from lacewingmill.jobs.admission_gate import AdmissionGate
from lacewingmill.jobs.director import Director
from lacewingmill.jobs.election import JobOwner
from lacewingmill.jobs.graph import Progress
from lacewingmill.jobs.keys import cancel_key, job_key, progress_key
from lacewingmill.jobs.model import JobState, Queue, QueueTable, Submission
from lacewingmill.jobs.owner_answers import answer_as_owner
from lacewingmill.jobs.peers import (
    AcceptedJob,
    AliveRequest,
    CancelRequest,
    OwnerRequest,
    PeerClient,
    PeerReply,
    ReachRequest,
    StateRequest,
    WaitingRequest,
    decode_request,
)
from lacewingmill.jobs.ports import ItemRevision, Put, Transaction
from lacewingmill.jobs.relay import RelayedStore
from lacewingmill.ports import Clock, Meter, Meters

__all__ = ["JobApiDependencies", "JobApi", "QueueRoute"]

RETRY_S = 0.1
# One retry after a refusal covers a lost packet, or a store that accepts no more calls for the rest
# of the current second.
MAX_REFUSALS = 2
# Once the store has been unavailable for this time, a refusal is passed on without a retry, so that
# the store is not called again for each client.
FAIL_FAST_AFTER_S = 0.3
# Share of a client's deadline after which the outcome is reported as unknown.
DEADLINE_SHARE = 0.8
# Bounds of Retry-After while the store is unavailable. It is the length of the outage so far, but
# for a refused submission at most a third of the client's deadline.
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 4.0
RETRY_AFTER_DEADLINE_SHARE = 1 / 3
NO_OWNER_RETRY_AFTER_S = 1.0
WAITING_CACHE_S = 0.7


@attrs.frozen
class JobApiDependencies:
    """What a :class:`JobApi` is built from.

    :param peer_client: client for requests to other VMs.
    :param table: returns the queues and teams in force; ``None`` before the first read.
    :param director: returns the director of this VM; ``None`` while another VM is the owner.
    :param owner: returns the owner that this VM knows; ``None`` when there is none.
    :param reaches: returns whether the VM at an address answers.
    :param vm: name of this VM.
    :param rng: source of the random part of delays.
    """

    store: RelayedStore
    peer_client: PeerClient
    clock: Clock
    log: EventLog
    meters: Meters
    table: Callable[[], QueueTable | None]
    director: Callable[[], Director | None]
    owner: Callable[[], JobOwner | None]
    reaches: Callable[[str], bool]
    vm: str
    rng: random.Random


@attrs.frozen
class QueueRoute:
    """The queue and client of a request.

    :param team: name of the client's team; empty without a key, as public queues need none.
    :param subpath: the path after the queue's prefix; the id of a job, or empty.
    """

    queue: Queue
    team: str
    subpath: str


@attrs.frozen
class _CachedCount:
    waiting: int
    read_at: float


class JobApi:
    """Handles the requests of clients and of other VMs."""

    def __init__(self, deps: JobApiDependencies):
        self._deps = deps
        self._clock = deps.clock
        self._log = deps.log
        self._store = deps.store
        self._meters = deps.meters
        self._counts: dict[str, _CachedCount] = {}
        self._gate = AdmissionGate(
            deps.store, deps.clock, deps.log, deps.meters, self._director, deps.owner, deps.rng
        )

    def resolve(self, host: str, path: str, key: str) -> QueueRoute:
        """Find the queue of a request and the team of its client.

        :param key: API key of the client; empty for none.
        :raises RequestInvalid: with status 404 when there is no such queue, 401 when the key is
            unknown and the queue is not public.
        :raises JobRefused: when this VM has not read a configuration yet.
        """
        table = self._deps.table()
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
        """Store a job; a job that is stored already counts as accepted.

        :param deadline_s: how long the client waits, in seconds.
        :raises RequestInvalid: with status 409 when somebody else uses the id.
        :raises JobRefused: when the job was certainly not stored.
        :raises OutcomeUnknown: when the job may have been stored or may still be stored.
        """
        submission = attrs.evolve(submission, accepted_at=self._clock.wall())
        started_at = self._clock.now()
        self._gate.check(submission)
        retry_until = started_at + deadline_s * DEADLINE_SHARE
        unknown_reason = ""
        refusals = 0
        stored = False  # by this or an earlier request with the id
        while True:
            try:
                if stored or not self._store_job(submission, started_at, retry_until):
                    stored = True
                    self._check_repeated(submission)
                return
            except StoreRefused as exc:
                refusals += 1
                unknown_reason = unknown_reason or (exc.message if stored else "")
                if not unknown_reason and self._is_refusal_final(refusals, retry_until):
                    self._refuse(submission, exc.message, started_at, deadline_s)
            except StoreUnavailable as exc:
                unknown_reason = exc.message
            if self._clock.now() > retry_until:
                self._meters.count(Meter.JOBS, outcome="doubtful", cause="store")
                self._log.emit(
                    LogEvent.JOB_DOUBTFUL,
                    job=submission.job_id,
                    reason=unknown_reason,
                    took_s=self._elapsed_s(started_at),
                )
                raise OutcomeUnknown("it is not known whether the job was stored", step="submit")
            self._clock.sleep(RETRY_S)

    def state(self, job_id: str, team: str) -> JobState | None:
        """Return the state of a job; ``None`` when the team has no such job.

        :raises JobRefused: when the state cannot be read now.
        """
        try:
            reply = self._ask_owner(StateRequest(job_id, team))
            if reply.known:
                return reply.state
        except (TransportError, NotOwner):
            pass  # the store holds every final state
        try:
            return self._read_state(job_id, team)
        except StoreUnavailable as exc:
            self._log.emit(LogEvent.JOB_STATE_UNREAD, job=job_id, reason=exc.message)
            raise JobRefused(
                "the state of the job cannot be read", retry_after_s=self._retry_after_s()
            ) from exc

    def cancel(self, job_id: str, team: str) -> bool:
        """Cancel a job; return whether the team has such a job.

        :raises JobRefused: when the job was certainly not cancelled.
        :raises OutcomeUnknown: when the cancellation may have begun or have been stored.
        """
        maybe_begun = False
        try:
            reply = self._ask_owner(CancelRequest(job_id, team))
            if reply.known:
                return True
            maybe_begun = reply.begun
        except (ConnectFailed, NotOwner):
            pass  # the owner, or the next one, reads the cancellation from the store
        except TransportError:
            maybe_begun = True
        try:
            if self._read_state(job_id, team) is None:
                return False
            key = cancel_key(job_id)
            self._store.commit(Transaction((ItemRevision(key, 0),), (Put(key, b"1"),)))
        except TransactionConflict:
            return True
        except StoreUnavailable as exc:
            self._log.emit(LogEvent.CANCEL_NOT_STORED, job=job_id, reason=exc.message)
            if isinstance(exc, StoreRefused) and not maybe_begun:
                raise JobRefused(
                    "the job was not cancelled", retry_after_s=self._retry_after_s()
                ) from exc
            raise OutcomeUnknown(
                "it is not known whether the job was cancelled", step="cancel"
            ) from exc
        return True

    def waiting(self, queue: str) -> int:
        """Return the number of accepted jobs of a queue of which no task has started.

        The count may be up to ``WAITING_CACHE_S`` old.

        :raises JobRefused: when the owner does not answer.
        """
        count = self._counts.get(queue)
        if count is not None and self._clock.now() - count.read_at < WAITING_CACHE_S:
            return count.waiting
        try:
            reply = self._ask_owner(WaitingRequest(queue))
        except (TransportError, NotOwner) as exc:
            raise JobRefused(
                "the owner of the jobs does not answer", retry_after_s=NO_OWNER_RETRY_AFTER_S
            ) from exc
        self._counts[queue] = _CachedCount(reply.waiting, self._clock.now())
        return reply.waiting

    def handle_peer_request(self, req: HttpRequest) -> HttpResponse:
        """Answer a request of another VM."""
        request = decode_request(req)
        if isinstance(request, HttpResponse):
            return request
        if isinstance(request, AliveRequest):
            return HttpResponse(200, encode(PeerReply()))
        if isinstance(request, ReachRequest):
            return HttpResponse(200, encode(PeerReply(known=self._deps.reaches(request.address))))
        director = self._director()
        if director is None:
            return HttpResponse(409, b"not the owner", "text/plain")
        reply = self._gate.attach(
            answer_as_owner(request, director, self._clock), request.known_digest
        )
        return HttpResponse(200, encode(reply))

    def _director(self) -> Director | None:
        director = self._deps.director()
        return director if director is not None and director.recovered else None

    def _ask_owner(self, request: OwnerRequest) -> PeerReply:
        director = self._director()
        if director is not None:
            return answer_as_owner(request, director, self._clock)
        owner = self._deps.owner()
        if owner is None or owner.vm == self._deps.vm:
            raise NotOwner("the jobs have no owner now", step="ask")
        request = attrs.evolve(request, known_digest=self._gate.version)
        reply = self._deps.peer_client.send(owner.address, request)
        self._gate.learn(reply)
        return reply

    def _store_job(self, submission: Submission, started_at: float, answer_by: float) -> bool:
        """Store a job; return whether it was stored now, and no other under its id before.

        :param answer_by: time by which a refusal must be known, in seconds.
        """
        key = job_key(submission.job_id)
        try:
            revision = self._store.commit(
                Transaction((ItemRevision(key, 0),), (Put(key, encode(submission)),)), answer_by
            )
        except TransactionConflict:
            return False
        self._report_accepted(submission, revision)
        self._meters.observe(Meter.STORED, self._clock.now() - started_at)
        return True

    def _check_repeated(self, submission: Submission) -> None:
        """Check that the job that is stored under an id was submitted by the same client.

        :raises RequestInvalid: when somebody else uses the id.
        """
        record = self._store.get(job_key(submission.job_id))
        try:
            if record is not None and not submission.repeats(decode(record.value, Submission)):
                raise RequestInvalid("the id of the job is in use", status=409)
        except MessageInvalid as exc:
            self._log.emit(LogEvent.JOB_UNREADABLE, key=job_key(submission.job_id), reason=str(exc))
        self._log.emit(LogEvent.JOB_ACCEPTED, job=submission.job_id, repeated=True)

    def _report_accepted(self, submission: Submission, revision: int) -> None:
        self._gate.add_accepted(submission)
        self._meters.count(Meter.JOBS, outcome="accepted", cause="")
        self._log.emit(
            LogEvent.JOB_ACCEPTED,
            job=submission.job_id,
            queue=submission.queue,
            team=submission.team,
            revision=revision,
        )
        gevent.spawn(self._notify_owner, AcceptedJob(submission, revision))

    def _notify_owner(self, accepted: AcceptedJob) -> None:
        try:
            self._ask_owner(accepted)
        except (TransportError, NotOwner):
            return  # the owner reads the job from the store within a second

    def _is_refusal_final(self, refusals: int, retry_until: float) -> bool:
        """Whether a refusal of the store is passed on to the client without a retry."""
        if refusals >= MAX_REFUSALS or self._clock.now() + RETRY_S > retry_until:
            return True
        return self._store.unavailable_s > FAIL_FAST_AFTER_S

    def _elapsed_s(self, started_at: float) -> float:
        return round(self._clock.now() - started_at, 3)

    def _refuse(
        self, submission: Submission, reason: str, started_at: float, deadline_s: float
    ) -> None:
        self._meters.count(Meter.JOBS, outcome="refused", cause="store")
        self._log.emit(
            LogEvent.JOB_NOT_ACCEPTED,
            job=submission.job_id,
            reason=reason,
            took_s=self._elapsed_s(started_at),
        )
        raise JobRefused(
            "the job was not stored",
            retry_after_s=max(
                MIN_RETRY_AFTER_S,
                min(self._retry_after_s(), deadline_s * RETRY_AFTER_DEADLINE_SHARE),
            ),
        )

    def _retry_after_s(self) -> float:
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, self._store.unavailable_s))

    def _read_state(self, job_id: str, team: str) -> JobState | None:
        record = self._store.get(job_key(job_id))
        if record is None:
            return None
        try:
            if not decode(record.value, Submission).visible_to(team):
                return None
            stored = self._store.get(progress_key(job_id))
            if stored is not None:
                return decode(stored.value, Progress).state
        except MessageInvalid as exc:
            raise StoreUnavailable(f"stored job {job_id} cannot be read: {exc}") from exc
        cancelled = self._store.get(cancel_key(job_id))
        return JobState.CANCELLED if cancelled is not None else JobState.QUEUED
