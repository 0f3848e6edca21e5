"""Injects random faults into a fleet of real processes under load, then checks the ledger."""

import argparse
import collections
import contextlib
import random
import signal
import sys
import time

import attrs
import gevent

from bench.load import CallOutcome, LedgerViolations, LoadGenerator, check_ledger, read_ledger
from lacewingmill.exceptions import TransportError
from lacewingmill.models import Role, VmState
from standins.fleet import DEPLOYMENTS, Fleet, list_vms

__all__ = ["FAULTS", "FaultReport", "FaultInjector", "run_faults"]

CALLS_PER_S = 40.0
ROUND_INTERVAL_S = 12.0
FAULT_DURATION_S = 5.0
LOAD_MARGIN_S = 4.0
RECOVERY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
# After this time no entry VM may send a new request to a leaving executor.
LEAVING_GRACE_S = 5.0


class FaultInjector:
    """Injects single faults into a fleet and reverts them.

    The names of the public methods are the names of the faults on the command line.
    ``runs_on_leaving`` counts executions on executors that had been leaving for longer than
    ``LEAVING_GRACE_S``.
    """

    def __init__(self, fleet: Fleet, rng: random.Random):
        self.runs_on_leaving = 0
        self._fleet = fleet
        self._rng = rng

    def vm_killed(self) -> None:
        """Kill an entry VM and start it again."""
        number = self._random_entry()
        self._fleet.entry_processes[number].kill()
        self._fleet.entry_processes[number].wait()
        gevent.sleep(FAULT_DURATION_S)
        self._fleet.start_entry(number)

    def owner_killed(self) -> None:
        """Kill the entry VM that owns the cell and start it again."""
        number = find_owner(self._fleet)
        self._fleet.entry_processes[number].kill()
        self._fleet.entry_processes[number].wait()
        gevent.sleep(FAULT_DURATION_S)
        self._fleet.start_entry(number)

    def owner_paused(self) -> None:
        """Pause the process of the owner until its lease has expired, then resume it."""
        process = self._fleet.entry_processes[find_owner(self._fleet)]
        process.send_signal(signal.SIGSTOP)
        gevent.sleep(FAULT_DURATION_S)
        process.send_signal(signal.SIGCONT)

    def planned_stop(self) -> None:
        """Stop an entry VM with SIGTERM, wait for its exit and start it again."""
        number = self._random_entry()
        self._fleet.entry_processes[number].send_signal(signal.SIGTERM)
        while self._fleet.entry_processes[number].poll() is None:
            gevent.sleep(POLL_INTERVAL_S)
        self._fleet.start_entry(number)

    def store_down(self) -> None:
        """Let the store respond with 503 to all requests."""
        self._apply_switch(self._fleet.ports.store, "down", True, False)

    def store_slow(self) -> None:
        """Delay the responses of the store."""
        self._apply_switch(self._fleet.ports.store, "slow_s", 0.8, 0.0)

    def store_answers_lost(self) -> None:
        """Let the store execute all requests but lose a third of its responses."""
        self._apply_switch(self._fleet.ports.store, "lose_answers", 0.33, 0.0)

    def worker_frozen(self) -> None:
        """Let a worker accept connections but not respond."""
        self._apply_switch(self._fleet.ports.worker(self._rng.randrange(24)), "freeze", True, False)

    def worker_killed(self) -> None:
        """Kill a worker and start it again with an empty lease table."""
        name = f"worker-{self._rng.randrange(24)}"
        self._fleet.control_target("kill", name)
        gevent.sleep(FAULT_DURATION_S)
        self._fleet.control_target("revive", name)

    def connections_silent(self) -> None:
        """Silence the open connections of a worker and an executor; new connections work."""
        number = self._rng.randrange(24)
        self._fleet.set_faults(self._fleet.ports.worker(number), {"silence": True})
        self._fleet.set_faults(self._fleet.ports.executor(number), {"silence": True})
        gevent.sleep(FAULT_DURATION_S)

    def worker_fails_all(self) -> None:
        """Let a worker fail every task that it starts."""
        address = self._fleet.ports.worker(self._rng.randrange(24))
        self._apply_switch(address, "fail_tasks", True, False)

    def executor_silent(self) -> None:
        """Let an executor accept connections but not respond."""
        self._apply_switch(
            self._fleet.ports.executor(self._rng.randrange(24)), "freeze", True, False
        )

    def executor_refuses(self) -> None:
        """Let an executor refuse all work although it looks healthy."""
        self._apply_switch(
            self._fleet.ports.executor(self._rng.randrange(24)), "refuse", True, False
        )

    def list_silent(self) -> None:
        """Silence the open connections to the VM list; new connections work."""
        self._fleet.set_faults(self._fleet.ports.vm_list, {"silence": True})
        gevent.sleep(FAULT_DURATION_S)

    def target_leaving(self) -> None:
        """Let an executor leave and count the requests it gets after ``LEAVING_GRACE_S``."""
        vms = list_vms(self._fleet.deployment, self._fleet.ports)
        executor = self._rng.choice([vm for vm in vms if vm.role is Role.EXECUTOR])
        self._fleet.put_vm_entry(attrs.evolve(executor, state=VmState.LEAVING))
        gevent.sleep(LEAVING_GRACE_S)
        before = self._count_executions(executor.name)
        gevent.sleep(FAULT_DURATION_S)
        self.runs_on_leaving += self._count_executions(executor.name) - before
        self._fleet.put_vm_entry(executor)

    def _count_executions(self, name: str) -> int:
        return sum(1 for row in read_ledger(self._fleet) if row.who == name)

    def _apply_switch(self, address: str, name: str, faulty, normal) -> None:
        self._fleet.set_faults(address, {name: faulty})
        gevent.sleep(FAULT_DURATION_S)
        self._fleet.set_faults(address, {name: normal})

    def _random_entry(self) -> int:
        return self._rng.randrange(len(self._fleet.entry_processes))


