"""Ends that an owner hears of once it has left, on virtual time."""

import pytest

from standins.platform.fleet import PlatformFleet, job_id, step, wait_for_owner
from tests.test_platform_handover import (
    check_nothing_ran_again,
    exit_worker,
    fleet_with_ends_on_a_leaving_worker,
)
from tests.test_platform_path import run


# Guards against forgetting an end that was heard because one call to the store failed: the worker
# may have exited before it is asked again.
@pytest.mark.parametrize("fault", ["down", "resets"])
def test_an_end_that_is_heard_is_stored_though_the_worker_has_exited_meanwhile(fault):
    fleet = fleet_with_ends_on_a_leaving_worker(jobs=1, in_s=(0.1,))
    fleet.vms[fleet.owner].begin_stop()
    fleet.clock.advance(0.09)
    setattr(fleet.kv.faults, fault, True)
    exit_worker(fleet)
    setattr(fleet.kv.faults, fault, False)
    check_nothing_ran_again(fleet)


# Guards against ends that are not passed on because the worker lists no more of them than before:
# an acknowledgement that was under way when the owner left makes it forget earlier ones.
def test_new_ends_are_passed_on_although_the_list_is_not_longer():
    fleet = fleet_with_ends_on_a_leaving_worker(jobs=2, in_s=(0.05, 0.2))
    fleet.network.late_holds["i-0"] = 0.08
    fleet.clock.advance(0.07)
    fleet.network.late_holds.clear()
    fleet.vms[fleet.owner].begin_stop()
    exit_worker(fleet)
    check_nothing_ran_again(fleet)


# Guards against losing all ends that were passed on because one call to the store failed.
@pytest.mark.parametrize("failures", [1, 2])
def test_ends_are_read_although_a_read_of_them_fails(failures):
    fleet = fleet_with_ends_on_a_leaving_worker(jobs=1, in_s=(0.1,))
    left = failures
    handle = fleet.kv.handle

    def refuse_reads(client, method, target, body):
        nonlocal left
        if target.startswith("/kv-range") and "ends" in target and left:
            left -= 1
            return 429, {}
        return handle(client, method, target, body)

    fleet.kv.handle = refuse_reads
    fleet.vms[fleet.owner].begin_stop()
    exit_worker(fleet)
    check_nothing_ran_again(fleet)
    assert left == 0


def fleet_with_ends_on_leaving_workers(workers):
    """Return a fleet whose workers are leaving, each with a run that ends in half a second."""
    fleet = PlatformFleet(vms=2, executors=workers)
    wait_for_owner(fleet)
    steps = [step(count=workers, gpu=8)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps, "run_s=60", seconds=2.0)
    assert len(fleet.run_history.runs) == workers
    for worker in fleet.executors:
        fleet.operator.register(worker, state="draining")
    fleet.clock.advance(2.5)
    for entry in fleet.run_history.runs:
        entry.run_s = fleet.clock.now() - entry.work_started_at + 0.5
    for worker in fleet.executors:
        worker.slow_down(1.0)
    return fleet


# Guards against a write for each leaving worker besides the ends themselves, in a takeover: all VMs
# share the rate of the store.
@pytest.mark.parametrize("silent", [False, True])
def test_an_owner_that_has_left_grants_one_lease(silent):
    fleet = fleet_with_ends_on_leaving_workers(workers=20)
    left, calls = fleet.owner, []
    handle = fleet.kv.handle

    def record(client, method, target, body):
        if client == left and target == "/kv-lease":
            calls.append(target)
        return handle(client, method, target, body)

    fleet.clock.advance(0.45)
    fleet.vms[left].begin_stop()
    fleet.clock.advance(0.01)
    fleet.kv.handle = record
    fleet.kv.faults.silent = silent
    fleet.clock.advance(1.5)
    assert 1 <= len(calls) <= (4 if silent else 1)
