"""Ordinary requests on virtual time: hedging, at most once, fair queues, ejection, leaving."""

import random

import gevent
import pytest
from fakes import FakeExecutors, FakeStore, VirtualClock

from lacewingmill.cells.claim_journal import ClaimJournal
from lacewingmill.events import EventLog
from lacewingmill.exceptions import JobRefused, OutcomeUnknown, QueueFull
from lacewingmill.models import Role, Route, RouteKind, Service, Team, Vm
from lacewingmill.routing.budget import RetryBudget
from lacewingmill.routing.executors import ExecutorPool
from lacewingmill.routing.ordinary import ClientRequest, OrdinaryRouter
from lacewingmill.routing.team_queue import TeamQueue, Waiter

STOCK = Route("/stock", RouteKind.ORDINARY, idempotent=True, deadline_s=5.0)
ORDER = Route("/order", RouteKind.ORDINARY, idempotent=False, deadline_s=5.0)
TEAM = Team("t", max_queued=2)
SERVICE = Service("svc", (TEAM,), (), (STOCK, ORDER))


def executors(count=3):
    return tuple(
        Vm(f"e{number}", Role.EXECUTOR, f"127.0.0.1:{number + 1}", "d", service="svc")
        for number in range(count)
    )


class World:
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

    def request(self, route, key="k", given=True):
        deadline = self.clock.now() + route.deadline_s
        return ClientRequest(
            SERVICE, route, TEAM, "POST", route.path, b"", "t", key, given, deadline
        )

    def serve(self, router, route, key="k", given=True, within=6.0):
        call = gevent.spawn(_outcome, router, self.request(route, key, given))
        self.clock.advance(within)
        assert call.ready(), "no answer within the deadline"
        return call.value


def _outcome(router, req):
    try:
        return router.serve(req)
    except (JobRefused, OutcomeUnknown) as exc:
        return exc


@pytest.fixture
def world():
    return World()


def test_vm_that_was_paused_sends_nothing_before_it_knows_who_is_leaving(world):
    router = world.routers[0]
    router.record_vm_list_query()
    world.clock.jump(10.0)
    call = gevent.spawn(_outcome, router, world.request(STOCK))
    world.clock.settle()
    assert world.executors.executions == {}
    router.set_targets("svc", executors()[2:], 2)
    router.record_vm_list_query()
    world.clock.advance(1.0)
    assert call.value.answered_by == "e2"


def test_vm_that_was_paused_gives_its_queue_to_nobody_who_may_have_left(world):
    router = world.routers[0]
    router.set_targets("svc", executors()[:1], 64)  # one place
    router.record_vm_list_query()
    patient = Route("/order", RouteKind.ORDINARY, idempotent=False, deadline_s=20.0)
    requests = [world.request(patient, key=f"k{n}", given=False) for n in range(2)]
    calls = [gevent.spawn(_outcome, router, req) for req in requests]
    world.clock.settle()
    world.clock.jump(10.0)  # the first answer arrives while the process is paused
    assert set(world.executors.executions) == {"k0"}
    router.set_targets("svc", executors()[2:], 64)
    router.record_vm_list_query()
    world.clock.advance(1.0)
    assert calls[1].value.answered_by == "e2"


def test_idempotent_request_outlives_a_silent_executor(world):
    world.executors.silent.update(("e0", "e1"))
    for number in range(10):
        answer = world.serve(world.routers[0], STOCK, key=f"s{number}")
        assert answer.body == f"answer to s{number}".encode()


def test_non_idempotent_request_to_a_silent_executor_is_unknown_and_sent_once(world):
    world.executors.silent.update(("e0", "e1", "e2"))
    answer = world.serve(world.routers[0], ORDER)
    assert isinstance(answer, OutcomeUnknown)
    assert world.executors.executions == {"k": 1}


def test_unsent_request_goes_to_another_executor(world):
    world.executors.unreachable.update(("e0", "e1"))
    answer = world.serve(world.routers[0], ORDER)
    assert answer.answered_by == "e2"


