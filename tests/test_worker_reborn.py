"""Workers that start again under their id as another kind; virtual time."""

from standins.platform.fleet import PlatformFleet, job_id, step, wait_for_owner
from tests.test_platform_path import run


def start_again(fleet, worker, *, labels):
    """Let a worker crash and start again with other labels."""
    worker.entry["labels"] = list(labels)
    worker.crash()
    fleet.operator.register(worker)
    fleet.clock.advance(3.0)


def started_on(fleet, number):
    return {run.executor for run in fleet.run_history.runs if run.task.startswith(job_id(number))}


# Guards against starting tasks on a worker that has lost the label which they require, and against
# leaving one idle that has it now.
def test_a_worker_is_used_by_the_labels_of_its_present_life():
    fleet = PlatformFleet(vms=1)
    wait_for_owner(fleet)
    start_again(fleet, fleet.executors[1], labels=("b", "r0"))
    for number, label in ((1, "b"), (2, "a")):
        steps = [step(count=2, gpu=8, requires=label)]
        run(fleet, fleet.submit, "vm0", "ordinary", job_id(number), steps, "run_s=2", seconds=1.0)
    fleet.clock.advance(12.0)
    assert started_on(fleet, 1) == {"i-1"}
    assert "i-1" not in started_on(fleet, 2)
    assert run(fleet, fleet.state, "vm0", "ordinary", job_id(1)) == "completed"
