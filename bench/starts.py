"""Starts and stops VMs amid random signals, truncated settings files and ports in use.

The VMs are real processes, started as the deploy file does, against the emulated platform on
loopback. At the end every VM must be ready, no process may have exited by itself, and all jobs must
complete, none of them twice.
"""

import argparse
import contextlib
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

import attrs
import gevent

from bench.platform_demo import VM_COUNT, Demo, print_report, submit_jobs, wait_for_jobs
from lacewingmill.adapters.clock import GeventClock
from lacewingmill.exceptions import TransportError

__all__ = ["StartReport", "run_starts"]

LAUNCH = Path(__file__).parent.parent / "deploy" / "launch.py"
ROUNDS_PER_VM = 4
POLL_INTERVAL_S = 0.02
# A start takes up to about a second while others run, so a disturbance can fall into it.
MAX_PAUSE_S = 1.2
MAX_SIGNALS_IN_SERIES = 4
# Probability of each further disturbance of a start or a stop.
DISTURBANCE_PROBABILITY = 0.5
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0


@attrs.define
class StartReport:
    """The results of a run of disturbed starts.

    :param starts: number of processes that were started.
    :param signals: number of signals that were sent.
    :param unexpected_exits: VM, exit code and last log line of each process that exited by itself
        or with an error.
    :param not_ready: VMs that were not ready at the end.
    :param invariants_held: whether all jobs completed once and all VMs exited with 0.
    """

    starts: int = 0
    signals: int = 0
    unexpected_exits: list[str] = attrs.field(factory=list)
    not_ready: list[int] = attrs.field(factory=list)
    invariants_held: bool = False

    @property
    def has_violations(self) -> bool:
        """Whether a VM exited by itself, was not ready at the end, or an invariant was violated."""
        return bool(self.unexpected_exits or self.not_ready or not self.invariants_held)


