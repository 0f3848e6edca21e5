"""State that is out of date after a pause, a lost answer or a restart: nothing acts on it."""

import pytest

from standins.platform import configuration
from standins.platform.executors import SubmittedJob
from standins.platform.fleet import PlatformFleet, job_id, step, wait_for_owner
from tests.test_platform_path import run


def record_orders(fleet, vm):
    """Return a list to which each order of a VM is added: its path, time and time limit."""
    client = fleet.http_clients[vm]
    call, orders = client.call, []

    def record(peer, method, path, *, timeout_s, **arguments):
        if path in ("/run-start", "/run-stop"):
            orders.append((path, fleet.clock.now(), timeout_s))
        return call(peer, method, path, timeout_s=timeout_s, **arguments)

    client.call = record
    return orders


# Guards against an order that is sent, after a slow connection, by an owner whose lease has ended.
def test_an_order_may_not_take_longer_than_the_lease_of_the_owner():
    fleet = PlatformFleet(vms=1)
    wait_for_owner(fleet)
    orders = record_orders(fleet, "vm0")
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step(count=1500)], "run_s=0.2")
    fleet.kv.faults.silent = True
    lease = fleet.vms["vm0"].director.owner_lease
    fleet.clock.advance(4.0)
    last = max(at for _, at, _ in orders)
    assert lease.valid_until - 0.4 < last < lease.valid_until
    assert all(at + timeout_s <= lease.valid_until + 0.001 for _, at, timeout_s in orders)


# Guards against an owner that was paused beyond its lease and sends orders when it continues.
@pytest.mark.parametrize("pause_s", [2.6, 5.0, 20.0])
def test_an_owner_paused_beyond_its_lease_sends_no_order(pause_s):
    fleet = PlatformFleet(vms=1)
    wait_for_owner(fleet)
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step(count=64)], "run_s=0.5")
    orders = record_orders(fleet, "vm0")
    fleet.kv.faults.silent = True
    lease = fleet.vms["vm0"].director.owner_lease
    fleet.clock.jump(pause_s)
    fleet.clock.advance(1.0)
    late = [order for order in orders if order[1] > lease.valid_until]
    assert late == []
    fleet.kv.faults.silent = False
    fleet.clock.advance(15.0)
    assert run(fleet, fleet.state, "vm0", "ordinary", job_id(1)) == "completed"
    fleet.check_invariants()


# Guards against a restarted VM that uses a worker that has left, or accepts a withdrawn key.
def test_a_restart_brings_back_neither_a_worker_that_left_nor_a_withdrawn_key():
    fleet = PlatformFleet(vms=2, executors=3)
    wait_for_owner(fleet)
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step(count=3, gpu=8)])
    fleet.clock.advance(4.0)
    gone = fleet.executors[2]
    fleet.operator.register(gone, state="draining")
    fleet.clock.advance(2.0)
    fleet.operator.unregister(gone)  # it still answers, and would run what it is told to
    fleet.operator.configure(configuration(2, keys=("key-b",)))
    for name in ("vm0", "vm1"):
        fleet.kill(name)
    for name in ("vm0", "vm1"):
        fleet.start_vm(name)
    fleet.clock.advance(3.0)
    wait_for_owner(fleet)
    ran_before = len(fleet.run_history.runs)
    body = {"spec": "run_s=1", "steps": [step(count=6, gpu=8)]}
    fleet.run_history.jobs[job_id(2)] = SubmittedJob(body["steps"])
    assert run(fleet, fleet.call, "vm0", "POST", f"/ordinary/{job_id(2)}", body)[0] == 401
    answer = run(fleet, fleet.call, "vm0", "POST", f"/ordinary/{job_id(2)}", body, "key-b")
    assert answer[0] == 200
    fleet.clock.advance(8.0)
    ran = fleet.run_history.runs[ran_before:]
    assert len(ran) == 6 and gone.name not in {entry.executor for entry in ran}


# Guards against a task that runs again because the answer to its start, or to the poll that listed
# its end, was lost.
@pytest.mark.parametrize("fault", ["lost_responses", "lost_holds", "reset_holds"])
def test_a_lost_answer_makes_no_task_run_again(fault):
    fleet = PlatformFleet(vms=2)
    wait_for_owner(fleet)
    for executor in fleet.executors:
        getattr(fleet.network, fault)[executor.name] = 2
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step(count=8, gpu=4)], "run_s=0.4")
    fleet.clock.advance(12.0)
    assert run(fleet, fleet.state, "vm0", "ordinary", job_id(1)) == "completed"
    assert sorted(entry.outcome for entry in fleet.run_history.runs) == ["done"] * 8
    fleet.check_invariants()
