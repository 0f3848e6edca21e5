"""Tests of the cell driver on virtual time: starts, claims, lost workers, fencing and recovery."""

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


class Harness:
    """Fake workers and a fake store, shared by all VMs that own the cell."""

    def __init__(self, run_s=5.0):
        self.clock = VirtualClock()
        self.vms = make_workers()
        self.workers = FakeWorkers(self.clock, self.vms, run_s)
        self.store = FakeStore(self.clock)

    def take_over(self, vm, epoch):
        deps = CellDependencies(
            Scheduler(),
            self.workers,
            ClaimJournal(self.store, self.clock, vm),
            self.clock,
            EventLog(vm),
            vm,
        )
        cell = Cell(deps, lambda: None)
        cell.set_workers(self.vms)
        cell.set_services(SERVICES)
        assert cell.take_over(Fence(epoch, 0))
        self.clock.advance(0.5)
        return cell


def make_submission(name, shape, *, idempotent=True, checkpoint=False, claims=False, deadline=60.0):
    job = Job(name, "svc", "t", shape, claims, idempotent, checkpoint, 0.0)
    return SubmitJob(job, f"key-{name}", b"{}", "application/json", deadline)


def phase_of(cell, name):
    return cell.report(name, 0.0).phase


@pytest.fixture
def world():
    return Harness()


def test_gang_on_two_workers_runs_and_answers(world):
    cell = world.take_over("a", 1)
    cell.submit(make_submission("j", WIDE))
    world.clock.advance(8.0)
    report = cell.report("j", 0.0)
    assert report.phase is JobPhase.DONE
    assert report.answer.body == b"answer to key-j"
    assert len({worker for _, worker in world.workers.started}) == 2


def test_start_on_a_silent_worker_releases_all_members_and_runs_elsewhere(world):
    cell = world.take_over("a", 1)
    world.workers.silent.add("w0")
    cell.submit(make_submission("j", WIDE))
    world.clock.advance(15.0)
    assert phase_of(cell, "j") is JobPhase.DONE
    held = [
        row
        for name, table in world.workers.tables.items()
        if name != "w0"
        for row in table.rows.values()
        if row.state in ("leased", "running")
    ]
    assert held == []


def test_worker_lost_while_a_gang_runs_stops_all_members_and_runs_the_gang_again(world):
    cell = world.take_over("a", 1)
    cell.submit(make_submission("j", WIDE))
    world.clock.advance(1.0)
    first = {worker for _, worker in world.workers.started}
    world.workers.silent.add(sorted(first)[1])
    world.clock.advance(20.0)
    assert phase_of(cell, "j") is JobPhase.DONE
    assert world.workers.executions["key-j"] == 2


def test_non_idempotent_gang_on_a_lost_worker_is_unknown_and_does_not_run_again(world):
    cell = world.take_over("a", 1)
    cell.submit(make_submission("j", WIDE, idempotent=False))
    world.clock.advance(1.0)
    first = {worker for _, worker in world.workers.started}
    world.workers.silent.add(sorted(first)[1])
    world.clock.advance(30.0)
    assert phase_of(cell, "j") is JobPhase.UNKNOWN
    assert world.workers.executions["key-j"] == 1


def test_non_idempotent_gang_does_not_run_again_after_a_lost_start_answer(world):
    cell = world.take_over("a", 1)
    world.workers.losing_responses.update(world.workers.tables)
    cell.submit(make_submission("j", WHOLE, idempotent=False))
    world.clock.advance(2.5)
    world.workers.losing_responses.clear()
    world.clock.advance(40.0)
    assert world.workers.executions.get("key-j", 0) <= 1


def test_store_outage_rejects_non_idempotent_jobs_and_runs_the_others(world):
    cell = world.take_over("a", 1)
    world.store.down = True
    cell.submit(make_submission("order", WHOLE, idempotent=False, deadline=5.0))
    cell.submit(make_submission("look", ONE))
    world.clock.advance(10.0)
    assert phase_of(cell, "order") is JobPhase.NOT_RUN
    assert phase_of(cell, "look") is JobPhase.DONE
    assert "key-order" not in world.workers.executions


def test_lost_store_answer_of_a_claim_is_resolved_by_reading_it_back(world):
    cell = world.take_over("a", 1)
    world.store.lose_writes = 1
    cell.submit(make_submission("order", WHOLE, idempotent=False))
    world.clock.advance(10.0)
    assert phase_of(cell, "order") is JobPhase.DONE
    assert world.workers.executions["key-order"] == 1


