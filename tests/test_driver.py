"""Tests of the cell driver on virtual time: starts, claims, lost workers, fencing and recovery."""

import attrs
import gevent
import pytest
from fakes import FakeStore, FakeWorkers, make_workers

from lacewingmill.cells.cell import Cell
from lacewingmill.cells.claim_journal import ClaimJournal
from lacewingmill.cells.driver import CellDependencies
from lacewingmill.cells.messages import JobPhase, SubmitJob
from lacewingmill.events import EventLog
from lacewingmill.exceptions import JobRefused, NotOwner
from lacewingmill.models import Adjacency, Fence, Guarantee, Service, Shape, Team, VmState
from lacewingmill.scheduling.messages import Job
from lacewingmill.scheduling.scheduler import Scheduler
from standins.virtual_clock import VirtualClock

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
        call = gevent.spawn(cell.take_over, Fence(epoch, 0))
        self.clock.settle()
        while not call.ready():  # a silent worker holds the recovery up
            self.clock.advance(0.5)
        assert call.get()
        self.clock.advance(0.5)
        return cell


def make_submission(name, shape, *, idempotent=True, checkpoint=False, claims=False, deadline=60.0):
    job = Job(name, "svc", "t", shape, claims, idempotent, checkpoint, 0.0)
    return SubmitJob(job, f"key-{name}", b"{}", "application/json", deadline)


def phase_of(cell, name):
    return cell.report(name, 0.0).phase


@pytest.fixture
def harness():
    return Harness()


def test_gang_on_two_workers_runs_and_answers(harness):
    cell = harness.take_over("a", 1)
    cell.submit(make_submission("j", WIDE))
    harness.clock.advance(8.0)
    report = cell.report("j", 0.0)
    assert report.phase is JobPhase.DONE
    assert report.answer.body == b"answer to key-j"
    assert len({worker for _, worker in harness.workers.started}) == 2


def test_start_on_a_silent_worker_releases_all_members_and_runs_elsewhere(harness):
    cell = harness.take_over("a", 1)
    harness.workers.silent.add("w0")
    cell.submit(make_submission("j", WIDE))
    harness.clock.advance(15.0)
    assert phase_of(cell, "j") is JobPhase.DONE
    held = [
        row
        for name, table in harness.workers.tables.items()
        if name != "w0"
        for row in table.rows.values()
        if row.state in ("leased", "running")
    ]
    assert held == []


def test_worker_lost_while_a_gang_runs_stops_all_members_and_runs_the_gang_again(harness):
    cell = harness.take_over("a", 1)
    cell.submit(make_submission("j", WIDE))
    harness.clock.advance(1.0)
    first = {worker for _, worker in harness.workers.started}
    harness.workers.silent.add(sorted(first)[1])
    harness.clock.advance(20.0)
    assert phase_of(cell, "j") is JobPhase.DONE
    assert harness.workers.executions["key-j"] == 2


def test_non_idempotent_gang_on_a_lost_worker_is_unknown_and_does_not_run_again(harness):
    cell = harness.take_over("a", 1)
    cell.submit(make_submission("j", WIDE, idempotent=False))
    harness.clock.advance(1.0)
    first = {worker for _, worker in harness.workers.started}
    harness.workers.silent.add(sorted(first)[1])
    harness.clock.advance(30.0)
    assert phase_of(cell, "j") is JobPhase.UNKNOWN
    assert harness.workers.executions["key-j"] == 1


def test_non_idempotent_gang_does_not_run_again_after_a_lost_start_answer(harness):
    cell = harness.take_over("a", 1)
    harness.workers.losing_responses.update(harness.workers.tables)
    cell.submit(make_submission("j", WHOLE, idempotent=False))
    harness.clock.advance(2.5)
    harness.workers.losing_responses.clear()
    harness.clock.advance(40.0)
    assert harness.workers.executions.get("key-j", 0) <= 1