def test_refusal_after_failed_connects_is_true_and_frees_the_key(world):
    world.executors.unreachable.update(("e0", "e1", "e2"))
    assert isinstance(world.serve(world.routers[0], ORDER), JobRefused)
    assert world.executors.executions == {}
    world.executors.unreachable.clear()
    world.clock.advance(5.0)
    assert world.serve(world.routers[1], ORDER).body == b"answer to k"


def test_same_key_at_two_vms_runs_once_and_both_get_the_answer(world):
    calls = [gevent.spawn(_outcome, r, world.request(ORDER)) for r in world.routers]
    world.clock.advance(4.0)
    assert [call.value.body for call in calls] == [b"answer to k"] * 2
    assert world.executors.executions == {"k": 1}


def test_store_away_refuses_a_keyed_order_truthfully(world):
    world.store.down = True
    assert isinstance(world.serve(world.routers[0], ORDER), JobRefused)
    assert world.executors.executions == {}
    assert world.serve(world.routers[0], STOCK).body == b"answer to k"


def test_lost_store_answer_does_not_lose_the_order(world):
    world.store.lose_writes = 2
    assert world.serve(world.routers[0], ORDER).body == b"answer to k"
    assert world.executors.executions == {"k": 1}


def test_leaving_executor_gets_nothing_new(world):
    world.routers[0].set_targets("svc", executors()[:1], 2)
    answers = [world.serve(world.routers[0], STOCK, key=f"l{n}") for n in range(5)]
    assert {answer.answered_by for answer in answers} == {"e0"}


def test_queue_is_bounded_and_refusal_is_true(world):
    world.executors._run_s = 2.0
    router = world.routers[0]
    router.set_targets("svc", executors()[:1], 64)  # one place at one executor
    calls = [
        gevent.spawn(_outcome, router, world.request(ORDER, f"q{n}", given=False)) for n in range(5)
    ]
    world.clock.advance(10.0)
    refused = [call.value for call in calls if isinstance(call.value, QueueFull)]
    assert len(refused) == 2
    assert len(world.executors.executions) <= 3


def test_teams_are_served_by_their_shares():
    queue = TeamQueue()
    for _ in range(30):
        queue.push(Waiter("large", 2.0, 100.0), 100)
        queue.push(Waiter("small", 1.0, 100.0), 100)
    served = [queue.pop(0.0).team for _ in range(30)]
    assert served.count("large") == 20


def test_passed_deadlines_leave_the_queue():
    queue = TeamQueue()
    queue.push(Waiter("t", 1.0, 1.0), 10)
    queue.push(Waiter("t", 1.0, 9.0), 10)
    assert queue.pop(5.0).deadline == 9.0
    assert len(queue) == 0


def test_retry_budget_bounds_retries():
    budget = RetryBudget()
    for _ in range(100):
        budget.earn()
    assert sum(budget.spend() for _ in range(50)) == 10


def test_answers_do_not_eject_but_unreachable_ones_do():
    pool = ExecutorPool(random.Random(1))
    pool.set_targets(executors(4), 2)
    lease = pool.take(0.0)
    for status in (500, 503, 429):
        assert not pool.answered(lease, status, 0.0)
    assert not pool.answered(lease, 502, 0.0)
    assert pool.answered(lease, 504, 0.0)
    names = {pool.take(0.5).vm.name for _ in range(40)}
    assert lease.vm.name not in names


def test_executor_that_refuses_at_once_does_not_attract_all_requests():
    pool = ExecutorPool(random.Random(1))
    pool.set_targets(executors(4), 2)
    held = [pool.take(0.0) for _ in range(8)]
    refusing = held[0].vm.name
    refused = 0
    for _ in range(100):
        lease = pool.take(0.0)
        if lease.vm.name == refusing:
            refused += 1
            pool.answered(lease, 503, 0.0)
            pool.give_back(lease)
        else:
            held.append(lease)
            pool.give_back(held.pop(1))
    assert refused <= 40
