"""Compares strategies by which entry VMs choose an executor for an ordinary request.

The simulation runs on virtual time with exponentially distributed run times and a fixed seed. Each
VM knows only its own requests in flight.
"""

import argparse
import heapq
import random
import sys
from collections import deque
from collections.abc import Callable

import attrs
import numpy as np

__all__ = ["STRATEGIES", "simulate"]

VM_COUNT = 8
EXECUTOR_COUNT = 24
SLOTS_PER_EXECUTOR = 8
MEAN_RUN_S = 0.02
REQUEST_COUNT = 60000
SUBSET_SIZE = 8


@attrs.define
class Executor:
    """An executor that queues requests while all its slots are busy."""

    busy: int = 0
    waiting: deque = attrs.field(factory=deque)


@attrs.define
class VmView:
    """The load as one VM sees it.

    :param in_flight: the VM's own requests in flight, by executor.
    :param subset: indexes of the executors that the subset strategies use.
    """

    in_flight: list[int]
    subset: list[int]


def _random(vm: VmView, rng: random.Random) -> int:
    return rng.randrange(EXECUTOR_COUNT)


def _two_choices(vm: VmView, rng: random.Random) -> int:
    return min(rng.sample(range(EXECUTOR_COUNT), 2), key=lambda index: vm.in_flight[index])


def _least_loaded(vm: VmView, rng: random.Random) -> int:
    return min(range(EXECUTOR_COUNT), key=lambda index: (vm.in_flight[index], rng.random()))


def _subset_two_choices(vm: VmView, rng: random.Random) -> int:
    return min(rng.sample(vm.subset, 2), key=lambda index: vm.in_flight[index])


def _subset_least_loaded(vm: VmView, rng: random.Random) -> int:
    return min(vm.subset, key=lambda index: (vm.in_flight[index], rng.random()))


STRATEGIES: dict[str, Callable[[VmView, random.Random], int]] = {
    "random": _random,
    "two_choices": _two_choices,
    "least_own": _least_loaded,
    "subset_two": _subset_two_choices,
    "subset_least": _subset_least_loaded,
}


def simulate(name: str, load: float, seed: int) -> tuple[float, float]:
    """Return the median and the 99th percentile of the response time, in mean run times.

    The response time of a request runs from its arrival until its end.

    :param name: a key of ``STRATEGIES``.
    :param load: share of all slots that is busy on average, 0..1.
    """
    rng = random.Random(seed)
    choose = STRATEGIES[name]
    vms = [
        VmView([0] * EXECUTOR_COUNT, [(vm * 3 + n) % EXECUTOR_COUNT for n in range(SUBSET_SIZE)])
        for vm in range(VM_COUNT)
    ]
    executors = [Executor() for _ in range(EXECUTOR_COUNT)]
    rate = load * EXECUTOR_COUNT * SLOTS_PER_EXECUTOR / MEAN_RUN_S
    completions: list[tuple[float, int, int, float]] = []
    response_times = []
    now = 0.0
    for _ in range(REQUEST_COUNT):
        now += rng.expovariate(rate)
        while completions and completions[0][0] <= now:
            _finish_request(
                heapq.heappop(completions), vms, executors, completions, rng, response_times
            )
        vm = rng.randrange(VM_COUNT)
        index = choose(vms[vm], rng)
        vms[vm].in_flight[index] += 1
        executor = executors[index]
        if executor.busy < SLOTS_PER_EXECUTOR:
            executor.busy += 1
            heapq.heappush(completions, (now + rng.expovariate(1 / MEAN_RUN_S), index, vm, now))
        else:
            executor.waiting.append((vm, now))
    return (
        float(np.median(response_times)) / MEAN_RUN_S,
        float(np.percentile(response_times, 99)) / MEAN_RUN_S,
    )


def _finish_request(completion, vms, executors, completions, rng, response_times) -> None:
    ended_at, index, vm, arrived_at = completion
    response_times.append(ended_at - arrived_at)
    vms[vm].in_flight[index] -= 1
    executor = executors[index]
    if executor.waiting:
        next_vm, next_arrived_at = executor.waiting.popleft()
        heapq.heappush(
            completions,
            (ended_at + rng.expovariate(1 / MEAN_RUN_S), index, next_vm, next_arrived_at),
        )
    else:
        executor.busy -= 1


def main() -> int:
    """Print the response times of each strategy at three loads."""
    parser = argparse.ArgumentParser(prog="bench.balancing")
    parser.add_argument("--seeds", type=int, default=3)
    args = parser.parse_args()
    for load in (0.7, 0.9, 0.97):
        for name in STRATEGIES:
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