def test_new_owner_adopts_running_gangs_and_the_old_owner_is_fenced(world):
    old = world.take_over("a", 1)
    old.submit(make_submission("j", WIDE, idempotent=False))
    world.clock.advance(1.0)
    new = world.take_over("b", 2)
    world.clock.advance(2.0)
    with pytest.raises(NotOwner):
        old.report("j", 0.0)
    new.submit(make_submission("j", WIDE, idempotent=False))
    world.clock.advance(8.0)
    assert phase_of(new, "j") is JobPhase.DONE
    assert world.workers.executions["key-j"] == 1


def test_claim_of_an_earlier_owner_is_replaced_if_nothing_ran(world):
    old = world.take_over("a", 1)
    world.workers.silent.update(world.workers.tables)  # the orders of the old owner do not arrive
    old.submit(make_submission("j", WHOLE, idempotent=False))
    world.clock.settle()
    old.stop_driver()
    world.workers.silent.clear()
    new = world.take_over("b", 2)
    new.submit(make_submission("j", WHOLE, idempotent=False))
    world.clock.advance(10.0)
    assert phase_of(new, "j") is JobPhase.DONE
    assert world.workers.executions["key-j"] == 1


def test_repeated_idempotency_key_gets_the_first_answer(world):
    old = world.take_over("a", 1)
    old.submit(make_submission("j", WHOLE, idempotent=False))
    world.clock.advance(10.0)
    for table in world.workers.tables.values():
        table.rows.clear()  # only the claim in the store remains
    new = world.take_over("b", 2)
    new.submit(make_submission("j", WHOLE, idempotent=False))
    world.clock.advance(10.0)
    report = new.report("j", 0.0)
    assert report.phase is JobPhase.DONE
    assert report.answer.body == b"answer to key-j"
    assert world.workers.executions["key-j"] == 1


def test_guaranteed_job_starts_in_a_full_cluster_with_a_silent_worker(world):
    cell = world.take_over("a", 1)
    world.workers._run_s = 1000.0
    for number in range(48):
        cell.submit(make_submission(f"b{number}", ONE, checkpoint=True, deadline=2000.0))
    world.clock.advance(2.0)
    assert cell.driver.scheduler.cluster.free_accelerators == 0
    world.workers.silent.add("w3")
    cell.submit(make_submission("claim", WHOLE, claims=True))
    submitted = world.clock.now()
    while phase_of(cell, "claim") is not JobPhase.RUNNING:
        world.clock.advance(0.1)
        assert world.clock.now() - submitted <= 5.6


def test_guaranteed_and_idempotent_jobs_make_no_store_call(world):
    cell = world.take_over("a", 1)
    cell.submit(make_submission("look", ONE))
    world.clock.advance(1.0)
    calls = world.store.calls
    world.store.down = True
    for number in range(48):
        cell.submit(make_submission(f"b{number}", ONE, checkpoint=True, deadline=2000.0))
    cell.submit(make_submission("claim", WHOLE, claims=True))
    world.clock.advance(15.0)
    assert phase_of(cell, "claim") is JobPhase.DONE
    assert world.store.calls == calls


def test_non_idempotent_job_makes_two_store_calls(world):
    cell = world.take_over("a", 1)
    cell.submit(make_submission("first", ONE, idempotent=False))
    world.clock.advance(10.0)  # all claims of an hour share one store lease
    calls = world.store.calls
    cell.submit(make_submission("order", ONE, idempotent=False))
    world.clock.advance(10.0)
    assert phase_of(cell, "order") is JobPhase.DONE
    assert world.store.calls - calls == 2


def test_paused_owner_does_not_treat_live_workers_as_lost(world):
    cell = world.take_over("a", 1)
    cell.submit(make_submission("j", WHOLE, idempotent=False, deadline=100.0))
    world.clock.advance(1.0)
    for name in world.workers.tables:
        world.workers.silent.add(name)  # a paused process receives no answers
    world.clock.settle()
    world.clock.jump(4.0)
    world.workers.silent.clear()
    world.clock.advance(10.0)
    assert phase_of(cell, "j") is JobPhase.DONE


def test_job_is_not_refused_while_all_workers_are_silent(world):
    cell = world.take_over("a", 1)
    world.workers.silent.update(world.workers.tables)
    world.clock.advance(10.0)
    cell.submit(make_submission("j", WHOLE))
    world.clock.advance(1.0)
    world.workers.silent.clear()
    world.clock.advance(12.0)
    assert phase_of(cell, "j") is JobPhase.DONE


