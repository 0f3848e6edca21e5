"""The owner's driver on virtual time: gangs whole, at most once, silence, fences, recovery."""

import attrs
import pytest
from fakes import FakeStore, FakeWorkers, VirtualClock, make_workers

from lacewingmill.cells.cell import Cell
from lacewingmill.cells.claim_journal import ClaimJournal
from lacewingmill.cells.driver import CellDependencies
from lacewingmill.cells.messages import JobPhase, SubmitJob
from lacewingmill.events import EventLog
from lacewingmill.exceptions import NotOwner
from lacewingmill.models import Adjacency, Fence, Guarantee, Service, Shape, Team, VmState
from lacewingmill.scheduling.messages import Job
from lacewingmill.scheduling.scheduler import Scheduler

WHOLE = Shape("whole", 8, Adjacency.WORKER, 4, 16, 5.0)
WIDE = Shape("wide", 16, Adjacency.RACK, 4, 16, 5.0)
ONE = Shape("one", 1, Adjacency.WORKER, 4, 16, 5.0)
SERVICES = (
    Service(
        "svc",
        (Team("t", (Guarantee("whole", 2),)), Team("other")),
        (WHOLE, WIDE, ONE),
        (),
    ),
)


class World:
    """Workers, a store and any number of VMs that may own the cell."""

    def __init__(self, run_s=5.0):
        self.clock = VirtualClock()
        self.vms = make_workers()
        self.workers = FakeWorkers(self.clock, self.vms, run_s)
        self.store = FakeStore(self.clock)

    def own(self, vm, epoch):
        parts = CellDependencies(
            Scheduler(),
            self.workers,
            ClaimJournal(self.store, self.clock, vm),
            self.clock,
            EventLog(vm),
            vm,
        )
        cell = Cell(parts, lambda: None)
        cell.set_workers(self.vms)
        cell.set_services(SERVICES)
        assert cell.take_over(Fence(epoch, 0))
        self.clock.advance(0.5)
        return cell


def submission(name, shape, *, idempotent=True, checkpoint=False, claims=False, deadline=60.0):
    job = Job(name, "svc", "t", shape, claims, idempotent, checkpoint, 0.0)
    return SubmitJob(job, f"key-{name}", b"{}", "application/json", deadline)


def phase(cell, name):
    return cell.report(name, 0.0).phase


@pytest.fixture
def world():
    return World()


def test_wide_gang_runs_whole_and_answers(world):
    cell = world.own("a", 1)
    cell.submit(submission("j", WIDE))
    world.clock.advance(8.0)
    report = cell.report("j", 0.0)
    assert report.phase is JobPhase.DONE
    assert report.answer.body == b"answer to key-j"
    assert len({worker for _, worker in world.workers.started}) == 2


def test_silent_member_releases_all_and_the_gang_runs_elsewhere(world):
    cell = world.own("a", 1)
    world.workers.silent.add("w0")
    cell.submit(submission("j", WIDE))
    world.clock.advance(15.0)
    assert phase(cell, "j") is JobPhase.DONE
    held = [
        row
        for name, table in world.workers.tables.items()
        if name != "w0"
        for row in table.rows.values()
        if row.state in ("leased", "running")
    ]
    assert held == []


def test_a_worker_frozen_while_a_gang_runs_ends_the_gang_whole_and_runs_it_again(world):
    cell = world.own("a", 1)
    cell.submit(submission("j", WIDE))
    world.clock.advance(1.0)
    first = {worker for _, worker in world.workers.started}
    world.workers.silent.add(sorted(first)[1])
    world.clock.advance(20.0)
    assert phase(cell, "j") is JobPhase.DONE
    assert world.workers.executions["key-j"] == 2


def test_non_idempotent_gang_on_a_frozen_worker_is_unknown_and_never_run_again(world):
    cell = world.own("a", 1)
    cell.submit(submission("j", WIDE, idempotent=False))
    world.clock.advance(1.0)
    first = {worker for _, worker in world.workers.started}
    world.workers.silent.add(sorted(first)[1])
    world.clock.advance(30.0)
    assert phase(cell, "j") is JobPhase.UNKNOWN
    assert world.workers.executions["key-j"] == 1


def test_lost_start_answer_of_non_idempotent_work_is_never_sent_twice(world):
    cell = world.own("a", 1)
    world.workers.lose_answers_of.update(world.workers.tables)
    cell.submit(submission("j", WHOLE, idempotent=False))
    world.clock.advance(2.5)
    world.workers.lose_answers_of.clear()
    world.clock.advance(40.0)
    assert world.workers.executions.get("key-j", 0) <= 1


