"""Ordinary requests on a virtual clock: hedging, at-most-once delivery, fair queues, ejection."""

import random

import gevent
import pytest
from fakes import FakeExecutors, FakeStore

from lacewingmill.cells.claim_journal import ClaimJournal
from lacewingmill.events import EventLog
from lacewingmill.exceptions import JobRefused, OutcomeUnknown, QueueFull
from lacewingmill.models import Role, Route, RouteKind, Service, Team, Vm
from lacewingmill.routing.budget import RetryBudget
from lacewingmill.routing.executors import ExecutorPool
from lacewingmill.routing.ordinary import ClientRequest, OrdinaryRouter
from lacewingmill.routing.team_queue import TeamQueue, Waiter
from standins.virtual_clock import VirtualClock

STOCK = Route("/stock", RouteKind.ORDINARY, idempotent=True, deadline_s=5.0)
ORDER = Route("/order", RouteKind.ORDINARY, idempotent=False, deadline_s=5.0)
TEAM = Team("t", max_queued=2)
SERVICE = Service("svc", (TEAM,), (), (STOCK, ORDER))


def executors(count=3):
    return tuple(
        Vm(f"e{number}", Role.EXECUTOR, f"127.0.0.1:{number + 1}", "d", service="svc")
        for number in range(count)
    )


class Harness:
    def __init__(self):
        self.clock = VirtualClock()
        self.store = FakeStore(self.clock)
        self.executors = FakeExecutors(self.clock)
        self.routers = [self.make_router(f"vm{number}") for number in range(2)]

    def make_router(self, vm):
        journal = ClaimJournal(self.store, self.clock, vm)
        router = OrdinaryRouter(
            self.executors, journal, self.clock, EventLog(vm), vm, random.Random(1)
        )
        router.set_targets("svc", executors(), 2)
        return router

    def request(self, route, key="k", key_from_client=True):
        deadline = self.clock.now() + route.deadline_s
        return ClientRequest(
            SERVICE, route, TEAM, "POST", route.path, b"", "t", key, key_from_client, deadline
        )

    def serve(self, router, route, key="k", key_from_client=True, within=6.0):
        call = gevent.spawn(_outcome, router, self.request(route, key, key_from_client))
        self.clock.advance(within)
        assert call.ready(), "no answer within the deadline"
        return call.value


def _outcome(router, req):
    try:
        return router.serve(req)
    except (JobRefused, OutcomeUnknown) as exc:
        return exc


@pytest.fixture
def harness():
    return Harness()


def test_paused_vm_sends_nothing_before_it_has_queried_the_vm_list(harness):
    router = harness.routers[0]
    router.record_vm_list_query()
    harness.clock.jump(10.0)
    call = gevent.spawn(_outcome, router, harness.request(STOCK))
    harness.clock.settle()
    assert harness.executors.executions == {}
    router.set_targets("svc", executors()[2:], 2)
    router.record_vm_list_query()
    harness.clock.advance(1.0)
    assert call.value.answered_by == "e2"


def test_paused_vm_assigns_no_queued_request_before_it_has_queried_the_vm_list(harness):
    router = harness.routers[0]
    router.set_targets("svc", executors()[:1], 64)  # one slot
    router.record_vm_list_query()
    long_deadline_route = Route("/order", RouteKind.ORDINARY, idempotent=False, deadline_s=20.0)
    requests = [
        harness.request(long_deadline_route, key=f"k{n}", key_from_client=False) for n in range(2)
    ]
    calls = [gevent.spawn(_outcome, router, req) for req in requests]
    harness.clock.settle()
    harness.clock.jump(10.0)  # the first answer arrives while the process is paused
    assert set(harness.executors.executions) == {"k0"}
    router.set_targets("svc", executors()[2:], 64)
    router.record_vm_list_query()
    harness.clock.advance(1.0)
    assert calls[1].value.answered_by == "e2"


def test_idempotent_request_is_answered_despite_silent_executors(harness):
    harness.executors.silent.update(("e0", "e1"))
    for number in range(10):
        answer = harness.serve(harness.routers[0], STOCK, key=f"s{number}")
        assert answer.body == f"answer to s{number}".encode()


def test_non_idempotent_request_to_a_silent_executor_is_unknown_and_sent_once(harness):
    harness.executors.silent.update(("e0", "e1", "e2"))
    answer = harness.serve(harness.routers[0], ORDER)
    assert isinstance(answer, OutcomeUnknown)
    assert harness.executors.executions == {"k": 1}


