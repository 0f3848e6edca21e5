"""What a stopped owner knows is not lost with its memory, on virtual time."""

import itertools

import attrs
import gevent
import pytest

from lacewingmill.codec import decode
from lacewingmill.jobs.director import HAND_OVER_S
from lacewingmill.jobs.election import JobOwner
from lacewingmill.jobs.keys import OWNER_KEY
from standins.platform.fleet import PlatformFleet, job_id, step, wait_for_owner
from tests.test_platform_path import run

# A leaving worker may exit this long after its next end.
EXIT_AFTER_END_S = 0.1001


def fleet_with_ends_on_a_leaving_worker(jobs, in_s=(0.5,)):
    """Return a fleet whose first worker is leaving, and runs one task of each job.

    Their ends come after the times ``in_s``, in turn. VMs with slow links are elected late, so that
    the worker has exited before the next owner asks it.
    """
    fleet = PlatformFleet(vms=2, executors=1, slow_links=("vm0", "vm1"))
    wait_for_owner(fleet)
    steps = [step(gpu=0, cpu=50, mem_mb=100)]
    for number in range(1, jobs + 1):
        run(fleet, fleet.submit, "vm0", "patient", job_id(number), steps, "run_s=60", seconds=0.01)
    fleet.clock.advance(2.0)
    assert len(fleet.run_history.runs) == jobs
    fleet.operator.register(fleet.executors[0], state="draining")
    fleet.executors.append(fleet.add_executor(1))
    fleet.clock.advance(2.5)
    for entry, after_s in zip(fleet.run_history.runs, itertools.cycle(in_s), strict=False):
        entry.run_s = fleet.clock.now() - entry.work_started_at + after_s
    fleet.executors[0].slow_down(1.0)
    return fleet


def stop_owner(fleet):
    gevent.spawn(fleet.vms[fleet.owner]._stop)


def fail_owner(fleet):
    fleet.vms[fleet.owner].director.on_failed()


def exit_worker(fleet):
    """Let the leaving worker exit, as late as its last end allows."""
    worker = fleet.executors[0]
    ends_at = max(entry.work_ends_at for entry in fleet.run_history.runs)
    fleet.clock.advance(ends_at + EXIT_AFTER_END_S - fleet.clock.now())
    worker.exit()
    fleet.operator.unregister(worker)


def check_nothing_ran_again(fleet):
    runs = len(fleet.run_history.runs)
    fleet.clock.advance(20.0)
    fleet.check_invariants(calm=True)
    assert len(fleet.run_history.runs) == runs
    for number in range(1, runs + 1):
        state = run(fleet, fleet.state, fleet.owner, "patient", job_id(number), seconds=0.1)
        assert state == "completed"


# Guards against a task that runs twice because the owner was stopped, or gave up, while the end
# that a worker had listed was being stored, and the worker exited before the next owner asked it.
@pytest.mark.parametrize("leave", [stop_owner, fail_owner])
def test_an_end_that_is_being_stored_survives_the_end_of_an_ownership(leave):
    fleet = fleet_with_ends_on_a_leaving_worker(jobs=1)
    fleet.kv.faults.slow_s = 0.05
    fleet.clock.advance(0.52)
    leave(fleet)
    exit_worker(fleet)
    fleet.kv.faults.slow_s = 0.0
    check_nothing_ran_again(fleet)


# Guards against the same with a healthy store: many ends at once take several commits.
@pytest.mark.parametrize("leave", [stop_owner, fail_owner])
def test_ends_that_wait_for_other_commits_survive_the_end_of_an_ownership(leave):
    fleet = fleet_with_ends_on_a_leaving_worker(jobs=120)
    fleet.clock.advance(0.505)
    leave(fleet)
    exit_worker(fleet)
    check_nothing_ran_again(fleet)


# Guards against a task that runs twice because its end came after the owner had left, and the
# worker exited before the next owner asked it.
@pytest.mark.parametrize("leave", [stop_owner, fail_owner])
def test_ends_between_two_owners_are_not_lost(leave):
    fleet = fleet_with_ends_on_a_leaving_worker(jobs=3, in_s=(0.5, 0.53, 0.6))
    fleet.clock.advance(0.48)
    leave(fleet)
    exit_worker(fleet)
    check_nothing_ran_again(fleet)


