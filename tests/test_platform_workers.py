"""Workers that restart, leave or do not answer, and late or lost orders, on virtual time."""

import json

import pytest

from standins.platform import configuration
from standins.platform.executors import SubmittedJob
from standins.platform.fleet import PlatformFleet, job_id, step, wait_for_owner
from tests.test_platform_path import run


def test_the_end_of_a_stopped_run_is_seen_soon_after_a_lost_poll(fleet):
    """An urgent gang waits for evicted runs; a lost poll must not delay it by a whole long poll."""
    fleet.operator.configure(configuration(2, quota=16))
    run(fleet, fleet.submit, "vm0", "patient", job_id(1), [step(count=32)], "run_s=60")
    gang = [step(count=2, gpu=8, gang=True)]
    run(fleet, fleet.submit, "vm0", "urgent", job_id(2), gang, "run_s=1", seconds=0.15)
    for executor in fleet.executors:
        fleet.network.lost_holds[executor.name] = 1
    fleet.clock.advance(2.85)
    assert run(fleet, fleet.state, "vm0", "urgent", job_id(2), seconds=0.1) == "completed"


def test_urgent_claims_never_wait_for_each_other(fleet):
    """A claim within the quota must not count on accelerators for which one beyond it waits."""
    fleet.operator.configure(configuration(2, quota=16))
    run(fleet, fleet.submit, "vm0", "patient", job_id(1), [step(count=32)], "run_s=60")
    gang = [step(count=2, gpu=8, gang=True, est_runtime_ms=20000)]
    for number in range(2, 6):
        run(fleet, fleet.submit, "vm0", "urgent", job_id(number), gang, "run_s=2", seconds=0.01)
    fleet.clock.advance(20.0)
    for number in range(2, 6):
        assert run(fleet, fleet.state, "vm0", "urgent", job_id(number)) == "completed"


def test_a_start_that_takes_effect_late_runs_no_task_twice(fleet):
    slow = fleet.executors[0]
    fleet.network.late_orders[slow.name] = 3.0
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step(count=4, gpu=8)], "run_s=3")
    fleet.clock.advance(3.0)
    fleet.network.late_orders.clear()
    fleet.clock.advance(20.0)
    assert run(fleet, fleet.state, "vm0", "ordinary", job_id(1)) == "completed"
    fleet.check_invariants()


def test_a_worker_that_restarts_under_its_id_loses_what_it_ran(fleet):
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step(count=4, gpu=8)], "run_s=8")
    fleet.executors[1].crash()
    fleet.operator.register(fleet.executors[1])
    fleet.clock.advance(20.0)
    assert run(fleet, fleet.state, "vm0", "ordinary", job_id(1)) == "completed"
    assert len(fleet.run_history.runs) == 5
    fleet.check_invariants()


def test_runs_started_after_an_unnoticed_restart_continue(fleet):
    """An idle worker is not polled, so its restart is noticed only after new runs have started."""
    for executor in fleet.executors:
        executor.crash()
        fleet.operator.register(executor)
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step(count=4, gpu=8)], "run_s=6")
    fleet.clock.advance(12.0)
    assert run(fleet, fleet.state, "vm0", "ordinary", job_id(1)) == "completed"
    assert [r.outcome for r in fleet.run_history.runs] == ["done"] * 4
    fleet.check_invariants()


def test_an_orphaned_run_is_stopped_once(fleet):
    """The worker has no other work, so it is polled repeatedly until the run has ended."""
    executor = fleet.executors[0]
    fleet.run_history.jobs[job_id(9)] = SubmittedJob([step(count=4)])
    order = {"task": f"{job_id(9)}.0.0.3", "run": 1, "spec": "run_s=9", "deadline_ms": 10**9}
    executor.handle("/run-start", {}, json.dumps(order | {"fence": executor.fence}).encode())
    steps = [step(count=4, gpu=7)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps, "run_s=0.01", seconds=4.0)
    assert fleet.run_history.runs[0].outcome == "stopped"
    assert fleet.network.call_counts["/run-stop"] == 1


def test_runs_on_a_silent_worker_are_replaced_once_their_leases_lapse(fleet):
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step(count=4, gpu=8)], "run_s=15")
    silent = fleet.executors[2]
    fleet.network.cut.add((fleet.owner, silent.entry["addr"]))
    fleet.clock.advance(40.0)
    fleet.network.cut.clear()
    assert run(fleet, fleet.state, "vm0", "ordinary", job_id(1)) == "completed"
    assert [r.outcome for r in fleet.run_history.runs if r.executor == silent.name][0] == "lapsed"
    fleet.check_invariants()


