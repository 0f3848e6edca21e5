"""Units that a worker may still run for an earlier owner, when a new owner plans; virtual time."""

import gevent
import pytest

from standins.platform import executors
from standins.platform.executors import SubmittedJob
from standins.platform.fleet import PlatformFleet, job_id, step, wait_for_owner
from tests.test_platform_path import run

# A worker on which nothing renews a lease keeps its runs for 6 s; a new owner waits a little longer
# because the worker's clock may be slow.
HOLD_BACK_S = 8.0


class SkewedClock:
    """The fleet's clock with a time of day that is ahead of the true one."""

    def __init__(self, clock, ahead_s):
        self._clock = clock
        self._ahead_s = ahead_s

    def wall(self):
        return self._clock.wall() + self._ahead_s

    def __getattr__(self, name):
        return getattr(self._clock, name)


def executor_of(fleet, task):
    [name] = [entry.executor for entry in fleet.run_history.runs if entry.task == task]
    return next(executor for executor in fleet.executors if executor.name == name)


def cut_off(fleet, *executors):
    vms = (*fleet.http_clients, "vm0", "vm1", "vm2")
    fleet.network.cut |= {(vm, executor.entry["addr"]) for vm in vms for executor in executors}


def reconnect(fleet, executor):
    address = executor.entry["addr"]
    fleet.network.cut = {pair for pair in fleet.network.cut if pair[1] != address}


def replace_owner(fleet):
    fleet.kill(fleet.owner)
    fleet.kv.faults.down = False
    wait_for_owner(fleet)


# Guards against a second run of a step that becomes ready after a takeover by an end that is listed
# late, while a worker that does not answer runs it for the earlier owner.
@pytest.mark.parametrize("gang", [False, True])
def test_a_step_that_becomes_ready_by_an_end_listed_late_is_held_back(gang):
    fleet = PlatformFleet(executors=8)
    second_step = step(count=2, gpu=8, gang=gang, after=[0], data_rack="r1")
    steps = [step(data_rack="r0"), second_step]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps, "run_s=2", seconds=1.5)
    fleet.kv.faults.down = True
    fleet.clock.advance(1.0)
    first, *second = fleet.run_history.runs
    assert len(second) == 2
    for entry in second:
        entry.run_s = 15.0
    late = executor_of(fleet, first.task)
    cut_off(fleet, late, *(executor_of(fleet, entry.task) for entry in second))
    replace_owner(fleet)
    fleet.clock.advance(0.5)
    reconnect(fleet, late)
    fleet.clock.advance(25.0)
    fleet.network.cut = set()
    fleet.clock.advance(25.0)
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    fleet.check_invariants()


# Guards against a second run of an occurrence that an owner with a fast clock has started, and that
# the next owner finds due only after its takeover.
@pytest.mark.parametrize("worker_is_cut_off", [True, False])
def test_an_occurrence_that_becomes_due_after_a_takeover_runs_once(worker_is_cut_off):
    fleet = PlatformFleet(vms=0)
    true_clock, fleet.clock = fleet.clock, SkewedClock(fleet.clock, 4.0)
    fleet.start_vm("vm0")
    fleet.clock = true_clock
    wait_for_owner(fleet)
    fleet.start_vm("vm1")
    fleet.start_vm("vm2")
    fleet.clock.advance(1.5)
    due_ms = int((fleet.clock.wall() + 5.0) * 1000)
    body = {"spec": "run_s=20", "steps": [step()], "times": 1, "start_at_ms": due_ms}
    fleet.run_history.jobs[job_id(1)] = SubmittedJob([step()])
    path = f"/ordinary/{job_id(1)}"
    assert run(fleet, fleet.call, "vm0", "POST", path, body, seconds=1.5)[0] == 200
    [started] = fleet.run_history.runs
    assert started.started_at * 1000 < due_ms
    if worker_is_cut_off:
        cut_off(fleet, executor_of(fleet, started.task))
    replace_owner(fleet)
    assert fleet.clock.wall() * 1000 < due_ms
    fleet.clock.advance(40.0)
    fleet.network.cut = set()
    fleet.clock.advance(10.0)
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    assert worker_is_cut_off or started.outcome == "done"
    fleet.check_invariants()


