"""Measures the cost of an entry VM: added latency, throughput, memory and store calls."""

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
LATENCY_CALLS = 600
CLOSED_LOOP_CLIENTS = 32
CLOSED_LOOP_S = 5.0
IDLE_S = 10.0
WAITING_CLIENTS = 1000
WAITING_RUN_S = 8.0
CALL_TIMEOUT_S = 60.0
PAGE_BYTES = 4096
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class VmCostMeasurement:
    """Measures entry VM 1 of a fleet, which rarely owns the cell."""

    def __init__(self, fleet: Fleet):
        self._fleet = fleet
        self._client = HttpClient()
        self._entry = fleet.ports.entry(1)
        self._pid = fleet.entry_processes[1].pid

    def call(self, address: str, path: str, run_s: float, number: int) -> float:
        """Make one call and return its duration, in seconds.

        :param run_s: run time that the request asks of the stand-in, in seconds.
        """
        started = time.perf_counter()
        reply = self._client.call(
            address,
            "POST",
            path,
            body=msgspec.json.encode({"run_s": run_s, "n": number}),
            headers={"Lacewingmill-Team": "undertakers", "Lacewingmill-Deadline": "60"},
            timeout_s=CALL_TIMEOUT_S,
        )
        assert reply.status == 200, reply.body
        return time.perf_counter() - started

    def measure_latency(self) -> None:
        """Compare the latency of direct calls with interleaved calls through the entry VM."""
        direct, via_entry = [], []
        executor = self._fleet.ports.executor(0)
        for number in range(LATENCY_CALLS):
            direct.append(self.call(executor, "/plume-desk/stock", 0.0, number))
            via_entry.append(self.call(self._entry, "/plume-desk/stock", 0.0, number))
        for percent in (50, 99):
            direct_s, via_s = np.percentile(direct, percent), np.percentile(via_entry, percent)
            print(
                f"p{percent}: direct {direct_s * 1e3:.2f} ms, via entry VM {via_s * 1e3:.2f} ms, "
                f"ratio {via_s / direct_s:.2f}"
            )

    def measure_throughput(self) -> None:
        """Count the requests of a closed loop of clients, per second and per second of CPU time."""
        completed = 0
        end_at = time.monotonic() + CLOSED_LOOP_S

        def call_repeatedly() -> None:
            nonlocal completed
            while time.monotonic() < end_at:
                self.call(self._entry, "/plume-desk/stock", 0.0, completed)
                completed += 1

        before = self._cpu_time_s()
        gevent.joinall(
            [gevent.spawn(call_repeatedly) for _ in range(CLOSED_LOOP_CLIENTS)], raise_error=True
        )
        cpu_s = self._cpu_time_s() - before
        print(
            f"closed loop: {completed / CLOSED_LOOP_S:.0f} requests/s, "
            f"{completed / cpu_s:.0f} per core-s"
        )

    def measure_idle(self) -> None:
        """Measure the CPU time, memory and store calls of a fleet without requests."""
        cpu_before = [self._cpu_time_s(p.pid) for p in self._fleet.entry_processes.values()]
        calls = self._store_calls()
        gevent.sleep(IDLE_S)
        cpu_after = [self._cpu_time_s(p.pid) for p in self._fleet.entry_processes.values()]
        cpu_percent = sorted(
            (after - before) / IDLE_S * 100
            for before, after in zip(cpu_before, cpu_after, strict=True)
        )
        print(
            f"idle: {cpu_percent[0]:.1f} to {cpu_percent[-2]:.1f} % of a core, "
            f"owner {cpu_percent[-1]:.1f} %"
        )
        rate = (self._store_calls() - calls) / IDLE_S / len(cpu_before)
        print(f"idle: {rate:.2f} store calls/s per VM; a waiting watch counts as one call")
        print(f"idle: {self._memory_mb():.1f} MB resident")

    def measure_publish(self) -> None:
        """Publish once and print its duration and the store calls of all VMs in that time."""
        started = time.monotonic()
        calls = self._store_calls()
        result = self._fleet.publish(self._fleet.deployment.examples)
        elapsed = time.monotonic() - started
        assert result.returncode == 0, result.stderr
        print(f"publish: {self._store_calls() - calls} store calls in {elapsed:.1f} s, all VMs")

    def measure_waiting_clients(self) -> None:
        """Measure the memory that many clients take while they wait for jobs."""
        before = self._memory_mb()
        calls = [
            gevent.spawn(self.call, self._entry, "/plume-desk/fitting", WAITING_RUN_S, number)
            for number in range(WAITING_CLIENTS)
        ]
        gevent.sleep(WAITING_RUN_S / 2)
        during = self._memory_mb()
        gevent.killall(calls)
        print(f"{WAITING_CLIENTS} waiting clients: {during - before:.1f} MB more")

    def _cpu_time_s(self, pid: int = 0) -> float:
        with open(f"/proc/{pid or self._pid}/stat") as stat:
            fields = stat.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    def _memory_mb(self) -> float:
        with open(f"/proc/{self._pid}/statm") as statm:
            return int(statm.read().split()[1]) * PAGE_BYTES / 1e6

    def _store_calls(self) -> int:
        reply = self._client.call(
            self._fleet.ports.store, "GET", "/stats", timeout_s=CALL_TIMEOUT_S
        )
        counts = msgspec.json.decode(reply.body)
        return counts["reads"] + counts["writes"] + counts["watches"]


def main() -> int:
    """Start a fleet and print all figures."""
    fleet = Fleet(DEPLOYMENTS["guild"], BASE_PORT)
    try:
        fleet.start()
        fleet.publish(fleet.deployment.examples)
        measurement = VmCostMeasurement(fleet)
        measurement.measure_idle()
        measurement.measure_latency()
        measurement.measure_throughput()
        measurement.measure_publish()
        measurement.measure_waiting_clients()
    finally:
        fleet.stop()
    return 0


if __name__ == "__main__":
    gevent.config.resolver = "block"
    sys.exit(main())
