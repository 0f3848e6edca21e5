"""Random takeovers while workers are cut off for a moment; seeded, on virtual time.

Jobs are graphs of tasks and gangs, some runs fail, entries of workers lapse, and stops take long.
"""

import pytest

from standins.platform import executors
from standins.platform.fleet import job_id, step, wait_for_owner
from tests.test_platform_mixes import SUBMIT_ATTEMPTS, ClientJob, FailureScenario
from tests.test_platform_path import run

# Eight arbitrary seeds and one that failed: 0 and 28 (the runs of a gang that a new owner saw late
# were stopped, and the gang was started before they had ended).
SEEDS = (*range(8), 28)
STOP_DURATION_S = 0.9
MAX_STEPS = 4
# The workers are busy with the backlog for most of this time after the last failure.
BACKLOG_S = 60.0


class TakeoverScenario(FailureScenario):
    """Failures around takeovers, beside those of the base class."""

    def __init__(self, seed):
        super().__init__(seed)
        faults = self.injector
        self.faults += [faults.cut_workers_and_kill_owner] * 5
        self.faults += [faults.cut_workers, faults.kill_owner, faults.cut_worker]
        self.faults += [faults.unlist_worker, faults.fail_worker, faults.reset_polls]

    def submit_job(self, name):
        queue = self.rng.choice(["urgent", "ordinary", "patient"])
        steps = [self.make_step(number) for number in range(self.rng.randint(1, MAX_STEPS))]
        spec = f"run_s={self.rng.uniform(0.1, 4.0):.2f}"
        if self.rng.random() < 0.15:
            spec += " fail=1"
        job = self.jobs[name] = ClientJob(queue)
        for _ in range(SUBMIT_ATTEMPTS):
            job.status = self.call(self.fleet.submit, queue, name, steps, spec)
            if job.status == 200:
                return
            self.clock.sleep(0.8)

    def make_step(self, number):
        rng = self.rng
        fields = {"count": rng.randint(1, 4), "gpu": rng.choice([1, 2, 4, 8])}
        if rng.random() < 0.5:
            fields["gang"] = True
        if number:
            fields["after"] = sorted(rng.sample(range(number), rng.randint(1, number)))
        if rng.random() < 0.15:
            fields["data_rack"] = rng.choice(["r0", "r1", "r2"])
        return step(**fields)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_task_runs_twice_around_takeovers(monkeypatch, seed):
    monkeypatch.setattr(executors, "STOP_DURATION_S", STOP_DURATION_S)
    monkeypatch.setattr(executors, "DISTINCT_STOP_TIMES", 1)
    scenario = TakeoverScenario(seed)
    scenario.execute()
    fleet = scenario.fleet
    fleet.clock.advance(BACKLOG_S)
    fleet.check_invariants()
    wait_for_owner(fleet)
    accepted = [name for name, job in scenario.jobs.items() if job.status == 200]
    assert len(accepted) > 5
    assert job_id(1) in scenario.jobs
    for name in accepted:
        queue = scenario.jobs[name].queue
        state = run(fleet, fleet.state, fleet.owner, queue, name, seconds=0.1)
        assert state in ("completed", "failed"), f"{name} is {state}"