# Guards against holding back steps that no earlier owner can have started, which would delay them
# by the longest lease although workers are free.
def test_a_step_whose_dependencies_still_ran_after_the_takeover_is_not_held_back(fleet):
    steps = [step(), step(gpu=8, after=[0])]
    other = [step(gpu=8)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(2), other, "run_s=30", seconds=0.5)
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps, "run_s=4", seconds=0.5)
    cut_off(fleet, executor_of(fleet, f"{job_id(2)}.0.0.0"))
    replace_owner(fleet)
    fleet.clock.advance(5.0)
    [first] = [r for r in fleet.run_history.runs if r.task == f"{job_id(1)}.0.0.0"]
    [second] = [r for r in fleet.run_history.runs if r.task == f"{job_id(1)}.0.1.0"]
    assert second.started_at - first.ended_at < 0.5


# Guards against units that stay held back for good once the silent workers answer or lapse.
def test_a_held_back_step_starts_once_the_leases_of_silent_workers_have_lapsed(fleet):
    steps = [step(), step(gpu=8, after=[0])]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps, "run_s=2", seconds=1.5)
    late, silent = executor_of(fleet, f"{job_id(1)}.0.0.0"), fleet.executors[3]
    assert late is not silent
    cut_off(fleet, late, silent)
    replace_owner(fleet)
    fleet.clock.advance(1.0)
    reconnect(fleet, late)
    fleet.clock.advance(1.5)
    assert len(fleet.run_history.runs) == 1
    fleet.clock.advance(HOLD_BACK_S)
    assert len(fleet.run_history.runs) == 2
    fleet.clock.advance(3.0)
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    fleet.check_invariants()


# Guards against running steps again of which only the ends of later steps are left to tell that
# they are done.
@pytest.mark.parametrize("spec", ["run_s=0.5", "run_s=0.5 fail=1"])
def test_a_listed_end_shows_that_the_steps_before_it_are_done(spec):
    fleet = PlatformFleet(executors=8)
    steps = [step(data_rack="r0"), step(data_rack="r1", after=[0]), step(data_rack="r2", after=[1])]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps, "run_s=0.5", seconds=0.3)
    fleet.kv.faults.down = True
    fleet.clock.advance(1.0)
    first, second, third = fleet.run_history.runs
    third.fails = "fail" in spec
    for entry in (first, second):
        worker = executor_of(fleet, entry.task)
        worker.exit()
        fleet.operator.unregister(worker)
    fleet.kill(fleet.owner)
    fleet.clock.advance(0.5)
    fleet.kv.faults.down = False
    wait_for_owner(fleet)
    fleet.clock.advance(12.0)
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    tasks = [entry.task for entry in fleet.run_history.runs[3:]]
    assert tasks == ([third.task] if third.fails else [])


@pytest.fixture
def slow_stops(monkeypatch):
    """Let workers take as long for a stop as the platform allows them to, 0.9 s."""
    monkeypatch.setattr(executors, "STOP_DURATION_S", 0.9)
    monkeypatch.setattr(executors, "DISTINCT_STOP_TIMES", 1)


def start_gang(fleet, members, run_s=12):
    """Start a gang that takes whole workers, and return its workers."""
    gang = [step(count=members, gpu=8, gang=True)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), gang, f"run_s={run_s}", seconds=1.0)
    assert len(fleet.run_history.runs) == members
    return [executor_of(fleet, entry.task) for entry in fleet.run_history.runs]


def outcomes(fleet):
    return [entry.outcome for entry in fleet.run_history.runs]


