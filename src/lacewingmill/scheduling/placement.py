"""Where a gang goes: blocks that hold it, ranked by what they leave for others.

The measure is the expected fragmentation over the shapes that the deployment is configured with
(after "Beware of Fragmentation", ATC 2023, adapted to adjacency): on a worker with ``f`` free
accelerators, a shape that needs chunks of ``c`` cannot use ``f mod c`` of them.
"""

from collections.abc import Callable, Iterable

import attrs

from lacewingmill.models import Adjacency, Shape
from lacewingmill.scheduling.cluster import Block, Cluster, Node, Part

__all__ = ["FragmentationTable", "PlacementRules", "find_block", "stranded_share"]

CANDIDATES_PER_GROUP = 32
UNRESERVED_BONUS = 0.5


class FragmentationTable:
    """Accelerators that the configured shapes cannot use, by free accelerators of a worker.

    :param mix: the configured shapes, equally weighted.
    """

    def __init__(self, mix: tuple[Shape, ...]):
        self._mix = mix
        self._rows: dict[int, list[float]] = {}

    def stranded(self, capacity: int, free: int) -> float:
        """Return the expected number of free accelerators that a shape cannot use."""
        row = self._rows.get(capacity)
        if row is None:
            row = self._rows[capacity] = self._make_row(capacity)
        return row[free]

    def _make_row(self, capacity: int) -> list[float]:
        if not self._mix:
            return [0.0] * (capacity + 1)
        chunks = [min(shape.accelerators, capacity) for shape in self._mix]
        return [sum(free % chunk for chunk in chunks) / len(chunks) for free in range(capacity + 1)]


@attrs.define
class PlacementRules:
    """What a placement may use and how it is ranked.

    :param units: accelerators of the shape that a worker can give; the safety condition is here.
    :param rank: cost of putting some accelerators of a gang on a worker; the lowest wins.
    """

    units: Callable[[Node], int]
    rank: Callable[[Node, int], float]


def find_block(
    cluster: Cluster, shape: Shape, rules: PlacementRules, *, by_free: bool = True
) -> Block | None:
    """Return the best block that holds a whole gang, or ``None``.

    :param by_free: whether only accelerators that are free now count, which lets the search pass
        over workers that are too full.
    """
    if shape.adjacency is Adjacency.WORKER:
        return _find_worker(cluster, shape, rules, shape.accelerators if by_free else 0)
    return _find_group(cluster, shape, rules)


def _find_worker(
    cluster: Cluster, shape: Shape, rules: PlacementRules, least_free: int
) -> Block | None:
    best_rank = float("inf")
    best: Block | None = None
    for nodes in cluster.nodes_by_free(least_free):
        seen = 0
        for node in nodes.values():
            if not cluster.usable(node) or rules.units(node) < shape.accelerators:
                continue
            rank = rules.rank(node, shape.accelerators)
            if rank < best_rank:
                best_rank = rank
                best = (Part(node.info.worker, shape.accelerators),)
            seen += 1
            if seen >= CANDIDATES_PER_GROUP:
                break
    return best


def _find_group(cluster: Cluster, shape: Shape, rules: PlacementRules) -> Block | None:
    best_rank = float("inf")
    best: Block | None = None
    for group in cluster.groups(shape.adjacency).values():
        block = _fill_group(cluster, group.values(), shape, rules)
        if block is None:
            continue
        rank = sum(rules.rank(cluster.nodes[part.worker], part.units) for part in block)
        rank += len(block)
        if rank < best_rank:
            best_rank = rank
            best = block
    return best


def _fill_group(
    cluster: Cluster, nodes: Iterable[Node], shape: Shape, rules: PlacementRules
) -> Block | None:
    """Fill a gang into a group, largest parts first so that it spans few workers."""
    offers = [(rules.units(node), node.info.worker) for node in nodes if cluster.usable(node)]
    if sum(units for units, _ in offers) < shape.accelerators:
        return None
    parts = []
    missing = shape.accelerators
    while missing:
        offer = _next_offer(offers, missing)
        offers.remove(offer)
        taken = min(offer[0], missing)
        parts.append(Part(offer[1], taken))
        missing -= taken
    return tuple(parts)


def _next_offer(offers: list[tuple[int, str]], missing: int) -> tuple[int, str]:
    """Return the smallest offer that takes the whole remainder, else the largest offer."""
    enough = [offer for offer in offers if offer[0] >= missing]
    if enough:
        return min(enough)
    return min(offers, key=lambda offer: (-offer[0], offer[1]))


def stranded_share(cluster: Cluster, mix: tuple[Shape, ...]) -> float:
    """Return the fragmentation of the cluster: 0 when every shape could use all that is free.

    For each configured shape, the share of free accelerators left over after packing as many
    gangs of that shape into its blocks as fit; averaged over the shapes.
    """
    free = cluster.free_accelerators
    if free == 0 or not mix:
        return 0.0
    shares = [1.0 - _packable(cluster, shape) / free for shape in mix]
    return sum(shares) / len(shares)


def _packable(cluster: Cluster, shape: Shape) -> int:
    size = shape.accelerators
    if shape.adjacency is Adjacency.WORKER:
        return sum(len(node.free) // size * size for node in cluster.nodes.values())
    return sum(
        sum(len(node.free) for node in group.values()) // size * size
        for group in cluster.groups(shape.adjacency).values()
    )
