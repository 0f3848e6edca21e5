"""Which executor gets a request: the one with least own requests in flight, with ejection.

Only what shows that an executor cannot be reached counts against it: failed connections, silence,
502 and 504. Answers such as 429, 500 and 503 come from a live executor, and ejecting it for them
would shift its load to the others.
"""

import random

import attrs

from lacewingmill.models import Vm

__all__ = ["ExecutorPool", "TargetLease"]

CONNECTIONS_PER_EXECUTOR = 64
EJECT_AFTER = 2
EJECT_S = 2.0
EJECT_LONGEST_S = 30.0
MOST_REFUSALS = 8
REFUSAL_STATUSES = frozenset((429, 500, 503))
UNREACHABLE_STATUSES = frozenset((502, 504))


@attrs.define(eq=False)
class _Target:
    """One executor as this VM sees it.

    :param refusals: refusals in a row; they weigh like requests in flight, so that an executor
        that refuses at once and therefore looks idle does not attract all requests.
    :param ejected_until: no requests before, in seconds.
    """

    vm: Vm
    in_flight: int = 0
    refusals: int = 0
    failures: int = 0
    ejected_until: float = 0.0

    @property
    def weight(self) -> int:
        """What the choice compares."""
        return self.in_flight + min(self.refusals, MOST_REFUSALS)


@attrs.frozen(eq=False)
class TargetLease:
    """A place at an executor, to be given back."""

    target: _Target

    @property
    def vm(self) -> Vm:
        """The executor."""
        return self.target.vm


class ExecutorPool:
    """The executors of one service.

    :param rng: random numbers that break ties.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._targets: dict[str, _Target] = {}
        self._limit = CONNECTIONS_PER_EXECUTOR

    def set_targets(self, vms: tuple[Vm, ...], entry_vms: int) -> None:
        """Use these executors and no others; leaving ones get nothing new from now on.

        :param entry_vms: live entry VMs, which share each executor's connections.
        """
        self._limit = max(1, CONNECTIONS_PER_EXECUTOR // max(1, entry_vms))
        known = self._targets
        self._targets = {}
        for vm in vms:
            target = known.get(vm.name)
            if target is None or target.vm.address != vm.address:
                target = _Target(vm)
            self._targets[vm.name] = target

    def __len__(self) -> int:
        return len(self._targets)

    def take(self, now: float, avoid: frozenset[str] = frozenset()) -> TargetLease | None:
        """Return a place at an executor, or ``None`` when all are full or ejected.

        :param avoid: executors that this request has tried.
        """
        usable = [
            target
            for target in self._targets.values()
            if target.in_flight < self._limit
            and target.ejected_until <= now
            and target.vm.name not in avoid
        ]
        if not usable:
            return None
        target = min(usable, key=lambda item: (item.weight, self._rng.random()))
        target.in_flight += 1
        return TargetLease(target)

    def give_back(self, lease: TargetLease) -> None:
        """Return a place."""
        lease.target.in_flight -= 1

    def answered(self, lease: TargetLease, status: int, now: float) -> bool:
        """Take in an answer; return whether the executor was ejected for it."""
        if status in UNREACHABLE_STATUSES:
            return self.failed(lease, now)
        lease.target.failures = 0
        refused = status in REFUSAL_STATUSES
        lease.target.refusals = lease.target.refusals + 1 if refused else 0
        return False

    def failed(self, lease: TargetLease, now: float) -> bool:
        """Take in a failure to reach an executor; return whether it was ejected."""
        target = lease.target
        target.failures += 1
        if target.failures < EJECT_AFTER or self._too_many_ejected(now):
            return False
        pause = EJECT_S * 2 ** min(target.failures - EJECT_AFTER, 10)
        target.ejected_until = now + min(pause, EJECT_LONGEST_S)
        return True

    def _too_many_ejected(self, now: float) -> bool:
        ejected = sum(1 for target in self._targets.values() if target.ejected_until > now)
        return ejected * 2 >= len(self._targets)