# Guards against polls by VMs that have left office, which would go on beside those of the owner.
@pytest.mark.parametrize("leave", [stop_owner, fail_owner])
def test_an_owner_that_has_left_listens_until_the_next_one_asks(leave):
    fleet = fleet_with_ends_on_a_leaving_worker(jobs=3, in_s=(20.0,))
    refused = []
    fleet.network.on_executor_call = lambda path, status, body: (
        refused.append(path) if status == 409 else None
    )
    leave(fleet)
    fleet.clock.advance(8.0)
    assert refused == ["/hold"]
    assert [entry.outcome for entry in fleet.run_history.runs] == [""] * 3


# Guards against polls without end of a worker that has exited.
def test_an_owner_that_has_left_polls_a_worker_that_has_exited_now_and_then():
    fleet = fleet_with_ends_on_a_leaving_worker(jobs=1, in_s=(20.0,))
    worker = fleet.executors[0]
    polls = []
    reachable = fleet.network.reachable

    def count(name, address):
        if address == worker.entry["addr"]:
            polls.append(name)
        return reachable(name, address)

    fleet.network.reachable = count
    stopped = fleet.owner
    stop_owner(fleet)
    worker.exit()
    fleet.clock.advance(10.0)
    assert 1 <= polls.count(stopped) <= 26


def fleet_with_unstored_progress():
    """Return a fleet whose owner waits for the store, which answers late."""
    fleet = PlatformFleet(vms=2, executors=2)
    wait_for_owner(fleet)
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step()], "run_s=2", seconds=1.0)
    fleet.kv.faults.slow_s = 0.25
    fleet.clock.advance(1.05)
    return fleet


# Guards against starts by an owner that is about to leave, whose ends nobody may hear.
def test_nothing_is_started_while_an_owner_hands_over():
    fleet = fleet_with_unstored_progress()
    director = fleet.vms[fleet.owner].director
    graph = director.registry.graphs[job_id(1)]
    later = attrs.evolve(graph.submission, job_id=job_id(2))
    fleet.run_history.jobs[job_id(2)] = fleet.run_history.jobs[job_id(1)]
    stop_owner(fleet)
    fleet.clock.advance(0.01)
    director.submit(later, graph.revision)
    fleet.clock.advance(0.1)
    assert fleet.vms[fleet.owner].director is director
    assert len(fleet.run_history.runs) == 1
    fleet.clock.advance(0.4)
    assert director not in [vm.director for vm in fleet.vms.values()]
    assert len(fleet.run_history.runs) == 1


# Guards against a stop that waits for a store that doesn't answer: the VM has a grace time.
@pytest.mark.parametrize("fault", ["down", "silent"])
def test_a_store_that_does_not_answer_does_not_delay_a_planned_stop(fault):
    fleet = fleet_with_unstored_progress()
    setattr(fleet.kv.faults, fault, True)
    stopped = fleet.vms[fleet.owner]
    stop_owner(fleet)
    fleet.clock.advance(HAND_OVER_S + 0.01)
    assert stopped.director is None


# Guards against a VM that takes office after its planned stop has begun: it never hands over, and
# when its process ends, all that it knows is lost.
def test_a_vm_that_is_stopped_during_an_election_does_not_stay_in_office():
    for step_number in range(40):
        delay_s = 2.0 + 0.04 * step_number
        fleet = PlatformFleet(vms=2, executors=1)
        fleet.kill(fleet.owner)
        fleet.kv.faults.slow_s = 0.05
        [vm] = fleet.vms.values()
        fleet.clock.advance(delay_s)
        vm.begin_stop()
        fleet.clock.advance(1.2)
        assert vm.director is None, delay_s
        record = fleet.kv._items.get(OWNER_KEY)
        assert record is None or decode(record.value, JobOwner).vm not in fleet.vms, delay_s