def test_store_away_refuses_non_idempotent_work_truthfully_and_runs_the_rest(world):
    cell = world.own("a", 1)
    world.store.down = True
    cell.submit(submission("order", WHOLE, idempotent=False, deadline=5.0))
    cell.submit(submission("look", ONE))
    world.clock.advance(10.0)
    assert phase(cell, "order") is JobPhase.NOT_RUN
    assert phase(cell, "look") is JobPhase.DONE
    assert "key-order" not in world.workers.executions


def test_lost_store_answer_of_a_claim_is_settled_by_reading(world):
    cell = world.own("a", 1)
    world.store.lose_writes = 1
    cell.submit(submission("order", WHOLE, idempotent=False))
    world.clock.advance(10.0)
    assert phase(cell, "order") is JobPhase.DONE
    assert world.workers.executions["key-order"] == 1


def test_new_owner_takes_running_gangs_over_and_the_old_one_is_fenced(world):
    old = world.own("a", 1)
    old.submit(submission("j", WIDE, idempotent=False))
    world.clock.advance(1.0)
    new = world.own("b", 2)
    world.clock.advance(2.0)
    with pytest.raises(NotOwner):
        old.report("j", 0.0)
    new.submit(submission("j", WIDE, idempotent=False))
    world.clock.advance(8.0)
    assert phase(new, "j") is JobPhase.DONE
    assert world.workers.executions["key-j"] == 1


def test_claim_of_a_paused_owner_is_replaced_only_where_nothing_ran(world):
    old = world.own("a", 1)
    world.workers.silent.update(world.workers.tables)  # the old owner's orders do not arrive
    old.submit(submission("j", WHOLE, idempotent=False))
    world.clock.settle()
    old.stop_driver()
    world.workers.silent.clear()
    new = world.own("b", 2)
    new.submit(submission("j", WHOLE, idempotent=False))
    world.clock.advance(10.0)
    assert phase(new, "j") is JobPhase.DONE
    assert world.workers.executions["key-j"] == 1


def test_repeated_key_gets_the_first_answer(world):
    old = world.own("a", 1)
    old.submit(submission("j", WHOLE, idempotent=False))
    world.clock.advance(10.0)
    for table in world.workers.tables.values():
        table.rows.clear()  # the workers forgot; the claim in the store has not
    new = world.own("b", 2)
    new.submit(submission("j", WHOLE, idempotent=False))
    world.clock.advance(10.0)
    report = new.report("j", 0.0)
    assert report.phase is JobPhase.DONE
    assert report.answer.body == b"answer to key-j"
    assert world.workers.executions["key-j"] == 1


def test_guarantee_is_reclaimed_from_a_full_cluster_with_a_silent_worker(world):
    cell = world.own("a", 1)
    world.workers._run_s = 1000.0
    for number in range(48):
        cell.submit(submission(f"b{number}", ONE, checkpoint=True, deadline=2000.0))
    world.clock.advance(2.0)
    assert cell.driver.scheduler.cluster.free_accelerators == 0
    world.workers.silent.add("w3")
    cell.submit(submission("claim", WHOLE, claims=True))
    submitted = world.clock.now()
    while phase(cell, "claim") is not JobPhase.RUNNING:
        world.clock.advance(0.1)
        assert world.clock.now() - submitted <= 5.6


def test_claim_and_idempotent_work_make_no_store_call(world):
    cell = world.own("a", 1)
    cell.submit(submission("look", ONE))
    world.clock.advance(1.0)
    calls = world.store.calls
    world.store.down = True
    for number in range(48):
        cell.submit(submission(f"b{number}", ONE, checkpoint=True, deadline=2000.0))
    cell.submit(submission("claim", WHOLE, claims=True))
    world.clock.advance(15.0)
    assert phase(cell, "claim") is JobPhase.DONE
    assert world.store.calls == calls


def test_job_that_must_not_run_twice_costs_two_store_calls(world):
    cell = world.own("a", 1)
    cell.submit(submission("first", ONE, idempotent=False))
    world.clock.advance(10.0)  # the claims of an hour share one store lease
    calls = world.store.calls
    cell.submit(submission("order", ONE, idempotent=False))
    world.clock.advance(10.0)
    assert phase(cell, "order") is JobPhase.DONE
    assert world.store.calls - calls == 2


def test_owner_that_was_paused_does_not_take_live_workers_for_lost(world):
    cell = world.own("a", 1)
    cell.submit(submission("j", WHOLE, idempotent=False, deadline=100.0))
    world.clock.advance(1.0)
    for name in world.workers.tables:
        world.workers.silent.add(name)  # answers do not reach a paused process
    world.clock.settle()
    world.clock.jump(4.0)
    world.workers.silent.clear()
    world.clock.advance(10.0)
    assert phase(cell, "j") is JobPhase.DONE


