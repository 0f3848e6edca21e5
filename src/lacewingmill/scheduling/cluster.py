"""The workers of a cell and their free, protected and reserved resources.

The guarantees rest on an invariant of each worker: the resources of protected work, which may not
be evicted, plus those reserved for unclaimed guaranteed slots never exceed the worker's capacity
in accelerators, processors or memory. Evictable work uses what is left over and is evicted when a
guarantee is claimed. A placement updates the counts in constant time per worker, and workers are
indexed by their free accelerators, so that the cost of a decision does not grow with the fleet.
"""

from collections.abc import Iterable, Iterator

import attrs

from lacewingmill.models import Adjacency, Shape
from lacewingmill.scheduling.messages import Member, Placement, WorkerInfo

__all__ = ["Block", "Cluster", "WorkerState", "BlockPart", "Resources"]

ROUNDING_TOLERANCE = 1e-9


@attrs.define
class Resources:
    """Amounts of the three resources of a worker; memory is in gigabytes."""

    accelerators: int = 0
    processors: float = 0.0
    memory_gb: float = 0.0

    def add(self, shape: Shape, units: int) -> None:
        """Add the resources of ``units`` members of a shape; a negative number subtracts them."""
        self.accelerators += units * shape.unit_accelerators
        self.processors += shape.processors * units
        self.memory_gb += shape.memory_gb * units


@attrs.frozen
class BlockPart:
    """The part of a block on one worker, as a number of gang members."""

    worker: str
    units: int


Block = tuple[BlockPart, ...]


@attrs.define
class WorkerState:
    """What the scheduler keeps of one worker: what it offers, what is used and what is reserved.

    :param info: what the worker offers.
    :param free: indices of accelerators that no gang holds.
    :param used: resources held by gangs.
    :param protected: resources of work that may not be evicted, including pending claims.
    :param reserved: resources reserved for unclaimed guaranteed slots.
    :param pending: resources that pending claims will take once their victims are evicted.
    :param gangs: indices of held accelerators by job.
    :param members: number of gang members on this worker by job.
    """

    info: WorkerInfo
    free: list[int]
    used: Resources = attrs.field(factory=Resources)
    protected: Resources = attrs.field(factory=Resources)
    reserved: Resources = attrs.field(factory=Resources)
    pending: Resources = attrs.field(factory=Resources)
    gangs: dict[str, tuple[int, ...]] = attrs.field(factory=dict)
    members: dict[str, int] = attrs.field(factory=dict)

    def capacity_units(self, shape: Shape) -> int:
        """Return how many members of a shape fit on the worker when it is empty."""
        return self.units_beside(shape, Resources())

    def units_beside(self, shape: Shape, taken: Resources) -> int:
        """Return how many members of a shape fit on the worker beside an amount of resources."""
        return self._units(shape, taken, Resources())

    def free_units(self, shape: Shape) -> int:
        """Return how many members of a shape fit beside all gangs and pending claims."""
        return self._units(shape, self.used, self.pending)

    def claimable_units(self, shape: Shape) -> int:
        """Return how many members of a shape fit beside protected work and reservations."""
        return self._units(shape, self.protected, self.reserved)

    def unprotected_units(self, shape: Shape) -> int:
        """Return how many members of a shape fit beside protected work, reservations ignored."""
        return self._units(shape, self.protected, Resources())

    def _units(self, shape: Shape, taken: Resources, also_taken: Resources) -> int:
        """Return how many members of a shape fit beside two amounts of taken resources."""
        info = self.info
        units = shape.units
        if shape.unit_accelerators > 0:
            left = info.accelerators - taken.accelerators - also_taken.accelerators
            units = left // shape.unit_accelerators
        if shape.processors > 0:
            left = info.processors - taken.processors - also_taken.processors
            units = min(units, int((left + ROUNDING_TOLERANCE) / shape.processors))
        if shape.memory_gb > 0:
            left = info.memory_gb - taken.memory_gb - also_taken.memory_gb
            units = min(units, int((left + ROUNDING_TOLERANCE) / shape.memory_gb))
        return max(0, units)


