"""Ordinary requests: sends each to an executor of its service, within its deadline.

Only idempotent requests are sent more than once; any other is retried only while it is certain that
nothing was sent. Requests for which no executor has a free slot wait in a queue that is fair among
teams.
"""

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
from lacewingmill.routing.executors import ExecutorPool, ExecutorSlot
from lacewingmill.routing.hedging import MAX_ATTEMPTS, HedgedRequest
from lacewingmill.routing.team_queue import TeamQueue, Waiter

__all__ = ["ClientRequest", "OrdinaryRouter"]

CLAIM_POLL_S = 0.2
ASSIGN_INTERVAL_S = 0.25
VM_LIST_QUERY_OVERDUE_S = 5.0


@attrs.frozen
class ClientRequest:
    """A client's request with the service, route and team it was matched to.

    :param path: request path with the query string.
    :param key: idempotency key; generated if the client sent none.
    :param key_from_client: whether the client sent the key, and so may repeat the request.
    :param deadline: clock time by which the client must have an answer, in seconds.
    """

    service: Service
    route: Route
    team: Team
    method: str
    path: str
    body: bytes
    content_type: str
    key: str
    key_from_client: bool
    deadline: float


@attrs.define(eq=False)
class _SlotWaiter(Waiter):
    """A waiter in the queue of a service.

    :param slot: the slot assigned to it; ``None`` while it waits.
    :param ready: set once a slot is assigned.
    """

    slot: ExecutorSlot | None = None
    ready: Event = attrs.field(factory=Event)


class _ServiceState:
    """The executors of one service, the requests queued for them and their retry budget."""

    def __init__(self, rng: random.Random):
        self.pool = ExecutorPool(rng)
        self.queue = TeamQueue()
        self.budget = RetryBudget()


