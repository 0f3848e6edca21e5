"""Starts and stops of VMs under disturbance: signals, settings half written, addresses taken.

Real processes, as the deploy file runs them, beside the emulated platform on loopback. At the end
every VM must be ready, no process may have ended by itself, and jobs must complete, none twice.
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

from bench.platform_demo import VMS, Demo, hand_in, report, wait_for_ends
from lacewingmill.adapters.clock import GeventClock
from lacewingmill.exceptions import TransportError

__all__ = ["StartReport", "run_starts"]

LAUNCH = Path(__file__).parent.parent / "deploy" / "launch.py"
ROUNDS = 4
POLL_S = 0.02
# A disturbance falls into a start, which takes up to about a second beside others.
LONGEST_PAUSE_S = 1.2
SIGNALS_IN_SERIES = 4
# Share of the starts and stops that meet one more disturbance.
DISTURBED_SHARE = 0.5
READY_S = 30.0
STOP_S = 10.0


@attrs.define
class StartReport:
    """What a run of disturbed starts showed.

    :param own_ends: VM, exit code and last line of each process that ended by itself.
    :param not_ready: VMs that were not ready at the end.
    :param promises_kept: whether all jobs completed once and all VMs stopped as planned.
    """

    starts: int = 0
    signals: int = 0
    own_ends: list[str] = attrs.field(factory=list)
    not_ready: list[int] = attrs.field(factory=list)
    promises_kept: bool = False

    @property
    def broken(self) -> bool:
        """Whether a VM ended by itself, stayed away, or broke a promise."""
        return bool(self.own_ends or self.not_ready or not self.promises_kept)


class DisturbedVm:
    """One VM that is signalled, stopped and started while its surroundings are not ready."""

    def __init__(self, demo: Demo, number: int, rng: random.Random, counts: StartReport):
        self._demo = demo
        self._number = number
        self._rng = rng
        self._counts = counts
        self.process: subprocess.Popen | None = None

    def run(self) -> None:
        """Disturb the VM some times, and leave it running."""
        self._start()
        actions = (self._hang_up, self._rewrite_settings, self._stop, self._kill)
        for _ in range(ROUNDS):
            self._pause()
            self._rng.choice(actions)()
        self._check()

    def _start(self) -> None:
        path = self._demo.settings_path(self._number)
        closed = self._rng.choice(("", "", " >&-", " 2>&-", " <&- >&- 2>&-"))
        env = {"PATH": os.environ["PATH"], "LACEWINGMILL_SETTINGS": str(path)}
        command = ["sh", "-c", f'exec "$0" "$@"{closed}', sys.executable, str(LAUNCH), "serve-jobs"]
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(command, stdout=log, stderr=log, env=env)
        self._counts.starts += 1

    def _hang_up(self) -> None:
        for _ in range(self._rng.randint(1, SIGNALS_IN_SERIES)):
            self._signal(signal.SIGHUP)
            gevent.sleep(self._rng.uniform(0.0, LONGEST_PAUSE_S / SIGNALS_IN_SERIES))

    def _rewrite_settings(self) -> None:
        with self._half_written_settings():
            self._signal(signal.SIGHUP)
        self._signal(signal.SIGHUP)

    def _stop(self) -> None:
        self._signal(signal.SIGTERM)
        if self._rng.random() < DISTURBED_SHARE:
            self._signal(signal.SIGHUP)
        with gevent.Timeout(STOP_S):
            while self.process.poll() is None:
                gevent.sleep(POLL_S)
        if self.process.returncode:
            self._note_end()
        self._start_disturbed()

    def _kill(self) -> None:
        self._check()
        self.process.kill()
        self.process.wait()
        self._start_disturbed()

    def _start_disturbed(self) -> None:
        port = self._demo.front_port(self._number) + self._rng.randrange(4)
        with contextlib.ExitStack() as disturbances:
            if self._rng.random() < DISTURBED_SHARE:
                disturbances.enter_context(self._taken(port))
            if self._rng.random() < DISTURBED_SHARE:
                disturbances.enter_context(self._half_written_settings())
            self._start()
            self._pause()

    @contextlib.contextmanager
    def _half_written_settings(self):
        """Cut the settings file short, and write it whole a while later."""
        path = self._demo.settings_path(self._number)
        whole = path.read_text()
        path.write_text(whole[: self._rng.randrange(len(whole))])
        yield
        self._pause()
        path.write_text(whole)

    @contextlib.contextmanager
    def _taken(self, port: int):
        """Hold a port of the VM, unless something else does."""
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            yield
            return
        yield

    def _pause(self) -> None:
        gevent.sleep(self._rng.uniform(0.0, LONGEST_PAUSE_S))

    def _signal(self, number: signal.Signals) -> None:
        """Send a signal once the interpreter has come to the launcher, which takes SIGHUP."""
        self._await(signal.SIGHUP)
        self._check()
        self._await(number)
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)
        self._counts.signals += 1

    def _await(self, number: signal.Signals) -> None:
        """Wait until the process takes a signal or is gone."""
        while self.process.poll() is None and not self._takes(number):
            gevent.sleep(POLL_S)

    def _takes(self, number: signal.Signals) -> bool:
        """Whether the process ignores or handles a signal."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return False
        masks = [
            line.split()[1] for line in status.splitlines() if line[:6] in ("SigIgn", "SigCgt")
        ]
        return any(int(mask, 16) >> (number - 1) & 1 for mask in masks)

    def _check(self) -> None:
        if self.process.poll() is not None:
            self._note_end()
            self._start()

    def _note_end(self) -> None:
        lines = self._log.read_text(errors="replace").splitlines()
        last = lines[-1] if lines else ""
        self._counts.own_ends.append(f"vm{self._number} code {self.process.returncode}: {last}")

    @property
    def _log(self) -> Path:
        return self._demo.log_path(self._number)


def run_starts(seed: int, base_port: int) -> StartReport:
    """Disturb the starts of all VMs together, then let them work."""
    counts = StartReport()
    with tempfile.TemporaryDirectory() as folder:
        demo = Demo(Path(folder), base_port)
        vms = [DisturbedVm(demo, n, random.Random(f"{seed} {n}"), counts) for n in range(VMS)]
        gevent.joinall([gevent.spawn(vm.run) for vm in vms], raise_error=True)
        counts.not_ready = await_ready(demo)
        accepted = hand_in(demo)
        states = wait_for_ends(demo, accepted)
        demo.adopt([vm.process for vm in vms])
        counts.promises_kept = report(demo.book, accepted, states, demo.stop()) == 0
    return counts


def await_ready(demo: Demo) -> list[int]:
    """Wait until all VMs are ready and return those that are not in time."""
    waiting = list(range(VMS))
    clock = GeventClock()
    give_up_at = clock.now() + READY_S
    while waiting and clock.now() < give_up_at:
        waiting = [number for number in waiting if not is_ready(demo, number)]
        clock.sleep(POLL_S)
    return waiting


def is_ready(demo: Demo, number: int) -> bool:
    """Whether a VM tells the balancer that it is ready."""
    try:
        return demo.ask_ready(number) == 200
    except TransportError:
        return False


def main() -> int:
    """Run seeds one after the other and print what each showed."""
    parser = argparse.ArgumentParser(prog="bench.starts", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--base-port", type=int, default=26000)
    args = parser.parse_args()
    broken = 0
    for seed in range(args.seed, args.seed + args.seeds):
        counts = run_starts(seed, args.base_port)
        broken += counts.broken
        print(f"seed {seed}: {'BROKEN' if counts.broken else 'kept'} {counts}", flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    gevent.config.resolver = "block"
    sys.exit(main())