def test_store_outage_rejects_non_idempotent_jobs_and_runs_the_others(harness):
    cell = harness.take_over("a", 1)
    harness.store.down = True
    cell.submit(make_submission("order", WHOLE, idempotent=False, deadline=5.0))
    cell.submit(make_submission("look", ONE))
    harness.clock.advance(10.0)
    assert phase_of(cell, "order") is JobPhase.NOT_RUN
    assert phase_of(cell, "look") is JobPhase.DONE
    assert "key-order" not in harness.workers.executions


def test_lost_store_answer_of_a_claim_is_resolved_by_reading_it_back(harness):
    cell = harness.take_over("a", 1)
    harness.store.lose_writes = 1
    cell.submit(make_submission("order", WHOLE, idempotent=False))
    harness.clock.advance(10.0)
    assert phase_of(cell, "order") is JobPhase.DONE
    assert harness.workers.executions["key-order"] == 1


def test_new_owner_adopts_running_gangs_and_the_old_owner_is_fenced(harness):
    old = harness.take_over("a", 1)
    old.submit(make_submission("j", WIDE, idempotent=False))
    harness.clock.advance(1.0)
    new = harness.take_over("b", 2)
    harness.clock.advance(2.0)
    with pytest.raises(NotOwner):
        old.report("j", 0.0)
    new.submit(make_submission("j", WIDE, idempotent=False))
    harness.clock.advance(8.0)
    assert phase_of(new, "j") is JobPhase.DONE
    assert harness.workers.executions["key-j"] == 1


def test_claim_of_an_earlier_owner_is_replaced_if_nothing_ran(harness):
    old = harness.take_over("a", 1)
    harness.workers.silent.update(
        harness.workers.tables
    )  # the orders of the old owner do not arrive
    old.submit(make_submission("j", WHOLE, idempotent=False))
    harness.clock.settle()
    old.stop_driver()
    harness.workers.silent.clear()
    new = harness.take_over("b", 2)
    new.submit(make_submission("j", WHOLE, idempotent=False))
    harness.clock.advance(10.0)
    assert phase_of(new, "j") is JobPhase.DONE
    assert harness.workers.executions["key-j"] == 1


def test_repeated_idempotency_key_gets_the_first_answer(harness):
    old = harness.take_over("a", 1)
    old.submit(make_submission("j", WHOLE, idempotent=False))
    harness.clock.advance(10.0)
    for table in harness.workers.tables.values():
        table.rows.clear()  # only the claim in the store remains
    new = harness.take_over("b", 2)
    new.submit(make_submission("j", WHOLE, idempotent=False))
    harness.clock.advance(10.0)
    report = new.report("j", 0.0)
    assert report.phase is JobPhase.DONE
    assert report.answer.body == b"answer to key-j"
    assert harness.workers.executions["key-j"] == 1


def test_guaranteed_job_starts_in_a_full_cluster_with_a_silent_worker(harness):
    cell = harness.take_over("a", 1)
    harness.workers._run_s = 1000.0
    for number in range(48):
        cell.submit(make_submission(f"b{number}", ONE, checkpoint=True, deadline=2000.0))
    harness.clock.advance(2.0)
    assert cell.driver.scheduler.cluster.free_accelerators == 0
    harness.workers.silent.add("w3")
    cell.submit(make_submission("claim", WHOLE, claims=True))
    submitted = harness.clock.now()
    while phase_of(cell, "claim") is not JobPhase.RUNNING:
        harness.clock.advance(0.1)
        assert harness.clock.now() - submitted <= 5.6


def test_guaranteed_and_idempotent_jobs_make_no_store_call(harness):
    cell = harness.take_over("a", 1)
    cell.submit(make_submission("look", ONE))
    harness.clock.advance(1.0)
    calls = harness.store.calls
    harness.store.down = True
    for number in range(48):
        cell.submit(make_submission(f"b{number}", ONE, checkpoint=True, deadline=2000.0))
    cell.submit(make_submission("claim", WHOLE, claims=True))
    harness.clock.advance(15.0)
    assert phase_of(cell, "claim") is JobPhase.DONE
    assert harness.store.calls == calls


