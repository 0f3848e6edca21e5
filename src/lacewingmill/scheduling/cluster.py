"""The accelerators of a cell: what is free, what may not be evicted, what is reserved.

The safety condition of the guarantees is a count on each worker: work that may not be evicted
(``hard``) plus the reserved parts of unclaimed guaranteed shapes never exceeds the worker's
capacity, in accelerators, processors and memory alike. Evictable work fits around both and is
taken out when a guarantee is claimed. The counts change in constant time per placement, and
workers are indexed by their free accelerators, so that the cost of a decision does not grow with
the fleet.
"""

from collections.abc import Iterable, Iterator

import attrs

from lacewingmill.models import Adjacency, Shape
from lacewingmill.scheduling.messages import Member, Placement, WorkerNode

__all__ = ["Block", "Cluster", "Node", "Part", "Resources"]

EPSILON = 1e-9


@attrs.define
class Resources:
    """Amounts of the three resources of a worker."""

    accelerators: int = 0
    processors: float = 0.0
    memory_gb: float = 0.0

    def add(self, shape: Shape, units: int) -> None:
        """Add the needs of ``units`` members of a shape; negative units subtract."""
        self.accelerators += units * shape.unit_accelerators
        self.processors += shape.processors * units
        self.memory_gb += shape.memory_gb * units


@attrs.frozen
class BlockPart:
    """A number of members of a gang on one worker."""

    worker: str
    units: int


Block = tuple[BlockPart, ...]


@attrs.define
class Node:
    """State of one worker.

    :param free: indices of accelerators that no gang holds.
    :param used: resources held by gangs.
    :param hard: resources of work that may not be evicted, pending claims included.
    :param reserved: resources of unclaimed guaranteed shapes.
    :param pledged: resources that a pending claim will take once its victims are gone.
    :param gangs: accelerators by job.
    :param members: members of each job's gang on this worker.
    """

    info: WorkerNode
    free: list[int]
    used: Resources = attrs.field(factory=Resources)
    protected: Resources = attrs.field(factory=Resources)
    reserved: Resources = attrs.field(factory=Resources)
    pending: Resources = attrs.field(factory=Resources)
    gangs: dict[str, tuple[int, ...]] = attrs.field(factory=dict)
    members: dict[str, int] = attrs.field(factory=dict)

    def capacity_units(self, shape: Shape) -> int:
        """Members of a shape that fit into the empty worker."""
        return self._units(shape, Resources(), Resources())

    def free_units(self, shape: Shape) -> int:
        """Members of a shape that fit beside all gangs and pending claims."""
        return self._units(shape, self.used, self.pending)

    def claimable_units(self, shape: Shape) -> int:
        """Members of a shape that fit beside hard work and reservations."""
        return self._units(shape, self.protected, self.reserved)

    def unprotected_units(self, shape: Shape) -> int:
        """Members of a shape that fit beside hard work alone."""
        return self._units(shape, self.protected, Resources())

    def _units(self, shape: Shape, taken: Resources, more: Resources) -> int:
        info = self.info
        units = shape.units
        if shape.unit_accelerators > 0:
            left = info.accelerators - taken.accelerators - more.accelerators
            units = left // shape.unit_accelerators
        if shape.processors > 0:
            left = info.processors - taken.processors - more.processors
            units = min(units, int((left + EPSILON) / shape.processors))
        if shape.memory_gb > 0:
            left = info.memory_gb - taken.memory_gb - more.memory_gb
            units = min(units, int((left + EPSILON) / shape.memory_gb))
        return max(0, units)