class OrdinaryRouter:
    """Sends ordinary requests to executors.

    :param vm: name of this VM.
    :param rng: random number generator that breaks ties between executors.
    """

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
        self._service_states: dict[str, _ServiceState] = {}
        self._vm_list_queried_at: float | None = None
        self._vm_list_queried = Event()

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot at an executor."""
        return sum(len(service_state.queue) for service_state in self._service_states.values())

    def set_targets(self, service: str, vms: tuple[Vm, ...], entry_vm_count: int) -> None:
        """Replace the executors of a service.

        :param entry_vm_count: live entry VMs, which share the connections of each executor.
        """
        service_state = self._get_service_state(service)
        service_state.pool.set_targets(vms, entry_vm_count)
        self._assign_slots(service_state)

    def record_vm_list_query(self) -> None:
        """Record that the VM list was just queried.

        A failed query counts too: the last known list then stays in use.
        """
        self._vm_list_queried_at = self._clock.now()
        queried, self._vm_list_queried = self._vm_list_queried, Event()
        queried.set()
        for service_state in self._service_states.values():
            self._assign_slots(service_state)

    def run(self) -> None:
        """Assign slots periodically, forever, because nothing signals the end of an ejection."""
        while True:
            self._clock.sleep(ASSIGN_INTERVAL_S)
            for service_state in self._service_states.values():
                self._assign_slots(service_state)

    def serve(self, req: ClientRequest) -> ApplicationResponse:
        """Send a request to an executor and return the answer.

        :raises JobRefused: the request was certainly not run.
        :raises OutcomeUnknown: the request may or may not have run.
        """
        if req.route.idempotent or not req.key_from_client:
            return self._forward(req)
        return self._serve_with_claim(req)

    def _serve_with_claim(self, req: ClientRequest) -> ApplicationResponse:
        """Claim the idempotency key in the store before sending.

        The claim keeps other VMs from running the same request when the client repeats it there.
        """
        key = claim_key(req.service.name, req.team.name, req.key)
        record = ClaimRecord(self._journal.new_write_id(), self._vm, Fence(), self._clock.wall())
        try:
            revision = self._journal.claim(key, record, expected=0, deadline=req.deadline)
        except StoreUnavailable as exc:
            raise JobRefused(
                "the store is unavailable, so the request could not be claimed", step="claim"
            ) from exc
        except StoreConflict:
            return self._wait_for_claimed_answer(req, key)
        try:
            answer = self._forward(req)
        except JobRefused:
            self._journal.withdraw(key, revision)
            raise
        self._journal.store_answer(key, attrs.evolve(record, answer=answer), revision)
        return answer

    def _wait_for_claimed_answer(self, req: ClientRequest, key: str) -> ApplicationResponse:
        """Wait until the request that holds the claim has stored its answer.

        If the holder withdraws the claim instead, the request is served here.

        :param key: store key of the claim.
        """
        while self._clock.now() < req.deadline:
            try:
                found = self._journal.find(key)
            except StoreUnavailable:
                self._clock.sleep(CLAIM_POLL_S)
                continue
            if found is None:
                return self._serve_with_claim(req)  # the holder withdrew its claim: nothing was run
            if found.record.answer is not None:
                return found.record.answer
            self._clock.sleep(CLAIM_POLL_S)
        raise OutcomeUnknown(
            "an earlier request with this idempotency key holds the claim; its answer is unknown",
            step="claim",
        )

    def _forward(self, req: ClientRequest) -> ApplicationResponse:
        service_state = self._get_service_state(req.service.name)
        service_state.budget.deposit()
        if req.route.idempotent:
            return HedgedRequest(self, service_state, req, self._clock).run()
        return self._send_at_most_once(service_state, req)

    def _send_at_most_once(
        self, service_state: "_ServiceState", req: ClientRequest
    ) -> ApplicationResponse:
        """Send a non-idempotent request; retry only if the connection was never established."""
        tried: set[str] = set()
        while True:
            slot = self.acquire_slot(service_state, req, frozenset(tried))
            tried.add(slot.vm.name)
            try:
                return self.send(service_state, slot, req)
            except ConnectFailed as exc:
                if len(tried) >= MAX_ATTEMPTS:
                    raise NoTarget(exc.message, step=exc.step, peer=exc.peer) from exc
            except TransportError as exc:
                raise OutcomeUnknown(exc.message, step=exc.step, peer=slot.vm.name) from exc

    def send(
        self, service_state: _ServiceState, slot: ExecutorSlot, req: ClientRequest
    ) -> ApplicationResponse:
        """Send a request to the executor of a slot and release the slot.

        :raises ConnectFailed: nothing was sent.
        :raises TransportError: the request may have been executed.
        """
        try:
            answer = self._executors.send(
                slot.vm,
                req.method,
                req.path,
                req.body,
                req.content_type,
                req.key,
                timeout_s=max(0.01, req.deadline - self._clock.now()),
            )
        except TransportError as exc:
            if service_state.pool.record_failure(slot, self._clock.now()):
                self._log.emit(LogEvent.TARGET_SUSPECT, target=slot.vm.name, reason=str(exc))
            raise
        finally:
            service_state.pool.release(slot)
            self._assign_slots(service_state)
        service_state.pool.record_answer(slot, answer.status, self._clock.now())
        return answer

    def acquire_slot(
        self, service_state: _ServiceState, req: ClientRequest, tried: frozenset[str]
    ) -> ExecutorSlot:
        """Wait for a slot at an executor.

        :param tried: names of executors that the request has tried; others are preferred.
        :raises NoTarget: the service has no live executor.
        :raises QueueFull: the team has reached its limit of queued requests.
        :raises DeadlineExceeded: no slot was free before the deadline.
        """
        if self._vm_list_query_overdue():
            self._vm_list_queried.wait(max(0.0, req.deadline - self._clock.now()))
        now = self._clock.now()
        if not len(service_state.pool):
            raise NoTarget(f"service {req.service.name} has no live executor", step="route")
        if not len(service_state.queue):
            slot = service_state.pool.acquire(now, tried) or service_state.pool.acquire(now)
            if slot is not None:
                return slot
        waiter = _SlotWaiter(req.team.name, req.team.share, req.deadline)
        service_state.queue.push(waiter, req.team.max_queued)
        waiter.ready.wait(max(0.0, req.deadline - now))
        if waiter.slot is None:
            service_state.queue.remove(waiter)
            raise DeadlineExceeded("the deadline passed while the request was queued", step="queue")
        return waiter.slot

    def _assign_slots(self, service_state: _ServiceState) -> None:
        """Assign free slots to queued requests, fairly among teams."""
        if self._vm_list_query_overdue():
            return
        now = self._clock.now()
        while len(service_state.queue):
            slot = service_state.pool.acquire(now)
            if slot is None:
                return
            waiter = service_state.queue.pop(now)
            if waiter is None:
                service_state.pool.release(slot)
                return
            waiter.slot = slot
            waiter.ready.set()

    def _vm_list_query_overdue(self) -> bool:
        """Return whether the next query of the VM list is overdue.

        This process must then have been paused, and any executor may have left meanwhile, so
        nothing is sent until the list has been queried again.
        """
        if self._vm_list_queried_at is None:
            return False
        return self._clock.now() - self._vm_list_queried_at > VM_LIST_QUERY_OVERDUE_S

    def _get_service_state(self, service: str) -> _ServiceState:
        service_state = self._service_states.get(service)
        if service_state is None:
            service_state = self._service_states[service] = _ServiceState(self._rng)
        return service_state
