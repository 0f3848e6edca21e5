"""Random mixes of failures against real processes under load; ledgers are checked at the end."""

import argparse
import collections
import contextlib
import random
import signal
import sys
import time

import attrs
import gevent

from bench.load import CallOutcome, LedgerVerdict, Load, judge_ledger, read_ledger
from lacewingmill.exceptions import TransportError
from lacewingmill.models import Role, VmState
from standins.fleet import DEPLOYMENTS, Fleet, list_vms

__all__ = ["FAULTS", "FaultReport", "Injector", "run_faults"]

RATE = 40.0
ROUND_S = 12.0
HOLD_S = 5.0
SETTLE_S = 4.0
RECOVERY_LIMIT_S = 30.0
PROBE_S = 0.1
LEAVING_KNOWN_S = 5.0


class Injector:
    """Brings single failures about and takes them back.

    ``work_for_leaving`` counts executions at executors that had been leaving for
    ``LEAVING_KNOWN_S``.
    """

    def __init__(self, fleet: Fleet, rng: random.Random):
        self.work_for_leaving = 0
        self._fleet = fleet
        self._rng = rng

    def vm_killed(self) -> None:
        """Kill an entry VM and start a new one in its place."""
        number = self._entry()
        self._fleet.entry_processes[number].kill()
        self._fleet.entry_processes[number].wait()
        gevent.sleep(HOLD_S)
        self._fleet.start_entry(number)

    def owner_killed(self) -> None:
        """Kill the owner of the cell."""
        number = find_owner(self._fleet)
        self._fleet.entry_processes[number].kill()
        self._fleet.entry_processes[number].wait()
        gevent.sleep(HOLD_S)
        self._fleet.start_entry(number)

    def owner_paused(self) -> None:
        """Pause the owner past its lease, then let it wake."""
        process = self._fleet.entry_processes[find_owner(self._fleet)]
        process.send_signal(signal.SIGSTOP)
        gevent.sleep(HOLD_S)
        process.send_signal(signal.SIGCONT)

    def planned_stop(self) -> None:
        """Stop an entry VM by a signal and start a new one in its place."""
        number = self._entry()
        self._fleet.entry_processes[number].send_signal(signal.SIGTERM)
        while self._fleet.entry_processes[number].poll() is None:
            gevent.sleep(PROBE_S)
        self._fleet.start_entry(number)

    def store_down(self) -> None:
        """Take the store away for a while."""
        self._switch(self._fleet.ports.store, "down", True, False)

    def store_slow(self) -> None:
        """Slow the store down."""
        self._switch(self._fleet.ports.store, "slow_s", 0.8, 0.0)

    def store_answers_lost(self) -> None:
        """Let the store lose a third of its answers after the writes took effect."""
        self._switch(self._fleet.ports.store, "lose_answers", 0.33, 0.0)

    def worker_frozen(self) -> None:
        """Let a worker accept connections and never answer."""
        self._switch(self._fleet.ports.worker(self._rng.randrange(24)), "freeze", True, False)

    def worker_killed(self) -> None:
        """Kill a worker and start it again with an empty lease table."""
        name = f"worker-{self._rng.randrange(24)}"
        self._fleet.control_target("kill", name)
        gevent.sleep(HOLD_S)
        self._fleet.control_target("revive", name)

    def connections_silent(self) -> None:
        """Lose track of the open connections of a worker and an executor; new ones work."""
        number = self._rng.randrange(24)
        self._fleet.set_faults(self._fleet.ports.worker(number), {"silence": True})
        self._fleet.set_faults(self._fleet.ports.executor(number), {"silence": True})
        gevent.sleep(HOLD_S)

    def worker_fails_all(self) -> None:
        """Let a worker fail every task that it starts."""
        address = self._fleet.ports.worker(self._rng.randrange(24))
        self._switch(address, "fail_tasks", True, False)

    def executor_silent(self) -> None:
        """Let an executor's connections go silent."""
        self._switch(self._fleet.ports.executor(self._rng.randrange(24)), "freeze", True, False)

    def executor_refuses(self) -> None:
        """Let an executor refuse all work while it looks well."""
        self._switch(self._fleet.ports.executor(self._rng.randrange(24)), "refuse", True, False)

    def list_silent(self) -> None:
        """Lose track of the open connections to the VM list; new ones work."""
        self._fleet.set_faults(self._fleet.ports.vm_list, {"silence": True})
        gevent.sleep(HOLD_S)

    def target_leaving(self) -> None:
        """Let an executor leave, and count the work it still gets once that must be known."""
        vms = list_vms(self._fleet.deployment, self._fleet.ports)
        executor = self._rng.choice([vm for vm in vms if vm.role is Role.EXECUTOR])
        self._fleet.put_vm_entry(attrs.evolve(executor, state=VmState.LEAVING))
        gevent.sleep(LEAVING_KNOWN_S)
        before = self._executions(executor.name)
        gevent.sleep(HOLD_S)
        self.work_for_leaving += self._executions(executor.name) - before
        self._fleet.put_vm_entry(executor)

    def _executions(self, name: str) -> int:
        return sum(1 for row in read_ledger(self._fleet) if row.who == name)

    def _switch(self, address: str, name: str, bad, good) -> None:
        self._fleet.set_faults(address, {name: bad})
        gevent.sleep(HOLD_S)
        self._fleet.set_faults(address, {name: good})

    def _entry(self) -> int:
        return self._rng.randrange(len(self._fleet.entry_processes))