def test_job_is_not_called_impossible_while_workers_are_only_silent(world):
    cell = world.own("a", 1)
    world.workers.silent.update(world.workers.tables)
    world.clock.advance(10.0)
    cell.submit(submission("j", WHOLE))
    world.clock.advance(1.0)
    world.workers.silent.clear()
    world.clock.advance(12.0)
    assert phase(cell, "j") is JobPhase.DONE


def test_job_larger_than_any_block_is_refused_at_once(world):
    cell = world.own("a", 1)
    cell.submit(submission("j", attrs.evolve(WHOLE, accelerators=9)))
    report = cell.report("j", 0.0)
    assert report.phase is JobPhase.NOT_RUN
    assert "9 accelerators in one worker" in report.reason


def test_job_evicted_while_its_claim_is_being_written_runs_once_and_later(world):
    cell = world.own("a", 1)
    world.store.down = True
    names = [f"b{number}" for number in range(6)]
    for name in names:
        cell.submit(submission(name, WHOLE, idempotent=False, checkpoint=True, deadline=300.0))
    world.clock.advance(1.0)
    cell.submit(submission("claim", WHOLE, claims=True))
    world.clock.advance(20.0)
    world.store.down = False
    world.clock.advance(60.0)
    assert phase(cell, "claim") is JobPhase.DONE
    assert [phase(cell, name) for name in names] == [JobPhase.DONE] * 6
    assert {world.workers.executions[f"key-{name}"] for name in names} == {1}


def stop_driver(world, cell, *names):
    leaving = [
        attrs.evolve(vm, state=VmState.LEAVING) if vm.name in names else vm for vm in world.vms
    ]
    world.vms = tuple(leaving)
    cell.set_workers(world.vms)


def test_gang_on_a_leaving_worker_ends_and_nothing_new_starts_there(world):
    cell = world.own("a", 1)
    cell.submit(submission("j", WIDE, idempotent=False))
    world.clock.advance(1.0)
    leaving = {worker for _, worker in world.workers.started}
    stop_driver(world, cell, *leaving)
    for number in range(8):
        cell.submit(submission(f"n{number}", WHOLE, deadline=600.0))
    world.clock.advance(60.0)
    assert phase(cell, "j") is JobPhase.DONE
    assert world.workers.executions["key-j"] == 1
    assert {phase(cell, f"n{number}") for number in range(8)} == {JobPhase.DONE}
    others = {worker for gang, worker in world.workers.started if not gang.startswith("j.")}
    assert not others & leaving


def test_new_owner_knows_which_workers_are_leaving(world):
    cell = world.own("a", 1)
    cell.submit(submission("j", WIDE, idempotent=False))
    world.clock.advance(1.0)
    leaving = {worker for _, worker in world.workers.started}
    stop_driver(world, cell, *leaving)
    new = world.own("b", 2)
    new.submit(submission("n", WIDE, deadline=600.0))
    world.clock.advance(30.0)
    assert phase(new, "j") is JobPhase.DONE
    assert phase(new, "n") is JobPhase.DONE
    others = {worker for gang, worker in world.workers.started if gang.startswith("n.")}
    assert others and not others & leaving


def test_worker_that_stays_after_all_is_used_again(world):
    cell = world.own("a", 1)
    everyone = [vm.name for vm in world.vms]
    stop_driver(world, cell, *everyone)
    cell.submit(submission("n", WHOLE, deadline=600.0))
    world.clock.advance(5.0)
    assert phase(cell, "n") is JobPhase.WAITING
    world.vms = tuple(attrs.evolve(vm, state=VmState.LIVE) for vm in world.vms)
    cell.set_workers(world.vms)
    world.clock.advance(10.0)
    assert phase(cell, "n") is JobPhase.DONE


def test_silent_worker_is_not_called_quarantined(world):
    cell = world.own("a", 1)
    world.workers.silent.add("w0")
    world.clock.advance(2.5)
    scheduler = cell.driver.scheduler
    assert "w0" in scheduler.cluster.cordoned
    assert scheduler.quarantined == frozenset()


def test_worker_that_fails_every_job_is_quarantined_and_probed(world):
    cell = world.own("a", 1)
    scheduler = cell.driver.scheduler
    world.workers.failing.add("w0")
    for number in range(24):
        cell.submit(submission(f"j{number}", WHOLE, deadline=600.0))
    world.clock.advance(20.0)
    assert scheduler.quarantined == {"w0"}
    world.workers.failing.clear()
    world.clock.advance(90.0)
    assert scheduler.quarantined == frozenset()
    assert {phase(cell, f"j{number}") for number in range(24)} == {JobPhase.DONE}