FAULTS = tuple(name for name in vars(FaultInjector) if not name.startswith("_"))


def find_owner(fleet: Fleet) -> int:
    """Return the number of the entry VM that owns the cell.

    :raises TimeoutError: when no VM owns it within ``RECOVERY_TIMEOUT_S``.
    """
    end_at = time.monotonic() + RECOVERY_TIMEOUT_S
    while time.monotonic() < end_at:
        for number in fleet.entry_processes:
            with contextlib.suppress(TransportError):
                reply = fleet.client.call(
                    fleet.ports.control(number), "GET", "/cell/status", timeout_s=1.0
                )
                if reply.status == 200:
                    return number
        gevent.sleep(POLL_INTERVAL_S)
    raise TimeoutError("no VM owns the cell")


@attrs.frozen
class FaultReport:
    """The results of a run with faults.

    :param cut: calls that failed in transport, such as by a closed connection or a timeout.
    :param wrong: responses that do not match their request, and errors other than 503 that state
        no outcome.
    :param longest_gap_s: longest time without an answered call, in seconds.
    :param recovery_s: time from the end of the last fault until all VMs were ready and one owned
        the cell, in seconds.
    :param reasons: why calls were not answered, each with its count.
    :param runs_on_leaving: executions on executors that had been leaving for longer than
        ``LEAVING_GRACE_S``.
    """

    faults: tuple[str, ...]
    sent: int
    answered: int
    not_run: int
    unknown: int
    cut: int
    wrong: int
    violations: LedgerViolations
    longest_gap_s: float
    recovery_s: float
    reasons: tuple[str, ...]
    runs_on_leaving: int

    @property
    def has_violations(self) -> bool:
        """Whether an invariant was violated."""
        ledger = any(attrs.astuple(self.violations, recurse=False))
        return bool(self.wrong or self.runs_on_leaving or ledger)


