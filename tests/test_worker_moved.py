"""Workers that start again under their id at another address; virtual time."""

from standins.platform.executors import Executor
from standins.platform.fleet import PlatformFleet, job_id, step, wait_for_owner
from tests.test_platform_path import run

NEW_ADDRESS = "10.8.0.99:1"


def fleet_with_a_moved_worker():
    """Return a fleet and its first worker, at another address with another worker in its place."""
    fleet = PlatformFleet(vms=1, executors=3)
    wait_for_owner(fleet)
    worker = fleet.executors[0]
    earlier = dict(worker.entry)
    worker.entry["addr"] = NEW_ADDRESS
    worker.crash()
    other = Executor("i-9", earlier, fleet.clock, fleet.run_history)
    fleet.network.executors |= {NEW_ADDRESS: worker, earlier["addr"]: other}
    fleet.operator.register(worker)
    return fleet, worker, earlier["addr"]


def link_to(fleet, worker):
    return fleet.vms["vm0"].director.pool.find(worker.name)


def time_of_the_new_entry():
    """Return when the owner reads the worker's new address; the same in each fleet."""
    fleet, worker, _ = fleet_with_a_moved_worker()
    while link_to(fleet, worker).entry.address != NEW_ADDRESS:
        fleet.clock.advance(0.01)
    return fleet.clock.now()


# Guards against giving up runs at a worker's new address because another worker answers, late, at
# the earlier one.
def test_an_answer_from_the_earlier_address_ends_no_run_at_the_new_one():
    read_at = time_of_the_new_entry()
    fleet, worker, earlier_address = fleet_with_a_moved_worker()
    fleet.network.slow_servers[earlier_address] = 0.6
    fleet.clock.advance(read_at - fleet.clock.now() - 0.1)
    link_to(fleet, worker).request_poll()
    fleet.clock.advance(0.15)
    assert link_to(fleet, worker).entry.address == NEW_ADDRESS
    steps = [step(count=2, gpu=8)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps, "run_s=5", seconds=9.0)
    fleet.check_invariants()
    assert [entry.outcome for entry in fleet.run_history.runs] == ["done", "done"]