def test_job_larger_than_any_worker_is_refused_immediately(world):
    cell = world.take_over("a", 1)
    cell.submit(make_submission("j", attrs.evolve(WHOLE, accelerators=9)))
    report = cell.report("j", 0.0)
    assert report.phase is JobPhase.NOT_RUN
    assert "9 accelerators in one worker" in report.reason


def test_job_evicted_while_its_claim_is_written_runs_once_later(world):
    cell = world.take_over("a", 1)
    world.store.down = True
    names = [f"b{number}" for number in range(6)]
    for name in names:
        cell.submit(make_submission(name, WHOLE, idempotent=False, checkpoint=True, deadline=300.0))
    world.clock.advance(1.0)
    cell.submit(make_submission("claim", WHOLE, claims=True))
    world.clock.advance(20.0)
    world.store.down = False
    world.clock.advance(60.0)
    assert phase_of(cell, "claim") is JobPhase.DONE
    assert [phase_of(cell, name) for name in names] == [JobPhase.DONE] * 6
    assert {world.workers.executions[f"key-{name}"] for name in names} == {1}


def mark_leaving(world, cell, *names):
    leaving = [
        attrs.evolve(vm, state=VmState.LEAVING) if vm.name in names else vm for vm in world.vms
    ]
    world.vms = tuple(leaving)
    cell.set_workers(world.vms)


def test_gang_on_a_leaving_worker_finishes_and_no_gang_starts_there(world):
    cell = world.take_over("a", 1)
    cell.submit(make_submission("j", WIDE, idempotent=False))
    world.clock.advance(1.0)
    leaving = {worker for _, worker in world.workers.started}
    mark_leaving(world, cell, *leaving)
    for number in range(8):
        cell.submit(make_submission(f"n{number}", WHOLE, deadline=600.0))
    world.clock.advance(60.0)
    assert phase_of(cell, "j") is JobPhase.DONE
    assert world.workers.executions["key-j"] == 1
    assert {phase_of(cell, f"n{number}") for number in range(8)} == {JobPhase.DONE}
    others = {worker for gang, worker in world.workers.started if not gang.startswith("j.")}
    assert not others & leaving


def test_new_owner_starts_no_gang_on_leaving_workers(world):
    cell = world.take_over("a", 1)
    cell.submit(make_submission("j", WIDE, idempotent=False))
    world.clock.advance(1.0)
    leaving = {worker for _, worker in world.workers.started}
    mark_leaving(world, cell, *leaving)
    new = world.take_over("b", 2)
    new.submit(make_submission("n", WIDE, deadline=600.0))
    world.clock.advance(30.0)
    assert phase_of(new, "j") is JobPhase.DONE
    assert phase_of(new, "n") is JobPhase.DONE
    others = {worker for gang, worker in world.workers.started if gang.startswith("n.")}
    assert others and not others & leaving


def test_worker_that_stays_after_all_is_used_again(world):
    cell = world.take_over("a", 1)
    everyone = [vm.name for vm in world.vms]
    mark_leaving(world, cell, *everyone)
    cell.submit(make_submission("n", WHOLE, deadline=600.0))
    world.clock.advance(5.0)
    assert phase_of(cell, "n") is JobPhase.WAITING
    world.vms = tuple(attrs.evolve(vm, state=VmState.LIVE) for vm in world.vms)
    cell.set_workers(world.vms)
    world.clock.advance(10.0)
    assert phase_of(cell, "n") is JobPhase.DONE


def test_silent_worker_is_not_reported_as_quarantined(world):
    cell = world.take_over("a", 1)
    world.workers.silent.add("w0")
    world.clock.advance(2.5)
    scheduler = cell.driver.scheduler
    assert "w0" in scheduler.cluster.cordoned
    assert scheduler.quarantined == frozenset()


def test_worker_that_fails_every_job_is_quarantined_and_probed(world):
    cell = world.take_over("a", 1)
    scheduler = cell.driver.scheduler
    world.workers.failing.add("w0")
    for number in range(24):
        cell.submit(make_submission(f"j{number}", WHOLE, deadline=600.0))
    world.clock.advance(20.0)
    assert scheduler.quarantined == {"w0"}
    world.workers.failing.clear()
    world.clock.advance(90.0)
    assert scheduler.quarantined == frozenset()
    assert {phase_of(cell, f"j{number}") for number in range(24)} == {JobPhase.DONE}
