"""Ordinary requests: a slot at an executor, deadlines, retries that cannot run work twice."""

import random

import attrs
from gevent.event import Event

from lacewingmill.cells.claim_journal import ClaimJournal, claim_key
from lacewingmill.cells.messages import ClaimRecord
from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import (
    ConnectFailed,
    DeadlineExceeded,
    JobRefused,
    NoTarget,
    OutcomeUnknown,
    StoreConflict,
    StoreUnavailable,
    TransportError,
)
from lacewingmill.models import Fence, Route, Service, Team, Vm
from lacewingmill.ports import ApplicationResponse, Clock, ExecutorPort
from lacewingmill.routing.budget import RetryBudget
from lacewingmill.routing.executors import ExecutorPool, TargetLease
from lacewingmill.routing.hedging import TRIES, HedgedTries
from lacewingmill.routing.team_queue import TeamQueue, Waiter

__all__ = ["CallerRequest", "OrdinaryRouter"]

CLAIM_POLL_S = 0.2
PUMP_S = 0.25
LIST_ASKED_WITHIN_S = 5.0


@attrs.frozen
class ClientRequest:
    """A request of a caller, checked against the configuration.

    :param key: its idempotency key.
    :param key_given: whether the caller gave the key, so that the request may come again.
    :param deadline: latest time of an answer, in seconds.
    """

    service: Service
    route: Route
    team: Team
    method: str
    path: str
    body: bytes
    content_type: str
    key: str
    key_given: bool
    deadline: float


@attrs.define(eq=False)
class _Slot(Waiter):
    """A waiter and the place it was given."""

    lease: TargetLease | None = None
    ready: Event = attrs.field(factory=Event)


class _Lane:
    """The executors of one service and the requests that wait for them."""

    def __init__(self, rng: random.Random):
        self.pool = ExecutorPool(rng)
        self.queue = TeamQueue()
        self.budget = RetryBudget()


