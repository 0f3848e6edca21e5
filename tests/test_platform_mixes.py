"""Random sequences of overlapping failures on the emulated platform; seeded, on virtual time."""

import random

import attrs
import gevent
import pytest
from gevent.event import Event

from bench.explore_checks import check_fleet
from standins.platform.faults import EVACUATION, FAULT_S, PlatformFaults
from standins.platform.fleet import PlatformFleet, job_id, step, wait_for_owner
from tests.test_platform_path import run

# Twelve arbitrary seeds and those that once failed: 29 (a worker was not polled after its starts
# got no answer), 33 (steps that were started before their dependencies were stored were started
# again).
SEEDS = (*range(12), 29, 33)
EVACUATION_SEEDS = range(6)
# How many times as often an evacuation is drawn as each failure.
EVACUATION_WEIGHT = 4
SCENARIO_S = 24.0
MAX_FAULT_INTERVAL_S = 2.5
FAULT_NAMES = (
    "kill_owner",
    "kill_all",
    "store_down",
    "store_silent",
    "store_ignores_watches",
    "store_loses_answers",
    "store_discards_history",
    "store_refuses_vm",
    "cut_vm",
    "cut_worker",
    "crash_worker",
    "drain_worker",
    "delay_orders",
    "lose_order_answers",
)
SUBMIT_ATTEMPTS = 4
REQUEST_TIMEOUT_S = 3.0
# Time that users allow for a cancellation and the stop of its tasks together.
CANCEL_S = 3.4


@attrs.define
class ClientJob:
    """A job as its client sees it.

    :param status: the last status of the submission; ``None`` when no answer came.
    :param maybe_accepted: whether any attempt to submit it was not refused.
    :param cancel_sent: whether a cancellation was sent, with or without an answer.
    :param cancelled_at: when the cancellation was confirmed, in seconds; ``None`` before.
    """

    queue: str
    status: int | None = None
    maybe_accepted: bool = False
    cancel_sent: bool = False
    cancelled_at: float | None = None


class FailureScenario:
    """A fleet, its clients and random failures, all drawn from one seed."""

    def __init__(self, seed, fault_names=FAULT_NAMES):
        self.rng = random.Random(seed)
        self.fleet = PlatformFleet(vms=4, executors=6)
        self.clock = self.fleet.clock
        self.jobs = {}
        self.injector = PlatformFaults(self.fleet, self.rng)
        self.faults = [getattr(self.injector, name) for name in fault_names]

    def execute(self):
        """Submit jobs and inject failures for the whole scenario, then let the fleet recover."""
        clients = gevent.spawn(self.submit_jobs)
        end = self.clock.now() + SCENARIO_S
        while self.clock.now() < end:
            self.clock.advance(self.rng.uniform(0.2, MAX_FAULT_INTERVAL_S))
            self.rng.choice(self.faults)()
        clients.kill(block=False)
        self.clock.advance(2 * FAULT_S)
        wait_for_owner(self.fleet, seconds=10.0)
        self.clock.advance(45.0)

    def submit_jobs(self):
        for number in range(1, 1000):
            self.clock.sleep(self.rng.uniform(0.2, 1.0))
            gevent.spawn(self.submit_job, job_id(number))

    def submit_job(self, name):
        queue = self.rng.choice(["urgent", "ordinary", "patient"])
        gang = self.rng.random() < 0.4
        steps = [step(count=self.rng.randint(1, 5), gpu=self.rng.choice([1, 2, 8]), gang=gang)]
        if self.rng.random() < 0.3:
            steps.append(step(count=2, after=[0]))
        spec = f"run_s={self.rng.uniform(0.3, 4.0):.2f}"
        job = self.jobs[name] = ClientJob(queue)
        for _ in range(SUBMIT_ATTEMPTS):
            job.status = self.call(self.fleet.submit, queue, name, steps, spec)
            job.maybe_accepted |= job.status != 503
            if job.status == 200:
                break
            self.clock.sleep(0.8)
        if job.status == 200 and self.rng.random() < 0.2:
            self.clock.sleep(self.rng.uniform(0.0, 3.0))
            job.cancel_sent = True
            reply = self.call(self.fleet.call, "DELETE", f"/{queue}/{name}")
            if isinstance(reply, tuple) and reply[0] == 200:
                job.cancelled_at = self.clock.now()

    def call(self, send, *args):
        """Call a random running VM; return ``None`` when no answer comes in time."""
        if not self.fleet.vms:
            return None
        vm = self.rng.choice(sorted(self.fleet.vms))
        answered = Event()
        greenlet = gevent.spawn(send, vm, *args)
        greenlet.rawlink(lambda _: answered.set())
        if not self.clock.wait(answered, REQUEST_TIMEOUT_S) or not greenlet.successful():
            return None
        return greenlet.value


@pytest.mark.parametrize("seed", SEEDS)
def test_invariants_hold_through_random_failures(seed):
    check_scenario(FailureScenario(seed))


@pytest.mark.parametrize("seed", EVACUATION_SEEDS)
def test_invariants_hold_through_failures_and_evacuations(seed):
    scenario = FailureScenario(seed, (*FAULT_NAMES, *[EVACUATION] * EVACUATION_WEIGHT))
    check_scenario(scenario)
    assert scenario.fleet.operator.evacuations
    findings = check_fleet(scenario.fleet, {})
    assert [finding.text for finding in findings if finding.rule == "EVAC"] == []


def check_scenario(scenario):
    """Execute a scenario and check its jobs and runs."""
    scenario.execute()
    fleet = scenario.fleet
    fleet.check_invariants()
    started = {entry.task.split(".", 1)[0] for entry in fleet.run_history.runs}
    accepted = 0
    for name, job in scenario.jobs.items():
        if not job.maybe_accepted:
            assert name not in started, f"{name} was refused and ran"
        if job.status != 200:
            continue
        accepted += 1
        state = run(fleet, fleet.state, fleet.owner, job.queue, name, seconds=0.1)
        if not job.cancel_sent:
            assert state == "completed", f"{name} is {state}"
            continue
        assert state in ("cancelled", "completed"), f"{name} is {state}"
        late = [
            entry
            for entry in fleet.run_history.runs
            if entry.task.startswith(name)
            and job.cancelled_at is not None
            and entry.started_at > job.cancelled_at + CANCEL_S
        ]
        assert late == [], f"{name} was started after it was cancelled"
    assert accepted > 5
