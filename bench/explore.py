"""Explores random orders of jobs and faults on the emulated platform, on virtual time.

A plan is drawn from a seed: jobs with graphs, gangs, racks, limits and cancellations, and faults at
random times or right after a moment that matters. What the executors ran and what the clients
were told is then checked against the users' rules. A plan that breaks one can be reduced to the
jobs and faults that still break it.
"""

import argparse
import collections
import gc
import random
import sys
import time
from collections.abc import Callable

import gevent
import greenlet
import structlog
from gevent.event import Event

from bench.explore_checks import Finding, check_fleet
from bench.explore_plans import (
    EXECUTORS,
    Moment,
    Plan,
    PlannedFault,
    PlannedJob,
    draw_plan,
    draw_turnover_plan,
    reduce_plan,
)
from standins.platform.executors import SubmittedJob
from standins.platform.faults import PLANNED_FAULTS, PlatformFaults
from standins.platform.fleet import PlatformFleet

__all__ = ["Exploration", "explore"]

VMS = 4
REQUEST_TIMEOUT_S = 3.0
SUBMIT_ATTEMPTS = 4
SUBMIT_RETRY_S = 0.8
POLL_INTERVAL_S = 0.05
# Jobs may be handed in and faults begin up to here; the faults have then ended by themselves.
CALM_AFTER_S = 6.0
# Each accepted job ends within this time once all is calm: its work, and that of the jobs before
# it, is drawn to fit.
END_WITHIN_S = 90.0
# Longest time in which a VM may answer nobody: what a process computes without a pause.
MAX_STALL_S = 0.5


class _StallWatch:
    """Measures the longest processor time between two switches of greenlets, in seconds.

    Garbage is collected afterwards: that of earlier plays would count for a VM of this one.
    """

    def __init__(self):
        self.longest_s = 0.0
        self._switched_at = time.process_time()

    def __enter__(self) -> "_StallWatch":
        gc.disable()
        greenlet.settrace(self._note_switch)
        return self

    def __exit__(self, *_exc) -> None:
        greenlet.settrace(None)
        gc.enable()
        gc.collect()

    def _note_switch(self, _event: str, _greenlets: tuple) -> None:
        now = time.process_time()
        self.longest_s = max(self.longest_s, now - self._switched_at)
        self._switched_at = now


