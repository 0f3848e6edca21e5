"""Ordinary requests at 8 entry VMs and 24 executors of 8 slots: ways to choose an executor.

Each VM sees only its own requests in flight. Virtual time, exponential run times, seeds.
"""

import argparse
import heapq
import random
import sys
from collections import deque
from collections.abc import Callable

import attrs
import numpy as np

__all__ = ["CHOICES", "simulate"]

VMS = 8
EXECUTORS = 24
SLOTS = 8
RUN_S = 0.02
REQUESTS = 60000
SUBSET = 8


@attrs.define
class Executor:
    """An executor with a queue of its own behind its slots."""

    busy: int = 0
    waiting: deque = attrs.field(factory=deque)


@attrs.define
class Balancer:
    """What one VM knows: its own requests in flight at each executor."""

    in_flight: list[int]
    subset: list[int]


def _random(vm: Balancer, rng: random.Random) -> int:
    return rng.randrange(EXECUTORS)


def _two_choices(vm: Balancer, rng: random.Random) -> int:
    return min(rng.sample(range(EXECUTORS), 2), key=lambda number: vm.in_flight[number])


def _least(vm: Balancer, rng: random.Random) -> int:
    return min(range(EXECUTORS), key=lambda number: (vm.in_flight[number], rng.random()))


def _subset_two(vm: Balancer, rng: random.Random) -> int:
    return min(rng.sample(vm.subset, 2), key=lambda number: vm.in_flight[number])


def _subset_least(vm: Balancer, rng: random.Random) -> int:
    return min(vm.subset, key=lambda number: (vm.in_flight[number], rng.random()))


CHOICES: dict[str, Callable[[Balancer, random.Random], int]] = {
    "random": _random,
    "two_choices": _two_choices,
    "least_own": _least,
    "subset_two": _subset_two,
    "subset_least": _subset_least,
}


def simulate(name: str, load: float, seed: int) -> tuple[float, float]:
    """Return the median and 99th percentile of the time in the system, in run times."""
    rng = random.Random(seed)
    choose = CHOICES[name]
    vms = [
        Balancer([0] * EXECUTORS, [(vm * 3 + n) % EXECUTORS for n in range(SUBSET)])
        for vm in range(VMS)
    ]
    executors = [Executor() for _ in range(EXECUTORS)]
    rate = load * EXECUTORS * SLOTS / RUN_S
    ends: list[tuple[float, int, int, float]] = []
    times = []
    now = 0.0
    for _ in range(REQUESTS):
        now += rng.expovariate(rate)
        while ends and ends[0][0] <= now:
            _end(heapq.heappop(ends), vms, executors, ends, rng, times)
        vm = rng.randrange(VMS)
        number = choose(vms[vm], rng)
        vms[vm].in_flight[number] += 1
        executor = executors[number]
        if executor.busy < SLOTS:
            executor.busy += 1
            heapq.heappush(ends, (now + rng.expovariate(1 / RUN_S), number, vm, now))
        else:
            executor.waiting.append((vm, now))
    return float(np.median(times)) / RUN_S, float(np.percentile(times, 99)) / RUN_S


def _end(event, vms, executors, ends, rng, times) -> None:
    at, number, vm, began = event
    times.append(at - began)
    vms[vm].in_flight[number] -= 1
    executor = executors[number]
    if executor.waiting:
        next_vm, next_began = executor.waiting.popleft()
        heapq.heappush(ends, (at + rng.expovariate(1 / RUN_S), number, next_vm, next_began))
    else:
        executor.busy -= 1


def main() -> int:
    """Print the comparison."""
    parser = argparse.ArgumentParser(prog="bench.balancing")
    parser.add_argument("--seeds", type=int, default=3)
    args = parser.parse_args()
    for load in (0.7, 0.9, 0.97):
        for name in CHOICES:
            runs = [simulate(name, load, seed) for seed in range(1, args.seeds + 1)]
            median = np.median([run[0] for run in runs])
            p99 = [run[1] for run in runs]
            print(
                f"load {load}: {name:13} median {median:.2f}, p99 {np.median(p99):.2f} run times, "
                f"spread {max(p99) - min(p99):.2f}"
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
