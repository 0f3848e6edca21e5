"""Rolling replacement of workers while owners crash; seeded, on virtual time."""

import random

import gevent
import pytest

from standins.platform.fleet import PlatformFleet, job_id, step, wait_for_owner

SEEDS = range(6)
WORKERS = 8
REPLACE_INTERVAL_S = 1.0
# The platform lets a draining worker serve for at least two seconds.
DRAIN_S = 2.0
# Range of the time between a worker's last run end and its exit, in which the owner must record the
# end.
EXIT_DELAY_S = (0.1, 0.4)
# Run ends this close to the crash of an owner need not be recorded.
CRASH_WINDOW_S = 3.0
RESTART_S = 3.0


class RollingReplacement:
    """Replaces the workers of a fleet while jobs run and owners are killed."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.fleet = PlatformFleet(vms=4, executors=WORKERS)
        self.clock = self.fleet.clock
        self.killed_at = []

    def execute(self):
        clients = gevent.spawn(self.submit_jobs)
        gevent.spawn(self.kill_owners)
        self.clock.advance(4.0)
        for worker in self.fleet.executors[:WORKERS]:
            gevent.spawn(self.replace, worker)
            self.clock.advance(REPLACE_INTERVAL_S)
        self.clock.advance(8.0)
        clients.kill(block=False)
        wait_for_owner(self.fleet, seconds=10.0)
        self.clock.advance(60.0)

    def submit_jobs(self):
        for number in range(1, 1000):
            self.clock.sleep(self.rng.uniform(0.1, 0.6))
            gang = self.rng.random() < 0.4
            steps = [step(count=self.rng.randint(1, 6), gpu=self.rng.choice([1, 2, 8]), gang=gang)]
            if self.rng.random() < 0.3:
                steps.append(step(count=2, after=[0]))
            spec = f"run_s={self.rng.uniform(0.3, 6.0):.3f}"
            queue = self.rng.choice(["urgent", "ordinary", "patient"])
            vm = self.rng.choice(sorted(self.fleet.vms))
            gevent.spawn(self.fleet.submit, vm, queue, job_id(number), steps, spec)

    def kill_owners(self):
        for _ in range(2):
            self.clock.sleep(self.rng.uniform(2.0, 9.0))
            vm = self.fleet.owner
            if vm is None:
                continue
            self.killed_at.append(self.clock.now())
            self.fleet.kill(vm)
            self.clock.sleep(RESTART_S)
            self.fleet.start_vm(vm)

    def replace(self, worker):
        added = self.fleet.add_executor(len(self.fleet.executors))
        self.fleet.executors.append(added)
        self.fleet.operator.register(worker, state="draining")
        self.clock.sleep(DRAIN_S)
        self.clock.sleep(self.time_to_next_end(worker) + self.rng.uniform(*EXIT_DELAY_S))
        worker.exit()
        self.fleet.operator.unregister(worker)

    def time_to_next_end(self, worker):
        ends_at = [
            run.work_started_at + run.run_s
            for run in self.fleet.run_history.runs
            if run.executor == worker.name
            and run.ended_at is None
            and run.work_started_at is not None
        ]
        return max(0.0, min(ends_at, default=0.0) - self.clock.now())

    def lost_ends(self):
        """Return tasks that ran again although their worker had listed the end for long enough."""
        exits = {worker.name: worker.exited_at for worker in self.fleet.executors}
        done = {}
        for run in self.fleet.run_history.runs:
            left_at = exits[run.executor]
            if run.outcome != "done" or left_at is None or left_at - run.ended_at < EXIT_DELAY_S[0]:
                continue
            if all(
                not -CRASH_WINDOW_S < run.ended_at - at < CRASH_WINDOW_S for at in self.killed_at
            ):
                done.setdefault(run.task, run.ended_at)
        runs = self.fleet.run_history.runs
        return [run.task for run in runs if run.started_at > done.get(run.task, float("inf"))]


@pytest.mark.parametrize("seed", SEEDS)
def test_run_ends_on_replaced_workers_are_recorded(seed):
    replacement = RollingReplacement(seed)
    replacement.execute()
    assert replacement.lost_ends() == []
    replacement.fleet.check_invariants()