FAULTS = tuple(name for name in vars(Injector) if not name.startswith("_"))


def find_owner(fleet: Fleet) -> int:
    """Return the number of the entry VM that owns the cell."""
    end = time.monotonic() + RECOVERY_LIMIT_S
    while time.monotonic() < end:
        for number in fleet.entry_processes:
            with contextlib.suppress(TransportError):
                reply = fleet.client.call(
                    fleet.ports.control(number), "GET", "/cell/status", timeout_s=1.0
                )
                if reply.status == 200:
                    return number
        gevent.sleep(PROBE_S)
    raise TimeoutError("no VM owns the cell")


@attrs.frozen
class FaultReport:
    """What a run of failures showed.

    :param wrong: answers that were not the caller's own.
    :param longest_gap_s: longest time without an answered call.
    :param reasons: why calls were not answered, each with its count.
    :param work_for_leaving: executions at executors that had been leaving for long enough.
    :param recovery_s: from the end of the failures until all VMs were ready and one owned the cell.
    """

    faults: tuple[str, ...]
    sent: int
    answered: int
    not_run: int
    unknown: int
    cut: int
    wrong: int
    verdict: LedgerVerdict
    longest_gap_s: float
    recovery_s: float
    reasons: tuple[str, ...]
    work_for_leaving: int

    @property
    def broken(self) -> bool:
        """Whether a promise was broken."""
        ledger = any(attrs.astuple(self.verdict, recurse=False))
        return bool(self.wrong or self.work_for_leaving or ledger)


def run_faults(fleet: Fleet, seed: int, faults: tuple[str, ...]) -> FaultReport:
    """Run failures one after the other, some together, under load."""
    rng = random.Random(seed)
    injector = Injector(fleet, rng)
    load = Load(fleet, seed, RATE)
    seconds = SETTLE_S + ROUND_S * len(faults)
    sender = gevent.spawn(load.run, seconds)
    gevent.sleep(SETTLE_S / 2)
    for number, names in enumerate(faults):
        ends_at = time.monotonic() + ROUND_S
        parts = [gevent.spawn(getattr(injector, name)) for name in names.split("+")]
        gevent.joinall(parts, raise_error=True)
        if number < len(faults) - 1:
            gevent.sleep(max(0.0, ends_at - time.monotonic()))
    recovery_s = _await_recovery(fleet)
    sender.get()
    return FaultReport(
        faults,
        load.sent,
        load.count(CallOutcome.ANSWERED),
        load.count(CallOutcome.NOT_RUN),
        load.count(CallOutcome.UNKNOWN),
        load.count(CallOutcome.CUT),
        load.count(CallOutcome.WRONG),
        judge_ledger(load.calls, read_ledger(fleet)),
        load.longest_gap_s(),
        recovery_s,
        _reasons(load),
        injector.work_for_leaving,
    )


def _reasons(load: Load) -> tuple[str, ...]:
    """Return each distinct detail of a call that was not answered, with its path."""
    details = collections.Counter(
        f"{call.outcome.value}: {call.kind.path}: {call.detail.replace(call.key, 'KEY')}"
        for call in load.calls
        if call.outcome is not CallOutcome.ANSWERED
    )
    return tuple(f"{count} x {detail}" for detail, count in details.most_common())


def choose_faults(seed: int, rounds: int) -> tuple[str, ...]:
    """Return a random mix: every other round brings two failures together."""
    rng = random.Random(seed)
    return tuple("+".join(sorted(rng.sample(FAULTS, 1 + number % 2))) for number in range(rounds))


def _await_recovery(fleet: Fleet) -> float:
    started = time.monotonic()
    while time.monotonic() - started < RECOVERY_LIMIT_S:
        ready = all(_is_ready(fleet, number) for number in fleet.entry_processes)
        if ready:
            find_owner(fleet)
            break
        gevent.sleep(PROBE_S)
    return time.monotonic() - started


def _is_ready(fleet: Fleet, number: int) -> bool:
    try:
        reply = fleet.client.call(fleet.ports.control(number), "GET", "/ready", timeout_s=1.0)
    except TransportError:
        return False
    return reply.status == 200


def main() -> int:
    """Run random failures from the command line."""
    parser = argparse.ArgumentParser(prog="bench.faults")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--deployment", choices=("waschplan", "guild"), default="guild")
    parser.add_argument("--faults", help="comma-separated; + joins failures that come together")
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
    return 1 if report.broken else 0


if __name__ == "__main__":
    gevent.config.resolver = "block"
    sys.exit(main())