def test_non_idempotent_job_makes_two_store_calls(harness):
    cell = harness.take_over("a", 1)
    cell.submit(make_submission("first", ONE, idempotent=False))
    harness.clock.advance(10.0)  # all claims of an hour share one store lease
    calls = harness.store.calls
    cell.submit(make_submission("order", ONE, idempotent=False))
    harness.clock.advance(10.0)
    assert phase_of(cell, "order") is JobPhase.DONE
    assert harness.store.calls - calls == 2


def test_paused_owner_does_not_treat_live_workers_as_lost(harness):
    cell = harness.take_over("a", 1)
    cell.submit(make_submission("j", WHOLE, idempotent=False, deadline=100.0))
    harness.clock.advance(1.0)
    for name in harness.workers.tables:
        harness.workers.silent.add(name)  # a paused process receives no answers
    harness.clock.settle()
    harness.clock.jump(4.0)
    harness.workers.silent.clear()
    harness.clock.advance(10.0)
    assert phase_of(cell, "j") is JobPhase.DONE


def test_job_is_not_refused_while_all_workers_are_silent(harness):
    cell = harness.take_over("a", 1)
    harness.workers.silent.update(harness.workers.tables)
    harness.clock.advance(10.0)
    cell.submit(make_submission("j", WHOLE))
    harness.clock.advance(1.0)
    harness.workers.silent.clear()
    harness.clock.advance(12.0)
    assert phase_of(cell, "j") is JobPhase.DONE


def test_job_larger_than_any_worker_is_refused_immediately(harness):
    cell = harness.take_over("a", 1)
    cell.submit(make_submission("j", attrs.evolve(WHOLE, accelerators=9)))
    report = cell.report("j", 0.0)
    assert report.phase is JobPhase.NOT_RUN
    assert "9 accelerators in one worker" in report.reason


def test_job_evicted_while_its_claim_is_written_runs_once_later(harness):
    cell = harness.take_over("a", 1)
    harness.store.down = True
    names = [f"b{number}" for number in range(6)]
    for name in names:
        cell.submit(make_submission(name, WHOLE, idempotent=False, checkpoint=True, deadline=300.0))
    harness.clock.advance(1.0)
    cell.submit(make_submission("claim", WHOLE, claims=True))
    harness.clock.advance(20.0)
    harness.store.down = False
    harness.clock.advance(60.0)
    assert phase_of(cell, "claim") is JobPhase.DONE
    assert [phase_of(cell, name) for name in names] == [JobPhase.DONE] * 6
    assert {harness.workers.executions[f"key-{name}"] for name in names} == {1}


def mark_leaving(harness, cell, *names):
    leaving = [
        attrs.evolve(vm, state=VmState.LEAVING) if vm.name in names else vm for vm in harness.vms
    ]
    harness.vms = tuple(leaving)
    cell.set_workers(harness.vms)


def test_gang_on_a_leaving_worker_finishes_and_no_gang_starts_there(harness):
    cell = harness.take_over("a", 1)
    cell.submit(make_submission("j", WIDE, idempotent=False))
    harness.clock.advance(1.0)
    leaving = {worker for _, worker in harness.workers.started}
    mark_leaving(harness, cell, *leaving)
    for number in range(8):
        cell.submit(make_submission(f"n{number}", WHOLE, deadline=600.0))
    harness.clock.advance(60.0)
    assert phase_of(cell, "j") is JobPhase.DONE
    assert harness.workers.executions["key-j"] == 1
    assert {phase_of(cell, f"n{number}") for number in range(8)} == {JobPhase.DONE}
    others = {worker for gang, worker in harness.workers.started if not gang.startswith("j.")}
    assert not others & leaving