class DisturbedVm:
    """A VM that is signalled, stopped and started while its files and ports are not usable."""

    def __init__(self, demo: Demo, number: int, rng: random.Random, report: StartReport):
        self._demo = demo
        self._number = number
        self._rng = rng
        self._report = report
        self.process: subprocess.Popen | None = None

    def run(self) -> None:
        """Disturb the VM ``ROUNDS_PER_VM`` times and leave it running."""
        self._start()
        actions = (self._send_hangups, self._reload_truncated_settings, self._stop, self._kill)
        for _ in range(ROUNDS_PER_VM):
            self._pause()
            self._rng.choice(actions)()
        self._restart_if_exited()

    def _start(self) -> None:
        path = self._demo.settings_path(self._number)
        redirections = self._rng.choice(("", "", " >&-", " 2>&-", " <&- >&- 2>&-"))
        env = {"PATH": os.environ["PATH"], "LACEWINGMILL_SETTINGS": str(path)}
        command = [
            "sh",
            "-c",
            f'exec "$0" "$@"{redirections}',
            sys.executable,
            str(LAUNCH),
            "serve-jobs",
        ]
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(command, stdout=log, stderr=log, env=env)
        self._report.starts += 1

    def _send_hangups(self) -> None:
        for _ in range(self._rng.randint(1, MAX_SIGNALS_IN_SERIES)):
            self._send_signal(signal.SIGHUP)
            gevent.sleep(self._rng.uniform(0.0, MAX_PAUSE_S / MAX_SIGNALS_IN_SERIES))

    def _reload_truncated_settings(self) -> None:
        with self._truncated_settings():
            self._send_signal(signal.SIGHUP)
        self._send_signal(signal.SIGHUP)

    def _stop(self) -> None:
        self._send_signal(signal.SIGTERM)
        if self._rng.random() < DISTURBANCE_PROBABILITY:
            self._send_signal(signal.SIGHUP)
        with gevent.Timeout(STOP_TIMEOUT_S):
            while self.process.poll() is None:
                gevent.sleep(POLL_INTERVAL_S)
        if self.process.returncode:
            self._record_exit()
        self._start_disturbed()

    def _kill(self) -> None:
        self._restart_if_exited()
        self.process.kill()
        self.process.wait()
        self._start_disturbed()

    def _start_disturbed(self) -> None:
        port = self._demo.api_port(self._number) + self._rng.randrange(4)
        with contextlib.ExitStack() as disturbances:
            if self._rng.random() < DISTURBANCE_PROBABILITY:
                disturbances.enter_context(self._occupied_port(port))
            if self._rng.random() < DISTURBANCE_PROBABILITY:
                disturbances.enter_context(self._truncated_settings())
            self._start()
            self._pause()

    @contextlib.contextmanager
    def _truncated_settings(self):
        """Truncate the settings file at a random place; restore it on exit after a pause."""
        path = self._demo.settings_path(self._number)
        complete = path.read_text()
        path.write_text(complete[: self._rng.randrange(len(complete))])
        yield
        self._pause()
        path.write_text(complete)

    @contextlib.contextmanager
    def _occupied_port(self, port: int):
        """Occupy a port of the VM, unless it is in use already."""
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            yield
            return
        yield

    def _pause(self) -> None:
        gevent.sleep(self._rng.uniform(0.0, MAX_PAUSE_S))

    def _send_signal(self, number: signal.Signals) -> None:
        """Send a signal once the process handles it.

        It waits for SIGHUP first, which the launcher ignores before it does anything else: only
        then has the interpreter reached the launcher.
        """
        self._wait_until_handled(signal.SIGHUP)
        self._restart_if_exited()
        self._wait_until_handled(number)
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)
        self._report.signals += 1

    def _wait_until_handled(self, number: signal.Signals) -> None:
        """Wait until the process handles or ignores a signal, or has exited."""
        while self.process.poll() is None and not self._is_handled(number):
            gevent.sleep(POLL_INTERVAL_S)

    def _is_handled(self, number: signal.Signals) -> bool:
        """Return whether the process handles or ignores a signal."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return False
        masks = [
            line.split()[1] for line in status.splitlines() if line[:6] in ("SigIgn", "SigCgt")
        ]
        return any(int(mask, 16) >> (number - 1) & 1 for mask in masks)

    def _restart_if_exited(self) -> None:
        if self.process.poll() is not None:
            self._record_exit()
            self._start()

    def _record_exit(self) -> None:
        lines = self._log_path.read_text(errors="replace").splitlines()
        last_line = lines[-1] if lines else ""
        self._report.unexpected_exits.append(
            f"vm{self._number} code {self.process.returncode}: {last_line}"
        )

    @property
    def _log_path(self) -> Path:
        return self._demo.log_path(self._number)


def run_starts(seed: int, base_port: int) -> StartReport:
    """Disturb the starts of all VMs at the same time, then submit jobs and wait for them."""
    report = StartReport()
    with tempfile.TemporaryDirectory() as directory:
        demo = Demo(Path(directory), base_port)
        disturbed_vms = [
            DisturbedVm(demo, n, random.Random(f"{seed} {n}"), report) for n in range(VM_COUNT)
        ]
        gevent.joinall([gevent.spawn(vm.run) for vm in disturbed_vms], raise_error=True)
        report.not_ready = wait_until_ready(demo)
        accepted = submit_jobs(demo)
        states = wait_for_jobs(demo, accepted)
        demo.adopt_vms([vm.process for vm in disturbed_vms])
        report.invariants_held = print_report(demo.history, accepted, states, demo.stop()) == 0
    return report


def wait_until_ready(demo: Demo) -> list[int]:
    """Wait until all VMs are ready; return those that are not after ``READY_TIMEOUT_S``."""
    pending = list(range(VM_COUNT))
    clock = GeventClock()
    give_up_at = clock.now() + READY_TIMEOUT_S
    while pending and clock.now() < give_up_at:
        pending = [number for number in pending if not is_ready(demo, number)]
        clock.sleep(POLL_INTERVAL_S)
    return pending


def is_ready(demo: Demo, number: int) -> bool:
    """Return whether a VM answers the readiness check of the balancer with 200."""
    try:
        return demo.ready_status(number) == 200
    except TransportError:
        return False


def main() -> int:
    """Run the seeds one after the other and print the report of each."""
    parser = argparse.ArgumentParser(prog="bench.starts", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--base-port", type=int, default=26000)
    args = parser.parse_args()
    failed_runs = 0
    for seed in range(args.seed, args.seed + args.seeds):
        report = run_starts(seed, args.base_port)
        failed_runs += report.has_violations
        print(f"seed {seed}: {'BROKEN' if report.has_violations else 'kept'} {report}", flush=True)
    return 1 if failed_runs else 0


if __name__ == "__main__":
    gevent.config.resolver = "block"
    sys.exit(main())