def run_faults(fleet: Fleet, seed: int, faults: tuple[str, ...]) -> FaultReport:
    """Run a fleet under load and inject faults.

    :param faults: the faults of each round; ``+`` joins those that are injected together.
    """
    rng = random.Random(seed)
    injector = FaultInjector(fleet, rng)
    load = LoadGenerator(fleet, seed, CALLS_PER_S)
    load_s = LOAD_MARGIN_S + ROUND_INTERVAL_S * len(faults)
    load_greenlet = gevent.spawn(load.run, load_s)
    gevent.sleep(LOAD_MARGIN_S / 2)
    for number, names in enumerate(faults):
        ends_at = time.monotonic() + ROUND_INTERVAL_S
        greenlets = [gevent.spawn(getattr(injector, name)) for name in names.split("+")]
        gevent.joinall(greenlets, raise_error=True)
        if number < len(faults) - 1:
            gevent.sleep(max(0.0, ends_at - time.monotonic()))
    recovery_s = _wait_for_recovery(fleet)
    load_greenlet.get()
    return FaultReport(
        faults,
        load.sent,
        load.count(CallOutcome.ANSWERED),
        load.count(CallOutcome.NOT_RUN),
        load.count(CallOutcome.UNKNOWN),
        load.count(CallOutcome.CUT),
        load.count(CallOutcome.WRONG),
        check_ledger(load.calls, read_ledger(fleet)),
        load.longest_gap_s(),
        recovery_s,
        _count_reasons(load),
        injector.runs_on_leaving,
    )


def _count_reasons(load: LoadGenerator) -> tuple[str, ...]:
    """Return the distinct details of calls that were not answered, each with count and path."""
    details = collections.Counter(
        f"{call.outcome.value}: {call.kind.path}: {call.detail.replace(call.key, 'KEY')}"
        for call in load.calls
        if call.outcome is not CallOutcome.ANSWERED
    )
    return tuple(f"{count} x {detail}" for detail, count in details.most_common())


def choose_faults(seed: int, rounds: int) -> tuple[str, ...]:
    """Return random faults for each round; every second round combines two."""
    rng = random.Random(seed)
    return tuple("+".join(sorted(rng.sample(FAULTS, 1 + number % 2))) for number in range(rounds))


def _wait_for_recovery(fleet: Fleet) -> float:
    started = time.monotonic()
    while time.monotonic() - started < RECOVERY_TIMEOUT_S:
        ready = all(_is_ready(fleet, number) for number in fleet.entry_processes)
        if ready:
            find_owner(fleet)
            break
        gevent.sleep(POLL_INTERVAL_S)
    return time.monotonic() - started


def _is_ready(fleet: Fleet, number: int) -> bool:
    try:
        reply = fleet.client.call(fleet.ports.control(number), "GET", "/ready", timeout_s=1.0)
    except TransportError:
        return False
    return reply.status == 200


def main() -> int:
    """Run a fleet with random or given faults and print the report."""
    parser = argparse.ArgumentParser(prog="bench.faults")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--deployment", choices=("waschplan", "guild"), default="guild")
    parser.add_argument("--faults", help="rounds, comma-separated; + joins faults of one round")
    parser.add_argument("--base-port", type=int, default=25000)
    args = parser.parse_args()
    faults = tuple(args.faults.split(",")) if args.faults else None
    fleet = Fleet(DEPLOYMENTS[args.deployment], args.base_port)
    try:
        fleet.start()
        fleet.publish(fleet.deployment.examples)
        report = run_faults(fleet, args.seed, faults or choose_faults(args.seed, args.rounds))
    finally:
        fleet.stop()
    for name, value in attrs.asdict(report, recurse=False).items():
        if name != "reasons":
            print(f"{name:15} {value}")
    for reason in report.reasons:
        print(f"  {reason}")
    return 1 if report.has_violations else 0


if __name__ == "__main__":
    gevent.config.resolver = "block"
    sys.exit(main())
