"""Placement of gangs: the blocks that can hold a gang, ordered by cost.

The cost is based on the expected fragmentation over the configured shapes (after "Beware of
Fragmentation", ATC 2023, adapted to adjacency). A group of workers with ``f`` free accelerators
holds ``f // size`` gangs of a shape; the remainder is unusable for that shape.
"""

from collections.abc import Callable, Iterable

import attrs

from lacewingmill.models import Adjacency, Shape
from lacewingmill.scheduling.cluster import Block, BlockPart, Cluster, WorkerState

__all__ = [
    "PackingScorer",
    "PlacementRules",
    "find_block",
    "packable_accelerators",
    "fragmentation_ratio",
]

# Workers with equal numbers of free accelerators that are compared in one search.
CANDIDATES_PER_GROUP = 32


class PackingScorer:
    """Scores placements by how many accelerators the configured shapes can still use.

    :param configured_shapes: the configured shapes, equally weighted.
    """

    def __init__(self, cluster: Cluster, configured_shapes: tuple[Shape, ...]):
        self._cluster = cluster
        self._shape_count = max(1, len(configured_shapes))
        self._worker_sizes = _sizes(configured_shapes, Adjacency.WORKER)
        self._rack_sizes = _sizes(configured_shapes, Adjacency.RACK)
        self._domain_sizes = _sizes(configured_shapes, Adjacency.FAILURE_DOMAIN)

    def loss(self, worker_state: WorkerState, accelerators: int) -> float:
        """Return how many usable accelerators a shape loses on average.

        :param accelerators: number of free accelerators that are taken on the worker.
        """
        return self._change(worker_state, 0, -accelerators)

    def gain(self, worker_state: WorkerState, accelerators: int) -> float:
        """Return how many usable accelerators a shape gains on average.

        :param accelerators: number of held accelerators that are freed on the worker.
        """
        return self._change(worker_state, accelerators, 0)

    def _change(self, worker_state: WorkerState, freed: int, taken: int) -> float:
        free = len(worker_state.free)
        rack, domain = (
            self._cluster.rack_free(worker_state),
            self._cluster.domain_free(worker_state),
        )
        total = _packable_change(self._worker_sizes, free + freed, free + taken)
        total += _packable_change(self._rack_sizes, rack + freed, rack + taken)
        total += _packable_change(self._domain_sizes, domain + freed, domain + taken)
        return total / self._shape_count


def _sizes(configured_shapes: tuple[Shape, ...], adjacency: Adjacency) -> tuple[int, ...]:
    return tuple(shape.accelerators for shape in configured_shapes if shape.adjacency is adjacency)


def _packable_change(sizes: tuple[int, ...], more: int, less: int) -> int:
    return sum((more // size - less // size) * size for size in sizes)


@attrs.define
class PlacementRules:
    """Which workers a placement may use, and its cost.

    :param units: returns the number of gang members that a worker can take; the limits that
        protect the guarantees are applied here.
    :param cost: returns the cost of placing a number of members on a worker; the lowest wins.
    :param by_cost: whether to choose the cheapest workers for a gang, rather than the fewest.
    """

    units: Callable[[WorkerState], int]
    cost: Callable[[WorkerState, int], float]
    by_cost: bool = False


def find_block(
    cluster: Cluster, shape: Shape, rules: PlacementRules, *, by_free: bool = True
) -> Block | None:
    """Return the cheapest block that holds a whole gang, or ``None``.

    :param by_free: whether only accelerators that are free now may be used; the search then skips
        workers and groups with too few of them.
    """
    if shape.adjacency is Adjacency.WORKER:
        return _find_worker(cluster, shape, rules, shape.accelerators if by_free else 0)
    return _find_group(cluster, shape, rules, shape.accelerators if by_free else 0)


def _find_worker(
    cluster: Cluster, shape: Shape, rules: PlacementRules, least_free: int
) -> Block | None:
    best_cost = float("inf")
    best: Block | None = None
    for worker_states in cluster.workers_by_free(least_free):
        seen = 0
        for worker_state in worker_states.values():
            if not cluster.schedulable(worker_state) or rules.units(worker_state) < shape.units:
                continue
            cost = rules.cost(worker_state, shape.units)
            if cost < best_cost:
                best_cost = cost
                best = (BlockPart(worker_state.info.worker, shape.units),)
            seen += 1
            if seen >= CANDIDATES_PER_GROUP:
                break
    return best


def _find_group(
    cluster: Cluster, shape: Shape, rules: PlacementRules, least_free: int
) -> Block | None:
    best_cost = float("inf")
    best: Block | None = None
    for name, group in cluster.groups(shape.adjacency).items():
        if cluster.group_free(shape.adjacency, name) < least_free:
            continue
        block = _fill_group(cluster, group.values(), shape, rules)
        if block is None:
            continue
        cost = sum(rules.cost(cluster.workers[part.worker], part.units) for part in block)
        cost += len(block)
        if cost < best_cost:
            best_cost = cost
            best = block
    return best


def _fill_group(
    cluster: Cluster, worker_states: Iterable[WorkerState], shape: Shape, rules: PlacementRules
) -> Block | None:
    """Place a gang in a group of workers, on as few workers or as cheaply as possible."""
    offers = [
        (rules.units(worker_state), worker_state.info.worker)
        for worker_state in worker_states
        if cluster.schedulable(worker_state)
    ]
    if sum(units for units, _ in offers) < shape.units:
        return None
    parts = []
    missing = shape.units
    while missing:
        offer = _cheapest_offer(cluster, offers, missing, rules)
        offers.remove(offer)
        taken = min(offer[0], missing)
        parts.append(BlockPart(offer[1], taken))
        missing -= taken
    return tuple(parts)


def _cheapest_offer(
    cluster: Cluster, offers: list[tuple[int, str]], missing: int, rules: PlacementRules
) -> tuple[int, str]:
    """Return the next worker for a gang: the cheapest per member, or one that spares workers."""
    if not rules.by_cost:
        return _next_offer(offers, missing)

    def cost(offer: tuple[int, str]) -> tuple[float, str]:
        units = min(offer[0], missing)
        if not units:
            return (float("inf"), offer[1])
        return (rules.cost(cluster.workers[offer[1]], units) / units, offer[1])

    return min(offers, key=cost)


def _next_offer(offers: list[tuple[int, str]], missing: int) -> tuple[int, str]:
    """Return the smallest offer that holds all missing members, else the largest offer."""
    enough = [offer for offer in offers if offer[0] >= missing]
    if enough:
        return min(enough)
    return min(offers, key=lambda offer: (-offer[0], offer[1]))


def fragmentation_ratio(cluster: Cluster, configured_shapes: tuple[Shape, ...]) -> float:
    """Return the fragmentation of the cluster, 0..1; 0 if every shape could use all that is free.

    For each configured shape, this is the share of free accelerators left over after packing as
    many gangs of that shape as fit; averaged over the shapes.
    """
    free = cluster.free_accelerators
    if free == 0 or not configured_shapes:
        return 0.0
    shares = [1.0 - packable_accelerators(cluster, shape) / free for shape in configured_shapes]
    return sum(shares) / len(shares)


def packable_accelerators(cluster: Cluster, shape: Shape) -> int:
    """Return how many free accelerators could be used by gangs of one shape alone."""
    size = shape.accelerators
    if shape.adjacency is Adjacency.WORKER:
        return sum(
            len(worker_state.free) // size * size for worker_state in cluster.workers.values()
        )
    return sum(
        sum(len(worker_state.free) for worker_state in group.values()) // size * size
        for group in cluster.groups(shape.adjacency).values()
    )