def test_a_start_without_an_answer_is_repeated_with_its_run_number(fleet):
    """A lost answer must not fail a whole gang; the worker starts the same run only once."""
    gang = [step(count=4, gpu=8, gang=True)]
    for executor in fleet.executors:
        fleet.network.lost_responses[executor.name] = 2
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), gang, "run_s=2")
    fleet.clock.advance(4.0)
    assert run(fleet, fleet.state, "vm0", "ordinary", job_id(1)) == "completed"
    assert [(r.number, r.outcome) for r in fleet.run_history.runs] == [(1, "done")] * 4


def test_a_worker_is_polled_although_no_start_on_it_was_answered(fleet):
    """The gang may end because of its other members, and the owner must see the end here too."""
    gang = [step(count=4, gpu=8, gang=True)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), gang, "run_s=0.1")
    fleet.clock.advance(5.0)
    fleet.network.lost_responses[fleet.executors[2].name] = 4
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(2), gang, "run_s=0.2")
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(3), gang, "run_s=0.2")
    fleet.clock.advance(5.0)
    for number in (2, 3):
        assert run(fleet, fleet.state, "vm0", "ordinary", job_id(number)) == "completed"


def fleet_with_leaving_worker(delays_s):
    """Return a fleet whose first worker is leaving, and its runs, which end after ``delays_s``."""
    fleet = PlatformFleet(vms=1, executors=1)
    wait_for_owner(fleet)
    steps = [step(count=len(delays_s))]
    run(fleet, fleet.submit, "vm0", "patient", job_id(1), steps, "run_s=5", seconds=1.0)
    fleet.operator.register(fleet.executors[0], state="draining")
    fleet.executors.append(fleet.add_executor(1))
    fleet.clock.advance(2.0)
    for entry, delay_s in zip(fleet.run_history.runs, delays_s, strict=True):
        entry.run_s = fleet.clock.now() - entry.work_started_at + delay_s
    return fleet, list(fleet.run_history.runs)


def exit_after(fleet, seconds):
    """Let the first worker exit after a time, in seconds."""
    worker = fleet.executors[0]
    for _ in range(round(seconds / 0.05)):
        fleet.clock.advance(0.05)
        worker.advance()
    worker.exit()
    fleet.operator.unregister(worker)
    fleet.clock.advance(1.0)


# Guards against a task that runs twice because the worker listed its end, and exited, while an
# earlier end was being stored.
def test_an_end_on_a_leaving_worker_is_received_while_an_earlier_one_is_stored():
    fleet, runs = fleet_with_leaving_worker((0.1, 0.2))
    fleet.kv.faults.slow_s = 0.6
    exit_after(fleet, 0.4)
    assert [r.outcome for r in runs] == ["done", "done"]
    fleet.kv.faults.slow_s = 0.0
    fleet.clock.advance(12.0)
    assert len(fleet.run_history.runs) == 2
    assert run(fleet, fleet.state, "vm0", "patient", job_id(1)) == "completed"


# Guards against a task that runs twice because the worker listed its end, and exited, just after a
# poll had failed.
def test_an_end_on_a_leaving_worker_is_received_after_a_failed_poll():
    fleet, runs = fleet_with_leaving_worker((0.1, 0.2))
    fleet.network.reset_holds[fleet.executors[0].name] = 1
    exit_after(fleet, 0.3)
    assert [r.outcome for r in runs] == ["done", "done"]
    fleet.clock.advance(12.0)
    assert len(fleet.run_history.runs) == 2
    assert run(fleet, fleet.state, "vm0", "patient", job_id(1)) == "completed"


# Guards against a task that runs twice because a new owner discarded each answer of a slow worker,
# and with the last one the end of the task.
def test_a_new_owner_hears_a_worker_that_answers_slowly():
    fleet = PlatformFleet(vms=2, executors=2)
    wait_for_owner(fleet)
    worker = fleet.executors[0]
    steps = [step(count=2, gpu=8)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps, "run_s=6", seconds=1.0)
    fleet.operator.register(worker, state="draining")
    fleet.network.slow_servers[worker.entry["addr"]] = 0.5
    fleet.kill(fleet.owner)
    fleet.clock.advance(9.0)
    worker.exit()
    fleet.operator.unregister(worker)
    fleet.clock.advance(20.0)
    assert [entry.outcome for entry in fleet.run_history.runs] == ["done", "done"]
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"


# Guards against giving up the runs of a worker that answers, but later than polls usually wait.
def test_the_runs_of_a_worker_that_answers_slowly_continue():
    fleet = PlatformFleet(vms=1, executors=2)
    wait_for_owner(fleet)
    steps = [step(count=2, gpu=8)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps, "run_s=20", seconds=1.0)
    fleet.network.slow_servers[fleet.executors[0].entry["addr"]] = 1.0
    fleet.clock.advance(26.0)
    assert [entry.outcome for entry in fleet.run_history.runs] == ["done", "done"]
    assert run(fleet, fleet.state, "vm0", "ordinary", job_id(1)) == "completed"


