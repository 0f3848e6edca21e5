"""Plans of evictions that free a block at the least loss of work.

Only whole gangs are evicted. The loss is measured in accelerator-seconds: a gang that cannot
checkpoint loses its current run, one that can loses a fixed time at most, and each loses the pause
of the eviction.
"""

from collections.abc import Callable

import attrs

from lacewingmill.models import Shape
from lacewingmill.scheduling.cluster import Block, Cluster, WorkerState
from lacewingmill.scheduling.eviction_policy import eviction_cost
from lacewingmill.scheduling.order import OrderRules
from lacewingmill.scheduling.placement import PlacementRules, find_block
from lacewingmill.scheduling.records import JobRecord, JobState

__all__ = [
    "ReclaimPlan",
    "ReclaimLimits",
    "plan_reclaim",
    "victims_of_claim",
]

SUSPECT_COST = 1e9  # in accelerator-seconds; far above the loss of any eviction
ACTIVE_STATES = (JobState.STARTING, JobState.RUNNING)


@attrs.frozen
class ReclaimLimits:
    """Limits of a claim in addition to protected work and reservations.

    :param is_exempt: returns whether a job may not be evicted although it is not protected; by
        default all unprotected jobs may be evicted.
    :param units: returns the maximum number of members that a worker may take. If it is given, the
        claim must also fit beside pending claims that are not protected; without it, all pending
        claims are taken to be protected.
    :param by_cost: whether to choose the workers that are cheapest to clear, rather than the
        fewest.
    :param cost: returns the cost of evicting a job, in accelerator-seconds; by default the work
        that is lost.
    """

    is_exempt: Callable[[JobRecord], bool] | None = None
    units: Callable[[WorkerState], int] | None = None
    by_cost: bool = False
    cost: Callable[[JobRecord], float] | None = None


@attrs.frozen
class ReclaimPlan:
    """A block to claim and the jobs to evict from it.

    :param cost: loss of work, in accelerator-seconds.
    """

    block: Block
    victims: tuple[str, ...]
    cost: float


def plan_reclaim(
    cluster: Cluster,
    shape: Shape,
    records: dict[str, JobRecord],
    now: float,
    is_suspect: Callable[[str], bool],
    rules: OrderRules,
    limits: ReclaimLimits | None = None,
) -> ReclaimPlan | None:
    """Return the cheapest block for a claim, or ``None`` if there is none.

    The reservation of the claiming slot itself must have been removed before.

    :param is_suspect: returns whether a worker has failed jobs; its accelerators are claimed last.
    :param rules: weights in the cost of evictions.
    :param limits: which jobs may be evicted and which workers used; by default all jobs that are
        not protected and all workers.
    """
    limits = limits or ReclaimLimits()
    chooser = _VictimChooser(shape, records, now, rules, limits)

    def worker_cost(worker_state: WorkerState, units: int) -> float:
        suspect_cost = SUSPECT_COST if is_suspect(worker_state.info.worker) else 0.0
        return chooser.clearing_cost(worker_state, units) + suspect_cost

    def units(worker_state: WorkerState) -> int:
        most = worker_state.claimable_units(shape)
        if limits.units is None:
            return most
        return min(chooser.clearable_units(worker_state, most), limits.units(worker_state))

    placement = PlacementRules(units, worker_cost, by_cost=limits.by_cost)

    def plan() -> ReclaimPlan | None:
        block = find_block(cluster, shape, placement, by_free=False)
        return None if block is None else chooser.plan(cluster, block)

    best = plan()
    if best is None or not limits.by_cost:
        return best
    spread = frozenset(victim for victim in best.victims if len(records[victim].workers) > 1)
    if not spread:
        return best
    chooser.evicted = spread
    other = plan()
    return other if other is not None and other.cost < best.cost else best


def victims_of_claim(
    cluster: Cluster,
    shape: Shape,
    block: Block,
    records: dict[str, JobRecord],
    now: float,
    rules: OrderRules,
    limits: ReclaimLimits,
) -> tuple[str, ...]:
    """Return the jobs that are still to be evicted from the block of a pending claim.

    The claim itself must not be counted among the pending ones.
    """
    return _VictimChooser(shape, records, now, rules, limits).plan(cluster, block).victims