# Guards against a gang that runs twice: its workers answer a new owner late, their runs are
# stopped, and the gang is started on other workers before those stops have taken effect.
@pytest.mark.parametrize("delays_s", [(1.0, 1.0), (0.5, 2.0)])
def test_a_gang_whose_workers_answer_a_new_owner_late_continues(slow_stops, delays_s):
    fleet = PlatformFleet(vms=3, executors=8)
    workers = start_gang(fleet, 2)
    cut_off(fleet, *workers)
    replace_owner(fleet)
    for worker, delay_s in zip(workers, delays_s, strict=True):
        fleet.clock.advance(delay_s)
        reconnect(fleet, worker)
    fleet.clock.advance(15.0)
    fleet.check_invariants()
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    assert outcomes(fleet) == ["done", "done"]


# Guards against the same while the orders to stop the late runs are lost.
def test_a_gang_starts_again_only_once_its_late_members_have_ended(slow_stops):
    fleet = PlatformFleet(vms=3, executors=8)
    first, second, third = start_gang(fleet, 3)
    cut_off(fleet, second, third)
    replace_owner(fleet)
    first.crash()
    fleet.operator.register(first)
    fleet.clock.advance(1.0)
    for worker in (second, third):
        fleet.network.lost_orders.add(worker.name)
        reconnect(fleet, worker)
    fleet.clock.advance(12.0)
    fleet.network.lost_orders.clear()
    fleet.clock.advance(25.0)
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    fleet.check_invariants()


# Guards against a gang that waits for good because only some of its members had been started.
def test_a_gang_that_was_started_in_part_runs_once_its_workers_answer(slow_stops):
    fleet = PlatformFleet(vms=3, executors=8)
    orders_lost_at = fleet.executors[1]
    fleet.network.lost_orders.add(orders_lost_at.name)
    gang = [step(count=2, gpu=8, gang=True, data_rack="r0")]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), gang, "run_s=2", seconds=0.3)
    [started] = fleet.run_history.runs
    cut_off(fleet, orders_lost_at, executor_of(fleet, started.task))
    replace_owner(fleet)
    fleet.network.lost_orders.clear()
    fleet.clock.advance(1.0)
    fleet.network.cut = set()
    fleet.clock.advance(20.0)
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    fleet.check_invariants()


# Guards against starting other work in the room of a member that was found late.
def test_the_room_of_a_member_that_was_found_late_is_taken():
    fleet = PlatformFleet(vms=3)
    workers = start_gang(fleet, 2)
    cut_off(fleet, workers[1])
    replace_owner(fleet)
    fleet.clock.advance(1.0)
    fleet.network.cut = set()
    fleet.clock.advance(4.0)
    before = fleet.network.call_counts["/run-start"]
    more = [step(count=4, gpu=8)]
    run(fleet, fleet.submit, fleet.owner, "ordinary", job_id(2), more, "run_s=1", seconds=0.5)
    assert fleet.network.call_counts["/run-start"] == before + 2


# Guards against stopping a run that is found while its unit waits in the queue, and starting the
# unit before that run has ended.
def test_a_run_that_is_found_while_its_unit_is_queued_continues(slow_stops):
    fleet = PlatformFleet(vms=3)
    [worker] = start_gang(fleet, 1)
    rows = [{"id": executor.name} for executor in fleet.executors if executor is not worker]
    fleet.network.list_machines = lambda path: (200, {"machines": rows})
    fleet.operator.unregister(worker)
    cut_off(fleet, worker)
    others = [step(count=3, gpu=8)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(2), others, "run_s=5", seconds=0.2)
    replace_owner(fleet)
    fleet.clock.advance(1.0)
    reconnect(fleet, worker)
    fleet.operator.register(worker)
    fleet.clock.advance(15.0)
    fleet.check_invariants()
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    assert outcomes(fleet)[0] == "done"