def fleet_with_unlisted_draining_worker():
    """Return a fleet and a draining worker that runs a task, answers and is no longer registered.

    The platform removes an entry when the worker exits, and also when it could not renew it.
    """
    fleet = PlatformFleet(vms=1, executors=3)
    wait_for_owner(fleet)
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step()], "run_s=11", seconds=1.0)
    name = fleet.run_history.runs[0].executor
    worker = next(executor for executor in fleet.executors if executor.name == name)
    fleet.operator.register(worker, state="draining")
    fleet.clock.advance(4.5)
    fleet.operator.unregister(worker)
    fleet.clock.advance(1.0)
    return fleet, worker


# Guards against giving up a draining worker at the first failed call of any kind, because its entry
# was removed: the entry may have lapsed while the worker runs on.
@pytest.mark.parametrize("fault", ["reset_holds", "lost_holds", "refused_holds"])
def test_the_run_of_an_unlisted_draining_worker_continues_after_a_failed_call(fault):
    fleet, worker = fleet_with_unlisted_draining_worker()
    getattr(fleet.network, fault)[worker.name] = 1
    fleet.clock.advance(12.0)
    assert [entry.outcome for entry in fleet.run_history.runs] == ["done"]
    assert run(fleet, fleet.state, "vm0", "ordinary", job_id(1)) == "completed"


# Guards against the same while the machine list is unavailable or names no worker that answers.
@pytest.mark.parametrize("machines", ["down", "of another platform"])
def test_an_unlisted_worker_is_not_lost_by_a_machine_list_that_tells_nothing(machines):
    fleet, worker = fleet_with_unlisted_draining_worker()
    if machines == "down":
        fleet.network.machines_down = True
    else:
        fleet.network.list_machines = lambda path: (200, {"machines": [{"id": "i-99"}]})
    fleet.network.reset_holds[worker.name] = 1
    fleet.clock.advance(12.0)
    assert [entry.outcome for entry in fleet.run_history.runs] == ["done"]


# Guards against waiting for the end of a lease although no machine runs the worker any more.
def test_the_run_of_a_worker_that_has_left_restarts_at_once():
    fleet, worker = fleet_with_unlisted_draining_worker()
    worker.exit()
    fleet.clock.advance(2.0)
    assert [entry.outcome for entry in fleet.run_history.runs] == ["exited", ""]


# Guards against taking a worker for gone by a machine list that is older than its last answer.
def test_a_worker_that_restarted_after_the_machine_list_was_read_is_not_lost():
    fleet, worker = fleet_with_unlisted_draining_worker()
    other = next(each for each in fleet.executors if each is not worker)
    steps = [step(count=2, gpu=8)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(2), steps, "run_s=30", seconds=0.1)
    list_machines = fleet.network.list_machines
    rows = [{"id": each.name} for each in fleet.executors if each not in (worker, other)]
    fleet.network.list_machines = lambda path: (200, {"machines": rows})
    fleet.operator.unregister(other)
    fleet.network.reset_holds[other.name] = 1
    fleet.clock.advance(0.5)
    fleet.network.list_machines = list_machines
    fleet.network.reset_holds[worker.name] = 1
    fleet.clock.advance(12.0)
    runs = [entry for entry in fleet.run_history.runs if entry.task.startswith(job_id(1))]
    assert [entry.outcome for entry in runs] == ["done"]


# Guards against telling a worker that has started again to forget the end of a run that the owner
# has not seen: its numbers of ends begin anew.
def test_an_end_listed_after_an_unnoticed_restart_is_not_acknowledged_unseen():
    fleet = PlatformFleet(vms=1, executors=1)
    wait_for_owner(fleet)
    steps = [step(count=4)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps, "run_s=0.2", seconds=4.0)
    fleet.executors[0].crash()
    fleet.operator.register(fleet.executors[0])
    fleet.clock.advance(1.0)
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(2), [step()], "run_s=0", seconds=4.0)
    assert run(fleet, fleet.state, "vm0", "ordinary", job_id(2)) == "completed"
    assert len(fleet.run_history.runs) == 5
    fleet.check_invariants()


# Guards against running tasks again whose ends a worker has not listed yet: it lists 500 at a time,
# and the next ones only once the store holds the effect of those.
@pytest.mark.parametrize("owner_crashes", [False, True])
def test_ends_that_a_worker_lists_later_are_waited_for(owner_crashes):
    fleet = PlatformFleet(vms=3, executors=1)
    wait_for_owner(fleet)
    steps = [step(count=620, gpu=0, cpu=50, mem_mb=100)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps, "run_s=6", seconds=4.0)
    assert len(fleet.run_history.runs) == 620
    fleet.kv.faults.down = True
    if owner_crashes:
        fleet.clock.advance(1.5)
        fleet.kill(fleet.owner)
    fleet.clock.advance(3.0)
    fleet.kv.faults.down = False
    fleet.clock.advance(12.0)
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    fleet.check_invariants()
    assert len(fleet.run_history.runs) == 620
