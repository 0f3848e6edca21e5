"""Reclaiming a guaranteed shape: the block that loses the least work.

Only whole gangs are evicted. What a gang loses is its time since the last checkpoint times its
accelerators; a gang that can checkpoint loses only the pause.
"""

from collections.abc import Callable

import attrs

from lacewingmill.models import Shape
from lacewingmill.scheduling.cluster import Block, Cluster, Node
from lacewingmill.scheduling.order import OrderRules
from lacewingmill.scheduling.placement import PlacementRules, find_block
from lacewingmill.scheduling.records import JobRecord, JobState

__all__ = ["Reclaim", "ReclaimLimits", "eviction_cost", "plan_reclaim", "weight"]

PAUSE_S = 1.0
DOUBT_COST = 1e9
ACTIVE_STATES = (JobState.STARTING, JobState.RUNNING)


@attrs.frozen
class ReclaimLimits:
    """Limits of a claim beside the safety condition.

    :param spare: which jobs may not be evicted though they are not hard; none by default.
    :param units: most members that a worker may take. It also asks for room beside claims that
        wait for evictions and are not hard; by default all waiting claims are hard.
    :param by_rank: whether a gang takes the workers that are cheapest to clear.
    """

    spare: Callable[[JobRecord], bool] | None = None
    units: Callable[[Node], int] | None = None
    by_rank: bool = False


@attrs.frozen
class ReclaimPlan:
    """A block to claim and the jobs to evict from it.

    :param cost: accelerator-seconds lost.
    """

    block: Block
    victims: tuple[str, ...]
    cost: float


def eviction_cost(record: JobRecord, now: float, rules: OrderRules) -> float:
    """Return the accelerator-seconds that evicting a job loses."""
    elapsed = max(0.0, now - record.started_at)
    lost_s = rules.checkpoint_loss_s if record.job.checkpoint else elapsed
    return (min(lost_s, elapsed) + PAUSE_S) * accelerator_equivalent(record.job.shape, rules)


def accelerator_equivalent(shape: Shape, rules: OrderRules) -> float:
    """Return what a gang takes, in accelerators."""
    return max(1.0, shape.accelerators + rules.processor_weight * shape.processors * shape.units)


def plan_reclaim(
    cluster: Cluster,
    shape: Shape,
    records: dict[str, JobRecord],
    now: float,
    is_suspect: Callable[[str], bool],
    rules: OrderRules,
    limits: ReclaimLimits | None = None,
) -> ReclaimPlan | None:
    """Return the cheapest block for a claim, or ``None`` when hard work leaves none.

    The reservation of the claiming slot itself must be lifted before.

    :param doubtful: whether a worker has failed jobs; its accelerators are the last to be claimed.
    :param rules: how evictions are priced.
    :param limits: what may be evicted and where the claim may go; all that is not hard by default.
    """
    limits = limits or ReclaimLimits()
    chooser = _VictimChooser(shape, records, now, rules, limits)

    def rank(node: Node, units: int) -> float:
        doubt = DOUBT_COST if is_suspect(node.info.worker) else 0.0
        return chooser.cost(node, units) + doubt

    def units(node: Node) -> int:
        most = node.claimable_units(shape)
        if limits.units is None:
            return most
        return min(chooser.clearable_units(node, most), limits.units(node))

    placement = PlacementRules(units, rank, by_rank=limits.by_rank)
    block = find_block(cluster, shape, placement, by_free=False)
    if block is None:
        return None
    victims: dict[str, None] = {}
    for part in block:
        victims.update(dict.fromkeys(chooser.choose(cluster.nodes[part.worker], part.units)))
    cost = sum(eviction_cost(records[victim], now, rules) for victim in victims)
    return ReclaimPlan(block, tuple(victims), cost)


class _VictimChooser:
    """Chooses evictable gangs on single workers."""

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

    def cost(self, node: Node, units: int) -> float:
        """Return the accelerator-seconds lost by freeing accelerators on a worker."""
        return sum(self._price(victim) for victim in self.choose(node, units))

    def clearable_units(self, node: Node, most: int) -> int:
        """Return how many members fit once all that may be evicted is gone."""
        for units in range(min(most, self._shape.units), 0, -1):
            missing = self._missing(node, units)
            for job_id in node.gangs:
                if self._evictable(job_id):
                    missing.give(self._records[job_id].job.shape, node.members[job_id])
            if missing.satisfied():
                return units
        return 0

    def choose(self, node: Node, units: int) -> list[str]:
        """Return the gangs to evict so that ``units`` accelerators of the shape become free."""
        missing = self._missing(node, units)
        if missing.satisfied():
            return []
        candidates = [job_id for job_id in node.gangs if self._evictable(job_id)]
        candidates.sort(key=lambda job_id: self._price(job_id) / node.members[job_id])
        chosen = []
        for job_id in candidates:
            if missing.satisfied():
                break
            missing.give(self._records[job_id].job.shape, node.members[job_id])
            chosen.append(job_id)
        return self._drop_needless(node, chosen, missing)

    def _drop_needless(self, node: Node, chosen: list[str], missing: "_Missing") -> list[str]:
        """Spare gangs that turn out not to be needed, dearest first."""
        kept = list(chosen)
        for job_id in sorted(chosen, key=self._price, reverse=True):
            shape, units = self._records[job_id].job.shape, node.members[job_id]
            missing.give(shape, -units)
            if missing.satisfied():
                kept.remove(job_id)
            else:
                missing.give(shape, units)
        return kept

    def _missing(self, node: Node, units: int) -> "_Missing":
        """Return what is missing once the gangs that are being evicted already are gone."""
        shape, info = self._shape, node.info
        missing = _Missing(
            units * shape.unit_accelerators
            + node.used.accelerators
            + node.pending.accelerators
            - info.accelerators,
            units * shape.processors
            + node.used.processors
            + node.pending.processors
            - info.processors,
            units * shape.memory_gb + node.used.memory_gb + node.pending.memory_gb - info.memory_gb,
        )
        for job_id, units_held in node.members.items():
            record = self._records[job_id]
            if record.state is JobState.EVICTING:
                missing.give(record.job.shape, units_held)
        return missing

    def _evictable(self, job_id: str) -> bool:
        record = self._records[job_id]
        if self._limits.spare is not None and self._limits.spare(record):
            return False
        return not record.protected and record.state in ACTIVE_STATES

    def _price(self, job_id: str) -> float:
        return eviction_cost(self._records[job_id], self._now, self._rules)


@attrs.define
class _Missing:
    """Resources still missing on a worker; nothing is missing when all are zero or less."""

    accelerators: float
    processors: float
    memory_gb: float

    def give(self, shape: Shape, units: int) -> None:
        self.accelerators -= units * shape.unit_accelerators
        self.processors -= units * shape.processors
        self.memory_gb -= units * shape.memory_gb

    def satisfied(self) -> bool:
        return self.accelerators <= 0 and self.processors <= 1e-6 and self.memory_gb <= 1e-6
