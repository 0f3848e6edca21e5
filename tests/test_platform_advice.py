"""Units that only some workers may run, when workers come and go while they wait; virtual time."""

from standins.platform.fleet import PlatformFleet, job_id, step, wait_for_owner
from tests.test_platform_path import run


def add_worker(fleet):
    worker = fleet.add_executor(len(fleet.executors))
    fleet.executors.append(worker)
    return worker


def remove_worker(fleet, worker):
    """Drain a worker and let it exit."""
    fleet.operator.register(worker, state="draining")
    fleet.clock.advance(2.5)
    worker.exit()
    fleet.operator.unregister(worker)


def submit_advised(fleet, *allowed, **fields):
    fleet.run_history.ticketed_executors[job_id(1)] = set(allowed)
    args = ("vm0", "advised", job_id(1), [step(**fields)], "run_s=6")
    assert run(fleet, fleet.submit, *args, seconds=1.5) == 200


# Guards against a unit that waits for good for workers that have been replaced, because the service
# is never asked about the new ones.
def test_an_advised_unit_runs_on_the_replacement_of_its_worker(fleet):
    wait_for_owner(fleet)
    submit_advised(fleet, "i-1", "i-4", "i-5", count=2)
    assert {entry.executor for entry in fleet.run_history.runs} == {"i-1"}
    add_worker(fleet)
    add_worker(fleet)
    remove_worker(fleet, fleet.executors[1])
    fleet.clock.advance(12.0)
    assert run(fleet, fleet.state, "vm0", "advised", job_id(1)) == "completed"
    fleet.check_invariants()


def test_an_advised_unit_that_waits_runs_on_a_worker_that_joins_later(fleet):
    wait_for_owner(fleet)
    args = ("vm0", "ordinary", job_id(2), [step(count=4, gpu=8)], "run_s=40")
    run(fleet, fleet.submit, *args, seconds=1.0)
    submit_advised(fleet, "i-1", "i-4", gpu=8)
    add_worker(fleet)
    fleet.clock.advance(3.0)
    assert fleet.run_history.runs[-1].executor == "i-4"
    fleet.clock.advance(8.0)
    assert run(fleet, fleet.state, "vm0", "advised", job_id(1)) == "completed"


def test_the_service_is_asked_about_a_worker_once_while_a_unit_waits(fleet):
    wait_for_owner(fleet)
    asked = []
    advise = fleet.network.advise

    def count_calls(body):
        asked.extend(body["workers"])
        return advise(body)

    fleet.network.advise = count_calls
    submit_advised(fleet, "i-9", gpu=8)
    fleet.clock.advance(20.0)
    assert sorted(asked) == ["i-0", "i-1", "i-2", "i-3"]


# Guards against asking for a ticket again and again that the worker refuses: it has started again,
# and its new life may not run the step.
def test_a_worker_that_may_no_longer_run_a_step_is_not_used():
    fleet = PlatformFleet(vms=1)
    wait_for_owner(fleet)
    args = ("vm0", "ordinary", job_id(2), [step(count=4, gpu=8)], "run_s=5")
    run(fleet, fleet.submit, *args, seconds=1.0)
    submit_advised(fleet, "i-1", gpu=8)
    fleet.run_history.ticketed_executors[job_id(1)] = {"i-2"}
    fleet.clock.advance(20.0)
    starts = fleet.network.call_counts["/run-start"]
    fleet.clock.advance(5.0)
    assert fleet.network.call_counts["/run-start"] - starts <= 1


# Guards against a unit that waits for good for a worker that has left, because the answer about its
# replacement came with the start of another unit of the step, which a new owner had adopted.
def test_a_unit_beside_an_adopted_one_runs_on_the_replacement_of_its_worker():
    fleet = PlatformFleet(vms=3)
    wait_for_owner(fleet)
    submit_advised(fleet, "i-1", "i-4", count=2, gpu=8)
    others = ("vm0", "ordinary", job_id(2), [step(count=3, gpu=8)], "run_s=60")
    run(fleet, fleet.submit, *others, seconds=1.0)
    fleet.kill(fleet.owner)
    wait_for_owner(fleet)
    fleet.clock.advance(1.0)
    fleet.executors[1].exit()
    fleet.operator.unregister(fleet.executors[1])
    fleet.clock.advance(3.0)
    add_worker(fleet)
    fleet.clock.advance(18.0)
    assert run(fleet, fleet.state, fleet.owner, "advised", job_id(1)) == "completed"
    fleet.check_invariants()


# Guards against starts without a ticket on any worker, for a unit that a new owner has adopted.
def test_an_adopted_unit_starts_again_only_where_it_may_run():
    fleet = PlatformFleet(vms=3)
    wait_for_owner(fleet)
    submit_advised(fleet, "i-1", "i-4")
    fleet.kill(fleet.owner)
    wait_for_owner(fleet)
    fleet.clock.advance(1.0)
    add_worker(fleet)
    starts = fleet.network.call_counts["/run-start"]
    remove_worker(fleet, fleet.executors[1])
    fleet.clock.advance(12.0)
    assert run(fleet, fleet.state, fleet.owner, "advised", job_id(1)) == "completed"
    assert fleet.network.call_counts["/run-start"] == starts + 1


# Guards against giving up each question to a service that takes long for many workers.
def test_a_slow_service_is_given_the_time_that_its_queue_states():
    fleet = PlatformFleet(vms=1)
    wait_for_owner(fleet)
    fleet.network.advice_delay_s = 1.5
    fleet.config["version"] += 1
    for route in fleet.config["routes"]:
        if "advice" in route:
            route["advice"] |= {"decide_ms": 1500, "period_ms": 1500}
    fleet.operator.configure(fleet.config)
    fleet.clock.advance(3.0)
    submit_advised(fleet, "i-1")
    fleet.clock.advance(16.0)
    assert run(fleet, fleet.state, "vm0", "advised", job_id(1)) == "completed"