class _VictimChooser:
    """Chooses the gangs to evict from a single worker.

    ``evicted`` holds gangs that are taken to be evicted in any case, at no further cost.
    """

    def __init__(
        self,
        shape: Shape,
        records: dict[str, JobRecord],
        now: float,
        rules: OrderRules,
        limits: ReclaimLimits,
    ):
        self._rules = rules
        self._limits = limits
        self._shape = shape
        self._records = records
        self._now = now
        self._costs: dict[str, float] = {}
        self.evicted: frozenset[str] = frozenset()

    def plan(self, cluster: Cluster, block: Block) -> ReclaimPlan:
        """Return the plan that frees a block."""
        victims: dict[str, None] = {}
        for part in block:
            worker_state = cluster.workers[part.worker]
            victims.update(dict.fromkeys(worker_state.members.keys() & self.evicted))
            victims.update(dict.fromkeys(self.choose_victims(worker_state, part.units)))
        cost = sum(self._eviction_cost(victim) for victim in victims)
        return ReclaimPlan(block, tuple(victims), cost)

    def clearing_cost(self, worker_state: WorkerState, units: int) -> float:
        """Return the accelerator-seconds lost by freeing room for ``units`` members on a worker."""
        return sum(
            self._eviction_cost(victim) for victim in self.choose_victims(worker_state, units)
        )

    def clearable_units(self, worker_state: WorkerState, most: int) -> int:
        """Return how many members fit once all evictable gangs are evicted, at most ``most``."""
        for units in range(min(most, self._shape.units), 0, -1):
            deficit = self._deficit(worker_state, units)
            for job_id in worker_state.gangs:
                if self._evictable(job_id):
                    deficit.subtract(self._records[job_id].job.shape, worker_state.members[job_id])
            if deficit.is_covered():
                return units
        return 0

    def choose_victims(self, worker_state: WorkerState, units: int) -> list[str]:
        """Return the gangs to evict so that ``units`` members of the shape fit on a worker."""
        deficit = self._deficit(worker_state, units)
        if deficit.is_covered():
            return []
        candidates = [job_id for job_id in worker_state.gangs if self._evictable(job_id)]
        candidates.sort(
            key=lambda job_id: self._eviction_cost(job_id) / worker_state.members[job_id]
        )
        chosen = []
        for job_id in candidates:
            if deficit.is_covered():
                break
            deficit.subtract(self._records[job_id].job.shape, worker_state.members[job_id])
            chosen.append(job_id)
        return self._drop_unneeded(worker_state, chosen, deficit)

    def _drop_unneeded(
        self, worker_state: WorkerState, chosen: list[str], deficit: "_Deficit"
    ) -> list[str]:
        """Return ``chosen`` without the gangs that need not be evicted, most costly first."""
        kept = list(chosen)
        for job_id in sorted(chosen, key=self._eviction_cost, reverse=True):
            shape, units = self._records[job_id].job.shape, worker_state.members[job_id]
            deficit.subtract(shape, -units)
            if deficit.is_covered():
                kept.remove(job_id)
            else:
                deficit.subtract(shape, units)
        return kept

    def _deficit(self, worker_state: WorkerState, units: int) -> "_Deficit":
        """Return the resources still missing once the gangs already being evicted are gone."""
        shape, info = self._shape, worker_state.info
        deficit = _Deficit(
            units * shape.unit_accelerators
            + worker_state.used.accelerators
            + worker_state.pending.accelerators
            - info.accelerators,
            units * shape.processors
            + worker_state.used.processors
            + worker_state.pending.processors
            - info.processors,
            units * shape.memory_gb
            + worker_state.used.memory_gb
            + worker_state.pending.memory_gb
            - info.memory_gb,
        )
        for job_id, units_held in worker_state.members.items():
            record = self._records[job_id]
            if record.state is JobState.EVICTING or job_id in self.evicted:
                deficit.subtract(record.job.shape, units_held)
        return deficit

    def _evictable(self, job_id: str) -> bool:
        record = self._records[job_id]
        if job_id in self.evicted:
            return False
        if self._limits.is_exempt is not None and self._limits.is_exempt(record):
            return False
        return not record.protected and record.state in ACTIVE_STATES

    def _eviction_cost(self, job_id: str) -> float:
        cost = self._costs.get(job_id)
        if cost is None:
            record = self._records[job_id]
            if self._limits.cost is not None:
                cost = self._limits.cost(record)
            else:
                cost = eviction_cost(record, self._now, self._rules)
            self._costs[job_id] = cost
        return cost


@attrs.define
class _Deficit:
    """Resources missing on a worker; zero or less means that none are missing."""

    accelerators: float
    processors: float
    memory_gb: float

    def subtract(self, shape: Shape, units: int) -> None:
        self.accelerators -= units * shape.unit_accelerators
        self.processors -= units * shape.processors
        self.memory_gb -= units * shape.memory_gb

    def is_covered(self) -> bool:
        return self.accelerators <= 0 and self.processors <= 1e-6 and self.memory_gb <= 1e-6