# Guards against placing waiting units on a worker that has just answered, before the runs that it
# lists are counted: beyond the limit of the step, or on room that is taken.
def test_a_worker_that_answers_late_gets_no_work_beside_its_runs():
    fleet = PlatformFleet(vms=3)
    steps = [step(count=8, gpu=2, max_per_server=2)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps, "run_s=12", seconds=1.0)
    late = fleet.executors[3]
    kept = [entry for entry in fleet.run_history.runs if entry.executor == late.name]
    assert len(kept) == 2
    cut_off(fleet, late)
    replace_owner(fleet)
    fleet.clock.advance(0.5)
    urgent = [step(count=3, gpu=8)]
    run(fleet, fleet.submit, "vm1", "urgent", job_id(2), urgent, "run_s=8", seconds=1.0)
    assert len([entry for entry in fleet.run_history.runs if entry.outcome == "stopped"]) == 6
    reconnect(fleet, late)
    fleet.clock.advance(2.0)
    assert [entry for entry in fleet.run_history.runs if entry.executor == late.name] == kept
    fleet.clock.advance(30.0)
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    fleet.check_invariants()


def lose_polls_after_report(fleet, worker):
    """Lose the polls of a worker, and the store for a second, once the worker has answered one."""
    handle = worker.handle

    def handle_and_lose(path, headers, body):
        answer = handle(path, headers, body)
        if path == "/hold":
            worker.handle = handle
            fleet.network.lost_holds[worker.name] = 1000
            fleet.kv.faults.down = True
            gevent.spawn(restore_store)
        return answer

    def restore_store():
        fleet.clock.sleep(1.0)
        fleet.kv.faults.down = False

    worker.handle = handle_and_lose


# Guards against giving up the runs that a worker has listed to a new owner, before the leases end
# that an earlier owner has given them: their worker fails an order before the first extension.
def test_listed_runs_keep_the_leases_of_the_earlier_owner():
    fleet = PlatformFleet(vms=3)
    others = [step(count=3, gpu=8)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(9), others, "run_s=3", seconds=0.5)
    for number, length_s in ((1, 20), (2, 20), (3, 1)):
        args = ("vm0", "ordinary", job_id(number), [step()], f"run_s={length_s}")
        run(fleet, fleet.submit, *args, seconds=0.3)
    worker = executor_of(fleet, f"{job_id(1)}.0.0.0")
    assert {executor_of(fleet, f"{job_id(number)}.0.0.0") for number in (2, 3)} == {worker}
    fleet.network.reset_orders.add(worker.name)
    run(fleet, fleet.call, fleet.owner, "DELETE", f"/ordinary/{job_id(2)}", seconds=0.5)
    fleet.kill(fleet.owner)
    lose_polls_after_report(fleet, worker)
    wait_for_owner(fleet)
    fleet.clock.advance(30.0)
    fleet.network.lost_holds.clear()
    fleet.network.reset_orders.clear()
    fleet.clock.advance(30.0)
    fleet.check_invariants()
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"


# Guards against a gang that is never started again, and an urgent job that waits for its room for
# good: the gang is evicted while its second member is being adopted.
def test_a_gang_that_is_evicted_when_its_last_member_is_found_starts_again():
    fleet = PlatformFleet(vms=3)
    gang = [step(count=2, gpu=8, gang=True)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), gang, "run_s=20", seconds=0.5)
    others = [step(count=2, gpu=8)]
    run(fleet, fleet.submit, "vm0", "urgent", job_id(9), others, "run_s=30", seconds=0.5)
    workers = [executor_of(fleet, f"{job_id(1)}.0.0.{index}") for index in range(2)]
    cut_off(fleet, *workers)
    replace_owner(fleet)
    fleet.clock.advance(0.5)
    reconnect(fleet, workers[0])
    fleet.clock.advance(0.6)
    urgent = [step(count=2, gpu=8, gang=True, est_runtime_ms=20000)]
    run(fleet, fleet.submit, "vm1", "urgent", job_id(2), urgent, "run_s=5", seconds=0.3)
    reconnect(fleet, workers[1])
    fleet.clock.advance(90.0)
    for number, queue in ((1, "ordinary"), (2, "urgent")):
        assert run(fleet, fleet.state, fleet.owner, queue, job_id(number)) == "completed"
    fleet.check_invariants()
