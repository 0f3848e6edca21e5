"""Owners stopped and workers replaced at random, with no impairment at all, on virtual time."""

import random

import gevent
import pytest

from standins.platform.fleet import PlatformFleet, job_id, step, wait_for_owner

# Those of 40 with which tasks ran again while owners did not hand on what they had heard.
SEEDS = (4, 21, 24)
DURATION_S = 25.0
# A leaving worker may exit this long after its next end.
EXIT_AFTER_END_S = (0.1, 0.13)
# From the stop of a VM to the end of its process.
VM_STOP_S = 5.5
SLOW_LINKS = ((), ("vm1",), ("vm0", "vm1", "vm2"))


class PlannedWork:
    """Hands jobs in while owners are stopped and workers drain, exit and are replaced."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.fleet = PlatformFleet(vms=3, executors=4, slow_links=self.rng.choice(SLOW_LINKS))
        self.fleet.kv.faults.slow_s = self.rng.choice([0.0, 0.002, 0.01, 0.02])  # all healthy
        self.jobs = 0
        self.vms_started = 3
        self.stopping = []
        self.leaving = {}

    def play(self):
        fleet, rng = self.fleet, self.rng
        wait_for_owner(fleet, 10.0)
        end = fleet.clock.now() + DURATION_S
        next_job = next_plan = fleet.clock.now()
        while fleet.clock.now() < end:
            now = fleet.clock.now()
            if now >= next_job:
                self.hand_job_in()
                next_job = now + rng.uniform(0.1, 0.7)
            if now >= next_plan:
                next_plan = now + rng.uniform(0.5, 2.5)
                self.plan()
            for worker, earliest in list(self.leaving.items()):
                self.let_exit(worker, earliest)
            fleet.clock.advance(0.01)
        fleet.clock.advance(20.0)

    def hand_job_in(self):
        self.jobs += 1
        rng = self.rng
        needs = {"gpu": rng.choice([0, 0, 1]), "cpu": rng.choice([200, 1000]), "mem_mb": 100}
        steps = [step(count=rng.randint(1, 6), **needs)]
        if rng.random() < 0.3:
            steps.append(step(count=2, gpu=0, after=[0]))
        vm = rng.choice([vm for vm in self.fleet.vms if vm not in self.stopping])
        queue, spec = (
            rng.choice(["ordinary", "patient"]),
            f"run_s={rng.choice([0.5, 1, 2, 3, 5, 8])}",
        )
        gevent.spawn(self.fleet.submit, vm, queue, job_id(self.jobs), steps, spec)

    def plan(self):
        fleet = self.fleet
        if self.rng.random() < 0.5 and len(self.leaving) < 2:
            staying = [
                each for each in fleet.executors if not each.exited_at and each not in self.leaving
            ]
            worker = self.rng.choice(staying)
            fleet.operator.register(worker, state="draining")
            self.leaving[worker] = fleet.clock.now() + self.rng.uniform(1.0, 4.0)
        elif fleet.owner and fleet.owner not in self.stopping:
            gevent.spawn(self.replace_vm, fleet.owner)

    def replace_vm(self, stopped):
        self.stopping.append(stopped)
        self.fleet.vms[stopped].begin_stop()
        self.fleet.start_vm(f"vm{self.vms_started}")
        self.vms_started += 1
        self.fleet.clock.sleep(VM_STOP_S)
        del self.fleet.vms[stopped]

    def let_exit(self, worker, earliest):
        fleet = self.fleet
        worker.advance()
        now = fleet.clock.now()
        if now < earliest:
            return
        runs = [each for each in fleet.run_history.runs if each.executor == worker.name]
        ends = [each.ended_at for each in runs if each.ended_at]
        low, high = EXIT_AFTER_END_S
        if len(ends) < len(runs) and not (ends and low < now - max(ends) < high):
            return
        worker.exit()
        fleet.operator.unregister(worker)
        del self.leaving[worker]
        fleet.executors.append(fleet.add_executor(len(fleet.executors)))


# Guards against tasks that run again because an owner was stopped and a worker exited.
@pytest.mark.parametrize("seed", SEEDS)
def test_planned_work_makes_no_task_run_again(seed):
    work = PlannedWork(seed)
    work.play()
    work.fleet.check_invariants(calm=True)