def test_unsent_request_goes_to_another_executor(harness):
    harness.executors.unreachable.update(("e0", "e1"))
    answer = harness.serve(harness.routers[0], ORDER)
    assert answer.answered_by == "e2"


def test_refusal_after_failed_connects_runs_nothing_and_releases_the_key(harness):
    harness.executors.unreachable.update(("e0", "e1", "e2"))
    assert isinstance(harness.serve(harness.routers[0], ORDER), JobRefused)
    assert harness.executors.executions == {}
    harness.executors.unreachable.clear()
    harness.clock.advance(5.0)
    assert harness.serve(harness.routers[1], ORDER).body == b"answer to k"


def test_same_key_at_two_vms_runs_once_and_both_get_the_answer(harness):
    calls = [gevent.spawn(_outcome, r, harness.request(ORDER)) for r in harness.routers]
    harness.clock.advance(4.0)
    assert [call.value.body for call in calls] == [b"answer to k"] * 2
    assert harness.executors.executions == {"k": 1}


def test_unavailable_store_refuses_a_keyed_order_and_runs_nothing(harness):
    harness.store.down = True
    assert isinstance(harness.serve(harness.routers[0], ORDER), JobRefused)
    assert harness.executors.executions == {}
    assert harness.serve(harness.routers[0], STOCK).body == b"answer to k"


def test_order_is_answered_after_lost_answers_of_the_store(harness):
    harness.store.lose_writes = 2
    assert harness.serve(harness.routers[0], ORDER).body == b"answer to k"
    assert harness.executors.executions == {"k": 1}


def test_removed_executor_gets_no_new_requests(harness):
    harness.routers[0].set_targets("svc", executors()[:1], 2)
    answers = [harness.serve(harness.routers[0], STOCK, key=f"l{n}") for n in range(5)]
    assert {answer.answered_by for answer in answers} == {"e0"}


def test_queue_is_bounded_and_refused_requests_do_not_run(harness):
    harness.executors._run_s = 2.0
    router = harness.routers[0]
    router.set_targets("svc", executors()[:1], 64)  # one slot at one executor
    calls = [
        gevent.spawn(_outcome, router, harness.request(ORDER, f"q{n}", key_from_client=False))
        for n in range(5)
    ]
    harness.clock.advance(10.0)
    refused = [call.value for call in calls if isinstance(call.value, QueueFull)]
    assert len(refused) == 2
    assert len(harness.executors.executions) <= 3


def test_teams_are_served_by_their_shares():
    queue = TeamQueue()
    for _ in range(30):
        queue.push(Waiter("large", 2.0, 100.0), 100)
        queue.push(Waiter("small", 1.0, 100.0), 100)
    served = [queue.pop(0.0).team for _ in range(30)]
    assert served.count("large") == 20


def test_requests_past_their_deadline_leave_the_queue():
    queue = TeamQueue()
    queue.push(Waiter("t", 1.0, 1.0), 10)
    queue.push(Waiter("t", 1.0, 9.0), 10)
    assert queue.pop(5.0).deadline == 9.0
    assert len(queue) == 0


def test_retry_budget_bounds_retries():
    budget = RetryBudget()
    for _ in range(100):
        budget.deposit()
    assert sum(budget.try_withdraw() for _ in range(50)) == 10


def test_error_answers_do_not_eject_an_executor_but_gateway_errors_do():
    pool = ExecutorPool(random.Random(1))
    pool.set_targets(executors(4), 2)
    slot = pool.acquire(0.0)
    for status in (500, 503, 429):
        assert not pool.record_answer(slot, status, 0.0)
    assert not pool.record_answer(slot, 502, 0.0)
    assert pool.record_answer(slot, 504, 0.0)
    names = {pool.acquire(0.5).vm.name for _ in range(40)}
    assert slot.vm.name not in names


def test_executor_that_refuses_at_once_does_not_attract_all_requests():
    pool = ExecutorPool(random.Random(1))
    pool.set_targets(executors(4), 2)
    held = [pool.acquire(0.0) for _ in range(8)]
    refusing = held[0].vm.name
    refused = 0
    for _ in range(100):
        slot = pool.acquire(0.0)
        if slot.vm.name == refusing:
            refused += 1
            pool.record_answer(slot, 503, 0.0)
            pool.release(slot)
        else:
            held.append(slot)
            pool.release(held.pop(1))
    assert refused <= 40