class Cluster:
    """The workers of a cell, indexed by free accelerators, rack and failure domain."""

    def __init__(self):
        self.nodes: dict[str, Node] = {}
        self.racks: dict[str, dict[str, Node]] = {}
        self.failure_domains: dict[str, dict[str, Node]] = {}
        self.cordoned: set[str] = set()
        self.total_accelerators = 0
        self.free_accelerators = 0
        self._by_free: dict[int, dict[str, Node]] = {}
        self._known: dict[str, WorkerNode] = {}
        self._fits: dict[Shape, bool] = {}
        self._rack_free: dict[str, int] = {}
        self._domain_free: dict[str, int] = {}

    def rack_free(self, node: Node) -> int:
        """Return the free accelerators of a worker's rack."""
        return self._rack_free[node.info.rack]

    def domain_free(self, node: Node) -> int:
        """Return the free accelerators of a worker's failure domain."""
        return self._domain_free[node.info.failure_domain]

    def group_free(self, adjacency: Adjacency, name: str) -> int:
        """Return the free accelerators of a rack or failure domain by name."""
        if adjacency is Adjacency.CLUSTER:
            return self.free_accelerators
        counts = self._rack_free if adjacency is Adjacency.RACK else self._domain_free
        return counts.get(name, 0)

    def add(self, info: WorkerNode) -> Node:
        """Add a live worker."""
        self.remember(info)
        node = Node(info, list(range(info.accelerators)))
        self.nodes[info.worker] = node
        self.racks.setdefault(info.rack, {})[info.worker] = node
        self.failure_domains.setdefault(info.failure_domain, {})[info.worker] = node
        self._by_free.setdefault(len(node.free), {})[info.worker] = node
        self.total_accelerators += info.accelerators
        self._count_free(node, info.accelerators)
        return node

    def remove(self, worker: str) -> None:
        """Remove a worker that holds no gangs any more."""
        node = self.nodes.pop(worker)
        del self._by_free[len(node.free)][worker]
        for group, name in (
            (self.racks, node.info.rack),
            (self.failure_domains, node.info.failure_domain),
        ):
            del group[name][worker]
            if not group[name]:
                del group[name]
        self.cordoned.discard(worker)
        self.total_accelerators -= node.info.accelerators
        self._count_free(node, -len(node.free))

    def cordon(self, worker: str) -> None:
        """Take a worker out of placement; its gangs run on."""
        self.cordoned.add(worker)

    def uncordon(self, worker: str) -> None:
        """Let placements use a worker again."""
        self.cordoned.discard(worker)

    def allocate(self, job_id: str, shape: Shape, block: Block) -> Placement:
        """Give free accelerators of a block to a job and return them by index."""
        members = []
        for part in block:
            node = self.nodes[part.worker]
            taken = part.units * shape.unit_accelerators
            indices = tuple(node.free[:taken])
            self._set_free(node, node.free[taken:])
            node.used.add(shape, part.units)
            node.gangs[job_id] = indices
            node.members[job_id] = part.units
            members.append(Member(part.worker, indices, part.units))
        return tuple(members)

    def adopt(self, job_id: str, shape: Shape, placement: Placement) -> None:
        """Give particular accelerators to a job that was found running on them."""
        for member in placement:
            node = self.nodes[member.worker]
            taken = set(member.accelerators)
            self._set_free(node, [index for index in node.free if index not in taken])
            node.used.add(shape, member.units)
            node.gangs[job_id] = member.accelerators
            node.members[job_id] = member.units

    def release(self, job_id: str, shape: Shape, workers: Iterable[str]) -> None:
        """Free a job's accelerators on those of ``workers`` that are still here."""
        for worker in workers:
            node = self.nodes.get(worker)
            if node is None or job_id not in node.gangs:
                continue
            indices = node.gangs.pop(job_id)
            self._set_free(node, sorted((*node.free, *indices)))
            node.used.add(shape, -node.members.pop(job_id))

    def schedulable(self, node: Node) -> bool:
        """Whether placements may use the worker."""
        return node.info.worker not in self.cordoned

    def nodes_by_free(self, least: int) -> Iterator[dict[str, Node]]:
        """Yield groups of workers with equal free accelerators, fullest first."""
        for count in sorted(self._by_free):
            if count >= least and self._by_free[count]:
                yield self._by_free[count]

    def groups(self, adjacency: Adjacency) -> dict[str, dict[str, Node]]:
        """Return the blocks wider than a worker that an adjacency allows."""
        if adjacency is Adjacency.RACK:
            return self.racks
        if adjacency is Adjacency.CLUSTER:
            return {"": self.nodes}
        return self.failure_domains

    def remember(self, info: WorkerNode) -> None:
        """Remember a worker's size as long as it may come back."""
        if self._known.get(info.worker) != info:
            self._known[info.worker] = info
            self._fits.clear()

    def forget(self, worker: str) -> None:
        """Forget a worker that has left for good."""
        self._known.pop(worker, None)
        self._fits.clear()

    def fits_when_empty(self, shape: Shape) -> bool:
        """Whether any block could hold a shape if it were empty.

        Workers that are silent for now count, because they may come back; with no worker known at
        all nothing is ruled out.
        """
        if not self._known:
            return True
        kind = attrs.evolve(shape, name="", expected_s=0.0)
        fits = self._fits.get(kind)
        if fits is None:
            fits = self._fits[kind] = self._fits_known(kind)
        return fits

    def _fits_known(self, shape: Shape) -> bool:
        room: dict[str, int] = {}
        for info in self._known.values():
            group = _group_name(info, shape.adjacency)
            units = Node(info, []).capacity_units(shape)
            room[group] = room.get(group, 0) + units
        return any(units >= shape.units for units in room.values())

    def _set_free(self, node: Node, free: list[int]) -> None:
        name = node.info.worker
        del self._by_free[len(node.free)][name]
        self._count_free(node, len(free) - len(node.free))
        node.free = free
        self._by_free.setdefault(len(free), {})[name] = node

    def _count_free(self, node: Node, change: int) -> None:
        info = node.info
        self.free_accelerators += change
        self._rack_free[info.rack] = self._rack_free.get(info.rack, 0) + change
        domain = info.failure_domain
        self._domain_free[domain] = self._domain_free.get(domain, 0) + change


def _group_name(info: WorkerNode, adjacency: Adjacency) -> str:
    names = {
        Adjacency.WORKER: info.worker,
        Adjacency.RACK: info.rack,
        Adjacency.FAILURE_DOMAIN: info.failure_domain,
        Adjacency.CLUSTER: "",
    }
    return names[adjacency]