class Exploration:
    """Plays one plan; ``fleet`` holds all that was run."""

    def __init__(self, plan: Plan):
        self.fleet = PlatformFleet(vms=VMS, executors=EXECUTORS, lease_s=plan.lease_s)
        self.fleet.network.latency_s = plan.latency_s
        self.clock = self.fleet.clock
        self._plan = plan
        self._started_at = self.clock.now()
        self._moments = {moment: Event() for moment in Moment}
        self._stopped = False
        self.fleet.network.on_executor_call = self._note_call

    def play(self) -> tuple[Finding, ...]:
        """Play the plan and return what broke a rule."""
        rng = random.Random(self._plan.seed)
        for job in self._plan.jobs:
            gevent.spawn(self._hand_in, job, random.Random(rng.random()))
        for fault in self._plan.faults:
            gevent.spawn(self._inject, fault, random.Random(rng.random()))
        gevent.spawn(self._watch_owner)
        with _StallWatch() as stalls:
            self.clock.advance(self._plan.length_s + CALM_AFTER_S)
            self._wait_for_ends()
        self._stopped = True
        findings = list(check_fleet(self.fleet, self._read_states()))
        if stalls.longest_s > MAX_STALL_S:
            text = f"a VM computed for {stalls.longest_s:.2f} s without answering anybody"
            findings.append(Finding("STALL", "", text))
        for vm in list(self.fleet.vms):
            self.fleet.kill(vm)
        return tuple(findings)

    def timeline(self, task: str) -> list[str]:
        """Return the runs of a task, or of a job, in words."""
        return [
            f"{run.started_at - self._started_at:8.3f} s {run.task} run {run.number} on "
            f"{run.executor}: {run.outcome or 'running'} "
            f"at {(run.ended_at or self.clock.now()) - self._started_at:.3f} s"
            for run in self.fleet.run_history.runs
            if task and run.task.startswith(task)
        ]

    def _wait_for_ends(self) -> None:
        end = self.clock.now() + END_WITHIN_S
        while self.clock.now() < end:
            states = self._read_states()
            if all(state in ("completed", "failed", "cancelled") for state in states.values()):
                return
            self.clock.advance(5.0)

    def _read_states(self) -> dict[str, str | int]:
        """Return the state of each accepted job as a VM tells it, or the status of its answer."""
        accepted = [
            (name, job) for name, job in self.fleet.run_history.jobs.items() if job.accepted
        ]
        reads = {
            name: gevent.spawn(self._call, random.Random(0), self.fleet.state, job.queue, name)
            for name, job in accepted
        }
        self.clock.advance(REQUEST_TIMEOUT_S)
        return {name: read.value if read.ready() else 0 for name, read in reads.items()}

    def _hand_in(self, job: PlannedJob, rng: random.Random) -> None:
        self.clock.sleep(job.at_s)
        record = self.fleet.run_history.jobs.setdefault(job.name, SubmittedJob(list(job.steps)))
        record.queue = job.queue
        if job.executors:
            names = {self.fleet.current_executor(f"i-{number}") for number in job.executors}
            self.fleet.run_history.ticketed_executors[job.name] = names
        for _ in range(SUBMIT_ATTEMPTS):
            status = self._call(
                rng, self.fleet.submit, job.queue, job.name, list(job.steps), job.spec
            )
            record.maybe_accepted |= status != 503
            if status == 200:
                break
            self.clock.sleep(SUBMIT_RETRY_S)
        if job.cancel_after_s is None or not record.accepted:
            return
        self.clock.sleep(job.cancel_after_s)
        record.cancel_sent = True
        reply = self._call(rng, self.fleet.call, "DELETE", f"/{job.queue}/{job.name}")
        if isinstance(reply, tuple) and reply[0] == 200:
            record.cancelled_at = self.clock.now()

    def _call(self, rng: random.Random, send: Callable, *args):
        """Call a random running VM; return ``None`` when no answer comes in time."""
        serving = [vm for vm in sorted(self.fleet.vms) if self.fleet.serves(vm)]
        if not serving:
            return None
        answered = Event()
        greenlet = gevent.spawn(send, rng.choice(serving), *args)
        greenlet.rawlink(lambda _: answered.set())
        if not self.clock.wait(answered, REQUEST_TIMEOUT_S) or not greenlet.successful():
            return None
        return greenlet.value

    def _inject(self, fault: PlannedFault, rng: random.Random) -> None:
        self.clock.sleep(fault.at_s)
        if fault.after is not None:
            self._moments[fault.after].wait()
            self.clock.sleep(fault.delay_s)
        if not self._stopped and self.clock.now() < self._started_at + self._plan.length_s:
            if fault.kind not in PLANNED_FAULTS:
                self.fleet.unplanned_faults.append(self.clock.now())
            getattr(PlatformFaults(self.fleet, rng), fault.kind)()

    def _note_call(self, path: str, status: int, body: dict) -> None:
        if path == "/run-start" and status == 200:
            self._reach(Moment.START_SENT)
        elif path == "/run-stop" and status == 200:
            self._reach(Moment.STOP_SENT)
        elif path == "/hold" and body.get("ended"):
            self._reach(Moment.END_LISTED)

    def _watch_owner(self) -> None:
        director = None
        while not self._stopped:
            vm = self.fleet.vms.get(self.fleet.owner or "")
            if vm is not None and vm.director is not director:
                director = vm.director
                self._reach(Moment.TAKEOVER)
            self.clock.sleep(POLL_INTERVAL_S)

    def _reach(self, moment: Moment) -> None:
        reached, self._moments[moment] = self._moments[moment], Event()
        reached.set()


def explore(plan: Plan) -> tuple[Finding, ...]:
    """Play a plan and return what broke a rule."""
    return Exploration(plan).play()


def print_finding(plan: Plan, *, step: bool) -> None:
    """Play a plan again and print what broke, with the runs of the tasks concerned.

    :param step: whether to print all jobs and faults of the plan, too.
    """
    if step:
        for entry in sorted((*plan.jobs, *plan.faults), key=lambda entry: entry.at_s):
            print(f"    {entry}")
    exploration = Exploration(plan)
    for finding in exploration.play():
        print(f"  {finding.rule}: {finding.text}")
        for line in exploration.timeline(finding.subject):
            print(f"    {line}")


def main() -> int:
    """Explore seeds, print those that break a rule, and return whether any does."""
    parser = argparse.ArgumentParser(prog="bench.explore")
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--step", action="store_true", help="print the jobs and faults of a plan")
    parser.add_argument(
        "--minimize", action="store_true", help="leave out what a finding doesn't need"
    )
    parser.add_argument(
        "--turnover", action="store_true", help="draw plans that replace owners and executors"
    )
    args = parser.parse_args()
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    started = time.monotonic()
    rules: collections.Counter[str] = collections.Counter()
    for seed in range(args.seed, args.seed + args.seeds):
        plan = draw_turnover_plan(seed) if args.turnover else draw_plan(seed)
        findings = explore(plan)
        if not findings:
            continue
        rules.update({finding.rule for finding in findings})
        print(f"seed {seed}: {len(findings)} findings", flush=True)
        if args.minimize:
            wanted = findings[0].rule
            plan = reduce_plan(plan, lambda p, w=wanted: any(f.rule == w for f in explore(p)))
            print(f"  reduced to {len(plan.jobs)} jobs and {len(plan.faults)} faults")
        print_finding(plan, step=args.step or args.minimize)
    took_s = time.monotonic() - started
    counts = ", ".join(f"{rule} {count}" for rule, count in sorted(rules.items())) or "none"
    print(f"{args.seeds} seeds in {took_s:.1f} s; seeds that break a rule: {counts}")
    return 1 if rules else 0


if __name__ == "__main__":
    sys.exit(main())