class Cluster:
    """The workers of a cell, indexed by free accelerators, rack and failure domain.

    A cordoned worker gets no new work.
    """

    def __init__(self):
        self.workers: dict[str, WorkerState] = {}
        self.racks: dict[str, dict[str, WorkerState]] = {}
        self.failure_domains: dict[str, dict[str, WorkerState]] = {}
        self.cordoned: set[str] = set()
        self.total_accelerators = 0
        self.free_accelerators = 0
        self._by_free: dict[int, dict[str, WorkerState]] = {}
        self._known_workers: dict[str, WorkerInfo] = {}
        self._fits_cache: dict[Shape, bool] = {}
        self._rack_free: dict[str, int] = {}
        self._domain_free: dict[str, int] = {}

    def rack_free(self, worker_state: WorkerState) -> int:
        """Return the number of free accelerators in a worker's rack."""
        return self._rack_free[worker_state.info.rack]

    def domain_free(self, worker_state: WorkerState) -> int:
        """Return the number of free accelerators in a worker's failure domain."""
        return self._domain_free[worker_state.info.failure_domain]

    def group_free(self, adjacency: Adjacency, name: str) -> int:
        """Return the number of free accelerators in a rack, a failure domain or the cluster."""
        if adjacency is Adjacency.CLUSTER:
            return self.free_accelerators
        counts = self._rack_free if adjacency is Adjacency.RACK else self._domain_free
        return counts.get(name, 0)

    def add(self, info: WorkerInfo) -> WorkerState:
        """Add a live worker."""
        self.remember(info)
        worker_state = WorkerState(info, list(range(info.accelerators)))
        self.workers[info.worker] = worker_state
        self.racks.setdefault(info.rack, {})[info.worker] = worker_state
        self.failure_domains.setdefault(info.failure_domain, {})[info.worker] = worker_state
        self._by_free.setdefault(len(worker_state.free), {})[info.worker] = worker_state
        self.total_accelerators += info.accelerators
        self._count_free(worker_state, info.accelerators)
        return worker_state

    def remove(self, worker: str) -> None:
        """Remove a worker on which no gang is left."""
        worker_state = self.workers.pop(worker)
        del self._by_free[len(worker_state.free)][worker]
        for group, name in (
            (self.racks, worker_state.info.rack),
            (self.failure_domains, worker_state.info.failure_domain),
        ):
            del group[name][worker]
            if not group[name]:
                del group[name]
        self.cordoned.discard(worker)
        self.total_accelerators -= worker_state.info.accelerators
        self._count_free(worker_state, -len(worker_state.free))

    def cordon(self, worker: str) -> None:
        """Place no new work on a worker; its gangs keep running."""
        self.cordoned.add(worker)

    def uncordon(self, worker: str) -> None:
        """Allow new work on a worker again."""
        self.cordoned.discard(worker)

    def allocate(self, job_id: str, shape: Shape, block: Block) -> Placement:
        """Allocate free accelerators of a block to a job and return its placement."""
        members = []
        for part in block:
            worker_state = self.workers[part.worker]
            taken = part.units * shape.unit_accelerators
            indices = tuple(worker_state.free[:taken])
            self._set_free(worker_state, worker_state.free[taken:])
            worker_state.used.add(shape, part.units)
            worker_state.gangs[job_id] = indices
            worker_state.members[job_id] = part.units
            members.append(Member(part.worker, indices, part.units))
        return tuple(members)

    def adopt(self, job_id: str, shape: Shape, placement: Placement) -> None:
        """Record the accelerators of a job that was found running on them."""
        for member in placement:
            worker_state = self.workers[member.worker]
            taken = set(member.accelerators)
            self._set_free(
                worker_state, [index for index in worker_state.free if index not in taken]
            )
            worker_state.used.add(shape, member.units)
            worker_state.gangs[job_id] = member.accelerators
            worker_state.members[job_id] = member.units

    def release(self, job_id: str, shape: Shape, workers: Iterable[str]) -> None:
        """Free a job's accelerators on ``workers``; workers that were removed are skipped."""
        for worker in workers:
            worker_state = self.workers.get(worker)
            if worker_state is None or job_id not in worker_state.gangs:
                continue
            indices = worker_state.gangs.pop(job_id)
            self._set_free(worker_state, sorted((*worker_state.free, *indices)))
            worker_state.used.add(shape, -worker_state.members.pop(job_id))

    def schedulable(self, worker_state: WorkerState) -> bool:
        """Return whether new work may be placed on a worker."""
        return worker_state.info.worker not in self.cordoned

    @property
    def schedulable_accelerators(self) -> int:
        """The accelerators, free or not, of the workers that get new work."""
        return sum(
            worker_state.info.accelerators
            for worker_state in self.workers.values()
            if self.schedulable(worker_state)
        )

    def gangs_on(self, workers: Iterable[str]) -> frozenset[str]:
        """Return the ids of the jobs that hold accelerators on workers."""
        return frozenset(job_id for worker in workers for job_id in self.workers[worker].gangs)

    def domain_accelerators(self, domain: str) -> int:
        """Return the number of accelerators of a failure domain, free or not."""
        return sum(
            worker_state.info.accelerators
            for worker_state in self.failure_domains.get(domain, {}).values()
        )

    def workers_in(self, domains: Iterable[str]) -> frozenset[str]:
        """Return the workers of failure domains."""
        return frozenset(
            worker for domain in domains for worker in self.failure_domains.get(domain, ())
        )

    def workers_by_free(self, least: int) -> Iterator[dict[str, WorkerState]]:
        """Yield groups of workers with equal numbers of free accelerators, fullest first.

        :param least: minimum number of free accelerators.
        """
        for count in sorted(self._by_free):
            if count >= least and self._by_free[count]:
                yield self._by_free[count]

    def groups(self, adjacency: Adjacency) -> dict[str, dict[str, WorkerState]]:
        """Return the groups of workers by name, for an adjacency wider than one worker."""
        if adjacency is Adjacency.RACK:
            return self.racks
        if adjacency is Adjacency.CLUSTER:
            return {"": self.workers}
        return self.failure_domains

    def remember(self, info: WorkerInfo) -> None:
        """Remember a worker's size while it may come back."""
        if self._known_workers.get(info.worker) != info:
            self._known_workers[info.worker] = info
            self._fits_cache.clear()

    def forget(self, worker: str) -> None:
        """Forget the size of a worker that is not expected to come back."""
        self._known_workers.pop(worker, None)
        self._fits_cache.clear()

    def fits_when_empty(self, shape: Shape) -> bool:
        """Return whether any block could hold a shape if all its workers were empty.

        Silent and lost workers count until they are forgotten, because they may come back. While no
        worker is known, every shape fits.
        """
        if not self._known_workers:
            return True
        cache_key = attrs.evolve(shape, name="", expected_s=0.0)
        fits = self._fits_cache.get(cache_key)
        if fits is None:
            fits = self._fits_cache[cache_key] = self._fits_known_workers(cache_key)
        return fits

    def _fits_known_workers(self, shape: Shape) -> bool:
        capacity: dict[str, int] = {}
        for info in self._known_workers.values():
            group = _group_name(info, shape.adjacency)
            units = WorkerState(info, []).capacity_units(shape)
            capacity[group] = capacity.get(group, 0) + units
        return any(units >= shape.units for units in capacity.values())

    def _set_free(self, worker_state: WorkerState, free: list[int]) -> None:
        name = worker_state.info.worker
        del self._by_free[len(worker_state.free)][name]
        self._count_free(worker_state, len(free) - len(worker_state.free))
        worker_state.free = free
        self._by_free.setdefault(len(free), {})[name] = worker_state

    def _count_free(self, worker_state: WorkerState, change: int) -> None:
        info = worker_state.info
        self.free_accelerators += change
        self._rack_free[info.rack] = self._rack_free.get(info.rack, 0) + change
        domain = info.failure_domain
        self._domain_free[domain] = self._domain_free.get(domain, 0) + change


def _group_name(info: WorkerInfo, adjacency: Adjacency) -> str:
    names = {
        Adjacency.WORKER: info.worker,
        Adjacency.RACK: info.rack,
        Adjacency.FAILURE_DOMAIN: info.failure_domain,
        Adjacency.CLUSTER: "",
    }
    return names[adjacency]
