"""Load balancing over executors: fewest requests in flight, with outlier ejection.

Only signs that an executor is unreachable count towards ejection: failed connections, timeouts,
502 and 504. A response of 429, 500 or 503 comes from a live executor, and ejecting it would shift
its load to the others.
"""

import random

import attrs

from lacewingmill.models import Vm

__all__ = ["ExecutorPool", "ExecutorSlot"]

CONNECTIONS_PER_EXECUTOR = 64
EJECT_AFTER_FAILURES = 2
BASE_EJECTION_S = 2.0
MAX_EJECTION_S = 30.0
MAX_COUNTED_REFUSALS = 8
REFUSAL_STATUSES = frozenset((429, 500, 503))
UNREACHABLE_STATUSES = frozenset((502, 504))


@attrs.define(eq=False)
class _Executor:
    """State of one executor, as seen by this VM.

    :param in_flight: requests that this VM has sent and that are not answered yet.
    :param refusals: consecutive refusals. They count as load, because an executor that refuses at
        once has few requests in flight and would otherwise attract all new ones.
    :param failures: consecutive failures to reach the executor.
    :param ejected_until: clock time before which it gets no requests, in seconds.
    """

    vm: Vm
    in_flight: int = 0
    refusals: int = 0
    failures: int = 0
    ejected_until: float = 0.0

    @property
    def load(self) -> int:
        """Requests in flight plus recent refusals; the lowest load is chosen."""
        return self.in_flight + min(self.refusals, MAX_COUNTED_REFUSALS)


@attrs.frozen(eq=False)
class ExecutorSlot:
    """The right to send one request to an executor; release it afterwards."""

    executor: _Executor

    @property
    def vm(self) -> Vm:
        """The VM of the executor."""
        return self.executor.vm


class ExecutorPool:
    """The executors of one service.

    :param rng: random number generator that breaks ties.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._executors: dict[str, _Executor] = {}
        self._max_in_flight = CONNECTIONS_PER_EXECUTOR

    def set_targets(self, vms: tuple[Vm, ...], entry_vm_count: int) -> None:
        """Replace the executors of the pool.

        An executor that is no longer listed gets no new requests.

        :param entry_vm_count: live entry VMs, which share the connections of each executor.
        """
        self._max_in_flight = max(1, CONNECTIONS_PER_EXECUTOR // max(1, entry_vm_count))
        previous = self._executors
        self._executors = {}
        for vm in vms:
            executor = previous.get(vm.name)
            if executor is None or executor.vm.address != vm.address:
                executor = _Executor(vm)
            self._executors[vm.name] = executor

    def __len__(self) -> int:
        return len(self._executors)

    def acquire(self, now: float, exclude: frozenset[str] = frozenset()) -> ExecutorSlot | None:
        """Take a slot at the executor with the lowest load.

        :param exclude: names of executors to skip, such as those that this request has tried.
        :return: the slot, or ``None`` if every other executor is full or ejected.
        """
        candidates = [
            executor
            for executor in self._executors.values()
            if executor.in_flight < self._max_in_flight
            and executor.ejected_until <= now
            and executor.vm.name not in exclude
        ]
        if not candidates:
            return None
        executor = min(candidates, key=lambda item: (item.load, self._rng.random()))
        executor.in_flight += 1
        return ExecutorSlot(executor)

    def release(self, slot: ExecutorSlot) -> None:
        """Free a slot."""
        slot.executor.in_flight -= 1

    def record_answer(self, slot: ExecutorSlot, status: int, now: float) -> bool:
        """Record the status of an answer.

        :return: whether the executor was ejected because of it.
        """
        if status in UNREACHABLE_STATUSES:
            return self.record_failure(slot, now)
        slot.executor.failures = 0
        refused = status in REFUSAL_STATUSES
        slot.executor.refusals = slot.executor.refusals + 1 if refused else 0
        return False

    def record_failure(self, slot: ExecutorSlot, now: float) -> bool:
        """Record that an executor could not be reached.

        :return: whether it was ejected.
        """
        executor = slot.executor
        executor.failures += 1
        if executor.failures < EJECT_AFTER_FAILURES or self._too_many_ejected(now):
            return False
        ejection_s = BASE_EJECTION_S * 2 ** min(executor.failures - EJECT_AFTER_FAILURES, 10)
        executor.ejected_until = now + min(ejection_s, MAX_EJECTION_S)
        return True

    def _too_many_ejected(self, now: float) -> bool:
        """Return whether half of the executors or more are ejected."""
        ejected = sum(1 for executor in self._executors.values() if executor.ejected_until > now)
        return ejected * 2 >= len(self._executors)
