"""What is learned of slow workers when the owner is killed or a worker's lists are cut off."""

from standins.platform.fleet import job_id, step, wait_for_owner
from tests.test_platform_path import run


def slow_names(fleet):
    director = fleet.vms[fleet.owner].director
    return set(director._planner.slow_workers())


def submit_a_step_with_a_slow_worker(fleet, **fields):
    """Start a step on all executors and slow one of them down; return its name."""
    steps = [step(count=4, gpu=8, **fields)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps, "run_s=30", seconds=1.0)
    name = fleet.run_history.runs[0].executor
    next(each for each in fleet.executors if each.name == name).slow_down(8.0)
    return name


def test_a_new_owner_learns_again_which_worker_is_slow(fleet):
    slow = submit_a_step_with_a_slow_worker(fleet)
    fleet.clock.advance(6.0)
    assert slow_names(fleet) == {slow}
    fleet.kill(fleet.owner)
    wait_for_owner(fleet)
    assert not slow_names(fleet)
    fleet.clock.advance(8.5)
    assert slow_names(fleet) == {slow}
    fleet.check_invariants()


def test_a_worker_whose_lists_are_cut_off_is_not_taken_for_a_slow_one(fleet):
    steps = [step(count=4, gpu=8)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps, "run_s=30", seconds=3.0)
    address = fleet.executors[0].entry["addr"]
    fleet.network.slow_servers[address] = 5.0
    fleet.clock.advance(4.0)
    del fleet.network.slow_servers[address]
    fleet.clock.advance(4.0)
    assert not slow_names(fleet)
    fleet.clock.advance(45.0)
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    fleet.check_invariants()


def test_a_move_whose_owner_is_killed_is_ended_by_the_next_one(fleet):
    slow = submit_a_step_with_a_slow_worker(fleet, checkpointing=True, est_runtime_ms=20000)
    fleet.add_executor(8)
    moved = next(each for each in fleet.run_history.runs if each.executor == slow)
    for _ in range(400):
        fleet.clock.advance(0.1)
        if moved.stops_at is not None or moved.outcome:
            break
    assert moved.stops_at is not None or moved.outcome == "stopped"
    fleet.kill(fleet.owner)
    wait_for_owner(fleet)
    fleet.clock.advance(60.0)
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    fleet.check_invariants()