class OrdinaryRouter:
    """Sends ordinary requests to executors."""

    def __init__(
        self,
        executors: ExecutorPort,
        journal: ClaimJournal,
        clock: Clock,
        log: EventLog,
        vm: str,
        rng: random.Random,
    ):
        self._executors = executors
        self._journal = journal
        self._clock = clock
        self._log = log
        self._vm = vm
        self._rng = rng
        self._lanes: dict[str, _Lane] = {}
        self._confirmed_at: float | None = None
        self._confirmed = Event()

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return sum(len(lane.queue) for lane in self._lanes.values())

    def set_targets(self, service: str, vms: tuple[Vm, ...], entry_vms: int) -> None:
        """Use these executors for a service and no others."""
        lane = self._lane(service)
        lane.pool.set_targets(vms, entry_vms)
        self._pump(lane)

    def record_vm_list_query(self) -> None:
        """Take in that the VM list was asked just now; without an answer the last one stays."""
        self._confirmed_at = self._clock.now()
        confirmed, self._confirmed = self._confirmed, Event()
        confirmed.set()
        for lane in self._lanes.values():
            self._pump(lane)

    def run(self) -> None:
        """Wake waiters when ejections end, for ever."""
        while True:
            self._clock.sleep(PUMP_S)
            for lane in self._lanes.values():
                self._pump(lane)

    def serve(self, req: ClientRequest) -> ApplicationResponse:
        """Answer a request.

        :raises JobRefused: it was provably not run.
        :raises OutcomeUnknown: it was sent, and whether it ran cannot be proved.
        """
        if req.route.idempotent or not req.key_given:
            return self._try_targets(req)
        return self._serve_claimed(req)

    def _serve_claimed(self, req: ClientRequest) -> ApplicationResponse:
        """Claim the caller's key first, so that no other VM runs the same request."""
        key = claim_key(req.service.name, req.team.name, req.key)
        record = ClaimRecord(self._journal.new_write_id(), self._vm, Fence(), self._clock.wall())
        try:
            revision = self._journal.claim(key, record, expected=0, deadline=req.deadline)
        except StoreUnavailable as exc:
            raise JobRefused(
                "the store stayed away, so the request could not be claimed", step="claim"
            ) from exc
        except StoreConflict:
            return self._await_claimed(req, key)
        try:
            answer = self._try_targets(req)
        except JobRefused:
            self._journal.withdraw(key, revision)
            raise
        self._journal.store_answer(key, attrs.evolve(record, answer=answer), revision)
        return answer

    def _await_claimed(self, req: ClientRequest, key: str) -> ApplicationResponse:
        """Wait for the answer of the request that holds the claim."""
        while self._clock.now() < req.deadline:
            try:
                found = self._journal.find(key)
            except StoreUnavailable:
                self._clock.sleep(CLAIM_POLL_S)
                continue
            if found is None:
                return self._serve_claimed(req)  # its holder withdrew: nothing was run
            if found.record.answer is not None:
                return found.record.answer
            self._clock.sleep(CLAIM_POLL_S)
        raise OutcomeUnknown(
            "a request with this idempotency key was claimed before; its answer is unknown",
            step="claim",
        )

    def _try_targets(self, req: ClientRequest) -> ApplicationResponse:
        lane = self._lane(req.service.name)
        lane.budget.earn()
        if req.route.idempotent:
            return HedgedTries(self, lane, req, self._clock).run()
        return self._try_once(lane, req)

    def _try_once(self, lane: "_Lane", req: ClientRequest) -> ApplicationResponse:
        """Send non-idempotent work: a second try only while it is proved that nothing was sent."""
        tried: set[str] = set()
        while True:
            lease = self.take_slot(lane, req, frozenset(tried))
            tried.add(lease.vm.name)
            try:
                return self.send(lane, lease, req)
            except ConnectFailed as exc:
                if len(tried) >= TRIES:
                    raise NoTarget(exc.message, step=exc.step, peer=exc.peer) from exc
            except TransportError as exc:
                raise OutcomeUnknown(exc.message, step=exc.step, peer=lease.vm.name) from exc

    def send(self, lane: _Lane, lease: TargetLease, req: ClientRequest) -> ApplicationResponse:
        """Send a request to the executor of a lease and give the lease back.

        :raises ConnectFailed: nothing was sent.
        :raises TransportError: the request may have been executed.
        """
        try:
            answer = self._executors.send(
                lease.vm,
                req.method,
                req.path,
                req.body,
                req.content_type,
                req.key,
                timeout_s=max(0.01, req.deadline - self._clock.now()),
            )
        except TransportError as exc:
            if lane.pool.failed(lease, self._clock.now()):
                self._log.emit(LogEvent.TARGET_SUSPECT, target=lease.vm.name, reason=str(exc))
            raise
        finally:
            lane.pool.give_back(lease)
            self._pump(lane)
        lane.pool.answered(lease, answer.status, self._clock.now())
        return answer

    def take_slot(self, lane: _Lane, req: ClientRequest, tried: frozenset[str]) -> TargetLease:
        """Wait for a place at an executor, preferring ones that were not tried.

        :raises NoTarget: the service has no live executor.
        :raises QueueFull: too many requests of the team wait already.
        :raises DeadlineExceeded: the deadline passed first.
        """
        if self._was_paused():
            self._confirmed.wait(max(0.0, req.deadline - self._clock.now()))
        now = self._clock.now()
        if not len(lane.pool):
            raise NoTarget(f"no live executor for {req.service.name}", step="route")
        if not len(lane.queue):
            lease = lane.pool.take(now, tried) or lane.pool.take(now)
            if lease is not None:
                return lease
        slot = _Slot(req.team.name, req.team.share, req.deadline)
        lane.queue.push(slot, req.team.max_queued)
        slot.ready.wait(max(0.0, req.deadline - now))
        if slot.lease is None:
            lane.queue.remove(slot)
            raise DeadlineExceeded("the deadline passed while the request waited", step="queue")
        return slot.lease

    def _pump(self, lane: _Lane) -> None:
        """Give free places to waiters, fair among teams."""
        if self._was_paused():
            return
        now = self._clock.now()
        while len(lane.queue):
            lease = lane.pool.take(now)
            if lease is None:
                return
            slot = lane.queue.pop(now)
            if slot is None:
                lane.pool.give_back(lease)
                return
            slot.lease = lease
            slot.ready.set()

    def _was_paused(self) -> bool:
        """Whether the VM list was last asked so long ago that this process must have been paused.

        Until it is asked again, any target may have left.
        """
        if self._confirmed_at is None:
            return False
        return self._clock.now() - self._confirmed_at > LIST_ASKED_WITHIN_S

    def _lane(self, service: str) -> _Lane:
        lane = self._lanes.get(service)
        if lane is None:
            lane = self._lanes[service] = _Lane(self._rng)
        return lane
