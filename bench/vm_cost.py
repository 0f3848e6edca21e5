"""Cost of an entry VM in one run: added latency, requests a second, memory, store calls."""

import os
import sys
import time

import gevent
import msgspec
import numpy as np

from lacewingmill.adapters.http_client import HttpClient
from standins.fleet import DEPLOYMENTS, Fleet

__all__ = ["main"]

BASE_PORT = 24200
CALLS = 600
CLOSED_LOOP = 32
CLOSED_LOOP_S = 5.0
REST_S = 10.0
WAITERS = 1000
WAITER_RUN_S = 8.0
TIMEOUT_S = 60.0
PAGE_BYTES = 4096
TICKS = os.sysconf("SC_CLK_TCK")


class VmCost:
    """Measures entry VM 1 of a fleet, which seldom owns the cell."""

    def __init__(self, fleet: Fleet):
        self._fleet = fleet
        self._caller = HttpClient()
        self._entry = fleet.ports.entry(1)
        self._pid = fleet.entry_processes[1].pid

    def call(self, address: str, path: str, run_s: float, number: int) -> float:
        """Make one call and return its time, in seconds."""
        started = time.perf_counter()
        reply = self._caller.call(
            address,
            "POST",
            path,
            body=msgspec.json.encode({"run_s": run_s, "n": number}),
            headers={"Lacewingmill-Team": "undertakers", "Lacewingmill-Deadline": "60"},
            timeout_s=TIMEOUT_S,
        )
        assert reply.status == 200, reply.body
        return time.perf_counter() - started

    def latency(self) -> None:
        """Interleave direct calls and calls through the entry VM."""
        direct, through = [], []
        executor = self._fleet.ports.executor(0)
        for number in range(CALLS):
            direct.append(self.call(executor, "/plume-desk/stock", 0.0, number))
            through.append(self.call(self._entry, "/plume-desk/stock", 0.0, number))
        for share in (50, 99):
            a, b = np.percentile(direct, share), np.percentile(through, share)
            print(f"p{share}: direct {a * 1e3:.2f} ms, through {b * 1e3:.2f} ms, ratio {b / a:.2f}")

    def throughput(self) -> None:
        """Keep a closed loop of callers busy and divide by the processor time used."""
        done = 0
        end = time.monotonic() + CLOSED_LOOP_S

        def loop() -> None:
            nonlocal done
            while time.monotonic() < end:
                self.call(self._entry, "/plume-desk/stock", 0.0, done)
                done += 1

        before = self._processor_s()
        gevent.joinall([gevent.spawn(loop) for _ in range(CLOSED_LOOP)], raise_error=True)
        used = self._processor_s() - before
        print(f"closed loop: {done / CLOSED_LOOP_S:.0f} requests/s, {done / used:.0f} per core-s")

    def rest(self) -> None:
        """Leave the fleet alone and count processor time, memory and store calls."""
        processors = [self._processor_s(p.pid) for p in self._fleet.entry_processes.values()]
        calls = self._store_calls()
        gevent.sleep(REST_S)
        after = [self._processor_s(p.pid) for p in self._fleet.entry_processes.values()]
        used = sorted((b - a) / REST_S * 100 for a, b in zip(processors, after, strict=True))
        print(f"at rest: {used[0]:.1f} to {used[-2]:.1f} % of a core, the owner {used[-1]:.1f} %")
        rate = (self._store_calls() - calls) / REST_S / len(processors)
        print(f"at rest: {rate:.2f} store calls/s a VM, each waiting watch counted once")
        print(f"at rest: {self._memory_mb():.1f} MB resident")

    def publish(self) -> None:
        """Publish once and count store calls, those at rest left out."""
        started = time.monotonic()
        calls = self._store_calls()
        done = self._fleet.publish(self._fleet.deployment.examples)
        elapsed = time.monotonic() - started
        assert done.returncode == 0, done.stderr
        print(f"publish: {self._store_calls() - calls} store calls in {elapsed:.1f} s, all VMs")

    def waiters(self) -> None:
        """Hold many callers waiting for jobs and compare memory."""
        before = self._memory_mb()
        calls = [
            gevent.spawn(self.call, self._entry, "/plume-desk/fitting", WAITER_RUN_S, number)
            for number in range(WAITERS)
        ]
        gevent.sleep(WAITER_RUN_S / 2)
        held = self._memory_mb()
        gevent.killall(calls)
        print(f"{WAITERS} waiting callers: {held - before:.1f} MB more")

    def _processor_s(self, pid: int = 0) -> float:
        with open(f"/proc/{pid or self._pid}/stat") as stat:
            fields = stat.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    def _memory_mb(self) -> float:
        with open(f"/proc/{self._pid}/statm") as statm:
            return int(statm.read().split()[1]) * PAGE_BYTES / 1e6

    def _store_calls(self) -> int:
        reply = self._caller.call(self._fleet.ports.store, "GET", "/stats", timeout_s=TIMEOUT_S)
        counts = msgspec.json.decode(reply.body)
        return counts["reads"] + counts["writes"] + counts["watches"]


def main() -> int:
    """Print all figures."""
    fleet = Fleet(DEPLOYMENTS["guild"], BASE_PORT)
    try:
        fleet.start()
        fleet.publish(fleet.deployment.examples)
        cost = VmCost(fleet)
        cost.rest()
        cost.latency()
        cost.throughput()
        cost.publish()
        cost.waiters()
    finally:
        fleet.stop()
    return 0


if __name__ == "__main__":
    gevent.config.resolver = "block"
    sys.exit(main())