def test_new_owner_starts_no_gang_on_leaving_workers(harness):
    cell = harness.take_over("a", 1)
    cell.submit(make_submission("j", WIDE, idempotent=False))
    harness.clock.advance(1.0)
    leaving = {worker for _, worker in harness.workers.started}
    mark_leaving(harness, cell, *leaving)
    new = harness.take_over("b", 2)
    new.submit(make_submission("n", WIDE, deadline=600.0))
    harness.clock.advance(30.0)
    assert phase_of(new, "j") is JobPhase.DONE
    assert phase_of(new, "n") is JobPhase.DONE
    others = {worker for gang, worker in harness.workers.started if gang.startswith("n.")}
    assert others and not others & leaving


def test_worker_that_stays_after_all_is_used_again(harness):
    cell = harness.take_over("a", 1)
    everyone = [vm.name for vm in harness.vms]
    mark_leaving(harness, cell, *everyone)
    cell.submit(make_submission("n", WHOLE, deadline=600.0))
    harness.clock.advance(5.0)
    assert phase_of(cell, "n") is JobPhase.WAITING
    harness.vms = tuple(attrs.evolve(vm, state=VmState.LIVE) for vm in harness.vms)
    cell.set_workers(harness.vms)
    harness.clock.advance(10.0)
    assert phase_of(cell, "n") is JobPhase.DONE


def test_silent_worker_is_not_reported_as_quarantined(harness):
    cell = harness.take_over("a", 1)
    harness.workers.silent.add("w0")
    harness.clock.advance(2.5)
    scheduler = cell.driver.scheduler
    assert "w0" in scheduler.cluster.cordoned
    assert scheduler.quarantined == frozenset()


def test_worker_that_fails_every_job_is_quarantined_and_probed(harness):
    cell = harness.take_over("a", 1)
    scheduler = cell.driver.scheduler
    harness.workers.failing.add("w0")
    for number in range(24):
        cell.submit(make_submission(f"j{number}", WHOLE, deadline=600.0))
    harness.clock.advance(20.0)
    assert scheduler.quarantined == {"w0"}
    harness.workers.failing.clear()
    harness.clock.advance(90.0)
    assert scheduler.quarantined == frozenset()
    assert {phase_of(cell, f"j{number}") for number in range(24)} == {JobPhase.DONE}


# Guards against telling a caller that nothing has run although one member of a gang did, before the
# gang was given up because another member could not be started.
def test_a_cancelled_job_of_which_a_member_ran_is_not_called_not_run(harness):
    cell = harness.take_over("vm0", 1)
    start = harness.workers.start

    def start_or_fail(worker, order, *, timeout_s):
        if order.rank:
            raise JobRefused("no room", peer=worker.name)
        start(worker, order, timeout_s=timeout_s)

    harness.workers.start = start_or_fail
    cell.submit(make_submission("j", WIDE, deadline=6.0))
    harness.clock.advance(10.0)
    assert harness.workers.executions
    assert phase_of(cell, "j") is JobPhase.UNKNOWN


# Guards against a job called not run by an owner that cannot know it: its gang runs on a worker
# that does not answer, or ran under the owner before.
@pytest.mark.parametrize("silent", [True, False])
def test_a_new_owner_calls_an_expired_job_not_run_only_if_no_worker_can_have_run_it(
    harness, silent
):
    first = harness.take_over("vm0", 1)
    first.submit(make_submission("ran", ONE))
    harness.clock.advance(1.0)
    ran_on = harness.workers.started[0][1]
    if silent:
        harness.workers.silent.add(ran_on)
    else:
        first.cancel("ran")
        harness.clock.advance(1.0)
    first.stop_driver()
    second = harness.take_over("vm1", 2)
    for name in ("ran", "waited"):
        submission = make_submission(name, ONE, deadline=0.0)
        second.submit(attrs.evolve(submission, sent_before=True))
    assert phase_of(second, "ran") is JobPhase.UNKNOWN
    assert phase_of(second, "waited") is (JobPhase.UNKNOWN if silent else JobPhase.NOT_RUN)
    harness.clock.advance(5.0)
    assert len(harness.workers.started) == 1
